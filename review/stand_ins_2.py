"""Stand-ins for the platform of the second review: store, servers, clients, and the router processes.

Run as a program, this module is one server: a separate process, so that it can be killed like one.
Only the standard library is used.
"""

from __future__ import annotations

import argparse
import base64
import contextlib
import http.client
import http.server
import json
import os
import pathlib
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = "shop.example"
KEY = "key-of-one-tenant"
TENANT = "tenant-one"
READY_TIMEOUT_S = 20.0
FRONT_PORT, READY_PORT, PEER_PORT, CONTROL_PORT, METRICS_PORT = 8221, 8224, 7600, 8229, 9464


class SetupError(Exception):
    """The case could not run."""


class Record:
    """Writes what was sent, answered and run to the file of the case."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w")
        self._lock = threading.Lock()
        self._started_s = time.monotonic()

    def write(self, text: str) -> None:
        """Write one line with the time since the start."""
        with self._lock:
            self._file.write(f"{time.monotonic() - self._started_s:8.3f}  {text}\n")
            self._file.flush()


# --- the platform's store


class Store:
    """The platform's metadata store, as far as it can be read."""

    def __init__(self) -> None:
        self._condition = threading.Condition()
        self._revision = 1
        self._item_by_key: dict[str, dict[str, object]] = {}
        self._events: list[dict[str, object]] = []
        self._server = _StoreServer(("127.0.0.1", 0), _StoreHandler)
        self._server.store = self
        self.address = f"127.0.0.1:{self._server.server_address[1]}"
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    def put(self, key: str, document: dict[str, object]) -> None:
        """Write an item."""
        with self._condition:
            self._revision += 1
            before = self._item_by_key.get(key)
            item: dict[str, object] = {
                "key": key,
                "value": base64.b64encode(json.dumps(document).encode()).decode(),
                "revision": self._revision,
                "created": before["created"] if before else self._revision,
                "lease": 0,
            }
            self._item_by_key[key] = item
            self._events.append(item)
            self._condition.notify_all()

    def remove(self, key: str) -> None:
        """Remove an item."""
        with self._condition:
            if self._item_by_key.pop(key, None) is None:
                return
            self._revision += 1
            self._events.append({"key": key, "revision": self._revision, "deleted": True})
            self._condition.notify_all()

    def range(self, prefix: str, after: str) -> dict[str, object]:
        """Return one page of items."""
        with self._condition:
            keys = sorted(k for k in self._item_by_key if k.startswith(prefix) and k > after)
            items = [self._item_by_key[each] for each in keys[:500]]
            return {"items": items, "truncated": len(keys) > 500, "at": self._revision}

    def key(self, key: str) -> dict[str, object] | None:
        """Return one item."""
        with self._condition:
            item = self._item_by_key.get(key)
            return None if item is None else {**item, "at": self._revision}

    def watch(self, prefix: str, after: int, wait_s: float) -> dict[str, object] | None:
        """Return the changes after a revision as soon as there are any; None without history."""

        def events() -> list[dict[str, object]]:
            return [
                each
                for each in self._events
                if str(each["key"]).startswith(prefix) and int(str(each["revision"])) > after
            ]

        with self._condition:
            if after > self._revision:
                return None
            self._condition.wait_for(lambda: bool(events()), wait_s)
            return {"events": events(), "at": self._revision}


class _StoreServer(http.server.ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 64
    store: Store

    def handle_error(self, request: object, client_address: object) -> None:
        """Ignore clients that end."""


class _StoreHandler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    server: _StoreServer

    def log_message(self, *_: object) -> None:
        """Log nothing."""

    def do_GET(self) -> None:
        """Answer a reading call."""
        parsed = urllib.parse.urlsplit(self.path)
        query = dict(urllib.parse.parse_qsl(parsed.query, keep_blank_values=True))
        store, prefix = self.server.store, query.get("pathPrefix", "")
        document: dict[str, object] | None
        missing = 404
        if parsed.path == "/carawaydoor/kv-range":
            document = store.range(prefix, query.get("after", ""))
        elif parsed.path == "/carawaydoor/kv-watch":
            wait_s = min(30_000, int(query["waitMs"])) / 1000.0
            document, missing = store.watch(prefix, int(query["after"]), wait_s), 410
        elif parsed.path == "/carawaydoor/kv-key":
            document = store.key(query["key"])
        else:
            document = None
        content = b"" if document is None else json.dumps(document).encode()
        self.send_response(missing if document is None else 200)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(content)))
        self.end_headers()
        self.wfile.write(content)


