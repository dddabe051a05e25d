"""A request never leaves the regions that its route and its workspace both allow."""

from __future__ import annotations

import dataclasses

import pytest

from carawaydoor.policy import allowed_regions, entities
from tests.policy import builders

REGION_BY_DOMAIN = {"a": "r1", "b": "r1", "c": "r2"}
R1, R2, NOTHING = frozenset({"r1"}), frozenset({"r2"}), frozenset()


@pytest.mark.parametrize(
    ("route", "workspace", "expected"),
    [
        (None, None, None),
        (R1, None, R1),
        (None, R2, R2),
        (R1 | R2, R2, R2),
        (R1, R2, NOTHING),
        (None, NOTHING, NOTHING),
    ],
)
def test_both_lists_are_binding(route, workspace, expected):
    assert allowed_regions.combine(route, workspace) == expected


def test_only_upstreams_in_allowed_regions_are_used():
    """A failure domain of unknown region is in none, so it is only used without a list."""
    upstreams = [builders.upstream(each, domain=each) for each in ("a", "b", "c", "unknown")]

    def used(regions):
        allowed = allowed_regions.allowed(regions, REGION_BY_DOMAIN, upstreams)
        return "".join(each.id[0] for each in allowed)

    assert [used(each) for each in (None, R1, R2, NOTHING)] == ["abcu", "ab", "c", ""]


@pytest.mark.parametrize(
    ("regions", "own_region", "peers"),
    [(None, "", "abcu"), (R2, "r1", "abc"), (R2, "", "c"), (NOTHING, "r2", "c"), (NOTHING, "", "")],
)
def test_peers_get_a_body_in_allowed_regions_and_in_that_of_the_caller(regions, own_region, peers):
    asked = "".join(
        domain[0]
        for domain in ("a", "b", "c", "unknown")
        if allowed_regions.allows_peer(regions, REGION_BY_DOMAIN, own_region, domain)
    )
    assert asked == peers


def test_configuration_in_force_counts_for_requests_that_came_before_it():
    former = builders.route(path_prefix="/r/")
    workspace = entities.Workspace("w", None, 0.0, 0.0, True, 1.0)
    narrowed = dataclasses.replace(former, allowed_regions=R1 | R2)
    bound = dataclasses.replace(workspace, allowed_regions=R2)

    def current(routes, workspace_by_key):
        configuration = entities.Configuration(
            2, 2, {"a.example": routes}, {}, workspace_by_key, entities.Limits(), True
        )
        return allowed_regions.current(
            configuration, "a.example", "/r/1", "k", dataclasses.replace(former), workspace
        )

    assert current((former,), {"k": workspace}) is None
    assert current((narrowed,), {"k": bound}) == R2
    assert current((narrowed,), {}) == R1 | R2, "a withdrawn key lifts nothing"
    assert current((), {"k": bound}) == R2


def test_names_that_are_no_regions_are_found():
    route = builders.route()
    routes = (dataclasses.replace(route, allowed_regions=frozenset({"r1", "typo"})), route)
    configuration = entities.Configuration(1, 1, {"h": routes}, {}, {}, entities.Limits(), False)
    assert allowed_regions.unknown(configuration, ["r1", "r2"]) == {"typo"}
