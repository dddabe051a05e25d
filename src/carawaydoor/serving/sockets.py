"""Sockets whose waits end when the caller goes or the deadline passes."""

from __future__ import annotations

import abc
import io
import select
import socket
from typing import Any, Final

from carawaydoor.operating import clocks

# Interval in seconds at which a wait looks for a caller that has gone: work for it has to stop
# within half a second.
CALLER_POLL_INTERVAL_S: Final = 0.2
# Time in milliseconds after which unacknowledged bytes end a connection that has gone silent;
# a few retransmissions fit into it.
UNACKNOWLEDGED_TIMEOUT_MS: Final = 1500
# Keep-alive probes that find a silent connection that only receives: first after this many
# seconds, then each second, given up after this many.
KEEP_ALIVE_IDLE_S: Final = 2
KEEP_ALIVE_INTERVAL_S: Final = 1
KEEP_ALIVE_PROBES: Final = 3


class WaitAbortedError(Exception):
    """A wait on a socket ended without the socket being ready."""


class CallerDisconnectedError(WaitAbortedError):
    """The caller closed its connection."""


class DeadlineExceededError(WaitAbortedError):
    """The time for the answer is over."""


class StreamStalledError(WaitAbortedError):
    """No event has come for so long that the engine is taken to be lost."""


class WaitLimit(abc.ABC):
    """Ends waits early."""

    @abc.abstractmethod
    def next_wait_s(self) -> float:
        """Return for how many seconds a wait may go on.

        :raises WaitError: where it may not
        """

    def record_progress(self) -> None:
        """Note that an answer goes on; most watches don't care."""
        return


class CallerWaitLimit(WaitLimit):
    """Ends waits when a caller goes or its deadline passes."""

    def __init__(self, clock: clocks.Clock, deadline_s: float, is_gone: Any) -> None:
        self._clock = clock
        self._deadline_s = deadline_s
        self._is_gone = is_gone

    def next_wait_s(self) -> float:
        """Return for how many seconds a wait may go on."""
        if self._is_gone():
            raise CallerDisconnectedError
        left_s = self._deadline_s - self._clock.now_s()
        if left_s <= 0.0:
            raise DeadlineExceededError
        return min(left_s, CALLER_POLL_INTERVAL_S)


class StreamWaitLimit(CallerWaitLimit):
    """Ends waits also when a stream is silent for too long."""

    def __init__(
        self, clock: clocks.Clock, deadline_s: float, is_gone: Any, stall_timeout_s: float
    ) -> None:
        super().__init__(clock, deadline_s, is_gone)
        self._stall_timeout_s = stall_timeout_s
        self._stalled_at_s = clock.now_s() + stall_timeout_s

    def record_progress(self) -> None:
        """Note that an event has come."""
        self._stalled_at_s = self._clock.now_s() + self._stall_timeout_s

    def next_wait_s(self) -> float:
        """Return for how many seconds a wait may go on."""
        poll_s = super().next_wait_s()
        left_s = self._stalled_at_s - self._clock.now_s()
        if left_s <= 0.0:
            raise StreamStalledError
        return min(poll_s, left_s)


class InterruptibleSocket(io.RawIOBase):
    """A connected socket that ``http.client`` reads from and writes to under a watch."""

    def __init__(self, connected: socket.socket, wait_limit: WaitLimit) -> None:
        connected.setblocking(False)
        self._socket = connected
        self._readable = select.poll()
        self._readable.register(connected, select.POLLIN)
        self._writable = select.poll()
        self._writable.register(connected, select.POLLOUT)
        self._reader = _PersistentReader(self)
        self.wait_limit = wait_limit

    def sendall(self, content: bytes) -> None:
        """Write all bytes.

        :raises WaitError: where the watch ends the wait
        :raises OSError: where the connection fails
        """
        unsent = memoryview(content)
        while unsent:
            try:
                unsent = unsent[self._socket.send(unsent) :]
            except BlockingIOError:
                self._writable.poll(self.wait_limit.next_wait_s() * 1000.0)

    def makefile(self, *_: Any, **__: Any) -> io.BufferedReader:
        """Return the one reader of this connection, which outlives each answer."""
        return self._reader

    def readable(self) -> bool:
        """Return that this can be read."""
        return True

    def readinto(self, buffer: Any) -> int:
        """Read at least one byte; return zero at the end of the connection.

        :raises WaitError: where the watch ends the wait
        :raises OSError: where the connection fails
        """
        while True:
            try:
                return self._socket.recv_into(buffer)
            except BlockingIOError:
                self._readable.poll(self.wait_limit.next_wait_s() * 1000.0)

    def is_idle(self) -> bool:
        """Return whether nothing has arrived and the other side has not closed.

        Bytes after the end of an answer belong to no request.
        """
        return not self._reader.has_buffered and not self._readable.poll(0)

    def close(self) -> None:
        """Stay open: ``http.client`` calls this before the body of a last answer is read."""

    def disconnect(self) -> None:
        """Close the connection."""
        self._socket.close()


class _PersistentReader(io.BufferedReader):
    """A reader that stays open when ``http.client`` closes it at the end of an answer."""

    def __init__(self, raw: InterruptibleSocket) -> None:
        super().__init__(raw)
        self._raw_socket = raw

    def close(self) -> None:
        """Keep the connection and what was read ahead."""

    @property
    def has_buffered(self) -> bool:
        """Whether bytes were read from the connection and not yet consumed."""
        former, self._raw_socket.wait_limit = self._raw_socket.wait_limit, NO_WAIT
        try:
            return len(self.peek(1)) > 0
        except WaitAbortedError:
            return False
        finally:
            self._raw_socket.wait_limit = former


class _NoWait(WaitLimit):
    """Ends every wait at once."""

    def next_wait_s(self) -> float:
        """Raise, since nothing is waited for."""
        raise DeadlineExceededError


NO_WAIT: Final = _NoWait()


def set_tcp_options(connected: socket.socket) -> None:
    """Set what finds connections that have gone silent."""
    connected.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    connected.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS)
    connected.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    connected.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEP_ALIVE_IDLE_S)
    connected.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEP_ALIVE_INTERVAL_S)
    connected.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEP_ALIVE_PROBES)
