"""No request reaches an evacuated failure domain, at whatever point it is when the domain is evacuated."""

from __future__ import annotations

import dataclasses
import json
import threading
import time

import pytest

from carawaydoor.operating import probe_app, stage_balancer
from carawaydoor.platform import http_adapter, names
from carawaydoor.policy import entities, evacuation, load, stage_balance
from carawaydoor.serving import connections, sockets
from tests.platform_side import router_harness
from tests.platform_side.fake_upstream import Behaviour
from tests.policy import builders

PREFILL, DECODE = entities.Stage.PREFILL, entities.Stage.DECODE


@pytest.fixture
def harness():
    with router_harness.running() as running:
        yield running


def evacuate(harness, is_evacuated=True, domain="a"):
    harness.instance.evacuation.apply(evacuation.Changes({domain: is_evacuated}))


def evacuate_after(harness, monkeypatch, owner, name, domain="a"):
    """Evacuate a failure domain as soon as a method of the request path has returned."""
    original = getattr(owner, name)

    def then_evacuate(*args, **kwargs):
        try:
            return original(*args, **kwargs)
        finally:
            evacuate(harness, domain=domain)

    monkeypatch.setattr(owner, name, then_evacuate)


def is_refused(response, harness, reason="evacuated"):
    """Return whether a request was refused as not run, with a delay, and left nothing behind."""
    problem = json.loads(response.read().body)["type"]
    retry_after_s = float(response.headers["retry-after"])
    assert harness.is_idle() and harness.charged() == 0.0
    return (response.status, problem) == (503, reason) and 0.0 < retry_after_s <= 1.0


def test_other_failure_domains_serve_until_the_evacuation_is_taken_back(harness):
    near, far = harness.add_upstream("u"), harness.add_upstream("v", domain="b")
    evacuate(harness)
    assert harness.call("/safe/1").read().status == 200
    assert (len(near.received), len(far.received)) == (0, 1)
    evacuate(harness, domain="b")
    assert is_refused(harness.call("/unsafe/1", method="POST"), harness)
    evacuate(harness, False)
    assert harness.call("/safe/1").read().status == 200
    assert (len(near.received), len(far.received)) == (1, 1)


def test_kept_connection_is_not_used_for_another_request(harness):
    """Failure: an instance had a connection in its hands when the failure domain was evacuated."""
    upstream = harness.add_upstream("u")
    entry = harness.instance.directory.upstream_by_id["u"]
    connection = harness.instance.connection_pool.acquire(entry)
    evacuate(harness)
    request = http_adapter.PlatformHttpAdapter().encode_report_request(entry)
    limit = sockets.CallerWaitLimit(harness.clock, harness.clock.now_s() + 1.0, lambda: False)
    with pytest.raises(connections.EvacuatedError):
        connection.send(request, limit)
    assert not upstream.received


@pytest.mark.parametrize("prefill_domain", ["a", "b"])
def test_prompt_that_was_prefilled_before_goes_to_another_decode_engine(
    harness, monkeypatch, prefill_domain
):
    """A KV cache at an evacuated engine is not fetched; another one is."""
    prefill = harness.add_upstream("p", PREFILL, domain=prefill_domain)
    near, far = harness.add_upstream("d", DECODE), harness.add_upstream("e", DECODE, domain="b")
    evacuate_after(harness, monkeypatch, harness.app._generation_handler, "_prefill")
    response = harness.stream().read()
    assert (response.status, response.is_truncated) == (200, False)
    assert (len(prefill.received), near.received, len(far.received)) == (1, [], 1)
    has_source = far.received[0].header(names.Header.KV_SOURCE) is not None
    assert has_source == (prefill_domain == "b")
    assert far.received[0].header(names.Header.KV_BACKUP) is None
    assert not prefill.released_handles and harness.is_idle()


