"""Stand-in of the platform's servers: plain services and model engines."""

from __future__ import annotations

import dataclasses
import enum
import http.server
import json
import socket
import struct
import threading
import time

from carawaydoor.platform import names

EVENT_S = 0.02


class Behaviour(enum.Enum):
    """What a server does with one request."""

    ANSWER = "answer"
    FAIL = "fail"
    REJECT = "reject"
    MISDIRECT = "misdirect"
    RESET = "reset"
    HANG = "hang"
    TRUNCATE = "truncate"
    EXTRA = "extra"
    RUBBISH = "rubbish"
    OTHER_ID = "other_id"
    UNSTAMPED = "unstamped"
    UNNAMED = "unnamed"
    UNNAMED_REJECT = "unnamed_reject"
    UNFRAMED = "unframed"
    BREAK_STREAM = "break_stream"
    HANG_STREAM = "hang_stream"


@dataclasses.dataclass
class ReceivedRequest:
    """A request that a server has got."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    behaviour: Behaviour = Behaviour.ANSWER
    at_s: float = dataclasses.field(default_factory=time.monotonic)
    caller_disconnected: threading.Event = dataclasses.field(default_factory=threading.Event)

    def header(self, name: str) -> str | None:
        return self.headers.get(name.lower())


class FakeUpstream:
    """One server on a port of its own; behaviours are used up one a request."""

    def __init__(self, events: int = 5) -> None:
        self.behaviours: list[Behaviour] = []
        self.received: list[ReceivedRequest] = []
        self.released_handles: list[str] = []
        self.events = events
        self.connections = 0
        self.orders: list[dict[str, object]] = []
        self.stopping = threading.Event()
        self._httpd = _Httpd(("127.0.0.1", 0), _Handler)
        self._httpd.owner = self
        self.port = self._httpd.server_address[1]
        threading.Thread(target=self._httpd.serve_forever, daemon=True).start()

    def stop(self) -> None:
        """Stop listening; connections that are open end too."""
        self.stopping.set()
        self._httpd.shutdown()
        self._httpd.server_close()

    @property
    def runs(self) -> list[ReceivedRequest]:
        """Requests that were not only the reading of a prompt."""
        return [each for each in self.received if not each.header(names.Header.STAGE)]


class _Httpd(http.server.ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 64
    owner: FakeUpstream

    def handle_error(self, request: object, client_address: object) -> None:
        """Callers break connections off on purpose."""


class _Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    server: _Httpd

    def setup(self) -> None:
        self.server.owner.connections += 1
        self.request.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().setup()

    def log_message(self, *_: object) -> None:
        """Say nothing."""

    def _handle(self) -> None:
        owner = self.server.owner
        body = self.rfile.read(int(self.headers.get("Content-Length") or 0))
        if self.path.startswith(names.HANDLE_PATH):
            owner.released_handles.append(self.path.removeprefix(names.HANDLE_PATH))
            self._answer(200, b"")
            return
        if self.path == names.REPORT_PATH:
            report = {"stage": "prefill", "busy": False, "sequenceNumber": 3, "kvUsed": 7}
            self._answer(200, json.dumps(report).encode())
            return
        if self.path == names.ORDER_PATH:
            owner.orders.append(json.loads(body))
            self._answer(202, b"")
            return
        headers = {name.lower(): value for name, value in self.headers.items()}
        seen = ReceivedRequest(self.command, self.path, headers, body)
        behaviour = owner.behaviours.pop(0) if owner.behaviours else Behaviour.ANSWER
        seen.behaviour = behaviour
        owner.received.append(seen)
        self._behave(seen, behaviour)

    do_GET = do_POST = do_DELETE = _handle  # noqa: N815

    def _behave(self, seen: ReceivedRequest, behaviour: Behaviour) -> None:
        stamp: dict[str, str] = {
            names.Header.STAMP: "s",
            names.Header.REQUEST_ID: self._id(seen),
        }
        match behaviour:
            case Behaviour.ANSWER if seen.header(names.Header.STAGE):
                tokens = {
                    "handle": f"h{len(self.server.owner.received)}",
                    "tokens": 5,
                    "version": 1,
                }
                self._answer(200, json.dumps(tokens).encode())
            case Behaviour.ANSWER | Behaviour.BREAK_STREAM | Behaviour.HANG_STREAM if seen.header(
                names.Header.TOKENS
            ):
                self._stream(seen, behaviour, stamp)
            case Behaviour.ANSWER:
                self._answer(200, b"answer", stamp)
            case Behaviour.FAIL:
                self._answer(500, b"failed", stamp)
            case Behaviour.REJECT:
                rejection: dict[str, str] = {names.Header.NOT_RUN: "1"}
                rejection[names.Header.REQUEST_ID] = self._id(seen)
                self._answer(503, b"", rejection)
            case Behaviour.UNNAMED:
                self._answer(200, b"answer", {names.Header.STAMP: "s"})
            case Behaviour.UNNAMED_REJECT:
                self._answer(503, b"", {names.Header.NOT_RUN: "1"})
            case Behaviour.MISDIRECT:
                self._answer(421, b"")
            case Behaviour.OTHER_ID:
                self._answer(200, b"answer", {**stamp, names.Header.REQUEST_ID: "other"})
            case Behaviour.UNSTAMPED:
                self._answer(200, b"answer", {names.Header.REQUEST_ID: self._id(seen)})
            case Behaviour.TRUNCATE:
                self._answer(200, b"answer", stamp, length=100)
                self.close_connection = True
            case Behaviour.EXTRA:
                self._answer(200, b"answer", stamp)
                self.wfile.write(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra")
            case Behaviour.UNFRAMED:
                head = f"{names.Header.STAMP}: s\r\n{names.Header.REQUEST_ID}: {self._id(seen)}"
                self.wfile.write(f"HTTP/1.1 200 OK\r\n{head}\r\n\r\nanswer".encode())
                self.close_connection = True
            case Behaviour.RUBBISH:
                self.wfile.write(b"\x00\x01 rubbish\r\n\r\n")
                self.close_connection = True
            case Behaviour.HANG:
                self._wait_for_caller(seen)
            case Behaviour.RESET:
                self._reset()

    def _id(self, seen: ReceivedRequest) -> str:
        return seen.header(names.Header.REQUEST_ID) or ""

    def _answer(
        self,
        status: int,
        body: bytes,
        headers: dict[str, str] | None = None,
        length: int | None = None,
    ) -> None:
        self.send_response(status)
        for name, value in (headers or {}).items():
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body) if length is None else length))
        self.end_headers()
        self.wfile.write(body)

    def _stream(self, seen: ReceivedRequest, behaviour: Behaviour, headers: dict[str, str]) -> None:
        owner = self.server.owner
        self.send_response(200)
        for name, value in headers.items():
            self.send_header(name, value)
        self.send_header("Content-Type", "text/event-stream")
        self.send_header("Transfer-Encoding", "chunked")
        self.end_headers()
        first = int(seen.header(names.Header.LAST_EVENT_ID) or 0) + 1
        middle = (first + owner.events) // 2
        for number in range(first, owner.events + 1):
            event = f"id: {number}\ndata: {number}\n\n".encode()
            if number == middle and behaviour is Behaviour.BREAK_STREAM:
                self._chunk(event[:5])
                self._reset()
                return
            if number == middle and behaviour is Behaviour.HANG_STREAM:
                self._wait_for_caller(seen)
                return
            try:
                self._chunk(event)
            except OSError:
                seen.caller_disconnected.set()
                raise
            time.sleep(EVENT_S)
        self.wfile.write(b"0\r\n\r\n")

    def _chunk(self, content: bytes) -> None:
        self.wfile.write(b"%x\r\n%s\r\n" % (len(content), content))
        self.wfile.flush()

    def _wait_for_caller(self, seen: ReceivedRequest) -> None:
        while not self.server.owner.stopping.is_set():
            try:
                self.request.settimeout(0.05)
                if not self.request.recv(1, socket.MSG_PEEK):
                    break
            except TimeoutError:
                continue
            except OSError:
                break
        seen.caller_disconnected.set()
        self.close_connection = True

    def _reset(self) -> None:
        linger = struct.pack("ii", 1, 0)
        self.request.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        self.close_connection = True
        self.request.close()
