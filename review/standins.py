"""Stand-ins for the users' platform, servers and clients, on loopback; standard library only.

They follow the users' pages PROTOCOL and DEPLOY. A case starts the router's processes with the
command of the deploy file, and adds the one disruption that it is about.
"""

from __future__ import annotations

import base64
import contextlib
import dataclasses
import http.client
import http.server
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import urllib.parse
import uuid
from collections.abc import Callable
from typing import Any

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST_NAME = "review.example"
KEY = "key-1"
METRICS_PORT = 9464

EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2


class NotRunError(Exception):
    """The case could not run."""


class Record:
    """What was sent, answered and run, in order of time."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._lock = threading.Lock()
        self.started_s = time.monotonic()

    def now_s(self) -> float:
        return time.monotonic() - self.started_s

    def write(self, text: str) -> None:
        with self._lock:
            self._file.write(f"{self.now_s():8.3f} s  {text}\n")
            self._file.flush()

    def close(self) -> None:
        self._file.close()


class Store:
    """The platform's store: one revision counter, linearizable reads, watches with a history."""

    def __init__(self) -> None:
        self.revision = 1
        self._value_by_key: dict[str, tuple[bytes, int]] = {}
        self._changes: list[dict[str, Any]] = []
        self.condition = threading.Condition()
        self._server = _ThreadingServer(("127.0.0.1", 0), _StoreHandler)
        self._server.store = self
        self.port: int = self._server.server_address[1]
        poll = {"poll_interval": 0.05}
        threading.Thread(target=self._server.serve_forever, kwargs=poll, daemon=True).start()

    def put(self, key: str, document: dict[str, Any]) -> None:
        content = json.dumps(document).encode()
        with self.condition:
            self.revision += 1
            self._value_by_key[key] = content, self.revision
            self._changes.append(self._item(key))
            self.condition.notify_all()

    def delete(self, key: str) -> None:
        with self.condition:
            self.revision += 1
            self._value_by_key.pop(key, None)
            self._changes.append({"key": key, "revision": self.revision, "deleted": True})
            self.condition.notify_all()

    def _item(self, key: str) -> dict[str, Any]:
        content, revision = self._value_by_key[key]
        text = base64.b64encode(content).decode()
        return {"key": key, "value": text, "revision": revision, "created": revision, "lease": 0}

    def range(self, prefix: str, after: str) -> dict[str, Any]:
        with self.condition:
            keys = sorted(k for k in self._value_by_key if k.startswith(prefix) and k > after)
            page = [self._item(key) for key in keys[:500]]
            return {"items": page, "truncated": len(keys) > 500, "at": self.revision}

    def watch(self, prefix: str, after: int, wait_s: float) -> dict[str, Any]:
        def events() -> list[dict[str, Any]]:
            return [
                each
                for each in self._changes
                if each["key"].startswith(prefix) and each["revision"] > after
            ]

        with self.condition:
            self.condition.wait_for(events, wait_s)
            return {"events": events(), "at": self.revision}


class _ThreadingServer(http.server.ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 128
    store: Store

    def handle_error(self, request: object, client_address: object) -> None:
        """Ignore errors: callers break off connections."""


class _StoreHandler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    server: _ThreadingServer

    def log_message(self, *_: object) -> None:
        """Log nothing."""

    def do_GET(self) -> None:
        parsed = urllib.parse.urlsplit(self.path)
        query = dict(urllib.parse.parse_qsl(parsed.query, keep_blank_values=True))
        prefix = query.get("pathPrefix", "")
        if parsed.path.endswith("kv-range"):
            document = self.server.store.range(prefix, query.get("after", ""))
        else:
            wait_s = int(query["waitMs"]) / 1000
            document = self.server.store.watch(prefix, int(query["after"]), wait_s)
        content = json.dumps(document).encode()
        self.send_response(200)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(content)))
        self.end_headers()
        self.wfile.write(content)


