"""The HTTP servers for callers and operators, based on waitress."""

from __future__ import annotations

import logging
import math
import threading
import time
from collections.abc import Callable, Iterable
from typing import Any, Final

import waitress.server
import waitress.task

from carawaydoor.operating import platform_options
from carawaydoor.policy import entities
from carawaydoor.serving import bounded_channel, caller_channel, request_limits

WsgiApp = Callable[[dict[str, Any], Any], Iterable[bytes]]

# Each thread serves one request from its headers to the end of its response.
MAX_CALLER_THREADS: Final = 72
# Enough for the load of a calm moment; more are started when all are busy.
INITIAL_CALLER_THREADS: Final = 4
# Part of the file descriptors; the rest is for upstreams, the store and readiness checks.
CALLER_CONNECTION_SHARE: Final = 0.5
# Peers keep a few connections each, and only while they reach no upstream.
PEER_CONNECTION_SHARE: Final = 0.125
# Of the sender, the time left and the attempts.
MAX_ADDED_HEADER_BYTES: Final = 1024
# Checks and operators send no bodies.
MAX_OPERATOR_REQUEST_BYTES: Final = 16_384
LISTEN_BACKLOG: Final = 1024
# Added to the configured idle timeout, so that a request sent just before it is still served.
IDLE_TIMEOUT_SLACK_S: Final = 5.0
CLEANUP_INTERVAL_S: Final = 5
# Above this, sending to a slow caller blocks the thread of its request.
MAX_BUFFERED_RESPONSE_BYTES: Final = 131_072
POLL_CHECK_INTERVAL_S: Final = 0.005


class _Task(caller_channel.Task):
    """Closes the connection after the response while the instance is draining."""

    def build_response_header(self) -> bytes:
        """Return the status line and headers of the response."""
        if self.channel.server.is_draining():
            self.request.headers["CONNECTION"] = "close"
        head: bytes = super().build_response_header()
        return head


class _Channel(bounded_channel.Channel):
    task_class = _Task

    def readable(self) -> bool:
        """Return whether more of a request may be read."""
        return not self.server.has_stopped_reading and super().readable()

    def handle_read(self) -> None:
        """Read a part of a request, unless reading was stopped since the poll began."""
        if not self.server.has_stopped_reading:
            super().handle_read()


class _Server(bounded_channel.Server):
    """A listener of an instance.

    :ivar has_stopped_reading: whether no request is read any more
    :ivar polls: number of polls that have begun
    """

    channel_class = _Channel

    def __init__(self, is_draining: Callable[[], bool], **arguments: Any) -> None:
        self.is_draining = is_draining
        self.has_stopped_reading = False
        self.polls = 0
        super().__init__(
            backlog=LISTEN_BACKLOG,
            channel_request_lookahead=1,
            asyncore_use_poll=True,
            cleanup_interval=CLEANUP_INTERVAL_S,
            outbuf_high_watermark=MAX_BUFFERED_RESPONSE_BYTES,
            send_bytes=1,
            ident=None,
            clear_untrusted_proxy_headers=False,
            **arguments,
        )

    def readable(self) -> bool:
        """Return whether a connection may be accepted; called at the beginning of each poll."""
        self.polls += 1
        return super().readable()


class GrowingDispatcher(waitress.task.ThreadedTaskDispatcher):  # type: ignore[misc]
    """Starts threads when they are needed, up to a limit, and keeps them."""

    def __init__(self, initial_threads: int, max_threads: int) -> None:
        super().__init__()
        self._max_threads = max_threads
        self.set_thread_count(initial_threads)

    def add_task(self, task: Any) -> None:
        """Queue a task, with a new thread for it if none is idle."""
        with self.lock:
            running = len(self.threads) - self.stop_count
            idle = running - self.active_count
            has_to_grow = len(self.queue) >= idle and running < self._max_threads
        if has_to_grow:
            self.set_thread_count(running + 1)
        super().add_task(task)


