"""A streaming route is relayed alike whether its service has engines or not.

Regression: the stream of a plain service was read as a whole. One that broke off inside an event, as its
server crashed, reached the caller as a complete response with a Content-Length, and no event reached the
caller before the last one.
"""

from __future__ import annotations

import time

import pytest

from carawaydoor.operating import clocks
from carawaydoor.platform import names
from carawaydoor.policy import entities
from carawaydoor.serving import stream_slots
from tests.platform_side import fake_upstream, harness_fleet, router_harness
from tests.platform_side.fake_upstream import Behaviour
from tests.policy import builders

EVENTS = 6
ROUTES = (
    router_harness.SAFE,
    router_harness.UNSAFE,
    builders.route(
        entities.RouteKind.STREAM, path_prefix="/events/", timeout_s=10.0, max_attempts=1
    ),
    builders.route(
        entities.RouteKind.RESUMABLE_STREAM, path_prefix="/feed/", timeout_s=10.0, max_attempts=3
    ),
)
BREAKS = (
    Behaviour.CLOSE_INSIDE_UNFRAMED_EVENT,
    Behaviour.CLOSE_INSIDE_EVENT,
    Behaviour.BREAK_STREAM,
)


@pytest.fixture
def harness():
    with router_harness.running() as running:
        running.configure(*ROUTES, revision=2)
        yield running


@pytest.fixture
def fleet():
    with harness_fleet.running(3, clocks.SystemClock()) as running:
        for each in running.members:
            each.configure(*ROUTES, revision=2)
        yield running


def events(first, last):
    return b"".join(b"id: %d\ndata: %d\n\n" % (n, n) for n in range(first, last + 1))


def add(target, name, *behaviours, version="v1"):
    upstream = target.add_upstream(name, events=EVENTS, version=version)
    upstream.behaviours = list(behaviours)
    return upstream


def continued(upstream):
    """Return the requests that an upstream got for the rest of a stream."""
    return [each for each in upstream.received if each.header(names.Header.LAST_EVENT_ID)]


@pytest.mark.parametrize("behaviour", BREAKS)
def test_stream_that_broke_off_is_truncated(harness, behaviour):
    add(harness, "a", behaviour)
    response = harness.stream("/events/1").read()
    assert response.is_truncated
    assert "content-length" not in response.headers
    assert response.body == events(1, 2)
    assert harness.is_idle()


def test_stream_that_broke_off_before_its_first_event_is_refused(harness):
    add(harness, "a", Behaviour.CLOSE_BEFORE_UNFRAMED_EVENT)
    response = harness.stream("/events/1").read()
    assert (response.status, response.is_truncated) == (502, False)
    assert "retry-after" not in response.headers, "it may have run"
    assert harness.is_idle()


@pytest.mark.parametrize("behaviour", [Behaviour.ANSWER, Behaviour.UNFRAMED_STREAM])
def test_whole_stream_is_relayed_whole(harness, behaviour):
    add(harness, "a", behaviour)
    response = harness.stream("/events/1").read()
    assert (response.body, response.is_truncated) == (events(1, EVENTS), False)
    assert harness.is_idle()


def test_events_are_forwarded_as_they_arrive(harness):
    add(harness, "a", Behaviour.PAUSE_STREAM)
    started_s = time.monotonic()
    response = harness.stream("/events/1")
    first = next(iter(response.chunks))
    assert time.monotonic() - started_s < fake_upstream.PAUSE_S / 2
    assert first.startswith(events(1, 1))
    assert not harness.is_idle(), "the upstream is at work until the end of the stream"
    assert first + response.read().body == events(1, EVENTS)
    assert harness.is_idle()


@pytest.mark.parametrize("behaviour", [*BREAKS, Behaviour.HANG_STREAM])
def test_resumable_stream_goes_on_at_another_upstream_of_its_version(harness, behaviour):
    add(harness, "a", behaviour)
    other = add(harness, "b", Behaviour.REJECT, version="v2")
    same = add(harness, "c")
    response = harness.stream("/feed/1").read()
    assert (response.body, response.is_truncated) == (events(1, EVENTS), False)
    assert continued(other) == []
    assert len(continued(same)) == 1
    assert harness.is_idle()


def test_caller_takes_a_stream_up_at_another_instance(fleet):
    begun = add(fleet, "z", Behaviour.BREAK_STREAM)
    headers = {names.Header.REQUEST_ID: "first"}
    response = fleet.members[0].stream("/feed/1", headers=headers).read()
    assert response.is_truncated
    fleet.exchange_reports()
    others = [add(fleet, f"a-{n}", version="v2") for n in range(3)]
    for each in fleet.members:
        each.instance.selector.forget_health("z")
    headers = {
        names.Header.REQUEST_ID: "second",
        names.Header.LAST_EVENT_ID: "2",
        names.Header.RESUMES: "first",
    }
    response = fleet.members[1].stream("/feed/1", headers=headers).read()
    assert (response.body, response.is_truncated) == (events(3, EVENTS), False)
    assert [continued(each) for each in others] == [[], [], []]
    assert len(continued(begun)) == 1


def test_stream_that_broke_off_on_an_idempotent_route_is_read_elsewhere(harness):
    """Its response is sent as a whole, so the break is noticed before the caller gets a byte."""
    add(harness, "a", Behaviour.CLOSE_INSIDE_UNFRAMED_EVENT)
    add(harness, "b")
    response = harness.stream("/safe/1").read()
    assert (response.status, response.body) == (200, events(1, EVENTS))


def test_stream_that_broke_off_on_an_at_most_once_route_is_refused(harness):
    add(harness, "a", Behaviour.CLOSE_INSIDE_UNFRAMED_EVENT)
    other = add(harness, "b", Behaviour.REJECT)
    response = harness.stream("/unsafe/1").read()
    assert response.status == 502
    assert len(other.received) <= 1, "a rejection at most"


def test_streams_leave_threads_for_other_requests(harness, monkeypatch):
    monkeypatch.setattr(stream_slots, "MAX_CONCURRENT_STREAMS", 1)
    harness.instance.stream_slots.__init__()
    add(harness, "a", Behaviour.HANG_STREAM)
    first = harness.stream("/events/1")
    refused = harness.stream("/events/1").read()
    assert refused.status == 503
    assert "retry-after" in refused.headers
    assert harness.call("/safe/1").read().status == 200
    first.close()
    assert harness.is_idle()
    assert harness.stream("/events/1").read().body == events(1, EVENTS)
