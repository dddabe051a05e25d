"""Requests to plain services: at most once where they must, true about whether they ran."""

from __future__ import annotations

import threading
import time

import pytest

from carawaydoor.operating import clocks
from carawaydoor.platform import names
from carawaydoor.policy import entities
from tests.platform_side import router_harness
from tests.platform_side.fake_upstream import Behaviour


@pytest.fixture
def harness():
    with router_harness.running() as running:
        yield running


def test_answer_is_relayed_as_it_is(harness):
    server = harness.add("s1")
    answer = harness.call("/safe/x?q=%20a", method="GET").read()
    assert (answer.status, answer.body) == (200, b"answer")
    assert answer.headers[names.Header.STAMP.lower()] == "s"
    assert server.received[0].target == "/safe/x?q=%20a"
    assert harness.is_idle()


def test_upstream_gets_the_workspace_and_never_the_key(harness):
    server = harness.add("s1")
    forged = {
        names.Header.WORKSPACE: "other",
        names.Header.HOLD: "1",
        names.Header.KV_SOURCE: "x/y",
        names.Header.PRIORITY: "0",
        "X-Own": "kept",
    }
    harness.call("/safe/x", headers=forged).read()
    seen = server.received[0]
    assert seen.header(names.Header.WORKSPACE) == "w"
    assert seen.header(names.Header.KEY) is None
    assert seen.header(names.Header.HOLD) is None
    assert seen.header(names.Header.KV_SOURCE) is None
    assert seen.header(names.Header.PRIORITY) is None
    assert seen.header("X-Own") == "kept"
    assert seen.header(names.Header.EXPECT_INCARNATION) == "s1"
    assert 0 < int(seen.header(names.Header.TIME_LEFT_MS)) <= 1000


def test_body_and_method_are_forwarded(harness):
    server = harness.add("s1")
    harness.call("/unsafe/x", method="POST", body=b"booking").read()
    assert (server.received[0].method, server.received[0].body) == ("POST", b"booking")


def test_connection_is_kept_for_the_next_request(harness):
    server = harness.add("s1")
    for _ in range(4):
        harness.call("/safe/x").read()
    assert server.connections == 1


def test_bytes_after_an_answer_condemn_the_connection(harness):
    server = harness.add("s1")
    server.behaviours = [Behaviour.EXTRA]
    assert harness.call("/safe/x").read().body == b"answer"
    time.sleep(0.05)
    assert harness.call("/safe/x").read().body == b"answer"
    assert server.connections == 2


def test_answer_without_a_length_ends_with_its_connection(harness):
    harness.add("s1").behaviours = [Behaviour.UNFRAMED]
    assert harness.call("/safe/x").read().body == b"answer"


@pytest.mark.parametrize(
    "behaviour",
    [
        Behaviour.FAIL,
        Behaviour.RESET,
        Behaviour.TRUNCATE,
        Behaviour.RUBBISH,
        Behaviour.OTHER_ID,
        Behaviour.UNSTAMPED,
        Behaviour.REJECT,
        Behaviour.MISDIRECT,
        Behaviour.HANG,
    ],
)
def test_idempotent_request_gets_its_answer_from_another_upstream(harness, behaviour):
    for name in ("s1", "s2"):
        harness.add(name)
    first = next(iter(harness.servers.values()))
    first.behaviours = [behaviour]
    answer = harness.call("/safe/x").read()
    assert (answer.status, answer.body) == (200, b"answer")
    assert harness.is_idle()


@pytest.mark.parametrize(
    "behaviour, status",
    [
        (Behaviour.FAIL, 500),
        (Behaviour.RESET, 502),
        (Behaviour.TRUNCATE, 502),
        (Behaviour.RUBBISH, 502),
        (Behaviour.OTHER_ID, 502),
        (Behaviour.UNSTAMPED, 502),
        (Behaviour.UNNAMED, 502),
        (Behaviour.UNNAMED_REJECT, 502),
        (Behaviour.HANG, 504),
    ],
)
def test_request_that_may_have_run_is_sent_once_and_never_called_not_run(
    harness, behaviour, status
):
    for name in ("s1", "s2"):
        harness.add(name).behaviours = [behaviour]
    answer = harness.call("/unsafe/x", method="POST", body=b"b", patience_ms=400).read()
    assert answer.status == status
    assert sum(len(each.received) for each in harness.servers.values()) == 1
    assert harness.is_idle()


