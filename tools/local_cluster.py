"""Runs a deployment as processes on loopback."""

from __future__ import annotations

import dataclasses
import http.client
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from types import TracebackType
from typing import Any

import yaml

from carawaydoor import cli
from carawaydoor.interface import authentication
from carawaydoor.publishing import revisions, yaml_documents
from tools import deployments

START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 15.0
# Below the ports that the system gives to outgoing connections.
PORT_RANGE = range(20_000, 32_000)
LOOPBACK = "127.0.0.1"


@dataclasses.dataclass(frozen=True, slots=True)
class Ports:
    """Ports on which one instance listens."""

    caller: int
    peer: int
    operator: int


class LocalCluster:
    """A deployment whose instances, upstreams and platform run as child processes.

    :param platform_lag_s: delay after which the platform serves a changed view
    :param source: checkout whose daemon the instances run, None for this checkout
    :param partition_domain: failure domain that can be partitioned; its traffic with the other
        domains and with the platform passes a relay
    :param instance_settings: settings of all instances that differ from the defaults
    :ivar directory: temporary directory of settings, configuration, logs and loads
    """

    def __init__(
        self,
        deployment: deployments.Deployment,
        platform_lag_s: float = 0.0,
        source: pathlib.Path | None = None,
        partition_domain: str = "",
        instance_settings: dict[str, int] | None = None,
    ) -> None:
        self.deployment = deployment
        self._instance_settings = instance_settings or {}
        self._source = source
        self._partition_domain = partition_domain
        self._relay_port_by_target_port: dict[int, int] = {}
        self.directory = pathlib.Path(tempfile.mkdtemp(prefix="carawaydoor-"))
        self._platform_lag_s = platform_lag_s
        self._free_ports = free_ports(
            6 * len(deployment.instances) + 2 * len(deployment.upstreams) + 40
        )
        self.platform_port = self._free_ports.pop()
        self._partitioned_platform_port = self._free_ports.pop()
        self.ports_by_instance: dict[str, Ports] = {}
        self.port_by_upstream: dict[str, int] = {}
        self.process_by_name: dict[str, subprocess.Popen[bytes]] = {}
        self._domain_by_instance = dict(deployment.instances)
        self._leaving: set[str] = set()
        self._view_revision = 0
        self._config_revision = 0

    def __enter__(self) -> LocalCluster:
        try:
            self.start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.stop()

    def start(self) -> None:
        """Start all processes and wait until all instances are ready."""
        for each in self.deployment.upstreams:
            self.start_upstream(each.id)
        for instance, _ in self.deployment.instances:
            self.ports_by_instance[instance] = Ports(
                self._free_ports.pop(), self._free_ports.pop(), self._free_ports.pop()
            )
        self.publish_configuration()
        if self._partition_domain:
            self._start_relay()
        self.publish_view()
        self._start_platform("platform", self.platform_port, self.directory)
        for instance, _ in self.deployment.instances:
            self.start_instance(instance)
        self.wait_ready(START_TIMEOUT_S)

    def start_partition(self) -> None:
        """Partition ``partition_domain`` from the other domains and from the platform."""
        self.pause("relay")

    def end_partition(self) -> None:
        """End the partition."""
        self.resume("relay")

    def _start_platform(self, name: str, port: int, directory: pathlib.Path) -> None:
        self._spawn(
            name,
            "-m",
            "standins.platform",
            *("--port", str(port)),
            *("--directory", str(directory)),
            *("--lag-s", str(self._platform_lag_s)),
        )

    def _start_relay(self) -> None:
        """Start the relay and a second platform that publishes the view of the partition domain.

        In that view, targets outside the partition domain have the relay's ports.
        """
        partitioned_directory = self.directory / "far"
        partitioned_directory.mkdir()
        (partitioned_directory / "config").symlink_to(self.directory / "config")
        peers = [each.peer for each in self.ports_by_instance.values()]
        for port in (*peers, *self.port_by_upstream.values(), self._partitioned_platform_port):
            self._relay_port_by_target_port[port] = self._free_ports.pop()
        routes = [f"{relay}:{port}" for port, relay in self._relay_port_by_target_port.items()]
        self._spawn("relay", "-m", "standins.relay", *routes)
        self._start_platform("far-platform", self._partitioned_platform_port, partitioned_directory)

    def _routed_port(self, port: int, domain: str, viewer_is_inside: bool) -> int:
        """Return the port on which a viewer reaches a target that is in ``domain``.

        This is a port of the relay if one of the two is in the partition domain.

        :param port: port on which the target listens
        :param viewer_is_inside: whether the viewer is in the partition domain
        """
        if (domain == self._partition_domain) == viewer_is_inside:
            return port
        return self._relay_port_by_target_port.get(port, port)

    def wait_ready(self, timeout_s: float) -> None:
        """Wait until all instances in the view are ready.

        :raises TimeoutError: if an instance is not ready in time
        """
        deadline_s = time.monotonic() + timeout_s
        waiting = set(self.ports_by_instance)
        while waiting:
            waiting = {each for each in waiting if not self.is_ready(each)}
            if waiting and time.monotonic() > deadline_s:
                raise TimeoutError(f"instances not ready: {sorted(waiting)}")
            time.sleep(0.1)

    def is_ready(self, instance: str) -> bool:
        """Return whether an instance answers its readiness path with 200."""
        try:
            status, _ = http_get(self.ports_by_instance[instance].operator, "/ready")
        except OSError:
            return False
        return status == 200

    def start_upstream(self, upstream: str) -> None:
        """Start the stand-in process of an upstream."""
        entry = next(each for each in self.deployment.upstreams if each.id == upstream)
        port = self.port_by_upstream.setdefault(upstream, self._free_ports.pop())
        if entry.role == "plain":
            self._spawn(upstream, "-m", "standins.service", "--port", str(port))
            return
        self._spawn(
            upstream,
            "-m",
            "standins.engine",
            *("--id", upstream, "--port", str(port), "--role", entry.role),
        )

    def start_instance(self, instance: str) -> None:
        """Start the daemon of an instance."""
        ports = self.ports_by_instance[instance]
        inside = self._domain_by_instance[instance] == self._partition_domain
        platform_port = self.platform_port
        if inside:
            platform_port = self._relay_port_by_target_port[self._partitioned_platform_port]
        path = self.directory / f"{instance}.yaml"
        settings = {
            "instance": instance,
            "failure_domain": self._domain_by_instance[instance],
            "host": LOOPBACK,
            "caller_port": ports.caller,
            "peer_port": ports.peer,
            "operator_port": ports.operator,
            "platform_host": LOOPBACK,
            "platform_port": platform_port,
            "log_file": str(self.directory / f"{instance}.log"),
            "seeds": [
                f"{LOOPBACK}:{self._routed_port(each.peer, self._domain_by_instance[name], inside)}"
                for name, each in self.ports_by_instance.items()
                if name != instance
            ],
            **self._instance_settings,
        }
        path.write_text(yaml.safe_dump(settings))
        environment = dict(os.environ)
        if self._source is not None:
            environment["PYTHONPATH"] = str(self._source / "src")
        self._spawn(instance, "-m", "carawaydoor", "--settings", str(path), env=environment)

    def add_instance(self, instance: str, failure_domain: str) -> None:
        """Start a new instance and add it to the view."""
        self._domain_by_instance[instance] = failure_domain
        self.ports_by_instance[instance] = Ports(
            self._free_ports.pop(), self._free_ports.pop(), self._free_ports.pop()
        )
        self.start_instance(instance)
        self.publish_view()

    def remove_from_view(self, name: str) -> None:
        """Remove a stopped instance or upstream from the view."""
        self.ports_by_instance.pop(name, None)
        self.port_by_upstream.pop(name, None)
        self.publish_view()

    def mark_leaving(self, name: str) -> None:
        """Publish a view in which an instance or upstream is leaving."""
        self._leaving.add(name)
        self.publish_view()

    def publish_view(self) -> None:
        """Publish a new revision of the view of instances and upstreams."""
        self._view_revision += 1
        self._write_view(self.directory / "view.json", False)
        if self._partition_domain:
            self._write_view(self.directory / "far" / "view.json", True)

    def _write_view(self, path: pathlib.Path, viewer_is_inside: bool) -> None:
        view = {
            "revision": self._view_revision,
            "instances": [
                {
                    "id": name,
                    "failure_domain": self._domain_by_instance[name],
                    "host": LOOPBACK,
                    "peer_port": self._routed_port(
                        ports.peer, self._domain_by_instance[name], viewer_is_inside
                    ),
                    "presence": self._presence(name),
                }
                for name, ports in self.ports_by_instance.items()
            ],
            "upstreams": [
                {
                    "id": each.id,
                    "failure_domain": each.failure_domain,
                    "host": LOOPBACK,
                    "port": self._routed_port(
                        self.port_by_upstream[each.id], each.failure_domain, viewer_is_inside
                    ),
                    "role": each.role,
                    "group": each.group,
                    "slots": 4 if each.role == "prefill" else 20,
                    "presence": self._presence(each.id),
                }
                for each in self.deployment.upstreams
                if each.id in self.port_by_upstream
            ],
        }
        _write_atomically(path, json.dumps(view).encode())

    def publish_configuration(self, withdrawn: tuple[str, ...] = ()) -> int:
        """Publish a new configuration revision and return its number.

        :param withdrawn: workspaces whose API keys are withdrawn
        """
        self._config_revision += 1
        digests = {authentication.digest_key(self.deployment.key(each)) for each in withdrawn}
        declared = yaml_documents.read_objects(self.deployment.config_directory).ok
        items = [
            (
                each.item.model_copy(update={"withdrawn": True})
                if getattr(each.item, "sha256", "") in digests
                else each.item
            )
            for each in declared
        ]
        cli.write_revision(self.directory / "config", revisions.build(self._config_revision, items))
        return self._config_revision

    def kill(self, name: str) -> None:
        """Kill a process and wait for it to exit."""
        process = self.process_by_name.pop(name)
        process.kill()
        process.wait()

    def pause(self, name: str) -> None:
        """Suspend a process until :meth:`resume`."""
        pause_process(self.process_by_name[name])

    def resume(self, name: str) -> None:
        """Resume a paused process."""
        self.process_by_name[name].send_signal(signal.SIGCONT)

    def terminate(self, name: str) -> int:
        """Send SIGTERM to a process and return its exit code."""
        process = self.process_by_name.pop(name)
        process.terminate()
        return process.wait(60.0)

    def stop(self) -> None:
        """Terminate all running processes and kill those that do not exit in time."""
        processes = list(self.process_by_name.values())
        self.process_by_name.clear()
        for each in processes:
            each.send_signal(signal.SIGCONT)
            each.terminate()
        deadline_s = time.monotonic() + STOP_TIMEOUT_S
        for each in processes:
            try:
                each.wait(max(0.1, deadline_s - time.monotonic()))
            except subprocess.TimeoutExpired:
                each.kill()
                each.wait()

    def control(self, name: str, **faults: Any) -> dict[str, Any]:
        """Set faults of a stand-in, if given, and return its report."""
        port = self.platform_port if name == "platform" else self.port_by_upstream[name]
        connection = http.client.HTTPConnection(LOOPBACK, port, timeout=5.0)
        connection.request("POST" if faults else "GET", "/control", json.dumps(faults))
        report: dict[str, Any] = json.loads(connection.getresponse().read())
        connection.close()
        return report

    def _presence(self, name: str) -> str:
        return "leaving" if name in self._leaving else "live"

    def _spawn(self, name: str, *arguments: str, env: dict[str, str] | None = None) -> None:
        with (self.directory / f"{name}.out").open("ab") as out:
            self.process_by_name[name] = subprocess.Popen(
                [sys.executable, *arguments],
                stdout=out,
                stderr=out,
                stdin=subprocess.DEVNULL,
                env=env,
            )


