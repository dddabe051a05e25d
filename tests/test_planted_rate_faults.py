"""The checks of the rate limit fail where the fault that they are meant for is planted."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable

import pytest

from carawaydoor.coordination import budgets, core_events, ownership, state_machine, token_bucket
from tests import planted_faults, simulation, test_rate_limit

Scenario = Callable[[test_rate_limit.RateLimit], None]


def no_takeover_wait(patch: pytest.MonkeyPatch) -> None:
    """A new home begins at once, while the earlier one may still act."""
    patch.setattr(ownership, "_takeover_pending", lambda *_: False)


def no_drop_after_lapse(patch: pytest.MonkeyPatch) -> None:
    """A home that lost its lease keeps its buckets, and their refill, for when it is back."""
    patch.setattr(state_machine, "_drop_expired_ownership", lambda state, now_s: (state, []))


def full_at_start(patch: pytest.MonkeyPatch) -> None:
    """A new home starts with a full bucket."""
    create = token_bucket.create
    patch.setattr(
        token_bucket, "create", lambda limit, now_s, level=0.0: create(limit, now_s, limit.burst)
    )


def credit_beyond_burst(patch: pytest.MonkeyPatch) -> None:
    """Unused tokens come back on top of the refill since their grant."""
    patch.setattr(token_bucket, "_trim_credit", lambda credit_by_grant, room: credit_by_grant)


def settle_twice(patch: pytest.MonkeyPatch) -> None:
    """A repeated settlement returns its tokens again."""

    def settle(
        state: token_bucket.Bucket, now_s: float, grant_id: str, unused: float
    ) -> token_bucket.Bucket:
        current = token_bucket.refill(state, now_s)
        return dataclasses.replace(current, level=current.level + unused)

    patch.setattr(token_bucket, "settle", settle)


def surplus_without_debit(patch: pytest.MonkeyPatch) -> None:
    """A standing share sends its surplus away and keeps it too."""
    withdraw = token_bucket.withdraw
    patch.setattr(
        token_bucket,
        "withdraw",
        lambda state, now_s, keep: (state, withdraw(state, now_s, keep)[1]),
    )


def whole_limit_per_share(patch: pytest.MonkeyPatch) -> None:
    """Every share grants the whole limit of its workspace."""
    patch.setattr(
        budgets, "share_limit", lambda split, share: split.limit_by_workspace[share.workspace]
    )


def home_is_cut_off(machine: test_rate_limit.RateLimit) -> None:
    """The home is cut off with one caller, and the platform replaces it."""
    world = machine.world
    owner = world.share_owner(budgets.POOLED)
    entry = next(each for each in simulation.INSTANCES if simulation.INSTANCES[each] != DOMAIN)
    others = [each for each in simulation.INSTANCES if each not in (owner, entry)]
    for each in simulation.INSTANCES:
        machine.spend(each)
    for each in others:
        machine.cut(owner, each)
        machine.cut(entry, each)
    machine.platform_of_one(owner, False)
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
    owner = world.share_owner(budgets.POOLED)
    others = [each for each in simulation.INSTANCES if each != owner]
    machine.pause(owner)
    machine.publish(set(others))
    machine.advance(40.0)
    for each in others:
        machine.spend(each)
    machine.publish(set(simulation.INSTANCES))
    world.machine_by_id[owner].inbox.clear()
    machine.resume(owner)
    world.apply(owner, core_events.ViewArrived(world.view, world.now_s))
    for _ in range(12):
        machine.advance(0.5)
        for each in simulation.INSTANCES:
            machine.spend(each)
        machine.never_more_than_rate_and_burst()


def home_restarts(machine: test_rate_limit.RateLimit) -> None:
    """The home grants all it has, dies and starts again."""
    owner = machine.world.share_owner(budgets.POOLED)
    others = [each for each in simulation.INSTANCES if each != owner]
    machine.spend(others[0])
    machine.kill(owner)
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
        for each in simulation.INSTANCES:
            machine.spend(each)
        for _ in range(3):
            machine.settle(0.0, doubled)
        for each in simulation.INSTANCES:
            machine.spend(each)
        machine.never_more_than_rate_and_burst()


def all_shares_are_used(machine: test_rate_limit.RateLimit) -> None:
    """Every instance is asked for all it grants, after the shares have moved their surplus."""
    machine.request("i1", 200.0, 0.0, 2)
    machine.advance(2.0)
    for each in simulation.INSTANCES:
        machine.spend(each)
    machine.never_more_than_rate_and_burst()


DOMAIN = simulation.INSTANCES["i1"]


CASES: tuple[tuple[planted_faults.Plant, Scenario], ...] = (
    (no_takeover_wait, home_is_cut_off),
    (planted_faults.no_lease, home_is_cut_off),
    (no_drop_after_lapse, home_sleeps_through_two_views),
    (full_at_start, home_restarts),
    (credit_beyond_burst, unused_tokens_come_back_late),
    (settle_twice, unused_tokens_come_back_late),
    (surplus_without_debit, all_shares_are_used),
    (whole_limit_per_share, all_shares_are_used),
)


@pytest.mark.parametrize(("plant", "scenario"), CASES, ids=lambda each: each.__name__)
def test_rate_limit_check_finds(
    plant: planted_faults.Plant, scenario: Scenario, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The bound holds in the scenario, and breaks there under the planted fault."""
    scenario(test_rate_limit.RateLimit())
    plant(monkeypatch)
    with pytest.raises(AssertionError, match="above rate and burst"):
        scenario(test_rate_limit.RateLimit())
