"""Which priority requests have, and which ranks follow from it."""

from __future__ import annotations

import dataclasses

import pytest

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
