"""A request that is not idempotent runs at most once, and is reported as not run only if it did
not run.
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
from carawaydoor.interface import errors, run_once_executor, service_handler
from tests import faults, simulation
from tools import idempotency_keys

DOMAIN = simulation.DOMAIN_BY_INSTANCE["i1"]
BODY = b"a body that must not be recorded"
RETRY_WINDOW_S = simulation.SERVICE.retry_window_s


@dataclasses.dataclass(slots=True)
class Booking:
    """A booking that callers retry."""

    key: str
    name: str
    first_sent_s: float | None = None
    confirmed: bool = False


class AtMostOnce(faults.Faults):
    """Bookings are sent and retried through any instance while faults occur."""

    def __init__(self) -> None:
        super().__init__()
        self.rng = random.Random(1)
        self.first_view = self.cluster.view
        self.bookings: list[Booking] = []
        self.run_count_by_operation: collections.Counter[str] = collections.Counter()
        self.cluster.advance(2.0)

    @stateful.rule(clock_off_s=st.sampled_from([0.0, 0.0, -3.0, 3.0]))
    def book_with_time(self, clock_off_s: float) -> None:
        """Create a key that carries its time of creation by the clock of the caller."""
        created_s = self.cluster.wall_s + clock_off_s
        self._add_booking_with_own_key(lambda: idempotency_keys.uuid7(created_s, self.rng))

    @stateful.rule()
    def book_without_time(self) -> None:
        """Create a key without a time of creation."""
        self._add_booking_with_own_key(lambda: f"key-{self.rng.getrandbits(32)}")

    @stateful.rule(instance=faults.instances)
    def book_with_issued_key(self, instance: str) -> None:
        """Get a key that an instance issues."""
        if not self.runs(instance):
            return
        state = self.cluster.simulated_by_id[instance].state
        nonce = idempotency.make_nonce(self.cluster.now_s, len(self.bookings))
        incarnation = state.membership.incarnation
        self._add_booking(idempotency.issue(instance, incarnation, nonce, "acme", state.secret))

    @stateful.rule(entry=faults.instances, which=st.integers(0, 3))
    def send(self, entry: str, which: int) -> None:
        """Send one of the newest bookings through an instance, within its retry window."""
        if not self.bookings or not self.runs(entry):
            return
        booking = self.bookings[-1 - which % len(self.bookings)]
        now_s = self.cluster.now_s
        if booking.first_sent_s is None:
            booking.first_sent_s = now_s
        if now_s - booking.first_sent_s > RETRY_WINDOW_S - 1.0:
            return
        message = messages.RunOnce(
            booking.key, "acme", simulation.SERVICE.name, "POST", "/b", "", BODY, booking.name
        )
        for owner in self._owners(entry, booking.key):
            self.cluster.ask(entry, owner, message, lambda each: self._check_answer(booking, each))

    @stateful.rule(which=st.integers(0, 3), outcome=st.sampled_from(["done", "lost", "refused"]))
    def run_one(self, which: int, outcome: str) -> None:
        """Let the upstream process one of the requested runs."""
        if not self.cluster.runs:
            return
        instance, incarnation, run = self.cluster.runs.pop(which % len(self.cluster.runs))
        simulated = self.cluster.simulated_by_id[instance]
        alive = simulated.alive and simulated.state.membership.incarnation == incarnation
        if not alive:
            return
        late = self.cluster.now_s - run.decided_s > run_once_executor.MAX_START_DELAY_S
        if simulated.paused or late or outcome == "refused":
            not_sent = errors.Kind.UPSTREAM_UNREACHABLE
            self.cluster.apply(instance, core_events.RunFinished(run, not_sent=not_sent))
            return
        self.run_count_by_operation[run.message.operation] += 1
        answer = messages.RunOnceAnswered(201, "", b"", False) if outcome == "done" else None
        self.cluster.apply(instance, core_events.RunFinished(run, answer))

    @stateful.invariant()
    def nothing_ran_twice(self) -> None:
        """No booking ran more than once."""
        twice = [name for name, number in self.run_count_by_operation.items() if number > 1]
        assert not twice, f"ran twice: {twice}"

    def owner_of(self, key: str) -> str:
        """Return the instance that owns a caller's own key."""
        partition = idempotency_owner.key_partition(key)
        return next(
            name
            for name, simulated in self.cluster.simulated_by_id.items()
            if partition in simulated.state.tenure_by_partition
        )

    def _add_booking_with_own_key(self, create_key: Callable[[], str]) -> None:
        """Add a booking whose key is owned by an instance of the domain with several instances."""
        key = create_key()
        while simulation.DOMAIN_BY_INSTANCE[self._first_owner(key)] != DOMAIN:
            key = create_key()
        self._add_booking(key)

    def _add_booking(self, key: str) -> None:
        self.bookings.append(Booking(key, f"b{len(self.bookings)}"))

    def _owners(self, entry: str, key: str) -> list[str]:
        issued = idempotency.parse_issued(key)
        if issued is not None:
            return [issued.instance]
        partition = idempotency_owner.key_partition(key)
        return list(self.cluster.likely_owners(entry, idempotency_owner.key_resource(partition)))

    def _first_owner(self, key: str) -> str:
        resource = idempotency_owner.key_resource(idempotency_owner.key_partition(key))
        return next(ownership.candidates(self.first_view, resource))

    def _check_answer(self, booking: Booking, answer: messages.Message) -> None:
        if isinstance(answer, messages.RunOnceAnswered):
            assert (
                self.run_count_by_operation[booking.name] > 0
            ), "answer for a booking that did not run"
            booking.confirmed = True
        if isinstance(answer, messages.RunOnceRefused):
            refusal = service_handler.run_once_refusal(errors.Kind(answer.kind))
            if refusal.ran is errors.Ran.NOT_RUN:
                assert (
                    self.run_count_by_operation[booking.name] == 0
                ), "a booking that ran was reported as not run"


TestAtMostOnce = AtMostOnce.TestCase
TestAtMostOnce.settings = faults.SETTINGS


def test_bookings_run_while_nothing_fails() -> None:
    """Keys of every kind run when no fault occurs; refusing all would meet the invariants too."""
    machine = AtMostOnce()
    machine.cluster.advance(RETRY_WINDOW_S)
    for entry in simulation.DOMAIN_BY_INSTANCE:
        machine.book_with_time(0.0)
        machine.book_without_time()
        machine.book_with_issued_key(entry)
        for which in range(3):
            machine.send(entry, which)
            machine.run_one(0, "done")
            machine.send("i1", which)
    assert sum(machine.run_count_by_operation.values()) == 3 * len(simulation.DOMAIN_BY_INSTANCE)
    assert all(each.confirmed for each in machine.bookings)
