"""HTTP responses whose head and framing have to arrive whole.

``http.client`` takes the end of a connection for the end of a head, of a trailer and of a line. A
response that breaks off there would pass for a whole one without a body, or with a header value or a
chunk size that was cut short.
"""

from __future__ import annotations

import http.client
import re
from typing import IO, Any, Final

# Other statuses are invalid, so that a caller could not tell what became of its request.
_STATUS_LINE: Final = re.compile(rb"HTTP/1\.[0-9] [1-5][0-9]{2}(?: [^\x00\r\n]*)?\r?\n")
# Continuation lines are obsolete, and a line break inside a value is not passed on.
_HEADER_LINE: Final = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+:[^\x00\r\n]*\r?\n")
_CHUNK_SIZE_LINE: Final = re.compile(rb"([0-9A-Fa-f]{1,15})[ \t]*(?:;[^\x00\r\n]*)?\r?\n")
# Begins another response where a late copy of an earlier one broke off inside a line of its head.
_JOINED_STATUS_LINE: Final = re.compile(rb".HTTP/1\.[0-9] [1-9][0-9]{2}[ \r\n]", re.DOTALL)
_EMPTY_LINES: Final = frozenset({b"\r\n", b"\n"})
_MAX_TRAILER_BYTES: Final = 16_384
_CONTENT_LENGTH: Final = re.compile(r"[0-9]{1,15}")
_SWITCHING_PROTOCOLS_STATUS: Final = 101
_MIN_FINAL_STATUS: Final = 200


class ConnectionEndedError(ConnectionError):
    """The connection ended before the head or the framing of a response was complete."""


class MalformedHeadError(http.client.HTTPException):
    """The head or the framing of a response violates HTTP."""


class Response(http.client.HTTPResponse):
    """A response whose head, chunk sizes and trailers are whole and well-formed.

    A connection that ends inside one of these raises :class:`ConnectionEndedError`, and a line that
    violates HTTP raises :class:`MalformedHeadError`.
    """

    def begin(self) -> None:
        """Read the head of the final response."""
        if self.headers is not None:
            return
        body = self.fp
        lines = _FramingReader(body)
        self.fp = lines
        super().begin()
        while self.status < _MIN_FINAL_STATUS and self.status != _SWITCHING_PROTOCOLS_STATUS:
            # http.client skips only one of the interim responses that HTTP defines.
            self.headers = self.msg = None
            super().begin()
        if self.status == _SWITCHING_PROTOCOLS_STATUS:
            raise MalformedHeadError("the protocol was switched without a request")
        _check_framing(self)
        if self.chunked:
            lines.expect_chunks()
        else:
            # The last line of such a body may lack its end.
            self.fp = body


def use_whole_responses(connection: http.client.HTTPConnection) -> http.client.HTTPConnection:
    """Have a connection return responses of this module, and return it."""
    connection.response_class = Response
    return connection


class _FramingReader:
    """Checks the lines of heads, chunk sizes and trailers as they are read."""

    def __init__(self, reader: IO[bytes]) -> None:
        self._reader = reader
        self._expected = _STATUS_LINE
        self._is_in_chunks = False
        self._trailer_bytes = 0

    def __getattr__(self, name: str) -> Any:
        return getattr(self._reader, name)

    def expect_chunks(self) -> None:
        """Expect the size of the first chunk as the next line."""
        self._expected, self._is_in_chunks = _CHUNK_SIZE_LINE, True

    def readline(self, limit: int = -1) -> bytes:
        """Return a whole line.

        :raises ConnectionEndedError: if the connection ended before the end of the line
        :raises MalformedHeadError: if the line violates HTTP
        """
        line = self._reader.readline(limit)
        if not line.endswith(b"\n"):
            if 0 <= limit <= len(line):
                # Rejected by http.client, which knows what is too long.
                return line
            raise ConnectionEndedError("the connection ended inside the head or framing")
        if self._expected is _HEADER_LINE and line in _EMPTY_LINES:
            # An interim response is followed by another head, a trailer by nothing.
            self._expected = _CHUNK_SIZE_LINE if self._is_in_chunks else _STATUS_LINE
            return line
        if self._is_in_chunks and self._expected is _HEADER_LINE:
            self._trailer_bytes += len(line)
            if self._trailer_bytes > _MAX_TRAILER_BYTES:
                raise MalformedHeadError(f"trailers exceed {_MAX_TRAILER_BYTES} bytes")
        match = self._expected.fullmatch(line)
        is_joined = self._expected is not _CHUNK_SIZE_LINE and _JOINED_STATUS_LINE.search(line)
        if match is None or is_joined:
            raise MalformedHeadError(f"malformed line in the head or framing: {line[:80]!r}")
        if self._expected is _STATUS_LINE or (self._is_in_chunks and _is_last_chunk(match)):
            self._expected = _HEADER_LINE
        return line


def _is_last_chunk(match: re.Match[bytes]) -> bool:
    return match.re is _CHUNK_SIZE_LINE and int(match.group(1), 16) == 0


def _check_framing(response: http.client.HTTPResponse) -> None:
    encodings = response.headers.get_all("transfer-encoding", [])
    if encodings and not (response.chunked and len(encodings) == 1):
        raise MalformedHeadError(f"unknown transfer encoding: {encodings}")
    lengths = response.headers.get_all("content-length", [])
    if len(lengths) > 1 or not all(_CONTENT_LENGTH.fullmatch(each.strip()) for each in lengths):
        raise MalformedHeadError(f"repeated or malformed length: {lengths}")
