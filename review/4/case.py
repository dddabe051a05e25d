"""A server crashes inside an event of a stream; the stream must not look complete to the client."""

from __future__ import annotations

import pathlib
import sys
import threading
import time

import engines

import standins

SERVERS = 4
CLIENTS_PER_MACHINE = 6
PIECES = 20
STEP_S = 0.02
# One server in four crashes, for the shortest time of the deployment's standard days.
DOWN_S = 2.0
CRASHES = 8
INTERVAL_S = 5.0


class App(standins.Server):
    """A server without model stages that answers with a stream, which ends with its channel."""

    def __init__(self, name: str, zone: str, record: standins.Record) -> None:
        super().__init__(name, "stewardapp", zone)
        self._record = record
        self.is_down = False

    def body(self, request_id: str) -> bytes:
        return b"".join(self._event(request_id, number) for number in range(1, PIECES + 1))

    def _event(self, request_id: str, number: int) -> bytes:
        return f"id: {number}\ndata: {self.name} {request_id} piece {number}\n\n".encode()

    def handle(self, request: standins.Request, connection: standins.Connection) -> bool:
        if self.is_down:
            return False
        self._record.write(f"server  {request.id} runs at {self.name}")
        headers = [
            *self.stamp(request),
            ("Content-Type", "text/event-stream"),
            ("Connection", "close"),
        ]
        connection.send(standins.head(200, headers, None))
        for number in range(1, PIECES + 1):
            event = self._event(request.id, number)
            if self.is_down and number > 1:
                connection.send(event[: len(event) // 2])
                self._record.write(
                    f"server  {request.id}: {self.name} crashes inside event {number}"
                )
                return False
            connection.send(event)
            time.sleep(STEP_S)
        self._record.write(f"server  {request.id} ends at {self.name}: all {PIECES} events sent")
        return False


def play(folder: pathlib.Path, record: standins.Record, is_troubled: bool) -> list[str]:
    deployment = standins.Deployment(2, folder, record)
    apps = [App(f"app-{n}", f"zone-{'ab'[n % 2]}", record) for n in range(SERVERS)]
    models = [
        engines.Engine(f"{stage}-{n}", f"zone-{'ab'[n % 2]}", stage, record, PIECES)
        for stage in ("prefill", "decode")
        for n in range(2)
    ]
    for each in (*apps, *models):
        deployment.store.put(f"servers/{each.name}", each.entry())
    routes = [
        {
            "name": "report",
            "pathPrefix": "/report/",
            "kind": "streaming",
            "trafficSplit": [
                {"service": engines.SERVICE, "weight": 50},
                {"service": "stewardapp", "weight": 50},
            ],
            "timeoutMs": 14000,
            "targetLatencyMs": 900,
            "targetGapMs": 300,
            "maxAttempts": 1,
            "allowResume": False,
        }
    ]
    services = [
        engines.engine_service(),
        {"name": "stewardapp", "healthCheckPath": "/health", "connectionLimit": 110},
    ]
    deployment.store.put("op/config", standins.configuration(1, routes, services))
    answers: list[standins.Answer] = []
    is_over = threading.Event()

    def send_requests(machine: standins.Machine) -> None:
        client = standins.Client(machine, record, read_timeout_s=3.6)
        while not is_over.is_set():
            headers = engines.stream_headers(1200)
            answers.append(client.send("POST", "/report/1", headers, b"x" * 600, timeout_s=14.0))
            time.sleep(0.1)
        client.close()

    try:
        deployment.start()
        threads = [
            threading.Thread(target=send_requests, args=(machine,), daemon=True)
            for machine in deployment.machines
            for _ in range(CLIENTS_PER_MACHINE)
        ]
        for each in threads:
            each.start()
        time.sleep(2.0)
        for number in range(CRASHES):
            app = apps[number % SERVERS]
            app.is_down = is_troubled
            if is_troubled:
                app.stop_listening()
            time.sleep(DOWN_S)
            app.is_down = False
            if is_troubled:
                app.listen_again()
                deployment.store.put(f"servers/{app.name}", app.entry())
            time.sleep(INTERVAL_S - DOWN_S)
        is_over.set()
        for each in threads:
            each.join()
    finally:
        is_over.set()
        deployment.stop()
    complete = [each for each in answers if each.status == 200 and each.is_whole]
    if len(complete) < len(answers) // 2:
        raise standins.NotRunError(f"{len(complete)} of {len(answers)} streams were complete")
    app_by_name = {each.name: each for each in apps}
    complete = [each for each in complete if each.stamp.partition(".")[0] in app_by_name]
    broken = []
    for each in complete:
        whole = app_by_name[each.stamp.partition(".")[0]].body(each.id)
        if each.body != whole:
            broken.append(
                f"{each.id} got {each.status} and {len(each.body)} bytes that look complete and end "
                f"in {each.body[-24:]!r}; the whole stream has {len(whole)} bytes"
            )
    return broken


if __name__ == "__main__":
    sys.exit(standins.run_case(pathlib.Path(__file__).parent, play))
