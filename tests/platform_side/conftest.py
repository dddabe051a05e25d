"""Fixtures of the tests on the platform's path."""

from __future__ import annotations

import contextlib

import pytest

from carawaydoor.platform import names
from tests.platform_side import fake_store, stored_documents


@pytest.fixture
def store():
    """Provide a store with a configuration and seven servers."""
    running = fake_store.FakeStore()
    running.put(names.CONFIGURATION_KEY, stored_documents.CASES["configuration"])
    for number in range(7):
        stored_documents.put_server(running, number)
    yield running
    with contextlib.suppress(OSError):
        running.stop()
