"""Prompts are prefilled only for decode engines that have room for them.

Load pattern: in a burst, engines that instances hold for nearly full were full, and rejected
generations after their prompts had been prefilled.
"""

from __future__ import annotations

import dataclasses

import pytest

from carawaydoor.platform import names
from carawaydoor.policy import entities, load
from carawaydoor.serving import upstream_limiter
from tests.platform_side import router_harness
from tests.platform_side.fake_upstream import Behaviour
from tests.policy import builders

PREFILL, DECODE = entities.Stage.PREFILL, entities.Stage.DECODE
KV_TOKENS = builders.MODEL_SERVICE.engine_spec.kv_tokens


@pytest.fixture
def harness(monkeypatch):
    engine_spec = dataclasses.replace(builders.MODEL_SERVICE.engine_spec, max_hold_s=2.0)
    service = dataclasses.replace(builders.MODEL_SERVICE, engine_spec=engine_spec)
    monkeypatch.setattr(builders, "MODEL_SERVICE", service)
    with router_harness.running() as running:
        less_urgent = dataclasses.replace(router_harness.RESUMABLE, priority=3)
        running.configure(router_harness.STREAM, less_urgent, revision=2)
        running.generations_per_s = 60.0
        monkeypatch.setattr(
            running.instance.selector, "generations_per_s", lambda _: running.generations_per_s
        )
        yield running


def fill(harness, *upstreams, share=0.6):
    """Make the instance believe that engines are used by peers."""
    work = load.Work(10, int(KV_TOKENS * share))
    harness.instance.selector.load = load.Load(dict.fromkeys(upstreams, work), {})


def holds_by_upstream(harness):
    return {key: len(each.holds) for key, each in harness.upstreams.items()}


def test_memory_is_held_while_the_prompt_is_prefilled(harness):
    harness.add_upstream("p", PREFILL)
    decode = harness.add_upstream("d", DECODE)
    fill(harness, "d")
    assert harness.stream().read().status == 200
    assert decode.holds[0]["tokens"] >= 5000
    assert 0 < decode.holds[0]["ttlMs"] <= 2000
    assert decode.received[0].header(names.Header.HOLD) == "hold1"
    assert decode.released_holds == []
    assert decode.connections == 1


def test_engine_without_memory_causes_no_prefill(harness):
    """Failure: 6.75 million tokens were prefilled for engines that then rejected them."""
    prefill = harness.add_upstream("p", PREFILL)
    full, other = harness.add_upstream("d", DECODE), harness.add_upstream("e", DECODE)
    full.hold_status = 503
    fill(harness, "d", "e", share=0.55)
    # Fuller by more than the random part of the choice, so that the other one is asked first.
    harness.instance.selector.load.own_by_id["e"] = load.Work(10, int(KV_TOKENS * 0.77))
    assert harness.stream().read().status == 200
    assert len(prefill.received) == 1
    assert holds_by_upstream(harness) == {"p": 0, "d": 1, "e": 1}
    assert full.received == []
    assert len(other.runs) == 1


def test_caller_is_refused_if_no_engine_has_memory(harness):
    prefill = harness.add_upstream("p", PREFILL)
    decode = harness.add_upstream("d", DECODE)
    decode.hold_status = 503
    fill(harness, "d")
    response = harness.stream(timeout_ms=2000).read()
    assert (response.status, prefill.received) == (503, [])
    assert len(decode.holds) > 1
    assert decode.connections == 1, "a refusal does not cost a connection"
    assert float(response.headers["retry-after"]) > 0.0


def test_held_memory_is_released_if_the_caller_leaves_during_the_prefill(harness):
    harness.add_upstream("p", PREFILL).behaviours = [Behaviour.HANG]
    decode = harness.add_upstream("d", DECODE)
    fill(harness, "d")
    harness.stream(
        is_gone=lambda: bool(decode.holds) and bool(harness.upstreams["p"].received)
    ).read()
    assert decode.released_holds == ["hold1"]
    assert decode.received == []


@pytest.mark.parametrize("status", [404, 500])
def test_engine_that_holds_no_memory_is_used_without(harness, status):
    harness.add_upstream("p", PREFILL)
    decode = harness.add_upstream("d", DECODE)
    decode.hold_status = status
    fill(harness, "d")
    assert harness.stream().read().status == 200
    assert decode.received[0].header(names.Header.HOLD) is None


@pytest.mark.parametrize(
    ("share", "max_hold_s", "generations_per_s"),
    [(0.2, 2.0, 60.0), (0.6, 0.0, 60.0), (0.6, 2.0, 6.0)],
)
def test_memory_is_not_held_without_need_or_support(harness, share, max_hold_s, generations_per_s):
    """An emptier engine and a fleet that knows its load need no call; some engines hold nothing."""
    harness.generations_per_s = generations_per_s
    engine_spec = dataclasses.replace(builders.MODEL_SERVICE.engine_spec, max_hold_s=max_hold_s)
    services = {"planner": dataclasses.replace(builders.MODEL_SERVICE, engine_spec=engine_spec)}
    configuration = dataclasses.replace(
        harness.instance.configuration, service_by_name=services, revision=5
    )
    harness.instance.adopt(configuration)
    harness.add_upstream("p", PREFILL)
    decode = harness.add_upstream("d", DECODE)
    fill(harness, "d", share=share)
    assert harness.stream().read().status == 200
    assert decode.holds == []


def test_memory_is_not_held_at_an_engine_that_names_a_limit(harness):
    """A request to hold memory may count as one of the requests that the limit allows."""
    harness.add_upstream("p", PREFILL)
    decode = harness.add_upstream("d", DECODE)
    decode.notice_headers = {names.Header.LIMIT: "50"}
    harness.stream().read()
    fill(harness, "d")
    harness.stream().read()
    assert decode.holds == []


def test_held_memory_is_not_released_at_an_engine_that_has_a_limit_by_then(harness):
    """The request may count as one of those that the limit allows; the engine does it by itself."""
    harness.add_upstream("p", PREFILL).behaviours = [Behaviour.HANG]
    decode = harness.add_upstream("d", DECODE)
    fill(harness, "d")

    def becomes_cold_and_leaves():
        upstream = harness.instance.directory.upstream_by_id["d"]
        cold = upstream_limiter.ColdLimit(upstream, 18.0, harness.clock.now_s() + 3.0)
        harness.instance.upstream_limiter.set_cold([cold] if decode.holds else [], [])
        return bool(decode.holds) and bool(harness.upstreams["p"].received)

    harness.stream(is_gone=becomes_cold_and_leaves).read()
    assert (len(decode.holds), decode.released_holds) == (1, [])


def test_memory_is_not_held_where_all_requests_have_the_same_priority(harness):
    """Failure: what was held made engines preempt generations of the same priority five times as often."""
    harness.configure(router_harness.STREAM, revision=3)
    harness.add_upstream("p", PREFILL)
    decode = harness.add_upstream("d", DECODE)
    fill(harness, "d")
    assert harness.stream().read().status == 200
    assert decode.holds == []
