"""Callers can see that a response was truncated, whatever version of HTTP they speak.

A response to a caller that speaks HTTP/1.0 has no framing but the end of its connection. When it broke
off, that end was orderly, so the truncated response looked complete.
"""

from __future__ import annotations

import dataclasses
import http.client
import socket

import pytest

from carawaydoor.serving import http_servers
from tests.platform_side import router_harness


class BrokenOffError(Exception):
    """The error of a response whose source has failed."""


def app(environ, start_response):
    start_response("200 OK", [("Content-Type", "text/event-stream")])
    return stream(environ["PATH_INFO"] == "/broken")


def stream(is_broken):
    yield b"id: 1\n\n"
    if is_broken:
        raise BrokenOffError
    yield b"id: 2\n\n"


@pytest.fixture
def port():
    with socket.create_server(("127.0.0.1", 0)) as unused:
        free_port = unused.getsockname()[1]
    options = router_harness.example_options()
    address = dataclasses.replace(options.front, port=free_port)
    options = dataclasses.replace(options, front=address)
    http_servers.CallerServer(app, options, lambda: False).start()
    return free_port


def read_all(port, request):
    with socket.create_connection(("127.0.0.1", port), timeout=5.0) as connection:
        connection.sendall(request)
        received = b""
        while content := connection.recv(65_536):
            received += content
        return received


@pytest.mark.parametrize("headers", [b"", b"Connection: keep-alive\r\n"])
def test_truncated_response_to_an_old_caller_ends_with_a_reset(port, headers):
    with pytest.raises(ConnectionResetError):
        read_all(port, b"GET /broken HTTP/1.0\r\n" + headers + b"\r\n")


def test_complete_response_to_an_old_caller_ends_in_order(port):
    response = read_all(port, b"GET /whole HTTP/1.0\r\n\r\n")
    assert response.endswith(b"id: 1\n\nid: 2\n\n")


def test_truncated_response_in_chunks_has_no_last_chunk(port):
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=5.0)
    connection.request("GET", "/broken")
    with pytest.raises(http.client.IncompleteRead):
        connection.getresponse().read()
    connection.close()
