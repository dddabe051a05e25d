"""A pool of persistent HTTP connections to upstreams, each with one request at a time."""

from __future__ import annotations

import collections
import contextlib
import dataclasses
import enum
import http.client
import re
import socket
import threading
from collections.abc import Callable, Iterator
from typing import Final

from carawaydoor.operating import clocks, http_responses
from carawaydoor.policy import entities
from carawaydoor.serving import http_exchange, protocol_adapter, response_budget, sockets

# Long enough for some round trips and one retransmission.
CONNECT_TIMEOUT_S: Final = 0.6
# Part of the upstream's keep-alive timeout after which an idle connection is closed, so that the
# upstream does not close it just as the next request is sent.
MAX_IDLE_SHARE: Final = 0.5
# Applies to upstreams that state no keep-alive timeout.
DEFAULT_MAX_IDLE_S: Final = 4.0
MAX_CHUNK_BYTES: Final = 65_536
# Bounds the status line, the headers and any interim responses before them.
MAX_HEAD_BYTES: Final = 65_536
# Bounds the body as it is transferred, with chunk sizes and trailers.
MAX_TRANSFERRED_BODY_BYTES: Final = 64_000_000
# Ids that a connection remembers; a request is only repeated within seconds.
MAX_KNOWN_IDS: Final = 64

# Some servers add a date of their own before that of the application.
_LAST_ONE_COUNTS: Final = frozenset({"date"})
_KEEP_ALIVE_TIMEOUT: Final = re.compile(r"timeout\s*=\s*(\d{1,6})(?!\d)")


class UpstreamConnectionError(Exception):
    """A call to an upstream failed on its connection."""


class NotSentError(UpstreamConnectionError):
    """No byte of the request was sent, so it has not run and will not."""


class NoListenerError(NotSentError):
    """The host refused the connection: no process listens, so the upstream has ended."""


class EvacuatedError(NotSentError):
    """The failure domain of the upstream was evacuated before the request was sent."""


class ConnectionLostError(UpstreamConnectionError):
    """The connection failed after the request was sent; the request may have run."""


class MalformedResponseError(UpstreamConnectionError):
    """The response violates HTTP; the request may have run."""


class ResponseTooLargeError(MalformedResponseError):
    """The instance has no memory left to read a response as a whole."""


class Origin(enum.Enum):
    """Whether a connection is new or was used before."""

    NEW = "new"
    REUSED = "kept"


class Framing(enum.Enum):
    """How a response marks the end of its body."""

    LENGTH = "length"
    CHUNKS = "chunks"
    CONNECTION_END = "connection_end"


@dataclasses.dataclass(frozen=True, slots=True)
class _IdleConnection:
    connection: Connection
    expires_s: float


