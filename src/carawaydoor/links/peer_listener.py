"""Accepts connections of peer instances and passes their messages to a callback."""

from __future__ import annotations

import socket
import threading
from collections.abc import Callable
from typing import Final

from carawaydoor.coordination import messages
from carawaydoor.links import wire
from carawaydoor.operating import task

MAX_PENDING_CONNECTIONS: Final = 256

ReplyCallback = Callable[[messages.Message], None]
MessageCallback = Callable[[messages.Message, ReplyCallback | None], None]


class FrameWriter(task.MailboxTask[wire.Frame]):
    """Writes the answers on one accepted connection."""

    def __init__(self, channel: wire.Channel) -> None:
        super().__init__("peer-writer")
        self._channel = channel

    def handle(self, message: wire.Frame) -> None:
        """Write one frame; if the connection is lost, close it, which ends its reader too."""
        try:
            self._channel.write(message)
        except wire.WireError:
            self._channel.close()


class PeerListener:
    """Owns the listening socket for peers and the accepted connections.

    The callback gets each message, and a function that sends the answer if the peer expects one.
    """

    def __init__(self, host: str, port: int, on_message: MessageCallback) -> None:
        self._on_message = on_message
        self._socket = socket.create_server((host, port), backlog=MAX_PENDING_CONNECTIONS)
        self.port: Final[int] = self._socket.getsockname()[1]
        self._channels: set[wire.Channel] = set()
        self._thread = threading.Thread(target=self._accept, name="peer-listener", daemon=True)

    def start(self) -> None:
        """Start to accept connections."""
        self._thread.start()

    def stop(self) -> None:
        """Stop listening and close every connection."""
        try:
            self._socket.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self._socket.close()
        for channel in list(self._channels):
            channel.close()

    def _accept(self) -> None:
        while True:
            try:
                connection, _ = self._socket.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            channel = wire.Channel(connection)
            self._channels.add(channel)
            reader = threading.Thread(
                target=self._read, args=(channel,), name="peer-reader", daemon=True
            )
            reader.start()

    def _read(self, channel: wire.Channel) -> None:
        writer = FrameWriter(channel)
        writer.start()
        try:
            while True:
                self._handle_frame(channel.read(), writer)
        except wire.WireError:
            channel.close()
        finally:
            self._channels.discard(channel)
            writer.stop()

    def _handle_frame(self, frame: wire.Frame, writer: FrameWriter) -> None:
        def reply(message: messages.Message) -> None:
            writer.post(wire.Frame(frame.correlation_id, message))

        self._on_message(frame.message, reply if frame.correlation_id else None)
