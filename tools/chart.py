"""Plots a benchmark report."""

from __future__ import annotations

import pathlib
from collections.abc import Sequence
from typing import Any, Final

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot

METRIC_TARGETS: Final = (
    ("goodput_ratio", 0.95),
    ("worst_workspace_ratio", 0.9),
    ("wasted_prefill_ratio", 0.01),
    ("refused_within_rate", 0.0),
    ("status_p99_over_idle", 1.2),
)


def plot(rows: Sequence[dict[str, Any]], path: pathlib.Path) -> None:
    """Plot a panel per metric and deployment, with the target as a dashed line."""
    names = sorted({row["deployment"] for row in rows})
    if not names:
        return
    figure, axes = pyplot.subplots(
        len(METRIC_TARGETS), len(names), figsize=(7 * len(names), 14), squeeze=False
    )
    for column_index, name in enumerate(names):
        for row_index, (metric, target) in enumerate(METRIC_TARGETS):
            _plot_panel(
                axes[row_index][column_index],
                [row for row in rows if row["deployment"] == name],
                metric,
            )
            axes[row_index][column_index].axhline(
                target, color="black", linewidth=0.8, linestyle="--"
            )
            axes[row_index][column_index].set_title(
                f"{name}: {metric} (target {target})", fontsize=9
            )
    figure.tight_layout()
    figure.savefig(path, dpi=80)


def _plot_panel(axes: Any, rows: Sequence[dict[str, Any]], metric: str) -> None:
    policies = sorted({row["policy"] for row in rows})
    scenarios = list(dict.fromkeys(row["scenario"] for row in rows))
    width = 0.8 / max(1, len(policies))
    for index, policy in enumerate(policies):
        by_scenario = {row["scenario"]: row[metric] for row in rows if row["policy"] == policy}
        positions = [number + index * width for number in range(len(scenarios))]
        axes.bar(positions, [by_scenario.get(each, 0) for each in scenarios], width, label=policy)
    axes.set_xticks([number + 0.3 for number in range(len(scenarios))])
    axes.set_xticklabels(scenarios, fontsize=7)
    axes.legend(fontsize=6)