def test_prompt_without_a_decode_engine_left_is_refused_as_not_run(harness, monkeypatch):
    harness.add_upstream("p", PREFILL, domain="b")
    decode = harness.add_upstream("d", DECODE)
    evacuate_after(harness, monkeypatch, harness.app._generation_handler, "_prefill")
    assert is_refused(harness.stream(), harness)
    assert not decode.received


def test_decode_engine_prefills_if_all_prefill_engines_are_evacuated(harness, monkeypatch):
    prefill = harness.add_upstream("p", PREFILL)
    decode = harness.add_upstream("d", DECODE, domain="b")
    placer = harness.app._generation_handler._placer
    evacuate_after(harness, monkeypatch, placer, "place")
    assert harness.stream().read().status == 200
    assert (prefill.received, len(decode.received)) == ([], 1)


def test_engine_that_was_chosen_for_a_copy_gets_none(harness, monkeypatch):
    harness.add_upstream("p", PREFILL, domain="b")
    harness.add_upstream("d", DECODE, domain="a")
    far = harness.add_upstream("e", DECODE, domain="b")
    handler = harness.app._generation_handler
    monkeypatch.setattr(
        harness.instance.selector,
        "reserve_backup",
        lambda *_: harness.instance.directory.upstream_by_id["d"],
    )
    entry = harness.instance.directory.upstream_by_id["d"]
    harness.instance.selector.load = load.Load({"d": load.Work(9, 20_000)}, {})
    evacuate_after(harness, monkeypatch, handler, "_reserve_backup")
    assert harness.stream().read().status == 200
    assert far.received[0].header(names.Header.KV_BACKUP) is None, entry.domain


def test_hold_at_an_evacuated_engine_ends_by_itself(harness, monkeypatch):
    spec = entities.EngineSpec(128, 60_000, 18_432, 68.75e9, False, 0.5, 2.0)
    service = entities.Service("planner", 620, spec)
    monkeypatch.setattr(builders, "MODEL_SERVICE", service)
    less_urgent = dataclasses.replace(router_harness.RESUMABLE, priority=3)
    harness.configure(router_harness.STREAM, less_urgent, revision=2)
    harness.add_upstream("p", PREFILL, domain="b")
    near, far = harness.add_upstream("d", DECODE), harness.add_upstream("e", DECODE, domain="b")
    works = {"d": load.Work(10, 36_000), "e": load.Work(10, 42_000)}
    harness.instance.selector.load = load.Load(works, {})
    monkeypatch.setattr(harness.instance.selector, "generations_per_s", lambda _: 60.0)
    evacuate_after(harness, monkeypatch, harness.app._generation_handler, "_prefill")
    assert harness.stream().read().status == 200
    assert (len(near.holds), near.released_holds, near.received) == (1, [], [])
    assert len(far.received) == 1


def test_request_that_waits_is_refused_at_once(harness):
    """Failure: requests waited to the end for engines that must not serve them."""
    harness.add_upstream("d", DECODE)
    harness.instance.selector.load = load.Load({"d": load.Work(100, 59_000)}, {})
    timer = threading.Timer(0.1, evacuate, [harness])
    timer.start()
    began_s = time.monotonic()
    response = harness.stream(timeout_ms=10_000)
    assert response.status == 503 and b'"evacuated"' in response.read().body
    assert time.monotonic() - began_s < 0.4


@pytest.mark.parametrize("path", ["/stream/1", "/resumable/1"])
def test_stream_that_breaks_off_goes_on_outside(harness, path):
    """The engine with the copy is not asked while it is evacuated."""
    near = harness.add_upstream("d", DECODE, events=6)
    copy = harness.add_upstream("e", DECODE, events=6)
    far = harness.add_upstream("f", DECODE, events=6, domain="b")
    near.behaviours = copy.behaviours = [Behaviour.BREAK_STREAM]
    response = harness.stream(path)
    evacuate(harness)
    began_s = time.monotonic()
    response.read()
    assert time.monotonic() - began_s < 1.0, "the copy is not offered the stream again and again"
    assert len(near.received) + len(copy.received) == 1
    assert (response.is_truncated, len(far.received)) == (
        (False, 1) if path == "/resumable/1" else (True, 0)
    )


