"""Stand-ins for the platform's store, servers and callers, and a runner of the project's program.

They use the standard library only. Each listens on a loopback address and on a free port.
"""

from __future__ import annotations

import base64
import http.client
import http.server
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import traceback
import urllib.parse
from collections.abc import Callable
from typing import Any

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST_NAME = "review.example"
API_KEY = "key-of-the-review"
TENANT = "tenant-of-the-review"
STORE_DELAY_S = 0.004
HISTORY_S = 20.0
MEMORY_MB = 150
SEGMENT_BYTES = 1448
WINDOW_BYTES = 4096


def free_port(host: str, kind: int = socket.SOCK_STREAM) -> int:
    """Return a port of a loopback address that is free now."""
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


def loopback_network() -> str:
    """Return the first three parts of a loopback address that other runs hardly share."""
    return f"127.{random.randint(10, 250)}.{random.randint(1, 250)}"


LIMITS = {
    "maxHeaderBytes": 16384,
    "maxBodyBytes": 4194304,
    "headerTimeoutMs": 3000,
    "idleTimeoutMs": 15000,
}


def service(name: str) -> dict[str, Any]:
    """Return a plain service as a configuration names it."""
    return {
        "name": name,
        "healthCheckPath": "/health",
        "connectionLimit": 620,
        "protocol": "h1",
        "tls": False,
    }


class Record:
    """Writes a line for each thing that was seen, with the time since the start."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._lock = threading.Lock()
        self._start_s = time.monotonic()

    def now_s(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._start_s

    def write(self, text: str) -> None:
        """Write a line."""
        with self._lock:
            self._file.write(f"{self.now_s():8.3f} {text}\n")
            self._file.flush()


class HttpServer(http.server.ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 512
    allow_reuse_address = True
    owner: Any

    def handle_error(self, request: object, client_address: object) -> None:
        """Ignore callers that break off."""


class Store:
    """The platform's store: items with revisions, pages, watches and a history of changes."""

    def __init__(self, host: str) -> None:
        self.revision = 100
        # Changes up to this revision are no longer known.
        self._forgotten = 100
        self._item_by_key: dict[str, dict[str, Any]] = {}
        self._events: list[dict[str, Any]] = []
        self._changed = threading.Condition()
        self._server = HttpServer((host, 0), _StoreHandler)
        self._server.owner = self
        self.address = f"{host}:{self._server.server_address[1]}"
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    def put(self, key: str, document: dict[str, Any]) -> None:
        """Write an item."""
        with self._changed:
            self.revision += 1
            before = self._item_by_key.get(key)
            item = {
                "key": key,
                "value": base64.b64encode(json.dumps(document).encode()).decode(),
                "revision": self.revision,
                "created": before["created"] if before else self.revision,
                "lease": 0,
            }
            self._item_by_key[key] = item
            self._add_event(item)

    def delete(self, key: str) -> None:
        """Remove an item."""
        with self._changed:
            self.revision += 1
            del self._item_by_key[key]
            self._add_event({"key": key, "revision": self.revision, "deleted": True})

    def _add_event(self, event: dict[str, Any]) -> None:
        self._events.append((time.monotonic(), event))
        self._changed.notify_all()

    def range(self, prefix: str, after: str) -> dict[str, Any]:
        """Return the items whose keys begin with a prefix."""
        with self._changed:
            keys = sorted(k for k in self._item_by_key if k.startswith(prefix) and k > after)
            items = [self._item_by_key[key] for key in keys]
            return {"items": items, "truncated": False, "at": self.revision}

    def watch(self, prefix: str, after: int, wait_s: float) -> dict[str, Any] | None:
        """Return the changes after a revision, as soon as there are any; None if they are gone."""

        def events() -> list[dict[str, Any]]:
            return [
                each
                for _, each in self._events
                if each["revision"] > after and each["key"].startswith(prefix)
            ]

        with self._changed:
            oldest_s = time.monotonic() - HISTORY_S
            while self._events and self._events[0][0] < oldest_s:
                self._forgotten = self._events.pop(0)[1]["revision"]
            if after < self._forgotten:
                return None
            self._changed.wait_for(events, wait_s)
            return {"events": events(), "at": self.revision}


