"""Where priorities differ, engines learn them and instances serve waiting requests by them."""

from __future__ import annotations

import dataclasses
import math
import time
from concurrent import futures

import pytest

from carawaydoor.platform import names
from carawaydoor.policy import entities, load
from tests.platform_side import router_harness
from tests.platform_side.fake_upstream import Behaviour
from tests.policy import builders

PREFILL, DECODE = entities.Stage.PREFILL, entities.Stage.DECODE
KV_TOKENS = builders.MODEL_SERVICE.engine_spec.kv_tokens
FILLING = load.Work(1, KV_TOKENS)
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


def test_waiting_generations_get_room_by_rank(harness):
    """Failure: all were woken when work ended, and whichever ran first took the room."""
    configure(harness, None, 9, 0)
    keys = {"9": "other-1", "5": router_harness.KEY, "0": "other-2"}
    decode = harness.add_upstream("d", DECODE)
    selector, queue = harness.instance.selector, harness.instance.urgency._queue
    # One request fits at a time.
    selector.load = load.Load({}, {"d": load.Work(1, int(KV_TOKENS * 0.85))})
    selector._peer_load_summed_s = math.inf
    selector.load.own_by_id["d"] = FILLING
    with futures.ThreadPoolExecutor(3) as callers:
        for number, key in enumerate(keys.values(), 1):
            callers.submit(lambda key: harness.stream(key=key).read(), key)
            deadline_s = time.monotonic() + 0.3
            while len(queue.waiting()) < number and time.monotonic() < deadline_s:
                time.sleep(0.001)
        assert len(queue.waiting()) == len(keys)
        selector.release("d", FILLING)
    assert told(decode) == ["0", "5", "9"]
    assert queue.waiting() == ()
