"""What upstreams say in their responses about further requests is obeyed.

A server that leaves says so in all its responses, often before the store does or without it. One that is
overloaded says for how long it wants no requests from this instance.
"""

from __future__ import annotations

import dataclasses
import email.utils

import pytest

from carawaydoor.operating import clocks
from carawaydoor.platform import names
from carawaydoor.policy import entities, upstream_directory
from tests.platform_side import harness_fleet, router_harness
from tests.platform_side.fake_upstream import Behaviour
from tests.policy import builders

PREFILL, DECODE = entities.Stage.PREFILL, entities.Stage.DECODE


@pytest.fixture
def clock():
    return clocks.ManualClock()


@pytest.fixture
def harness(clock):
    with router_harness.running(clock) as running:
        yield running


@pytest.fixture
def live_harness():
    """Runs on the system's clock, since generations wait for engines."""
    with router_harness.running() as running:
        yield running


def reach(upstream, harness):
    """Send requests until one reaches an upstream."""
    for _ in range(20):
        harness.call("/safe/x").read()
        if upstream.received:
            return
    raise AssertionError("no request reached the upstream")


def requests_reaching(upstream, harness, calls=8):
    """Return how many of some calls reach an upstream."""
    before = len(upstream.received)
    for _ in range(calls):
        harness.call("/safe/x").read()
    return len(upstream.received) - before


def list_again(harness, name, born_ms=1):
    """Have the store list an upstream as ready, as after a full read."""
    address = f"127.0.0.1:{harness.upstreams[name].port}"
    entry = builders.upstream(name, address=address, born_ms=born_ms)
    harness.instance.update_directory(upstream_directory.Changes({name: entry}, 2))


@pytest.mark.parametrize("behaviour", [Behaviour.ANSWER, Behaviour.FAIL, Behaviour.REJECT])
def test_upstream_that_says_that_it_leaves_gets_no_further_request(harness, behaviour):
    leaving, _ = harness.add_upstream("a"), harness.add_upstream("b")
    leaving.is_leaving = True
    leaving.behaviours = [behaviour]
    reach(leaving, harness)
    assert requests_reaching(leaving, harness) == 0


@pytest.mark.parametrize("stage", [PREFILL, DECODE])
def test_engine_that_says_that_it_leaves_gets_no_further_prompt(live_harness, stage):
    others = {PREFILL: DECODE, DECODE: PREFILL}
    leaving = live_harness.add_upstream("a", stage)
    live_harness.add_upstream("other-stage", others[stage])
    leaving.is_leaving = True
    assert live_harness.stream().read().status == 200
    replacement = live_harness.add_upstream("b", stage)
    seen = len(leaving.received)
    for _ in range(4):
        assert live_harness.stream().read().status == 200
    assert (len(leaving.received), len(replacement.received) > 0) == (seen, True)


def test_engine_that_leaves_ends_its_stream(live_harness):
    engine = live_harness.add_upstream("d", DECODE, events=6)
    engine.is_leaving = True
    response = live_harness.stream().read()
    assert (response.body.count(b"data:"), response.is_truncated) == (6, False)


def test_leaving_server_is_not_in_use_again_because_the_store_still_lists_it(harness):
    leaving, _ = harness.add_upstream("a"), harness.add_upstream("b")
    leaving.is_leaving = True
    reach(leaving, harness)
    list_again(harness, "a")
    assert requests_reaching(leaving, harness) == 0
    harness.instance.update_directory(upstream_directory.Changes({"a": None}, 3))
    list_again(harness, "a")
    assert requests_reaching(leaving, harness) == 0


def test_server_that_started_again_is_in_use_again(harness):
    server, _ = harness.add_upstream("a"), harness.add_upstream("b")
    server.is_leaving = True
    reach(server, harness)
    server.is_leaving = False
    list_again(harness, "a", born_ms=2)
    assert requests_reaching(server, harness) > 0


@pytest.mark.parametrize("value", ["2", "2.0", "date"])
def test_upstream_that_turns_requests_away_gets_none_for_the_time_it_says(harness, clock, value):
    turning_away, _ = harness.add_upstream("a"), harness.add_upstream("b")
    sent_s = 1_800_000_000.0
    if value == "date":
        value = email.utils.formatdate(sent_s + 2.0, usegmt=True)
    date = email.utils.formatdate(sent_s, usegmt=True)
    turning_away.rejection_headers = {"Retry-After": value, "Date": date}
    turning_away.behaviours = [Behaviour.REJECT]
    reach(turning_away, harness)
    harness.instance.selector.health = {}
    assert requests_reaching(turning_away, harness) == 0
    clock.advance(1.9)
    harness.instance.confirm_revision(1, clock.now_s())
    assert requests_reaching(turning_away, harness) == 0
    clock.advance(0.2)
    harness.instance.confirm_revision(1, clock.now_s())
    assert requests_reaching(turning_away, harness) > 0


@pytest.mark.parametrize("value", ["", "0", "-3", "soon", "nan", "inf", "1e300", "9" * 400])
def test_meaningless_delays_are_ignored(harness, value):
    upstream = harness.add_upstream("a")
    upstream.rejection_headers = {"Retry-After": value}
    upstream.behaviours = [Behaviour.REJECT]
    harness.call("/safe/x").read()
    harness.instance.selector.health = {}
    assert harness.call("/safe/x").read().status == 200


