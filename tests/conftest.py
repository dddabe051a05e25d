"""Shared fixtures of the tests."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from tools import deployments, fleet


@pytest.fixture(scope="module")
def running() -> Iterator[fleet.Fleet]:
    """A small running deployment, shared by the tests of a module."""
    with fleet.Fleet(deployments.SMALL) as started:
        yield started
