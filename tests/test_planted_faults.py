"""Each check fails where the fault that it is meant for is planted."""

from __future__ import annotations

import dataclasses
import json
from collections.abc import Callable

import expression
import hypothesis
import pytest
from hypothesis import stateful

from carawaydoor import (
    bucket,
    budgets,
    catalog,
    configuration,
    errors,
    events,
    idempotency,
    keyhome,
    membership,
    node,
    objects,
    poolhome,
    scheduler,
)
from carawaydoor import revision as revisions
from tests import faults, test_at_most_once, test_configuration, test_rate_limit, test_slots
from tests import world as worlds
from tools import keys

Plant = Callable[[pytest.MonkeyPatch], None]
Scenario = Callable[[test_rate_limit.RateLimit], None]
BookingScenario = Callable[[test_at_most_once.AtMostOnce], None]


def no_takeover_wait(patch: pytest.MonkeyPatch) -> None:
    """A new home begins at once, while the earlier one may still act."""
    patch.setattr(membership, "_takeover_pending", lambda *_: False)


def no_lease(patch: pytest.MonkeyPatch) -> None:
    """A home goes on although it can't know whether its view is current."""
    patch.setattr(membership, "has_lease", lambda state, now_s, fleet_wide=False: not state.leaving)


def no_drop_after_lapse(patch: pytest.MonkeyPatch) -> None:
    """A home that lost its lease keeps its buckets, and their refill, for when it is back."""
    patch.setattr(node, "_drop_homes", lambda state, now_s: (state, []))


def full_at_start(patch: pytest.MonkeyPatch) -> None:
    """A new home starts with a full bucket."""
    create = bucket.create
    patch.setattr(
        bucket, "create", lambda limit, now_s, level=0.0: create(limit, now_s, limit.burst)
    )


def credit_beyond_burst(patch: pytest.MonkeyPatch) -> None:
    """Unused tokens come back on top of the refill since their grant."""
    patch.setattr(bucket, "_displace", lambda credit_by_grant, room: credit_by_grant)


def settle_twice(patch: pytest.MonkeyPatch) -> None:
    """A repeated settlement returns its tokens again."""

    def settle(state: bucket.Bucket, now_s: float, grant_id: str, unused: float) -> bucket.Bucket:
        current = bucket.refill(state, now_s)
        return dataclasses.replace(current, level=current.level + unused)

    patch.setattr(bucket, "settle", settle)


def surplus_without_debit(patch: pytest.MonkeyPatch) -> None:
    """A standing share sends its surplus away and keeps it too."""
    withdraw = bucket.withdraw
    patch.setattr(
        bucket, "withdraw", lambda state, now_s, keep: (state, withdraw(state, now_s, keep)[1])
    )


def whole_limit_per_share(patch: pytest.MonkeyPatch) -> None:
    """Every share grants the whole limit of its workspace."""
    patch.setattr(
        budgets, "limit_of", lambda shares, share: shares.limit_by_workspace[share.workspace]
    )


def home_is_cut_off(machine: test_rate_limit.RateLimit) -> None:
    """The home is cut off with one caller, and the platform replaces it."""
    world = machine.world
    home = world.home(budgets.POOLED)
    entry = next(each for each in worlds.INSTANCES if worlds.INSTANCES[each] != DOMAIN)
    others = [each for each in worlds.INSTANCES if each not in (home, entry)]
    for each in worlds.INSTANCES:
        machine.spend(each)
    for each in others:
        machine.cut(home, each)
        machine.cut(entry, each)
    machine.platform_of_one(home, False)
    machine.platform_of_one(entry, False)
    machine.publish(set(others))
    for _ in range(12):
        machine.advance(0.5)
        for each in (entry, *others):
            machine.spend(each)
        machine.never_more_than_rate_and_burst()


def home_sleeps_through_two_views(machine: test_rate_limit.RateLimit) -> None:
    """The home is paused, replaced, used elsewhere and listed again before it wakes."""
    world = machine.world
    home = world.home(budgets.POOLED)
    others = [each for each in worlds.INSTANCES if each != home]
    machine.pause(home)
    machine.publish(set(others))
    machine.advance(40.0)
    for each in others:
        machine.spend(each)
    machine.publish(set(worlds.INSTANCES))
    world.machine_by_id[home].inbox.clear()
    machine.resume(home)
    world.apply(home, events.ViewArrived(world.view, world.now_s))
    for _ in range(12):
        machine.advance(0.5)
        for each in worlds.INSTANCES:
            machine.spend(each)
        machine.never_more_than_rate_and_burst()


