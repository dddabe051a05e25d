"""Callers whose requests have no end exhaust neither memory nor descriptors of an instance.

Regression: such callers brought down a process in a trial. Bodies were bounded one by one and not
together, and a connection that sent nothing more kept its place. The instance is a real process.
"""

from __future__ import annotations

import http.client
import pathlib
import socket
import tempfile
import time

import pytest

from carawaydoor.platform import names
from tests.platform_side import crowd
from tools.soak import soak_environment

MB = 1_000_000
MEMORY_MB = 88
DESCRIPTORS = 150
CALLERS = 70
MAX_BODY_BYTES = 4_194_304
MAX_HEADER_BYTES = 16_384
# No bound of a test: only ends the call of an instance that never answers.
CALL_TIMEOUT_S = 15.0

HEAD = (
    f"POST /unsafe/1 HTTP/1.1\r\nHost: {soak_environment.ROUTE_HOST}\r\n"
    f"{names.Header.REQUEST_ID.value}: 0123456789abcdef\r\n"
    f"{names.Header.KEY.value}: {soak_environment.API_KEYS[0]}\r\n"
).encode()

CASES = {
    "whole": lambda: crowd.announced(HEAD, MAX_BODY_BYTES - 1, MAX_BODY_BYTES - 2, 1 << 20),
    "pieces": lambda: crowd.announced(HEAD, MAX_BODY_BYTES - 1, MAX_BODY_BYTES - 2, 2048),
    "large-chunks": lambda: crowd.chunked(HEAD, MAX_BODY_BYTES - 100_000, 65_536),
    "small-chunks": lambda: crowd.chunked(HEAD, MB, 64),
    "over-announced": lambda: crowd.announced(HEAD, 50 * MB, 8 * MB, 1 << 20),
    "over-sent": lambda: crowd.chunked(HEAD, 8 * MB, 65_536),
    "heads": lambda: crowd.endless_head(HEAD, MAX_HEADER_BYTES - 4096),
}


@pytest.fixture
def instance():
    with tempfile.TemporaryDirectory() as directory:
        environment = soak_environment.SoakEnvironment(1, pathlib.Path(directory))
        try:
            started = environment.instances[0]
            started.limit_memory(MEMORY_MB)
            started.limit_descriptors(DESCRIPTORS)
            started.start()
            deadline_s = time.monotonic() + 20.0
            while not started.is_ready():
                assert time.monotonic() < deadline_s
                time.sleep(0.1)
            yield started
        finally:
            environment.stop()


def call(instance, size=100_000):
    """Send an ordinary request and return the status of its response, 0 for none."""
    connection = http.client.HTTPConnection(
        instance.host, soak_environment.FRONTEND_PORT, timeout=CALL_TIMEOUT_S
    )
    headers = {
        "Host": soak_environment.ROUTE_HOST,
        names.Header.REQUEST_ID.value: "fedcba9876543210",
        names.Header.KEY.value: soak_environment.API_KEYS[0],
    }
    try:
        connection.request("POST", "/unsafe/1", b"x" * size, headers)
        return connection.getresponse().status
    except OSError:
        return 0
    finally:
        connection.close()


def check(instance, requests):
    limit = MEMORY_MB * MB
    crowd.check(instance.process, requests, limit, DESCRIPTORS, lambda: call(instance))


@pytest.mark.parametrize("kind", CASES)
def test_callers_exhaust_nothing(instance, kind):
    address = (instance.host, soak_environment.FRONTEND_PORT)
    # Heads cost only descriptors: one more than an instance gives to callers.
    count = DESCRIPTORS if kind == "heads" else CALLERS
    check(instance, [(address, CASES[kind]()) for _ in range(count)])


@pytest.mark.parametrize("kind", ["whole", "over-announced", "over-sent"])
def test_peers_exhaust_nothing(instance, kind):
    address = (instance.host, soak_environment.PEER_PORT)
    check(instance, [(address, CASES[kind]()) for _ in range(CALLERS)])


def kept_alive(pieces):
    """Yield a small request, and after it another one on the same connection."""
    yield HEAD + b"Content-Length: 0\r\n\r\n"
    yield from pieces


def test_mix_on_kept_connections_exhausts_nothing(instance):
    address = (instance.host, soak_environment.FRONTEND_PORT)
    kinds = list(CASES)
    check(
        instance,
        [(address, kept_alive(CASES[kinds[n % len(kinds)]]())) for n in range(CALLERS)],
    )


@pytest.mark.parametrize("size", [1, 600, 1 << 20, MAX_BODY_BYTES])
@pytest.mark.parametrize("is_chunked", [False, True])
def test_request_inside_the_limits_is_served(instance, size, is_chunked):
    """A body of exactly the allowed size was refused, and a chunked one if its framing exceeded it."""
    head = HEAD + (
        b"Transfer-Encoding: chunked\r\n\r\n"
        if is_chunked
        else b"Content-Length: %d\r\n\r\n" % size
    )
    body = b"x" * size
    if is_chunked:
        parts = (body[start : start + 64] for start in range(0, size, 64))
        body = b"".join(b"%x\r\n%s\r\n" % (len(each), each) for each in parts) + b"0\r\n\r\n"
    address = (instance.host, soak_environment.FRONTEND_PORT)
    with socket.create_connection(address, timeout=CALL_TIMEOUT_S) as connection:
        connection.sendall(head + body)
        assert connection.recv(65_536).startswith(b"HTTP/1.1 200 ")
    assert crowd.resident_bytes(instance.process.pid) <= MEMORY_MB * MB
