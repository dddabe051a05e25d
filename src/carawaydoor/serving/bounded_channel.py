"""Connections and listeners on which unfinished requests and idle connections are bounded."""

from __future__ import annotations

import contextlib
import socket
import threading
from collections.abc import Callable, Iterable
from typing import Any, Final

import waitress.adjustments
import waitress.server

from carawaydoor.policy import request_memory
from carawaydoor.serving import bounded_requests, caller_channel, request_limits

WsgiApp = Callable[[dict[str, Any], Any], Iterable[bytes]]

# After a refusal, what the caller still sends is dropped for so long, so that it gets the response
# and no reset of the connection. A refused body of ordinary size fits.
MAX_DROP_TIME_S: Final = 2.0
MAX_DROPPED_BYTES: Final = 4_194_304
DROP_BLOCK_BYTES: Final = 65_536
CHECK_INTERVAL_S: Final = 0.25
# The listeners count connections themselves; waitress would count those of all listeners together.
_NO_CONNECTION_LIMIT: Final = 1_000_000


class Channel(caller_channel.Channel):
    """A connection whose requests hold a part of the memory for requests.

    :ivar quiet_since_s: when the connection was accepted, or its last response ended
    """

    request: Any

    def __init__(
        self,
        server: Any,
        sock: socket.socket,
        addr: Any,
        adj: Any,
        map: Any,  # noqa: A002
    ) -> None:
        self._guard: request_limits.RequestGuard = server.guard
        self.quiet_since_s = self._guard.clock.now_s()
        self._drop_until_s: float | None = None
        self._dropped_bytes = 0
        self._is_refused = False
        self._has_to_refuse = False
        super().__init__(server, sock, addr, adj, map=map)
        # Sending closes a lost connection, also while a request is being received or has ended.
        self.requests_lock = threading.RLock()

    def parser_class(self, adj: Any) -> bounded_requests.BoundedRequest:
        """Return a new request."""
        return bounded_requests.BoundedRequest(adj, self._guard, self.give_up)

    def readable(self) -> bool:
        """Return whether anything is to be read."""
        return self._drop_until_s is not None or bool(super().readable())

    def writable(self) -> bool:
        """Return whether anything is to be written, or the connection to be closed."""
        return self._drop_until_s is None and bool(super().writable())

    def handle_read(self) -> None:
        """Read a part of a request, or of what follows a refused one."""
        if self._drop_until_s is None:
            super().handle_read()
            return
        try:
            # Closes the connection at its end.
            self._dropped_bytes += len(self.recv(DROP_BLOCK_BYTES))
        except OSError:
            self.handle_close()
            return
        if self._dropped_bytes > MAX_DROPPED_BYTES:
            self.handle_close()

    def received(self, data: bytes) -> bool:
        """Receive data, and refuse a request that exceeds a limit without waiting for a thread."""
        has_received = bool(super().received(data))
        self._refuse_if_due()
        return has_received

    def refuse_soon(self) -> None:
        """Refuse the next request when the data that is being received was taken."""
        self._has_to_refuse = True

    def give_up(self) -> None:
        """End the request that is being received, for the benefit of others."""
        with self.requests_lock:
            request = self.request
            if request is None:
                return
            self.request = None
            self.sent_continue = False
            # A response that is under way has to end before the connection does.
            has_head = request.headers_finished or bool(self.requests)
            if has_head:
                request.refuse(request_limits.Limit.STOPPED)
                self.requests.append(request)
                self._has_to_refuse = len(self.requests) == 1
            else:
                request.close()
        if not has_head:
            self.server.record(request_limits.Limit.STOPPED)
            self.close_when_flushed = True
        self._refuse_if_due()

    def service(self) -> None:
        """Serve or refuse one request."""
        error = self.requests[0].error
        if error is not None:
            # The rest of an unread body may follow.
            self._is_refused = True
            if isinstance(error, bounded_requests.RefusedError):
                self.server.record(error.limit)
        super().service()
        self.quiet_since_s = self._guard.clock.now_s()
        with self.requests_lock:
            if not self.connected:
                for each in self.requests:
                    each.close()

    def handle_close(self) -> None:
        """Close the connection, after a refusal only when the caller had time to read it."""
        if self._is_refused and self.connected and self._drop_until_s is None:
            with contextlib.suppress(OSError):
                self.socket.shutdown(socket.SHUT_WR)
                self.will_close = False
                self._drop_until_s = self._guard.clock.now_s() + MAX_DROP_TIME_S
                return
        super().handle_close()
        with self.requests_lock:
            if self.request is not None:
                self.request.close()
                self.request = None

    def end_if_overdue(self, now_s: float, header_timeout_s: float) -> None:
        """Close the connection if a head, or the end of what follows a refusal, took too long."""
        if self._drop_until_s is not None:
            if now_s >= self._drop_until_s:
                self.handle_close()
            return
        request = self.request
        if request is None or request.headers_finished or not self._is_idle:
            return
        if now_s - max(request.started_s, self.quiet_since_s) > header_timeout_s:
            self.server.record(request_limits.Limit.HEAD_TIME)
            self.will_close = True

    def describe(self) -> request_memory.IdleConnection | None:
        """Return what decides whether a new connection takes the place; None if it is in use."""
        if not self._is_idle:
            return None
        request = self.request
        idle_since_s = request.idle_since_s if request is not None else self.quiet_since_s
        # A refused connection has no more to say.
        is_unfinished = request is not None or self._is_refused
        return request_memory.IdleConnection(id(self), idle_since_s, is_unfinished)

    def close_now(self) -> None:
        """Close the connection without dropping what follows."""
        self._is_refused = False
        self.handle_close()

    @property
    def _is_idle(self) -> bool:
        return not self.requests and not self.total_outbufs_len

    def _refuse_if_due(self) -> None:
        if not self._has_to_refuse:
            return
        self._has_to_refuse = False
        if self.total_outbufs_len:
            # Writing may have to wait until the caller reads the response before.
            self.server.task_dispatcher.add_task(self)
        else:
            self.service()