def home_restarts(machine: test_rate_limit.RateLimit) -> None:
    """The home grants all it has, dies and starts again."""
    home = machine.world.home(budgets.POOLED)
    others = [each for each in worlds.INSTANCES if each != home]
    machine.spend(others[0])
    machine.kill(home)
    for _ in range(8):
        machine.advance(0.5)
        for each in others:
            machine.spend(each)
        machine.never_more_than_rate_and_burst()


def unused_tokens_come_back_late(machine: test_rate_limit.RateLimit) -> None:
    """Grants are returned, and returned again, after the bucket has filled anew."""
    for doubled in (False, True):
        machine.request("i1", 200.0, 0.0, 3)
        machine.advance(100.0)
        for each in worlds.INSTANCES:
            machine.spend(each)
        for _ in range(3):
            machine.settle(0.0, doubled)
        for each in worlds.INSTANCES:
            machine.spend(each)
        machine.never_more_than_rate_and_burst()


def all_shares_are_used(machine: test_rate_limit.RateLimit) -> None:
    """Every instance is asked for all it grants, after the shares have moved their surplus."""
    machine.request("i1", 200.0, 0.0, 2)
    machine.advance(2.0)
    for each in worlds.INSTANCES:
        machine.spend(each)
    machine.never_more_than_rate_and_burst()


DOMAIN = worlds.INSTANCES["i1"]
CASES: tuple[tuple[Plant, Scenario], ...] = (
    (no_takeover_wait, home_is_cut_off),
    (no_lease, home_is_cut_off),
    (no_drop_after_lapse, home_sleeps_through_two_views),
    (full_at_start, home_restarts),
    (credit_beyond_burst, unused_tokens_come_back_late),
    (settle_twice, unused_tokens_come_back_late),
    (surplus_without_debit, all_shares_are_used),
    (whole_limit_per_share, all_shares_are_used),
)