class CallerServer:
    """Accepts callers and runs the application in a thread pool.

    :param guard: bounds the requests; None for one without a form of its refusals
    """

    def __init__(
        self,
        app: WsgiApp,
        options: platform_options.Options,
        is_draining: Callable[[], bool],
        guard: request_limits.RequestGuard | None = None,
    ) -> None:
        # The application already logs what waitress would report.
        logging.getLogger("waitress").setLevel(logging.CRITICAL)
        self._guard = guard or request_limits.create_guard(options.memory_bytes)
        self._max_connections = options.max_descriptors
        self._dispatcher = GrowingDispatcher(INITIAL_CALLER_THREADS, MAX_CALLER_THREADS)
        self._is_draining = is_draining
        self._limits = entities.Limits()
        self._map: dict[int, Any] = {}
        self._server = self._listen(app, options.front, CALLER_CONNECTION_SHARE)
        self._servers = [self._server]
        self.apply_limits(self._limits)

    def listen_to_peers(self, app: WsgiApp, address: platform_options.Address) -> None:
        """Serve other instances too, with the same threads."""
        self._servers.append(self._listen(app, address, PEER_CONNECTION_SHARE))
        self._set_limits()

    def _listen(self, app: WsgiApp, address: platform_options.Address, share: float) -> _Server:
        return _Server(
            self._is_draining,
            app=app,
            guard=self._guard,
            max_connections=int(self._max_connections * share),
            dispatcher=self._dispatcher,
            map=self._map,
            host=address.host,
            port=address.port,
        )

    def apply_limits(self, limits: entities.Limits) -> None:
        """Apply new limits on the size of requests and on idle time."""
        self._limits = limits
        self._set_limits()
        self._guard.check_body_limit(limits.max_body_bytes)

    def _set_limits(self) -> None:
        limits = self._limits
        for each in self._servers:
            # Peers add headers to the requests that they pass on.
            added_bytes = 0 if each is self._server else MAX_ADDED_HEADER_BYTES
            each.set_limits(
                limits.max_header_bytes + added_bytes,
                limits.max_body_bytes,
                limits.header_timeout_s or math.inf,
            )
            each.adj.channel_timeout = limits.idle_timeout_s + IDLE_TIMEOUT_SLACK_S

    def wait_until_read(self, timeout_s: float) -> None:
        """Wait until everything that callers have sent so far was read.

        :param timeout_s: longest wait in seconds
        """
        # The poll that is under way may have begun before; the one after it sees all that was sent.
        until_polls = self._server.polls + 2
        deadline_s = time.monotonic() + timeout_s
        while self._server.polls < until_polls and time.monotonic() < deadline_s:
            self._server.pull_trigger()
            time.sleep(POLL_CHECK_INTERVAL_S)

    def stop_reading(self) -> None:
        """Accept no connection and read no request any more; those that were read are answered."""
        for server in self._servers:
            server.has_stopped_reading = True
            server.accepting = False

    def has_unanswered(self) -> bool:
        """Return whether a request that was read has no complete response yet."""
        return any(
            each.requests or each.total_outbufs_len
            for server in self._servers
            for each in tuple(server.active_channels.values())
        )

    def start(self) -> None:
        """Start to accept callers."""
        threading.Thread(target=self._server.run, name="callers", daemon=True).start()


class OperatorServer:
    """Serves health checks and operators, apart from the callers' server."""

    def __init__(self, app: WsgiApp, addresses: Iterable[platform_options.Address]) -> None:
        listen = " ".join(str(each) for each in addresses)
        self._server = waitress.server.create_server(
            app,
            map={},
            listen=listen,
            threads=1,
            asyncore_use_poll=True,
            ident=None,
            max_request_header_size=MAX_OPERATOR_REQUEST_BYTES,
            max_request_body_size=MAX_OPERATOR_REQUEST_BYTES,
        )

    def start(self) -> None:
        """Start to accept connections."""
        threading.Thread(target=self._server.run, name="operators", daemon=True).start()
