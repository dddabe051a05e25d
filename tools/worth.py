"""Shows the worth of each standard day over all scores in the entries of ``journal/``.

Prints a table and plots ``docs/worth.png``.
"""

from __future__ import annotations

import argparse
import dataclasses
import json
import pathlib
from collections.abc import Iterable, Mapping, Sequence
from typing import Any, Final

import matplotlib
from matplotlib import pyplot

JOURNAL_DIRECTORY: Final = pathlib.Path("journal")
# Prefix of days that were drawn for one score only and cannot be compared.
RANDOM_DAY_PREFIX: Final = "fresh-"
PLOT_PATH: Final = pathlib.Path("docs/worth.png")


@dataclasses.dataclass(frozen=True, slots=True)
class ScoreEntry:
    """One score of a site.

    :ivar snapshot: id of the journal entry
    :ivar worth_by_day: worth of each standard day
    :ivar full_score_worth_by_day: worth at which the day scores 1
    """

    site: str
    scored_at: str
    snapshot: str
    score: float
    worth_by_day: Mapping[str, float]
    full_score_worth_by_day: Mapping[str, float]


def score_entries(entries: Iterable[Mapping[str, Any]]) -> list[ScoreEntry]:
    """Return the scores among the journal entries, oldest first."""
    scores = (each for each in entries if each["cmd"] == "score" and each.get("score") is not None)
    return [
        ScoreEntry(
            site=entry["site"],
            scored_at=entry["at"][0],
            snapshot=entry["id"],
            score=entry["score"],
            worth_by_day={day["name"]: day["G"] for day in _standard_days(entry)},
            full_score_worth_by_day={day["name"]: day["top"] for day in _standard_days(entry)},
        )
        for entry in sorted(scores, key=lambda each: each["at"][0])
    ]


def _standard_days(entry: Mapping[str, Any]) -> list[Mapping[str, Any]]:
    return [day for day in entry["days"] if not day["name"].startswith(RANDOM_DAY_PREFIX)]


def describe(scores: Sequence[ScoreEntry]) -> str:
    """Return a Markdown table for each site."""
    lines: list[str] = []
    for site, site_scores in _by_site(scores).items():
        days = list(site_scores[-1].worth_by_day)
        lines.append(f"| {site} | {' | '.join(days)} | score |")
        lines.append("|---" * (len(days) + 2) + "|")
        full_score_worths = [f"{site_scores[-1].full_score_worth_by_day[day]:.3f}" for day in days]
        lines.append(f"| mark | {' | '.join(full_score_worths)} | |")
        for each in site_scores:
            worths = [f"{each.worth_by_day.get(day, float('nan')):.3f}" for day in days]
            lines.append(f"| {each.snapshot} | {' | '.join(worths)} | {each.score:.3f} |")
        lines.append("")
    return "\n".join(lines)


def plot(scores: Sequence[ScoreEntry], path: pathlib.Path) -> None:
    """Plot worth over the scores, with a panel per site and a line per day."""
    matplotlib.use("Agg")
    by_site = _by_site(scores)
    figure, panels = pyplot.subplots(
        1, len(by_site), figsize=(6 * len(by_site), 4.5), squeeze=False
    )
    for panel, (site, site_scores) in zip(panels[0], by_site.items(), strict=True):
        names = [each.snapshot for each in site_scores]
        for day, full_score_worth in site_scores[-1].full_score_worth_by_day.items():
            worths = [each.worth_by_day.get(day, float("nan")) for each in site_scores]
            (line,) = panel.plot(names, worths, marker="o", label=day)
            panel.axhline(full_score_worth, color=line.get_color(), linewidth=0.6, linestyle=":")
        panel.set_title(f"{site} (dotted: worth for a full score)", fontsize="small")
        panel.set_ylabel("worth")
        panel.set_ylim(0.0, 1.0)
        panel.legend(fontsize="x-small", ncols=2)
    figure.tight_layout()
    figure.savefig(path, dpi=80)
    pyplot.close(figure)


def _by_site(scores: Sequence[ScoreEntry]) -> dict[str, list[ScoreEntry]]:
    by_site: dict[str, list[ScoreEntry]] = {}
    for each in scores:
        by_site.setdefault(each.site, []).append(each)
    return by_site


def main() -> None:
    """Print the table and write the plot."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--out", type=pathlib.Path, default=PLOT_PATH)
    out = parser.parse_args().out
    scores = score_entries(
        json.loads(path.read_text("utf-8")) for path in JOURNAL_DIRECTORY.glob("*.json")
    )
    print(describe(scores))
    plot(scores, out)


if __name__ == "__main__":
    main()
