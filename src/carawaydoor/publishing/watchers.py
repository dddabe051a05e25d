"""Keeps an instance's view and configuration current, from the platform and from its peers."""

from __future__ import annotations

from typing import Final

from carawaydoor.coordination import cluster_view, core_events, messages
from carawaydoor.interface import errors, instance_context
from carawaydoor.links import peer_connection
from carawaydoor.operating import audit, clocks, task
from carawaydoor.policy import rendezvous
from carawaydoor.publishing import configuration_state, platform_client

LONG_POLL_S: Final = 0.4
WATCH_INTERVAL_S: Final = 0.1
FETCH_TIMEOUT_S: Final = 2.0
PEER_REPORT_TIMEOUT_S: Final = 1.5
MAX_UNCONFIRMED_S: Final = 0.9
WATCHERS_PER_DOMAIN: Final = 2


def should_watch_platform(context: instance_context.InstanceContext) -> bool:
    """Return whether this instance watches the platform on behalf of its failure domain.

    ``WATCHERS_PER_DOMAIN`` instances of a domain do. The others learn of new revisions from their
    peers, and ask the platform only if their own revision was not confirmed as the newest for
    ``MAX_UNCONFIRMED_S``, or twice that time for the configuration.
    """
    membership = context.membership
    candidates = [
        each.id
        for each in membership.view.instance_by_id.values()
        if each.failure_domain == membership.failure_domain
    ]
    ranked = rendezvous.rank("platform-watch", candidates)
    if membership.instance not in candidates:
        return True
    return membership.instance in ranked[:WATCHERS_PER_DOMAIN]


class ViewWatcher(task.PeriodicTask):
    """Keeps the view of instances and upstreams current."""

    def __init__(
        self,
        context: instance_context.InstanceContext,
        client: platform_client.PlatformClient,
        trail: audit.Trail,
    ) -> None:
        super().__init__("view-watch", WATCH_INTERVAL_S)
        self._context = context
        self._platform_client = client
        self._trail = trail
        self.content = b""

    def run_iteration(self) -> None:
        """Fetch a newer view from a peer that has one, otherwise from the platform."""
        if self._ask_peers():
            return
        if not should_watch_platform(self._context) and self._is_recently_confirmed():
            return
        try:
            self._ask_platform()
        except platform_client.PlatformError:
            self._ask_seeds()

    def _is_recently_confirmed(self) -> bool:
        confirmed_s = self._context.membership.confirmed_s
        now_s = self._context.clock.now_s()
        return confirmed_s is not None and now_s - confirmed_s < MAX_UNCONFIRMED_S

    def _ask_platform(self) -> None:
        current = self._context.membership.view
        response = self._platform_client.watch_view(current.revision, LONG_POLL_S)
        if response.content is not None:
            self._adopt(response.content, response.requested_s, "platform")
        elif response.revision == current.revision:
            self._context.core.tell(core_events.ViewArrived(current, response.requested_s))

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
        """Ask the configured seed instances for their view, as long as this instance has none."""
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

    def _adopt(self, content: bytes, requested_s: float | None, source: str) -> bool:
        parsed = cluster_view.parse(content)
        if parsed.is_error() or parsed.ok.revision <= self._context.membership.view.revision:
            return False
        self.content = content
        self._context.core.tell(core_events.ViewArrived(parsed.ok, requested_s))
        self._trail.add(audit.Change.VIEW_ADOPTED, parsed.ok.revision, source)
        return True


