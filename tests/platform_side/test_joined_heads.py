"""A late copy of a response that breaks off inside its head is not joined to the next response.

Failure: the value of the last header of the copy ran on into the status line of a refusal without a
body, and the caller got a success with a stamp and an empty body.
"""

from __future__ import annotations

import http.client
import io

import pytest

from carawaydoor.operating import http_responses

COPY = (
    b"HTTP/1.1 200 OK\r\n"
    b"Carawaydoor-Request-Id: earlier\r\n"
    b"Carawaydoor-Server-Stamp: stamp\r\n"
    b"Keep-Alive: timeout=5\r\n"
    b"Content-Length: 6\r\n\r\n"
)
NEXT = {
    "refusal": b"HTTP/1.1 503 Service Unavailable\r\nCarawaydoor-Request-Id: own\r\n"
    b"Carawaydoor-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
    "refusal without reason": b"HTTP/1.1 503\r\nCarawaydoor-Request-Id: own\r\n"
    b"Content-Length: 0\r\n\r\n",
    "answer": b"HTTP/1.1 200 OK\r\nCarawaydoor-Request-Id: own\r\nContent-Length: 2\r\n\r\nok",
    "stream": b"HTTP/1.1 200 OK\r\nCarawaydoor-Request-Id: own\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "unframed": b"HTTP/1.0 200 OK\r\nCarawaydoor-Request-Id: own\r\n\r\nok",
}


class ReceivedBytes:
    """Stands for a socket on which all bytes have arrived."""

    def __init__(self, content):
        self._content = content

    def makefile(self, *_):
        return io.BytesIO(self._content)


def begin(content):
    response = http_responses.Response(ReceivedBytes(content), method="GET")
    response.begin()
    return response


@pytest.mark.parametrize("following", NEXT)
def test_copy_that_breaks_off_at_any_byte_is_malformed(following):
    for cut in range(1, len(COPY)):
        with pytest.raises((http.client.HTTPException, http_responses.ConnectionEndedError)):
            begin(COPY[:cut] + NEXT[following])


@pytest.mark.parametrize("following", NEXT)
def test_following_response_by_itself_is_sound(following):
    assert begin(NEXT[following]).getheader("Carawaydoor-Request-Id") == "own"


def test_text_like_a_status_line_is_allowed_in_a_body():
    assert begin(COPY + b"HTTP/1.1 200 OK\r\n").read() == b"HTTP/1"


@pytest.mark.parametrize("value", ["HTTP/1.1 proxy", "HTTP/2.0, HTTP/1.1"])
def test_header_that_names_a_protocol_is_allowed(value):
    head = f"HTTP/1.1 200 OK\r\nVia: {value}\r\nContent-Length: 0\r\n\r\n"
    assert begin(head.encode()).getheader("Via") == value


def test_repeated_length_is_malformed():
    with pytest.raises(http.client.HTTPException):
        begin(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nok")
