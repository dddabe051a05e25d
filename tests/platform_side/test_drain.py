"""A stopping instance begins nothing that its exit would cut off.

Reported by other operators: requests that came late in the grace period of a planned stop were passed on,
and cut off at its end without an answer.
"""

from __future__ import annotations

import threading

import pytest

from carawaydoor.operating import clocks
from carawaydoor.platform import names
from carawaydoor.policy import drain, entities, load
from carawaydoor.serving import upstream_limiter
from tests.platform_side import harness_fleet, router_harness
from tests.platform_side.fake_upstream import Behaviour

DECODE = entities.Stage.DECODE
GRACE_S = 8.0


@pytest.fixture
def harness():
    with router_harness.running() as running:
        yield running


def stop(harness, ago_s):
    """Have an instance be told to stop some seconds ago."""
    harness.instance.drain_started_s = harness.clock.now_s() - ago_s


def test_stream_that_waited_for_an_engine_does_not_begin_late(harness):
    engine = harness.add_upstream("d", DECODE)
    instance = harness.instance
    prompt = entities.Prompt(5000, 2000, 2000)
    permits = upstream_limiter.RequestPermits(instance.upstream_limiter)
    service = instance.configuration.service_by_name["planner"]
    reserved = 0
    while instance.selector.reserve_decode(service, prompt, frozenset(), permits):
        reserved += 1
    stop(harness, drain.STREAM_ACCEPT_PERIOD_S - 0.1)
    work = load.Work(1, prompt.mean_kv_tokens)
    freed = threading.Timer(0.25, instance.selector.release, ("d", work))
    freed.start()
    response = harness.stream().read()
    assert (response.status, "retry-after" in response.headers) == (503, True)
    assert b"instance-leaving" in response.body
    assert engine.received == []
    freed.join()
    for _ in range(reserved - 1):
        instance.selector.release("d", work)
    assert harness.is_idle()


def test_stream_that_breaks_off_near_the_end_is_left_to_its_caller(harness):
    """Another instance can serve the rest; here it would be cut off again."""
    harness.add_upstream("d", DECODE, events=6).behaviours = [Behaviour.BREAK_STREAM]
    other = harness.add_upstream("e", DECODE, events=6)
    response = harness.stream("/resumable/1")
    first = next(iter(response.chunks))
    stop(harness, GRACE_S - drain.EXIT_RESERVE_S - drain.MIN_CONTINUATION_S + 0.1)
    response.read()
    assert response.is_truncated
    assert other.received == []
    assert first


def test_stream_that_breaks_off_early_in_the_grace_period_goes_on(harness):
    harness.add_upstream("d", DECODE, events=6).behaviours = [Behaviour.BREAK_STREAM]
    harness.add_upstream("e", DECODE, events=6)
    response = harness.stream("/resumable/1")
    first = next(iter(response.chunks))
    stop(harness, 1.0)
    body = first + response.read().body
    assert not response.is_truncated
    assert body.count(b"id:") == 6


@pytest.mark.parametrize("ago_s", [0.0, 3.0, 6.5, 7.9])
def test_request_whose_time_reaches_beyond_the_exit_is_refused(harness, ago_s):
    harness.add_upstream("a")
    stop(harness, ago_s)
    responses = [
        harness.call("/safe/1").read(),
        harness.call("/unsafe/1", method="POST", body=b"x").read(),
    ]
    route_timeout_s = router_harness.SAFE.timeout_s
    has_time = GRACE_S - ago_s >= route_timeout_s + drain.EXIT_RESERVE_S
    assert {each.status for each in responses} == ({200} if has_time else {503})
    assert all(has_time or "retry-after" in each.headers for each in responses)


def test_request_that_a_peer_passes_on_is_refused_likewise():
    """The instance that got it from its caller asks the next peer or refuses it."""
    with harness_fleet.running(2, clocks.SystemClock()) as fleet:
        upstream = fleet.add_upstream("a")
        fleet.serve_peers()
        fleet.exchange_reports()
        fleet.cut(0, harness_fleet.Cut.REFUSED)
        stop(fleet.members[1], GRACE_S - 1.5)
        headers = {names.Header.REQUEST_ID: "first"}
        response = fleet.members[0].call("/unsafe/1", method="POST", headers=headers).read()
        assert response.status == 503
        assert upstream.received == []
