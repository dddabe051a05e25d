"""The checks of at most once fail where the fault that they are meant for is planted."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from carawaydoor.coordination import idempotency, idempotency_owner
from carawaydoor.interface import errors
from tests import planted_faults, simulation, test_at_most_once
from tools import keys

BookingScenario = Callable[[test_at_most_once.AtMostOnce], None]


def vouch_for_every_key(patch: pytest.MonkeyPatch) -> None:
    """A home runs every key that it does not remember."""
    patch.setattr(idempotency, "check_first_use", lambda *_: None)


def believe_keys_from_the_future(patch: pytest.MonkeyPatch) -> None:
    """A home takes the time in a key as true, however far ahead it is."""
    check_first_use = idempotency.check_first_use

    def believing(
        key: str, wall_s: float, tenure_s: float, window: idempotency.RetryWindow
    ) -> errors.Kind | None:
        kind = check_first_use(key, wall_s, tenure_s, window)
        return None if kind is errors.Kind.IDEMPOTENCY_KEY_FROM_FUTURE else kind

    patch.setattr(idempotency, "check_first_use", believing)


def forget_unknown_outcomes(patch: pytest.MonkeyPatch) -> None:
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
    """An instance runs the keys that its earlier incarnation issued."""
    patch.setattr(idempotency_owner, "_refusal_of_new_key", lambda *_: None)


def hand_over_no_records(patch: pytest.MonkeyPatch) -> None:
    """A leaving home hands over its tenure without its records."""
    patch.setattr(idempotency, "export_records", lambda *_: ())


def home_dies_and_caller_repeats(machine: test_at_most_once.AtMostOnce) -> None:
    """A booking runs, its home dies, and the caller sends it again."""
    machine.book_with_time(0.0)
    _run_and_lose_home(machine, "done")


def caller_clock_is_ahead(machine: test_at_most_once.AtMostOnce) -> None:
    """The same with a key that was made on a clock three seconds ahead."""
    machine.book_with_time(3.0)
    _run_and_lose_home(machine, "done")


def issued_key_outlives_its_instance(machine: test_at_most_once.AtMostOnce) -> None:
    """An issued key is sent again after its instance has started anew."""
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
    """The upstream ran a booking but its answer was lost; the caller sends it again."""
    machine.book_with_time(0.0)
    for _ in range(2):
        machine.send("i2", 0)
        machine.run_one(0, "lost")
    machine.nothing_ran_twice()


def home_leaves_gracefully(machine: test_at_most_once.AtMostOnce) -> None:
    """A booking runs, its home leaves and hands over, and the caller sends it again."""
    machine.advance(test_at_most_once.RETRY_S)
    machine.book_with_time(0.0)
    _run_once_at_home(machine, "done")
    owner = machine.owner_of(machine.bookings[-1].key)
    machine.drain(owner)
    entry = next(each for each in simulation.INSTANCES if each != owner)
    machine.send(entry, 0)
    machine.run_one(0, "done")
    machine.nothing_ran_twice()


def paused_home_wakes_up(machine: test_at_most_once.AtMostOnce) -> None:
    """A new booking reaches a paused home and its successor, and the first one wakes."""
    machine.book_with_time(0.0)
    owner = machine.owner_of(machine.bookings[-1].key)
    stale = next(
        each
        for each in simulation.INSTANCES
        if simulation.INSTANCES[each] != test_at_most_once.DOMAIN
    )
    others = set(simulation.INSTANCES) - {owner, stale}
    for each in others:
        machine.cut(stale, each)
    machine.platform_of_one(stale, False)
    machine.platform_of_one(owner, False)
    machine.pause(owner)
    machine.publish(others)
    machine.advance(8.0)
    machine.bookings[-1].key = keys.uuid7(machine.world.wall_s, machine.chance)
    while idempotency_owner.key_partition(machine.bookings[-1].key) not in _partitions_of(
        machine, owner
    ):
        machine.bookings[-1].key = keys.uuid7(machine.world.wall_s, machine.chance)
    for entry in (stale, *sorted(others)):
        machine.send(entry, 0)
    machine.run_one(0, "done")
    machine.resume(owner)
    machine.run_one(0, "done")
    machine.nothing_ran_twice()


def _partitions_of(machine: test_at_most_once.AtMostOnce, instance: str) -> set[str]:
    return set(machine.world.machine_by_id[instance].state.tenure_by_partition)


def _run_once_at_home(machine: test_at_most_once.AtMostOnce, outcome: str) -> None:
    machine.send("i1", 0)
    machine.run_one(0, outcome)


def _run_and_lose_home(machine: test_at_most_once.AtMostOnce, outcome: str) -> None:
    _run_once_at_home(machine, outcome)
    owner = machine.owner_of(machine.bookings[-1].key)
    machine.kill(owner)
    entry = next(each for each in simulation.INSTANCES if each != owner)
    for _ in range(12):
        machine.advance(0.5)
        machine.send(entry, 0)
        machine.run_one(0, outcome)
        machine.nothing_ran_twice()


BOOKING_CASES: tuple[tuple[planted_faults.Plant, BookingScenario], ...] = (
    (vouch_for_every_key, home_dies_and_caller_repeats),
    (believe_keys_from_the_future, caller_clock_is_ahead),
    (forget_unknown_outcomes, answer_is_lost),
    (run_keys_of_earlier_incarnations, issued_key_outlives_its_instance),
    (hand_over_no_records, home_leaves_gracefully),
    (planted_faults.no_lease, paused_home_wakes_up),
)


@pytest.mark.parametrize(("plant", "scenario"), BOOKING_CASES, ids=lambda each: each.__name__)
def test_at_most_once_check_finds(
    plant: planted_faults.Plant, scenario: BookingScenario, monkeypatch: pytest.MonkeyPatch
) -> None:
    """No booking runs twice in the scenario, and one does under the planted fault."""
    scenario(test_at_most_once.AtMostOnce())
    plant(monkeypatch)
    with pytest.raises(AssertionError, match="ran twice"):
        scenario(test_at_most_once.AtMostOnce())
