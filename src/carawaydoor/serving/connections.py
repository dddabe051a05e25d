"""Kept connections to upstreams, one request at a time on each."""

from __future__ import annotations

import collections
import dataclasses
import enum
import http.client
import re
import socket
import threading
from collections.abc import Iterator
from typing import Final

from carawaydoor.operating import clocks
from carawaydoor.policy import entities
from carawaydoor.serving import http_exchange, protocol_adapter, sockets

# Time in seconds to establish a connection: some round trips and one retransmission.
CONNECT_TIMEOUT_S: Final = 0.6
# An unused connection is given up after this part of the time that the upstream keeps it for, so
# that it does not close it at the moment of the next request.
MAX_IDLE_SHARE: Final = 0.5
# Time in seconds for which an unused connection is kept where the upstream states none.
DEFAULT_MAX_IDLE_S: Final = 4.0
# Bytes of one piece of a relayed stream.
CHUNK_BYTES: Final = 65_536
# Largest whole answer in bytes.
MAX_RESPONSE_BYTES: Final = 16_000_000

_KEEP_ALIVE_TIMEOUT: Final = re.compile(r"timeout\s*=\s*(\d+)")


class UpstreamConnectionError(Exception):
    """A call to an upstream failed."""


class NotSentError(UpstreamConnectionError):
    """No byte of the request has left: it has not run and will not."""


class NoListenerError(NotSentError):
    """Nobody listens at the upstream's address: its process has ended."""


class ConnectionLostError(UpstreamConnectionError):
    """The connection failed after the request was sent: it may have run."""


class MalformedResponseError(UpstreamConnectionError):
    """The upstream answered something that is no answer in the protocol: it may have run."""


class Origin(enum.Enum):
    """Where a connection comes from."""

    NEW = "new"
    REUSED = "kept"


@dataclasses.dataclass(frozen=True, slots=True)
class _IdleConnection:
    connection: Connection
    expires_s: float


class Connection:
    """One connection to an upstream."""

    def __init__(self, upstream: entities.Upstream, connected: sockets.InterruptibleSocket) -> None:
        self.upstream: Final = upstream
        self.origin = Origin.NEW
        self._socket = connected
        self._http = http.client.HTTPConnection(upstream.host, upstream.port)
        self._http.sock = connected
        self._http.auto_open = 0

    def send(
        self, request: protocol_adapter.EncodedRequest, wait_limit: sockets.WaitLimit
    ) -> UpstreamResponse:
        """Send a request and return its answer, whose body is yet to be read.

        :raises BrokenError: where the connection fails
        :raises MalformedError: where the answer breaks the protocol
        :raises WaitError: where the watch ends the wait
        """
        self._socket.wait_limit = wait_limit
        wait_limit.next_wait_s()
        try:
            self._write(request)
            response = self._http.getresponse()
        except (http.client.RemoteDisconnected, OSError) as error:
            raise ConnectionLostError(repr(error)) from error
        except (http.client.HTTPException, ValueError) as error:
            raise MalformedResponseError(repr(error)) from error
        return UpstreamResponse(self, response)

    def set_wait_limit(self, wait_limit: sockets.WaitLimit) -> None:
        """Put the waits for the rest of an answer under another watch."""
        self._socket.wait_limit = wait_limit

    def record_progress(self) -> None:
        """Tell the watch that the answer goes on."""
        self._socket.wait_limit.record_progress()

    def is_reusable(self) -> bool:
        """Return whether another request may be sent."""
        return self._http.sock is not None and self._socket.is_idle()

    def close(self) -> None:
        """Close the connection; the upstream stops working for it."""
        self._socket.disconnect()

    def _write(self, request: protocol_adapter.EncodedRequest) -> None:
        self._http.putrequest(
            request.method, request.target, skip_host=True, skip_accept_encoding=True
        )
        for name, value in request.headers:
            self._http.putheader(name, value)
        if request.body or request.method not in ("GET", "HEAD", "DELETE"):
            self._http.putheader("Content-Length", str(len(request.body)))
        self._http.endheaders(request.body or None)


