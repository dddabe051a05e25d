"""Generations: prompts read apart, streams relayed whole, nothing held for those that are gone."""

from __future__ import annotations

import time

import pytest

from carawaydoor.operating import clocks
from carawaydoor.platform import names
from carawaydoor.policy import entities, load
from tests.platform_side import router_harness
from tests.platform_side.fake_upstream import Behaviour

READ, WRITE = entities.Stage.PREFILL, entities.Stage.DECODE


@pytest.fixture
def harness():
    with router_harness.running() as running:
        yield running


def events(first, last):
    return b"".join(b"id: %d\ndata: %d\n\n" % (n, n) for n in range(first, last + 1))


def test_prompt_is_read_apart_and_the_stream_relayed(harness):
    reader, writer = harness.add("p", READ), harness.add("d", WRITE)
    answer = harness.stream().read()
    assert (answer.status, answer.body, answer.is_cut) == (200, events(1, 5), False)
    assert reader.received[0].header(names.Header.STAGE) == "prefill"
    source = writer.received[0].header(names.Header.KV_SOURCE)
    assert source == f"127.0.0.1:{reader.port}/h1"
    assert harness.is_idle()


def test_connection_of_a_whole_stream_is_kept(harness):
    harness.add("p", READ)
    writer = harness.add("d", WRITE)
    for _ in range(3):
        harness.stream().read()
    assert writer.connections == 1


@pytest.mark.parametrize(
    "behaviour", [Behaviour.REJECT, Behaviour.RESET, Behaviour.RUBBISH, Behaviour.FAIL]
)
def test_decode_engine_reads_the_prompt_where_the_reader_fails(harness, behaviour):
    harness.add("p", READ).behaviours = [behaviour]
    writer = harness.add("d", WRITE)
    assert harness.stream().read().body == events(1, 5)
    assert writer.received[0].header(names.Header.KV_SOURCE) is None


def test_read_prompt_goes_to_another_engine_where_the_first_rejects(harness):
    """Found by scale-1: a prompt that was read was thrown away with the first rejection."""
    reader = harness.add("p", READ)
    writers = [harness.add("d", WRITE), harness.add("e", WRITE)]
    writers[0].behaviours = [Behaviour.REJECT]
    assert harness.stream().read().body == events(1, 5)
    assert len(reader.received) == 1
    assert writers[1].received[0].header(names.Header.KV_SOURCE)


def test_prompt_is_not_read_for_an_engine_that_is_gone(harness):
    """Found by scale-2: prompts were read for engines that refused the connection."""
    reader = harness.add("p", READ)
    harness.add("d", WRITE).stop()
    answer = harness.stream(patience_ms=1500).read()
    assert answer.status == 503
    assert reader.received == []
    assert harness.is_idle()


def test_read_prompt_that_nobody_takes_is_freed(harness):
    reader = harness.add("p", READ)
    harness.add("d", WRITE).behaviours = [Behaviour.REJECT]
    answer = harness.stream().read()
    assert answer.status == 503
    assert float(answer.headers["retry-after"]) > 0
    assert reader.released_handles == ["h1"]


def test_broken_stream_never_looks_whole(harness):
    harness.add("p", READ)
    harness.add("d", WRITE).behaviours = [Behaviour.BREAK_STREAM]
    answer = harness.stream().read()
    assert answer.is_cut
    assert answer.body == events(1, 2), "no part of an event"
    assert harness.is_idle()


@pytest.mark.parametrize("behaviour", [Behaviour.BREAK_STREAM, Behaviour.HANG_STREAM])
def test_stream_goes_on_at_the_engine_that_keeps_a_copy(harness, behaviour):
    harness.add("p", READ)
    first = harness.add("d", WRITE, events=6)
    second = harness.add("e", WRITE, events=6)
    first.behaviours = [behaviour]
    answer = harness.stream().read()
    assert (answer.body, answer.is_cut) == (events(1, 6), False)
    assert first.received[0].header(names.Header.KV_BACKUP) == f"127.0.0.1:{second.port}"
    again = second.received[0]
    assert again.header(names.Header.KV_SOURCE) == f"127.0.0.1:{second.port}/id-1"
    assert again.header(names.Header.LAST_EVENT_ID) == "2"
    assert harness.is_idle()


def test_engine_that_fails_before_the_first_event_is_not_called_not_run(harness):
    harness.add("p", READ)
    harness.add("d", WRITE).behaviours = [Behaviour.RESET]
    answer = harness.stream().read()
    assert answer.status == 502
    assert sum(len(each.runs) for each in harness.servers.values()) == 1


def test_caller_that_never_reads_holds_nothing(harness):
    harness.add("p", READ)
    writer = harness.add("d", WRITE)
    writer.behaviours = [Behaviour.HANG_STREAM]
    answer = harness.stream()
    assert answer.status == 200
    answer.close()
    assert writer.received[0].caller_disconnected.wait(1.0)
    assert harness.is_idle()


def test_caller_that_leaves_while_the_prompt_is_read_starts_no_run(harness):
    harness.add("p", READ).behaviours = [Behaviour.HANG]
    writer = harness.add("d", WRITE)
    began = time.monotonic()
    harness.stream(is_gone=lambda: time.monotonic() - began > 0.2).read()
    assert writer.received == []
    assert harness.is_idle()


def test_burst_beyond_memory_is_refused_with_the_time_to_come_back(harness):
    harness.add("p", READ)
    harness.add("d", WRITE)
    harness.instance.selector.load = load.Load({"d": load.Work(10, 59_000)}, {})
    began = time.monotonic()
    answer = harness.stream().read()
    assert answer.status == 503
    assert float(answer.headers["retry-after"]) > 0.5
    assert time.monotonic() - began < 2.0
    assert all(not each.received for each in harness.servers.values())


def test_streams_are_refused_late_in_a_shutdown():
    """Found by trouble-2: a stream that was taken 7.4 s after SIGTERM was cut."""
    clock = clocks.ManualClock()
    with router_harness.running(clock) as harness:
        harness.add("p", READ)
        harness.add("d", WRITE)
        harness.instance.drain_started_s = clock.now_s()
        clock.advance(2.9)
        assert harness.stream().read().status == 503


def test_refusal_for_want_of_room_does_not_use_up_the_cap(harness):
    """Found by reading: a caller that was turned away and came back met its workspace's cap."""
    small = entities.Workspace("w", None, 1000.0, 1000.0, True, 200.0)
    harness.configure(revision=2, workspace_by_key={router_harness.KEY: small})
    harness.add("p", READ)
    harness.add("d", WRITE)
    full = load.Load({"d": load.Work(10, 59_000)}, {})
    for _ in range(2):
        harness.instance.selector.load = full
        assert harness.stream(patience_ms=2000).read().status == 503
    harness.instance.selector.load = load.EMPTY
    assert harness.stream().read().status == 200
