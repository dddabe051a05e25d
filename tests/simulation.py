"""A handful of decision cores that exchange messages under a clock that the test advances."""

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
from carawaydoor.interface import admission, gateway
from carawaydoor.publishing import catalog, objects

STEP_S = 0.5
FIRST_WALL_S = 1_800_000_000.0
SKEW_S = {"i1": 0.2, "i2": -0.2, "i3": 0.0, "i4": -0.2}
DOMAINS = ("fd-a", "fd-b")
INSTANCES = {"i1": "fd-b", "i2": "fd-b", "i3": "fd-b", "i4": "fd-a"}
WORKSPACE = objects.Workspace(
    kind="workspace", name="acme", rate_tokens_per_s=10.0, burst_tokens=1000.0
)
SERVICE = objects.Service(kind="service", name="booking", retry_window_s=20.0)
CATALOG = catalog.assemble(
    [
        *(
            objects.FailureDomain(kind="failure_domain", name=each, standing_share=0.1)
            for each in DOMAINS
        ),
        WORKSPACE,
        SERVICE,
        objects.Model(kind="model", name="tiny", context_tokens=1000, prefill_tokens_per_s=1000.0),
        objects.Pool(kind="pool", name="tiny", model="tiny"),
    ]
)
UPSTREAMS = {
    f"{role.value}-{domain}": cluster_view.Upstream(
        f"{role.value}-{domain}", domain, "", 0, role, "tiny", 2, 1e6, cluster_view.Presence.LIVE
    )
    for domain in DOMAINS
    for role in (cluster_view.Role.PREFILL, cluster_view.Role.DECODE)
}


@dataclasses.dataclass(slots=True)
class Machine:
    """One instance: its decision core and how it fares."""

    state: core_state.CoreState
    alive: bool = True
    paused: bool = False
    sees_platform: bool = True
    inbox: list[Callable[[], None]] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class Question:
    """A message on its way to a machine, and where its answer goes."""

    sender: str
    receiver: str
    message: messages.Message
    answered: Callable[[messages.Message], None]


