"""A stream that broke off never reaches its caller as a complete one.

Regression: an engine crashed while it sent a stream with neither a length nor chunks. The end of its
connection was taken for the end of the stream, and the caller got a response framed as complete.
"""

from __future__ import annotations

import pytest

from carawaydoor.policy import entities
from tests.platform_side import router_harness
from tests.platform_side.fake_upstream import Behaviour

PREFILL, DECODE = entities.Stage.PREFILL, entities.Stage.DECODE

BREAKS = (
    Behaviour.CLOSE_INSIDE_UNFRAMED_EVENT,
    Behaviour.CLOSE_INSIDE_EVENT,
    Behaviour.CLOSE_BEFORE_UNFRAMED_EVENT,
)


@pytest.fixture
def harness():
    with router_harness.running() as running:
        running.add_upstream("p", PREFILL)
        yield running


def events(first, last):
    return b"".join(b"id: %d\ndata: %d\n\n" % (n, n) for n in range(first, last + 1))


@pytest.mark.parametrize("behaviour", BREAKS[:2])
def test_stream_that_its_engine_ended_early_is_truncated(harness, behaviour):
    harness.add_upstream("d", DECODE, events=6).behaviours = [behaviour]
    response = harness.stream().read()
    assert response.is_truncated
    assert response.body == events(1, 2)
    assert harness.is_idle()


@pytest.mark.parametrize(
    "behaviour", [Behaviour.CLOSE_BEFORE_UNFRAMED_EVENT, Behaviour.BREAK_STREAM]
)
def test_stream_that_broke_off_before_its_first_event_is_refused(harness, behaviour):
    """The caller got a 500 of the HTTP server, without the id of its request."""
    harness.add_upstream("d", DECODE, events=1).behaviours = [behaviour]
    response = harness.stream().read()
    assert (response.status, response.is_truncated) == (502, False)
    assert response.headers["carawaydoor-request-id"] == "id-1"
    assert "retry-after" not in response.headers, "it may have run"
    assert harness.is_idle()


@pytest.mark.parametrize("behaviour", BREAKS)
def test_stream_that_its_engine_ended_early_goes_on_at_another_one(harness, behaviour):
    harness.add_upstream("d", DECODE, events=6).behaviours = [behaviour]
    harness.add_upstream("e", DECODE, events=6)
    response = harness.stream().read()
    assert (response.body, response.is_truncated) == (events(1, 6), False)
    assert harness.is_idle()


@pytest.mark.parametrize("behaviour", BREAKS)
def test_resumable_stream_that_its_engine_ended_early_is_run_again(harness, behaviour):
    harness.add_upstream("d", DECODE, events=6).behaviours = [behaviour]
    harness.add_upstream("e", DECODE, events=6).behaviours = [Behaviour.REJECT] * 3
    harness.add_upstream("f", DECODE, events=6)
    response = harness.stream("/resumable/1").read()
    assert (response.body, response.is_truncated) == (events(1, 6), False)


def test_complete_stream_without_framing_is_relayed_complete(harness):
    harness.add_upstream("d", DECODE, events=6).behaviours = [Behaviour.UNFRAMED_STREAM]
    response = harness.stream().read()
    assert (response.body, response.is_truncated) == (events(1, 6), False)
    assert harness.is_idle()


def test_failure_response_of_an_engine_needs_no_events(harness):
    harness.add_upstream("d", DECODE).behaviours = [Behaviour.FAIL]
    response = harness.stream().read()
    assert (response.status, response.body, response.is_truncated) == (500, b"failed", False)
