"""One connection to a peer instance: messages out, answers back in any order."""

from __future__ import annotations

import dataclasses
import socket
import threading
from concurrent import futures
from typing import Final

from carawaydoor.coordination import messages
from carawaydoor.interface import errors
from carawaydoor.links import wire
from carawaydoor.operating import task

CONNECT_TIMEOUT_S: Final = 0.5
MAX_PENDING: Final = 20_000

AnswerFuture = futures.Future[messages.Message]


@dataclasses.dataclass(frozen=True, slots=True)
class OutgoingMessage:
    """A message to send; ``answer`` is None where none is wanted."""

    message: messages.Message
    answer: AnswerFuture | None


@dataclasses.dataclass(frozen=True, slots=True)
class ReceivedFrame:
    """A frame that arrived on the connection with the given number."""

    connection: int
    frame: wire.Frame


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectionLost:
    """The connection with the given number ended."""

    connection: int


class PeerConnection(task.MailboxTask[OutgoingMessage | ReceivedFrame | ConnectionLost]):
    """Owns the connection to one peer and the answers that are still open on it."""

    def __init__(self, host: str, port: int) -> None:
        super().__init__(f"link-{host}:{port}")
        self.address: Final = (host, port)
        self._channel: wire.Channel | None = None
        self._connection = 0
        self._correlation = 0
        self._answer_by_correlation: dict[int, AnswerFuture] = {}

    def handle(self, message: OutgoingMessage | ReceivedFrame | ConnectionLost) -> None:
        """Handle one message of the mailbox."""
        match message:
            case OutgoingMessage():
                self._send(message)
            case ReceivedFrame():
                self._receive(message)
            case ConnectionLost():
                self._lose(message.connection)

    def abort(self) -> None:
        """End the task, also where it waits for its connection to take a message."""
        channel = self._channel
        if channel is not None:
            channel.close()
        self.stop()

    def close(self) -> None:
        """Close the connection."""
        self._lose(self._connection)

    def _send(self, outgoing: OutgoingMessage) -> None:
        try:
            channel = self._channel or self._connect()
            channel.write(wire.Frame(self._register(outgoing.answer), outgoing.message))
        except ConnectionRefusedError:
            _fail(outgoing.answer, errors.PeerRefusedError(str(self.address)))
        except (OSError, wire.WireError) as error:
            self._lose(self._connection)
            _fail(outgoing.answer, errors.PeerUnreachableError(str(error)))

    def _register(self, answer: AnswerFuture | None) -> int:
        if answer is None:
            return 0
        self._correlation += 1
        self._answer_by_correlation[self._correlation] = answer
        if len(self._answer_by_correlation) > MAX_PENDING:
            oldest = next(iter(self._answer_by_correlation))
            _fail(self._answer_by_correlation.pop(oldest), errors.PeerUnreachableError("no answer"))
        return self._correlation

    def _connect(self) -> wire.Channel:
        connection = socket.create_connection(self.address, CONNECT_TIMEOUT_S)
        connection.settimeout(None)
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        channel = wire.Channel(connection)
        self._connection += 1
        self._channel = channel
        reader = threading.Thread(
            target=self._read, args=(channel, self._connection), name="link-reader", daemon=True
        )
        reader.start()
        return channel

    def _read(self, channel: wire.Channel, connection: int) -> None:
        try:
            while True:
                self.post(ReceivedFrame(connection, channel.read()))
        except wire.WireError:
            self.post(ConnectionLost(connection))

    def _receive(self, incoming: ReceivedFrame) -> None:
        if incoming.connection != self._connection:
            return
        answer = self._answer_by_correlation.pop(incoming.frame.correlation, None)
        if answer is not None and answer.set_running_or_notify_cancel():
            answer.set_result(incoming.frame.message)

    def _lose(self, connection: int) -> None:
        if connection != self._connection or self._channel is None:
            return
        self._channel.close()
        self._channel = None
        lost = self._answer_by_correlation
        self._answer_by_correlation = {}
        for answer in lost.values():
            _fail(answer, errors.PeerUnreachableError("connection lost"))


def _fail(answer: AnswerFuture | None, error: errors.PeerError) -> None:
    if answer is not None and not answer.done() and answer.set_running_or_notify_cancel():
        answer.set_exception(error)
