"""Sockets whose reads and writes abort at a deadline or when the caller disconnects."""

from __future__ import annotations

import abc
import io
import math
import select
import socket
from collections.abc import Callable
from typing import Any, Final

from carawaydoor.operating import clocks

# Work has to stop within half a second after the caller disconnects.
CALLER_POLL_INTERVAL_S: Final = 0.2
# Interval at which a silent stream is checked while it is offered to another upstream.
OFFER_POLL_INTERVAL_S: Final = 0.02
# Ends a connection to a dead peer, but leaves time for a few retransmissions.
UNACKNOWLEDGED_TIMEOUT_MS: Final = 1500
# Keep-alive probes detect a dead peer on a connection that only receives.
KEEP_ALIVE_IDLE_S: Final = 2
KEEP_ALIVE_INTERVAL_S: Final = 1
KEEP_ALIVE_PROBES: Final = 3


class WaitAbortedError(Exception):
    """A wait was aborted before the socket was ready."""


class CallerDisconnectedError(WaitAbortedError):
    """The caller closed its connection."""


class DeadlineExceededError(WaitAbortedError):
    """The deadline of the request has passed."""


class StreamStalledError(WaitAbortedError):
    """No event arrived for so long that the stream was replaced by one of another engine."""


class OfferEndedError(WaitAbortedError):
    """Another upstream has not accepted a stream in time, or the stream has gone on meanwhile."""


class TooManyBytesError(WaitAbortedError):
    """The peer sent more bytes than the message may have."""


class WaitLimit(abc.ABC):
    """Decides how long a wait on a socket may last."""

    @abc.abstractmethod
    def next_wait_s(self) -> float:
        """Return for how many seconds to wait before this must be called again.

        :raises WaitAbortedError: if the wait must end now
        """

    def record_progress(self) -> None:
        """Record that a part of the response arrived; ignored by default."""
        return


class CallerWaitLimit(WaitLimit):
    """Aborts waits at a deadline or when the caller disconnects."""

    def __init__(self, clock: clocks.Clock, deadline_s: float, is_gone: Callable[[], bool]) -> None:
        self._clock = clock
        self._deadline_s = deadline_s
        self._is_gone = is_gone

    def next_wait_s(self) -> float:
        """Return the time left, at most the interval at which the caller is checked."""
        if self._is_gone():
            raise CallerDisconnectedError
        left_s = self._deadline_s - self._clock.now_s()
        if left_s <= 0.0:
            raise DeadlineExceededError
        return min(left_s, CALLER_POLL_INTERVAL_S)


class OfferWaitLimit(CallerWaitLimit):
    """Ends the offer of a silent stream to another upstream, in time or once the stream goes on.

    :param has_resumed: returns whether the stream has gone on at the upstream that has it
    """

    def __init__(
        self,
        clock: clocks.Clock,
        deadline_s: float,
        is_gone: Callable[[], bool],
        has_resumed: Callable[[], bool],
    ) -> None:
        super().__init__(clock, deadline_s, is_gone)
        self._has_resumed = has_resumed

    def next_wait_s(self) -> float:
        """Return the time left, at most the interval at which the silent stream is checked."""
        if self._has_resumed():
            raise OfferEndedError
        try:
            return min(super().next_wait_s(), OFFER_POLL_INTERVAL_S)
        except DeadlineExceededError as error:
            raise OfferEndedError from error


class SilenceHandler(abc.ABC):
    """Decides what to do about a stream that is silent."""

    @abc.abstractmethod
    def record_progress(self) -> None:
        """Record that an event has arrived."""

    @abc.abstractmethod
    def next_check_s(self, silent_s: float) -> float:
        """Return after how many seconds of silence to call :meth:`replace`."""

    @abc.abstractmethod
    def replace(self, silent_s: float) -> bool:
        """Replace the stream if that is due; return whether it was replaced."""