class UpstreamResponse:
    """The answer of an upstream: its head, and its body as it arrives."""

    def __init__(self, connection: Connection, response: http.client.HTTPResponse) -> None:
        self._connection = connection
        self._response = response
        self.status: Final = response.status
        self.reason: Final = response.reason
        self.headers: Final[http_exchange.Headers] = tuple(response.getheaders())
        self.header_by_name: Final = {name.lower(): value for name, value in self.headers}
        self._is_complete = False

    @property
    def is_complete(self) -> bool:
        """Whether the body has arrived to its end."""
        return self._is_complete

    def read(self) -> bytes:
        """Return the whole body.

        :raises UpstreamError: where it ends early
        """
        return b"".join(self.chunks(MAX_RESPONSE_BYTES))

    def chunks(self, limit: int | None = None) -> Iterator[bytes]:
        """Yield the body as it arrives.

        :param limit: most bytes in all, None for no limit
        :raises BrokenError: where the connection fails before the end
        :raises MalformedError: where the body breaks the protocol or the limit
        """
        total = 0
        while True:
            try:
                chunk = self._response.read1(CHUNK_BYTES)
            except OSError as error:
                raise ConnectionLostError(repr(error)) from error
            except (http.client.HTTPException, ValueError) as error:
                raise ConnectionLostError(f"ended early: {error!r}") from error
            if not chunk:
                break
            total += len(chunk)
            if limit is not None and total > limit:
                raise MalformedResponseError(f"more than {limit} bytes")
            yield chunk
        if self._response.length:
            raise ConnectionLostError(f"{self._response.length} bytes are missing")
        self._response.close()
        self._is_complete = True

    @property
    def max_idle_s(self) -> float | None:
        """Time in seconds for which the connection may be kept, None where it may not."""
        if not self._is_complete or self._response.will_close:
            return None
        match = _KEEP_ALIVE_TIMEOUT.search(self.header_by_name.get("keep-alive", ""))
        return MAX_IDLE_SHARE * int(match.group(1)) if match else DEFAULT_MAX_IDLE_S


class ConnectionPool:
    """Unused connections by upstream."""

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._idle_by_upstream: dict[tuple[str, str, int], collections.deque[_IdleConnection]] = (
            collections.defaultdict(collections.deque)
        )

    def acquire(self, upstream: entities.Upstream, new_only: bool = False) -> Connection:
        """Return a connection to an upstream, kept or new.

        :param fresh_only: whether a kept connection won't do
        :raises NotSentError: where none can be established
        """
        reused = None if new_only else self._acquire_idle(upstream)
        if reused is not None:
            reused.origin = Origin.REUSED
            return reused
        try:
            connected = socket.create_connection(
                (upstream.host, upstream.port), timeout=CONNECT_TIMEOUT_S
            )
            sockets.set_tcp_options(connected)
        except ConnectionRefusedError as error:
            raise NoListenerError(repr(error)) from error
        except OSError as error:
            raise NotSentError(repr(error)) from error
        return Connection(upstream, sockets.InterruptibleSocket(connected, sockets.NO_WAIT))

    def release(self, connection: Connection, response: UpstreamResponse) -> None:
        """Keep a connection for the next request, or close it where it can't be kept."""
        max_idle_s = response.max_idle_s
        if not max_idle_s or not connection.is_reusable():
            connection.close()
            return
        idle = _IdleConnection(connection, self._clock.now_s() + max_idle_s)
        with self._lock:
            self._idle_by_upstream[_pool_key(connection.upstream)].append(idle)

    def close_idle(self, upstream: entities.Upstream) -> None:
        """Close the unused connections to an upstream."""
        with self._lock:
            dropped = self._idle_by_upstream.pop(_pool_key(upstream), ())
        for each in dropped:
            each.connection.close()

    def close_expired(self) -> None:
        """Close the connections that were unused for too long."""
        now_s = self._clock.now_s()
        expired: list[_IdleConnection] = []
        with self._lock:
            for idle in self._idle_by_upstream.values():
                while idle and idle[0].expires_s <= now_s:
                    expired.append(idle.popleft())
        for each in expired:
            each.connection.close()

    def _acquire_idle(self, upstream: entities.Upstream) -> Connection | None:
        while True:
            with self._lock:
                idle = self._idle_by_upstream.get(_pool_key(upstream))
                newest = idle.pop() if idle else None
            if newest is None:
                return None
            if newest.expires_s > self._clock.now_s() and newest.connection.is_reusable():
                return newest.connection
            newest.connection.close()


def _pool_key(upstream: entities.Upstream) -> tuple[str, str, int]:
    return upstream.id, upstream.address, upstream.born_ms
