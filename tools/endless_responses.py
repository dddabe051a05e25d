"""Measures the memory of a real instance whose upstreams send responses without end.

Prints, by kind of response, number of callers and pace, the largest resident memory of the instance
over some seconds, and how many requests to sound upstreams were served beside it.
"""

from __future__ import annotations

import argparse
import contextlib
import dataclasses
import http.client
import multiprocessing
import multiprocessing.connection
import os
import pathlib
import socket
import tempfile
import threading
import time
import uuid
from typing import Final

from carawaydoor.platform import names
from tools.soak import soak_environment

BYTES_PER_MB: Final = 1_000_000
BLOCK_BYTES: Final = 65_536
SLOW_PACE_S: Final = 0.02
CALLER_COUNTS: Final = (1, 40, 120)
SOUND_CALLERS: Final = 4
ENDLESS_UPSTREAMS: Final = 2
CALLER_TIMEOUT_S: Final = 4.0
READY_TIMEOUT_S: Final = 30.0
SAMPLE_INTERVAL_S: Final = 0.02

_IDENTITY: Final = b"Carawaydoor-Server-Stamp: s\r\nCarawaydoor-Request-Id: %s\r\n"
_OK: Final = b"HTTP/1.1 200 OK\r\n" + _IDENTITY
_EVENTS: Final = b"Content-Type: text/event-stream\r\n"
# What is sent first, and what is repeated after it.
PARTS_BY_KIND: Final = {
    "body": (_OK + b"\r\n", b"x" * BLOCK_BYTES),
    "length": (_OK + b"Content-Length: 4000000\r\n\r\n", b"x" * BLOCK_BYTES),
    "chunks": (
        _OK + b"Transfer-Encoding: chunked\r\n\r\n",
        b"%x\r\n%s\r\n" % (BLOCK_BYTES, b"x" * BLOCK_BYTES),
    ),
    "head": (b"HTTP/1.1 200 OK\r\n", b"X-Fill: %s\r\n" % (b"x" * 1000)),
    "trailers": (_OK + b"Transfer-Encoding: chunked\r\n\r\n0\r\n", b"X-Fill: x\r\n" * 1000),
    "event": (_OK + _EVENTS + b"\r\nid: 1\n", b"data: x\n" * 8192),
}


@dataclasses.dataclass(frozen=True, slots=True)
class Case:
    """What is measured.

    :ivar pace_s: pause between two blocks in seconds
    """

    kind: str
    callers: int
    pace_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """What was measured.

    :ivar idle_mb: resident memory before the first request
    :ivar largest_mb: largest resident memory
    :ivar served: requests to sound upstreams that were served
    :ivar sent: requests to sound upstreams
    """

    idle_mb: float
    largest_mb: float
    served: int
    sent: int
    has_ended: bool


def serve_endlessly(kind: str, pace_s: float, ready: multiprocessing.connection.Connection) -> None:
    """Answer all requests of a process without end, on a port that is sent first."""
    listener = socket.create_server(("127.0.0.1", 0), backlog=256)
    ready.send(listener.getsockname()[1])
    while True:
        accepted, _ = listener.accept()
        threading.Thread(target=_answer, args=(accepted, kind, pace_s), daemon=True).start()


def _answer(accepted: socket.socket, kind: str, pace_s: float) -> None:
    first, repeated = PARTS_BY_KIND[kind]
    with accepted, contextlib.suppress(OSError):
        request = b""
        while b"\r\n\r\n" not in request:
            request += accepted.recv(BLOCK_BYTES)
        request_id = b""
        for line in request.split(b"\r\n"):
            if line.lower().startswith(names.Header.REQUEST_ID.lower().encode()):
                request_id = line.partition(b":")[2].strip()
        accepted.sendall(first.replace(b"%s", request_id))
        while True:
            accepted.sendall(repeated)
            time.sleep(pace_s)