class _StoreHandler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    server: HttpServer

    def log_message(self, *_: object) -> None:
        """Write no log."""

    def do_GET(self) -> None:
        """Answer a read or a watch."""
        parsed = urllib.parse.urlsplit(self.path)
        query = dict(urllib.parse.parse_qsl(parsed.query, keep_blank_values=True))
        prefix, store = query.get("pathPrefix", ""), self.server.owner
        if parsed.path == "/carawaydoor/kv-range":
            document = store.range(prefix, query.get("after", ""))
        elif parsed.path == "/carawaydoor/kv-watch":
            document = store.watch(prefix, int(query["after"]), int(query["waitMs"]) / 1000.0)
            if document is None:
                self.send_error(410)
                return
        else:
            self.send_error(404)
            return
        time.sleep(STORE_DELAY_S)
        content = json.dumps(document).encode()
        self.send_response(200)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(content)))
        self.end_headers()
        self.wfile.write(content)


class PlainServer:
    """A server of a plain service. The query ``bytes=N`` of a request says how long its answer is."""

    def __init__(self, host: str, identifier: str, record: Record, logs_runs: bool = True) -> None:
        self.identifier, self.logs_runs = identifier, logs_runs
        self.record = record
        self._server = HttpServer((host, 0), _PlainHandler)
        self._server.owner = self
        self.address = f"{host}:{self._server.server_address[1]}"
        self.born_ms = int(time.time() * 1000)
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    def entry(self, service_name: str) -> dict[str, Any]:
        """Return what the server writes to the store."""
        return server_entry(self, service_name, "v1")


def server_entry(server: Any, service_name: str, version: str) -> dict[str, Any]:
    return {
        "service": service_name,
        "address": server.address,
        "zone": "zone-a",
        "version": version,
        "slots": 200,
        "state": "ready",
        "coldRemainingMs": 0,
        "sequenceNumber": 1,
        "born": server.born_ms,
    }


class _PlainHandler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    server: HttpServer

    def log_message(self, *_: object) -> None:
        """Write no log."""

    def do_GET(self) -> None:
        """Run a request."""
        owner = self.server.owner
        self.rfile.read(int(self.headers.get("Content-Length") or 0))
        request_id = self.headers.get("Carawaydoor-Request-Id") or ""
        expected = self.headers.get("Carawaydoor-Expect-Instance")
        if expected not in (None, owner.identifier):
            self._answer(421, b"", request_id, {"Carawaydoor-Instance-Id": owner.identifier})
            return
        if owner.logs_runs:
            owner.record.write(f"server {owner.identifier} runs {request_id}")
        query = dict(urllib.parse.parse_qsl(urllib.parse.urlsplit(self.path).query))
        body = (f"answer to {request_id}. ".encode() * 20_000)[: int(query.get("bytes", 800))]
        self._answer(200, body, request_id, {"Carawaydoor-Server-Stamp": f"s.{request_id}"})

    do_HEAD = do_POST = do_GET  # noqa: N815

    def _answer(self, status: int, body: bytes, request_id: str, headers: dict[str, str]) -> None:
        self.send_response(status)
        self.send_header("Content-Length", str(len(body)))
        if request_id:
            self.send_header("Carawaydoor-Request-Id", request_id)
        for name, value in headers.items():
            self.send_header(name, value)
        self.end_headers()
        if self.command != "HEAD":
            self.wfile.write(body)


def publish_plain_service(
    store: Store, network: str, record: Record, logs_runs: bool = True
) -> None:
    """Start three servers of a plain service, and configure a route for status reads."""
    for number in range(3):
        host, identifier = f"{network}.{number + 2}", f"i-server-{number}"
        server = PlainServer(host, identifier, record, logs_runs)
        store.put(f"servers/{identifier}", server.entry("app"))
    route = {
        "name": "status",
        "host": HOST_NAME,
        "pathPrefix": "/status/",
        "kind": "safe",
        "service": "app",
        "timeoutMs": 1000,
        "targetLatencyMs": 150,
        "priority": 2,
        "maxAttempts": 2,
    }
    tenants = [{"name": TENANT, "apiKeys": [API_KEY]}]
    document = {"version": 3, "routes": [route], "services": [service("app")]}
    store.put("op/config", document | {"limits": LIMITS, "tenants": tenants})


def status_request(request_id: str, answer_bytes: int) -> bytes:
    """Return a read whose answer has a given length."""
    return (
        f"GET /status/x?bytes={answer_bytes} HTTP/1.1\r\nHost: {HOST_NAME}\r\n"
        f"Carawaydoor-Request-Id: {request_id}\r\nCarawaydoor-Deadline-Milliseconds: 1000\r\n"
        f"Api-Key: {API_KEY}\r\n\r\n"
    ).encode()


class LongCaller:
    """A caller with a long answer, which it reads only when it is told to.

    Its segments are those of an ordinary link and its window is small; on loopback, the segments of
    64 KB would have the system buffer far more than it does between two machines.
    """

    def __init__(self, instance: Instance, request_id: str, answer_bytes: int) -> None:
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._socket.settimeout(3.0)
        self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
        self._socket.connect((instance.host, instance.frontend))
        self._socket.sendall(status_request(request_id, answer_bytes))

    def read(self) -> int:
        """Read the answer and return its length, zero if there is none."""
        response = http.client.HTTPResponse(self._socket)
        try:
            response.begin()
            return len(response.read())
        except (OSError, http.client.HTTPException):
            return 0


