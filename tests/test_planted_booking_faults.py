"""The at-most-once checks detect faults that are planted in the code."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from carawaydoor.coordination import idempotency, idempotency_owner
from carawaydoor.interface import errors
from tests import planted_faults, simulation, test_at_most_once
from tools import idempotency_keys

BookingScenario = Callable[[test_at_most_once.AtMostOnce], None]


def accept_every_unknown_key(patch: pytest.MonkeyPatch) -> None:
    """An owner runs every key that it has no record of."""
    patch.setattr(idempotency, "check_first_use", lambda *_: None)


def accept_keys_from_the_future(patch: pytest.MonkeyPatch) -> None:
    """An owner trusts the time in a key, however far it lies in the future."""
    check_first_use = idempotency.check_first_use

    def accepting(
        key: str, wall_s: float, tenure_s: float, window: idempotency.RetryWindow
    ) -> errors.Kind | None:
        kind = check_first_use(key, wall_s, tenure_s, window)
        return None if kind is errors.Kind.IDEMPOTENCY_KEY_FROM_FUTURE else kind

    patch.setattr(idempotency, "check_first_use", accepting)


def treat_unknown_outcomes_as_not_sent(patch: pytest.MonkeyPatch) -> None:
    """A run whose answer was lost counts as not sent."""
    finish = idempotency.finish
    patch.setattr(
        idempotency,
        "finish",
        lambda state, workspace, key, answer: (
            finish(state, workspace, key, answer)
            if answer
            else idempotency.cancel(state, workspace, key)
        ),
    )


def run_keys_of_earlier_incarnations(patch: pytest.MonkeyPatch) -> None:
    """An instance runs keys that an earlier incarnation issued."""
    patch.setattr(idempotency_owner, "_refusal_of_new_key", lambda *_: None)


def hand_over_no_records(patch: pytest.MonkeyPatch) -> None:
    """A draining owner hands over its tenure without its records."""
    patch.setattr(idempotency, "export_records", lambda *_: ())


def owner_dies_and_caller_retries(machine: test_at_most_once.AtMostOnce) -> None:
    """A booking runs, its owner dies, and the caller retries."""
    machine.book_with_time(0.0)
    _run_and_kill_owner(machine, "done")


def caller_clock_is_ahead(machine: test_at_most_once.AtMostOnce) -> None:
    """The same with a key that was created by a clock three seconds ahead."""
    machine.book_with_time(3.0)
    _run_and_kill_owner(machine, "done")


def issued_key_outlives_its_instance(machine: test_at_most_once.AtMostOnce) -> None:
    """An issued key is sent again after its instance has restarted."""
    machine.book_with_issued_key("i1")
    machine.send("i2", 0)
    machine.run_one(0, "done")
    machine.kill("i1")
    machine.restart("i1")
    machine.advance(4.0)
    machine.send("i2", 0)
    machine.run_one(0, "done")
    machine.nothing_ran_twice()


def answer_is_lost(machine: test_at_most_once.AtMostOnce) -> None:
    """The upstream ran a booking but its answer was lost, and the caller retries."""
    machine.book_with_time(0.0)
    for _ in range(2):
        machine.send("i2", 0)
        machine.run_one(0, "lost")
    machine.nothing_ran_twice()


def owner_drains(machine: test_at_most_once.AtMostOnce) -> None:
    """A booking runs, its owner drains and hands over, and the caller retries."""
    machine.advance(test_at_most_once.RETRY_WINDOW_S)
    machine.book_with_time(0.0)
    _run_once_at_owner(machine, "done")
    owner = machine.owner_of(machine.bookings[-1].key)
    machine.drain(owner)
    entry = next(each for each in simulation.DOMAIN_BY_INSTANCE if each != owner)
    machine.send(entry, 0)
    machine.run_one(0, "done")
    machine.nothing_ran_twice()


def paused_owner_resumes(machine: test_at_most_once.AtMostOnce) -> None:
    """A new booking reaches a paused owner and its successor, and the paused one resumes."""
    machine.book_with_time(0.0)
    owner = machine.owner_of(machine.bookings[-1].key)
    stale = next(
        each
        for each in simulation.DOMAIN_BY_INSTANCE
        if simulation.DOMAIN_BY_INSTANCE[each] != test_at_most_once.DOMAIN
    )
    others = set(simulation.DOMAIN_BY_INSTANCE) - {owner, stale}
    for each in others:
        machine.cut(stale, each)
    machine.platform_of_one(stale, False)
    machine.platform_of_one(owner, False)
    machine.pause(owner)
    machine.publish(others)
    machine.advance(8.0)
    machine.bookings[-1].key = idempotency_keys.uuid7(machine.cluster.wall_s, machine.rng)
    while idempotency_owner.key_partition(machine.bookings[-1].key) not in _partitions_of(
        machine, owner
    ):
        machine.bookings[-1].key = idempotency_keys.uuid7(machine.cluster.wall_s, machine.rng)
    for entry in (stale, *sorted(others)):
        machine.send(entry, 0)
    machine.run_one(0, "done")
    machine.resume(owner)
    machine.run_one(0, "done")
    machine.nothing_ran_twice()


def _partitions_of(machine: test_at_most_once.AtMostOnce, instance: str) -> set[str]:
    return set(machine.cluster.simulated_by_id[instance].state.tenure_by_partition)


def _run_once_at_owner(machine: test_at_most_once.AtMostOnce, outcome: str) -> None:
    machine.send("i1", 0)
    machine.run_one(0, outcome)


def _run_and_kill_owner(machine: test_at_most_once.AtMostOnce, outcome: str) -> None:
    _run_once_at_owner(machine, outcome)
    owner = machine.owner_of(machine.bookings[-1].key)
    machine.kill(owner)
    entry = next(each for each in simulation.DOMAIN_BY_INSTANCE if each != owner)
    for _ in range(12):
        machine.advance(0.5)
        machine.send(entry, 0)
        machine.run_one(0, outcome)
        machine.nothing_ran_twice()


BOOKING_CASES: tuple[tuple[planted_faults.PlantFault, BookingScenario], ...] = (
    (accept_every_unknown_key, owner_dies_and_caller_retries),
    (accept_keys_from_the_future, caller_clock_is_ahead),
    (treat_unknown_outcomes_as_not_sent, answer_is_lost),
    (run_keys_of_earlier_incarnations, issued_key_outlives_its_instance),
    (hand_over_no_records, owner_drains),
    (planted_faults.ignore_lease_expiry, paused_owner_resumes),
)


@pytest.mark.parametrize(("plant_fault", "scenario"), BOOKING_CASES, ids=lambda each: each.__name__)
def test_at_most_once_check_finds(
    plant_fault: planted_faults.PlantFault,
    scenario: BookingScenario,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """No booking runs twice in the scenario, but one does with the planted fault."""
    scenario(test_at_most_once.AtMostOnce())
    plant_fault(monkeypatch)
    with pytest.raises(AssertionError, match="ran twice"):
        scenario(test_at_most_once.AtMostOnce())
