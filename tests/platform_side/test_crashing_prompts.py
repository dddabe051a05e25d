"""A part of prompts that crashes engines is suspended, and sound prompts are served.

Regression: requests that shared one part of their prompts, no two alike otherwise, crashed engines one
after the other. Strikes were kept by whole request, so none of them ever had a second one.
"""

from __future__ import annotations

import pytest

from carawaydoor.operating import clocks
from carawaydoor.platform import names
from carawaydoor.policy import entities, upstream_directory
from tests.platform_side import router_harness
from tests.platform_side.fake_upstream import Behaviour

DECODE = entities.Stage.DECODE


@pytest.fixture
def harness():
    with router_harness.running() as running:
        yield running


def send(harness, *shared_parts, path="/stream/1"):
    """Send a prompt that has these parts and one of its own."""
    send.count += 1
    parts = [*(f"{each}:200" for each in shared_parts), f"{send.count:x}:4000"]
    headers = {names.Header.PROMPT_PARTS: ",".join(parts)}
    return harness.stream(path, headers=headers, body=str(send.count).encode())


send.count = 0


def crash_engine(harness, *shared_parts, path="/stream/1"):
    """Have a prompt crash an engine, and remove the engine from the directory."""
    name = f"crashing-{send.count}"
    harness.add_upstream(name, DECODE).behaviours = [Behaviour.CRASH_IN_STREAM]
    response = send(harness, *shared_parts, path=path).read()
    harness.instance.selector.health = {}
    harness.instance.update_directory(
        upstream_directory.Changes({name: None}, harness.instance.directory.revision + 1)
    )
    return response


def tell_peer(sender, receiver):
    receiver.instance.handle_report(sender.instance.compose_report()[0])


def test_prompts_with_a_part_that_crashed_engines_are_refused(harness):
    for _ in range(3):
        assert crash_engine(harness, "aa", "bad").is_truncated
    sound_engine = harness.add_upstream("sound", DECODE)
    refused = send(harness, "aa", "bad").read()
    assert (refused.status, "retry-after" in refused.headers) == (503, True)
    assert sound_engine.received == []


def test_sound_prompts_of_the_same_caller_are_served_meanwhile(harness):
    for _ in range(3):
        crash_engine(harness, "aa", "bad", "cc")
    harness.add_upstream("sound", DECODE)
    assert send(harness, "aa", "bad", "cc").read().status == 503
    for parts in (["aa"], ["aa", "cc"], ["aa", "other", "cc"], []):
        assert send(harness, *parts).read().status == 200, parts


def test_resumable_stream_with_such_a_part_is_not_run_again(harness):
    """A continuation would crash the next engine."""
    for _ in range(2):
        crash_engine(harness, "aa", "bad", path="/resumable/1")
    engines = [harness.add_upstream(each, DECODE) for each in ("one", "two")]
    for each in engines:
        each.behaviours = [Behaviour.CRASH_IN_STREAM]
    assert send(harness, "aa", "bad", path="/resumable/1").read().is_truncated
    assert sum(len(each.runs) for each in engines) == 1


def test_instance_that_starts_later_learns_of_such_a_part():
    """An instance that was restarted would have let the part crash further engines."""
    clock = clocks.ManualClock()
    with (
        router_harness.running(clock) as first,
        router_harness.running(clock, "restarted") as restarted,
    ):
        for _ in range(3):
            crash_engine(first, "aa", "bad")
        clock.advance(30.0)
        for _ in range(4):
            tell_peer(first, restarted)
        restarted.configure(revision=2)
        engine = restarted.add_upstream("sound", DECODE)
        assert send(restarted, "aa", "bad").read().status == 503
        assert engine.received == []