@pytest.mark.parametrize(("plant", "scenario"), CASES, ids=lambda each: each.__name__)
def test_rate_limit_check_finds(
    plant: Plant, scenario: Scenario, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The bound holds in the scenario, and breaks there under the planted fault."""
    scenario(test_rate_limit.RateLimit())
    plant(monkeypatch)
    with pytest.raises(AssertionError, match="above rate and burst"):
        scenario(test_rate_limit.RateLimit())


def vouch_for_every_key(patch: pytest.MonkeyPatch) -> None:
    """A home runs every key that it does not remember."""
    patch.setattr(idempotency, "vouches", lambda *_: None)


def believe_keys_from_the_future(patch: pytest.MonkeyPatch) -> None:
    """A home takes the time in a key as true, however far ahead it is."""
    vouches = idempotency.vouches

    def believing(
        key: str, wall_s: float, tenure_s: float, window: idempotency.Window
    ) -> errors.Kind | None:
        kind = vouches(key, wall_s, tenure_s, window)
        return None if kind is errors.Kind.IDEMPOTENCY_KEY_FROM_FUTURE else kind

    patch.setattr(idempotency, "vouches", believing)


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
    patch.setattr(keyhome, "_refusal_of_new_key", lambda *_: None)


def hand_over_no_records(patch: pytest.MonkeyPatch) -> None:
    """A leaving home hands over its tenure without its records."""
    patch.setattr(idempotency, "export", lambda *_: ())


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
    home = machine.home_of(machine.bookings[-1].key)
    machine.drain(home)
    entry = next(each for each in worlds.INSTANCES if each != home)
    machine.send(entry, 0)
    machine.run_one(0, "done")
    machine.nothing_ran_twice()


def paused_home_wakes_up(machine: test_at_most_once.AtMostOnce) -> None:
    """A new booking reaches a paused home and its successor, and the first one wakes."""
    machine.book_with_time(0.0)
    home = machine.home_of(machine.bookings[-1].key)
    stale = next(each for each in worlds.INSTANCES if worlds.INSTANCES[each] != DOMAIN)
    others = set(worlds.INSTANCES) - {home, stale}
    for each in others:
        machine.cut(stale, each)
    machine.platform_of_one(stale, False)
    machine.platform_of_one(home, False)
    machine.pause(home)
    machine.publish(others)
    machine.advance(8.0)
    machine.bookings[-1].key = keys.uuid7(machine.world.wall_s, machine.chance)
    while keyhome.key_partition(machine.bookings[-1].key) not in _partitions_of(machine, home):
        machine.bookings[-1].key = keys.uuid7(machine.world.wall_s, machine.chance)
    for entry in (stale, *sorted(others)):
        machine.send(entry, 0)
    machine.run_one(0, "done")
    machine.resume(home)
    machine.run_one(0, "done")
    machine.nothing_ran_twice()


def _partitions_of(machine: test_at_most_once.AtMostOnce, instance: str) -> set[str]:
    return set(machine.world.machine_by_id[instance].state.tenure_by_partition)


def _run_once_at_home(machine: test_at_most_once.AtMostOnce, outcome: str) -> None:
    machine.send("i1", 0)
    machine.run_one(0, outcome)


def _run_and_lose_home(machine: test_at_most_once.AtMostOnce, outcome: str) -> None:
    _run_once_at_home(machine, outcome)
    home = machine.home_of(machine.bookings[-1].key)
    machine.kill(home)
    entry = next(each for each in worlds.INSTANCES if each != home)
    for _ in range(12):
        machine.advance(0.5)
        machine.send(entry, 0)
        machine.run_one(0, outcome)
        machine.nothing_ran_twice()


BOOKING_CASES: tuple[tuple[Plant, BookingScenario], ...] = (
    (vouch_for_every_key, home_dies_and_caller_repeats),
    (believe_keys_from_the_future, caller_clock_is_ahead),
    (forget_unknown_outcomes, answer_is_lost),
    (run_keys_of_earlier_incarnations, issued_key_outlives_its_instance),
    (hand_over_no_records, home_leaves_gracefully),
    (no_lease, paused_home_wakes_up),
)


@pytest.mark.parametrize(("plant", "scenario"), BOOKING_CASES, ids=lambda each: each.__name__)
def test_at_most_once_check_finds(
    plant: Plant, scenario: BookingScenario, monkeypatch: pytest.MonkeyPatch
) -> None:
    """No booking runs twice in the scenario, and one does under the planted fault."""
    scenario(test_at_most_once.AtMostOnce())
    plant(monkeypatch)
    with pytest.raises(AssertionError, match="ran twice"):
        scenario(test_at_most_once.AtMostOnce())


def believe_lower_revisions(patch: pytest.MonkeyPatch) -> None:
    """An instance takes whatever revision it is offered, also a lower one."""
    patch.setattr(configuration, "number", lambda _: 0)


def force_before_all_has_arrived(patch: pytest.MonkeyPatch) -> None:
    """A revision comes in force with the parts that are there."""

    def load_what_is_there(
        revision: revisions.Revision,
    ) -> expression.Result[catalog.Catalog, revisions.RevisionFault]:
        parts = map(json.loads, revision.part_by_digest.values())
        items = [objects.ADAPTER.validate_python(each) for part in parts for each in part]
        return expression.Ok(catalog.assemble(items))

    patch.setattr(configuration, "missing", lambda _: ())
    patch.setattr(revisions, "load", load_what_is_there)


@pytest.mark.parametrize(
    "plant",
    [believe_lower_revisions, force_before_all_has_arrived],
    ids=lambda each: each.__name__,
)
def test_configuration_check_finds(plant: Plant, monkeypatch: pytest.MonkeyPatch) -> None:
    """The arrival of documents in any order breaks the promise under each planted fault."""
    plant(monkeypatch)
    settings = hypothesis.settings(
        faults.SETTINGS, phases=[hypothesis.Phase.generate], report_multiple_bugs=False
    )
    with pytest.raises(AssertionError):
        stateful.run_state_machine_as_test(test_configuration.Arrival, settings=settings)


def forget_silent_holders(patch: pytest.MonkeyPatch) -> None:
    """A lease ends when its holder was not heard for a moment."""
    patch.setattr(scheduler, "HOLD_S", 1.5)


def open_without_reports(patch: pytest.MonkeyPatch) -> None:
    """A new scheduler grants slots before it knows those in use."""
    patch.setattr(poolhome, "_all_reported", lambda *_: True)
    patch.setattr(scheduler, "renew", lambda state, *_: state)


SLOT_CASES: tuple[tuple[Plant, Callable[[], None]], ...] = (
    (forget_silent_holders, test_slots.test_slots_of_a_paused_holder_stay_taken),
    (open_without_reports, test_slots.test_new_home_learns_the_slots_in_use),
)


@pytest.mark.parametrize(("plant", "check"), SLOT_CASES, ids=lambda each: each.__name__)
def test_slots_check_finds(
    plant: Plant, check: Callable[[], None], monkeypatch: pytest.MonkeyPatch
) -> None:
    """An engine is overbooked under each planted fault."""
    plant(monkeypatch)
    with pytest.raises(AssertionError, match="runs 3 of 2"):
        check()
