"""Accepts connections of peer instances and hands their messages to the decision core."""

from __future__ import annotations

import socket
import threading
from collections.abc import Callable
from typing import Final

from carawaydoor.coordination import messages
from carawaydoor.links import wire
from carawaydoor.operating import task

BACKLOG: Final = 256

ReplyCallback = Callable[[messages.Message], None]
MessageCallback = Callable[[messages.Message, ReplyCallback | None], None]


class FrameWriter(task.MailboxTask[wire.Frame]):
    """Owns the writing side of one accepted connection."""

    def __init__(self, channel: wire.Channel) -> None:
        super().__init__("peer-writer")
        self._channel = channel

    def handle(self, message: wire.Frame) -> None:
        """Write one frame; a connection that is gone ends its reader too."""
        try:
            self._channel.write(message)
        except wire.WireError:
            self._channel.close()


class PeerListener:
    """Owns the listening socket for peers."""

    def __init__(self, host: str, port: int, receive: MessageCallback) -> None:
        self._receive = receive
        self._socket = socket.create_server((host, port), backlog=BACKLOG)
        self.port: Final[int] = self._socket.getsockname()[1]
        self._channels: set[wire.Channel] = set()
        self._thread = threading.Thread(target=self._accept, name="peer-listener", daemon=True)

    def start(self) -> None:
        """Begin to accept connections."""
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
                self._pass_on(channel.read(), writer)
        except wire.WireError:
            channel.close()
        finally:
            self._channels.discard(channel)
            writer.stop()

    def _pass_on(self, frame: wire.Frame, writer: FrameWriter) -> None:
        def respond(message: messages.Message) -> None:
            writer.post(wire.Frame(frame.correlation, message))

        self._receive(frame.message, respond if frame.correlation else None)
