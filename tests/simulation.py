"""Simulates several instances, the network and the platform, under a clock that tests advance."""

from __future__ import annotations

import dataclasses
import itertools
from collections.abc import Callable, Iterator
from typing import TextIO

from carawaydoor.coordination import (
    budgets,
    cluster_view,
    core_events,
    core_state,
    messages,
    ownership,
    state_machine,
    trace,
)
from carawaydoor.interface import admission, instance_context
from carawaydoor.publishing import catalog, config_objects

TICK_INTERVAL_S = 0.5
START_WALL_S = 1_800_000_000.0
CLOCK_SKEW_S_BY_INSTANCE = {"i1": 0.2, "i2": -0.2, "i3": 0.0, "i4": -0.2}
DOMAINS = ("fd-a", "fd-b")
DOMAIN_BY_INSTANCE = {"i1": "fd-b", "i2": "fd-b", "i3": "fd-b", "i4": "fd-a"}
WORKSPACE = config_objects.Workspace(
    kind="workspace", name="acme", rate_tokens_per_s=10.0, burst_tokens=1000.0
)
SERVICE = config_objects.Service(kind="service", name="booking", retry_window_s=20.0)
CATALOG = catalog.build_unchecked(
    [
        *(
            config_objects.FailureDomain(kind="failure_domain", name=each, standing_share=0.1)
            for each in DOMAINS
        ),
        WORKSPACE,
        SERVICE,
        config_objects.Model(
            kind="model", name="tiny", context_tokens=1000, prefill_tokens_per_s=1000.0
        ),
        config_objects.Pool(kind="pool", name="tiny", model="tiny"),
    ]
)
UPSTREAM_BY_ID = {
    f"{role.value}-{domain}": cluster_view.Upstream(
        f"{role.value}-{domain}", domain, "", 0, role, "tiny", 2, 1e6, cluster_view.Presence.LIVE
    )
    for domain in DOMAINS
    for role in (cluster_view.Role.PREFILL, cluster_view.Role.DECODE)
}


@dataclasses.dataclass(slots=True)
class SimulatedInstance:
    """One instance: its decision core and whether it runs.

    :ivar paused: whether its process is suspended, as by SIGSTOP; messages wait in ``inbox``
    """

    state: core_state.CoreState
    alive: bool = True
    paused: bool = False
    reaches_platform: bool = True
    inbox: list[Callable[[], None]] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class InFlightMessage:
    """A message to an instance, with the function that takes its answer."""

    sender: str
    receiver: str
    message: messages.Message
    on_answer: Callable[[messages.Message], None]


