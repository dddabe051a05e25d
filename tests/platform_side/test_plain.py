"""Requests to plain services run at most once if required, and refusals are truthful about it."""

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


def test_response_is_relayed_unchanged(harness):
    upstream = harness.add_upstream("s1")
    response = harness.call("/safe/x?q=%20a", method="GET").read()
    assert (response.status, response.body) == (200, b"answer")
    assert response.headers[names.Header.STAMP.lower()] == "s"
    assert upstream.received[0].target == "/safe/x?q=%20a"
    assert harness.is_idle()


def test_upstream_gets_the_workspace_but_not_the_key(harness):
    upstream = harness.add_upstream("s1")
    forged = {
        names.Header.WORKSPACE: "other",
        names.Header.HOLD: "1",
        names.Header.KV_SOURCE: "x/y",
        names.Header.PRIORITY: "0",
        "X-Own": "kept",
    }
    harness.call("/safe/x", headers=forged).read()
    received = upstream.received[0]
    assert received.header(names.Header.WORKSPACE) == "w"
    assert received.header(names.Header.KEY) is None
    assert received.header(names.Header.HOLD) is None
    assert received.header(names.Header.KV_SOURCE) is None
    assert received.header(names.Header.PRIORITY) is None
    assert received.header("X-Own") == "kept"
    assert received.header(names.Header.EXPECT_INCARNATION) == "s1"
    assert 0 < int(received.header(names.Header.TIME_LEFT_MS)) <= 1000


def test_body_and_method_are_forwarded(harness):
    upstream = harness.add_upstream("s1")
    harness.call("/unsafe/x", method="POST", body=b"booking").read()
    assert (upstream.received[0].method, upstream.received[0].body) == ("POST", b"booking")


def test_connection_is_reused_for_the_next_request(harness):
    upstream = harness.add_upstream("s1")
    for _ in range(4):
        harness.call("/safe/x").read()
    assert upstream.connections == 1


def test_connection_with_bytes_after_a_response_is_not_reused(harness):
    upstream = harness.add_upstream("s1")
    upstream.behaviours = [Behaviour.EXTRA_BYTES]
    assert harness.call("/safe/x").read().body == b"answer"
    time.sleep(0.05)
    assert harness.call("/safe/x").read().body == b"answer"
    assert upstream.connections == 2


def test_response_without_a_length_ends_with_its_connection(harness):
    harness.add_upstream("s1").behaviours = [Behaviour.WITHOUT_LENGTH]
    assert harness.call("/safe/x").read().body == b"answer"


@pytest.mark.parametrize(
    "behaviour",
    [
        Behaviour.FAIL,
        Behaviour.RESET,
        Behaviour.TRUNCATE,
        Behaviour.TRUNCATE_BEFORE_BODY,
        Behaviour.MALFORMED,
        Behaviour.OTHER_REQUEST_ID,
        Behaviour.WITHOUT_STAMP,
        Behaviour.REJECT,
        Behaviour.MISDIRECT,
        Behaviour.HANG,
    ],
)
def test_idempotent_request_is_retried_at_another_upstream(harness, behaviour):
    for name in ("s1", "s2"):
        harness.add_upstream(name)
    first = next(iter(harness.upstreams.values()))
    first.behaviours = [behaviour]
    response = harness.call("/safe/x").read()
    assert (response.status, response.body) == (200, b"answer")
    assert harness.is_idle()


@pytest.mark.parametrize(
    "behaviour, status",
    [
        (Behaviour.FAIL, 500),
        (Behaviour.RESET, 502),
        (Behaviour.TRUNCATE, 502),
        (Behaviour.TRUNCATE_BEFORE_BODY, 502),
        (Behaviour.MALFORMED, 502),
        (Behaviour.OTHER_REQUEST_ID, 502),
        (Behaviour.WITHOUT_STAMP, 502),
        (Behaviour.WITHOUT_REQUEST_ID, 502),
        (Behaviour.REJECT_WITHOUT_REQUEST_ID, 502),
        (Behaviour.HANG, 504),
    ],
)
def test_request_that_may_have_run_is_sent_once_and_its_status_does_not_deny_it(
    harness, behaviour, status
):
    for name in ("s1", "s2"):
        harness.add_upstream(name).behaviours = [behaviour]
    response = harness.call("/unsafe/x", method="POST", body=b"b", timeout_ms=400).read()
    assert response.status == status
    assert sum(len(each.received) for each in harness.upstreams.values()) == 1
    assert harness.is_idle()