@pytest.mark.parametrize("behaviour", [Behaviour.REJECT, Behaviour.MISDIRECT])
def test_request_that_was_rejected_may_go_elsewhere(harness, behaviour):
    for name in ("s1", "s2"):
        harness.add(name)
    next(iter(harness.servers.values())).behaviours = [behaviour]
    assert harness.call("/unsafe/x", method="POST").read().status == 200


def test_refusal_after_rejections_says_when_to_come_back(harness):
    for name in ("s1", "s2"):
        harness.add(name).behaviours = [Behaviour.REJECT]
    answer = harness.call("/unsafe/x", method="POST").read()
    assert answer.status == 503
    assert float(answer.headers["retry-after"]) > 0
    assert names.Header.STAMP.lower() not in answer.headers


def test_refused_connection_is_no_attempt(harness):
    dead = harness.add("s1")
    dead.stop()
    harness.add("s2")
    harness.configure(
        router_harness.builders.route(
            entities.RouteKind.AT_MOST_ONCE, path_prefix="/unsafe/", max_attempts=1
        ),
        revision=2,
    )
    for _ in range(3):
        assert harness.call("/unsafe/x", method="POST").read().status == 200


def test_no_upstream_is_refused_at_once(harness):
    began = time.monotonic()
    assert harness.call("/safe/x").read().status == 503
    assert time.monotonic() - began < 1.0


def test_caller_that_leaves_stops_the_work(harness):
    server = harness.add("s1")
    server.behaviours = [Behaviour.HANG]
    gone = threading.Event()
    threading.Timer(0.2, gone.set).start()
    harness.call("/unsafe/x", method="POST", is_gone=gone.is_set).read()
    assert server.received[0].caller_disconnected.wait(1.0)
    assert harness.is_idle()


def test_caller_that_has_left_sends_nothing(harness):
    server = harness.add("s1")
    harness.call("/safe/x", is_gone=lambda: True).read()
    assert server.received == []


def test_unknown_routes_and_keys_are_refused(harness):
    harness.add("s1")
    assert harness.call("/none/x").read().status == 404
    assert harness.call("/safe/x", key=None).read().status == 401
    assert harness.call("/safe/x", key="other").read().status == 401
    assert harness.call("/open/x", key=None).read().status == 200
    assert harness.call("/open/x", key="other").read().status == 200


def test_malformed_numbers_are_refused(harness):
    harness.add("s1")
    bad = {names.Header.TIME_LEFT_MS: "soon"}
    assert harness.call("/safe/x", headers=bad).read().status == 400
    assert harness.stream(headers={names.Header.TOKENS: "1,2,3"}).read().status == 400


def test_keys_are_refused_while_a_withdrawal_could_be_missed():
    clock = clocks.ManualClock()
    with router_harness.running(clock) as harness:
        harness.add("s1")
        assert harness.call("/safe/x").read().status == 200
        clock.advance(4.5)
        answer = harness.call("/safe/x").read()
        assert (answer.status, harness.instance.is_ready) == (503, False)
        assert "retry-after" in answer.headers
        assert harness.call("/none/x").read().status == 503
        harness.instance.confirm_revision(1, clock.now_s())
        assert harness.call("/safe/x").read().status == 200


def test_older_configuration_never_comes_back(harness):
    harness.add("s1")
    harness.configure(revision=5, workspace_by_key={})
    harness.configure(revision=4)
    assert harness.call("/safe/x").read().status == 401


def test_cap_is_refused_with_the_time_to_come_back(harness):
    harness.add("s1")
    small = entities.Workspace("w", None, 10.0, 10.0, True, 60.0)
    harness.configure(revision=2, workspace_by_key={router_harness.KEY: small})
    statuses = [harness.call("/safe/x").read() for _ in range(3)]
    assert [each.status for each in statuses] == [200, 429, 429]
    assert float(statuses[-1].headers["retry-after"]) > 0


def test_leaving_instance_refuses_what_it_could_not_finish():
    clock = clocks.ManualClock()
    with router_harness.running(clock) as harness:
        harness.add("s1")
        harness.instance.drain_started_s = clock.now_s()
        assert harness.call("/safe/x").read().status == 200
        clock.advance(6.5)
        harness.instance.confirm_revision(1, clock.now_s())
        answer = harness.call("/safe/x").read()
        assert (answer.status, "retry-after" in answer.headers) == (503, True)