class Connection:
    """One HTTP connection to an upstream."""

    def __init__(
        self,
        upstream: entities.Upstream,
        connected: sockets.InterruptibleSocket,
        pool: ConnectionPool,
    ) -> None:
        self.upstream: Final = upstream
        self._pool: Final = pool
        self.origin = Origin.NEW
        self._has_carried_any = False
        self._carried_ids: collections.deque[str] = collections.deque(maxlen=MAX_KNOWN_IDS)
        self._socket = connected
        self._http = http.client.HTTPConnection(upstream.host, upstream.port)
        http_responses.use_whole_responses(self._http)
        self._http.sock = connected
        self._http.auto_open = 0

    def send(
        self, request: protocol_adapter.EncodedRequest, wait_limit: sockets.WaitLimit
    ) -> UpstreamResponse:
        """Send a request and return the response, whose body has not been read yet.

        :raises EvacuatedError: if the upstream must get no request any more
        :raises ConnectionLostError: if the connection fails
        :raises MalformedResponseError: if the response violates HTTP
        :raises WaitAbortedError: if the wait limit is reached
        """
        self._socket.wait_limit = wait_limit
        self._socket.readable_bytes = MAX_HEAD_BYTES
        wait_limit.next_wait_s()
        if not self._pool.may_send(self.upstream):
            raise EvacuatedError(f"failure domain {self.upstream.domain} is evacuated")
        sent_s = self._pool.clock.now_s()
        is_first, self._has_carried_any = not self._has_carried_any, True
        self._carried_ids.append(request.request_id)
        self._pool.on_request(self.upstream)
        try:
            self._write(request)
            response = self._http.getresponse()
        except OSError as error:
            raise ConnectionLostError(repr(error)) from error
        except (http.client.HTTPException, ValueError) as error:
            raise MalformedResponseError(repr(error)) from error
        self._socket.readable_bytes = MAX_TRANSFERRED_BODY_BYTES
        opened = UpstreamResponse(self, response, request.request_id, sent_s, is_first)
        self._pool.on_response(self.upstream, opened)
        return opened

    @property
    def budget(self) -> response_budget.ResponseBudget:
        """The memory that responses may take."""
        return self._pool.budget

    def set_wait_limit(self, wait_limit: sockets.WaitLimit) -> None:
        """Apply another wait limit to the rest of a response."""
        self._socket.wait_limit = wait_limit

    def record_progress(self) -> None:
        """Tell the wait limit that a part of the response arrived."""
        self._socket.wait_limit.record_progress()

    def has_bytes(self) -> bool:
        """Return whether more of the response, or its end, can be read without waiting."""
        return self._socket.has_bytes()

    def has_carried(self, request_id: str) -> bool:
        """Return whether a request with this id was sent, whose response may be repeated."""
        return request_id in self._carried_ids

    def is_reusable(self) -> bool:
        """Return whether another request may be sent."""
        return self._http.sock is not None and self._socket.is_idle()

    def close(self) -> None:
        """Close the connection, which makes the upstream stop its work on the request."""
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
    """The response of an upstream, whose body is read as it arrives.

    :ivar request_id: id of the request, empty for one without an id
    :ivar requested_s: when the request was sent, by this instance's clock
    :ivar is_first: whether the connection carried no earlier request, to which this could respond
    """

    def __init__(
        self,
        connection: Connection,
        response: http.client.HTTPResponse,
        request_id: str,
        requested_s: float,
        is_first: bool,
    ) -> None:
        self._connection = connection
        self.is_first: Final = is_first
        self.request_id: Final = request_id
        self.requested_s: Final = requested_s
        self._response = response
        self.status: Final = response.status
        self.reason: Final = response.reason
        self.headers: Final[http_exchange.Headers] = tuple(response.getheaders())
        self.header_by_name: Final = _combine(self.headers)
        self.framing: Final = _framing(response)
        self._is_complete = False

    @property
    def is_complete(self) -> bool:
        """Whether the whole body has arrived."""
        return self._is_complete

    def read(self) -> bytes:
        """Return the whole body.

        :raises UpstreamConnectionError: if the body is incomplete, or too large for the memory left
        """
        with contextlib.closing(self.read_held()) as body:
            return b"".join(body)

    def read_held(self) -> response_budget.HeldBody:
        """Return the whole body, which holds a part of the instance's memory until it is taken.

        :raises UpstreamConnectionError: if the body is incomplete, or too large for the memory left
        """
        body = response_budget.HeldBody(self._connection.budget.reserve())
        try:
            for chunk in self.chunks():
                if not body.add(chunk):
                    raise ResponseTooLargeError(f"no memory for more than {body.length} bytes")
        except BaseException:
            body.close()
            raise
        return body

    def chunks(self) -> Iterator[bytes]:
        """Yield the body as it arrives.

        :raises ConnectionLostError: if the connection fails or the body ends early
        """
        while True:
            try:
                chunk = self._response.read1(MAX_CHUNK_BYTES)
            except OSError as error:
                raise ConnectionLostError(repr(error)) from error
            except (http.client.HTTPException, ValueError) as error:
                raise ConnectionLostError(f"body is incomplete: {error!r}") from error
            if not chunk:
                break
            yield chunk
        if self._response.length:
            raise ConnectionLostError(f"{self._response.length} bytes of the body are missing")
        self._response.close()
        self._is_complete = True

    @property
    def max_idle_s(self) -> float | None:
        """Longest idle time of the connection in seconds, None if it cannot be reused."""
        if not self._is_complete or self._response.will_close:
            return None
        match = _KEEP_ALIVE_TIMEOUT.search(self.header_by_name.get("keep-alive", ""))
        return MAX_IDLE_SHARE * int(match.group(1)) if match else DEFAULT_MAX_IDLE_S


_PoolKey = tuple[str, str, int, str]
RequestCallback = Callable[[entities.Upstream], None]
ResponseCallback = Callable[[entities.Upstream, UpstreamResponse], None]


