"""Engines learn the priority of requests where it differs, and callers can't set it."""

from __future__ import annotations

import dataclasses

import pytest

from carawaydoor.platform import names
from carawaydoor.policy import entities
from tests.platform_side import router_harness
from tests.platform_side.fake_upstream import Behaviour

PREFILL, DECODE = entities.Stage.PREFILL, entities.Stage.DECODE
FORGED = {names.Header.PRIORITY: "0"}


@pytest.fixture
def harness():
    with router_harness.running() as running:
        yield running


def configure(harness, *priorities, route_priority=5):
    """Let the caller's workspace have the first priority; the others are of further workspaces."""
    workspaces = {
        router_harness.KEY if number == 0 else f"other-{number}": dataclasses.replace(
            router_harness.WORKSPACE, name=f"w-{number}", priority=each
        )
        for number, each in enumerate(priorities)
    }
    routes = (
        dataclasses.replace(router_harness.STREAM, priority=route_priority),
        dataclasses.replace(router_harness.RESUMABLE, priority=route_priority),
    )
    harness.configure(*routes, revision=7, workspace_by_key=workspaces)


def told(upstream):
    return [each.header(names.Header.PRIORITY) for each in upstream.received]


@pytest.mark.parametrize(
    ("priorities", "expected"),
    [((2, None), "2"), ((None, 2), "5"), ((None,), None), ((2, 2), None), ((40, 2), "9")],
)
def test_engines_are_told_the_priority_where_it_differs(harness, priorities, expected):
    configure(harness, *priorities)
    engines = [harness.add_upstream("p", PREFILL), harness.add_upstream("d", DECODE)]
    assert harness.stream(headers=FORGED).read().status == 200
    assert [told(each) for each in engines] == [[expected], [expected]]


def test_priority_is_told_where_a_broken_stream_goes_on(harness):
    configure(harness, 2, None)
    engines = [harness.add_upstream("d", DECODE), harness.add_upstream("e", DECODE)]
    for each in engines:
        each.behaviours = [Behaviour.BREAK_STREAM]
    harness.stream("/resumable/1").read()
    assert [each for engine in engines for each in told(engine)] == ["2", "2"]
