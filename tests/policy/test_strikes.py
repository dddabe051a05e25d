"""Requests are suspended only if upstreams crash whenever they run them.

Regression: two servers crashed, one after the other, while they ran the same status read. All instances
refused that read for five minutes, although it was served between the crashes and all servers were back.
"""

from __future__ import annotations

import pytest

from carawaydoor.policy import sound_requests, strikes

NOW_S = 1000.0


def after(*times_s):
    state = strikes.EMPTY
    for number, at_s in enumerate(times_s):
        state = strikes.add(state, at_s, "f", f"upstream-{number}")
    return state


def is_suspended(state, sound_s=None, now_s=NOW_S + 20.0):
    return strikes.suspended_for_s(state, now_s, "f", sound_s) > 0.0


def test_request_that_was_never_seen_sound_is_suspended_after_two_crashes():
    assert not is_suspended(after(NOW_S))
    assert is_suspended(after(NOW_S, NOW_S))
    assert is_suspended(after(NOW_S, NOW_S + 8.0))


def test_sound_run_takes_back_the_strikes_before_it():
    assert not is_suspended(after(NOW_S, NOW_S + 8.0, NOW_S + 9.0), sound_s=NOW_S + 9.0)
    state = after(NOW_S, NOW_S + 2.0, NOW_S + 4.0, NOW_S + 6.0)
    assert not is_suspended(state, sound_s=NOW_S + 3.0), "two crashes after it"


def test_upstreams_that_fail_together_count_once_against_a_request_that_was_sound():
    together = [NOW_S + 0.1 * number for number in range(5)]
    assert not is_suspended(after(*together), sound_s=NOW_S - 1.0)
    assert is_suspended(after(*together, NOW_S + 3.0, NOW_S + 6.0), sound_s=NOW_S - 1.0)


def test_request_that_was_sound_is_suspended_if_it_crashes_upstreams_now():
    state = after(NOW_S, NOW_S + 2.0, NOW_S + 4.0)
    assert is_suspended(state, sound_s=NOW_S - 1.0)
    now_s = NOW_S + 10.0
    ends_s = strikes.suspended_for_s(state, now_s, "f", NOW_S - 1.0) + now_s
    assert ends_s == pytest.approx(NOW_S + 4.0 + strikes.SUSPENSION_S)


def test_newest_sound_run_counts():
    sound = sound_requests.SoundRequests()
    assert sound.last_s("f") is None
    sound.record("f", 5.0)
    sound.record("f", 3.0)
    assert sound.last_s("f") == 5.0
    assert sound.known(["f", "g"]) == {"f": 5.0}


def test_sound_runs_are_bounded():
    sound = sound_requests.SoundRequests()
    for number in range(sound_requests.MAX_REQUESTS + 10):
        sound.record(str(number), 1.0)
    assert sound.last_s("0") is None
    assert len(sound.known(map(str, range(9000)))) == sound_requests.MAX_REQUESTS
