"""Callers that send requests without an end, and what a process holds because of them."""

from __future__ import annotations

import contextlib
import os
import pathlib
import socket
import stat
import subprocess
import threading
import time
from collections.abc import Callable, Iterator
from typing import Final

PIECE_BYTES: Final = 8192
SAMPLE_INTERVAL_S: Final = 0.02
# The crowd is over when nothing more could be sent for so long.
QUIET_S: Final = 2.0
LONGEST_S: Final = 60.0

Pieces = Iterator[bytes]


def announced(head: bytes, length: int, sent: int, piece: int) -> Pieces:
    """Yield a request whose body has a length, of which only a part is sent."""
    yield head + b"Content-Length: %d\r\n\r\n" % length
    for start in range(0, sent, piece):
        yield b"x" * min(piece, sent - start)


def chunked(head: bytes, sent: int, chunk: int) -> Pieces:
    """Yield a request whose body comes in chunks, the last of which is missing."""
    yield head + b"Transfer-Encoding: chunked\r\n\r\n"
    part = b"%x\r\n%s\r\n" % (chunk, b"x" * chunk)
    repeat = max(1, PIECE_BYTES // chunk)
    for _ in range(0, sent, chunk * repeat):
        yield part * repeat


def endless_head(head: bytes, size: int) -> Pieces:
    """Yield a head of some size that grows slowly from then on."""
    yield head + b"X-Fill: " + b"x" * size
    while True:
        yield b""
        yield b"x"


class Crowd:
    """Connections that send their pieces as fast as they are taken, and stay open afterwards."""

    def __init__(self, requests: list[tuple[tuple[str, int], Pieces]]) -> None:
        self._sending = {}
        for address, pieces in requests:
            connection = socket.create_connection(address, timeout=5.0)
            connection.setblocking(False)
            self._sending[connection] = (pieces, b"")
        self._open = list(self._sending)
        self._is_over = threading.Event()
        self._thread = threading.Thread(target=self._send, daemon=True)
        self.progressed_s = time.monotonic()

    def start(self) -> None:
        self._thread.start()

    def stop(self) -> None:
        self._is_over.set()
        self._thread.join()
        for each in self._open:
            each.close()

    def _send(self) -> None:
        while not self._is_over.is_set():
            moved = 0
            for connection, (pieces, rest) in list(self._sending.items()):
                data = rest or next(pieces, None)
                if data is None:
                    del self._sending[connection]
                    continue
                sent = 0
                try:
                    sent = connection.send(data) if data else 0
                except BlockingIOError:
                    pass
                except OSError:
                    del self._sending[connection]
                    continue
                moved += sent
                self._sending[connection] = (pieces, data[sent:])
            if moved > len(self._sending):
                self.progressed_s = time.monotonic()
            else:
                self._is_over.wait(0.1)


def resident_bytes(process_id: int) -> int:
    """Return the resident memory of a process and the size of its open temporary files."""
    pages = int(pathlib.Path(f"/proc/{process_id}/statm").read_text().split()[1])
    total = pages * os.sysconf("SC_PAGE_SIZE")
    for each in pathlib.Path(f"/proc/{process_id}/fd").iterdir():
        with contextlib.suppress(OSError):
            status = each.stat()
            if stat.S_ISREG(status.st_mode) and status.st_nlink == 0:
                total += status.st_size
    return total


def descriptors(process_id: int) -> int:
    """Return the number of open file descriptors of a process."""
    return len(os.listdir(f"/proc/{process_id}/fd"))


def check(
    process: subprocess.Popen[bytes],
    requests: list[tuple[tuple[str, int], Pieces]],
    max_bytes: int,
    max_descriptors: int,
    call: Callable[[], int],
) -> None:
    """Check that a process survives a crowd within its limits, and answers a request after it."""
    crowd = Crowd(requests)
    crowd.start()
    try:
        started_s, largest, most = time.monotonic(), 0, 0
        while time.monotonic() < min(crowd.progressed_s + QUIET_S, started_s + LONGEST_S):
            assert process.poll() is None
            largest = max(largest, resident_bytes(process.pid))
            most = max(most, descriptors(process.pid))
            time.sleep(SAMPLE_INTERVAL_S)
        status = call()
        found = {"bytes": largest <= max_bytes, "descriptors": most <= max_descriptors}
        assert process.poll() is None
        assert {**found, "status": status} == {
            "bytes": True,
            "descriptors": True,
            "status": 200,
        }, f"{largest} bytes, {most} descriptors, status {status}"
    finally:
        crowd.stop()
