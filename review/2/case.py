"""A server's answer breaks off inside its head; the client must not get a whole-looking success."""

from __future__ import annotations

import pathlib
import sys
import threading
import time

import standins

SERVERS = 2
CLIENTS_PER_MACHINE = 4
# The server is faulty as long as the deployment's longest such disturbance, and as often.
FAULT_S = 5.5
SPOILT_SHARE = 0.05
FAULTY_SERVERS = 1
BODY_BYTES = 800


class App(standins.Server):
    """A server of a plain service, which may break off some of its answers."""

    def __init__(self, name: str, zone: str, record: standins.Record) -> None:
        super().__init__(name, "stewardapp", zone)
        self._record = record
        self.is_faulty = False
        self._answers = 0
        self.body_by_id: dict[str, bytes] = {}

    def handle(self, request: standins.Request, connection: standins.Connection) -> bool:
        time.sleep(0.01)
        body = (f"{self.name} {request.id} ".encode() * BODY_BYTES)[:BODY_BYTES]
        headers = [
            *self.stamp(request),
            ("Content-Type", "text/plain"),
            ("Keep-Alive", "timeout=5"),
        ]
        content = standins.head(200, headers, len(body)) + body
        with self.lock:
            self.runs.append(request.id)
            self.body_by_id[request.id] = body
            self._answers += 1
            turn = self._answers
        if not self.is_faulty or turn % int(1 / SPOILT_SHARE):
            connection.send(content)
            self._record.write(f"server  {request.id} runs at {self.name}, answer sent whole")
            return True
        # The break comes once after each line of the head, and in the body.
        ends = [at + 2 for at in range(len(content)) if content[at : at + 2] == b"\r\n"][1:-1]
        ends.append(len(content) - BODY_BYTES // 2)
        cut = ends[turn // int(1 / SPOILT_SHARE) % len(ends)]
        connection.send(content[:cut])
        self._record.write(
            f"server  {request.id} runs at {self.name}, answer breaks off after {cut} of "
            f"{len(content)} bytes, the channel is closed"
        )
        return False


def play(folder: pathlib.Path, record: standins.Record, is_troubled: bool) -> list[str]:
    deployment = standins.Deployment(2, folder, record)
    apps = [App(f"app-{n}", "zone-a" if n % 2 == 0 else "zone-b", record) for n in range(SERVERS)]
    for each in apps:
        deployment.store.put(f"servers/{each.name}", each.entry())
    route = {"service": "stewardapp", "timeoutMs": 1500, "targetLatencyMs": 400}
    routes = [
        {**route, "name": "status", "pathPrefix": "/status/", "kind": "safe", "maxAttempts": 2},
        {**route, "name": "pickup", "pathPrefix": "/pickup/", "kind": "unsafe", "maxAttempts": 2},
    ]
    services = [{"name": "stewardapp", "connectionLimit": 110}]
    deployment.store.put("op/config", standins.configuration(1, routes, services))
    answers: list[standins.Answer] = []
    is_over = threading.Event()

    def send_requests(machine: standins.Machine, number: int) -> None:
        client = standins.Client(machine, record)
        while not is_over.is_set():
            if number % 2:
                answers.append(client.send("GET", "/status/1"))
            else:
                answers.append(client.send("POST", "/pickup/1", body=b"x" * 600))
            time.sleep(0.05)
        client.close()

    try:
        deployment.start()
        threads = [
            threading.Thread(target=send_requests, args=(machine, number), daemon=True)
            for machine in deployment.machines
            for number in range(CLIENTS_PER_MACHINE)
        ]
        for each in threads:
            each.start()
        time.sleep(2.0)
        for each in apps[:FAULTY_SERVERS]:
            each.is_faulty = is_troubled
        time.sleep(FAULT_S)
        for each in apps:
            each.is_faulty = False
        time.sleep(2.0)
        is_over.set()
        for each in threads:
            each.join()
    finally:
        is_over.set()
        deployment.stop()
    successes = [each for each in answers if 200 <= each.status < 300 and each.is_whole]
    if len(successes) < len(answers) // 2:
        raise standins.NotRunError(f"{len(successes)} of {len(answers)} requests were served")
    bodies = {key: body for each in apps for key, body in each.body_by_id.items()}
    return [
        f"{each.id} got {each.status} with the stamp {each.stamp!r} and {len(each.body)} bytes that "
        f"look complete; the server's whole body has {len(bodies[each.id])} bytes"
        for each in successes
        if each.body != bodies[each.id]
    ]


if __name__ == "__main__":
    sys.exit(standins.run_case(pathlib.Path(__file__).parent, play))
