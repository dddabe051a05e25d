"""Draws the rows of a benchmark report."""

from __future__ import annotations

import pathlib
from collections.abc import Sequence
from typing import Any, Final

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot

MEASURES: Final = (
    ("goodput_ratio", 0.95),
    ("worst_workspace_ratio", 0.9),
    ("wasted_prefill_ratio", 0.01),
    ("refused_within_rate", 0.0),
    ("status_p99_over_idle", 1.2),
)


def draw(rows: Sequence[dict[str, Any]], path: pathlib.Path) -> None:
    """Draw one panel per measure and deployment, with the target as a line."""
    names = sorted({row["deployment"] for row in rows})
    if not names:
        return
    figure, axes = pyplot.subplots(
        len(MEASURES), len(names), figsize=(7 * len(names), 14), squeeze=False
    )
    for column, name in enumerate(names):
        for line, (measure, target) in enumerate(MEASURES):
            _panel(axes[line][column], [row for row in rows if row["deployment"] == name], measure)
            axes[line][column].axhline(target, color="black", linewidth=0.8, linestyle="--")
            axes[line][column].set_title(f"{name}: {measure} (target {target})", fontsize=9)
    figure.tight_layout()
    figure.savefig(path, dpi=80)


def _panel(axes: Any, rows: Sequence[dict[str, Any]], measure: str) -> None:
    policies = sorted({row["policy"] for row in rows})
    scenarios = list(dict.fromkeys(row["scenario"] for row in rows))
    width = 0.8 / max(1, len(policies))
    for index, policy in enumerate(policies):
        by_scenario = {row["scenario"]: row[measure] for row in rows if row["policy"] == policy}
        places = [number + index * width for number in range(len(scenarios))]
        axes.bar(places, [by_scenario.get(each, 0) for each in scenarios], width, label=policy)
    axes.set_xticks([number + 0.3 for number in range(len(scenarios))])
    axes.set_xticklabels(scenarios, fontsize=7)
    axes.legend(fontsize=6)
