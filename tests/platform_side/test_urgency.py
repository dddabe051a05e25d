"""Where priorities differ, engines learn them and instances serve waiting requests by them."""

from __future__ import annotations

import dataclasses
import math
import time
from concurrent import futures

import pytest

from carawaydoor.fleet import codec
from carawaydoor.operating import clocks
from carawaydoor.platform import names
from carawaydoor.policy import capacity_wait, entities, load, upstream_directory, urgency
from tests.platform_side import router_harness
from tests.platform_side.fake_upstream import Behaviour
from tests.policy import builders, test_gossip

PREFILL, DECODE = entities.Stage.PREFILL, entities.Stage.DECODE
KV_TOKENS = builders.MODEL_SERVICE.engine_spec.kv_tokens
FILLING = load.Work(1, KV_TOKENS)
# Lets a request wait for 1.5 s at least, however slow the machine is.
LONG_TARGET_S = 3.0
FORGED = {names.Header.PRIORITY: "0"}


@pytest.fixture
def harness():
    with router_harness.running() as running:
        yield running


def configure(harness, *priorities, revision=7, target_s=0.9):
    """Let the caller's workspace have the first priority; the others are of further workspaces."""
    workspaces = {
        router_harness.KEY if number == 0 else f"other-{number}": dataclasses.replace(
            router_harness.WORKSPACE, name=f"w-{number}", priority=each
        )
        for number, each in enumerate(priorities)
    }
    routes = (
        dataclasses.replace(router_harness.STREAM, priority=5, target_s=target_s),
        dataclasses.replace(router_harness.RESUMABLE, priority=5),
    )
    harness.configure(*routes, revision=revision, workspace_by_key=workspaces)


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


def fill(harness, *, engines):
    """Let all engines be in use by peers, and the one with a server by this instance too."""
    full = {f"full-{number}": builders.decode(f"full-{number}") for number in range(engines - 1)}
    harness.instance.update_directory(upstream_directory.Changes(full, 2))
    used = dict.fromkeys(full, FILLING)
    selector = harness.instance.selector
    selector.load = load.Load({"d": FILLING}, {**used, "d": load.Work(1, int(KV_TOKENS * 0.85))})
    selector._peer_load_summed_s = math.inf


def wait_until(condition, for_s=1.0):
    deadline_s = time.monotonic() + for_s
    while not condition() and time.monotonic() < deadline_s:
        time.sleep(0.001)
    assert condition()


def test_waiting_generations_get_room_by_rank(harness):
    """Failure: all were woken when work ended, and whichever ran first took the room."""
    configure(harness, None, 9, 0, target_s=LONG_TARGET_S)
    decode = harness.add_upstream("d", DECODE)
    # There is room for one request at a time.
    fill(harness, engines=20)
    queue = harness.instance.urgency.queue
    with futures.ThreadPoolExecutor(3) as callers:
        for number, key in enumerate(["other-1", router_harness.KEY, "other-2"], 1):
            callers.submit(lambda key: harness.stream(key=key).read(), key)
            wait_until(lambda number=number: len(queue.waiting()) == number)
        harness.instance.selector.release("d", FILLING)
    assert told(decode) == ["0", "5", "9"]
    assert queue.waiting() == ()


@pytest.mark.parametrize("elsewhere", [False, True])
def test_generation_without_prospect_of_room_is_refused_at_once(elsewhere):
    """Failure: requests waited for half their target and were refused at its end."""
    # The clock stands still, so that a request that waits only ends when its caller leaves.
    with router_harness.running(clocks.ManualClock()) as harness:
        configure(harness, None, 0)
        harness.add_upstream("d", DECODE)
        fill(harness, engines=1)
        urgency_state = harness.instance.urgency
        if elsewhere:
            waiting = urgency.Demand("planner", 0, waiting_tokens=float(KV_TOKENS))
            harness.instance.handle_report(peer_report((waiting,)))
        else:
            urgency_state.queue.add(
                capacity_wait.Claim("planner", 0, 0, False, 0.0, 0, KV_TOKENS, None)
            )
        leaves_s = time.monotonic() + 2.0
        response = harness.stream(is_gone=lambda: time.monotonic() > leaves_s).read()
        assert response.status == 503
        assert 0.0 < float(response.headers["retry-after"]) <= 1.0
        refused = [
            each.priority for each in urgency_state.demands_to_report() if each.refused_per_s
        ]
        assert refused == [5]


def test_generation_waits_for_others_of_lower_rank_only_in_part(harness):
    configure(harness, 0, 5, target_s=LONG_TARGET_S)
    harness.add_upstream("d", DECODE)
    fill(harness, engines=1)
    harness.instance.handle_report(
        peer_report((urgency.Demand("planner", 5, 1e5, 1e5, 1e5, float(KV_TOKENS)),))
    )
    with futures.ThreadPoolExecutor(1) as callers:
        response = callers.submit(lambda: harness.stream().read())
        wait_until(lambda: len(harness.instance.urgency.queue.waiting()) == 1)
        harness.instance.selector.release("d", FILLING)
        assert response.result().status == 200


@pytest.mark.parametrize(("priorities", "status"), [((None, 0), 503), ((0, None), 200)])
def test_room_is_left_for_more_urgent_requests_elsewhere(priorities, status):
    with router_harness.running(clocks.ManualClock()) as harness:
        configure(harness, *priorities)
        harness.add_upstream("d", DECODE)
        fill(harness, engines=1)
        selector = harness.instance.selector
        selector.load = load.Load({}, {"d": load.Work(8, int(KV_TOKENS * 0.8))})
        short = urgency.Demand("planner", 0, 1e5, 1e5)
        harness.instance.handle_report(peer_report((short,)))
        leaves_s = time.monotonic() + 2.0
        response = harness.stream(is_gone=lambda: time.monotonic() > leaves_s).read()
        assert response.status == status
        assert time.monotonic() < leaves_s


def test_demand_is_reported_to_peers(harness):
    configure(harness, 2, None)
    harness.add_upstream("d", DECODE)
    harness.stream().read()
    report = codec.decode(codec.encode(harness.instance.compose_report()[0]))
    assert [(each.service, each.priority) for each in report.demands] == [("planner", 2)]
    assert report.demands[0].arrived_per_s == pytest.approx(3000.0, rel=0.5)
    assert report.demands[0].short_per_s == 0.0


def peer_report(demands):
    return dataclasses.replace(test_gossip.report(), demands=demands)


@pytest.mark.parametrize("priorities", [(None, 0), (None,)])
def test_waiting_request_outlives_a_configuration_with_fewer_priorities(harness, priorities):
    configure(harness, None, 3, 0, target_s=LONG_TARGET_S)
    harness.add_upstream("d", DECODE)
    fill(harness, engines=20)
    with futures.ThreadPoolExecutor(1) as callers:
        response = callers.submit(lambda: harness.stream().read())
        wait_until(lambda: len(harness.instance.urgency.queue.waiting()) == 1)
        configure(harness, *priorities, revision=8)
        # Some tries with the new configuration.
        time.sleep(0.15)
        harness.instance.selector.release("d", FILLING)
        assert response.result().status == 200