def pause_process(process: subprocess.Popen[bytes]) -> None:
    """Suspend a child process, and return once all of its threads have stopped or it has exited.

    Without the wait, threads on a busy machine run on for tens of milliseconds.
    """
    process.send_signal(signal.SIGSTOP)
    if process.returncode is not None:
        # It had exited, and has been waited for by the call above.
        return
    os.waitid(os.P_PID, process.pid, os.WSTOPPED | os.WEXITED | os.WNOWAIT)


def http_get(port: int, path: str, timeout_s: float = 2.0) -> tuple[int, bytes]:
    """Send a GET request to a port on loopback and return status and body."""
    connection = http.client.HTTPConnection(LOOPBACK, port, timeout=timeout_s)
    try:
        connection.request("GET", path)
        response = connection.getresponse()
        return response.status, response.read()
    finally:
        connection.close()


def _write_atomically(path: pathlib.Path, content: bytes) -> None:
    new_path = path.with_suffix(".new")
    new_path.write_bytes(content)
    new_path.replace(path)


def free_ports(count: int) -> list[int]:
    """Return ports that nothing listens on, and that no outgoing connection is given meanwhile."""
    sockets: list[socket.socket] = []
    try:
        for port in random.sample(PORT_RANGE, len(PORT_RANGE)):
            candidate = socket.socket()
            try:
                candidate.bind((LOOPBACK, port))
            except OSError:
                # Something else listens there.
                candidate.close()
                continue
            sockets.append(candidate)
            if len(sockets) == count:
                break
        return [each.getsockname()[1] for each in sockets]
    finally:
        for each in sockets:
            each.close()