@pytest.mark.parametrize("behaviour", [Behaviour.REJECT, Behaviour.MISDIRECT])
def test_rejected_request_is_retried_at_another_upstream(harness, behaviour):
    for name in ("s1", "s2"):
        harness.add_upstream(name)
    next(iter(harness.upstreams.values())).behaviours = [behaviour]
    assert harness.call("/unsafe/x", method="POST").read().status == 200


def test_refusal_after_rejections_has_a_retry_after(harness):
    for name in ("s1", "s2"):
        harness.add_upstream(name).behaviours = [Behaviour.REJECT]
    response = harness.call("/unsafe/x", method="POST").read()
    assert response.status == 503
    assert float(response.headers["retry-after"]) > 0
    assert names.Header.STAMP.lower() not in response.headers


def test_refused_connection_does_not_count_as_an_attempt(harness):
    stopped = harness.add_upstream("s1")
    stopped.stop()
    harness.add_upstream("s2")
    harness.configure(
        router_harness.builders.route(
            entities.RouteKind.AT_MOST_ONCE, path_prefix="/unsafe/", max_attempts=1
        ),
        revision=2,
    )
    for _ in range(3):
        assert harness.call("/unsafe/x", method="POST").read().status == 200


def test_request_without_an_upstream_is_refused_at_once(harness):
    started_s = time.monotonic()
    assert harness.call("/safe/x").read().status == 503
    assert time.monotonic() - started_s < 1.0


def test_disconnect_stops_the_work_of_the_upstream(harness):
    upstream = harness.add_upstream("s1")
    upstream.behaviours = [Behaviour.HANG]
    gone = threading.Event()
    threading.Timer(0.2, gone.set).start()
    harness.call("/unsafe/x", method="POST", is_gone=gone.is_set).read()
    assert upstream.received[0].caller_disconnected.wait(1.0)
    assert harness.is_idle()


def test_request_of_a_disconnected_caller_is_not_sent(harness):
    upstream = harness.add_upstream("s1")
    harness.call("/safe/x", is_gone=lambda: True).read()
    assert upstream.received == []


def test_unknown_routes_and_keys_are_refused(harness):
    harness.add_upstream("s1")
    assert harness.call("/none/x").read().status == 404
    assert harness.call("/safe/x", key=None).read().status == 401
    assert harness.call("/safe/x", key="other").read().status == 401
    assert harness.call("/open/x", key=None).read().status == 200
    assert harness.call("/open/x", key="other").read().status == 200


def test_malformed_numbers_are_refused(harness):
    harness.add_upstream("s1")
    malformed = {names.Header.TIME_LEFT_MS: "soon"}
    assert harness.call("/safe/x", headers=malformed).read().status == 400
    assert harness.stream(headers={names.Header.TOKENS: "1,2,3"}).read().status == 400


def test_keys_are_refused_while_a_withdrawal_may_be_unknown():
    clock = clocks.ManualClock()
    with router_harness.running(clock) as harness:
        harness.add_upstream("s1")
        assert harness.call("/safe/x").read().status == 200
        clock.advance(4.5)
        response = harness.call("/safe/x").read()
        assert (response.status, harness.instance.is_ready) == (503, False)
        assert "retry-after" in response.headers
        assert harness.call("/none/x").read().status == 503
        harness.instance.confirm_revision(1, clock.now_s())
        assert harness.call("/safe/x").read().status == 200


def test_older_configuration_does_not_replace_a_newer_one(harness):
    harness.add_upstream("s1")
    harness.configure(revision=5, workspace_by_key={})
    harness.configure(revision=4)
    assert harness.call("/safe/x").read().status == 401


def test_request_over_the_cap_is_refused_with_retry_after(harness):
    harness.add_upstream("s1")
    small_workspace = entities.Workspace("w", None, 10.0, 10.0, True, 60.0)
    harness.configure(revision=2, workspace_by_key={router_harness.KEY: small_workspace})
    responses = [harness.call("/safe/x").read() for _ in range(3)]
    assert [each.status for each in responses] == [200, 429, 429]
    assert float(responses[-1].headers["retry-after"]) > 0


def test_draining_instance_refuses_what_it_may_not_finish():
    clock = clocks.ManualClock()
    with router_harness.running(clock) as harness:
        harness.add_upstream("s1")
        harness.instance.drain_started_s = clock.now_s()
        assert harness.call("/safe/x").read().status == 200
        clock.advance(6.5)
        harness.instance.confirm_revision(1, clock.now_s())
        response = harness.call("/safe/x").read()
        assert (response.status, "retry-after" in response.headers) == (503, True)
