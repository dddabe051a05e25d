"""HTTP calls to upstreams, each on its own connection, which is shut down to cancel the call."""

from __future__ import annotations

import dataclasses
import http.client
import socket
import struct
import threading
from collections.abc import Iterator, Mapping
from typing import Final

from carawaydoor.coordination import cluster_view
from carawaydoor.interface import errors
from carawaydoor.operating import http_responses

CONNECT_TIMEOUT_S: Final = 0.5
MAX_RESPONSE_BYTES: Final = 8_000_000
MAX_LINE_BYTES: Final = 1_000_000
# Bounds a streamed response; engines send far less even for the longest output.
MAX_STREAM_BYTES: Final = 64_000_000
# Time for the transfer of a response, beyond the time within which its first byte has to come. It
# ends a response that never pauses and never ends.
MAX_TRANSFER_S: Final = 2.0
REQUEST_ID_HEADER: Final = "X-Request-Id"
_RESET_ON_CLOSE: Final = struct.pack("ii", 1, 0)


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamRequest:
    """A request to an upstream.

    :ivar id: the upstream echoes it, so that a response to another request is detected
    """

    id: str
    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamResponse:
    """A complete response of an upstream."""

    status: int
    content_type: str
    body: bytes


class Call:
    """One request on its own connection to an upstream."""

    def __init__(self, target: cluster_view.Upstream, timeout_s: float) -> None:
        self.target: Final = target
        self._timeout_s = timeout_s
        self._connection = http.client.HTTPConnection(
            target.host, target.port, timeout=CONNECT_TIMEOUT_S
        )
        http_responses.use_whole_responses(self._connection)
        self._socket: socket.socket | None = None
        self._response: http.client.HTTPResponse | None = None
        self._lock = threading.Lock()
        self._cancelled = False

    def send(self, request: UpstreamRequest) -> int:
        """Send a request and return the status of the response.

        :raises UpstreamUnreachableError: if no connection was made, so that nothing was sent
        :raises UpstreamTimeoutError: if the response did not start in time
        :raises UpstreamBrokenError: if the connection failed after it was made
        :raises UpstreamAnswerError: if the response belongs to another request
        """
        self._connect()
        try:
            headers = {**request.headers, REQUEST_ID_HEADER: request.id}
            self._connection.request(request.method, request.path, request.body or None, headers)
            self._response = self._connection.getresponse()
        except TimeoutError as error:
            raise errors.UpstreamTimeoutError(self.target.id) from error
        except (OSError, http.client.HTTPException) as error:
            raise errors.UpstreamBrokenError(f"{self.target.id}: {error!r}") from error
        echoed = self._response.getheader(REQUEST_ID_HEADER)
        if echoed is not None and echoed != request.id:
            raise errors.UpstreamAnswerError("the response belongs to another request")
        return self._response.status

    @property
    def content_type(self) -> str:
        """Content type of the response, empty before it starts."""
        if self._response is None:
            return ""
        return self._response.getheader("Content-Type") or "application/octet-stream"

    def read(self) -> bytes:
        """Return the complete body of the response.

        :raises UpstreamBrokenError: if the body ends early
        :raises UpstreamTimeoutError: if no byte arrives within the timeout
        :raises UpstreamAnswerError: if the body is too large
        """
        if self._response is None:
            raise errors.UpstreamBrokenError(self.target.id)
        try:
            # None for a body in chunks, whose end is checked, and for one that ends with the
            # connection.
            expected_bytes = self._response.length
            body = self._response.read(MAX_RESPONSE_BYTES + 1)
        except TimeoutError as error:
            raise errors.UpstreamTimeoutError(self.target.id) from error
        except (OSError, http.client.HTTPException, ValueError) as error:
            raise errors.UpstreamBrokenError(f"{self.target.id}: {error!r}") from error
        if len(body) > MAX_RESPONSE_BYTES:
            raise errors.UpstreamAnswerError("the response is too large", self._response.status)
        is_short = expected_bytes is not None and len(body) < expected_bytes
        if is_short or self._cancelled:
            raise errors.UpstreamBrokenError(f"{self.target.id}: the body ended early")
        return body

    def lines(self) -> Iterator[bytes]:
        """Yield the lines of a streamed response until it ends.

        :raises UpstreamBrokenError: if the connection fails
        :raises UpstreamTimeoutError: if no byte arrives within the timeout
        """
        if self._response is None:
            return
        total = 0
        while True:
            try:
                line = self._response.readline(MAX_LINE_BYTES)
            except TimeoutError as error:
                raise errors.UpstreamTimeoutError(self.target.id) from error
            except (OSError, http.client.HTTPException, ValueError, AttributeError) as error:
                raise errors.UpstreamBrokenError(f"{self.target.id}: {error!r}") from error
            if not line:
                return
            total += len(line)
            if total > MAX_STREAM_BYTES:
                raise errors.UpstreamBrokenError(f"{self.target.id}: the stream is too large")
            yield line

    def cancel(self) -> None:
        """Cancel the call from another thread; the upstream sees the connection close."""
        with self._lock:
            self._cancelled = True
            if self._socket is not None:
                try:
                    # Resets the connection when it is closed: an upstream that is blocked in sending
                    # does not notice an orderly end.
                    self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
                    self._socket.shutdown(socket.SHUT_RDWR)
                except OSError:
                    pass

    def close(self) -> None:
        """Close the connection."""
        with self._lock:
            self._socket = None
            if self._response is not None:
                self._response.close()
            self._connection.close()

    def _connect(self) -> None:
        try:
            self._connection.connect()
        except OSError as error:
            raise errors.UpstreamUnreachableError(self.target.id) from error
        with self._lock:
            self._socket = self._connection.sock
            if self._cancelled:
                raise errors.UpstreamUnreachableError(self.target.id)
        self._connection.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._connection.sock.settimeout(self._timeout_s)


def fetch(
    target: cluster_view.Upstream, request: UpstreamRequest, timeout_s: float
) -> UpstreamResponse:
    """Send a request and return its complete response.

    :param timeout_s: maximum time in seconds without a byte from the upstream
    :raises UpstreamError: if there is no complete response
    """
    call = Call(target, timeout_s)
    timer = threading.Timer(timeout_s + MAX_TRANSFER_S, call.cancel)
    timer.daemon = True
    timer.start()
    try:
        status = call.send(request)
        return UpstreamResponse(status, call.content_type, call.read())
    finally:
        timer.cancel()
        call.close()