class Cluster:
    """Several instances, the network between them and the platform."""

    def __init__(self, timing: ownership.Timing) -> None:
        self.now_s = 100.0
        self.timing = timing
        self.simulated_by_id: dict[str, SimulatedInstance] = {}
        self.cut_links: set[frozenset[str]] = set()
        self.runs: list[tuple[str, str, core_events.Run]] = []
        self.late: list[InFlightMessage] = []
        self._incarnation_count = 0
        self._recorded_instance = ""
        self._recorder: trace.Recorder = trace.NullRecorder()
        self._last_reply_to = 0
        self._answer_handler_by_reply_to: dict[
            tuple[str, int], Callable[[messages.Message], None]
        ] = {}
        self.view = self._make_view(1, set(DOMAIN_BY_INSTANCE))
        for each in DOMAIN_BY_INSTANCE:
            self.start_instance(each)

    @property
    def wall_s(self) -> float:
        """Wall time in seconds."""
        return START_WALL_S + self.now_s

    def record(self, instance: str, out: TextIO) -> None:
        """Restart an instance and record each of its steps."""
        self.start_instance(instance)
        state = self.simulated_by_id[instance].state
        self._recorded_instance = instance
        self._recorder = trace.FileRecorder(out, state.membership, state.secret)
        first = core_state.create(
            ownership.create(
                instance,
                state.membership.incarnation,
                state.membership.failure_domain,
                self.timing,
                self.now_s,
            ),
            state.secret,
        )
        self.simulated_by_id[instance].state = first
        self.apply(instance, core_events.CatalogInForce(1, CATALOG))

    def start_instance(self, instance: str) -> None:
        """Start a new incarnation of an instance."""
        self._incarnation_count += 1
        member = ownership.create(
            instance,
            f"n{self._incarnation_count}",
            DOMAIN_BY_INSTANCE[instance],
            self.timing,
            self.now_s,
        )
        simulated = SimulatedInstance(
            core_state.create(member, f"secret-{self._incarnation_count}".encode())
        )
        self.simulated_by_id[instance] = simulated
        self.apply(instance, core_events.CatalogInForce(1, CATALOG))

    def publish(self, members: set[str]) -> None:
        """Publish a view with the given instances."""
        self.view = self._make_view(self.view.revision + 1, members)

    def apply(self, instance: str, event: core_events.Event) -> None:
        """Apply an event at an instance and execute the effects."""
        simulated = self.simulated_by_id[instance]
        if not simulated.alive:
            return
        if simulated.paused:
            simulated.inbox.append(lambda: self.apply(instance, event))
            return
        wall_s = self.wall_s + CLOCK_SKEW_S_BY_INSTANCE[instance]
        simulated.state, effects = state_machine.step(simulated.state, self.now_s, wall_s, event)
        if instance == self._recorded_instance:
            self._recorder.record(self.now_s, wall_s, event, effects)
        for effect in effects:
            self._apply_effect(instance, effect)

    def ask(
        self,
        sender: str,
        receiver: str,
        message: messages.Message,
        on_answer: Callable[[messages.Message], None],
    ) -> None:
        """Send a message and pass its answer, if one arrives, to ``on_answer``."""
        self.deliver(InFlightMessage(sender, receiver, message, on_answer))

    def deliver(self, in_flight: InFlightMessage) -> None:
        """Deliver a message unless the link is cut or the receiver has stopped."""
        if not self.connected(in_flight.sender, in_flight.receiver):
            return
        simulated = self.simulated_by_id[in_flight.receiver]
        if not simulated.alive:
            return
        self._last_reply_to += 1
        reply_to = self._last_reply_to
        incarnation = simulated.state.membership.incarnation

        def on_answer(answer: messages.Message) -> None:
            self._deliver_answer(in_flight, incarnation, answer)

        self._answer_handler_by_reply_to[in_flight.receiver, reply_to] = on_answer
        self.apply(in_flight.receiver, core_events.Received(in_flight.message, reply_to))

    def connected(self, one: str, other: str) -> bool:
        """Return whether messages pass between two instances."""
        return one == other or frozenset((one, other)) not in self.cut_links

    def advance(self, seconds: float) -> None:
        """Advance the clock in steps, with ticks, heartbeats and reads of the platform in each."""
        until_s = self.now_s + seconds
        while self.now_s < until_s:
            self.now_s = min(until_s, self.now_s + TICK_INTERVAL_S)
            for instance in DOMAIN_BY_INSTANCE:
                self.tick_instance(instance)

    def tick_instance(self, instance: str) -> None:
        """Run the periodic work of one instance: tick, read of the platform and heartbeats."""
        simulated = self.simulated_by_id[instance]
        if not simulated.alive or simulated.paused:
            return
        self.apply(instance, core_events.Ticked())
        if simulated.reaches_platform:
            self.apply(instance, core_events.ViewArrived(self.view, self.now_s))
        for peer in simulated.state.membership.view.instance_by_id:
            if peer != instance:
                self._heartbeat(instance, peer)

    def resume(self, instance: str) -> None:
        """Resume a paused instance; it first handles the messages that arrived meanwhile."""
        simulated = self.simulated_by_id[instance]
        simulated.paused = False
        pending, simulated.inbox = simulated.inbox, []
        for each in pending:
            each()

    def fill_buckets(self) -> None:
        """Fill every bucket, as a long time without requests would."""
        for simulated in self.simulated_by_id.values():
            full = {
                share: dataclasses.replace(each, level=each.limit.burst)
                for share, each in simulated.state.budgets.bucket_by_share.items()
            }
            simulated.state = dataclasses.replace(simulated.state, budgets=budgets.Budgets(full))

    def share_owner(self, scope: str) -> str:
        """Return the instance that owns a share of the workspace."""
        share = budgets.Share(WORKSPACE.name, scope)
        return next(
            key
            for key, simulated in self.simulated_by_id.items()
            if share in simulated.state.budgets.bucket_by_share
        )

    def likely_owners(self, instance: str, resource: ownership.Resource) -> Iterator[str]:
        """Yield the instances that a request on ``instance`` asks, in order of preference."""
        member = self.simulated_by_id[instance].state.membership
        ranked = ownership.reachable_candidates(member, self.now_s, resource)
        yield from itertools.islice(ranked, instance_context.MAX_OWNERS_ASKED)

    def _heartbeat(self, instance: str, peer: str) -> None:
        asked_s = self.now_s
        target = self.simulated_by_id[peer]
        if not target.alive and self.connected(instance, peer):
            self.apply(instance, core_events.PeerRefused(peer, asked_s))
            return
        state = self.simulated_by_id[instance].state
        message = state_machine.build_heartbeat(state, asked_s, DOMAIN_BY_INSTANCE[peer])

        def handle_answer(answer: messages.Message) -> None:
            if isinstance(answer, messages.Heartbeat):
                self.apply(instance, core_events.PeerHeard(asked_s, answer))
                self._fetch_view(instance, peer, answer)

        self.ask(instance, peer, message, handle_answer)

    def _fetch_view(self, instance: str, peer: str, heartbeat: messages.Heartbeat) -> None:
        own_view = self.simulated_by_id[instance].state.membership.view
        if heartbeat.view_revision > own_view.revision:
            newer_view = self.simulated_by_id[peer].state.membership.view
            self.apply(instance, core_events.ViewArrived(newer_view, None))

    def _deliver_answer(
        self, in_flight: InFlightMessage, incarnation: str, answer: messages.Message
    ) -> None:
        sender = self.simulated_by_id[in_flight.sender]
        receiver = self.simulated_by_id[in_flight.receiver].state.membership
        if receiver.incarnation != incarnation or not sender.alive:
            return
        if not self.connected(in_flight.sender, in_flight.receiver):
            return
        if sender.paused:
            sender.inbox.append(lambda: in_flight.on_answer(answer))
        else:
            in_flight.on_answer(answer)

    def _apply_effect(self, instance: str, effect: core_events.Effect) -> None:
        match effect:
            case core_events.Reply():
                on_answer = self._answer_handler_by_reply_to.pop((instance, effect.reply_to), None)
                if on_answer is not None:
                    on_answer(effect.message)
            case core_events.Send():
                in_flight = InFlightMessage(
                    instance, effect.instance, effect.message, _discard_answer
                )
                self.deliver(in_flight)
            case core_events.Run():
                self.runs.append((instance, incarnation_of(self, instance), effect))

    def _make_view(self, revision: int, members: set[str]) -> cluster_view.View:
        instances = {
            each: cluster_view.Instance(
                each, DOMAIN_BY_INSTANCE[each], "", 0, cluster_view.Presence.LIVE
            )
            for each in sorted(members)
        }
        return cluster_view.View(revision, instances, UPSTREAM_BY_ID)


