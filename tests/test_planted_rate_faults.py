"""The rate limit checks detect faults that are planted in the code."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable

import pytest

from carawaydoor.coordination import budgets, core_events, ownership, state_machine, token_bucket
from tests import planted_faults, simulation, test_rate_limit

Scenario = Callable[[test_rate_limit.RateLimit], None]


def no_takeover_wait(patch: pytest.MonkeyPatch) -> None:
    """A new owner acts at once, while the earlier one may still act."""
    patch.setattr(ownership, "_takeover_pending", lambda *_: False)


def keep_buckets_after_lease_expiry(patch: pytest.MonkeyPatch) -> None:
    """An owner whose lease expired keeps its buckets, which refill until it owns them again."""
    patch.setattr(state_machine, "_drop_expired_ownership", lambda state, now_s: (state, []))


def start_with_full_bucket(patch: pytest.MonkeyPatch) -> None:
    """A new owner starts with a full bucket."""
    create = token_bucket.create
    patch.setattr(
        token_bucket, "create", lambda limit, now_s, level=0.0: create(limit, now_s, limit.burst)
    )


def return_credit_beyond_burst(patch: pytest.MonkeyPatch) -> None:
    """Unused tokens are returned on top of the refill since their grant."""
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
    """A standing share sends its surplus without debiting it."""
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


def owner_is_cut_off(machine: test_rate_limit.RateLimit) -> None:
    """The owner is cut off together with one other instance, and the platform replaces it."""
    cluster = machine.cluster
    owner = cluster.share_owner(budgets.POOLED)
    entry = next(
        each
        for each in simulation.DOMAIN_BY_INSTANCE
        if simulation.DOMAIN_BY_INSTANCE[each] != DOMAIN
    )
    others = [each for each in simulation.DOMAIN_BY_INSTANCE if each not in (owner, entry)]
    for each in simulation.DOMAIN_BY_INSTANCE:
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


def owner_is_paused_for_two_views(machine: test_rate_limit.RateLimit) -> None:
    """The owner is paused and replaced, its successor grants tokens, and it is listed again."""
    cluster = machine.cluster
    owner = cluster.share_owner(budgets.POOLED)
    others = [each for each in simulation.DOMAIN_BY_INSTANCE if each != owner]
    machine.pause(owner)
    machine.publish(set(others))
    machine.advance(40.0)
    for each in others:
        machine.spend(each)
    machine.publish(set(simulation.DOMAIN_BY_INSTANCE))
    cluster.simulated_by_id[owner].inbox.clear()
    machine.resume(owner)
    cluster.apply(owner, core_events.ViewArrived(cluster.view, cluster.now_s))
    for _ in range(12):
        machine.advance(0.5)
        for each in simulation.DOMAIN_BY_INSTANCE:
            machine.spend(each)
        machine.never_more_than_rate_and_burst()


def owner_dies(machine: test_rate_limit.RateLimit) -> None:
    """The owner grants all tokens and dies, and another instance takes over."""
    owner = machine.cluster.share_owner(budgets.POOLED)
    others = [each for each in simulation.DOMAIN_BY_INSTANCE if each != owner]
    machine.spend(others[0])
    machine.kill(owner)
    for _ in range(8):
        machine.advance(0.5)
        for each in others:
            machine.spend(each)
        machine.never_more_than_rate_and_burst()


def unused_tokens_come_back_late(machine: test_rate_limit.RateLimit) -> None:
    """Unused tokens are returned, once or twice, after the bucket has refilled."""
    for doubled in (False, True):
        machine.request("i1", 200.0, 0.0, 3)
        machine.advance(100.0)
        for each in simulation.DOMAIN_BY_INSTANCE:
            machine.spend(each)
        for _ in range(3):
            machine.settle(0.0, doubled)
        for each in simulation.DOMAIN_BY_INSTANCE:
            machine.spend(each)
        machine.never_more_than_rate_and_burst()


def all_shares_are_used(machine: test_rate_limit.RateLimit) -> None:
    """All tokens of every share are requested after the shares have moved their surplus."""
    machine.request("i1", 200.0, 0.0, 2)
    machine.advance(2.0)
    for each in simulation.DOMAIN_BY_INSTANCE:
        machine.spend(each)
    machine.never_more_than_rate_and_burst()


DOMAIN = simulation.DOMAIN_BY_INSTANCE["i1"]


CASES: tuple[tuple[planted_faults.PlantFault, Scenario], ...] = (
    (no_takeover_wait, owner_is_cut_off),
    (planted_faults.ignore_lease_expiry, owner_is_cut_off),
    (keep_buckets_after_lease_expiry, owner_is_paused_for_two_views),
    (start_with_full_bucket, owner_dies),
    (return_credit_beyond_burst, unused_tokens_come_back_late),
    (settle_twice, unused_tokens_come_back_late),
    (surplus_without_debit, all_shares_are_used),
    (whole_limit_per_share, all_shares_are_used),
)


@pytest.mark.parametrize(("plant_fault", "scenario"), CASES, ids=lambda each: each.__name__)
def test_rate_limit_check_finds(
    plant_fault: planted_faults.PlantFault, scenario: Scenario, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The bound holds in the scenario, but not with the planted fault."""
    scenario(test_rate_limit.RateLimit())
    plant_fault(monkeypatch)
    with pytest.raises(AssertionError, match="above rate and burst"):
        scenario(test_rate_limit.RateLimit())
