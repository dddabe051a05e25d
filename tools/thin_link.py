"""Stands for the link of one machine: passes connections on to it, at a limited rate in all."""

from __future__ import annotations

import contextlib
import socket
import threading
import time
from typing import Final

BYTES_PER_MEGABIT: Final = 125_000
# Of one packet.
_PART_BYTES: Final = 1500
# Shorter waits are made up for by the next one.
_MIN_WAIT_S: Final = 0.005


class ThinLink:
    """Listens on loopback and connects each caller to the machine behind the link.

    :ivar port: where it listens
    """

    def __init__(self, target_port: int, mbps: float) -> None:
        self._target = ("127.0.0.1", target_port)
        self._bytes_per_s = mbps * BYTES_PER_MEGABIT
        self._lock = threading.Lock()
        self._free_s = time.monotonic()
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=256)
        self.port: int = self._listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        """Accept no further caller."""
        self._listener.close()

    def _accept(self) -> None:
        while True:
            try:
                caller, _ = self._listener.accept()
            except OSError:
                return
            machine = socket.create_connection(self._target)
            for source, sink, is_limited in ((caller, machine, False), (machine, caller, True)):
                threading.Thread(
                    target=self._copy, args=(source, sink, is_limited), daemon=True
                ).start()

    def _copy(self, source: socket.socket, sink: socket.socket, is_limited: bool) -> None:
        with contextlib.suppress(OSError):
            while content := source.recv(_PART_BYTES):
                if is_limited:
                    self._wait_for_turn(len(content))
                sink.sendall(content)
            sink.shutdown(socket.SHUT_WR)

    def _wait_for_turn(self, size: int) -> None:
        with self._lock:
            self._free_s = max(self._free_s, time.monotonic()) + size / self._bytes_per_s
            wait_s = self._free_s - time.monotonic()
        if wait_s > _MIN_WAIT_S:
            time.sleep(wait_s)
