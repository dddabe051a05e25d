"""Follows what the platform publishes, and what peers have learnt from it."""

from __future__ import annotations

from typing import Final

from carawaydoor.coordination import cluster_view, core_events, messages, rendezvous
from carawaydoor.interface import errors, instance_context
from carawaydoor.links import peer_connection
from carawaydoor.operating import audit, clocks, task
from carawaydoor.publishing import configuration_state, platform_client

WATCH_S: Final = 0.4
IDLE_S: Final = 0.1
FETCH_TIMEOUT_S: Final = 2.0
PEER_REPORT_S: Final = 1.5
FRESH_S: Final = 0.9
WATCHERS_PER_DOMAIN: Final = 2


def should_watch_platform(context: instance_context.InstanceContext) -> bool:
    """Return whether this instance watches the platform for its failure domain.

    Two instances of a domain do; the others learn from them, and ask themselves where they hear
    nothing.
    """
    membership = context.membership
    members = [
        each.id
        for each in membership.view.instance_by_id.values()
        if each.failure_domain == membership.failure_domain
    ]
    ranked = rendezvous.rank("platform-watch", members)
    if membership.instance not in members:
        return True
    return membership.instance in ranked[:WATCHERS_PER_DOMAIN]


class ViewWatcher(task.PeriodicTask):
    """Keeps the list of instances and upstreams current."""

    def __init__(
        self,
        context: instance_context.InstanceContext,
        source: platform_client.PlatformClient,
        trail: audit.Trail,
    ) -> None:
        super().__init__("view-watch", IDLE_S)
        self._context = context
        self._platform = source
        self._trail = trail
        self.content = b""

    def run_iteration(self) -> None:
        """Ask the platform, or a peer that knows a newer list."""
        if self._ask_peers():
            return
        if not should_watch_platform(self._context) and self._is_fresh():
            return
        try:
            self._ask_platform()
        except platform_client.PlatformError:
            self._ask_seeds()

    def _is_fresh(self) -> bool:
        confirmed_s = self._context.membership.confirmed_s
        now_s = self._context.clock.now_s()
        return confirmed_s is not None and now_s - confirmed_s < FRESH_S

    def _ask_platform(self) -> None:
        current = self._context.membership.view
        reading = self._platform.watch_view(current.revision, WATCH_S)
        if reading.content is not None:
            self._adopt(reading.content, reading.asked_s, "platform")
        elif reading.revision == current.revision:
            self._context.core.tell(core_events.ViewArrived(current, reading.asked_s))

    def _ask_peers(self) -> bool:
        membership = self._context.membership
        for instance, peer in membership.peer_by_instance.items():
            if peer.view_revision <= membership.view.revision:
                continue
            try:
                answer = self._context.ask(instance, messages.FetchView(), FETCH_TIMEOUT_S)
            except errors.PeerError:
                continue
            if isinstance(answer, messages.ViewFetched):
                return self._adopt(answer.content, None, instance)
        return False

    def _ask_seeds(self) -> None:
        """Ask the configured peers for their list while there is none at hand."""
        if self._context.membership.view.revision > 0:
            return
        for seed in self._context.options.seeds:
            host, _, port = seed.rpartition(":")
            connection = peer_connection.PeerConnection(host, int(port))
            connection.start()
            answer: peer_connection.AnswerFuture = peer_connection.AnswerFuture()
            connection.post(peer_connection.OutgoingMessage(messages.FetchView(), answer))
            try:
                fetched = answer.result(FETCH_TIMEOUT_S)
            except (errors.PeerError, TimeoutError):
                continue
            finally:
                connection.stop()
            if isinstance(fetched, messages.ViewFetched) and self._adopt(
                fetched.content, None, seed
            ):
                return

    def _adopt(self, content: bytes, asked_s: float | None, source: str) -> bool:
        parsed = cluster_view.parse(content)
        if parsed.is_error() or parsed.ok.revision <= self._context.membership.view.revision:
            return False
        self.content = content
        self._context.core.tell(core_events.ViewArrived(parsed.ok, asked_s))
        self._trail.add(audit.Change.VIEW_ADOPTED, parsed.ok.revision, source)
        return True


