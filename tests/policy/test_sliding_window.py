"""Own amounts and those of peers enter and leave the window."""

from __future__ import annotations

import pytest

from carawaydoor.policy import sliding_window


def test_own_amounts_leave_the_window_and_stay_in_the_total():
    counts = sliding_window.add(sliding_window.WindowCounts(2.0), 0.0, "a", 3.0)
    assert sliding_window.total(counts, 1.9, "a") == 3.0
    assert sliding_window.total(counts, 2.1, "a") == 0.0
    assert counts.own_totals_by_name == {"a": 3.0}


def test_first_totals_of_a_peer_are_only_a_baseline():
    counts = sliding_window.merge_peer_totals(
        sliding_window.WindowCounts(2.0), 0.0, "p", {"a": 100.0}
    )
    counts = sliding_window.merge_peer_totals(counts, 0.5, "p", {"a": 104.0})
    assert sliding_window.total(counts, 0.5, "a") == 4.0
    assert sliding_window.merge_peer_totals(counts, 0.6, "p", {"a": 104.0}) is counts


def test_amounts_of_a_removed_peer_stay_in_the_window():
    counts = sliding_window.merge_peer_totals(
        sliding_window.WindowCounts(2.0), 0.0, "p", {"a": 0.0}
    )
    counts = sliding_window.remove_peer(
        sliding_window.merge_peer_totals(counts, 0.5, "p", {"a": 4.0}), "p"
    )
    assert sliding_window.total(counts, 0.6, "a") == 4.0
    assert not counts.totals_by_peer


def test_intervals_of_names_that_only_peers_count_expire():
    """Intervals of such names were kept forever and copied at each report."""
    counts = sliding_window.merge_peer_totals(
        sliding_window.WindowCounts(8.0), 0.0, "p", {"a": 0.0}
    )
    for second in range(1, 1000):
        counts = sliding_window.merge_peer_totals(counts, float(second), "p", {"a": float(second)})
    assert sliding_window.total(counts, 999.0, "a") == pytest.approx(8.0)
    assert len(counts.intervals_by_name["a"]) <= 8.0 / sliding_window.INTERVAL_S