class StreamServer:
    """A server that writes streams of numbered events and goes on after ``Last-Event-Id``.

    Each event says which version of the server's software has written it.
    """

    def __init__(
        self, host: str, identifier: str, version: str, record: Record, port: int = 0
    ) -> None:
        self.identifier, self.version, self.record = identifier, version, record
        self.events, self.interval_s = 40, 0.2
        self.is_crashed = False
        self._connections: set[socket.socket] = set()
        self._server = HttpServer((host, port), _StreamHandler)
        self._server.owner = self
        self.address = f"{host}:{self._server.server_address[1]}"
        self.born_ms = int(time.time() * 1000)
        threading.Thread(target=self._server.serve_forever, args=(0.02,), daemon=True).start()

    def entry(self, service_name: str) -> dict[str, Any]:
        """Return what the server writes to the store."""
        return server_entry(self, service_name, self.version)

    def keep(self, connection: socket.socket) -> None:
        """Remember a connection, which ends with the server."""
        self._connections.add(connection)

    def crash(self) -> None:
        """End as a process does that is killed: nothing listens any more."""
        self.is_crashed = True
        self._server.shutdown()
        self._server.server_close()
        for each in self._connections:
            try:
                each.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


class _StreamHandler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    server: HttpServer

    def log_message(self, *_: object) -> None:
        """Write no log."""

    def setup(self) -> None:
        """Remember the connection."""
        super().setup()
        self.server.owner.keep(self.connection)

    def do_POST(self) -> None:
        """Write a stream, or the rest of one."""
        owner = self.server.owner
        self.rfile.read(int(self.headers.get("Content-Length") or 0))
        request_id = self.headers.get("Carawaydoor-Request-Id") or ""
        if self.headers.get("Carawaydoor-Expect-Instance") not in (None, owner.identifier):
            self.send_response(421)
            self.send_header("Carawaydoor-Instance-Id", owner.identifier)
            self.send_header("Content-Length", "0")
            self.end_headers()
            return
        after = int(self.headers.get("Last-Event-Id") or 0)
        owner.record.write(
            f"server {owner.identifier} ({owner.version}) runs {request_id} after event {after}"
        )
        self.send_response(200)
        self.send_header("Content-Type", "text/event-stream")
        self.send_header("Transfer-Encoding", "chunked")
        self.send_header("Carawaydoor-Request-Id", request_id)
        self.send_header("Carawaydoor-Server-Stamp", f"{owner.identifier}.{request_id}")
        self.end_headers()
        try:
            for number in range(after + 1, owner.events + 1):
                if owner.is_crashed:
                    return
                self._write(f"id: {number}\ndata: {owner.version} {owner.identifier}\n\n".encode())
                time.sleep(owner.interval_s)
            self.wfile.write(b"0\r\n\r\n")
        except OSError:
            self.close_connection = True

    def _write(self, content: bytes) -> None:
        self.wfile.write(b"%x\r\n%s\r\n" % (len(content), content))
        self.wfile.flush()


class TcpProxy:
    """Passes connections on to an address until it is cut; then it drops what arrives, silently."""

    def __init__(self, host: str, port: int, target: tuple[str, int]) -> None:
        self.is_cut = False
        self._target = target
        self._listener = socket.create_server((host, port), backlog=256)
        self.port = self._listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            near, _ = self._listener.accept()
            threading.Thread(target=self._open, args=(near,), daemon=True).start()

    def _open(self, near: socket.socket) -> None:
        while self.is_cut:
            time.sleep(0.1)
        try:
            far = socket.create_connection(self._target, timeout=5.0)
        except OSError:
            near.close()
            return
        far.settimeout(None)
        for source, sink in ((near, far), (far, near)):
            threading.Thread(target=self._pass_on, args=(source, sink), daemon=True).start()

    def _pass_on(self, source: socket.socket, sink: socket.socket) -> None:
        try:
            while content := source.recv(65_536):
                if self.is_cut:
                    continue
                sink.sendall(content)
            if not self.is_cut:
                sink.shutdown(socket.SHUT_WR)
        except OSError:
            pass


class UdpProxy:
    """Passes datagrams on to an address until it is cut."""

    def __init__(self, host: str, port: int, target: tuple[str, int]) -> None:
        self.is_cut = False
        self._target = target
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind((host, port))
        threading.Thread(target=self._run, daemon=True).start()

    def _run(self) -> None:
        while True:
            content = self._socket.recv(65_536)
            if not self.is_cut:
                self._socket.sendto(content, self._target)


