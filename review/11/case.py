"""Streams at a machine that the store turns away while servers are upgraded in place."""

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
SERVERS = 4
STREAMS = 24
TIMEOUT_MS = 14_000
WARM_UP_S = 4.0
# After the store begins to turn the machine away.
RELEASE_AFTER_S = 0.5
RELEASE_GAP_S = 1.2
DOWN_FOR_S = 0.4
TURNED_AWAY_FOR_S = 9.0
EVENTS = 60
MAX_MIXED = 2


class Caller:
    """A caller that reads one stream to its end, or until its channel breaks."""

    def __init__(self, number: int, record: stand_ins.Record) -> None:
        self.number, self.record = number, record
        self.events: list[tuple[int, str, str]] = []
        self.outcome = "no answer"

    def run(self, instance: stand_ins.Instance) -> None:
        """Read the stream."""
        request_id = f"{random.getrandbits(64):016x}"
        head = (
            f"POST /write/x HTTP/1.1\r\nHost: {stand_ins.HOST_NAME}\r\n"
            f"Carawaydoor-Request-Id: {request_id}\r\n"
            f"Carawaydoor-Deadline-Milliseconds: {TIMEOUT_MS}\r\n"
            f"Api-Key: {stand_ins.API_KEY}\r\nContent-Length: 0\r\n\r\n"
        )
        try:
            with socket.create_connection((instance.host, instance.frontend), 1.0) as caller:
                caller.settimeout(4.0)
                caller.sendall(head.encode())
                response = http.client.HTTPResponse(caller)
                response.begin()
                self.outcome = str(response.status)
                if response.status == 200:
                    self._read_events(response)
        except (OSError, http.client.HTTPException) as error:
            self.outcome = repr(error)
        self.record.write(f"caller {self.number}: {request_id}: {self.outcome}")

    def _read_events(self, response: http.client.HTTPResponse) -> None:
        number = 0
        while line := response.readline().decode():
            if line.startswith("id:"):
                number = int(line[3:])
            elif line.startswith("data:"):
                version, server = line[5:].split()
                self.events.append((number, version, server))

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
        servers = [_server(network, number, "v1", record) for number in range(SERVERS)]
        for each in servers:
            store.put(f"servers/{each.identifier}", each.entry("writer"))
        _configure(store)
        store_host, store_port = store.address.split(":")
        proxy = stand_ins.TcpProxy(f"{network}.2", 0, (store_host, int(store_port)))
        hosts = tuple(f"{network}.{10 + number}" for number in range(3))
        ports = tuple(stand_ins.free_port(hosts[0]) for _ in range(4))
        settings = [
            stand_ins.machine_settings(
                f"frontend-zone-a-{number + 1}",
                host,
                store.address if number else f"{network}.2:{proxy.port}",
                ports,
                hosts,
            )
            for number, host in enumerate(hosts)
        ]
        if not workplace.start_instances(settings):
            return 2
        time.sleep(WARM_UP_S)
        return _play(workplace.instances[0], store, servers, network, proxy, record)


def _server(
    network: str, number: int, version: str, record: stand_ins.Record, port: int = 0
) -> stand_ins.StreamServer:
    host = f"{network}.{30 + number}"
    server = stand_ins.StreamServer(host, f"i-server-{number}", version, record, port)
    server.events, server.interval_s = EVENTS, 0.1
    return server


def _configure(store: stand_ins.Store) -> None:
    route = {
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
    store.put(
        "op/config",
        {
            "version": 3,
            "routes": [route],
            "services": [stand_ins.service("writer")],
            "limits": stand_ins.LIMITS,
            "tenants": [{"name": stand_ins.TENANT, "apiKeys": [stand_ins.API_KEY]}],
        },
    )


def _play(
    first: stand_ins.Instance,
    store: stand_ins.Store,
    servers: list[stand_ins.StreamServer],
    network: str,
    proxy: stand_ins.TcpProxy,
    record: stand_ins.Record,
) -> int:
    begun_s = time.monotonic()
    if HAS_TROUBLE:
        proxy.is_cut = True
        record.write(f"the store no longer answers {first.name}")
    callers = [Caller(number, record) for number in range(STREAMS)]
    threads: list[threading.Thread] = []
    for number, server in enumerate(servers):
        _wait_until(begun_s + RELEASE_AFTER_S + number * RELEASE_GAP_S)
        if number == SERVERS - 1:
            # All other servers have the new version.
            for each in callers:
                thread = threading.Thread(target=each.run, args=(first,))
                thread.start()
                threads.append(thread)
                time.sleep(0.02)
            time.sleep(0.5)
        server.crash()
        record.write(f"server {server.identifier} stops")
        time.sleep(DOWN_FOR_S)
        upgraded = _server(network, number, "v2", record, int(server.address.split(":")[1]))
        store.put(f"servers/{server.identifier}", upgraded.entry("writer"))
        record.write(f"server {upgraded.identifier} starts again under its id, with v2")
    _wait_until(begun_s + TURNED_AWAY_FOR_S)
    proxy.is_cut = False
    record.write("the store answers all machines")
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
