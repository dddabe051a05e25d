"""A client that sends requests to the instances of a running deployment."""

from __future__ import annotations

import dataclasses
import http.client
import json
import time
from collections.abc import Callable
from typing import Any

from tools import local_cluster

EVENTUALLY_TIMEOUT_S = 15.0


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """Response to a request."""

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def problem(self) -> str:
        """Kind of the refusal, empty if the response is no refusal."""
        if self.headers.get("Content-Type") != "application/problem+json":
            return ""
        return str(json.loads(self.body)["type"]).rpartition(":")[2]

    @property
    def ran(self) -> str:
        """Statement of the refusal on whether the request may have run."""
        return str(json.loads(self.body)["ran"])


@dataclasses.dataclass(frozen=True, slots=True)
class Caller:
    """Sends requests of one workspace to one instance."""

    running: local_cluster.LocalCluster
    instance: str = "oc-i1"
    workspace: str = "head-office"
    timeout_s: float = 60.0

    def open(
        self, method: str, path: str, body: bytes | None, **headers: str
    ) -> http.client.HTTPConnection:
        """Send a request and return the connection, from which the response can be read."""
        port = self.running.ports_by_instance[self.instance].caller
        connection = http.client.HTTPConnection(
            local_cluster.LOOPBACK, port, timeout=self.timeout_s
        )
        all_headers = {key.replace("_", "-"): value for key, value in headers.items()}
        if self.workspace:
            all_headers.setdefault(
                "Authorization", f"Bearer {self.running.deployment.key(self.workspace)}"
            )
        connection.request(method, path, body, all_headers)
        return connection

    def send(self, method: str, path: str, body: bytes | None = None, **headers: str) -> Response:
        """Send a request and return its complete response."""
        connection = self.open(method, path, body, **headers)
        http_response = connection.getresponse()
        response = Response(
            http_response.status, dict(http_response.getheaders()), http_response.read()
        )
        connection.close()
        return response

    def complete(self, prompt: str = "hello", **fields: Any) -> Response:
        """Send a completion request and return its complete response."""
        return self.send("POST", "/v1/completions", completion_body(prompt, **fields))

    def stream(self, prompt: str = "hello", **fields: Any) -> http.client.HTTPConnection:
        """Send a streamed completion request and return its connection."""
        return self.open("POST", "/v1/completions", completion_body(prompt, stream=True, **fields))

    def book(self, name: str, key: str) -> Response:
        """Send a booking, which must run at most once, with an idempotency key."""
        body = json.dumps({"booking": name}).encode()
        return self.send("POST", "/bookings", body, Idempotency_Key=key)

    def request_idempotency_key(self) -> str:
        """Return a new idempotency key issued by this instance."""
        return self.send("GET", "/orders/1").headers["Idempotency-Key-Next"]


def completion_body(prompt: str, **fields: Any) -> bytes:
    """Return the body of a completion request."""
    document = {"model": "planning", "prompt": prompt, "max_tokens": 5, **fields}
    return json.dumps(document).encode()


def eventually(condition: Callable[[], bool]) -> bool:
    """Poll a condition until it is true, and return whether it was within the timeout."""
    deadline_s = time.monotonic() + EVENTUALLY_TIMEOUT_S
    while time.monotonic() < deadline_s:
        if condition():
            return True
        time.sleep(0.05)
    return condition()


def engine_held_count(running: local_cluster.LocalCluster) -> int:
    """Return the number of requests and KV cache entries that the running engines hold."""
    engines = (each.id for each in running.deployment.upstreams if each.role != "plain")
    reports = [running.control(each) for each in engines if each in running.process_by_name]
    return sum(each["active"] + each["kv_held"] for each in reports)


def status(running: local_cluster.LocalCluster, instance: str) -> dict[str, Any]:
    """Return the ``/status`` document of an instance."""
    _, body = local_cluster.http_get(running.ports_by_instance[instance].operator, "/status")
    document: dict[str, Any] = json.loads(body)
    return document


def pooled_budget(running: local_cluster.LocalCluster, workspace: str) -> float:
    """Return the tokens available in the pooled share of a workspace's budget."""
    name = f"budget/{workspace}/pooled"
    levels = [status(running, each)["budgets"].get(name, 0.0) for each in running.ports_by_instance]
    return float(max(levels))


def is_idle(running: local_cluster.LocalCluster) -> bool:
    """Return whether no engine and no instance holds resources of any request."""
    instances = [each for each in running.ports_by_instance if each in running.process_by_name]
    states = [status(running, each) for each in instances]
    counters = ("requests", "held_leases", "owed_answers")
    instances_idle = all(each[name] == 0 for each in states for name in counters)
    return instances_idle and engine_held_count(running) == 0
