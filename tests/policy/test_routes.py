"""Routes, the choice of services, freshness proofs and the local retry budget."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from carawaydoor.policy import entities, freshness, local_retry_budget, routes
from tests.policy import builders


def configuration(*each):
    ordered = tuple(sorted(each, key=lambda one: len(one.path_prefix), reverse=True))
    return entities.Configuration(1, 1, {"a.example": ordered}, {}, {}, entities.Limits(), False)


SHORT = builders.route(path_prefix="/r/")
LONG = builders.route(path_prefix="/r/x/")


@pytest.mark.parametrize(
    "host, path, expected",
    [
        ("a.example", "/r/1", SHORT),
        ("A.Example", "/r/1", SHORT),
        ("a.example:8080", "/r/x/1", LONG),
        ("a.example", "/r/x", SHORT),
        ("a.example", "/r", None),
        ("a.example", "/", None),
        ("b.example", "/r/1", None),
        ("", "/r/1", None),
    ],
)
def test_route_with_the_longest_prefix_of_the_host_matches(host, path, expected):
    assert routes.match(configuration(SHORT, LONG), host, path) == expected


@given(st.floats(0.0, 1.0), st.lists(st.floats(0.0, 10.0), min_size=1, max_size=4))
def test_service_is_drawn_by_weight_and_never_without_one(draw, weights):
    shares = tuple(entities.TrafficShare(str(i), weight) for i, weight in enumerate(weights))
    route = entities.Route(
        "r", "h", "/", entities.RouteKind.IDEMPOTENT, shares, 1.0, 1.0, 1.0, 0, 1, False
    )
    chosen = routes.choose_service(route, draw)
    if sum(weights) <= 0.0:
        assert chosen is None
    else:
        assert weights[int(chosen)] > 0.0


def test_proof_of_an_older_revision_is_ignored():
    state = freshness.record_proof(freshness.Freshness(), 7, 10.0)
    assert freshness.record_proof(state, 6, 20.0) == state
    assert freshness.record_proof(state, 7, 9.0) == state
    assert freshness.record_proof(state, 8, 9.0).proven_s == 9.0


def test_keys_are_accepted_only_shortly_after_a_proof():
    state = freshness.record_proof(freshness.Freshness(), 7, 10.0)
    assert freshness.may_accept_keys(state, 14.0, 5.0)
    assert not freshness.may_accept_keys(state, 14.5, 5.0)
    assert not freshness.may_accept_keys(freshness.Freshness(), 0.0, 5.0)


@given(st.lists(st.booleans(), max_size=200))
def test_retries_stay_within_ratio_and_capacity(steps):
    state = local_retry_budget.create(0.2, 3.0)
    attempts = taken = 0
    for is_attempt in steps:
        if is_attempt:
            attempts += 1
            state = local_retry_budget.record_attempt(state)
        else:
            state, allowed = local_retry_budget.take(state)
            taken += allowed
    assert taken <= 3.0 + 0.2 * attempts


def test_proofs_of_a_revision_are_ignored_once_a_newer_one_exists():
    state = freshness.record_revision(freshness.record_proof(freshness.Freshness(), 7, 10.0), 8)
    assert freshness.age_s(state, 11.0) == 1.0, "the earlier proof still counts"
    assert freshness.record_proof(state, 7, 20.0) == state
    assert freshness.record_proof(state, 8, 20.0).proven_s == 20.0
    assert freshness.record_revision(state, 7) == state
