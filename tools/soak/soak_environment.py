"""The instances, upstreams and configuration store of one soak run."""

from __future__ import annotations

import contextlib
import dataclasses
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
from tools.soak import fault_history, fault_proxy, partition

FRONTEND_PORT: Final = 18221
READINESS_PORT: Final = 18224
PEER_PORT: Final = 17600
METRICS_PORT: Final = 9464
ROUTE_HOST: Final = "soak.example"
API_KEYS: Final = ("key-a", "key-b", "key-c")
SHUTDOWN_GRACE_S: Final = 8
TIMEOUT_MS: Final = 4000
# In requests, below what the callers of one key send.
CAPPED_RATE_PER_S: Final = 20.0
CAPPED_BURST: Final = 20.0
MEMORY_MB: Final = 300
DESCRIPTORS: Final = 1000
KEY_WITHDRAWAL_BOUND_S: Final = 5.0
DRAIN_BOUND_S: Final = 2.0
# Imported by the instances at their start.
HOOKS_PATH: Final = str(pathlib.Path(__file__).with_name("process_hooks"))
CUT_FILE_VARIABLE: Final = "SOAK_CUT_FILE"
# Of the engines; upstreams that are not named have the first version.
VERSION_BY_NAME: Final = {"d2": "v2", "p2": "v2"}
FIRST_VERSION: Final = "v1"
EVENTS_PER_STREAM: Final = 6

_SETTINGS_TEMPLATE: Final = """
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
memoryMb = {memory}
fileDescriptors = {descriptors}
[bounds]
graceS = {grace}
[platform]
address = "127.0.0.1:{store}"
"""


def instance_host(number: int) -> str:
    """Return the loopback address of an instance, derived from the process id.

    Soak runs can share a machine because each uses addresses of its own.
    """
    return f"127.{os.getpid() // 250 % 250 + 1}.{os.getpid() % 250}.{number + 1}"