# --- a server, as a process of its own


class _Upstream(http.server.ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 256
    options: argparse.Namespace
    journal_lock = threading.Lock()
    # One prompt is read after the other.
    prefill_lock = threading.Lock()
    running = 0

    def handle_error(self, request: object, client_address: object) -> None:
        """Ignore callers that end."""

    def write(self, what: str, **fields: object) -> None:
        """Add a line to this server's journal."""
        line = {"at": time.time(), "server": self.options.id, "version": self.options.version}
        with self.journal_lock, open(self.options.journal, "a") as file:
            file.write(json.dumps({**line, "what": what, **fields}) + "\n")


class _UpstreamHandler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    server: _Upstream

    def setup(self) -> None:
        """Send each event at once."""
        self.request.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().setup()

    def log_message(self, *_: object) -> None:
        """Log nothing."""

    def _handle(self) -> None:
        options = self.server.options
        body = self.rfile.read(int(self.headers.get("Content-Length") or 0))
        expected = self.headers.get("Carawaydoor-Expect-Instance")
        if expected is not None and expected != options.id:
            self._send(421, b"")
        elif self.path == "/carawaydoor/report":
            self._send(200, json.dumps(self._report()).encode())
        elif self.path == "/carawaydoor/order":
            self._send(400, b"")
        elif self.path == "/carawaydoor/hold-take":
            self._send(503, b"")
        elif self.path.startswith("/carawaydoor/"):
            self._send(200, b"")
        elif self.headers.get("Carawaydoor-Request-Id") is None:
            self._send(400, b"", {"Carawaydoor-Not-Run": "1"})
        elif self.headers.get("Carawaydoor-Stage") == "prefill":
            self._prefill()
        elif self.headers.get("Carawaydoor-Kv-Source", "").endswith(self._id):
            # The copy of a run: this server keeps none.
            self._send(503, b"", {"Carawaydoor-Not-Run": "1"})
        elif options.stage == "prefill":
            self._send(421, b"", self._identity)
        elif options.stage == "decode" or self.headers.get("Carawaydoor-Token-Counts"):
            self._stream()
        else:
            self._plain(body)

    do_GET = do_POST = do_DELETE = _handle  # noqa: N815

    @property
    def _id(self) -> str:
        return self.headers.get("Carawaydoor-Request-Id") or ""

    @property
    def _identity(self) -> dict[str, str]:
        return {"Carawaydoor-Request-Id": self._id}

    @property
    def _stamp(self) -> dict[str, str]:
        return {**self._identity, "Carawaydoor-Server-Stamp": f"stamp.{self.server.options.id}"}

    def _report(self) -> dict[str, object]:
        options = self.server.options
        return {
            "stage": options.stage,
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "busy": False,
            "sequenceNumber": 0,
            "waiting": 0,
            "running": self.server.running,
            "kvUsed": 0,
            "kvTotal": 60_000,
            "handles": 0,
            "born": options.born,
        }

    def _prefill(self) -> None:
        tokens = int((self.headers.get("Carawaydoor-Token-Counts") or "0,0").split(",")[0])
        with self.server.prefill_lock:
            time.sleep(tokens / self.server.options.prefill_tokens_per_ms / 1000.0)
        document = {"handle": os.urandom(6).hex(), "tokens": tokens, "version": 1}
        self._send(200, json.dumps(document).encode(), self._identity)

    def _plain(self, body: bytes) -> None:
        self.server.write("run", id=self._id, method=self.command, path=self.path)
        self._send(200, b"answer to " + self._id.encode(), self._stamp)

    def _stream(self) -> None:
        options = self.server.options
        last = self.headers.get("Last-Event-Id") or ""
        first = int(last) + 1 if last else options.first_id
        self.server.write("run", id=self._id, path=self.path, last_event=last)
        self.send_response(200)
        for name, value in self._stamp.items():
            self.send_header(name, value)
        self.send_header("Content-Type", "text/event-stream")
        if options.framing == "chunks":
            self.send_header("Transfer-Encoding", "chunked")
        else:
            self.close_connection = True
        self.end_headers()
        self.server.running += 1
        try:
            for number in range(first, options.first_id + options.events):
                time.sleep((options.gap_ms if number > first else options.first_ms) / 1000.0)
                data = f"{number} of {options.version} from {options.id}"
                event = f"id: {number}\ndata: {data}\n\n".encode()
                if options.framing == "chunks":
                    event = b"%x\r\n%s\r\n" % (len(event), event)
                self.wfile.write(event)
            if options.framing == "chunks":
                self.wfile.write(b"0\r\n\r\n")
            self.server.write("ended", id=self._id)
        except OSError as error:
            self.server.write("caller left", id=self._id, detail=repr(error))
            self.close_connection = True
        finally:
            self.server.running -= 1

    def _send(self, status: int, content: bytes, headers: dict[str, str] | None = None) -> None:
        self.send_response(status)
        for name, value in (headers or {}).items():
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(content)))
        self.end_headers()
        self.wfile.write(content)


