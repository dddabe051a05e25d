"""Streams that begin while the only server of one version is down, taken up after a restart."""

from __future__ import annotations

import http.client
import os
import pathlib
import random
import socket
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import stand_ins_3 as stand_ins

HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
INSTANCES = 3
STREAMS = 40
TIMEOUT_MS = 14_000
# Three heartbeats after the last one, which was written just before the crash.
ENTRY_EXPIRES_S = 3.5
BEGIN_FOR_S = 0.3
KILLED_AFTER_S = 0.9
RESTARTED_AFTER_S = 1.0
SERVER_BACK_AFTER_S = 1.6
MAX_MIXED = 2
MAX_TRIES = 3


class Caller:
    """A caller that takes its stream up again once, after its channel broke."""

    def __init__(self, number: int, record: stand_ins.Record) -> None:
        self.number, self.record = number, record
        self.first_id = f"{random.getrandbits(64):016x}"
        self.events: list[tuple[int, str, str]] = []
        self.outcome = "no answer"
        self.leaves_after = 3

    def begin(self, instance: stand_ins.Instance) -> None:
        """Read the stream until its channel breaks; without trouble, leave it after some events."""
        self._read(instance, self.first_id, {}, None if HAS_TROUBLE else self.leaves_after)

    def take_up(self, instances: list[stand_ins.Instance]) -> None:
        """Take the stream up again at instances that are ready, in a few tries."""
        for _ in range(MAX_TRIES if self.events else 0):
            request_id = f"{random.getrandbits(64):016x}"
            headers = {"Last-Event-Id": str(self.events[-1][0]), "Resumes": self.first_id}
            known = len(self.events)
            self._read(random.choice(instances), request_id, headers, None)
            if len(self.events) > known or self.outcome.startswith("4"):
                return
            time.sleep(0.5)

    def _read(
        self,
        instance: stand_ins.Instance,
        request_id: str,
        headers: dict[str, str],
        leaves_after: int | None,
    ) -> None:
        text = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        head = (
            f"POST /write/x HTTP/1.1\r\nHost: {stand_ins.HOST_NAME}\r\n"
            f"Carawaydoor-Request-Id: {request_id}\r\n"
            f"Carawaydoor-Deadline-Milliseconds: {TIMEOUT_MS - 3000}\r\n"
            f"Api-Key: {stand_ins.API_KEY}\r\nContent-Length: 0\r\n{text}\r\n"
        )
        try:
            with socket.create_connection((instance.host, instance.frontend), 1.0) as caller:
                caller.settimeout(4.0)
                caller.sendall(head.encode())
                response = http.client.HTTPResponse(caller)
                response.begin()
                self.outcome = str(response.status)
                self.record.write(
                    f"caller {self.number}: {request_id} at {instance.name} {headers}: "
                    f"{response.status}"
                )
                if response.status == 200:
                    self._read_events(response, leaves_after)
        except (OSError, http.client.HTTPException) as error:
            self.record.write(f"caller {self.number}: {request_id} at {instance.name}: {error!r}")

    def _read_events(self, response: http.client.HTTPResponse, leaves_after: int | None) -> None:
        number = 0
        while leaves_after is None or len(self.events) < leaves_after:
            line = response.readline().decode().strip()
            if line.startswith("id:"):
                number = int(line[3:])
            elif line.startswith("data:"):
                version, server = line[5:].split()
                self.events.append((number, version, server))
                if number == 40:
                    return
            elif not line and response.isclosed():
                return

    @property
    def versions(self) -> list[str]:
        """The versions that have written the events, in order."""
        return sorted({version for _, version, _ in self.events})


def main() -> int:
    folder = pathlib.Path(__file__).resolve().parent
    if not stand_ins.is_built():
        return 2
    record = stand_ins.Record(folder / "record.txt")
    network = stand_ins.loopback_network()
    with stand_ins.Workplace() as workplace:
        store = stand_ins.Store(f"{network}.1")
        old = stand_ins.StreamServer(f"{network}.2", "i-1f00aa01", "v1", record)
        new = [
            stand_ins.StreamServer(f"{network}.{3 + number}", f"i-2f00aa0{number}", "v2", record)
            for number in range(2)
        ]
        for each in (old, *new):
            store.put(f"servers/{each.identifier}", each.entry("writer"))
        _configure(store)
        if not workplace.start_instances(_settings(network, store)):
            return 2
        time.sleep(4.0)
        return _play(workplace, store, old, network, record)


