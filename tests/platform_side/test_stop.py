"""A stop cuts off no request that was read, and reads none that it would cut off.

Regression: between the decision to exit and the exit itself, 0.8 s on a busy machine, an instance still
read requests from open connections (soak, seed 303 beside other work). They ended without an answer.
"""

from __future__ import annotations

import dataclasses
import http.client
import socket
import threading
import time

import pytest

from carawaydoor import platformd
from carawaydoor.operating import clocks
from carawaydoor.serving import http_servers
from tests.platform_side import router_harness


class SlowApp:
    """Answers each request when it is released."""

    def __init__(self):
        self.released = threading.Event()
        self.paths = []

    def __call__(self, environ, start_response):
        self.paths.append(environ["PATH_INFO"])
        if environ["PATH_INFO"] == "/slow":
            self.released.wait(10.0)
        start_response("200 OK", [("Content-Length", "2")])
        return [b"ok"]


@pytest.fixture
def served():
    with socket.create_server(("127.0.0.1", 0)) as unused:
        port = unused.getsockname()[1]
    options = router_harness.example_options()
    address = dataclasses.replace(options.front, port=port)
    app = SlowApp()
    server = http_servers.CallerServer(
        app, dataclasses.replace(options, front=address), lambda: False
    )
    server.start()
    return server, app, port


def kept_connection(port):
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=5.0)
    connection.request("GET", "/first")
    assert connection.getresponse().read() == b"ok"
    return connection


def close_callers(server):
    daemon = platformd.Daemon.__new__(platformd.Daemon)
    daemon._options = router_harness.example_options()
    daemon._clock = clocks.SystemClock()
    daemon._caller_server = server
    daemon._instance = router_harness.instance_state.InstanceState(
        daemon._options, daemon._clock, router_harness.platform_metrics.Metrics("test")
    )
    daemon.close_callers()


def test_request_after_the_end_of_a_drain_is_not_read(served):
    server, app, port = served
    connection = kept_connection(port)
    close_callers(server)
    connection.request("GET", "/late")
    time.sleep(0.2)
    assert app.paths == ["/first"]
    assert not server.has_unanswered()


def test_request_that_was_read_is_answered_before_the_exit(served):
    server, app, port = served
    connection = kept_connection(port)
    connection.request("GET", "/slow")
    while "/slow" not in app.paths:
        time.sleep(0.01)
    threading.Timer(0.3, app.released.set).start()
    started_s = time.monotonic()
    close_callers(server)
    assert time.monotonic() - started_s >= 0.25
    assert connection.getresponse().read() == b"ok"


def test_request_that_was_sent_before_the_end_of_a_drain_is_answered(served, monkeypatch):
    """The thread that reads had been waiting for the processor (soak, seed 309 beside other work)."""
    server, app, port = served
    connection = kept_connection(port)
    is_readable = server._server.readable

    def begin_poll_late():
        time.sleep(0.2)
        return is_readable()

    monkeypatch.setattr(server._server, "readable", begin_poll_late)
    # The poll that is under way returns after at most a second.
    time.sleep(1.5)
    connection.request("GET", "/late")
    close_callers(server)
    assert connection.getresponse().read() == b"ok"
    assert app.paths == ["/first", "/late"]
