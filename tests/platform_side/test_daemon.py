"""An unexpected error in the upkeep of an instance ends neither the process nor its requests."""

from __future__ import annotations

import threading

import pytest

from carawaydoor import platformd
from carawaydoor.operating import clocks, logs
from tests.platform_side import router_harness


class FailingInstance:
    """An instance state whose upkeep fails at first."""

    def __init__(self, failures, then):
        self.failures = failures
        self.then = then
        self.active_requests = 0
        self.drain_started_s = None
        self.configuration = router_harness.entities.EMPTY_CONFIGURATION
        self.calls = 0

    def expire(self):
        self.calls += 1
        if self.calls <= self.failures:
            raise RuntimeError("planted")
        self.then()


@pytest.fixture
def daemon(monkeypatch):
    monkeypatch.setattr(platformd, "EXPIRY_INTERVAL_S", 0.01)
    created = platformd.Daemon.__new__(platformd.Daemon)
    created._options = router_harness.example_options()
    created._clock = clocks.SystemClock()
    created._settings_file_version = None
    return created


def test_error_of_the_upkeep_does_not_end_the_process(daemon):
    stop = threading.Event()
    daemon._instance = FailingInstance(3, stop.set)
    daemon.run(stop, threading.Event())
    assert daemon._instance.calls == 4


def test_error_of_the_upkeep_does_not_end_a_drain_with_requests_under_way(daemon):
    def finish():
        daemon._instance.active_requests = 0

    daemon._instance = FailingInstance(5, finish)
    daemon._instance.active_requests = 1
    daemon.drain()
    assert daemon._instance.calls > 5
    assert daemon._instance.active_requests == 0


def test_line_that_cannot_be_encoded_does_not_end_the_log(capsys):
    writer = logs.LogWriter(clocks.SystemClock(), "m")
    writer._thread.start()
    writer._enqueue({"message_type": "odd", "load": {("a", 1): 2}})
    writer._enqueue({"message_type": "next"})
    writer.stop(5.0)
    written = capsys.readouterr().out
    assert "log_line_malformed" in written
    assert '"next"' in written