class World:
    """Machines, the network between them and the platform."""

    def __init__(self, timing: ownership.Timing) -> None:
        self.now_s = 100.0
        self.timing = timing
        self.machine_by_id: dict[str, Machine] = {}
        self.cuts: set[frozenset[str]] = set()
        self.runs: list[tuple[str, str, core_events.Run]] = []
        self.late: list[Question] = []
        self._incarnations = 0
        self._recorded = ""
        self._recorder: trace.Recorder = trace.NullRecorder()
        self._numbers = 0
        self._waiting: dict[tuple[str, int], Callable[[messages.Message], None]] = {}
        self.view = self._make_view(1, set(INSTANCES))
        for each in INSTANCES:
            self.boot(each)

    @property
    def wall_s(self) -> float:
        """Wall time in seconds."""
        return FIRST_WALL_S + self.now_s

    def record(self, instance: str, out: TextIO) -> None:
        """Start an instance anew and record every step that it takes."""
        self.boot(instance)
        state = self.machine_by_id[instance].state
        self._recorded = instance
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
        self.machine_by_id[instance].state = first
        self.apply(instance, core_events.CatalogInForce(1, CATALOG))

    def boot(self, instance: str) -> None:
        """Start a new incarnation of an instance."""
        self._incarnations += 1
        member = ownership.create(
            instance, f"n{self._incarnations}", INSTANCES[instance], self.timing, self.now_s
        )
        machine = Machine(core_state.create(member, f"secret-{self._incarnations}".encode()))
        self.machine_by_id[instance] = machine
        self.apply(instance, core_events.CatalogInForce(1, CATALOG))

    def publish(self, members: set[str]) -> None:
        """Publish a view with the given instances."""
        self.view = self._make_view(self.view.revision + 1, members)

    def apply(self, instance: str, event: core_events.Event) -> None:
        """Apply an event at an instance and carry out its effects."""
        machine = self.machine_by_id[instance]
        if not machine.alive:
            return
        if machine.paused:
            machine.inbox.append(lambda: self.apply(instance, event))
            return
        wall_s = self.wall_s + SKEW_S[instance]
        machine.state, effects = state_machine.step(machine.state, self.now_s, wall_s, event)
        if instance == self._recorded:
            self._recorder.record(self.now_s, wall_s, event, effects)
        for effect in effects:
            self._carry_out(instance, effect)

    def ask(
        self,
        sender: str,
        receiver: str,
        message: messages.Message,
        answered: Callable[[messages.Message], None],
    ) -> None:
        """Send a message; its answer, if one comes, goes to ``answered``."""
        self.deliver(Question(sender, receiver, message, answered))

    def deliver(self, question: Question) -> None:
        """Bring a message to its receiver, where the network allows it."""
        if not self.connected(question.sender, question.receiver):
            return
        machine = self.machine_by_id[question.receiver]
        if not machine.alive:
            return
        self._numbers += 1
        number = self._numbers
        incarnation = machine.state.membership.incarnation

        def answered(answer: messages.Message) -> None:
            self._return(question, incarnation, answer)

        self._waiting[question.receiver, number] = answered
        self.apply(question.receiver, core_events.Received(question.message, number))

    def connected(self, one: str, other: str) -> bool:
        """Return whether messages pass between two instances."""
        return one == other or frozenset((one, other)) not in self.cuts

    def advance(self, seconds: float) -> None:
        """Let time pass, with ticks, heartbeats and reads of the platform."""
        until_s = self.now_s + seconds
        while self.now_s < until_s:
            self.now_s = min(until_s, self.now_s + STEP_S)
            for instance in INSTANCES:
                self.act(instance)

    def act(self, instance: str) -> None:
        """Let one instance do what it does all the time."""
        machine = self.machine_by_id[instance]
        if not machine.alive or machine.paused:
            return
        self.apply(instance, core_events.Ticked())
        if machine.sees_platform:
            self.apply(instance, core_events.ViewArrived(self.view, self.now_s))
        for peer in machine.state.membership.view.instance_by_id:
            if peer != instance:
                self._heartbeat(instance, peer)

    def resume(self, instance: str) -> None:
        """Let a paused instance run again; it finds old messages first."""
        machine = self.machine_by_id[instance]
        machine.paused = False
        queued, machine.inbox = machine.inbox, []
        for each in queued:
            each()

    def fill(self) -> None:
        """Fill every bucket, as a long quiet time would."""
        for machine in self.machine_by_id.values():
            full = {
                share: dataclasses.replace(each, level=each.limit.burst)
                for share, each in machine.state.budgets.bucket_by_share.items()
            }
            machine.state = dataclasses.replace(machine.state, budgets=budgets.Budgets(full))

    def share_owner(self, scope: str) -> str:
        """Return the instance that holds a share of the workspace."""
        share = budgets.Share(WORKSPACE.name, scope)
        return next(
            key
            for key, machine in self.machine_by_id.items()
            if share in machine.state.budgets.bucket_by_share
        )

    def likely_owners(self, instance: str, resource: ownership.Resource) -> Iterator[str]:
        """Yield the instances that a request on an instance would ask, best first."""
        member = self.machine_by_id[instance].state.membership
        ranked = ownership.reachable_candidates(member, self.now_s, resource)
        yield from itertools.islice(ranked, gateway.MAX_OWNERS_ASKED)

    def _heartbeat(self, instance: str, peer: str) -> None:
        asked_s = self.now_s
        target = self.machine_by_id[peer]
        if not target.alive and self.connected(instance, peer):
            self.apply(instance, core_events.PeerRefused(peer, asked_s))
            return
        state = self.machine_by_id[instance].state
        message = state_machine.build_heartbeat(state, asked_s, INSTANCES[peer])

        def heard(answer: messages.Message) -> None:
            if isinstance(answer, messages.Heartbeat):
                self.apply(instance, core_events.PeerHeard(asked_s, answer))
                self._fetch_view(instance, peer, answer)

        self.ask(instance, peer, message, heard)

    def _fetch_view(self, instance: str, peer: str, heard: messages.Heartbeat) -> None:
        mine = self.machine_by_id[instance].state.membership.view
        if heard.view_revision > mine.revision:
            newer = self.machine_by_id[peer].state.membership.view
            self.apply(instance, core_events.ViewArrived(newer, None))

    def _return(self, question: Question, incarnation: str, answer: messages.Message) -> None:
        sender = self.machine_by_id[question.sender]
        receiver = self.machine_by_id[question.receiver].state.membership
        if receiver.incarnation != incarnation or not sender.alive:
            return
        if not self.connected(question.sender, question.receiver):
            return
        if sender.paused:
            sender.inbox.append(lambda: question.answered(answer))
        else:
            question.answered(answer)

    def _carry_out(self, instance: str, effect: core_events.Effect) -> None:
        match effect:
            case core_events.Reply():
                queued = self._waiting.pop((instance, effect.reply_to), None)
                if queued is not None:
                    queued(effect.message)
            case core_events.Send():
                question = Question(instance, effect.instance, effect.message, _ignore)
                self.deliver(question)
            case core_events.Run():
                self.runs.append((instance, machine_incarnation(self, instance), effect))

    def _make_view(self, revision: int, members: set[str]) -> cluster_view.View:
        instances = {
            each: cluster_view.Instance(each, INSTANCES[each], "", 0, cluster_view.Presence.LIVE)
            for each in sorted(members)
        }
        return cluster_view.View(revision, instances, UPSTREAMS)


def machine_incarnation(world: World, instance: str) -> str:
    """Return the incarnation of an instance."""
    return world.machine_by_id[instance].state.membership.incarnation


def _ignore(_: messages.Message) -> None:
    """Drop an answer that nobody wants."""


@dataclasses.dataclass(slots=True)
class Admission:
    """Tokens that a workspace received."""

    at_s: float
    tokens: float
    owner: str = ""
    grant_id: str = ""
    incarnation: str = ""
    pooled: bool = True


def reserve(
    world: World, entry: str, grant_id: str, tokens: float, delay_s: float
) -> Admission | None:
    """Admit a request on an instance, as the admission filter does.

    :param delay_s: how long the answer takes to be acted on
    """
    own = INSTANCES[entry]
    for pooled in (True, False):
        scope = budgets.POOLED if pooled else own
        share = budgets.Share(WORKSPACE.name, scope)
        for owner in world.likely_owners(entry, share.resource):
            asked_s = world.now_s
            answers: list[messages.Message] = []
            message = messages.ReserveTokens(grant_id, WORKSPACE.name, tokens, tokens, pooled)
            world.ask(entry, owner, message, answers.append)
            granted = answers[0] if answers else None
            if not isinstance(granted, messages.TokensGranted):
                continue
            acted_s = asked_s + delay_s
            if delay_s > admission.GRANT_LIFE_S:
                return None
            at_s = acted_s + granted.start_in_s
            return Admission(at_s, tokens, owner, grant_id, granted.incarnation, pooled)
    return None
