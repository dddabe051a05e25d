"""Tests of the stand-ins."""

from __future__ import annotations

from standins import engine


def test_load_is_reported_with_a_lag() -> None:
    """The engine reports the number of active requests as it was ``LOAD_REPORT_LAG_S`` ago."""
    state = engine.EngineState()
    state.active.update(("a", "b"))
    state.record_load()
    recorded_s = state.load_samples[-1][0]
    assert state.reported_load(recorded_s + engine.LOAD_REPORT_LAG_S / 2) == 0
    assert state.reported_load(recorded_s + engine.LOAD_REPORT_LAG_S) == 2
