"""A stream is cut only if its engine failed and no other engine can go on with it.

Regression: a stream whose engine paused for 1.2 s, as engines do when they preempt a request, was
closed at that engine. The engine with the copy rejected the continuation, and the caller's connection
was closed in the middle of an answer that the first engine would have completed.
"""

from __future__ import annotations

import time

import pytest

from carawaydoor.policy import entities
from carawaydoor.serving import stall_watch
from tests.platform_side import router_harness
from tests.platform_side.fake_upstream import Behaviour

PREFILL, DECODE = entities.Stage.PREFILL, entities.Stage.DECODE


@pytest.fixture
def harness():
    with router_harness.running() as running:
        running.add_upstream("p", PREFILL)
        yield running


def events(first, last):
    return b"".join(b"id: %d\ndata: %d\n\n" % (n, n) for n in range(first, last + 1))


def add_decode_engines(harness, **behaviours_by_name):
    engines = {}
    for name, behaviours in behaviours_by_name.items():
        engines[name] = harness.add_upstream(name, DECODE, events=6)
        engines[name].behaviours = list(behaviours)
    return engines


@pytest.mark.parametrize("rejections", [1, 5])
def test_paused_stream_goes_on_if_its_continuation_is_rejected(harness, rejections):
    engines = add_decode_engines(
        harness, d=[Behaviour.PAUSE_STREAM], e=[Behaviour.REJECT] * rejections
    )
    response = harness.stream().read()
    assert (response.body, response.is_truncated) == (events(1, 6), False)
    assert engines["e"].received, "the continuation is offered to the engine with the copy"
    assert not engines["d"].received[0].caller_disconnected.is_set()
    assert harness.is_idle()


def test_paused_stream_without_a_copy_goes_on(harness):
    add_decode_engines(harness, d=[Behaviour.PAUSE_STREAM])
    response = harness.stream().read()
    assert (response.body, response.is_truncated) == (events(1, 6), False)


def test_stalled_engine_stops_work_once_another_one_has_accepted_the_stream(harness):
    engines = add_decode_engines(harness, d=[Behaviour.HANG_STREAM], e=[])
    response = harness.stream().read()
    assert (response.body, response.is_truncated) == (events(1, 6), False)
    assert engines["d"].received[0].caller_disconnected.wait(0.4)


def test_stream_that_is_silent_for_a_moment_is_run_by_one_engine(harness):
    """It was sent to a second one after 1.2 s, and both worked on it until the deadline."""
    engines = add_decode_engines(harness, d=[Behaviour.PAUSE_STREAM], e=[Behaviour.HANG])
    engines["d"].pause_s = 1.3
    response = harness.stream("/resumable/1").read()
    assert (response.body, response.is_truncated) == (events(1, 6), False)
    assert engines["e"].received == []
    assert harness.is_idle()


def test_offer_of_a_silent_stream_ends_in_time(harness):
    """Two engines must not work on a stream for longer than 0.4 s."""
    engines = add_decode_engines(harness, d=[Behaviour.PAUSE_STREAM], e=[Behaviour.HANG])
    response = harness.stream("/resumable/1").read()
    (offered,) = engines["e"].received
    assert offered.caller_disconnected.wait(0.0)
    assert offered.disconnected_s - offered.at_s < 0.4
    assert (response.body, response.is_truncated) == (events(1, 6), False)
    assert harness.is_idle()


def test_offer_ends_as_soon_as_the_stream_goes_on(harness):
    engines = add_decode_engines(harness, d=[Behaviour.PAUSE_STREAM], e=[Behaviour.HANG])
    engines["d"].pause_s = stall_watch.MAX_SOUND_SILENCE_S + 0.1
    response = harness.stream("/resumable/1").read()
    (offered,) = engines["e"].received
    assert offered.disconnected_s - offered.at_s < stall_watch.OFFER_OF_SILENT_TIMEOUT_S
    assert (response.body, response.is_truncated) == (events(1, 6), False)


def test_stream_of_an_engine_that_does_not_respond_is_moved_soon(harness):
    engines = add_decode_engines(harness, d=[Behaviour.HANG_STREAM], e=[])
    response = harness.stream("/resumable/1")
    started_s = time.monotonic()
    engines["d"].stop_listening()
    assert response.read().body == events(1, 6)
    moved_s = engines["e"].received[0].at_s - started_s
    assert moved_s < stall_watch.MAX_SOUND_SILENCE_S - 0.5


def test_rejected_continuation_of_a_broken_stream_is_offered_again(harness):
    add_decode_engines(harness, d=[Behaviour.BREAK_STREAM], e=[Behaviour.REJECT, Behaviour.REJECT])
    response = harness.stream().read()
    assert (response.body, response.is_truncated) == (events(1, 6), False)
    assert harness.is_idle()


def test_resumable_stream_goes_on_at_an_engine_without_a_copy(harness):
    """The engine with the copy rejects the continuation, so a third one prefills again."""
    engines = add_decode_engines(
        harness, d=[Behaviour.BREAK_STREAM], e=[Behaviour.REJECT] * 20, f=[]
    )
    copy_holder = engines["e"]
    response = harness.stream("/resumable/1").read()
    assert (response.body, response.is_truncated) == (events(1, 6), False)
    if copy_holder.received:
        assert engines["f"].received[-1].header("Last-Event-Id") == "2"
    assert harness.is_idle()


def test_stream_that_no_engine_can_continue_is_visibly_truncated(harness):
    add_decode_engines(harness, d=[Behaviour.BREAK_STREAM], e=[Behaviour.REJECT] * 50)
    response = harness.stream().read()
    assert response.is_truncated
    assert response.body == events(1, 2)
    assert harness.is_idle()


def test_stream_that_may_have_run_elsewhere_is_not_offered_there_again(harness):
    engines = add_decode_engines(harness, d=[Behaviour.BREAK_STREAM], e=[Behaviour.RESET])
    assert harness.stream().read().is_truncated
    assert len(engines["e"].received) == 1