_SETTINGS = """
nodeName = "{name}"
role = "router"
machineClass = "frontend"
serves = ["frontend","control_plane"]
ipAddress = "{host}"
zone = "{zone}"
region = "{region}"
internalPortRange = [{first_port},{last_port}]
seeds = [{seeds}]
bootstrap = true
countsAsLoss = false
discovery = "platform"
entry = "virtual_ip"
heartbeatMs = 1200
[zones]
{zones}
[listen]
frontend = "{host}:{frontend}"
ready = "{host}:{ready}"
controlPlane = "{host}:{control}"
[limits]
cpuShare = 0.537
cores = 2
memoryMb = {memory_mb}
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
budgetSlack = 54
quotaWindowS = 8
quotaOvershoot = 0.25
quotaSlack = 190000
recoveryS = 12
transitMs = 120
retryAfterS = 4.6
requireFencing = true
leaseMs = 3000
thawSlackMs = 300
[platform]
address = "{store}"
form = "read"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
minTtlMs = 1000
"""


def machine_settings(
    name: str,
    host: str,
    store: str,
    ports: tuple[int, int, int, int] | None = None,
    seed_hosts: tuple[str, ...] = (),
) -> dict[str, Any]:
    """Return what the settings of a machine hold.

    :param ports: of the frontend, readiness, the control plane and the first internal one
    """
    frontend, ready, control, first = ports or tuple(free_port(host) for _ in range(4))
    return {
        "name": name,
        "host": host,
        "zone": "zone-a",
        "region": "region-1",
        "zones": 'zone-a = "region-1"',
        "first_port": first,
        "last_port": first + 15,
        "frontend": frontend,
        "ready": ready,
        "control": control,
        "seeds": ", ".join(f'"{each}:{control}"' for each in seed_hosts or (host,)),
        "memory_mb": MEMORY_MB,
        "store": store,
    }


class Instance:
    """A process of the project, started as the deploy file says."""

    def __init__(self, directory: pathlib.Path, **settings: Any) -> None:
        self.name, self.host = settings["name"], settings["host"]
        self.frontend, self.ready = settings["frontend"], settings["ready"]
        self.log_path = directory / f"{self.name}.log"
        self._settings_path = directory / f"{self.name}.toml"
        self._settings_path.write_text(_SETTINGS.format(**settings))
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        environment["CARAWAYDOOR_SETTINGS"] = str(self._settings_path)
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                deploy["roles"]["router"]["run"].split(),
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def is_ready(self) -> bool:
        """Ask as the platform does whether the instance takes callers."""
        connection = http.client.HTTPConnection(self.host, self.ready, timeout=1.0)
        try:
            connection.request("GET", "/carawaydoor/readiness")
            return connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()

    def wait_until_ready(self, timeout_s: float) -> bool:
        """Wait until the instance takes callers; return whether it does."""
        deadline_s = time.monotonic() + timeout_s
        while time.monotonic() < deadline_s:
            if self.is_ready():
                return True
            time.sleep(0.1)
        return False

    def lives(self) -> bool:
        """Return whether the process runs."""
        return self.process is not None and self.process.poll() is None

    def end(self) -> None:
        """Kill the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


class Workplace:
    """A temporary folder, and the instances that were started."""

    def __init__(self) -> None:
        self.directory = pathlib.Path(tempfile.mkdtemp(prefix="carawaydoor-review-"))
        self.instances: list[Instance] = []

    def __enter__(self) -> Workplace:
        return self

    def __exit__(self, *_: object) -> None:
        for each in self.instances:
            each.end()
        shutil.rmtree(self.directory, ignore_errors=True)

    def start_instances(self, settings: list[dict[str, Any]], timeout_s: float = 20.0) -> bool:
        """Start instances and wait until all are ready; return whether they are."""
        self.instances = [Instance(self.directory, **each) for each in settings]
        for each in self.instances:
            each.start()
        deadline_s = time.monotonic() + timeout_s
        while time.monotonic() < deadline_s:
            if all(each.is_ready() for each in self.instances):
                return True
            time.sleep(0.2)
        return False


def exit_code(main: Callable[[], int]) -> int:
    """Run a case and return its exit code, 2 if it could not run.

    A case that is told to stop ends its processes too.
    """
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        return main()
    except Exception:
        traceback.print_exc()
        return 2


def is_built() -> bool:
    """Return whether the build of the deploy file has run."""
    return (ROOT / "target/deps/carawaydoor/platformd.py").exists()
