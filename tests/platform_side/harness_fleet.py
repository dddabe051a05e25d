"""Several router instances in the test process that share upstreams and exchange reports."""

from __future__ import annotations

import contextlib
import enum
import random
import socket
import time
from collections.abc import Iterable, Iterator
from typing import Any

from carawaydoor.fleet import codec, reports
from carawaydoor.operating import clocks, platform_options, probe_app
from carawaydoor.platform import http_adapter, store_source
from carawaydoor.policy import entities, upstream_directory
from carawaydoor.serving import caller_app, connections, http_servers, peer_app
from tests.platform_side import fake_upstream, router_harness
from tools import local_cluster


class Cut(enum.Enum):
    """How connections of an instance to upstreams fail."""

    REFUSED = "refused"
    SILENT = "silent"


class HarnessFleet:
    """Instances with the same upstreams and one clock.

    :ivar requests_from_peers: number of requests that instances have served for their peers
    """

    def __init__(self, size: int, clock: clocks.Clock) -> None:
        self.clock = clock
        (port,) = local_cluster.free_ports(1)
        self.members = [
            router_harness.RouterHarness(
                clock, f"m-{n}", peer_host=f"127.0.0.{n + 1}", first_port=port
            )
            for n in range(size)
        ]
        self.random = random.Random(1)
        self.requests_from_peers = 0
        for each in self.members:
            each.instance.streams.on_origins = self._deliver_origins

    def add_upstream(
        self,
        name: str,
        stage: entities.Stage = entities.Stage.NONE,
        events: int = 5,
        version: str = "v1",
    ) -> fake_upstream.FakeUpstream:
        """Start a fake upstream and add it to the directories of all instances."""
        first, *others = self.members
        upstream = first.add_upstream(name, stage, events, version)
        entry = first.instance.directory.upstream_by_id[name]
        for each in others:
            each.instance.update_directory(upstream_directory.Changes({name: entry}, 1))
        return upstream

    def _deliver_origins(self, report: reports.OriginReport, _: Iterable[str]) -> None:
        for each in self.members:
            if each.instance.options.instance != report.instance:
                each.instance.handle_report(codec.decode(codec.encode(report)))

    def serve_peers(self, suspended: int | None = None) -> None:
        """Have every instance accept requests that peers pass on.

        :param suspended: number of one that accepts connections and does not answer
        """
        adapter = http_adapter.PlatformHttpAdapter()
        for number, each in enumerate(self.members):
            if number == suspended:
                address = each.instance.options.peer_host, each.instance.options.first_port
                self.suspended = socket.create_server(address, backlog=64)
                continue
            options = each.instance.options
            server = http_servers.CallerServer(each.app, options, lambda: False)
            forwarded = caller_app.CallerApp(each.instance, adapter, is_for_peers=True)
            source = store_source.StoreSource(options.store)
            own = probe_app.RelayApp(each.instance, source)
            server.listen_to_peers(
                peer_app.PeerApp(adapter, self._counted(forwarded), own),
                platform_options.Address(options.peer_host, options.first_port),
            )
            server.start()

    def _counted(self, app: peer_app.WsgiApp) -> peer_app.WsgiApp:
        def counting_app(environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
            self.requests_from_peers += 1
            return app(environ, start_response)

        return counting_app

    def cut(self, number: int, how: Cut) -> None:
        """Have all new connections of an instance to upstreams fail, and close the others."""
        instance = self.members[number].instance
        for each in instance.directory.upstream_by_id.values():
            instance.connection_pool.close_idle(each)

        def fail(
            *_: object, connect_timeout_s: float = connections.CONNECT_TIMEOUT_S, **__: object
        ):
            if how is Cut.REFUSED:
                raise connections.NoListenerError("refused by the test")
            time.sleep(connect_timeout_s)
            raise connections.NotSentError("timed out in the test")

        instance.connection_pool.acquire = fail  # type: ignore[method-assign, assignment]

    def heal(self, number: int) -> None:
        """Let an instance connect to upstreams again."""
        del self.members[number].instance.connection_pool.acquire

    def restart(self, number: int) -> None:
        """Replace an instance by one that knows only the list of upstreams."""
        killed = self.members[number]
        started = router_harness.RouterHarness(self.clock, killed.instance.options.instance)
        started.instance.lists.source = killed.instance.lists.source
        started.upstreams = killed.upstreams
        started.instance.streams.on_origins = self._deliver_origins
        entries = dict(killed.instance.directory.upstream_by_id)
        started.instance.update_directory(upstream_directory.Snapshot(entries, 1))
        self.members[number] = started

    def remove_upstream(self, name: str) -> None:
        """Remove an upstream from the directories of all instances."""
        for each in self.members:
            each.instance.update_directory(upstream_directory.Changes({name: None}, 2))

    def exchange_reports(self) -> None:
        """Have every instance report to every other one, and prove the configuration newest."""
        for sender in self.members:
            sender.instance.confirm_revision(1, self.clock.now_s())
            sender.instance.expire()
            report, _, _ = sender.instance.compose_report()
            for receiver in self.members:
                if receiver is not sender:
                    receiver.instance.handle_report(codec.decode(codec.encode(report)))

    def any_member(self) -> router_harness.RouterHarness:
        """Return an instance that is drawn at random."""
        return self.random.choice(self.members)


@contextlib.contextmanager
def running(size: int, clock: clocks.Clock) -> Iterator[HarnessFleet]:
    """Provide a fleet and stop its upstreams at the end."""
    fleet = HarnessFleet(size, clock)
    try:
        yield fleet
    finally:
        for upstream in fleet.members[0].upstreams.values():
            upstream.stop()
