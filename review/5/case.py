"""Two servers crash, one after the other; a status read must be served again afterwards."""

from __future__ import annotations

import pathlib
import random
import sys
import threading
import time

import standins

SERVERS = 4
CLIENTS_PER_MACHINE = 8
WORK_S = 0.09
# One server in four, for the shortest time of the deployment's standard days, twice.
DOWN_S = 2.0
CRASHES = 2
INTERVAL_S = 8.0
# Pause of a client that was refused.
REFUSED_PAUSE_S = 0.3
# The rule's bound, and how long requests are counted.
RECOVERY_S = 12.0
COUNTED_S = 15.0


class App(standins.Server):
    """A server of a plain service, whose process may crash."""

    def __init__(self, name: str, zone: str, record: standins.Record) -> None:
        super().__init__(name, "stewardapp", zone)
        self._record = record
        self.lifetime = 0

    def crash(self) -> None:
        self.lifetime += 1
        super().crash()
        self._record.write(f"server  {self.name} crashes")

    def handle(self, request: standins.Request, connection: standins.Connection) -> bool:
        lifetime = self.lifetime
        self._record.write(f"server  {request.id} runs at {self.name}")
        time.sleep(WORK_S)
        if lifetime != self.lifetime:
            self._record.write(f"server  {request.id} ended by the crash of {self.name}")
            return False
        body = f"{self.name} {request.id}".encode()
        headers = [
            *self.stamp(request),
            ("Content-Type", "text/plain"),
            ("Keep-Alive", "timeout=5"),
        ]
        connection.send(standins.head(200, headers, len(body)) + body)
        return True


def play(folder: pathlib.Path, record: standins.Record, is_troubled: bool) -> list[str]:
    deployment = standins.Deployment(2, folder, record)
    apps = [App(f"app-{n}", f"zone-{'ab'[n % 2]}", record) for n in range(SERVERS)]
    for each in apps:
        deployment.store.put(f"servers/{each.name}", each.entry())
    routes = [
        {
            "name": "status",
            "pathPrefix": "/status/",
            "kind": "safe",
            "service": "stewardapp",
            "timeoutMs": 1500,
            "targetLatencyMs": 400,
            "maxAttempts": 2,
        }
    ]
    services = [{"name": "stewardapp", "healthCheckPath": "/health", "connectionLimit": 110}]
    deployment.store.put("op/config", standins.configuration(1, routes, services))
    answers: list[standins.Answer] = []
    is_over = threading.Event()

    def send_requests(machine: standins.Machine) -> None:
        client = standins.Client(machine, record)
        while not is_over.is_set():
            answer = client.send("GET", "/status/bookcase-17")
            answers.append(answer)
            time.sleep(random.uniform(0.0, 0.1) if answer.status == 200 else REFUSED_PAUSE_S)
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
        time.sleep(3.0)
        first_crash_s = record.now_s()
        for number in range(CRASHES):
            app = apps[number % SERVERS]
            if is_troubled:
                app.crash()
            time.sleep(DOWN_S)
            if is_troubled:
                app.listen_again()
                deployment.store.put(f"servers/{app.name}", app.entry())
                record.write(f"server  {app.name} is back")
            time.sleep(INTERVAL_S - DOWN_S)
        back_s = record.now_s() - INTERVAL_S + DOWN_S
        time.sleep(max(0.0, back_s + RECOVERY_S - record.now_s()) + COUNTED_S)
        is_over.set()
        for each in threads:
            each.join()
    finally:
        is_over.set()
        deployment.stop()
    before = served_share(answers, 0.0, first_crash_s)
    after = served_share(answers, back_s + RECOVERY_S, float("inf"))
    text = f"served {before:.3f} of the requests before, {after:.3f} after the recovery time"
    record.write(text)
    if before < 0.25:
        raise standins.NotRunError(text)
    return [text] if after < 0.25 else []


def served_share(answers: list[standins.Answer], from_s: float, to_s: float) -> float:
    asked = [each for each in answers if from_s <= each.sent_s < to_s]
    return sum(each.status == 200 and each.is_whole for each in asked) / max(1, len(asked))


if __name__ == "__main__":
    sys.exit(standins.run_case(pathlib.Path(__file__).parent, play))
