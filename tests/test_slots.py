"""No decode slot is given to two requests, whatever happens to the schedulers."""

from __future__ import annotations

import collections
import dataclasses

from hypothesis import stateful
from hypothesis import strategies as st

from carawaydoor.coordination import core_events, messages, pool_owner
from tests import faults, simulation

POOL = "tiny"
DOMAIN = simulation.INSTANCES["i1"]


@dataclasses.dataclass(slots=True)
class Stream:
    """A request that an engine runs for an instance."""

    lease: messages.HeldLease
    holder: str
    incarnation: str
    owner: str


class Slots(faults.Faults):
    """Requests take and leave slots through any instance, under every fault."""

    def __init__(self) -> None:
        super().__init__()
        self.streams: list[Stream] = []
        self.numbers = 0
        self.granted = 0

    @stateful.rule(entry=faults.instances, queue_s=st.sampled_from([0.0, 1.0]))
    def acquire(self, entry: str, queue_s: float) -> None:
        """Ask for a slot through an instance."""
        if not self.runs(entry):
            return
        self.numbers += 1
        lease_id = f"l{self.numbers}"
        message = messages.AcquireSlot(lease_id, POOL, DOMAIN, "acme", 10, (), queue_s, (), entry)
        for owner in self.world.likely_owners(entry, pool_owner.pool_resource(POOL, DOMAIN)):
            answers: list[messages.Message] = []

            def take(answer: messages.Message, owner: str = owner) -> None:
                self._take(entry, owner, lease_id, answer)

            self.world.ask(entry, owner, message, take)
            if answers:
                break

    @stateful.rule(which=st.integers(0, 5))
    def finish(self, which: int) -> None:
        """End a request; its instance gives the slot back."""
        if not self.streams:
            return
        stream = self.streams.pop(which % len(self.streams))
        self.world.apply(stream.holder, core_events.LeaseDropped(stream.lease.lease_id))
        message = messages.ReleaseSlot(stream.lease.lease_id, POOL, DOMAIN, "")
        self.world.ask(stream.holder, stream.owner, message, lambda _: None)

    @stateful.invariant()
    def no_engine_is_overbooked(self) -> None:
        """No decode engine runs more requests than it has slots.

        A request whose instance has ended is not counted: its connection is closed, and the
        engine has cancelled it.
        """
        used: collections.Counter[str] = collections.Counter()
        for stream in self.streams:
            machine = self.world.machine_by_id[stream.holder]
            same = machine.state.membership.incarnation == stream.incarnation
            if machine.alive and same:
                used[stream.lease.decode] += 1
        for engine, number in used.items():
            slots = simulation.UPSTREAMS[engine].slots
            assert number <= slots, f"{engine} runs {number} of {slots}"

    def _take(self, entry: str, owner: str, lease_id: str, answer: messages.Message) -> None:
        if not isinstance(answer, messages.SlotGranted):
            return
        lease = messages.HeldLease(lease_id, POOL, DOMAIN, "acme", answer.decode)
        self.world.apply(entry, core_events.LeaseTaken(lease))
        incarnation = self.world.machine_by_id[entry].state.membership.incarnation
        self.streams.append(Stream(lease, entry, incarnation, owner))
        self.granted += 1


TestSlots = Slots.TestCase
TestSlots.settings = faults.SETTINGS


def test_slots_are_granted_while_nothing_fails() -> None:
    """The promise is not kept by refusing everything."""
    machine = Slots()
    machine.advance(2.0)
    for _ in range(10):
        for entry in simulation.INSTANCES:
            machine.acquire(entry, 0.0)
        machine.finish(0)
        machine.finish(0)
        machine.advance(0.5)
    assert machine.granted == 20


def _ready_with_full_engine() -> tuple[Slots, str, list[str]]:
    """Return a machine whose engine is full for one holder, its home and the other instances."""
    machine = Slots()
    machine.advance(2.0)
    owner = next(
        name
        for name, each in machine.world.machine_by_id.items()
        if each.state.scheduler_by_pool and simulation.INSTANCES[name] == DOMAIN
    )
    others = [each for each in simulation.INSTANCES if each != owner]
    machine.acquire(others[0], 0.0)
    machine.acquire(others[0], 0.0)
    assert machine.granted == 2
    return machine, owner, others


def test_slots_of_a_paused_holder_stay_taken() -> None:
    """The engine still runs the requests of a paused instance, so their slots stay taken."""
    machine, _, others = _ready_with_full_engine()
    machine.pause(others[0])
    for _ in range(8):
        machine.advance(1.0)
        machine.acquire(others[1], 0.0)
        machine.no_engine_is_overbooked()


def test_new_home_learns_the_slots_in_use() -> None:
    """A scheduler that starts after the death of another grants no slot that is in use."""
    machine, owner, others = _ready_with_full_engine()
    machine.kill(owner)
    for _ in range(12):
        machine.advance(0.5)
        machine.acquire(others[1], 0.0)
        machine.no_engine_is_overbooked()


def test_slots_of_a_dead_holder_are_freed() -> None:
    """The engine has cancelled the requests of a dead instance, so their slots are given anew."""
    machine, _, others = _ready_with_full_engine()
    machine.kill(others[0])
    machine.advance(1.0)
    machine.acquire(others[1], 0.0)
    assert machine.granted == 3


def test_queued_requests_move_when_their_home_leaves() -> None:
    """A request that is queued at a leaving home is sent on, not left to expire."""
    machine, owner, others = _ready_with_full_engine()
    answers: list[messages.Message] = []
    message = messages.AcquireSlot("lq", POOL, DOMAIN, "acme", 10, (), 1.0, (), others[1])
    machine.world.ask(others[1], owner, message, answers.append)
    machine.world.apply(owner, core_events.DrainStarted())
    assert [type(each) for each in answers] == [messages.NotHome]