class ConfigurationWatcher(task.PeriodicTask):
    """Fetches new configuration revisions and puts them in force."""

    def __init__(
        self,
        context: instance_context.InstanceContext,
        client: platform_client.PlatformClient,
        trail: audit.Trail,
        clock: clocks.Clock,
    ) -> None:
        super().__init__("configuration-watch", WATCH_INTERVAL_S)
        self._context = context
        self._platform_client = client
        self._trail = trail
        self._clock = clock
        self._started_s = clock.now_s()
        self._state = configuration_state.EMPTY

    def run_iteration(self) -> None:
        """Fetch a newer revision from a peer that has one, then from the platform."""
        if not self._have_peers_reported():
            return
        self._ask_peers()
        if configuration_state.missing_part_digests(self._state):
            self._fetch_parts()
        if (
            should_watch_platform(self._context)
            or self._state.current is None
            or not self._is_recently_confirmed()
        ):
            self._ask_platform()

    def _have_peers_reported(self) -> bool:
        """Return whether all peers have reported their revision, or have had time to do so.

        An instance that starts while the platform serves an outdated revision would otherwise put
        an older revision in force than its peers.
        """
        if self._state.current is not None:
            return True
        if self._clock.now_s() - self._started_s > PEER_REPORT_TIMEOUT_S:
            return True
        membership = self._context.membership
        peers = [each for each in membership.view.instance_by_id if each != membership.instance]
        return bool(peers) and all(each in membership.peer_by_instance for each in peers)

    def _is_recently_confirmed(self) -> bool:
        return self._clock.now_s() - self._context.configuration_as_of_s < 2 * MAX_UNCONFIRMED_S

    def _ask_platform(self) -> None:
        number = configuration_state.revision_number(self._state)
        try:
            response = self._platform_client.watch_manifest(number, LONG_POLL_S)
        except platform_client.PlatformError:
            return
        if response.content is not None:
            self._offer_manifest(response.content, "platform")
        if response.revision >= configuration_state.revision_number(self._state):
            self._context.configuration_as_of_s = response.requested_s

    def _ask_peers(self) -> None:
        membership = self._context.membership
        number = configuration_state.revision_number(self._state)
        for instance, peer in membership.peer_by_instance.items():
            if peer.config_revision <= number:
                continue
            known_digests = tuple(self._state.current.part_by_digest) if self._state.current else ()
            try:
                answer = self._context.ask(
                    instance, messages.FetchRevision(known_digests), FETCH_TIMEOUT_S
                )
            except errors.PeerError:
                continue
            if isinstance(answer, messages.RevisionFetched) and answer.manifest:
                self._offer_manifest(answer.manifest, instance)
                self._add_parts({each.digest: each.content for each in answer.parts}, instance)
                return

    def _offer_manifest(self, manifest: bytes, source: str) -> None:
        previous_number = configuration_state.revision_number(self._state)
        self._state, outcome = configuration_state.offer_manifest(self._state, manifest)
        self._apply_outcome(previous_number, outcome, source)
        if outcome is configuration_state.Outcome.PENDING and source == "platform":
            self._fetch_parts()

    def _fetch_parts(self) -> None:
        parts: dict[str, bytes] = {}
        for digest in configuration_state.missing_part_digests(self._state):
            try:
                parts[digest] = self._platform_client.read_part(digest)
            except platform_client.PlatformError:
                break
        self._add_parts(parts, "platform")

    def _add_parts(self, parts: dict[str, bytes], source: str) -> None:
        previous_number = configuration_state.revision_number(self._state)
        self._state, outcome = configuration_state.add_parts(self._state, parts)
        self._apply_outcome(previous_number, outcome, source)

    def _apply_outcome(
        self, previous_number: int, outcome: configuration_state.Outcome, source: str
    ) -> None:
        self._context.metrics.configuration_offers.add(1, {"outcome": outcome.value})
        self._context.configuration = self._state
        number = configuration_state.revision_number(self._state)
        if number > previous_number:
            self._context.core.tell(core_events.CatalogInForce(number, self._state.catalog))
            self._trail.add(audit.Change.REVISION_IN_FORCE, number, source)
        elif outcome in (configuration_state.Outcome.INVALID, configuration_state.Outcome.CONFLICT):
            self._trail.add(audit.Change.REVISION_REFUSED, number, source, outcome.value)


def build_revision_answer(
    state: configuration_state.ConfigurationState, request: messages.FetchRevision
) -> messages.RevisionFetched:
    """Return the answer to a peer: the revision in force without the parts that the peer has."""
    if state.current is None:
        return messages.RevisionFetched(b"", ())
    known_digests = frozenset(request.known_digests)
    parts = tuple(
        messages.RevisionPart(digest, content)
        for digest, content in state.current.part_by_digest.items()
        if digest not in known_digests
    )
    return messages.RevisionFetched(state.current.manifest_bytes, parts)
