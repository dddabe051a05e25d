"""Which priority requests have, which ranks follow from it, and what ranks leave to each other."""

from __future__ import annotations

import dataclasses

import pytest
from hypothesis import given
from hypothesis import strategies as st

from carawaydoor.policy import entities, urgency
from tests.policy import builders


def workspace(name, priority=None):
    return entities.Workspace(name, priority, 0.0, 0.0, True, 200.0)


def configuration(routes, workspaces=(), has_workspaces=True):
    services = {each.name: each for each in (builders.MODEL_SERVICE, builders.PLAIN_SERVICE)}
    by_key = {each.name: each for each in workspaces}
    limits = entities.Limits()
    return entities.Configuration(
        1, 1, {"a": tuple(routes)}, services, by_key, limits, has_workspaces
    )


def route(priority, service="planner", **changes):
    return dataclasses.replace(builders.route(service=service), priority=priority, **changes)


def test_workspace_overrides_the_priority_of_the_route():
    assert urgency.priority_of(route(3), workspace("w", 0)) == 0
    assert urgency.priority_of(route(3), workspace("w")) == 3
    assert urgency.priority_of(route(3), None) == 3


@pytest.mark.parametrize(
    ("routes", "workspaces", "expected"),
    [
        ([route(5)], [workspace("w")], {}),
        ([route(5), route(2)], [workspace("w", 4)], {}),
        ([route(5), route(2)], [workspace("w")], {"planner": (2, 5)}),
        (
            [route(5)],
            [workspace("v", 9), workspace("w"), workspace("x", 0)],
            {"planner": (0, 5, 9)},
        ),
        ([route(5, is_open_to_all=True), route(2)], [workspace("w", 4)], {"planner": (4, 5)}),
        ([route(5, "bookings"), route(2, "bookings")], [workspace("w")], {}),
        ([route(5), route(2, "unknown"), route(3, "unknown")], [workspace("w")], {}),
        ([route(5), route(2, shares=())], [workspace("w")], {}),
    ],
)
def test_only_services_of_engines_with_several_priorities_have_ranks(routes, workspaces, expected):
    assert urgency.priorities_by_service(configuration(routes, workspaces)) == expected


def test_priorities_are_those_of_routes_where_no_request_needs_a_key():
    found = urgency.priorities_by_service(configuration([route(5), route(2)], (), False))
    assert found == {"planner": (2, 5)}


def test_request_of_an_earlier_configuration_has_a_rank():
    assert [urgency.rank((0, 4, 9), each) for each in (0, 4, 9, 2, 10, -1)] == [0, 1, 2, 1, 2, 0]


AMOUNTS = st.floats(0.0, 1e7)
DEMANDS = st.lists(
    st.builds(urgency.Demand, st.just("planner"), st.just(0), AMOUNTS, AMOUNTS, AMOUNTS, AMOUNTS),
    min_size=2,
    max_size=10,
)


@given(DEMANDS, st.floats(0.0, 1e8))
def test_reserves_are_bounded_and_never_fall_with_the_rank(demands, memory_tokens):
    shares = urgency.reserve_shares(demands, memory_tokens)
    assert (len(shares), shares[0]) == (len(demands), 0.0)
    assert list(shares) == sorted(shares)
    assert shares[-1] <= urgency.MAX_RESERVE_SHARE
    kept = [
        urgency.reserve_of(shares, rank, late)
        for rank in range(len(shares))
        for late in (0.0, 0.12)
    ]
    assert kept == sorted(kept)
    assert kept[-1] >= 0.12


@given(DEMANDS)
def test_promoted_part_is_at_most_the_floor(demands):
    assert all(0.0 <= each <= urgency.MAX_FLOOR_SHARE for each in urgency.promoted_shares(demands))


def demand(arrived, short=0.0, refused=0.0):
    return urgency.Demand("planner", 0, arrived, short, refused)


def test_nothing_is_reserved_without_more_urgent_requests_that_found_no_room():
    """A reserve without need would leave memory unused."""
    assert urgency.reserve_shares([demand(9e5), demand(9e5, 9e5, 9e5)], 1e6) == (0.0, 0.0)


def test_reserve_is_in_proportion_to_what_more_urgent_requests_bring():
    few, many = (
        urgency.reserve_shares([demand(each, each), demand(9e5)], 1e6)[1] for each in (1e3, 1e4)
    )
    assert (few, many) == (pytest.approx(0.0005), pytest.approx(0.005))


def test_rank_is_promoted_only_while_it_is_served_far_less_than_all():
    fair = [demand(100.0, refused=20.0), demand(100.0, refused=60.0)]
    starved = [demand(100.0, refused=20.0), demand(100.0, refused=95.0)]
    assert urgency.promoted_shares(fair) == (0.0, 0.0)
    assert urgency.promoted_shares(starved)[0] == 0.0
    assert urgency.promoted_shares(starved)[1] > 0.1