class StreamWaitLimit(CallerWaitLimit):
    """Lets a handler replace a stream that delivers no event for too long.

    The handler runs inside the wait, since a response that is read in chunks can't be read further
    after an exception. If it replaces the stream, the wait is aborted; otherwise it goes on, because
    the upstream may only be slow.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        deadline_s: float,
        is_gone: Callable[[], bool],
        handler: SilenceHandler,
    ) -> None:
        super().__init__(clock, deadline_s, is_gone)
        self._handler = handler
        self._last_event_s = clock.now_s()
        self._next_check_s = self._last_event_s + handler.next_check_s(0.0)

    def record_progress(self) -> None:
        """Begin a new silence after an event."""
        self._handler.record_progress()
        self._last_event_s = self._clock.now_s()
        self._next_check_s = self._last_event_s + self._handler.next_check_s(0.0)

    def next_wait_s(self) -> float:
        """Return the time left until the deadline, a check of the stream or one of the caller."""
        now_s = self._clock.now_s()
        if now_s >= self._next_check_s:
            if self._handler.replace(now_s - self._last_event_s):
                raise StreamStalledError
            silent_s = self._clock.now_s() - self._last_event_s
            self._next_check_s = self._last_event_s + self._handler.next_check_s(silent_s)
        poll_s = super().next_wait_s()
        return min(poll_s, max(0.0, self._next_check_s - self._clock.now_s()))


class InterruptibleSocket(io.RawIOBase):
    """A connected socket for ``http.client`` whose reads and writes obey a wait limit.

    :ivar readable_bytes: how many more bytes may be read until the next request
    """

    def __init__(self, connected: socket.socket, wait_limit: WaitLimit) -> None:
        connected.setblocking(False)
        self._socket = connected
        self._readable = select.poll()
        self._readable.register(connected, select.POLLIN)
        self._writable = select.poll()
        self._writable.register(connected, select.POLLOUT)
        self._reader = _PersistentReader(self)
        self.wait_limit = wait_limit
        self.readable_bytes: float = math.inf

    def sendall(self, content: bytes) -> None:
        """Write all bytes.

        :raises WaitAbortedError: if the wait limit is reached
        :raises OSError: if the connection fails
        """
        unsent = memoryview(content)
        while unsent:
            try:
                unsent = unsent[self._socket.send(unsent) :]
            except BlockingIOError:
                self._writable.poll(self.wait_limit.next_wait_s() * 1000.0)

    def makefile(self, *_: Any, **__: Any) -> io.BufferedReader:
        """Return the reader of this connection, which stays open across responses."""
        return self._reader

    def readable(self) -> bool:
        """Return True; required by ``io.BufferedReader``."""
        return True

    def readinto(self, buffer: Any) -> int:
        """Read at least one byte; return zero if the peer closed the connection.

        :raises WaitAbortedError: if the wait limit is reached
        :raises TooManyBytesError: if the peer has sent more than may be read
        :raises OSError: if the connection fails
        """
        # Checked even if bytes are there: a peer that never stops sending must not outlast the
        # deadline.
        wait_s = self.wait_limit.next_wait_s()
        while True:
            try:
                count = self._socket.recv_into(buffer)
            except BlockingIOError:
                self._readable.poll(wait_s * 1000.0)
                wait_s = self.wait_limit.next_wait_s()
                continue
            self.readable_bytes -= count
            if self.readable_bytes < 0:
                raise TooManyBytesError
            return count

    def is_idle(self) -> bool:
        """Return whether no bytes are unread and the peer has not closed the connection.

        Bytes after the end of a response belong to no request.
        """
        return not self._reader.has_unread and not self._readable.poll(0)

    def has_bytes(self) -> bool:
        """Return whether bytes, or the end of the connection, can be read without waiting."""
        return bool(self._readable.poll(0))

    def close(self) -> None:
        """Do nothing: ``http.client`` calls this before the body of a last response is read."""

    def disconnect(self) -> None:
        """Close the connection."""
        self._socket.close()


class _PersistentReader(io.BufferedReader):
    """A reader that stays open when ``http.client`` closes it at the end of a response."""

    def __init__(self, raw: InterruptibleSocket) -> None:
        super().__init__(raw)
        self._raw_socket = raw

    def close(self) -> None:
        """Do nothing, to keep the connection and the read-ahead buffer."""

    @property
    def has_unread(self) -> bool:
        """Whether unread bytes are in the buffer or can be read without waiting."""
        previous_limit, self._raw_socket.wait_limit = self._raw_socket.wait_limit, NO_WAIT
        try:
            return len(self.peek(1)) > 0
        except WaitAbortedError:
            return False
        finally:
            self._raw_socket.wait_limit = previous_limit


class _NoWait(WaitLimit):
    """Aborts every wait at once."""

    def next_wait_s(self) -> float:
        """Abort the wait."""
        raise DeadlineExceededError


NO_WAIT: Final = _NoWait()


def set_tcp_options(connected: socket.socket) -> None:
    """Disable Nagle's algorithm and enable the detection of dead peers."""
    connected.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    connected.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS)
    connected.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    connected.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEP_ALIVE_IDLE_S)
    connected.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEP_ALIVE_INTERVAL_S)
    connected.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEP_ALIVE_PROBES)
