"""A machine that is cut off from the store and from its peers while servers are released."""

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
STREAMS = 54
TIMEOUT_MS = 5000
WARM_UP_S = 4.0
# After the machine is cut off.
NEW_SERVERS_AFTER_S = 0.3
DRAINING_AFTER_S = 8.7
STREAMS_BEGIN_AFTER_S = 10.0
BEGIN_FOR_S = 0.4
OLD_SERVERS_EXIT_AFTER_S = 10.8
CUT_FOR_S = 12.0
EVENTS = 30
MAX_MIXED = 2
MAX_TRIES = 3
OLD_SERVERS = 3
LEAVING_SERVERS = 2
NEW_SERVERS = 5


class Caller:
    """A caller that takes its stream up again at another machine, after its channel broke."""

    def __init__(self, number: int, record: stand_ins.Record) -> None:
        self.number, self.record = number, record
        self.first_id = f"{random.getrandbits(64):016x}"
        self.events: list[tuple[int, str, str]] = []
        self.begun_s = 0.0

    def run(self, first: stand_ins.Instance, others: list[stand_ins.Instance]) -> None:
        """Read the stream, and take it up elsewhere while it is not complete."""
        self.begun_s = time.monotonic()
        self._read(first, self.first_id, {})
        for _ in range(MAX_TRIES if self.events and self.events[-1][0] < EVENTS else 0):
            known = len(self.events)
            headers = {"Last-Event-Id": str(self.events[-1][0]), "Resumes": self.first_id}
            self._read(random.choice(others), f"{random.getrandbits(64):016x}", headers)
            if len(self.events) > known or self._left_ms() < 500:
                return
            time.sleep(0.3)

    def _left_ms(self) -> int:
        return TIMEOUT_MS - int((time.monotonic() - self.begun_s) * 1000)

    def _read(self, instance: stand_ins.Instance, request_id: str, headers: dict[str, str]) -> None:
        text = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        head = (
            f"POST /write/x HTTP/1.1\r\nHost: {stand_ins.HOST_NAME}\r\n"
            f"Carawaydoor-Request-Id: {request_id}\r\n"
            f"Carawaydoor-Deadline-Milliseconds: {self._left_ms()}\r\n"
            f"Content-Length: 0\r\n{text}\r\n"
        )
        status = 0
        try:
            with socket.create_connection((instance.host, instance.frontend), 1.0) as caller:
                caller.settimeout(4.0)
                caller.sendall(head.encode())
                response = http.client.HTTPResponse(caller)
                response.begin()
                status = response.status
                if status == 200:
                    self._read_events(response)
        except (OSError, http.client.HTTPException) as error:
            self.record.write(f"caller {self.number}: {request_id}: {error!r}")
        self.record.write(
            f"caller {self.number}: {request_id} at {instance.name} {headers}: {status}"
        )

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
        old = [_server(network, number, "v1", record) for number in range(OLD_SERVERS)]
        for each in old:
            store.put(f"servers/{each.identifier}", each.entry("writer"))
        _configure(store)
        settings, proxies = _settings(network, store)
        if not workplace.start_instances(settings):
            return 2
        time.sleep(WARM_UP_S)
        return _play(workplace, store, old, network, proxies, record)


def _server(network: str, number: int, version: str, record) -> stand_ins.StreamServer:
    identifier = f"i-{random.getrandbits(32):08x}"
    host = f"{network}.{(30 if version == 'v1' else 40) + number}"
    server = stand_ins.StreamServer(host, identifier, version, record)
    server.events, server.interval_s = EVENTS, 0.1
    return server


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
                    "allowAnonymous": True,
                    "service": "writer",
                    "timeoutMs": TIMEOUT_MS,
                    "targetLatencyMs": 900,
                    "targetGapMs": 300,
                    "priority": 1,
                    "maxAttempts": 1,
                }
            ],
            "services": [stand_ins.service("writer")],
            "limits": stand_ins.LIMITS,
            "tenants": [{"name": stand_ins.TENANT, "apiKeys": [stand_ins.API_KEY]}],
        },
    )


def _settings(network: str, store: stand_ins.Store):
    """Return the settings of three machines, and the proxies between the first and all others.

    The first one has another range of internal ports, so that proxies can stand at the addresses
    under which it and the others send to each other.
    """
    hosts = [f"{network}.{10 + number}" for number in range(3)]
    frontend, ready, control = (stand_ins.free_port(hosts[0]) for _ in range(3))
    own_port, others_port = stand_ins.free_port(hosts[0]), stand_ins.free_port(hosts[1])
    store_host, store_port = store.address.split(":")
    store_proxy = stand_ins.TcpProxy(f"{network}.2", 0, (store_host, int(store_port)))
    proxies = [store_proxy]
    for kind in (stand_ins.TcpProxy, stand_ins.UdpProxy):
        proxies.append(kind(hosts[0], others_port, (hosts[0], own_port)))
        proxies.extend(kind(host, own_port, (host, others_port)) for host in hosts[1:])
    settings = [
        stand_ins.machine_settings(
            f"frontend-zone-a-{number + 1}",
            host,
            store.address if number else f"{network}.2:{store_proxy.port}",
            (frontend, ready, control, others_port if number else own_port),
            tuple(hosts),
        )
        for number, host in enumerate(hosts)
    ]
    return settings, proxies


def _play(workplace, store, old, network, proxies, record) -> int:
    first, *others = workplace.instances
    begun_s = time.monotonic()
    if HAS_TROUBLE:
        for each in proxies:
            each.is_cut = True
        record.write(f"{first.name} is cut off from the store and from the other machines")
    _wait_until(begun_s + NEW_SERVERS_AFTER_S)
    for number in range(NEW_SERVERS):
        server = _server(network, number, "v2", record)
        store.put(f"servers/{server.identifier}", server.entry("writer"))
        record.write(f"server {server.identifier} (v2) starts")
    _wait_until(begun_s + DRAINING_AFTER_S)
    leaving = old[:LEAVING_SERVERS]
    for each in leaving:
        store.put(f"servers/{each.identifier}", each.entry("writer") | {"state": "draining"})
        record.write(f"server {each.identifier} (v1) reports that it drains")
    _wait_until(begun_s + STREAMS_BEGIN_AFTER_S)
    callers = [Caller(number, record) for number in range(STREAMS)]
    threads = []
    for each in callers:
        thread = threading.Thread(target=each.run, args=(first, others))
        thread.start()
        threads.append(thread)
        time.sleep(BEGIN_FOR_S / STREAMS)
    _wait_until(begun_s + OLD_SERVERS_EXIT_AFTER_S)
    for each in leaving:
        each.crash()
        store.delete(f"servers/{each.identifier}")
        record.write(f"server {each.identifier} (v1) has left")
    _wait_until(begun_s + CUT_FOR_S)
    for each in proxies:
        each.is_cut = False
    record.write("the cut heals")
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
    if len(begun) < STREAMS / 3:
        return 2
    return 1 if len(mixed) > MAX_MIXED else 0


def _wait_until(at_s: float) -> None:
    time.sleep(max(0.0, at_s - time.monotonic()))


if __name__ == "__main__":
    sys.exit(stand_ins.exit_code(main))