class ConnectionPool:
    """Idle connections by upstream.

    :ivar budget: the memory that responses may take
    :ivar may_send: returns whether any request may be sent to an upstream now
    :ivar on_request: called before any request is sent
    :ivar on_response: called with each response to any request, as soon as its headers are there
    """

    def __init__(
        self, clock: clocks.Clock, budget: response_budget.ResponseBudget | None = None
    ) -> None:
        self.budget: Final = budget or response_budget.ResponseBudget(
            response_budget.MAX_TOTAL_BYTES
        )
        self.may_send: Callable[[entities.Upstream], bool] = _allow_request
        self.on_request: RequestCallback = _ignore_request
        self.on_response: ResponseCallback = _ignore_response
        self.clock: Final = clock
        self._lock = threading.Lock()
        self._idle_by_upstream: dict[_PoolKey, collections.deque[_IdleConnection]] = (
            collections.defaultdict(collections.deque)
        )

    def acquire(
        self,
        upstream: entities.Upstream,
        new_only: bool = False,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
        request_id: str = "",
    ) -> Connection:
        """Return an idle or a new connection to an upstream.

        :param new_only: whether an idle connection must not be reused
        :param connect_timeout_s: timeout in seconds for a new connection
        :param request_id: id that the connection must not have carried, empty for any
        :raises NotSentError: if no connection can be established
        """
        reused = None if new_only else self._acquire_idle(upstream, request_id)
        if reused is not None:
            reused.origin = Origin.REUSED
            return reused
        try:
            connected = socket.create_connection(
                (upstream.host, upstream.port), timeout=connect_timeout_s
            )
            sockets.set_tcp_options(connected)
        except ConnectionRefusedError as error:
            raise NoListenerError(repr(error)) from error
        except (OSError, UnicodeError, OverflowError) as error:
            # The last two are raised for a host or a port that can't exist.
            raise NotSentError(repr(error)) from error
        interruptible = sockets.InterruptibleSocket(connected, sockets.NO_WAIT)
        return Connection(upstream, interruptible, self)

    def release(self, connection: Connection, response: UpstreamResponse) -> None:
        """Keep a connection for the next request, or close it if it cannot be reused."""
        max_idle_s = response.max_idle_s
        if not max_idle_s or not connection.is_reusable():
            connection.close()
            return
        idle = _IdleConnection(connection, self.clock.now_s() + max_idle_s)
        with self._lock:
            self._idle_by_upstream[_pool_key(connection.upstream)].append(idle)

    def close_idle(self, upstream: entities.Upstream) -> None:
        """Close the idle connections to an upstream."""
        with self._lock:
            dropped = self._idle_by_upstream.pop(_pool_key(upstream), ())
        for each in dropped:
            each.connection.close()

    def close_expired(self) -> None:
        """Close the connections that were idle for too long."""
        now_s = self.clock.now_s()
        expired: list[_IdleConnection] = []
        with self._lock:
            for idle in self._idle_by_upstream.values():
                while idle and idle[0].expires_s <= now_s:
                    expired.append(idle.popleft())
        for each in expired:
            each.connection.close()

    def _acquire_idle(self, upstream: entities.Upstream, request_id: str) -> Connection | None:
        while True:
            with self._lock:
                idle = self._idle_by_upstream.get(_pool_key(upstream))
                newest = idle.pop() if idle else None
            if newest is None:
                return None
            is_repeat = bool(request_id) and newest.connection.has_carried(request_id)
            is_expired = newest.expires_s <= self.clock.now_s()
            if not is_repeat and not is_expired and newest.connection.is_reusable():
                return newest.connection
            newest.connection.close()


def _allow_request(_: entities.Upstream) -> bool:
    """Allow any request, as the default callback."""
    return True


def _ignore_request(_: entities.Upstream) -> None:
    """Do nothing, as the default callback."""


def _ignore_response(_: entities.Upstream, __: UpstreamResponse) -> None:
    """Do nothing, as the default callback."""


def _combine(headers: http_exchange.Headers) -> dict[str, str]:
    """Return the values by name in lower case, those of repeated headers joined by commas.

    A head that names two requests is thereby the response to neither.
    """
    value_by_name: dict[str, str] = {}
    for name, value in headers:
        key = name.lower()
        is_repeated = key in value_by_name and key not in _LAST_ONE_COUNTS
        value_by_name[key] = f"{value_by_name[key]}, {value}" if is_repeated else value
    return value_by_name


def _framing(response: http.client.HTTPResponse) -> Framing:
    if response.chunked:
        return Framing.CHUNKS
    return Framing.CONNECTION_END if response.length is None else Framing.LENGTH


def _pool_key(upstream: entities.Upstream) -> _PoolKey:
    # Not all entries say when their upstream started.
    return upstream.id, upstream.address, upstream.born_ms, upstream.version
