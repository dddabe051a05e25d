"""A limit that an upstream names is read from each of its responses, and binds all that is sent to it."""

from __future__ import annotations

import dataclasses

import pytest

from carawaydoor.fleet import codec
from carawaydoor.operating import clocks, probe_app, stage_balancer
from carawaydoor.platform import http_adapter, names
from carawaydoor.policy import entities, stage_balance, upstream_directory
from tests.platform_side import harness_fleet, router_harness
from tests.platform_side.fake_upstream import Behaviour

LIMIT = names.Header.LIMIT.value
PREFILL, DECODE = entities.Stage.PREFILL, entities.Stage.DECODE


@pytest.fixture
def harness():
    with router_harness.running(clocks.ManualClock()) as running:
        yield running


@pytest.fixture
def live_harness():
    """Runs on the system's clock, since generations wait for engines."""
    with router_harness.running() as running:
        yield running


def name_limit(harness, name, limit="0.1"):
    """Have an upstream name a limit, of which the instance has just used what it may."""
    harness.upstreams[name].notice_headers = {LIMIT: limit}
    upstream = harness.instance.directory.upstream_by_id[name]
    harness.instance.upstream_limiter.record_text(upstream, limit, harness.clock.now_s())
    while harness.instance.upstream_limiter.take(upstream):
        pass


def limit_per_s(harness, name):
    upstream = harness.instance.directory.upstream_by_id[name]
    return harness.instance.upstream_limiter.limit_per_s(upstream)


@pytest.mark.parametrize("behaviour", [Behaviour.ANSWER, Behaviour.FAIL, Behaviour.REJECT])
def test_any_response_names_a_limit(harness, behaviour):
    upstream = harness.add_upstream("a")
    upstream.notice_headers = {LIMIT: "2.3"}
    upstream.behaviours = [behaviour]
    harness.call("/safe/x").read()
    assert limit_per_s(harness, "a") == 2.3


@pytest.mark.parametrize("text", ["", "soon", "-1", "nan", "inf", "1e300"])
def test_unusable_limit_leaves_the_former_one_in_force(harness, text):
    upstream = harness.add_upstream("a")
    upstream.notice_headers = {LIMIT: "2.3"}
    harness.call("/safe/x").read()
    upstream.notice_headers = {LIMIT: text or "?"}
    harness.call("/safe/x").read()
    assert limit_per_s(harness, "a") == 2.3


@pytest.mark.parametrize("behaviour", [Behaviour.MISDIRECT, Behaviour.OTHER_REQUEST_ID])
def test_limit_in_a_response_to_another_request_is_ignored(harness, behaviour):
    """It is another server's, or one that was named earlier and arrives late."""
    upstream = harness.add_upstream("a")
    upstream.notice_headers = {LIMIT: "2.3"}
    upstream.behaviours = [behaviour]
    harness.call("/unsafe/x", method="POST").read()
    assert limit_per_s(harness, "a") is None


def test_status_shows_the_limit_and_when_the_next_request_may_be_sent(harness):
    harness.add_upstream("a")
    name_limit(harness, "a", "2.5")
    row = probe_app.status_document(harness.instance)["upstreams"][0]
    assert (row["limit_per_s"], row["next_request_s"]) == (2.5, None)


def test_limit_is_not_forwarded_to_the_caller(harness):
    harness.add_upstream("a").notice_headers = {LIMIT: "2.3"}
    assert LIMIT.lower() not in harness.call("/safe/x").read().headers


def test_notice_of_an_unknown_kind_is_logged_once(harness, monkeypatch):
    """A header that the router did not know went unnoticed until the users reported it."""
    logged = []
    monkeypatch.setattr("eliot.log_message", lambda **fields: logged.append(fields))
    harness.add_upstream("a").notice_headers = {"Server-Mood": "low", "Server-Timing": "db;dur=5"}
    for _ in range(3):
        harness.call("/safe/x").read()
    unknown = [each for each in logged if each["message_type"] == "upstream_notice_unknown"]
    assert [each["header"] for each in unknown] == ["server-mood"]


def test_request_is_refused_at_once_if_limits_leave_none(harness):
    for name in ("a", "b"):
        harness.add_upstream(name)
        name_limit(harness, name, "0.5")
    refused = [harness.call("/safe/x").read() for _ in range(4)]
    assert {each.status for each in refused} == {503}
    assert b"upstream-limited" in refused[0].body
    delays_s = [float(each.headers["retry-after"]) for each in refused]
    assert delays_s == sorted(delays_s), "callers return one after the other"
    assert delays_s[0] >= 1.0, "not before a request may be sent again"
    assert not any(each.received for each in harness.upstreams.values())