class ConfigurationWatcher(task.PeriodicTask):
    """Puts configuration revisions in force as they are published."""

    def __init__(
        self,
        context: instance_context.InstanceContext,
        source: platform_client.PlatformClient,
        trail: audit.Trail,
        clock: clocks.Clock,
    ) -> None:
        super().__init__("configuration-watch", IDLE_S)
        self._context = context
        self._platform = source
        self._trail = trail
        self._clock = clock
        self._started_s = clock.now_s()
        self._state = configuration_state.EMPTY

    def run_iteration(self) -> None:
        """Ask a peer that knows a newer revision, then the platform."""
        if not self._peers_reported():
            return
        self._ask_peers()
        if configuration_state.missing_part_digests(self._state):
            self._fetch_parts()
        if (
            should_watch_platform(self._context)
            or self._state.current is None
            or not self._is_fresh()
        ):
            self._ask_platform()

    def _peers_reported(self) -> bool:
        """Return whether every peer was asked for its revision, or has had time to answer.

        An instance that starts while the platform is stale must not serve an older revision
        than its peers.
        """
        if self._state.current is not None:
            return True
        if self._clock.now_s() - self._started_s > PEER_REPORT_S:
            return True
        membership = self._context.membership
        others = [each for each in membership.view.instance_by_id if each != membership.instance]
        return bool(others) and all(each in membership.peer_by_instance for each in others)

    def _is_fresh(self) -> bool:
        return self._clock.now_s() - self._context.configuration_as_of_s < 2 * FRESH_S

    def _ask_platform(self) -> None:
        number = configuration_state.revision_number(self._state)
        try:
            reading = self._platform.watch_manifest(number, WATCH_S)
        except platform_client.PlatformError:
            return
        if reading.content is not None:
            self._offer(reading.content, "platform")
        if reading.revision >= configuration_state.revision_number(self._state):
            self._context.configuration_as_of_s = reading.asked_s

    def _ask_peers(self) -> None:
        membership = self._context.membership
        number = configuration_state.revision_number(self._state)
        for instance, peer in membership.peer_by_instance.items():
            if peer.config_revision <= number:
                continue
            known = tuple(self._state.current.part_by_digest) if self._state.current else ()
            try:
                answer = self._context.ask(instance, messages.FetchRevision(known), FETCH_TIMEOUT_S)
            except errors.PeerError:
                continue
            if isinstance(answer, messages.RevisionFetched) and answer.manifest:
                self._offer(answer.manifest, instance)
                self._arrive({each.digest: each.content for each in answer.parts}, instance)
                return

    def _offer(self, manifest: bytes, source: str) -> None:
        before = configuration_state.revision_number(self._state)
        self._state, outcome = configuration_state.offer_manifest(self._state, manifest)
        self._conclude(before, outcome, source)
        if outcome is configuration_state.Outcome.PENDING and source == "platform":
            self._fetch_parts()

    def _fetch_parts(self) -> None:
        parts: dict[str, bytes] = {}
        for digest in configuration_state.missing_part_digests(self._state):
            try:
                parts[digest] = self._platform.read_part(digest)
            except platform_client.PlatformError:
                break
        self._arrive(parts, "platform")

    def _arrive(self, parts: dict[str, bytes], source: str) -> None:
        before = configuration_state.revision_number(self._state)
        self._state, outcome = configuration_state.add_parts(self._state, parts)
        self._conclude(before, outcome, source)

    def _conclude(self, before: int, outcome: configuration_state.Outcome, source: str) -> None:
        self._context.metrics.configuration_offers.add(1, {"outcome": outcome.value})
        self._context.configuration = self._state
        number = configuration_state.revision_number(self._state)
        if number > before:
            self._context.core.tell(core_events.CatalogInForce(number, self._state.catalog))
            self._trail.add(audit.Change.REVISION_IN_FORCE, number, source)
        elif outcome in (configuration_state.Outcome.INVALID, configuration_state.Outcome.CONFLICT):
            self._trail.add(audit.Change.REVISION_REFUSED, number, source, outcome.value)


def build_revision_answer(
    configuration: configuration_state.ConfigurationState, asked: messages.FetchRevision
) -> messages.RevisionFetched:
    """Return this instance's revision for a peer, less the parts that the peer has."""
    if configuration.current is None:
        return messages.RevisionFetched(b"", ())
    known = frozenset(asked.known_digests)
    parts = tuple(
        messages.RevisionPart(key, content)
        for key, content in configuration.current.part_by_digest.items()
        if key not in known
    )
    return messages.RevisionFetched(configuration.current.manifest_bytes, parts)
