"""Stand-ins for model servers of the stages prefill and decode."""

from __future__ import annotations

import dataclasses
import json
import threading
import time
import uuid

import standins

SERVICE = "leesmodel"
STEP_S = 0.02


@dataclasses.dataclass
class Run:
    """A run of a request at a model server; ``ended_s`` is None while it lasts."""

    request: str
    server: str
    began_s: float
    first_event: int
    ended_s: float | None = None
    how: str = ""


class Engine(standins.Server):
    """A model server. ``pieces`` events answer a request; subclasses add the disruption."""

    def __init__(
        self, name: str, zone: str, stage: str, record: standins.Record, pieces: int = 72
    ) -> None:
        super().__init__(name, SERVICE, zone, stage)
        self.record = record
        self.pieces = pieces
        self.all_runs: list[Run] = []
        self._handles: dict[str, str] = {}
        self._handle_lock = threading.Lock()

    def handle(self, request: standins.Request, connection: standins.Connection) -> bool:
        if request.target == "/carawaydoor/report":
            report = {
                "stage": self.stage,
                "models": [{"name": "m", "version": 1, "adapters": []}],
                "busy": False,
                "sequenceNumber": 0,
                "waiting": 0,
                "running": sum(each.ended_s is None for each in self.all_runs),
                "kvUsed": 0,
                "kvTotal": 60000,
                "handles": 0,
            }
            return self._send_json(200, report, request, connection)
        if request.target == "/carawaydoor/order":
            # A server that is busy with another order.
            return self._send_json(409, {}, request, connection)
        if request.method == "DELETE":
            return self._send_json(200, {}, request, connection)
        if request.is_prefill:
            if self.stage != "prefill":
                connection.send(standins.head(421, self.stamp(request)[:1], 0))
                return True
            time.sleep(0.05)
            handle = uuid.uuid4().hex[:12]
            document = {"handle": handle, "tokens": 1000, "version": 1}
            return self._send_json(200, document, request, connection)
        if self.stage != "decode":
            connection.send(standins.head(421, self.stamp(request)[:1], 0))
            return True
        return self.stream(request, connection)

    def _send_json(
        self,
        status: int,
        document: dict[str, object],
        request: standins.Request,
        connection: standins.Connection,
    ) -> bool:
        content = json.dumps(document).encode()
        headers = [("Content-Type", "application/json")]
        if request.id:
            headers.insert(0, ("Carawaydoor-Request-Id", request.id))
        connection.send(standins.head(status, headers, len(content)) + content)
        return True

    def begin(self, request: standins.Request) -> Run:
        """Record that a run begins, and return it."""
        last = int(request.headers.get("last-event-id") or 0)
        run = Run(request.id, self.name, self.record.now_s(), last + 1)
        self.all_runs.append(run)
        self.record.write(f"server  {request.id} runs at {self.name} from event {last + 1} on")
        return run

    def end(self, run: Run, how: str) -> None:
        run.ended_s, run.how = self.record.now_s(), how
        self.record.write(f"server  {run.request} ends at {self.name}: {how}")

    def event(self, number: int, request: standins.Request) -> bytes:
        return f"id: {number}\ndata: {request.id} piece {number}\n\n".encode()

    def stream(self, request: standins.Request, connection: standins.Connection) -> bool:
        """Run a request and write its events."""
        time.sleep(0.05)
        run = self.begin(request)
        if self.loses_answer(run):
            self.work_silently(run, connection)
            return False
        headers = [
            *self.stamp(request),
            ("Carawaydoor-Weight-Versions", "1"),
            ("Content-Type", "text/event-stream"),
            ("Transfer-Encoding", "chunked"),
        ]
        try:
            connection.send(standins.head(200, headers, None))
            for number in range(run.first_event, self.pieces + 1):
                event = self.event(number, request)
                connection.send(b"%x\r\n%s\r\n" % (len(event), event))
                if not self.sleep(self.pause_s(run, number), connection):
                    self.end(run, f"its channel closed after event {number}")
                    return False
            connection.send(b"0\r\n\r\n")
        except OSError as error:
            self.end(run, f"its channel broke: {error!r}")
            return False
        self.end(run, "all events sent")
        return True

    def work_silently(self, run: Run, connection: standins.Connection) -> None:
        """Run a request whose answer is lost, until it is done or the channel closes."""
        left = self.pieces + 1 - run.first_event
        if self.sleep(left * STEP_S, connection):
            self.end(run, "done, but its answer was lost")
            while connection.is_open():
                time.sleep(0.05)
        else:
            self.end(run, "its channel closed; its answer was lost")

    def sleep(self, seconds: float, connection: standins.Connection) -> bool:
        """Wait; return False as soon as the caller has closed the channel."""
        until_s = time.monotonic() + seconds
        while connection.is_open():
            left_s = until_s - time.monotonic()
            if left_s <= 0.0:
                return True
            time.sleep(min(left_s, 0.02))
        return False

    def loses_answer(self, run: Run) -> bool:
        """Return whether the answer of a run is lost."""
        return False

    def pause_s(self, run: Run, number: int) -> float:
        """Return the pause after an event in seconds."""
        return STEP_S


def engine_service() -> dict[str, object]:
    """Return the entry of the service in the configuration."""
    return {
        "name": SERVICE,
        "healthCheckPath": "/health",
        "connectionLimit": 620,
        "engine": {
            "slots": 128,
            "kvCacheTokens": 59729,
            "kvTokenBytes": 18432,
            "linkMbps": 370000.0,
            "backups": False,
            "handleTtlS": 0.5,
            "models": [{"name": "m"}],
        },
    }


def stream_route(name: str, resumable: bool) -> dict[str, object]:
    """Return a streaming route like those of the deployment."""
    return {
        "name": name,
        "pathPrefix": f"/{name}/",
        "kind": "streaming",
        "service": SERVICE,
        "timeoutMs": 14000,
        "targetLatencyMs": 900,
        "targetGapMs": 300,
        "maxAttempts": 2 if resumable else 1,
        "allowAnonymous": False,
        "allowResume": resumable,
        "sessionAffinity": True,
    }


def stream_headers(prompt_tokens: int = 5200) -> dict[str, str]:
    """Return the headers by which a client describes its prompt."""
    return {
        "Carawaydoor-Model": "m",
        "Carawaydoor-Token-Counts": f"{prompt_tokens},80",
        "Carawaydoor-Prompt-Prefix": f"5c1e07a2:200,{uuid.uuid4().hex[:8]}:{prompt_tokens - 200}",
    }