def test_request_is_refused_at_once_if_all_upstreams_turn_requests_away(harness):
    upstreams = [harness.add_upstream(name) for name in ("a", "b")]
    for each, delay in zip(upstreams, ("6", "4"), strict=True):
        each.rejection_headers = {"Retry-After": delay}
        each.behaviours = [Behaviour.REJECT] * 9
    harness.call("/safe/x").read()
    reached = sum(len(each.received) for each in upstreams)
    assert reached == 2
    refused = [harness.call("/safe/x").read() for _ in range(5)]
    assert {each.status for each in refused} == {503}
    delays_s = [float(each.headers["retry-after"]) for each in refused]
    assert all(4.0 <= each <= 6.0 for each in delays_s), "the earliest time, spread"
    assert len(set(delays_s)) > 1
    assert sum(len(each.received) for each in upstreams) == reached


@pytest.mark.parametrize("stage", [PREFILL, DECODE])
def test_engine_that_turns_requests_away_gets_neither_prompts_nor_releases(live_harness, stage):
    engines = {each: live_harness.add_upstream(each.value, each) for each in (PREFILL, DECODE)}
    engine = engines[stage]
    engine.rejection_headers = {"Retry-After": "3"}
    engine.behaviours = [Behaviour.REJECT]
    live_harness.stream().read()
    live_harness.instance.selector.health = {}
    for _ in range(3):
        live_harness.stream(timeout_ms=2000).read()
    assert len(engine.received) == 1
    assert engine.released_handles == []


def test_stream_is_not_continued_at_an_engine_that_turned_it_away(live_harness):
    live_harness.add_upstream("d", DECODE, events=6).behaviours = [Behaviour.BREAK_STREAM]
    other = live_harness.add_upstream("e", DECODE, events=6)
    other.rejection_headers = {names.Header.RETRY_AFTER.value: "5"}
    other.behaviours = [Behaviour.REJECT] * 9
    live_harness.stream().read()
    assert len(other.received) <= 1


def test_upstreams_that_all_leave_serve_plain_requests_for_a_while(harness, clock):
    """Requests were refused at once, although the servers go on until others have taken over."""
    upstreams = [harness.add_upstream(name) for name in ("a", "b")]
    for each in upstreams:
        each.is_leaving = True
    assert [harness.call("/safe/x").read().status for _ in range(6)] == [200] * 6
    clock.advance(1.1)
    assert harness.call("/safe/x").read().status == 503
    reached = sum(len(each.received) for each in upstreams)
    assert reached == 6, "nothing is sent later than a server serves for certain"


def test_upstream_that_leaves_gets_nothing_while_another_one_stays(harness):
    leaving, staying = harness.add_upstream("a"), harness.add_upstream("b")
    leaving.is_leaving = True
    reach(leaving, harness)
    staying.behaviours = [Behaviour.REJECT] * 3
    assert requests_reaching(leaving, harness) == 0


def test_upstreams_that_left_during_an_outage_of_the_store_are_not_used(harness, clock):
    """It is not known for how long they still serve."""
    upstream = harness.add_upstream("a")
    harness.instance.update_directory(upstream_directory.StoreUnavailable())
    harness.instance.update_directory(upstream_directory.StoreRecovered())
    address = f"127.0.0.1:{upstream.port}"
    entry = builders.upstream("a", address=address, is_leaving=True)
    harness.instance.update_directory(upstream_directory.Changes({"a": entry}, 2))
    assert harness.call("/safe/x").read().status == 503
    assert upstream.received == []


def test_instance_prefers_other_upstreams_while_one_turns_a_peer_away():
    """Each instance had to be turned away itself, by a server that was full."""
    clock = clocks.ManualClock()
    with harness_fleet.running(2, clock) as fleet:
        first, second = fleet.members
        fleet.exchange_reports()
        full, other = fleet.add_upstream("a"), fleet.add_upstream("b")
        full.rejection_headers = {"Retry-After": "2"}
        full.behaviours = [Behaviour.REJECT]
        reach(full, first)
        fleet.exchange_reports()
        before = len(other.received)
        assert requests_reaching(full, second, calls=4) == 0
        assert len(other.received) == before + 4
        clock.advance(2.5)
        fleet.exchange_reports()
        assert requests_reaching(full, second, calls=4) > 0


def test_upstream_that_turns_a_peer_away_is_still_used_if_it_is_the_only_one():
    """The delay is meant for the peer alone."""
    with harness_fleet.running(2, clocks.ManualClock()) as fleet:
        first, second = fleet.members
        fleet.exchange_reports()
        full = fleet.add_upstream("a")
        full.rejection_headers = {"Retry-After": "2"}
        full.behaviours = [Behaviour.REJECT]
        reach(full, first)
        fleet.exchange_reports()
        assert second.call("/safe/x").read().status == 200


def test_peers_learn_that_an_upstream_leaves():
    """Each instance sent requests to it until a response to itself, or the store, said so."""
    with harness_fleet.running(2, clocks.ManualClock()) as fleet:
        first, second = fleet.members
        fleet.exchange_reports()
        leaving, _ = fleet.add_upstream("a"), fleet.add_upstream("b")
        leaving.is_leaving = True
        reach(leaving, first)
        fleet.exchange_reports()
        assert requests_reaching(leaving, second) == 0


def test_peer_that_names_another_incarnation_as_leaving_changes_nothing():
    with harness_fleet.running(2, clocks.ManualClock()) as fleet:
        first, second = fleet.members
        server = fleet.add_upstream("a")
        server.is_leaving = True
        reach(server, first)
        started_again = dataclasses.replace(
            second.instance.directory.upstream_by_id["a"], born_ms=2
        )
        changes = upstream_directory.Changes({"a": started_again}, 2)
        second.instance.update_directory(changes)
        fleet.exchange_reports()
        assert not second.instance.directory.upstream_by_id["a"].is_leaving
