"""A caller of a running fleet."""

from __future__ import annotations

import dataclasses
import http.client
import json
import time
from collections.abc import Callable
from typing import Any

from tools import local_cluster

PATIENCE_S = 15.0


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """An answer to a caller."""

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def problem(self) -> str:
        """Kind of the refusal, empty where the answer is none."""
        if self.headers.get("Content-Type") != "application/problem+json":
            return ""
        return str(json.loads(self.body)["type"]).rpartition(":")[2]

    @property
    def ran(self) -> str:
        """What the refusal says on whether the request ran."""
        return str(json.loads(self.body)["ran"])


@dataclasses.dataclass(frozen=True, slots=True)
class Caller:
    """Sends requests through one instance."""

    running: local_cluster.LocalCluster
    instance: str = "oc-i1"
    workspace: str = "head-office"

    def open(
        self, method: str, path: str, body: bytes | None, **headers: str
    ) -> http.client.HTTPConnection:
        """Send a request and return the connection on which its answer comes."""
        port = self.running.ports_by_instance[self.instance].caller
        connection = http.client.HTTPConnection(local_cluster.LOOPBACK, port, timeout=60.0)
        every = {key.replace("_", "-"): value for key, value in headers.items()}
        if self.workspace:
            every.setdefault(
                "Authorization", f"Bearer {self.running.deployment.key(self.workspace)}"
            )
        connection.request(method, path, body, every)
        return connection

    def send(self, method: str, path: str, body: bytes | None = None, **headers: str) -> Reply:
        """Send a request and return its whole answer."""
        connection = self.open(method, path, body, **headers)
        response = connection.getresponse()
        reply = Reply(response.status, dict(response.getheaders()), response.read())
        connection.close()
        return reply

    def complete(self, prompt: str = "hello", **fields: Any) -> Reply:
        """Send a completion request and return its whole answer."""
        return self.send("POST", "/v1/completions", completion(prompt, **fields))

    def stream(self, prompt: str = "hello", **fields: Any) -> http.client.HTTPConnection:
        """Send a streamed completion request and return its connection."""
        return self.open("POST", "/v1/completions", completion(prompt, stream=True, **fields))

    def book(self, name: str, key: str) -> Reply:
        """Send a booking with an idempotency key."""
        body = json.dumps({"booking": name}).encode()
        return self.send("POST", "/bookings", body, Idempotency_Key=key)

    def fresh_key(self) -> str:
        """Return a key that this instance issued."""
        return self.send("GET", "/orders/1").headers["Idempotency-Key-Next"]


def completion(prompt: str, **fields: Any) -> bytes:
    """Return the body of a completion request."""
    document = {"model": "planning", "prompt": prompt, "max_tokens": 5, **fields}
    return json.dumps(document).encode()


def eventually(condition: Callable[[], bool]) -> bool:
    """Wait for a condition and return whether it came true."""
    until_s = time.monotonic() + PATIENCE_S
    while time.monotonic() < until_s:
        if condition():
            return True
        time.sleep(0.05)
    return condition()


def engines_hold(running: local_cluster.LocalCluster) -> int:
    """Return the requests and KV cache that the running engines hold."""
    engines = (each.id for each in running.deployment.upstreams if each.role != "plain")
    reports = [running.control(each) for each in engines if each in running.process_by_name]
    return sum(each["active"] + each["kv_held"] for each in reports)


def status(running: local_cluster.LocalCluster, instance: str) -> dict[str, Any]:
    """Return the state that an instance reports."""
    _, body = local_cluster.http_get(running.ports_by_instance[instance].operator, "/status")
    document: dict[str, Any] = json.loads(body)
    return document


def budget(running: local_cluster.LocalCluster, workspace: str) -> float:
    """Return the tokens in the pooled share of a workspace."""
    name = f"budget/{workspace}/pooled"
    levels = [status(running, each)["budgets"].get(name, 0.0) for each in running.ports_by_instance]
    return float(max(levels))


def holds_nothing(running: local_cluster.LocalCluster) -> bool:
    """Return whether no engine and no instance holds anything of a request."""
    instances = [each for each in running.ports_by_instance if each in running.process_by_name]
    states = [status(running, each) for each in instances]
    kept = ("requests", "held_leases", "owed_answers")
    idle = all(each[name] == 0 for each in states for name in kept)
    return idle and engines_hold(running) == 0
