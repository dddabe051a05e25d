"""Ranks over modelled fleets with late reports, at twice what the engines can serve and more."""

from __future__ import annotations

import itertools

import pytest

from tests.policy import urgency_model

FLEETS = [(20, 12), (80, 45)]
LOAD_S = 12.0
END_S = 20.0
# A more urgent kind may be served less often by as much.
TOLERANCE = 0.05


def play(fleet, mix, factor, until_s=LOAD_S):
    capacity_per_s = fleet.capacity_per_s()

    def rates(now_s):
        if now_s >= until_s:
            return [0.0] * len(mix)
        return [capacity_per_s * factor * each / sum(mix) for each in mix]

    return fleet.run(rates, END_S)


def are_ordered(shares, tolerance=TOLERANCE):
    return all(more >= less - tolerance for more, less in itertools.pairwise(shares))


@pytest.mark.parametrize(("instances", "engines"), FLEETS)
def test_more_urgent_ranks_are_served_more_often_and_in_time(instances, engines):
    """Failure: the most urgent kind was served least often, as it waits for the shortest time."""
    fleet = urgency_model.Fleet(instances, engines)
    result = play(fleet, (1, 1, 2), 2.0)
    assert are_ordered(result.served_shares, tolerance=0.0)
    assert are_ordered(result.on_time_shares)
    assert result.on_time_shares[0] > 0.8
    assert result.served_shares[2] > result.served_share / 4
    loaded = fleet.fill_samples[300:1200]
    assert sum(loaded) / len(loaded) > 0.8


@pytest.mark.parametrize(("instances", "engines"), FLEETS)
def test_reserve_serves_the_most_urgent_rank_in_time_more_often(instances, engines):
    shares = [
        play(
            urgency_model.Fleet(instances, engines, reserves=reserves), (1, 1, 2), 2.0
        ).on_time_shares[0]
        for reserves in (False, True)
    ]
    assert shares[0] < shares[1]


@pytest.mark.parametrize(("instances", "engines"), FLEETS)
@pytest.mark.parametrize("seed", [1, 2])
def test_no_rank_starves_while_the_most_urgent_one_alone_exceeds_the_capacity(
    instances, engines, seed
):
    fleet = urgency_model.Fleet(instances, engines, seed)
    result = play(fleet, (3, 1, 1), 2.5, END_S)
    # The users ask for a quarter; without the floor, it is 0.16 to 0.24.
    assert min(result.served_shares) > 0.3 * result.served_share
    assert are_ordered(result.served_shares)


@pytest.mark.parametrize(("instances", "engines"), FLEETS)
def test_least_urgent_rank_alone_gets_all_memory(instances, engines):
    fleet = urgency_model.Fleet(instances, engines)
    play(fleet, (0, 0, 1), 2.0)
    assert all(not any((*reserves, *promoted)) for _, reserves, promoted in fleet.reserve_samples)
    loaded = fleet.fill_samples[300:1200]
    assert sum(loaded) / len(loaded) > 0.87


@pytest.mark.parametrize(("instances", "engines"), FLEETS)
def test_reserve_ends_within_seconds_after_the_demand(instances, engines):
    fleet = urgency_model.Fleet(instances, engines, callers_return=False)
    capacity_per_s = fleet.capacity_per_s()

    def rates(now_s):
        urgent_per_s = capacity_per_s / 2.0 if now_s < 6.0 else 0.0
        return [urgent_per_s, urgent_per_s, capacity_per_s]

    fleet.run(rates, 14.0)
    largest = [
        max(max(reserves) for at_s, reserves, _ in fleet.reserve_samples if first < at_s < last)
        for first, last in [(4.0, 6.0), (10.0, 11.0), (12.0, 14.0)]
    ]
    assert largest[0] > 0.07
    assert largest[1] < 0.03
    assert largest[2] == 0.0


def test_ranks_are_ordered_among_instances_that_hear_from_no_peer():
    result = play(urgency_model.Fleet(20, 12, peers=False), (1, 1, 2), 2.0)
    assert are_ordered(result.served_shares)
    assert are_ordered(result.on_time_shares)