def test_callers_are_not_told_to_wait_without_end(harness):
    harness.add_upstream("a")
    name_limit(harness, "a", "0")
    delays_s = [float(harness.call("/safe/x").read().headers["retry-after"]) for _ in range(5)]
    assert max(delays_s) <= 12.5


def test_other_upstreams_get_what_a_limit_leaves(harness):
    limited, other = harness.add_upstream("a"), harness.add_upstream("b")
    name_limit(harness, "a")
    assert {harness.call("/safe/x").read().status for _ in range(8)} == {200}
    assert (len(limited.received), len(other.received)) == (0, 8)


def test_retry_is_not_sent_beyond_a_limit(harness):
    limited, failing = harness.add_upstream("a"), harness.add_upstream("b")
    name_limit(harness, "a")
    failing.behaviours = [Behaviour.FAIL]
    assert harness.call("/safe/x").read().status == 500
    assert limited.received == []


def test_stream_is_not_continued_beyond_a_limit(live_harness):
    breaking = live_harness.add_upstream("d", DECODE, events=6)
    breaking.behaviours = [Behaviour.BREAK_STREAM]
    limited = live_harness.add_upstream("e", DECODE, events=6)
    name_limit(live_harness, "e")
    assert live_harness.stream("/resumable/1").read().is_truncated
    assert limited.received == []


def test_engine_that_names_a_limit_keeps_no_copy(live_harness):
    """It may not take the stream when its engine fails."""
    first = live_harness.add_upstream("d", DECODE)
    live_harness.add_upstream("e", DECODE)
    name_limit(live_harness, "e", "50")
    live_harness.stream().read()
    assert [each.header(names.Header.KV_BACKUP) for each in first.received] == [None]


def test_prompt_goes_to_another_engine_if_a_limit_is_named_after_the_choice(live_harness):
    """The connection to the first engine was made before the prompt was prefilled."""
    prefill = live_harness.add_upstream("p", PREFILL)
    engines = [live_harness.add_upstream(name, DECODE) for name in ("d", "e")]
    send = live_harness.app._generation_handler._client.send

    def name_limit_while_prefilled(exchange, request, *args, **kwargs):
        if request.prefill_only:
            name_limit(live_harness, "d")
        return send(exchange, request, *args, **kwargs)

    live_harness.app._generation_handler._client.send = name_limit_while_prefilled
    for _ in range(4):
        assert live_harness.stream().read().status == 200
    assert len(prefill.received) == 4
    assert [len(each.received) for each in engines] == [0, 4]


def test_engine_with_a_limit_gets_no_releases_and_no_orders(live_harness):
    prefill = live_harness.add_upstream("p", PREFILL)
    live_harness.add_upstream("d", DECODE).behaviours = [Behaviour.RESET]
    name_limit(live_harness, "p", "50")
    live_harness.instance.upstream_limiter.give_back(
        live_harness.instance.directory.upstream_by_id["p"]
    )
    live_harness.stream().read()
    upstream = live_harness.instance.directory.upstream_by_id["p"]
    balancer = stage_balancer.StageBalancer(
        live_harness.instance, http_adapter.PlatformHttpAdapter()
    )
    utilisation = stage_balance.Utilisation(0.1, 0.9, 0.0, 0.0)
    balancer._send_order(stage_balance.StageOrder(upstream, DECODE, utilisation))
    assert (len(prefill.received), prefill.released_handles, prefill.orders) == (1, [], [])


def test_permits_of_requests_that_were_not_sent_are_given_back(harness):
    harness.add_upstream("a")
    name_limit(harness, "a", "0.5")
    upstream = harness.instance.directory.upstream_by_id["a"]
    harness.instance.upstream_limiter.give_back(upstream)
    harness.upstreams["a"].stop()
    assert harness.call("/safe/x").read().status in (502, 503)
    assert harness.instance.upstream_limiter.next_permit_s(upstream) == 0.0


def test_limit_binds_an_instance_that_has_not_met_the_upstream():
    clock = clocks.ManualClock()
    with harness_fleet.running(2, clock) as fleet:
        first, second = fleet.members
        fleet.exchange_reports()
        fleet.add_upstream("a").notice_headers = {LIMIT: "2.5"}
        first.call("/safe/x").read()
        report, _ = first.instance.compose_work_report()
        second.instance.handle_report(codec.decode(codec.encode(report)))
        assert limit_per_s(second, "a") == 2.5
        fleet.exchange_reports()
        assert second.instance.compose_report()[0].limits == (), "it is not passed on"


def test_upstream_that_started_again_has_no_limit(harness):
    harness.add_upstream("a")
    name_limit(harness, "a")
    before = harness.instance.directory.upstream_by_id["a"]
    after = dataclasses.replace(before, born_ms=2)
    harness.instance.update_directory(upstream_directory.Changes({"a": after}, 2))
    assert limit_per_s(harness, "a") is None
    assert harness.call("/safe/x").read().status == 200
