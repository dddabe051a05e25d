"""Requests that are not received because of a limit are refused truly and hold nothing.

Regression: unfinished requests held memory without a common bound (docs/design/request-bodies.md).
"""

from __future__ import annotations

import contextlib
import io
import socket
import struct
import threading
import time

import eliot
import hypothesis
import pytest
from hypothesis import strategies as st

from carawaydoor.operating import clocks, metrics_exporter
from carawaydoor.platform import http_adapter, names
from carawaydoor.policy import entities
from carawaydoor.serving import (
    bounded_requests,
    http_servers,
    request_budget,
    request_limits,
    response_budget,
    unread_refusals,
)
from tests.platform_side import router_harness

MB = 1_000_000
SMALL = request_budget.MAX_SMALL_REQUEST_BYTES
POST = b"POST /a HTTP/1.1\r\nHost: a\r\nCarawaydoor-Request-Id: 17\r\n"


class Listener:
    """A listener with its own budget, which records what the application receives."""

    def __init__(self, total_bytes=8 * SMALL, connections=100):
        clock = clocks.SystemClock()
        self.counter = metrics_exporter.Counter("limits", "")
        formatter = unread_refusals.RefusalFormatter(
            http_adapter.PlatformHttpAdapter(), metrics_exporter.Counter("refusals", "")
        )
        recorder = request_limits.LimitRecorder(clock, self.counter)
        self.budget = request_budget.RequestBudget(total_bytes)
        guard = request_limits.RequestGuard(clock, self.budget, formatter, recorder)
        options = router_harness.example_options(max_descriptors=2 * connections)
        self.server = http_servers.CallerServer(self._serve, options, lambda: False, guard)
        self.address = ("127.0.0.1", int(self.server._server.effective_port))
        self.bodies = []
        self.may_respond = threading.Event()
        self.may_respond.set()
        self.content = b"ok"
        self.server.start()

    def _serve(self, environ, start_response):
        self.bodies.append(len(environ["wsgi.input"].read()))
        self.may_respond.wait(10.0)
        start_response("200 OK", [("Content-Length", str(len(self.content)))])
        return [self.content]

    def connect(self, data):
        connection = socket.create_connection(self.address, timeout=10.0)
        connection.sendall(data)
        return connection

    def limits(self):
        return {each["limit"]: count for each, count in self.counter.values()}


def post(size, sent=None):
    return POST + b"Content-Length: %d\r\n\r\n" % size + b"x" * (size if sent is None else sent)


def read(connection):
    """Return everything until the connection ends."""
    received = b""
    with contextlib.suppress(ConnectionResetError):
        while data := connection.recv(65_536):
            received += data
    connection.close()
    return received


def is_served(connection):
    """Read one response of the application."""
    received = b""
    while not received.endswith(b"ok"):
        data = connection.recv(65_536)
        if not data:
            return False
        received += data
    return received.startswith(b"HTTP/1.1 200 ")


def wait_until_free(listener):
    deadline_s = time.monotonic() + 10.0
    while listener.budget.held_bytes and time.monotonic() < deadline_s:
        time.sleep(0.02)
    assert listener.budget.held_bytes == 0


def test_stopped_body_gives_up_its_place_to_a_growing_one():
    listener = Listener()
    stopped = listener.connect(post(5 * SMALL, 4 * SMALL))
    time.sleep(1.0)
    growing = listener.connect(post(5 * SMALL))
    assert is_served(growing)
    refusal = read(stopped)
    assert refusal.startswith(b"HTTP/1.1 503 ") and b'"no-memory"' in refusal
    assert b"Connection: close" in refusal and b'"id": "17"' in refusal
    assert f"{names.Header.RETRY_AFTER.value}: 1.000".encode() in refusal
    assert listener.bodies == [5 * SMALL]
    assert listener.limits() == {"stopped": 1}
    growing.close()
    wait_until_free(listener)


@pytest.mark.parametrize("expect", [b"", b"Expect: 100-continue\r\n"])
def test_rest_of_a_refused_body_is_no_request(expect):
    """A caller that waited for permission was told to send the body that is then refused."""
    listener = Listener()
    listener.server.apply_limits(entities.Limits(max_body_bytes=1000))
    smuggled = b"GET /b HTTP/1.1\r\nHost: a\r\n\r\n"
    head = POST + expect + b"Content-Length: 1001\r\n\r\n"
    connection = listener.connect(head + smuggled)
    response = read(connection)
    assert response.startswith(b"HTTP/1.1 413 ") and response.count(b"HTTP/1.1 ") == 1
    assert listener.bodies == []
    wait_until_free(listener)


def test_refusal_follows_the_response_to_the_request_before_it():
    listener = Listener()
    listener.server.apply_limits(entities.Limits(max_body_bytes=1000))
    response = read(listener.connect(post(10) + post(1001)))
    assert [response.count(b"HTTP/1.1 200 "), response.count(b"HTTP/1.1 413 ")] == [1, 1]
    assert listener.bodies == [10]
    wait_until_free(listener)


def test_head_that_takes_too_long_ends_its_connection():
    listener = Listener()
    listener.server.apply_limits(entities.Limits(header_timeout_s=0.2))
    kept = listener.connect(post(10))
    assert is_served(kept)
    assert read(listener.connect(POST)) == b""
    kept.sendall(post(11))
    assert is_served(kept)
    assert listener.limits() == {"head-time": 1}


def test_new_connection_takes_the_place_of_the_unfinished_request():
    listener = Listener(connections=3)
    kept = listener.connect(post(10))
    assert is_served(kept)
    unfinished = listener.connect(post(10, 5))
    time.sleep(0.7)
    others = [listener.connect(post(10)) for _ in range(2)]
    assert is_served(others[0])
    assert read(unfinished) == b""
    assert listener.limits()["connections"] >= 1


