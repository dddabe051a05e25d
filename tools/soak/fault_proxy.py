"""TCP proxy on loopback that injects faults into the connections through it."""

from __future__ import annotations

import contextlib
import enum
import select
import socket
import struct
import threading
import time
from typing import Final


class Mode(enum.Enum):
    """How the proxy treats its connections.

    ``SILENT`` holds back the data of both directions, ``ONE_WAY`` only what the target sends.
    """

    PASS = "pass"
    DELAY = "delay"
    RESET = "reset"
    SILENT = "silent"
    ONE_WAY = "one_way"


DELAY_S: Final = 0.15
POLL_INTERVAL_MS: Final = 100


class FaultProxy:
    """Accepts connections on a free port and forwards them to a target.

    :ivar mode: fault that applies to all connections, also to those already open
    """

    def __init__(self, target: tuple[str, int]) -> None:
        self.mode = Mode.PASS
        self._target = target
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=128)
        self.port: int = self._listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        """Stop accepting connections."""
        self._listener.close()

    def _accept(self) -> None:
        while True:
            try:
                inbound, _ = self._listener.accept()
            except OSError:
                return
            try:
                threading.Thread(target=self._forward, args=(inbound,), daemon=True).start()
            except RuntimeError as error:
                # The machine has no thread left for this connection, but may have one for the next.
                print(f"connection to {self._target} dropped: {error}")
                _reset(inbound)

    def _forward(self, inbound: socket.socket) -> None:
        try:
            outbound = socket.create_connection(self._target, timeout=1.0)
        except OSError:
            _reset(inbound)
            return
        outbound.settimeout(None)
        with contextlib.suppress(OSError):
            while self._pump(inbound, outbound):
                pass
        for each in (inbound, outbound):
            with contextlib.suppress(OSError):
                each.close()

    def _pump(self, inbound: socket.socket, outbound: socket.socket) -> bool:
        mode = self.mode
        if mode is Mode.RESET:
            _reset(inbound)
            return False
        if mode is Mode.SILENT:
            time.sleep(0.05)
            return True
        sources = [inbound] if mode is Mode.ONE_WAY else [inbound, outbound]
        # select() fails for the descriptors of a process that has opened over a thousand.
        poll, source_by_descriptor = select.poll(), {each.fileno(): each for each in sources}
        for descriptor in source_by_descriptor:
            poll.register(descriptor, select.POLLIN)
        for descriptor, _ in poll.poll(POLL_INTERVAL_MS):
            source = source_by_descriptor[descriptor]
            content = source.recv(65_536)
            if not content:
                return False
            if mode is Mode.DELAY:
                time.sleep(DELAY_S)
            (outbound if source is inbound else inbound).sendall(content)
        return True


def _reset(connection: socket.socket) -> None:
    with contextlib.suppress(OSError):
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        connection.close()
