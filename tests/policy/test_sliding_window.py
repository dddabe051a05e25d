"""Amounts in a sliding window over all instances."""

from __future__ import annotations

import pytest

from carawaydoor.policy import sliding_window


def test_own_amounts_leave_the_window_and_stay_in_the_total():
    counts = sliding_window.add(sliding_window.WindowCounts(2.0), 0.0, "a", 3.0)
    assert sliding_window.total(counts, 1.9, "a") == 3.0
    assert sliding_window.total(counts, 2.1, "a") == 0.0
    assert counts.own_totals_by_name == {"a": 3.0}


def test_only_what_a_peer_adds_counts():
    counts = sliding_window.merge_peer_totals(
        sliding_window.WindowCounts(2.0), 0.0, "p", {"a": 100.0}
    )
    counts = sliding_window.merge_peer_totals(counts, 0.5, "p", {"a": 104.0})
    assert sliding_window.total(counts, 0.5, "a") == 4.0
    assert sliding_window.merge_peer_totals(counts, 0.6, "p", {"a": 104.0}) is counts


def test_what_a_forgotten_peer_added_stays_in_the_window():
    counts = sliding_window.merge_peer_totals(
        sliding_window.WindowCounts(2.0), 0.0, "p", {"a": 0.0}
    )
    counts = sliding_window.remove_peer(
        sliding_window.merge_peer_totals(counts, 0.5, "p", {"a": 4.0}), "p"
    )
    assert sliding_window.total(counts, 0.6, "a") == 4.0
    assert not counts.totals_by_peer


def test_names_that_only_peers_use_hold_no_more_than_a_window():
    """Slots of a workspace that had no request here were kept for good, and copied each time."""
    counts = sliding_window.merge_peer_totals(
        sliding_window.WindowCounts(8.0), 0.0, "p", {"a": 0.0}
    )
    for second in range(1, 1000):
        counts = sliding_window.merge_peer_totals(counts, float(second), "p", {"a": float(second)})
    assert sliding_window.total(counts, 999.0, "a") == pytest.approx(8.0)
    assert len(counts.intervals_by_name["a"]) <= 8.0 / sliding_window.INTERVAL_S