def channel_with_two_requests(listener, first, second):
    """Return the channel of a connection that sent a request and a part of another one."""
    connection = listener.connect(first + second)
    deadline_s = time.monotonic() + 10.0
    while time.monotonic() < deadline_s:
        for channel in listener.server._server.active_channels.values():
            if channel.request is not None and listener.bodies:
                return connection, channel
        time.sleep(0.02)
    raise AssertionError("the requests were not received")


@pytest.mark.parametrize("second", [POST, post(10, 5)])
def test_request_that_gives_up_does_not_cut_off_the_response_before_it(second):
    listener = Listener()
    listener.may_respond.clear()
    connection, channel = channel_with_two_requests(listener, post(10), second)
    channel.give_up()
    time.sleep(0.2)
    listener.may_respond.set()
    response = read(connection)
    assert [response.count(b" 200 OK"), response.count(b" 503 ")] == [1, 1]
    assert listener.bodies == [10]
    wait_until_free(listener)


def test_refusal_after_a_response_that_nobody_reads_does_not_block_the_listener():
    listener = Listener()
    listener.content = b"x" * 20_000_000
    listener.may_respond.clear()
    _, channel = channel_with_two_requests(listener, post(10), post(10, 5))
    listener.may_respond.set()
    deadline_s = time.monotonic() + 10.0
    while (channel.requests or not channel.total_outbufs_len) and time.monotonic() < deadline_s:
        time.sleep(0.02)
    assert channel.total_outbufs_len > http_servers.MAX_BUFFERED_RESPONSE_BYTES
    refusing = threading.Thread(target=channel.give_up, daemon=True)
    refusing.start()
    refusing.join(5.0)
    assert not refusing.is_alive()


def test_callers_that_leave_before_the_permission_to_send_block_nobody():
    """A connection that was lost while it was written to has to close inside of its own lock."""
    listener = Listener()
    for _ in range(100):
        gone = listener.connect(POST + b"Expect: 100-continue\r\nContent-Length: 9\r\n\r\n")
        gone.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        gone.close()
    with listener.connect(post(10)) as connection:
        assert is_served(connection)
    wait_until_free(listener)


def test_body_limit_that_the_machine_cannot_hold_is_logged():
    lines = []
    eliot.add_destinations(lines.append)
    # Lines from before the first destination are delivered to it.
    lines.clear()
    try:
        listener = Listener()
        listener.server.apply_limits(entities.Limits(max_body_bytes=1000))
    finally:
        eliot.remove_destination(lines.append)
    logged = [each for each in lines if each["message_type"] == "body_limit_beyond_memory"]
    assert [each["max_body_bytes"] for each in logged] == [4_194_304]


@pytest.mark.parametrize("data", [b"1;" + b"x" * 5000, b"0\r\nX: " + b"x" * 20_000])
def test_endless_framing_of_a_chunk_is_refused(data):
    listener = Listener()
    head = POST + b"Transfer-Encoding: chunked\r\n\r\n"
    assert read(listener.connect(head + data)).startswith(b"HTTP/1.1 400 ")
    wait_until_free(listener)


def test_body_is_read_without_a_copy():
    buffer = bounded_requests.BodyBuffer()
    for _ in range(1000):
        buffer.append(b"x" * 999)
    file = buffer.getfile()
    assert isinstance(file, io.BytesIO)
    assert file.read() is file.getvalue()


@hypothesis.given(
    steps=st.lists(
        st.tuples(st.integers(0, 5), st.integers(0, 3 * SMALL), st.floats(0.0, 2.0), st.booleans()),
        max_size=40,
    )
)
def test_sum_is_bounded_and_stopped_requests_go_first(steps):
    total = 6 * SMALL
    budget = request_budget.RequestBudget(total)
    now_s, by_number = 0.0, {}
    for number, added, pause_s, has_to_finish in steps:
        now_s += pause_s
        each = by_number.get(number)
        if each is None or each.is_closed:
            each = by_number[number] = budget.reserve(lambda: None, now_s)
        before = {key: one for key, one in by_number.items() if not one.is_closed and one != each}
        idle_s = {key: now_s - one.idle_since_s for key, one in before.items()}
        if not each.resize(each.held_bytes + added, now_s):
            each.close()
        gone = [key for key, one in before.items() if one.is_closed]
        assert all(idle_s[key] >= 0.5 for key in gone)
        if has_to_finish:
            each.finish()
        open_ones = [one for one in by_number.values() if not one.is_closed]
        assert budget.held_bytes == sum(one.held_bytes for one in open_ones) <= total
        assert sum(one.large_bytes for one in open_ones) <= 0.75 * total
    for each in by_number.values():
        each.close()
    assert budget.held_bytes == 0


def test_small_requests_keep_a_share():
    budget = request_budget.RequestBudget(8 * SMALL)
    large = [budget.reserve(lambda: None, 0.0) for _ in range(4)]
    assert [each.resize(2 * SMALL, 0.0) for each in large] == [True] * 3 + [False]
    small = [budget.reserve(lambda: None, 0.0) for _ in range(3)]
    assert [each.resize(SMALL, 0.0) for each in small] == [True] * 2 + [False]


@pytest.mark.parametrize("memory_mb", [88, 128, 300, 552, 100_000])
def test_requests_and_responses_fit_the_machine_together(memory_mb):
    requests = request_budget.total_bytes(memory_mb * MB)
    responses = response_budget.total_bytes(memory_mb * MB)
    base = response_budget.BASE_MEMORY_BYTES
    assert base + 1.125 * requests + 2 * responses <= memory_mb * MB
    assert base + 1.125 * requests <= 150 * MB
    assert request_budget.RequestBudget(requests).max_body_bytes >= 4_194_304