def serve(arguments: list[str]) -> None:
    """Run one server until it is killed."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--id", required=True)
    parser.add_argument("--stage", default="")
    parser.add_argument("--version", default="v1")
    parser.add_argument("--born", type=int, default=0)
    parser.add_argument("--journal", required=True)
    parser.add_argument("--framing", choices=("chunks", "close"), default="chunks")
    parser.add_argument("--first-id", type=int, default=1)
    parser.add_argument("--events", type=int, default=20)
    parser.add_argument("--first-ms", type=float, default=60.0)
    parser.add_argument("--gap-ms", type=float, default=200.0)
    # The sheets name 55.5556 prompt tokens in a ms.
    parser.add_argument("--prefill-tokens-per-ms", type=float, default=55.5556)
    options = parser.parse_args(arguments)
    options.born = options.born or int(time.time() * 1000)
    server = _Upstream(("127.0.0.1", options.port), _UpstreamHandler)
    server.options = options
    server.serve_forever()


def free_port() -> int:
    """Return a port that nothing listens on."""
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


class Server:
    """A server process with its entry in the store.

    :param options: further options of the server program
    """

    def __init__(
        self, deployment: Deployment, name: str, service: str, stage: str, **options: object
    ) -> None:
        self.name = name
        self.port = free_port()
        self._deployment = deployment
        self._service = service
        self._stage = stage
        self._options: dict[str, object] = options
        self._process: subprocess.Popen[bytes] | None = None
        self._born_ms = 0

    def start(self, **options: object) -> None:
        """Start the process, which registers itself with :meth:`register`."""
        self._options |= options
        self._born_ms = int(time.time() * 1000)
        command = [sys.executable, str(pathlib.Path(__file__)), "server", "--port", str(self.port)]
        command += ["--id", self.name, "--stage", self._stage, "--born", str(self._born_ms)]
        command += ["--journal", str(self._deployment.journal_path)]
        for key, value in self._options.items():
            command += [f"--{key.replace('_', '-')}", str(value)]
        self._process = subprocess.Popen(command)
        deadline_s = time.monotonic() + 10.0
        while True:
            with contextlib.suppress(OSError):
                socket.create_connection(("127.0.0.1", self.port), 0.5).close()
                return
            if time.monotonic() > deadline_s:
                raise SetupError(f"server {self.name} does not listen")
            time.sleep(0.01)

    def register(self, state: str = "ready") -> None:
        """Write the entry of the running process."""
        entry: dict[str, object] = {
            "service": self._service,
            "address": f"127.0.0.1:{self.port}",
            "zone": "zone-a",
            "version": self._options.get("version", "v1"),
            "slots": 128 if self._stage else 6,
            "state": state,
            "coldRemainingMs": 0,
            "sequenceNumber": 1,
            "born": self._born_ms,
        }
        if self._stage:
            entry |= {"stage": self._stage, "models": [{"name": "m", "version": 1, "adapters": []}]}
        self._deployment.store.put(f"servers/{self.name}", entry)

    def kill(self) -> None:
        """End the process as a crash does."""
        if self._process is not None and self._process.poll() is None:
            self._process.kill()
            self._process.wait()


# --- the router


class Router:
    """One process of the router, started with the command of the deploy file."""

    def __init__(self, deployment: Deployment, number: int, host: str, **settings: object) -> None:
        self.host = host
        self.name = f"frontend-zone-{number}"
        self._directory = deployment.directory
        self._settings_path = deployment.directory / f"{self.name}.toml"
        self.log_path = deployment.directory / f"{self.name}.log"
        self._process: subprocess.Popen[bytes] | None = None
        seeds = ", ".join(f'"{each}:{CONTROL_PORT}"' for each in deployment.hosts[:3])
        self._settings_path.write_text(
            _SETTINGS.format(
                name=self.name,
                host=host,
                seeds=seeds,
                store=deployment.store.address,
                front=FRONT_PORT,
                ready=READY_PORT,
                control=CONTROL_PORT,
                peer=PEER_PORT,
                last_peer=PEER_PORT + 15,
                **{"memory_mb": 300, **settings},
            )
        )

    def start(self) -> None:
        """Start the process."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = shlex.split(deploy["roles"]["router"]["run"])
        command[0] = sys.executable if command[0] == "python3" else command[0]
        environment = {
            **{key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ},
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "CARAWAYDOOR_SETTINGS": str(self._settings_path),
        }
        with self.log_path.open("ab") as log:
            self._process = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    @property
    def pid(self) -> int:
        """The id of the process."""
        assert self._process is not None
        return self._process.pid

    def wait_until_ready(self) -> None:
        """Wait until the process says that it is ready."""
        deadline_s = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < deadline_s:
            with contextlib.suppress(OSError, http.client.HTTPException):
                connection = http.client.HTTPConnection(self.host, READY_PORT, timeout=1.0)
                connection.request("GET", "/carawaydoor/readiness")
                if connection.getresponse().status == 200:
                    return
            time.sleep(0.1)
        raise SetupError(f"{self.name} is not ready after {READY_TIMEOUT_S} s")

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(number)

    def kill(self) -> None:
        """Kill the process."""
        if self._process is not None and self._process.poll() is None:
            self._process.kill()
            self._process.wait()


