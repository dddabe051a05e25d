"""A connection to a peer instance; its answers may arrive in any order."""

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
MAX_PENDING_ANSWERS: Final = 20_000

AnswerFuture = futures.Future[messages.Message]


@dataclasses.dataclass(frozen=True, slots=True)
class OutgoingMessage:
    """A message to send.

    :ivar answer: future of the answer, None if the message needs no answer
    """

    message: messages.Message
    answer: AnswerFuture | None


@dataclasses.dataclass(frozen=True, slots=True)
class ReceivedFrame:
    """A frame that was received on a connection.

    :ivar connection_number: distinguishes the connection from earlier ones to the same peer
    """

    connection_number: int
    frame: wire.Frame


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectionLost:
    """A connection ended.

    :ivar connection_number: distinguishes the connection from earlier ones to the same peer
    """

    connection_number: int


class PeerConnection(task.MailboxTask[OutgoingMessage | ReceivedFrame | ConnectionLost]):
    """Owns the connection to one peer, which it opens when needed, and its pending answers."""

    def __init__(self, host: str, port: int) -> None:
        super().__init__(f"link-{host}:{port}")
        self.address: Final = (host, port)
        self._channel: wire.Channel | None = None
        self._connection_number = 0
        self._last_correlation_id = 0
        self._answer_by_correlation_id: dict[int, AnswerFuture] = {}

    def handle(self, message: OutgoingMessage | ReceivedFrame | ConnectionLost) -> None:
        """Handle one message of the mailbox."""
        match message:
            case OutgoingMessage():
                self._send(message)
            case ReceivedFrame():
                self._receive(message)
            case ConnectionLost():
                self._drop_connection(message.connection_number)

    def abort(self) -> None:
        """Close the connection at once, so that a blocked write fails too, and end the task."""
        channel = self._channel
        if channel is not None:
            channel.close()
        self.stop()

    def close(self) -> None:
        """Close the connection."""
        self._drop_connection(self._connection_number)

    def _send(self, outgoing: OutgoingMessage) -> None:
        try:
            channel = self._channel or self._connect()
            channel.write(wire.Frame(self._register_answer(outgoing.answer), outgoing.message))
        except ConnectionRefusedError:
            _fail(outgoing.answer, errors.PeerRefusedError(str(self.address)))
        except (OSError, wire.WireError) as error:
            self._drop_connection(self._connection_number)
            _fail(outgoing.answer, errors.PeerUnreachableError(str(error)))

    def _register_answer(self, answer: AnswerFuture | None) -> int:
        if answer is None:
            return 0
        self._last_correlation_id += 1
        self._answer_by_correlation_id[self._last_correlation_id] = answer
        if len(self._answer_by_correlation_id) > MAX_PENDING_ANSWERS:
            oldest_id = next(iter(self._answer_by_correlation_id))
            _fail(
                self._answer_by_correlation_id.pop(oldest_id),
                errors.PeerUnreachableError("too many unanswered messages"),
            )
        return self._last_correlation_id

    def _connect(self) -> wire.Channel:
        connection = socket.create_connection(self.address, CONNECT_TIMEOUT_S)
        connection.settimeout(None)
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        channel = wire.Channel(connection)
        self._connection_number += 1
        self._channel = channel
        reader = threading.Thread(
            target=self._read,
            args=(channel, self._connection_number),
            name="link-reader",
            daemon=True,
        )
        reader.start()
        return channel

    def _read(self, channel: wire.Channel, connection_number: int) -> None:
        try:
            while True:
                self.post(ReceivedFrame(connection_number, channel.read()))
        except wire.WireError:
            self.post(ConnectionLost(connection_number))

    def _receive(self, received: ReceivedFrame) -> None:
        if received.connection_number != self._connection_number:
            return
        answer = self._answer_by_correlation_id.pop(received.frame.correlation_id, None)
        if answer is not None and answer.set_running_or_notify_cancel():
            answer.set_result(received.frame.message)

    def _drop_connection(self, connection_number: int) -> None:
        if connection_number != self._connection_number or self._channel is None:
            return
        self._channel.close()
        self._channel = None
        unanswered = self._answer_by_correlation_id
        self._answer_by_correlation_id = {}
        for answer in unanswered.values():
            _fail(answer, errors.PeerUnreachableError("the connection was lost"))


def _fail(answer: AnswerFuture | None, error: errors.PeerError) -> None:
    if answer is not None and not answer.done() and answer.set_running_or_notify_cancel():
        answer.set_exception(error)
