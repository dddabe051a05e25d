"""No decode slot is granted to two requests, whatever happens to the schedulers."""

from __future__ import annotations

import collections
import dataclasses

from hypothesis import stateful
from hypothesis import strategies as st

from carawaydoor.coordination import core_events, messages, pool_owner
from tests import faults, simulation

POOL = "tiny"
DOMAIN = simulation.DOMAIN_BY_INSTANCE["i1"]


@dataclasses.dataclass(slots=True)
class Stream:
    """A request that a decode engine runs for an instance."""

    lease: messages.HeldLease
    holder: str
    incarnation: str
    owner: str


class Slots(faults.Faults):
    """Requests acquire and release slots through any instance while faults occur."""

    def __init__(self) -> None:
        super().__init__()
        self.streams: list[Stream] = []
        self.request_count = 0
        self.granted = 0

    @stateful.rule(entry=faults.instances, queue_s=st.sampled_from([0.0, 1.0]))
    def acquire(self, entry: str, queue_s: float) -> None:
        """Request a slot through an instance."""
        if not self.runs(entry):
            return
        self.request_count += 1
        lease_id = f"l{self.request_count}"
        message = messages.AcquireSlot(lease_id, POOL, DOMAIN, "acme", 10, (), queue_s, (), entry)
        for owner in self.cluster.likely_owners(entry, pool_owner.pool_resource(POOL, DOMAIN)):
            answers: list[messages.Message] = []

            def record_grant(answer: messages.Message, owner: str = owner) -> None:
                self._record_grant(entry, owner, lease_id, answer)

            self.cluster.ask(entry, owner, message, record_grant)
            if answers:
                break

    @stateful.rule(which=st.integers(0, 5))
    def finish(self, which: int) -> None:
        """End a request; its instance releases the slot."""
        if not self.streams:
            return
        stream = self.streams.pop(which % len(self.streams))
        self.cluster.apply(stream.holder, core_events.LeaseDropped(stream.lease.lease_id))
        message = messages.ReleaseSlot(stream.lease.lease_id, POOL, DOMAIN, "")
        self.cluster.ask(stream.holder, stream.owner, message, lambda _: None)

    @stateful.invariant()
    def no_engine_is_overbooked(self) -> None:
        """No decode engine runs more requests than it has slots.

        A request whose instance has stopped is not counted, because its connection is closed and
        the engine has cancelled it.
        """
        used: collections.Counter[str] = collections.Counter()
        for stream in self.streams:
            simulated = self.cluster.simulated_by_id[stream.holder]
            same = simulated.state.membership.incarnation == stream.incarnation
            if simulated.alive and same:
                used[stream.lease.decode] += 1
        for engine, number in used.items():
            slots = simulation.UPSTREAM_BY_ID[engine].slots
            assert number <= slots, f"{engine} runs {number} of {slots}"

    def _record_grant(
        self, entry: str, owner: str, lease_id: str, answer: messages.Message
    ) -> None:
        if not isinstance(answer, messages.SlotGranted):
            return
        lease = messages.HeldLease(lease_id, POOL, DOMAIN, "acme", answer.decode)
        self.cluster.apply(entry, core_events.LeaseTaken(lease))
        incarnation = self.cluster.simulated_by_id[entry].state.membership.incarnation
        self.streams.append(Stream(lease, entry, incarnation, owner))
        self.granted += 1


TestSlots = Slots.TestCase
TestSlots.settings = faults.SETTINGS


def test_slots_are_granted_while_nothing_fails() -> None:
    """Slots are granted when no fault occurs; refusing everything would meet the invariant too."""
    machine = Slots()
    machine.advance(2.0)
    for _ in range(10):
        for entry in simulation.DOMAIN_BY_INSTANCE:
            machine.acquire(entry, 0.0)
        machine.finish(0)
        machine.finish(0)
        machine.advance(0.5)
    assert machine.granted == 20


def _ready_with_full_engine() -> tuple[Slots, str, list[str]]:
    """Return a state machine with a full engine, the owner of the pool and the other instances.

    The first of the other instances holds all leases.
    """
    machine = Slots()
    machine.advance(2.0)
    owner = next(
        name
        for name, each in machine.cluster.simulated_by_id.items()
        if each.state.scheduler_by_pool and simulation.DOMAIN_BY_INSTANCE[name] == DOMAIN
    )
    others = [each for each in simulation.DOMAIN_BY_INSTANCE if each != owner]
    machine.acquire(others[0], 0.0)
    machine.acquire(others[0], 0.0)
    assert machine.granted == 2
    return machine, owner, others


def test_slots_of_a_paused_holder_stay_taken() -> None:
    """The engine still runs the requests of a paused instance, so their slots stay leased."""
    machine, _, others = _ready_with_full_engine()
    machine.pause(others[0])
    for _ in range(8):
        machine.advance(1.0)
        machine.acquire(others[1], 0.0)
        machine.no_engine_is_overbooked()


def test_new_owner_learns_the_slots_in_use() -> None:
    """A scheduler that replaces that of a dead instance grants no slot that is in use."""
    machine, owner, others = _ready_with_full_engine()
    machine.kill(owner)
    for _ in range(12):
        machine.advance(0.5)
        machine.acquire(others[1], 0.0)
        machine.no_engine_is_overbooked()


def test_slots_of_a_dead_holder_are_freed() -> None:
    """The engine cancels the requests of a dead instance, so their slots are granted again."""
    machine, _, others = _ready_with_full_engine()
    machine.kill(others[0])
    machine.advance(1.0)
    machine.acquire(others[1], 0.0)
    assert machine.granted == 3


def test_queued_requests_move_when_their_owner_leaves() -> None:
    """A draining owner refuses its queued requests at once instead of letting them expire."""
    machine, owner, others = _ready_with_full_engine()
    answers: list[messages.Message] = []
    message = messages.AcquireSlot("lq", POOL, DOMAIN, "acme", 10, (), 1.0, (), others[1])
    machine.cluster.ask(others[1], owner, message, answers.append)
    machine.cluster.apply(owner, core_events.DrainStarted())
    assert [type(each) for each in answers] == [messages.NotHome]