_SETTINGS = """nodeName = "{name}"
role = "router"
machineClass = "frontend"
serves = ["frontend", "control_plane"]
ipAddress = "{host}"
zone = "zone-a"
region = "region-a"
internalPortRange = [{peer}, {last_peer}]
seeds = [{seeds}]
bootstrap = true
heartbeatMs = 1200
[zones]
zone-a = "region-a"
[listen]
frontend = "{host}:{front}"
ready = "{host}:{ready}"
controlPlane = "{host}:{control}"
[limits]
cpuShare = 0.537
cores = 2
memoryMb = {memory_mb}
fileDescriptors = 4100
linkMbps = 1000.0
[bounds]
addressReuseS = 2
stableWindowMs = 3000
drainMs = 2000
graceS = 8
lossSlackMs = 200
configurationMs = 2000
strictRevocation = true
revocationMs = 5000
retryBudgetRatio = 0.2
budgetWindowS = 10
budgetSlack = 56
quotaWindowS = 8
quotaOvershoot = 0.25
quotaSlack = 190000
recoveryS = 12
requireFencing = true
leaseMs = 3000
[platform]
address = "{store}"
form = "read"
readsPerS = 2000
historyS = 20
"""


class Deployment:
    """The store, the servers and the routers of one case, in a temporary folder."""

    def __init__(self, router_count: int) -> None:
        self._folder = tempfile.TemporaryDirectory()
        self.directory = pathlib.Path(self._folder.name)
        self.journal_path = self.directory / "servers.jsonl"
        self.journal_path.touch()
        self.store = Store()
        net = f"127.{os.getpid() // 250 % 250 + 1}.{os.getpid() % 250}"
        self.hosts = [f"{net}.{number + 1}" for number in range(router_count)]
        for host in self.hosts:
            for port in (FRONT_PORT, READY_PORT, PEER_PORT, METRICS_PORT):
                _check_free(host, port)
        self.routers = [Router(self, number, host) for number, host in enumerate(self.hosts)]
        self.servers: list[Server] = []

    def __enter__(self) -> Deployment:
        signal.signal(signal.SIGTERM, _exit_once)
        return self

    def __exit__(self, *_: object) -> None:
        for each in (*self.routers, *self.servers):
            each.kill()
        self._folder.cleanup()

    def add_server(self, name: str, service: str, stage: str = "", **options: object) -> Server:
        """Start and register a server."""
        server = Server(self, name, service, stage, **options)
        self.servers.append(server)
        server.start()
        server.register()
        return server

    def configure(self, routes: list[dict[str, object]], version: int = 1) -> None:
        """Write the operator's configuration."""
        common = {"host": HOST, "priority": 1, "allowAnonymous": False}
        engine = {"slots": 128, "kvCacheTokens": 60_000, "kvTokenBytes": 18_432}
        engine |= {"linkMbps": 550_000.0, "backups": False, "handleTtlS": 0.5, "switchS": 6.0}
        self.store.put(
            "op/config",
            {
                "version": version,
                "routes": [{**common, **each} for each in routes],
                "services": [
                    {"name": "model", "healthCheckPath": "/health", "connectionLimit": 620}
                    | {"engine": engine},
                    {"name": "shop", "healthCheckPath": "/health", "connectionLimit": 100},
                ],
                "limits": {
                    "maxHeaderBytes": 16_384,
                    "maxBodyBytes": 4_194_304,
                    "headerTimeoutMs": 3000,
                    "idleTimeoutMs": 15_000,
                },
                "tenants": [{"name": TENANT, "apiKeys": [KEY], "priority": 1}],
            },
        )

    def start_routers(self) -> None:
        """Start all routers and wait until they are ready and know each other."""
        for each in self.routers:
            each.start()
        for each in self.routers:
            each.wait_until_ready()
        time.sleep(2.0)

    def journal(self) -> list[dict[str, object]]:
        """Return what the servers have written."""
        return [json.loads(line) for line in self.journal_path.read_text().splitlines()]


