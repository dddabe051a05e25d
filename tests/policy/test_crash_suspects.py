"""The part of prompts that crashes engines is found among sound ones.

Load: engines crash one after the other on prompts that share a part, each taking sound generations of
the same callers with it, while other sound ones go on.
"""

from __future__ import annotations

import hypothesis
from hypothesis import strategies as st

from carawaydoor.policy import crash_suspects

NOW_S = 1000.0


def crash(engine, parts, at_s=NOW_S, request=""):
    name = request or f"request-{engine}-{parts}"
    return crash_suspects.Crash(f"engine-{engine}", name, frozenset(parts), at_s)


def after(*crashes, sound=()):
    """Return the evidence after crashes and proofs of sound parts, each a time and the parts."""
    evidence = crash_suspects.EMPTY
    for each in crashes:
        evidence = crash_suspects.record_crash(evidence, each.at_s, each)
    for at_s, parts in sound:
        evidence = crash_suspects.record_sound(evidence, at_s, parts)
    return evidence


def is_suspended(evidence, parts, now_s=NOW_S + 1.0):
    return crash_suspects.suspended_for_s(evidence, now_s, parts) > 0.0


def test_three_crashes_suspend_prompts_with_the_same_parts():
    two = after(*(crash(engine, "fx") for engine in range(2)))
    assert not is_suspended(two, "fx")
    three = after(*(crash(engine, "fx") for engine in range(3)))
    assert is_suspended(three, "fx")
    assert is_suspended(three, "fxa")


def test_prompts_with_some_of_the_suspect_parts_still_run():
    evidence = after(*(crash(engine, "fx") for engine in range(5)))
    assert not is_suspended(evidence, "f")
    assert not is_suspended(evidence, "fa")


def test_sound_part_is_no_longer_suspect():
    evidence = after(*(crash(engine, "fx") for engine in range(3)), sound=[(NOW_S + 1.0, "f")])
    assert not is_suspended(evidence, "f")
    assert is_suspended(evidence, "ax"), "the remaining suspect alone is enough"


def test_part_that_varies_beside_the_suspect_does_not_hide_it():
    evidence = after(crash(1, "fax"), crash(2, "fbx"), crash(3, "fcx"))
    assert is_suspended(evidence, "fdx")
    assert not is_suspended(evidence, "fa")


def test_generations_that_an_engine_took_with_it_are_not_suspended():
    """Sound callers were caught in three crashes in a row before any of their prompts ended."""
    crashes = []
    for engine in range(4):
        crashes += [crash(engine, "fx"), crash(engine, "f"), crash(engine, "fy")]
    evidence = after(*crashes, sound=[(NOW_S - 5.0, "fy")])
    assert is_suspended(evidence, "fx")
    assert not is_suspended(evidence, "f")
    assert not is_suspended(evidence, "fy")


def test_one_crash_that_many_generations_saw_counts_once():
    evidence = after(*(crash(1, "fx", request=f"r{number}") for number in range(9)))
    assert not is_suspended(evidence, "fx")


def test_part_that_was_sound_before_is_suspended_if_it_crashes_engines_now():
    crashes = [crash(engine, "f", NOW_S + engine) for engine in range(3)]
    evidence = after(*crashes, sound=[(NOW_S - 50.0, "f")])
    assert is_suspended(evidence, "f", NOW_S + 3.0)


def test_pool_that_fails_at_once_does_not_suspend_prompts_that_were_sound():
    """All decode engines crashed together; the streams that shared a part were refused from then on."""
    together = [crash(engine, "f", NOW_S + 0.1 * engine) for engine in range(4)]
    evidence = after(*together, sound=[(NOW_S - 5.0, "f")])
    assert not is_suspended(evidence, "f")
    assert not is_suspended(evidence, "fa")
    unknown = after(*(crash(engine, "fx") for engine in range(4)), sound=[(NOW_S - 5.0, "f")])
    assert is_suspended(unknown, "fx"), "the part that was never seen sound"
    assert not is_suspended(unknown, "f")


def test_sound_part_is_suspended_after_a_common_failure_and_two_more():
    crashes = [crash(engine, "f", NOW_S) for engine in range(3)]
    crashes += [crash(engine, "f", NOW_S + engine) for engine in (3, 5)]
    assert is_suspended(after(*crashes, sound=[(NOW_S - 5.0, "f")]), "f", NOW_S + 6.0)


def test_suspension_ends():
    evidence = after(*(crash(engine, "fx") for engine in range(3)))
    assert is_suspended(evidence, "fx", NOW_S + crash_suspects.SUSPENSION_S - 1.0)
    assert not is_suspended(evidence, "fx", NOW_S + crash_suspects.SUSPENSION_S + 1.0)


def test_prompts_without_shared_parts_are_never_suspended():
    evidence = after(*(crash(engine, "") for engine in range(5)))
    assert not is_suspended(evidence, "")


def test_evidence_is_bounded():
    count = 2 * crash_suspects.MAX_CRASHES
    evidence = after(*(crash(engine, [f"p{engine}"]) for engine in range(count)))
    assert len(evidence.crash_by_id) == crash_suspects.MAX_CRASHES
    for number in range(2 * crash_suspects.MAX_SOUND_PARTS):
        evidence = crash_suspects.record_sound(evidence, NOW_S, [f"p{number}"])
    assert len(evidence.sound_s_by_part) == crash_suspects.MAX_SOUND_PARTS


@hypothesis.given(
    sound_prompts=st.lists(st.sets(st.sampled_from("abcdef"), min_size=1), min_size=1, max_size=8),
    killing_prompts=st.lists(st.sets(st.sampled_from("abcdef")), min_size=3, max_size=8),
    order=st.randoms(use_true_random=False),
)
def test_whatever_crashes_beside_it_one_part_is_found_and_sound_prompts_run(
    sound_prompts, killing_prompts, order
):
    """Each killing prompt ends an engine and the sound prompts on it; then all sound ones end well."""
    evidence = crash_suspects.EMPTY
    for engine, parts in enumerate(killing_prompts):
        caught = order.sample(sound_prompts, order.randint(0, len(sound_prompts)))
        for number, each in enumerate([parts | {"x"}, *caught]):
            evidence = crash_suspects.record_crash(
                evidence, NOW_S, crash(engine, each, request=f"{engine}-{number}")
            )
    for parts in sound_prompts:
        evidence = crash_suspects.record_sound(evidence, NOW_S + 1.0, parts)
    assert all(not is_suspended(evidence, each) for each in sound_prompts)
    everything = set("abcdefx")
    assert is_suspended(evidence, everything)
