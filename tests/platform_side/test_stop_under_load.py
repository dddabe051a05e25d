"""A planned stop cuts off no request that was read late in the grace period, whatever else goes on.

The instance is a real process. Streams last beyond the grace period, so that it ends by the clock, while
callers go on to use their open connections.
"""

from __future__ import annotations

import dataclasses
import itertools
import pathlib
import signal
import socket
import tempfile
import threading
import time

import pytest

from carawaydoor.platform import names
from tests.platform_side.fake_upstream import Behaviour
from tools.soak import soak_environment

STREAM_TIMEOUT_MS = 14_000
CALLERS = 6
# A request that crosses the end of its connection may go without an answer.
CROSSING_S = 0.2


@dataclasses.dataclass
class Sent:
    """A request of a caller; ``status`` is zero without a complete answer."""

    id: str
    sent_s: float
    ended_s: float = 0.0
    status: int = 0


class Callers:
    """Threads that send bookings on connections that they keep while the instance lets them."""

    def __init__(self, host: str) -> None:
        self._address = (host, soak_environment.FRONTEND_PORT)
        self._numbers = itertools.count()
        self._lock = threading.Lock()
        self.stopping = threading.Event()
        self.sent: list[Sent] = []
        self.threads: list[threading.Thread] = []

    def start(self, body_pause_s: float) -> None:
        thread = threading.Thread(target=self._send_repeatedly, args=(body_pause_s,), daemon=True)
        thread.start()
        self.threads.append(thread)

    def _send_repeatedly(self, body_pause_s: float) -> None:
        connection: socket.socket | None = None
        while not self.stopping.is_set():
            try:
                if connection is None:
                    connection = socket.create_connection(self._address, timeout=5.0)
                is_kept = self._send(connection, body_pause_s)
            except OSError:
                is_kept = False
            if not is_kept:
                if connection is not None:
                    connection.close()
                connection = None
                time.sleep(0.05)
            time.sleep(0.02)
        if connection is not None:
            connection.close()

    def _send(self, connection: socket.socket, body_pause_s: float) -> bool:
        """Send a booking, its body in two parts; return whether the connection is kept."""
        with self._lock:
            request_id = f"{next(self._numbers):016x}"
        head = (
            f"POST /unsafe/1 HTTP/1.1\r\nHost: {soak_environment.ROUTE_HOST}\r\n"
            f"{names.Header.REQUEST_ID.value}: {request_id}\r\n"
            f"{names.Header.KEY.value}: {soak_environment.API_KEYS[0]}\r\nContent-Length: 10\r\n\r\n"
        )
        connection.sendall(head.encode() + b"01234")
        time.sleep(body_pause_s)
        request = Sent(request_id, time.monotonic())
        connection.sendall(b"56789")
        with self._lock:
            self.sent.append(request)
        answer = b""
        while b"\r\n\r\n" not in answer:
            content = connection.recv(65_536)
            if not content:
                request.ended_s = time.monotonic()
                return False
            answer += content
        answer_head, _, body = answer.partition(b"\r\n\r\n")
        lines = answer_head.lower().split(b"\r\n")
        length = next(int(each[15:]) for each in lines if each.startswith(b"content-length:"))
        while len(body) < length:
            content = connection.recv(65_536)
            if not content:
                return False
            body += content
        request.status, request.ended_s = int(answer_head.split()[1]), time.monotonic()
        return b"connection: close" not in lines


@pytest.fixture
def environment():
    with tempfile.TemporaryDirectory() as directory:
        running = soak_environment.SoakEnvironment(1, pathlib.Path(directory))
        try:
            running.publish_configuration(soak_environment.API_KEYS, STREAM_TIMEOUT_MS)
            running.instances[0].start()
            deadline_s = time.monotonic() + 20.0
            while not running.instances[0].is_ready():
                assert time.monotonic() < deadline_s
                time.sleep(0.1)
            yield running
        finally:
            running.stop()


def hold_streams(environment, count):
    """Have callers wait for streams that their engines leave without an end."""
    instance = environment.instances[0]
    for name in ("d1", "d2", "d3"):
        environment.upstream_by_name[name].behaviours = [Behaviour.HANG_STREAM] * count
    connections = []
    for number in range(count):
        connection = socket.create_connection((instance.host, soak_environment.FRONTEND_PORT))
        connection.sendall(
            f"POST /stream/1 HTTP/1.1\r\nHost: {soak_environment.ROUTE_HOST}\r\n"
            f"{names.Header.REQUEST_ID.value}: stream-{number}\r\n"
            f"{names.Header.TOKENS.value}: 100,20\r\n"
            f"{names.Header.KEY.value}: {soak_environment.API_KEYS[1]}\r\n\r\n".encode()
        )
        connections.append(connection)
    return connections


def stop_and_wait(environment, callers):
    """Stop the instance and its callers; return when it was asked to stop, and how long it took."""
    instance = environment.instances[0]
    instance.is_exit_expected = True
    instance.send_signal(signal.SIGTERM)
    stopped_s = time.monotonic()
    instance.process.wait(timeout=soak_environment.SHUTDOWN_GRACE_S + 2.0)
    lasted_s = time.monotonic() - stopped_s
    time.sleep(0.3)
    callers.stopping.set()
    for each in callers.threads:
        each.join(6.0)
    return stopped_s, lasted_s


def lost_bookings(environment, callers):
    """Return the bookings without an answer that were passed on, or read before the connection ended."""
    passed_on = {
        request.header(names.Header.REQUEST_ID)
        for name in ("s1", "s2", "s3")
        for request in environment.upstream_by_name[name].received
    }
    return [
        each
        for each in callers.sent
        if each.status == 0
        and each.ended_s
        and (each.id in passed_on or each.ended_s - each.sent_s > CROSSING_S)
    ]


def test_bookings_on_open_connections_are_answered_until_the_end(environment):
    streams = hold_streams(environment, 10)
    callers = Callers(environment.instances[0].host)
    for number in range(CALLERS):
        callers.start(body_pause_s=0.3 if number % 2 else 0.0)
    time.sleep(1.0)
    stopped_s, lasted_s = stop_and_wait(environment, callers)
    for each in streams:
        each.close()
    assert lasted_s < soak_environment.SHUTDOWN_GRACE_S
    assert lasted_s > soak_environment.SHUTDOWN_GRACE_S - 1.5, "the streams were under way"
    late = [each for each in callers.sent if each.sent_s > stopped_s + 5.0]
    assert late, "callers used their connections to the end"
    assert lost_bookings(environment, callers) == []


def test_bookings_that_wait_for_a_thread_are_answered_before_the_exit(environment):
    """All threads were busy with slow requests, and what waited for one was cut off unanswered."""
    streams = hold_streams(environment, 56)
    for name in ("s1", "s2", "s3"):
        environment.upstream_by_name[name].behaviours = [Behaviour.HANG] * 400
    callers = Callers(environment.instances[0].host)
    for _ in range(40):
        callers.start(body_pause_s=0.0)
    time.sleep(1.0)
    _, lasted_s = stop_and_wait(environment, callers)
    for each in streams:
        each.close()
    assert lasted_s < soak_environment.SHUTDOWN_GRACE_S
    assert lost_bookings(environment, callers) == []
