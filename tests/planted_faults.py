"""Faults that several tests plant in the decision core."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from carawaydoor.coordination import ownership

Plant = Callable[[pytest.MonkeyPatch], None]


def no_lease(patch: pytest.MonkeyPatch) -> None:
    """A home goes on although it can't know whether its view is current."""
    patch.setattr(ownership, "has_lease", lambda state, now_s, fleet_wide=False: not state.leaving)
