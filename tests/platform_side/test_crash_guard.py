"""What instances tell each other about crashes stays small and reaches instances that start later."""

from __future__ import annotations

import dataclasses

from carawaydoor.fleet import report_selection
from carawaydoor.operating import clocks
from carawaydoor.policy import crash_suspects
from carawaydoor.serving import crash_guard
from tests.policy import builders

MAX_PER_REPORT = report_selection.MAX_URGENT_PER_REPORT + report_selection.MAX_REPEATED_PER_REPORT


def guard_after_crashes(clock, count):
    guard = crash_guard.CrashGuard(clock)
    for number in range(count):
        engine = builders.decode(f"d{number}")
        guard.record_crash(f"r{number}", f"fingerprint-{number}", engine, [f"p{number}", "x"])
        guard.record_sound(f"sound-{number}", [f"p{number}"])
    return guard


def test_reports_are_bounded_however_many_crashes_there_were():
    guard = guard_after_crashes(clocks.ManualClock(), 3 * MAX_PER_REPORT)
    shared = guard.share()
    for each in dataclasses.fields(shared):
        assert len(getattr(shared, each.name)) <= MAX_PER_REPORT, each.name


def test_all_that_counts_is_told_again_in_turn():
    clock = clocks.ManualClock()
    guard = guard_after_crashes(clock, 40)
    clock.advance(60.0)
    later = crash_guard.CrashGuard(clock)
    for _ in range(40 // report_selection.MAX_REPEATED_PER_REPORT + 1):
        shared = guard.share()
        for each in shared.strikes:
            later.apply_strike(each)
        for each in shared.crashes:
            later.apply_crash(each)
        for part, age_s in shared.sound_age_s_by_part.items():
            later.apply_sound_part(part, age_s)
    assert later.suspended_for_s("other", ["x"]) > 0.0
    assert later.suspended_for_s("other", ["p1"]) == 0.0
    assert len(later.share().crashes) == report_selection.MAX_REPEATED_PER_REPORT


def test_nothing_is_told_after_the_suspension_has_ended():
    clock = clocks.ManualClock()
    guard = guard_after_crashes(clock, 4)
    clock.advance(crash_suspects.SUSPENSION_S + 1.0)
    shared = guard.share()
    assert (shared.strikes, shared.crashes) == ((), ())