class Callers:
    """Threads that send one request after the other, each on a new connection."""

    def __init__(self, host: str) -> None:
        self._host = host
        self._is_over = threading.Event()
        self._lock = threading.Lock()
        self._threads: list[threading.Thread] = []
        self.statuses: list[int] = []

    def start(self, path: str, count: int, records: bool, pause_s: float = 0.0) -> None:
        """Start callers of a path; the statuses of some are recorded."""
        for _ in range(count):
            thread = threading.Thread(
                target=self._call_repeatedly, args=(path, records, pause_s), daemon=True
            )
            thread.start()
            self._threads.append(thread)

    def stop(self) -> None:
        """Stop all callers."""
        self._is_over.set()
        for each in self._threads:
            each.join(CALLER_TIMEOUT_S + 1.0)

    def _call_repeatedly(self, path: str, records: bool, pause_s: float) -> None:
        while not self._is_over.is_set():
            status = self._call(path)
            if records:
                with self._lock:
                    self.statuses.append(status)
            self._is_over.wait(pause_s)

    def _call(self, path: str) -> int:
        connection = http.client.HTTPConnection(
            self._host, soak_environment.FRONTEND_PORT, timeout=CALLER_TIMEOUT_S
        )
        headers: dict[str, str] = {
            "Host": soak_environment.ROUTE_HOST,
            names.Header.REQUEST_ID: uuid.uuid4().hex[:16],
            names.Header.TIME_LEFT_MS: "3000",
            names.Header.KEY: soak_environment.API_KEYS[0],
        }
        try:
            connection.request("GET", path, headers=headers)
            response = connection.getresponse()
            while not self._is_over.is_set() and response.read1(BLOCK_BYTES):
                pass
            return response.status
        except (OSError, http.client.HTTPException):
            return 0
        finally:
            connection.close()


def _resident_mb(process_id: int) -> float:
    pages = int(pathlib.Path(f"/proc/{process_id}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / BYTES_PER_MB


def measure(case: Case, seconds: float, memory_mb: int) -> Result:
    """Run one instance beside endless upstreams and measure its memory."""
    with tempfile.TemporaryDirectory() as directory, contextlib.ExitStack() as cleanup:
        environment = soak_environment.SoakEnvironment(1, pathlib.Path(directory))
        cleanup.callback(environment.stop)
        for number in range(ENDLESS_UPSTREAMS):
            near, far = multiprocessing.Pipe()
            process = multiprocessing.Process(
                target=serve_endlessly, args=(case.kind, case.pace_s, far), daemon=True
            )
            process.start()
            cleanup.callback(process.kill)
            environment.publish_endless_upstream(f"x{number}", near.recv())
        environment.publish_endless_routes()
        instance = environment.instances[0]
        instance.limit_memory(memory_mb)
        instance.start()
        deadline_s = time.monotonic() + READY_TIMEOUT_S
        while not instance.is_ready():
            if time.monotonic() > deadline_s:
                raise TimeoutError("the instance did not become ready")
            time.sleep(0.1)
        return _measure_running(instance, case, seconds)


def _measure_running(instance: soak_environment.Instance, case: Case, seconds: float) -> Result:
    assert instance.process is not None
    before_mb = _resident_mb(instance.process.pid)
    callers = Callers(instance.host)
    callers.start("/safe/1", SOUND_CALLERS, records=True, pause_s=0.02)
    path = "/endless-stream/1" if case.kind == "event" else "/endless/1"
    callers.start(path, case.callers, records=False)
    largest_mb = 0.0
    deadline_s = time.monotonic() + seconds
    while time.monotonic() < deadline_s and instance.process.poll() is None:
        largest_mb = max(largest_mb, _resident_mb(instance.process.pid))
        time.sleep(SAMPLE_INTERVAL_S)
    has_ended = instance.process.poll() is not None
    callers.stop()
    served = callers.statuses.count(200)
    return Result(before_mb, largest_mb, served, len(callers.statuses), has_ended)


def main() -> None:
    """Measure the kinds, callers and paces."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=15.0)
    parser.add_argument("--memory-mb", type=int, default=88)
    parser.add_argument("--kinds", nargs="+", default=list(PARTS_BY_KIND))
    parser.add_argument("--callers", type=int, nargs="+", default=CALLER_COUNTS)
    arguments = parser.parse_args()
    for kind in arguments.kinds:
        for callers in arguments.callers:
            for pace_s in (0.0, SLOW_PACE_S):
                case = Case(kind, callers, pace_s)
                result = measure(case, arguments.seconds, arguments.memory_mb)
                print(
                    f"{kind:>8}, {callers:>3} callers, block every {pace_s:.2f} s: "
                    f"{result.idle_mb:.0f} to {result.largest_mb:.0f} MB, {result.served} of "
                    f"{result.sent} sound requests served"
                    f"{', the process ended' if result.has_ended else ''}",
                    flush=True,
                )


if __name__ == "__main__":
    main()
