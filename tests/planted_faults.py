"""Faults that several tests plant in the code of the decision core."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from carawaydoor.coordination import ownership

PlantFault = Callable[[pytest.MonkeyPatch], None]


def ignore_lease_expiry(patch: pytest.MonkeyPatch) -> None:
    """An owner acts although its lease has expired and its view may be outdated."""
    patch.setattr(ownership, "has_lease", lambda state, now_s, fleet_wide=False: not state.leaving)