def test_stream_that_runs_ends_by_itself(harness):
    near = harness.add_upstream("d", DECODE, events=6)
    far = harness.add_upstream("e", DECODE, domain="b")
    near.behaviours, near.pause_s = [Behaviour.PAUSE_STREAM], 1.3
    response = harness.stream("/resumable/1")
    evacuate(harness)
    assert not response.read().is_truncated
    assert not far.received, "an evacuated engine is not asked whether it responds, but it listens"


def test_order_is_not_sent_to_an_evacuated_engine(harness):
    engine = harness.add_upstream("p", PREFILL)
    balancer = stage_balancer.StageBalancer(harness.instance, http_adapter.PlatformHttpAdapter())
    entry = harness.instance.directory.upstream_by_id["p"]
    evacuate(harness)
    utilisation = stage_balance.Utilisation(0.0, 1.0, 0.0, 0.0)
    balancer._send_order(stage_balance.StageOrder(entry, DECODE, utilisation))
    assert (engine.connections, engine.orders) == (0, [])
    assert harness.instance.selector.paused_s_by_upstream() == {}


def test_new_streams_begin_at_a_version_that_is_left(harness, monkeypatch):
    harness.add_upstream("d", DECODE, version="v1")
    far = harness.add_upstream("e", DECODE, domain="b", version="v2")
    evacuate(harness)
    for number in range(8):
        assert harness.stream(f"/resumable/{number}").read().status == 200
    # Others are bound to a version first, whose upstreams are evacuated before they are placed.
    evacuate(harness, False)
    evacuate_after(harness, monkeypatch, harness.instance.selector, "begin_version")
    for number in range(8):
        assert harness.stream(f"/resumable/{number}").read().status == 200
        evacuate(harness, False)
    assert len(far.received) == 16


def test_upstreams_that_begin_to_leave_are_used_if_all_others_are_evacuated(harness):
    harness.add_upstream("u")
    leaving = harness.add_upstream("v", domain="b")
    leaving.is_leaving = True
    evacuate(harness)
    assert harness.call("/safe/1").read().status == 200
    assert harness.call("/safe/2").read().status == 200
    assert len(leaving.received) == 2


def test_status_and_metrics_show_evacuations(harness, monkeypatch):
    logged = []
    monkeypatch.setattr("eliot.log_message", lambda **fields: logged.append(fields))
    harness.add_upstream("u")
    for domain in ("a", "unknown"):
        evacuate(harness, domain=domain)
    for _ in range(3):
        harness.instance.expire()
    shown = probe_app.status_document(harness.instance)["evacuated"]
    assert [(each["domain"], each["origin"]) for each in shown] == [
        ("a", "store"),
        ("unknown", "store"),
    ]
    assert harness.instance.metrics.evacuations.values() == [({"change": "given"}, 2)]
    types = [each["message_type"] for each in logged]
    assert types.count("evacuation_given") == 2
    assert types.count("evacuation_of_unknown_domain") == 1


def test_refusal_after_an_attempt_that_may_have_run_does_not_promise_otherwise(
    harness, monkeypatch
):
    """Failure: the second attempt was not sent, so that the refusal said that the request did not run."""
    near, far = harness.add_upstream("u"), harness.add_upstream("v", domain="b")
    near.behaviours = [Behaviour.RESET]

    def may_retry(*_):
        evacuate_after(harness, monkeypatch, harness.instance.selector, "reserve_plain", "b")
        return True

    monkeypatch.setattr(harness.instance, "may_retry", may_retry)
    response = harness.call("/safe/1").read()
    assert (len(near.received), len(far.received)) == (1, 0)
    assert response.status == 502