def incarnation_of(cluster: Cluster, instance: str) -> str:
    """Return the incarnation of an instance."""
    return cluster.simulated_by_id[instance].state.membership.incarnation


def _discard_answer(_: messages.Message) -> None:
    """Discard the answer of a message that needs none."""


@dataclasses.dataclass(slots=True)
class GrantedTokens:
    """Tokens granted to a workspace.

    :ivar at_s: time from which the tokens may be used
    """

    at_s: float
    tokens: float
    owner: str = ""
    grant_id: str = ""
    incarnation: str = ""
    pooled: bool = True


def reserve(
    cluster: Cluster, entry: str, grant_id: str, tokens: float, delay_s: float
) -> GrantedTokens | None:
    """Reserve tokens for a request on an instance, as the admission filter does.

    :param delay_s: how long the answer is delayed
    """
    own = DOMAIN_BY_INSTANCE[entry]
    for pooled in (True, False):
        scope = budgets.POOLED if pooled else own
        share = budgets.Share(WORKSPACE.name, scope)
        for owner in cluster.likely_owners(entry, share.resource):
            asked_s = cluster.now_s
            received_answers: list[messages.Message] = []
            message = messages.ReserveTokens(grant_id, WORKSPACE.name, tokens, tokens, pooled)
            cluster.ask(entry, owner, message, received_answers.append)
            granted = received_answers[0] if received_answers else None
            if not isinstance(granted, messages.TokensGranted):
                continue
            acted_s = asked_s + delay_s
            if delay_s > admission.GRANT_TIMEOUT_S:
                return None
            at_s = acted_s + granted.start_in_s
            return GrantedTokens(at_s, tokens, owner, grant_id, granted.incarnation, pooled)
    return None
