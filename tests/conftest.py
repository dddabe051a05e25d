"""Shared fixtures of the tests."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from tools import deployments, local_cluster


@pytest.fixture(scope="module")
def running() -> Iterator[local_cluster.LocalCluster]:
    """A small running deployment, shared by the tests of a module."""
    with local_cluster.LocalCluster(deployments.SMALL) as started:
        yield started