class Instance:
    """One instance of the router, run as a process.

    :param seed_addresses: peers to contact first, in the form of the settings file
    :ivar unexpected_exits: number of exits that no fault had caused
    :ivar is_exit_expected: whether a fault has asked the running process to exit
    """

    def __init__(
        self, number: int, directory: pathlib.Path, seed_addresses: str, store_port: int
    ) -> None:
        self.name = f"i{number}"
        self.host = instance_host(number)
        self.log_path = directory / f"{self.name}.log"
        self._cut_path = directory / f"{self.name}.cut"
        self._settings_path = directory / f"{self.name}.toml"
        self._settings_path.write_text(
            _SETTINGS_TEMPLATE.format(
                name=self.name,
                zone="ab"[number % 2],
                host=self.host,
                peer=PEER_PORT,
                seeds=seed_addresses,
                front=FRONTEND_PORT,
                ready=READINESS_PORT,
                grace=SHUTDOWN_GRACE_S,
                memory=MEMORY_MB,
                descriptors=DESCRIPTORS,
                store=store_port,
            )
        )
        self.unexpected_exits = 0
        self.is_exit_expected = False
        self.process: subprocess.Popen[bytes] | None = None

    def limit_memory(self, memory_mb: int) -> None:
        """State another limit of memory in the settings; it is not enforced."""
        text = self._settings_path.read_text()
        self._settings_path.write_text(
            text.replace(f"memoryMb = {MEMORY_MB}", f"memoryMb = {memory_mb}")
        )

    def limit_descriptors(self, count: int) -> None:
        """State another limit of file descriptors in the settings; it is not enforced."""
        text = self._settings_path.read_text()
        self._settings_path.write_text(
            text.replace(f"fileDescriptors = {DESCRIPTORS}", f"fileDescriptors = {count}")
        )

    def start(self) -> None:
        """Start the process."""
        process_environment = {
            **os.environ,
            names.SETTINGS_VARIABLE: str(self._settings_path),
            "PYTHONPATH": os.pathsep.join(("src", ".", HOOKS_PATH)),
            CUT_FILE_VARIABLE: str(self._cut_path),
        }
        self.is_exit_expected = False
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "carawaydoor.platformd"],
                env=process_environment,
                stdout=log,
                stderr=log,
            )

    def cut_off(self, ports: list[int], is_silent: bool) -> None:
        """Have all new connections of the process to some ports fail; open ones live on.

        :param is_silent: whether they hang until their timeout instead of being refused
        """
        self._cut_path.write_text(json.dumps({"ports": ports, "is_silent": is_silent}))

    def reconnect(self) -> None:
        """Let the process connect to all ports again."""
        self._cut_path.unlink(missing_ok=True)

    def send_signal(self, signal_number: signal.Signals) -> None:
        """Send a signal to the process if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal_number)

    def restart_if_exited(self) -> None:
        """Restart an exited process, as the platform does, and count an unexpected exit."""
        if self.process is not None and self.process.poll() is not None:
            self.unexpected_exits += not self.is_exit_expected
            self.start()

    def is_ready(self) -> bool:
        """Request the readiness path, as the load balancer does."""
        connection = http.client.HTTPConnection(self.host, READINESS_PORT, timeout=1.0)
        with contextlib.suppress(OSError, http.client.HTTPException):
            connection.request("GET", names.READINESS_PATH)
            return connection.getresponse().status == 200
        return False

    def status(self) -> dict[str, Any]:
        """Return the status document of the instance."""
        connection = http.client.HTTPConnection(self.host, METRICS_PORT, timeout=2.0)
        connection.request("GET", "/status")
        document: dict[str, Any] = json.loads(connection.getresponse().read())
        return document


@dataclasses.dataclass(frozen=True, slots=True)
class Limit:
    """A limit in requests a second that an upstream names since a time."""

    per_s: float
    since_s: float


class SoakEnvironment:
    """Instances, with fault proxies in front of each upstream and of the configuration store.

    :ivar store: stand-in for the store of configuration and upstream entries
    :ivar draining_since_s_by_name: monotonic time at which an upstream began to drain
    :ivar limit_by_name: limits that upstreams name, and since when in monotonic seconds
    :ivar withdrawn_s_by_key: monotonic time at which an API key was withdrawn
    :ivar capped_workspace: workspace that has a usage cap, empty for none
    :ivar partitions: when instances were cut off from all upstreams
    """

    def __init__(self, instance_count: int, directory: pathlib.Path) -> None:
        self.store = fake_store.FakeStore()
        self.store.era = 1
        self._copy: fake_store.Copy | None = None
        self.store_proxy = fault_proxy.FaultProxy(("127.0.0.1", self.store.port))
        self.upstream_by_name: dict[str, fake_upstream.FakeUpstream] = {}
        self.proxy_by_name: dict[str, fault_proxy.FaultProxy] = {}
        self.draining_since_s_by_name: dict[str, float] = {}
        self.limit_by_name: dict[str, Limit] = {}
        self.withdrawn_s_by_key: dict[str, float] = {}
        self.partitions: list[partition.Partition] = []
        self.fault_history = fault_history.FaultHistory()
        self.capped_workspace = ""
        self._configuration_version = 1
        self._entry_by_name: dict[str, dict[str, object]] = {}
        self._configuration: dict[str, object] = {}
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
            self.add_upstream(name, stage)
        self.publish_configuration(API_KEYS)
        seed_addresses = ", ".join(f'"{instance_host(n)}:1"' for n in range(min(3, instance_count)))
        self.instances = [
            Instance(number, directory, seed_addresses, self.store_proxy.port)
            for number in range(instance_count)
        ]

    def add_upstream(self, name: str, stage: str | None) -> None:
        """Start an upstream and its proxy, and publish it as ready."""
        upstream = fake_upstream.FakeUpstream(EVENTS_PER_STREAM)
        upstream.version = VERSION_BY_NAME.get(name, FIRST_VERSION)
        upstream.marks_runs = True
        self.upstream_by_name[name] = upstream
        self.proxy_by_name[name] = fault_proxy.FaultProxy(("127.0.0.1", upstream.port))
        self.publish_upstream(name, stage, "ready")

    def publish_upstream(self, name: str, stage: str | None, state: str) -> None:
        """Write the store entry of an upstream."""
        entry: dict[str, object] = {
            "service": "planner" if stage else "bookings",
            "address": f"127.0.0.1:{self.proxy_by_name[name].port}",
            "zone": "ab"[len(self.upstream_by_name) % 2],
            "slots": 16,
            "state": state,
            "born": 1,
            "version": self.upstream_by_name[name].version,
        }
        if stage:
            entry["stage"] = stage
        self._entry_by_name[name] = entry
        self.store.put(names.SERVERS_PREFIX + name, entry)
        if state == "draining":
            self.upstream_by_name[name].is_leaving = True
            self.draining_since_s_by_name[name] = time.monotonic()

    def publish_configuration(
        self, keys: tuple[str, ...], stream_timeout_ms: int = TIMEOUT_MS
    ) -> None:
        """Publish a new configuration in which only the given API keys are valid."""
        self._configuration_version += 1
        self.configured_keys = keys
        engine = {
            "slots": 128,
            "kvCacheTokens": 60_000,
            "kvTokenBytes": 18_432,
            "linkMbps": 550_000.0,
            "backups": True,
            "handleTtlS": 0.5,
        }
        common = {
            "host": ROUTE_HOST,
            "timeoutMs": TIMEOUT_MS,
            "targetLatencyMs": 900,
            "priority": 1,
        }
        stream = {**common, "timeoutMs": stream_timeout_ms, "kind": "streaming"}
        document: dict[str, object] = {
            "version": self._configuration_version,
            "routes": [
                {**common, "pathPrefix": "/safe/", "kind": "safe", "service": "bookings"}
                | {"maxAttempts": 2},
                {**common, "pathPrefix": "/unsafe/", "kind": "unsafe", "service": "bookings"}
                | {"maxAttempts": 2},
                {**stream, "pathPrefix": "/stream/", "service": "planner", "targetGapMs": 300},
                {**stream, "pathPrefix": "/resumable/", "service": "planner"}
                | {"targetGapMs": 300, "allowResume": True, "maxAttempts": 2},
            ],
            "services": [{"name": "planner", "engine": engine}, {"name": "bookings"}],
            "tenants": [self._tenant(key) for key in keys],
        }
        self._configuration = document
        self.store.put(names.CONFIGURATION_KEY, document)
        for key in API_KEYS:
            if key not in keys:
                self.withdrawn_s_by_key.setdefault(key, time.monotonic())

    def publish_endless_upstream(self, name: str, port: int) -> None:
        """Write the store entry of an upstream of the service whose responses have no end."""
        entry = {
            "service": "endless",
            "address": f"127.0.0.1:{port}",
            "zone": "a",
            "slots": 100,
            "state": "ready",
            "born": 1,
            "version": FIRST_VERSION,
        }
        self.store.put(names.SERVERS_PREFIX + name, entry)

    def publish_endless_routes(self) -> None:
        """Publish a configuration with routes to the service whose responses have no end."""
        common = {"host": ROUTE_HOST, "timeoutMs": TIMEOUT_MS, "targetLatencyMs": 900}
        routes = [
            {**common, "pathPrefix": "/endless/", "kind": "safe", "maxAttempts": 2},
            {**common, "pathPrefix": "/endless-stream/", "kind": "streaming", "targetGapMs": 300},
        ]
        document: dict[str, Any] = dict(self._configuration)
        document["version"] = self._configuration_version = self._configuration_version + 1
        document["routes"] = [*document["routes"], *({**r, "service": "endless"} for r in routes)]
        document["services"] = [*document["services"], {"name": "endless"}]
        self.store.put(names.CONFIGURATION_KEY, document)

    def _tenant(self, key: str) -> dict[str, object]:
        name = f"w-{key}"
        tenant: dict[str, object] = {"name": name, "apiKeys": [key]}
        if name == self.capped_workspace:
            tenant |= {"unit": "requests", "ratePerS": CAPPED_RATE_PER_S, "burst": CAPPED_BURST}
        return tenant

    def cap_workspace(self, key: str) -> None:
        """Publish a usage cap for the workspace of a key."""
        self.capped_workspace = f"w-{key}"
        self.publish_configuration(self.configured_keys)

    def restore_store(self) -> None:
        """Restore the store from the copy that was made at the last call, or at the first one."""
        copy = self._copy or self.store.copy()
        self._copy = self.store.copy()
        self.store.restore(copy)

    def write_again(self) -> None:
        """Write what the operator and the upstreams last wrote, as they do after a restore."""
        for name, entry in self._entry_by_name.items():
            self.store.put(names.SERVERS_PREFIX + name, entry)
        self.store.put(names.CONFIGURATION_KEY, self._configuration)

    def turn_requests_away(self, name: str, duration_s: float) -> None:
        """Have an upstream answer its next request 503 with a delay."""
        upstream = self.upstream_by_name[name]
        upstream.rejection_headers = {names.Header.RETRY_AFTER.value: f"{duration_s:.3f}"}
        upstream.behaviours.append(fake_upstream.Behaviour.REJECT)

    def name_limit(self, name: str, limit_per_s: float, at_s: float) -> None:
        """Have an upstream name a limit in all further responses."""
        upstream = self.upstream_by_name[name]
        upstream.notice_headers = {names.Header.LIMIT.value: str(limit_per_s)}
        self.limit_by_name[name] = Limit(limit_per_s, at_s)

    def stop(self) -> None:
        """Kill the instances and stop the upstreams and the store."""
        for instance in self.instances:
            if instance.process is not None and instance.process.poll() is None:
                instance.process.send_signal(signal.SIGCONT)
                instance.process.kill()
                instance.process.wait()
        for upstream in self.upstream_by_name.values():
            upstream.stop()
        self.store.stop()
