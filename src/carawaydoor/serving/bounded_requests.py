"""Receives requests within limits on their size and on the memory of all requests together."""

from __future__ import annotations

import io
from collections.abc import Callable, Mapping
from typing import Any, Final

import waitress.parser
import waitress.receiver
import waitress.utilities

from carawaydoor.serving import request_limits

# A parsed header takes this much more than its bytes: two strings and an entry of a dictionary.
HEADER_OVERHEAD_BYTES: Final = 200
# Of the parser, its connection and the buffer.
REQUEST_OVERHEAD_BYTES: Final = 2048
# Chunks of one byte take six bytes each; framing is not held in memory.
MAX_FRAMING_FACTOR: Final = 8
# Of the line before a chunk, with its extensions.
MAX_CHUNK_LINE_BYTES: Final = 1024
MAX_TRAILER_BYTES: Final = 8192
# The chunk parser copies the rest of its input for each chunk, so it gets little at a time.
CHUNK_PARSER_BLOCK_BYTES: Final = 512


class RefusedError(waitress.utilities.Error):  # type: ignore[misc]
    """The error of a request that was not received because of a limit."""

    def __init__(
        self,
        limit: request_limits.Limit,
        formatter: request_limits.RefusalFormatter,
        headers: Mapping[str, str],
    ) -> None:
        super().__init__("")
        self.limit: Final = limit
        self._response = formatter.format(limit, headers)

    def to_response(self, ident: str | None = None) -> tuple[str, list[tuple[str, str]], bytes]:
        """Return status, headers and body of the response."""
        return self._response.status, list(self._response.headers), self._response.content


class BodyBuffer:
    """A body in one buffer, which is read without a copy."""

    def __init__(self) -> None:
        self._file = io.BytesIO()
        self._length = 0

    def __len__(self) -> int:
        return self._length

    def append(self, data: bytes) -> None:
        """Add a part of the body."""
        self._file.write(data)
        self._length += len(data)

    def getfile(self) -> io.BytesIO:
        """Return a file whose first read of the whole body returns the buffer itself."""
        # Releases the unused end of the buffer; otherwise a read would copy it.
        self._file.getvalue()
        self._file.seek(0)
        return self._file

    def close(self) -> None:
        """Release the memory."""
        self._file.close()


class ChunkedReceiver(waitress.receiver.ChunkedReceiver):  # type: ignore[misc]
    """Receives a chunked body whose framing is bounded."""

    error: Any

    def received(self, s: bytes) -> int:
        """Receive a part of the body; return how many bytes of it were used."""
        consumed = 0
        while consumed < len(s) and not self.completed and self.error is None:
            block = s[consumed : consumed + CHUNK_PARSER_BLOCK_BYTES]
            consumed += super().received(block)
            if (
                len(self.control_line) > MAX_CHUNK_LINE_BYTES
                or len(self.trailer) > MAX_TRAILER_BYTES
            ):
                self.error = waitress.utilities.BadRequest("the framing of a chunk is too long")
        return consumed


class BoundedRequest(waitress.parser.HTTPRequestParser):  # type: ignore[misc]
    """A request that holds a part of the memory for requests until it is closed.

    :ivar started_s: when its first byte was received
    """

    body_rcv: Any
    error: Any

    def __init__(
        self, adj: Any, guard: request_limits.RequestGuard, give_up: Callable[[], None]
    ) -> None:
        super().__init__(adj)
        self._guard = guard
        self.started_s: Final = guard.clock.now_s()
        self._reservation = guard.budget.reserve(give_up, self.started_s)

    @property
    def idle_since_s(self) -> float:
        """When the request last grew by a significant part, or began."""
        return self._reservation.idle_since_s

    def received(self, data: bytes) -> int:
        """Receive a part of the request; return how many bytes of it were used."""
        if self.completed:
            return 0
        consumed = self._receive_head(data) if self.body_rcv is None else self._receive_body(data)
        if self.error is not None:
            self.expect_continue = False
            self._release_memory()
            # What follows belongs to the same request.
            return len(data)
        if self.empty:
            self.close()
        elif self.completed:
            self.expect_continue = False
            self._reservation.finish()
        return consumed

    def parse_header(self, header_plus: bytes) -> None:
        """Parse the head, and prepare for the body.

        :raises waitress.parser.ParsingError: if the head is malformed
        """
        super().parse_header(header_plus)
        if self.body_rcv is None:
            return
        if self.chunked:
            self.body_rcv = ChunkedReceiver(BodyBuffer())
        else:
            self.body_rcv = waitress.receiver.FixedStreamReceiver(self.content_length, BodyBuffer())

    def refuse(self, limit: request_limits.Limit) -> None:
        """Receive nothing more, because of a limit, and release the memory."""
        if not self.headers_finished:
            # The response needs a version and a method.
            self.parse_header(b"GET / HTTP/1.0\r\n")
        self.error = RefusedError(limit, self._guard.formatter, self.headers)
        self.completed = True
        self._release_memory()

    def close(self) -> None:
        """Release the memory of the request."""
        super().close()
        self._reservation.close()

    def _receive_head(self, data: bytes) -> int:
        consumed: int = super().received(data)
        if isinstance(self.error, waitress.utilities.RequestEntityTooLarge):
            self.refuse(request_limits.Limit.BODY_SIZE)
        elif isinstance(self.error, waitress.utilities.RequestHeaderFieldsTooLarge):
            self.refuse(request_limits.Limit.HEAD_SIZE)
        elif self.error is None and not self.empty and not self._hold(0):
            self.refuse(request_limits.Limit.MEMORY)
        return consumed

    def _receive_body(self, data: bytes) -> int:
        receiver = self.body_rcv
        consumed: int = receiver.received(data)
        self.body_bytes_received += consumed
        size = len(receiver)
        # The limit is kept as the first size that is refused.
        max_body_bytes = self.adj.max_request_body_size - 1
        if size > max_body_bytes:
            self.refuse(request_limits.Limit.BODY_SIZE)
        elif self.body_bytes_received - size > MAX_FRAMING_FACTOR * max_body_bytes + len(data):
            self.refuse(request_limits.Limit.BODY_FRAMING)
        elif receiver.error is not None:
            self.error = receiver.error
            self.completed = True
        elif not self._hold(size):
            self.refuse(request_limits.Limit.MEMORY)
        elif receiver.completed:
            self.completed = True
            if self.chunked:
                self.headers["CONTENT_LENGTH"] = str(size)
        return consumed

    def _hold(self, body_bytes: int) -> bool:
        head_bytes = (
            self.header_bytes_received
            + REQUEST_OVERHEAD_BYTES
            + HEADER_OVERHEAD_BYTES * len(self.headers)
        )
        return self._reservation.resize(head_bytes + body_bytes, self._guard.clock.now_s())

    def _release_memory(self) -> None:
        self.close()
        self.body_rcv = None
        self.header_plus = b""