class Server(waitress.server.TcpWSGIServer):  # type: ignore[misc]
    """A listener that bounds its connections and their unfinished requests.

    :param max_connections: number of connections; a new one takes the place of an idle one
    :ivar guard: what all listeners of an instance share
    :ivar header_timeout_s: time in seconds from the first byte of a head to its end
    """

    channel_class = Channel

    def __init__(
        self,
        app: WsgiApp,
        guard: request_limits.RequestGuard,
        max_connections: int,
        dispatcher: Any,
        map: dict[int, Any],  # noqa: A002
        **adjustments: Any,
    ) -> None:
        self.guard = guard
        self.header_timeout_s = float("inf")
        self._max_connections = max_connections
        self._listener_thread = 0
        self._checked_s = 0.0
        adj = waitress.adjustments.Adjustments(connection_limit=_NO_CONNECTION_LIMIT, **adjustments)
        super().__init__(app, map, dispatcher=dispatcher, adj=adj, sockinfo=adj.listen[0])

    def set_limits(
        self, max_header_bytes: int, max_body_bytes: int, header_timeout_s: float
    ) -> None:
        """Apply limits to each request; sizes are the largest that are accepted."""
        # waitress refuses requests of the size itself.
        self.adj.max_request_header_size = max_header_bytes + 1
        self.adj.max_request_body_size = max_body_bytes + 1
        self.header_timeout_s = header_timeout_s

    def record(self, limit: request_limits.Limit) -> None:
        """Record that a limit took effect."""
        self.guard.recorder.record(limit, self.guard.budget.held_bytes, len(self.active_channels))

    def readable(self) -> bool:
        """Return whether a connection may be accepted; called at the beginning of each poll."""
        self._listener_thread = threading.get_ident()
        now_s = self.guard.clock.now_s()
        if now_s - self._checked_s >= CHECK_INTERVAL_S:
            self._checked_s = now_s
            for each in tuple(self.active_channels.values()):
                each.end_if_overdue(now_s, self.header_timeout_s)
        is_accepting = bool(super().readable())
        return is_accepting and (
            len(self.active_channels) < self._max_connections or self._close_idle_connection(now_s)
        )

    def add_task(self, task: Channel) -> None:
        """Have a thread serve the next request of a connection, or refuse it in this one."""
        is_refused = task.requests[0].error is not None
        if is_refused and threading.get_ident() == self._listener_thread:
            task.refuse_soon()
        else:
            super().add_task(task)

    def _close_idle_connection(self, now_s: float) -> bool:
        channels = {id(each): each for each in self.active_channels.values()}
        described = (each.describe() for each in channels.values())
        chosen = request_memory.choose_idle_connection(
            [each for each in described if each is not None], now_s
        )
        if chosen is None:
            return False
        self.record(request_limits.Limit.CONNECTIONS)
        channels[chosen].close_now()
        return True
