"""Runs one router instance in the test process, with fake upstreams."""

from __future__ import annotations

import contextlib
import io
import itertools
from collections.abc import Iterator
from typing import Any

from carawaydoor.operating import clocks, platform_metrics, platform_options
from carawaydoor.platform import http_adapter, names
from carawaydoor.policy import entities, upstream_directory, usage_caps
from carawaydoor.serving import caller_app, instance_state
from tests.platform_side import fake_upstream
from tests.policy import builders

KEY = "key-1"
HOST = "a.example"
WORKSPACE = entities.Workspace("w", None, 0.0, 0.0, True, 200.0)
SAFE = builders.route(path_prefix="/safe/")
UNSAFE = builders.route(entities.RouteKind.AT_MOST_ONCE, path_prefix="/unsafe/", max_attempts=2)
OPEN = builders.route(path_prefix="/open/", is_open_to_all=True)
STREAM = builders.route(
    entities.RouteKind.STREAM,
    path_prefix="/stream/",
    service="planner",
    timeout_s=10.0,
    target_s=0.9,
    max_attempts=1,
)
# Longer than any test.
LIST_PROVEN_FOR_S = 3600.0
RESUMABLE = builders.route(
    entities.RouteKind.RESUMABLE_STREAM,
    path_prefix="/resumable/",
    service="planner",
    timeout_s=10.0,
    target_s=0.9,
    max_attempts=2,
)


def example_options(**changes: Any) -> platform_options.Options:
    """Return options like those read from the platform's settings."""
    values: dict[str, Any] = {
        "instance": "m",
        "domain": "a",
        "front": platform_options.Address("127.0.0.1", 0),
        "ready": platform_options.Address("127.0.0.1", 0),
        "peer_host": "127.0.0.1",
        "first_port": 0,
        "seeds": (),
        "store": platform_options.Address("127.0.0.1", 1),
        "bounds": platform_options.Bounds(5.0, 8.0, 0.2, 54.0, 10.0, 3.0, 8.0, 0.25, 2.0),
        "max_descriptors": 1000,
    }
    return platform_options.Options(**{**values, **changes})


class CallerResponse:
    """The response as a caller receives it."""

    def __init__(self, status: str, headers: list[tuple[str, str]], chunks: Any) -> None:
        self.status = int(status.split()[0])
        self.headers = {name.lower(): value for name, value in headers}
        self.chunks = chunks
        self.is_truncated = False
        self.body = b""

    def read(self) -> CallerResponse:
        """Read the body to its end; note if it was truncated."""
        try:
            for chunk in self.chunks:
                self.body += chunk
        except Exception:
            self.is_truncated = True
        finally:
            self.close()
        return self

    def close(self) -> None:
        """Close the body as waitress does after a response."""
        close = getattr(self.chunks, "close", None)
        if close is not None:
            close()


class RouterHarness:
    """An instance with its application and its upstreams."""

    def __init__(
        self, clock: clocks.Clock | None = None, instance: str = "m", **options: Any
    ) -> None:
        self.clock = clock or clocks.SystemClock()
        self.instance = instance_state.InstanceState(
            example_options(instance=instance, **options),
            self.clock,
            platform_metrics.Metrics("test"),
        )
        self.app = caller_app.CallerApp(self.instance, http_adapter.PlatformHttpAdapter())
        self.upstreams: dict[str, fake_upstream.FakeUpstream] = {}
        self._numbers = itertools.count(1)
        # No watcher renews the proof.
        self.instance.source.record_list(0, self.clock.now_s() + LIST_PROVEN_FOR_S)
        self.configure()

    def outdate_list(self, age_s: float) -> None:
        """Have the list of upstreams be of an age in seconds, with no newer one in sight."""
        self.instance.source._list_proven_s = self.clock.now_s() - age_s

    def configure(
        self,
        *routes: entities.Route,
        revision: int = 1,
        workspace_by_key: dict[str, entities.Workspace] | None = None,
    ) -> None:
        """Apply a configuration."""
        all_routes = routes or (SAFE, UNSAFE, OPEN, STREAM, RESUMABLE)
        services = {each.name: each for each in (builders.MODEL_SERVICE, builders.PLAIN_SERVICE)}
        keys = {KEY: WORKSPACE} if workspace_by_key is None else workspace_by_key
        configuration = entities.Configuration(
            revision, revision, {HOST: all_routes}, services, keys, entities.Limits(), True
        )
        self.instance.adopt(configuration)
        self.instance.confirm_revision(revision, self.clock.now_s())

    def add_upstream(
        self,
        name: str,
        stage: entities.Stage = entities.Stage.NONE,
        events: int = 5,
        version: str = "v1",
        domain: str = "a",
    ) -> fake_upstream.FakeUpstream:
        """Start a fake upstream and add it to the instance's directory."""
        upstream = fake_upstream.FakeUpstream(events)
        self.upstreams[name] = upstream
        service = "bookings" if stage is entities.Stage.NONE else "planner"
        address = f"127.0.0.1:{upstream.port}"
        entry = builders.upstream(
            name, service, stage, domain=domain, address=address, version=version
        )
        self.instance.update_directory(upstream_directory.Changes({name: entry}, 1))
        return upstream

    def call(
        self,
        path: str,
        *,
        method: str = "GET",
        body: bytes = b"",
        key: str | None = KEY,
        timeout_ms: int = 3000,
        is_gone: Any = lambda: False,
        headers: dict[str, str] | None = None,
        start_response: Any = None,
    ) -> CallerResponse:
        """Send a request as a caller and return the start of its response.

        :param start_response: stands for that of the HTTP server
        """
        environ: dict[str, Any] = {
            "REQUEST_METHOD": method,
            "REQUEST_URI": path,
            "PATH_INFO": path,
            "HTTP_HOST": HOST,
            "wsgi.input": io.BytesIO(body),
            "waitress.client_disconnected": is_gone,
        }
        sent = {
            names.Header.REQUEST_ID: f"id-{next(self._numbers)}",
            names.Header.TIME_LEFT_MS: str(timeout_ms),
            **({names.Header.KEY: key} if key else {}),
            **(headers or {}),
        }
        for name, value in sent.items():
            environ["HTTP_" + name.upper().replace("-", "_")] = value
        started: list[tuple[str, list[tuple[str, str]]]] = []
        start = start_response or (lambda status, head: started.append((status, head)))
        chunks = self.app(environ, start)
        return CallerResponse(*started[0], chunks)

    def stream(self, path: str = "/stream/1", **kwargs: Any) -> CallerResponse:
        """Send a generation request as a caller."""
        headers = {names.Header.TOKENS: "5000,2000", **kwargs.pop("headers", {})}
        return self.call(path, method="POST", headers=headers, **kwargs)

    def charged(self) -> float:
        """Return what this instance has charged to the cap of the workspace."""
        return usage_caps.own_totals(self.instance.caps).get(WORKSPACE.name, 0.0)

    def is_idle(self) -> bool:
        """Return whether no request is active or holds load at an upstream."""
        work = self.instance.selector.load.own_by_id
        return not work and self.instance.active_requests == 0


@contextlib.contextmanager
def running(
    clock: clocks.Clock | None = None, instance: str = "m", **options: Any
) -> Iterator[RouterHarness]:
    """Provide an instance and stop its upstreams at the end."""
    harness = RouterHarness(clock, instance, **options)
    try:
        yield harness
    finally:
        for upstream in harness.upstreams.values():
            upstream.stop()