@dataclasses.dataclass
class Request:
    """A request that a server got."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def id(self) -> str:
        return self.headers.get("carawaydoor-request-id", "")

    @property
    def is_prefill(self) -> bool:
        return self.headers.get("carawaydoor-stage") == "prefill"


class Connection:
    """A connection that a server accepted."""

    def __init__(self, accepted: socket.socket) -> None:
        accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.socket = accepted
        self._buffer = b""

    def read_request(self) -> Request | None:
        while b"\r\n\r\n" not in self._buffer:
            if not self._fill():
                return None
        head, _, self._buffer = self._buffer.partition(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        method, target, _ = lines[0].split(" ", 2)
        pairs = (each.partition(":") for each in lines[1:])
        headers = {name.strip().lower(): value.strip() for name, _, value in pairs}
        length = int(headers.get("content-length", 0))
        while len(self._buffer) < length:
            if not self._fill():
                return None
        body, self._buffer = self._buffer[:length], self._buffer[length:]
        return Request(method, target, headers, body)

    def _fill(self) -> bool:
        try:
            content = self.socket.recv(65_536)
        except OSError:
            return False
        self._buffer += content
        return bool(content)

    def is_open(self) -> bool:
        """Return whether the caller has not closed the connection."""
        try:
            self.socket.setblocking(False)
            return self.socket.recv(1, socket.MSG_PEEK) != b""
        except BlockingIOError:
            return True
        except OSError:
            return False
        finally:
            with contextlib.suppress(OSError):
                self.socket.setblocking(True)

    def send(self, content: bytes) -> None:
        self.socket.sendall(content)

    def close(self) -> None:
        with contextlib.suppress(OSError):
            self.socket.shutdown(socket.SHUT_WR)
        with contextlib.suppress(OSError):
            self.socket.close()


class Server:
    """A server of the platform; ``handle`` returns whether the connection is kept."""

    def __init__(self, name: str, service: str, zone: str, stage: str | None = None) -> None:
        self.name, self.service, self.zone, self.stage = name, service, zone, stage
        self.version = "1.0"
        self.born_ms = int(time.time() * 1000)
        self.runs: list[str] = []
        self.lock = threading.Lock()
        self._open: set[Connection] = set()
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=128)
        self._port: int = self._listener.getsockname()[1]
        self.address = f"127.0.0.1:{self._port}"
        threading.Thread(target=self._accept, args=(self._listener,), daemon=True).start()

    def crash(self) -> None:
        """End all connections and refuse new ones, as a process that has crashed."""
        self.stop_listening()
        for each in tuple(self._open):
            with contextlib.suppress(OSError):
                each.socket.shutdown(socket.SHUT_RDWR)

    def stop_listening(self) -> None:
        """Refuse new connections."""
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()

    def listen_again(self) -> None:
        """Accept connections again, as a new lifetime at the same address."""
        self.born_ms = int(time.time() * 1000)
        self._listener = socket.create_server(("127.0.0.1", self._port), backlog=128)
        threading.Thread(target=self._accept, args=(self._listener,), daemon=True).start()

    def entry(self, state: str = "ready") -> dict[str, Any]:
        entry: dict[str, Any] = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": self.version,
            "slots": 128 if self.stage else 6,
            "state": state,
            "coldRemainingMs": 0,
            "sequenceNumber": 0,
            "born": self.born_ms,
        }
        if self.stage:
            entry["stage"] = self.stage
            entry["models"] = [{"name": "m", "version": 1, "adapters": []}]
        return entry

    def _accept(self, listener: socket.socket) -> None:
        while True:
            try:
                accepted, _ = listener.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(Connection(accepted),), daemon=True).start()

    def _serve(self, connection: Connection) -> None:
        self._open.add(connection)
        with contextlib.suppress(OSError):
            while (request := connection.read_request()) is not None:
                expected = request.headers.get("carawaydoor-expect-instance", self.name)
                if expected != self.name:
                    connection.send(head(421, [("Carawaydoor-Instance-Id", self.name)], 0))
                elif not self.handle(request, connection):
                    break
        self._open.discard(connection)
        connection.close()

    def handle(self, request: Request, connection: Connection) -> bool:
        raise NotImplementedError

    def stamp(self, request: Request) -> list[tuple[str, str]]:
        """Return the headers by which an answer names its request and its server."""
        return [
            ("Carawaydoor-Request-Id", request.id),
            ("Carawaydoor-Server-Stamp", f"{self.name}.{request.id}"),
        ]


def head(status: int, headers: list[tuple[str, str]], length: int | None) -> bytes:
    """Return the head of an answer; without a length it ends with its channel or its chunks."""
    phrase = http.client.responses.get(status, "Unknown")
    lines = [f"HTTP/1.1 {status} {phrase}", *(f"{name}: {value}" for name, value in headers)]
    if length is not None:
        lines.append(f"Content-Length: {length}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def configuration(
    version: int, routes: list[dict[str, Any]], services: list[dict[str, Any]]
) -> dict[str, Any]:
    """Return a configuration with one tenant without a usage cap."""
    return {
        "version": version,
        "routes": [{"host": HOST_NAME, "priority": 1, **each} for each in routes],
        "services": services,
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 5000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": "tenant-1", "apiKeys": [KEY]}],
    }


_SETTINGS = """
nodeName = "{name}"
role = "router"
machineClass = "frontend"
serves = ["frontend", "control_plane"]
ipAddress = "{host}"
zone = "{zone}"
region = "region-1"
internalPortRange = [{first}, {last}]
seeds = [{seeds}]
bootstrap = true
countsAsLoss = false
discovery = "platform"
entry = "virtual_ip"
heartbeatMs = 1200
[zones]
zone-a = "region-1"
zone-b = "region-1"
[listen]
frontend = "{host}:{front}"
ready = "{host}:{ready}"
controlPlane = "{host}:{control}"
[limits]
cpuShare = 0.537
cores = 2
memoryMb = 300
fileDescriptors = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 2
zones = 1
regions = 0
[bounds]
seedLagS = 3
addressReuseS = 2
stableWindowMs = 3000
acknowledgeMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 8
lossSlackMs = 200
configurationMs = 2000
revertSlackMs = 250
maxStretchMs = 5000
strictRevocation = true
revocationMs = 5000
retryBudgetRatio = 0.2
budgetWindowS = 10
budgetSlack = 56
quotaWindowS = 8
quotaOvershoot = 0.25
quotaSlack = 190000
recoveryS = 12
transitMs = 120
retryAfterS = 7.7
requireFencing = true
leaseMs = 3000
thawSlackMs = 300
[platform]
address = "127.0.0.1:{store}"
form = "read"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
minTtlMs = 1000
"""


class Machine:
    """One machine with the router, started with the command of the deploy file."""

    def __init__(
        self, number: int, hosts: list[str], ports: list[int], store: int, folder: pathlib.Path
    ) -> None:
        self.name, self.host = f"frontend-{number}", hosts[number]
        self.zone = "zone-a" if number % 2 == 0 else "zone-b"
        self.front_port, self.ready_port, control, first = ports
        self._log_path = folder / f"{self.name}.log"
        self._settings_path = folder / f"{self.name}.toml"
        self._settings_path.write_text(
            _SETTINGS.format(
                name=self.name,
                host=self.host,
                zone=self.zone,
                first=first,
                last=first,
                seeds=", ".join(f'"{each}:{control}"' for each in hosts[:3]),
                front=self.front_port,
                ready=self.ready_port,
                control=control,
                store=store,
            )
        )
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        words = deploy["roles"]["router"]["run"].split()
        kept = ("PATH", "HOME", "LANG")
        environment = {name: os.environ[name] for name in kept if name in os.environ}
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["CARAWAYDOOR_SETTINGS"] = str(self._settings_path)
        with self._log_path.open("ab") as log:
            self.process = subprocess.Popen(
                words, cwd=ROOT, env=environment, stdin=subprocess.DEVNULL, stdout=log, stderr=log
            )

    def signal(self, number: signal.Signals) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def stop(self) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    def is_ready(self) -> bool:
        connection = http.client.HTTPConnection(self.host, self.ready_port, timeout=1.0)
        try:
            connection.request("GET", "/carawaydoor/readiness")
            return connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()

    def log(self) -> str:
        return self._log_path.read_text(errors="replace")


@dataclasses.dataclass
class Answer:
    """What a client got for one attempt; status 0 stands for a channel without an answer."""

    id: str
    machine: str
    sent_s: float
    ended_s: float = 0.0
    status: int = 0
    stamp: str = ""
    echoed_id: str = ""
    body: bytes = b""
    is_whole: bool = False
    is_kept: bool = False
    note: str = ""


class Client:
    """A client that keeps its channel to one machine as long as the machine lets it."""

    def __init__(
        self, machine: Machine, record: Record, read_timeout_s: float | None = None
    ) -> None:
        self._machine, self._record = machine, record
        # Longest gap after which the client leaves, None for one second beyond its time limit.
        self._read_timeout_s = read_timeout_s
        self._connection: http.client.HTTPConnection | None = None

    def send(
        self,
        method: str,
        path: str,
        headers: dict[str, str] | None = None,
        body: bytes = b"",
        timeout_s: float = 1.5,
        give_up: Callable[[Answer], bool] | None = None,
    ) -> Answer:
        """Send one attempt and read its answer; ``give_up`` may close the channel meanwhile."""
        answer = Answer(uuid.uuid4().hex[:16], self._machine.name, self._record.now_s())
        sent = {
            "Host": HOST_NAME,
            "Carawaydoor-Request-Id": answer.id,
            "Carawaydoor-Deadline-Milliseconds": str(int(timeout_s * 1000)),
            "Api-Key": KEY,
            **(headers or {}),
        }
        try:
            if self._connection is None:
                self._connection = http.client.HTTPConnection(
                    self._machine.host,
                    self._machine.front_port,
                    timeout=self._read_timeout_s or timeout_s + 1.0,
                )
            self._connection.request(method, path, body or None, sent)
            response = self._connection.getresponse()
            answer.status = response.status
            answer.stamp = response.getheader("Carawaydoor-Server-Stamp") or ""
            answer.echoed_id = response.getheader("Carawaydoor-Request-Id") or ""
            while chunk := response.read1(65_536):
                answer.body += chunk
                if give_up is not None and give_up(answer):
                    answer.note = "client left"
                    break
            else:
                answer.is_whole = not response.length
            # read1 alone doesn't let the connection carry another request.
            response.close()
            answer.is_kept = answer.is_whole and not response.will_close
        except (OSError, http.client.HTTPException) as error:
            answer.note = repr(error)
        if not answer.is_kept:
            self.close()
        answer.ended_s = self._record.now_s()
        self._record.write(
            f"client  {answer.id} {method} {path} at {answer.machine}, sent {answer.sent_s:.3f}: "
            f"status {answer.status}, stamp {answer.stamp or '-'}, {len(answer.body)} bytes, "
            f"{'whole' if answer.is_whole else 'not whole'} {answer.note}"
        )
        return answer

    def close(self) -> None:
        if self._connection is not None:
            self._connection.close()
            self._connection = None


class Deployment:
    """A store, and some machines with the router."""

    def __init__(self, machine_count: int, folder: pathlib.Path, record: Record) -> None:
        self.record = record
        self.store = Store()
        prefix = f"127.{1 + os.getpid() // 250 % 250}.{os.getpid() % 250}"
        hosts = [f"{prefix}.{number + 1}" for number in range(machine_count)]
        ports = _free_ports(hosts, 4)
        self.machines = [
            Machine(number, hosts, ports, self.store.port, folder)
            for number in range(machine_count)
        ]

    def start(self, timeout_s: float = 30.0) -> None:
        for each in self.machines:
            each.start()
        self.wait_until_ready(timeout_s)

    def wait_until_ready(self, timeout_s: float = 30.0) -> None:
        deadline_s = time.monotonic() + timeout_s
        while not all(each.is_ready() for each in self.machines):
            if time.monotonic() > deadline_s:
                raise NotRunError("the machines did not become ready")
            time.sleep(0.1)

    def stop(self) -> None:
        for each in self.machines:
            each.stop()


def _free_ports(hosts: list[str], count: int) -> list[int]:
    """Return ports below those of outgoing connections that are free on all hosts."""
    found: list[int] = []
    for port in range(18_000, 30_000):
        try:
            for host in hosts:
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    with socket.socket(socket.AF_INET, kind) as probe:
                        probe.bind((host, port))
        except OSError:
            continue
        found.append(port)
        if len(found) == count:
            return found
    raise NotRunError("no free ports")


def run_case(folder: pathlib.Path, play: Callable[[pathlib.Path, Record, bool], list[str]]) -> int:
    """Play a case and return its exit status; ``play`` returns how the rule was broken."""
    # An interrupted case still ends the processes that it started.
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: sys.exit(EXIT_NOT_RUN))
    is_troubled = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder / "record.txt")
    record.write(f"disruption: {'on' if is_troubled else 'off'}")
    try:
        with tempfile.TemporaryDirectory() as temporary:
            breaks = play(pathlib.Path(temporary), record, is_troubled)
    except (NotRunError, OSError) as error:
        record.write(f"not run: {error!r}")
        print(f"not run: {error!r}", file=sys.stderr)
        return EXIT_NOT_RUN
    for each in breaks:
        record.write(f"BROKEN  {each}")
    summary = f"{len(breaks)} breaks" if breaks else "the rule held"
    record.write(summary)
    record.close()
    print(summary)
    for each in breaks[:5]:
        print(each)
    return EXIT_BROKEN if breaks else EXIT_HELD
