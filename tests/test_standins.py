"""The engine stand-in reports its load with a lag."""

from __future__ import annotations

from standins import engine


def test_load_is_reported_with_a_lag() -> None:
    """A report shows the requests at work as they were some time ago."""
    ledger = engine.Ledger()
    ledger.active.update(("a", "b"))
    ledger.note_load()
    noted_s = ledger.loads[-1][0]
    assert ledger.reported_load(noted_s + engine.LOAD_LAG_S / 2) == 0
    assert ledger.reported_load(noted_s + engine.LOAD_LAG_S) == 2
