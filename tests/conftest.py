"""Shared fixtures of the tests, and the treatment of those that are known to fail."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from tests import known_failures
from tools import deployments, local_cluster


@pytest.fixture(scope="module")
def running() -> Iterator[local_cluster.LocalCluster]:
    """A small running deployment, shared by the tests of a module."""
    with local_cluster.LocalCluster(deployments.SMALL) as started:
        yield started


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Expect the tests in KNOWN-RED.txt to fail; one that passes must be taken off the list."""
    listed = known_failures.parse(known_failures.LIST_PATH.read_text())
    for item in items:
        if known_failures.is_listed(item.nodeid, listed):
            item.add_marker(pytest.mark.xfail(reason="listed in KNOWN-RED.txt", strict=True))
