"""Shows worth by standard day over the scored rounds, from the entries of ``journal/``.

Prints a table and draws ``docs/worth.png``.
"""

from __future__ import annotations

import argparse
import dataclasses
import json
import pathlib
from collections.abc import Iterable, Mapping, Sequence
from typing import Any, Final

import matplotlib
import matplotlib.pyplot as plt

JOURNAL: Final = pathlib.Path("journal")
# Begins the names of days that were drawn for one score only.
DRAWN_PREFIX: Final = "fresh-"
PLOT: Final = pathlib.Path("docs/worth.png")


@dataclasses.dataclass(frozen=True, slots=True)
class Round:
    """One score of a site.

    :ivar worth_by_day: worth of each standard day
    :ivar mark_by_day: worth at which the day scores 1
    """

    site: str
    at: str
    snapshot: str
    score: float
    worth_by_day: Mapping[str, float]
    mark_by_day: Mapping[str, float]


def rounds(entries: Iterable[Mapping[str, Any]]) -> list[Round]:
    """Return the scores among the entries of a journal, oldest first."""
    scored = (each for each in entries if each["cmd"] == "score" and each.get("score") is not None)
    return [
        Round(
            site=entry["site"],
            at=entry["at"][0],
            snapshot=entry["id"],
            score=entry["score"],
            worth_by_day={day["name"]: day["G"] for day in _standard(entry)},
            mark_by_day={day["name"]: day["top"] for day in _standard(entry)},
        )
        for entry in sorted(scored, key=lambda each: each["at"][0])
    ]


def _standard(entry: Mapping[str, Any]) -> list[Mapping[str, Any]]:
    return [day for day in entry["days"] if not day["name"].startswith(DRAWN_PREFIX)]


def describe(scored: Sequence[Round]) -> str:
    """Return a Markdown table for each site."""
    parts: list[str] = []
    for site, of_site in _by_site(scored).items():
        days = list(of_site[-1].worth_by_day)
        parts.append(f"| {site} | {' | '.join(days)} | score |")
        parts.append("|---" * (len(days) + 2) + "|")
        marks = [f"{of_site[-1].mark_by_day[day]:.3f}" for day in days]
        parts.append(f"| mark | {' | '.join(marks)} | |")
        for each in of_site:
            worths = [f"{each.worth_by_day.get(day, float('nan')):.3f}" for day in days]
            parts.append(f"| {each.snapshot} | {' | '.join(worths)} | {each.score:.3f} |")
        parts.append("")
    return "\n".join(parts)


def plot(scored: Sequence[Round], path: pathlib.Path) -> None:
    """Draw worth over the rounds, a panel for each site and a line for each day."""
    matplotlib.use("Agg")
    by_site = _by_site(scored)
    figure, panels = plt.subplots(1, len(by_site), figsize=(6 * len(by_site), 4.5), squeeze=False)
    for panel, (site, of_site) in zip(panels[0], by_site.items(), strict=True):
        names = [each.snapshot for each in of_site]
        for day, mark in of_site[-1].mark_by_day.items():
            worths = [each.worth_by_day.get(day, float("nan")) for each in of_site]
            (line,) = panel.plot(names, worths, marker="o", label=day)
            panel.axhline(mark, color=line.get_color(), linewidth=0.6, linestyle=":")
        panel.set_title(f"{site} (dotted: mark for a full score)", fontsize="small")
        panel.set_ylabel("worth")
        panel.set_ylim(0.0, 1.0)
        panel.legend(fontsize="x-small", ncols=2)
    figure.tight_layout()
    figure.savefig(path, dpi=80)
    plt.close(figure)


def _by_site(scored: Sequence[Round]) -> dict[str, list[Round]]:
    by_site: dict[str, list[Round]] = {}
    for each in scored:
        by_site.setdefault(each.site, []).append(each)
    return by_site


def main() -> None:
    """Print the table and draw the plot."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--out", type=pathlib.Path, default=PLOT)
    out = parser.parse_args().out
    scored = rounds(json.loads(path.read_text("utf-8")) for path in JOURNAL.glob("*.json"))
    print(describe(scored))
    plot(scored, out)


if __name__ == "__main__":
    main()
