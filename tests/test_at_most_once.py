"""A request that is not idempotent runs at most once, and "not run" is only said of one that
did not.
"""

from __future__ import annotations

import collections
import dataclasses
import random
from collections.abc import Callable

from hypothesis import stateful
from hypothesis import strategies as st

from carawaydoor.coordination import (
    core_events,
    idempotency,
    idempotency_owner,
    messages,
    ownership,
)
from carawaydoor.interface import errors, plainserving, runner
from tests import faults, simulation
from tools import keys

DOMAIN = simulation.INSTANCES["i1"]
BODY = b"a body that must not be recorded"
RETRY_S = simulation.SERVICE.retry_window_s


@dataclasses.dataclass(slots=True)
class Booking:
    """A booking that callers send again."""

    key: str
    name: str
    first_sent_s: float | None = None
    confirmed: bool = False


class AtMostOnce(faults.Faults):
    """Bookings sent and sent again through any instance, under every fault."""

    def __init__(self) -> None:
        super().__init__()
        self.chance = random.Random(1)
        self.first_view = self.world.view
        self.bookings: list[Booking] = []
        self.ran: collections.Counter[str] = collections.Counter()
        self.world.advance(2.0)

    @stateful.rule(clock_off_s=st.sampled_from([0.0, 0.0, -3.0, 3.0]))
    def book_with_time(self, clock_off_s: float) -> None:
        """Make a key that carries the time of its making on the caller's clock."""
        made_s = self.world.wall_s + clock_off_s
        self._add_key(lambda: keys.uuid7(made_s, self.chance))

    @stateful.rule()
    def book_without_time(self) -> None:
        """Make a key that says nothing about its age."""
        self._add_key(lambda: f"key-{self.chance.getrandbits(32)}")

    @stateful.rule(instance=faults.instances)
    def book_with_issued_key(self, instance: str) -> None:
        """Take a key from an instance."""
        if not self.runs(instance):
            return
        state = self.world.machine_by_id[instance].state
        nonce = idempotency.make_nonce(self.world.now_s, len(self.bookings))
        incarnation = state.membership.incarnation
        self._add(idempotency.issue(instance, incarnation, nonce, "acme", state.secret))

    @stateful.rule(entry=faults.instances, which=st.integers(0, 3))
    def send(self, entry: str, which: int) -> None:
        """Send one of the newest bookings through an instance, as a caller may."""
        if not self.bookings or not self.runs(entry):
            return
        booking = self.bookings[-1 - which % len(self.bookings)]
        now_s = self.world.now_s
        if booking.first_sent_s is None:
            booking.first_sent_s = now_s
        if now_s - booking.first_sent_s > RETRY_S - 1.0:
            return
        message = messages.RunOnce(
            booking.key, "acme", simulation.SERVICE.name, "POST", "/b", "", BODY, booking.name
        )
        for owner in self._owners(entry, booking.key):
            self.world.ask(entry, owner, message, lambda each: self._answer(booking, each))

    @stateful.rule(which=st.integers(0, 3), outcome=st.sampled_from(["done", "lost", "refused"]))
    def run_one(self, which: int, outcome: str) -> None:
        """Let the upstream meet one of the runs that were asked for."""
        if not self.world.runs:
            return
        instance, incarnation, run = self.world.runs.pop(which % len(self.world.runs))
        machine = self.world.machine_by_id[instance]
        alive = machine.alive and machine.state.membership.incarnation == incarnation
        if not alive:
            return
        late = self.world.now_s - run.decided_s > runner.MAX_START_DELAY_S
        if machine.paused or late or outcome == "refused":
            not_sent = errors.Kind.UPSTREAM_UNREACHABLE
            self.world.apply(instance, core_events.RunFinished(run, not_sent=not_sent))
            return
        self.ran[run.message.operation] += 1
        answer = messages.RunOnceAnswered(201, "", b"", False) if outcome == "done" else None
        self.world.apply(instance, core_events.RunFinished(run, answer))

    @stateful.invariant()
    def nothing_ran_twice(self) -> None:
        """No booking ran more than once."""
        twice = [name for name, number in self.ran.items() if number > 1]
        assert not twice, f"ran twice: {twice}"

    def owner_of(self, key: str) -> str:
        """Return the instance that holds a caller's own key."""
        partition = idempotency_owner.key_partition(key)
        return next(
            name
            for name, machine in self.world.machine_by_id.items()
            if partition in machine.state.tenure_by_partition
        )

    def _add_key(self, make: Callable[[], str]) -> None:
        """Add a booking whose key belongs to the domain with several instances."""
        key = make()
        while simulation.INSTANCES[self._owner(key)] != DOMAIN:
            key = make()
        self._add(key)

    def _add(self, key: str) -> None:
        self.bookings.append(Booking(key, f"b{len(self.bookings)}"))

    def _owners(self, entry: str, key: str) -> list[str]:
        issued = idempotency.parse_issued(key)
        if issued is not None:
            return [issued.instance]
        partition = idempotency_owner.key_partition(key)
        return list(self.world.likely_owners(entry, idempotency_owner.key_resource(partition)))

    def _owner(self, key: str) -> str:
        resource = idempotency_owner.key_resource(idempotency_owner.key_partition(key))
        return next(ownership.candidates(self.first_view, resource))

    def _answer(self, booking: Booking, answer: messages.Message) -> None:
        if isinstance(answer, messages.RunOnceAnswered):
            assert self.ran[booking.name] > 0, "an answer of a booking that did not run"
            booking.confirmed = True
        if isinstance(answer, messages.RunOnceRefused):
            refusal = plainserving.outcome(errors.Kind(answer.kind))
            if refusal.ran is errors.Ran.NOT_RUN:
                assert self.ran[booking.name] == 0, "not_run was said of a booking that ran"


TestAtMostOnce = AtMostOnce.TestCase
TestAtMostOnce.settings = faults.SETTINGS


def test_bookings_run_while_nothing_fails() -> None:
    """The promise is not kept by refusing everything: keys of every kind run."""
    machine = AtMostOnce()
    machine.world.advance(RETRY_S)
    for entry in simulation.INSTANCES:
        machine.book_with_time(0.0)
        machine.book_without_time()
        machine.book_with_issued_key(entry)
        for which in range(3):
            machine.send(entry, which)
            machine.run_one(0, "done")
            machine.send("i1", which)
    assert sum(machine.ran.values()) == 3 * len(simulation.INSTANCES)
    assert all(each.confirmed for each in machine.bookings)
