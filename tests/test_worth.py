"""Tests of the table and plot of worth by day."""

from __future__ import annotations

from tools import worth


def entry(snapshot, at, score, worths, cmd="score"):
    days = [{"name": name, "G": value, "top": 0.9} for name, value in worths.items()]
    random_day = {"name": "fresh-1", "G": 0.1, "top": 0.2}
    return {
        "cmd": cmd,
        "id": snapshot,
        "site": "s",
        "at": [at, at],
        "score": score,
        "days": [*days, random_day],
    }


def test_score_entries_are_in_the_order_of_time(tmp_path):
    scores = worth.score_entries(
        [
            entry("b", "2026-01-02", 0.8, {"quiet-1": 0.9, "scale-1": 0.4}),
            entry("a", "2026-01-01", 0.5, {"quiet-1": 0.7}),
            entry("c", "2026-01-03", None, {"quiet-1": 0.7}),
            entry("d", "2026-01-03", 0.5, {}, cmd="run"),
        ]
    )
    assert [each.snapshot for each in scores] == ["a", "b"]
    table = worth.describe(scores)
    assert "| a | 0.700 | nan | 0.500 |" in table
    assert "| b | 0.900 | 0.400 | 0.800 |" in table
    assert "fresh" not in table
    worth.plot(scores, tmp_path / "worth.png")
    assert (tmp_path / "worth.png").stat().st_size > 0
