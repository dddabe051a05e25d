"""The HTTP servers for callers and operators, based on waitress."""

from __future__ import annotations

import logging
import threading
import time
from collections.abc import Callable, Iterable
from typing import Any, Final

import waitress.server
import waitress.task

from carawaydoor.operating import platform_options
from carawaydoor.policy import entities
from carawaydoor.serving import caller_channel

WsgiApp = Callable[[dict[str, Any], Any], Iterable[bytes]]

# Each thread serves one request from its headers to the end of its response.
MAX_CALLER_THREADS: Final = 72
# Enough for the load of a calm moment; more are started when all are busy.
INITIAL_CALLER_THREADS: Final = 4
# Part of the file descriptors; the rest is for upstreams and peers.
CALLER_CONNECTION_SHARE: Final = 0.5
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


class _Channel(caller_channel.Channel):
    task_class = _Task

    def readable(self) -> bool:
        """Return whether more of a request may be read."""
        return not self.server.has_stopped_reading and bool(super().readable())

    def handle_read(self) -> None:
        """Read a part of a request, unless reading was stopped since the poll began."""
        if not self.server.has_stopped_reading:
            super().handle_read()


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
    """Accepts callers and runs the application in a thread pool."""

    def __init__(
        self, app: WsgiApp, options: platform_options.Options, is_draining: Callable[[], bool]
    ) -> None:
        # The application already logs what waitress would report.
        logging.getLogger("waitress").setLevel(logging.CRITICAL)
        self._server = waitress.server.create_server(
            app,
            map={},
            _dispatcher=GrowingDispatcher(INITIAL_CALLER_THREADS, MAX_CALLER_THREADS),
            host=options.front.host,
            port=options.front.port,
            backlog=LISTEN_BACKLOG,
            channel_request_lookahead=1,
            connection_limit=int(options.max_descriptors * CALLER_CONNECTION_SHARE),
            asyncore_use_poll=True,
            cleanup_interval=CLEANUP_INTERVAL_S,
            outbuf_high_watermark=MAX_BUFFERED_RESPONSE_BYTES,
            send_bytes=1,
            ident=None,
            clear_untrusted_proxy_headers=False,
        )
        self._servers = [self._server]
        self._is_draining = is_draining
        self._prepare(self._server)
        self._polls = 0
        self._count_polls()
        self.apply_limits(entities.Limits())

    def listen_to_peers(self, app: WsgiApp, address: platform_options.Address) -> None:
        """Serve other instances too, with the same threads."""
        server = waitress.server.create_server(
            app,
            map=self._server._map,
            _dispatcher=self._server.task_dispatcher,
            host=address.host,
            port=address.port,
            backlog=LISTEN_BACKLOG,
            channel_request_lookahead=1,
            asyncore_use_poll=True,
            outbuf_high_watermark=MAX_BUFFERED_RESPONSE_BYTES,
            send_bytes=1,
            ident=None,
            clear_untrusted_proxy_headers=False,
        )
        self._prepare(server)
        self._servers.append(server)

    def _prepare(self, server: Any) -> None:
        server.channel_class = _Channel
        server.is_draining = self._is_draining
        server.has_stopped_reading = False

    def apply_limits(self, limits: entities.Limits) -> None:
        """Apply new limits on the size of requests and on idle time."""
        adjustments = self._server.adj
        adjustments.max_request_header_size = limits.max_header_bytes
        adjustments.max_request_body_size = limits.max_body_bytes
        adjustments.channel_timeout = limits.idle_timeout_s + IDLE_TIMEOUT_SLACK_S

    def wait_until_read(self, timeout_s: float) -> None:
        """Wait until everything that callers have sent so far was read.

        :param timeout_s: longest wait in seconds
        """
        # The poll that is under way may have begun before; the one after it sees all that was sent.
        until_polls = self._polls + 2
        deadline_s = time.monotonic() + timeout_s
        while self._polls < until_polls and time.monotonic() < deadline_s:
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

    def _count_polls(self) -> None:
        is_readable = self._server.readable

        def readable() -> bool:
            self._polls += 1
            return bool(is_readable())

        # Called once at the beginning of each poll.
        self._server.readable = readable

    def start(self) -> None:
        """Start to accept callers."""
        threading.Thread(target=self._server.run, name="callers", daemon=True).start()


class OperatorServer:
    """Serves health checks and operators, apart from the callers' server."""

    def __init__(self, app: WsgiApp, addresses: Iterable[platform_options.Address]) -> None:
        listen = " ".join(str(each) for each in addresses)
        self._server = waitress.server.create_server(
            app, map={}, listen=listen, threads=1, asyncore_use_poll=True, ident=None
        )

    def start(self) -> None:
        """Start to accept connections."""
        threading.Thread(target=self._server.run, name="operators", daemon=True).start()
