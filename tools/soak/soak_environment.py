"""The processes and stand-ins of one soak run."""

from __future__ import annotations

import contextlib
import http.client
import json
import os
import pathlib
import signal
import subprocess
import sys
import time
from typing import Any, Final

from carawaydoor.platform import names
from tests.platform_side import fake_store, fake_upstream
from tools.soak import fault_history, fault_proxy

FRONT_PORT: Final = 18221
READY_PORT: Final = 18224
PEER_PORT: Final = 17600
METRICS_PORT: Final = 9464
HOST: Final = "soak.example"
KEYS: Final = ("key-a", "key-b", "key-c")
GRACE_S: Final = 8
WITHDRAWAL_S: Final = 5.0
DRAIN_S: Final = 2.0
EVENTS: Final = 6

_SETTINGS: Final = """
nodeName = "{name}"
zone = "{zone}"
ipAddress = "{host}"
internalPortRange = [{peer}, {peer}]
seeds = [{seeds}]
[zones]
a = "r"
b = "r"
[listen]
frontend = "{host}:{front}"
ready = "{host}:{ready}"
[limits]
memoryMb = 300
fileDescriptors = 1000
[bounds]
graceS = {grace}
[platform]
address = "127.0.0.1:{store}"
"""


def host_of(number: int) -> str:
    """Return the loopback address of an instance; soaks that run side by side don't share any."""
    return f"127.{os.getpid() // 250 % 250 + 1}.{os.getpid() % 250}.{number + 1}"


class Instance:
    """One process of the router."""

    def __init__(self, number: int, directory: pathlib.Path, seeds: str, store_port: int) -> None:
        self.name = f"i{number}"
        self.host = host_of(number)
        self.log = directory / f"{self.name}.log"
        self._settings = directory / f"{self.name}.toml"
        self._settings.write_text(
            _SETTINGS.format(
                name=self.name,
                zone="ab"[number % 2],
                host=self.host,
                peer=PEER_PORT,
                seeds=seeds,
                front=FRONT_PORT,
                ready=READY_PORT,
                grace=GRACE_S,
                store=store_port,
            )
        )
        self.ended_by_itself = 0
        self.is_expected_to_end = False
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process."""
        environment = {
            **os.environ,
            names.SETTINGS_VARIABLE: str(self._settings),
            "PYTHONPATH": os.pathsep.join(("src", ".")),
        }
        self.is_expected_to_end = False
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "carawaydoor.platformd"],
                env=environment,
                stdout=log,
                stderr=log,
            )

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process, which this soak has started."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def restart_if_ended(self) -> None:
        """Start the process again, as the platform does, and note an end that nobody asked for."""
        if self.process is not None and self.process.poll() is not None:
            self.ended_by_itself += not self.is_expected_to_end
            self.start()

    def is_ready(self) -> bool:
        """Ask as the balancer does."""
        connection = http.client.HTTPConnection(self.host, READY_PORT, timeout=1.0)
        with contextlib.suppress(OSError, http.client.HTTPException):
            connection.request("GET", names.READINESS_PATH)
            return connection.getresponse().status == 200
        return False

    def status(self) -> dict[str, Any]:
        """Return what the instance believes."""
        connection = http.client.HTTPConnection(self.host, METRICS_PORT, timeout=2.0)
        connection.request("GET", "/status")
        document: dict[str, Any] = json.loads(connection.getresponse().read())
        return document


class SoakEnvironment:
    """Instances, upstreams behind proxies, and the store behind one."""

    def __init__(self, instances: int, directory: pathlib.Path) -> None:
        self.store = fake_store.FakeStore()
        self.store_proxy = fault_proxy.FaultProxy(("127.0.0.1", self.store.port))
        self.server_by_name: dict[str, fake_upstream.FakeUpstream] = {}
        self.proxy_by_name: dict[str, fault_proxy.FaultProxy] = {}
        self.draining_since_s_by_name: dict[str, float] = {}
        self.withdrawn_s_by_key: dict[str, float] = {}
        self.fault_history = fault_history.FaultHistory()
        self._version = 1
        for name, stage in (
            ("p1", "prefill"),
            ("p2", "prefill"),
            ("d1", "decode"),
            ("d2", "decode"),
            ("d3", "decode"),
            ("s1", None),
            ("s2", None),
            ("s3", None),
        ):
            self.add(name, stage)
        self.configure(KEYS)
        seeds = ", ".join(f'"{host_of(n)}:1"' for n in range(min(3, instances)))
        self.instances = [
            Instance(number, directory, seeds, self.store_proxy.port) for number in range(instances)
        ]

    def add(self, name: str, stage: str | None) -> None:
        """Start an upstream and publish it."""
        server = fake_upstream.FakeUpstream(EVENTS)
        self.server_by_name[name] = server
        self.proxy_by_name[name] = fault_proxy.FaultProxy(("127.0.0.1", server.port))
        self.publish(name, stage, "ready")

    def publish(self, name: str, stage: str | None, state: str) -> None:
        """Write the entry of an upstream."""
        entry: dict[str, object] = {
            "service": "planner" if stage else "bookings",
            "address": f"127.0.0.1:{self.proxy_by_name[name].port}",
            "zone": "ab"[len(self.server_by_name) % 2],
            "slots": 16,
            "state": state,
            "born": 1,
        }
        if stage:
            entry["stage"] = stage
        self.store.put(names.SERVERS_PREFIX + name, entry)
        if state == "draining":
            self.draining_since_s_by_name[name] = time.monotonic()

    def configure(self, keys: tuple[str, ...]) -> None:
        """Publish a configuration with some keys."""
        self._version += 1
        self.keys = keys
        engine = {
            "slots": 128,
            "kvCacheTokens": 60_000,
            "kvTokenBytes": 18_432,
            "linkMbps": 550_000.0,
            "backups": True,
            "handleTtlS": 0.5,
        }
        common = {"host": HOST, "timeoutMs": 4000, "targetLatencyMs": 900, "priority": 1}
        document: dict[str, object] = {
            "version": self._version,
            "routes": [
                {**common, "pathPrefix": "/safe/", "kind": "safe", "service": "bookings"}
                | {"maxAttempts": 2},
                {**common, "pathPrefix": "/unsafe/", "kind": "unsafe", "service": "bookings"}
                | {"maxAttempts": 2},
                {**common, "pathPrefix": "/stream/", "kind": "streaming", "service": "planner"}
                | {"targetGapMs": 300},
            ],
            "services": [{"name": "planner", "engine": engine}, {"name": "bookings"}],
            "tenants": [{"name": f"w-{key}", "apiKeys": [key]} for key in keys],
        }
        self.store.put(names.CONFIGURATION_KEY, document)
        for key in KEYS:
            if key not in keys:
                self.withdrawn_s_by_key.setdefault(key, time.monotonic())

    def stop(self) -> None:
        """End every process that this soak has started."""
        for instance in self.instances:
            if instance.process is not None and instance.process.poll() is None:
                instance.process.send_signal(signal.SIGCONT)
                instance.process.kill()
                instance.process.wait()
        for server in self.server_by_name.values():
            server.stop()
        self.store.stop()