def _configure(store: stand_ins.Store) -> None:
    store.put(
        "op/config",
        {
            "version": 3,
            "routes": [
                {
                    "name": "write",
                    "host": stand_ins.HOST_NAME,
                    "pathPrefix": "/write/",
                    "kind": "streaming",
                    "allowResume": True,
                    "service": "writer",
                    "timeoutMs": TIMEOUT_MS,
                    "targetLatencyMs": 900,
                    "targetGapMs": 300,
                    "priority": 1,
                    "maxAttempts": 2,
                }
            ],
            "services": [stand_ins.service("writer")],
            "limits": stand_ins.LIMITS,
            "tenants": [{"name": stand_ins.TENANT, "apiKeys": [stand_ins.API_KEY]}],
        },
    )


def _settings(network: str, store: stand_ins.Store) -> list[dict[str, object]]:
    hosts = [f"{network}.{10 + number}" for number in range(INSTANCES)]
    ports = tuple(stand_ins.free_port(hosts[0]) for _ in range(4))
    return [
        stand_ins.machine_settings(
            f"frontend-zone-a-{number + 1}", host, store.address, ports, tuple(hosts)
        )
        for number, host in enumerate(hosts)
    ]


def _play(workplace, store, old, network, record) -> int:
    instances = workplace.instances
    callers = [Caller(number, record) for number in range(STREAMS)]
    crashed_s = time.monotonic()
    if HAS_TROUBLE:
        old.crash()
        record.write(f"server {old.identifier} ({old.version}) crashes")
    threads = []
    for number, each in enumerate(callers):
        thread = threading.Thread(target=each.begin, args=(instances[number % INSTANCES],))
        thread.start()
        threads.append(thread)
        time.sleep(BEGIN_FOR_S / STREAMS)
    if HAS_TROUBLE:
        _wait_until(crashed_s + KILLED_AFTER_S)
        for each in instances:
            each.process.kill()
        for each in instances:
            each.process.wait()
        record.write("all instances are killed")
    for each in threads:
        each.join()
    if HAS_TROUBLE:
        _wait_until(crashed_s + RESTARTED_AFTER_S)
        for each in instances:
            each.start()
        record.write("all instances start again")
        _wait_until(crashed_s + SERVER_BACK_AFTER_S)
        back = stand_ins.StreamServer(f"{network}.5", "i-1f00bb02", "v1", record)
        store.put(f"servers/{back.identifier}", back.entry("writer"))
        record.write(f"server {back.identifier} ({back.version}) starts in its place")
        expiry = threading.Timer(
            max(0.0, crashed_s + ENTRY_EXPIRES_S - time.monotonic()),
            store.delete,
            (f"servers/{old.identifier}",),
        )
        expiry.start()
    if not all(each.wait_until_ready(8.0) for each in instances):
        return 2
    threads = [threading.Thread(target=each.take_up, args=(instances,)) for each in callers]
    for each in threads:
        each.start()
    for each in threads:
        each.join()
    begun = [each for each in callers if each.events]
    mixed = [each for each in begun if len(each.versions) > 1]
    for each in begun:
        record.write(
            f"caller {each.number}: {len(each.events)} events, versions {each.versions}, "
            f"servers {sorted({server for _, _, server in each.events})}"
        )
    record.write(f"{len(begun)} streams begun, {len(mixed)} hold events of two versions")
    if len(begun) < STREAMS / 2:
        return 2
    return 1 if len(mixed) > MAX_MIXED else 0


def _wait_until(at_s: float) -> None:
    time.sleep(max(0.0, at_s - time.monotonic()))


if __name__ == "__main__":
    sys.exit(stand_ins.exit_code(main))