def _exit_once(*_: object) -> None:
    """End the case at its time limit, with its processes; the limit's signal comes twice."""
    signal.signal(signal.SIGTERM, signal.SIG_IGN)
    sys.exit(2)


def _check_free(host: str, port: int) -> None:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((host, port))
        except OSError as error:
            raise SetupError(f"{host}:{port} is in use") from error


# --- clients


class Attempt:
    """One attempt of a client on a stream.

    :ivar status: None if no answer began
    :ivar events: id and data of each event that was received whole
    :ivar is_complete: whether the answer ended as complete
    """

    def __init__(self, request_id: str) -> None:
        self.id = request_id
        self.status: int | None = None
        self.headers: dict[str, str] = {}
        self.events: list[tuple[str, str]] = []
        self.is_complete = False
        self.detail = ""

    def __str__(self) -> str:
        ids = [each for each, _ in self.events]
        shown = f"{ids[0]}..{ids[-1]}" if ids else "none"
        return (
            f"request {self.id}: status {self.status}, events {shown}, "
            f"{'complete' if self.is_complete else 'broken off'} {self.detail}"
        )


def stream(
    host: str,
    path: str,
    request_id: str,
    deadline_ms: int = 14_000,
    last_event: str = "",
    resumes: str = "",
    prompt_tokens: int = 1200,
) -> Attempt:
    """Send a request for a stream on a new channel, and read the answer to its end."""
    attempt = Attempt(request_id)
    headers = {
        "Host": HOST,
        "Carawaydoor-Request-Id": request_id,
        "Carawaydoor-Model": "m",
        "Carawaydoor-Token-Counts": f"{prompt_tokens},80",
        "Carawaydoor-Prompt-Prefix": f"5c1e07a2:200,{os.urandom(4).hex()}:{prompt_tokens - 200}",
        "Carawaydoor-Deadline-Milliseconds": str(deadline_ms),
        "Api-Key": KEY,
        "Content-Type": "application/json",
    }
    if last_event:
        headers["Last-Event-Id"] = last_event
    if resumes:
        headers["Resumes"] = resumes
    connection = http.client.HTTPConnection(host, FRONT_PORT, timeout=deadline_ms / 1000.0)
    buffered = b""
    try:
        connection.request("POST", path, body=b'{"prompt": "x"}', headers=headers)
        response = connection.getresponse()
        attempt.status = response.status
        attempt.headers = {name.lower(): value for name, value in response.getheaders()}
        while chunk := response.read1(65_536):
            buffered += chunk
            while b"\n\n" in buffered and response.status == 200:
                event, _, buffered = buffered.partition(b"\n\n")
                fields = dict(
                    line.split(": ", 1) for line in event.decode().splitlines() if ": " in line
                )
                attempt.events.append((fields.get("id", ""), fields.get("data", "")))
        attempt.is_complete = response.length in (None, 0)
    except (OSError, http.client.HTTPException) as error:
        attempt.detail = repr(error)
    finally:
        connection.close()
    return attempt


if __name__ == "__main__":
    if sys.argv[1:2] != ["server"]:
        sys.exit("usage: stand_ins_2.py server OPTIONS")
    serve(sys.argv[2:])
