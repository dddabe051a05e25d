"""Compares policies over modelled engines: goodput against load, seeded.

Writes ``build/experiment/report.json`` and ``build/experiment/goodput.png``.
"""

from __future__ import annotations

import argparse
import concurrent.futures
import dataclasses
import json
import pathlib
import statistics
from collections.abc import Mapping, Sequence
from typing import Final

import matplotlib
import matplotlib.pyplot as plt

from tools.emulator import engines, policies, simulation, traffic

OUT: Final = pathlib.Path("build/experiment")
# Offered load as parts of what the generating engines' memory can serve at best.
LOADS: Final = (0.4, 0.6, 0.8, 1.0, 1.2)
SEEDS: Final = (1, 2, 3)


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """One deployment under one kind of load."""

    name: str
    deployment: simulation.Deployment
    burst_factor: float


SCENARIOS: Final = (
    Scenario("few instances, bursts", simulation.Deployment(), 2.0),
    Scenario(
        "many instances, bursts",
        simulation.Deployment(instances=30, readers=7, generators=9, memory_tokens=45_000),
        2.0,
    ),
    Scenario("a third of the engines lost", simulation.Deployment(lost_s=8.0), 1.0),
)


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """Means over the seeds for one scenario, policy and load."""

    scenario: str
    policy: str
    load: float
    goodput: float
    on_time: float
    late: float
    refused: float
    failed: float
    read_in_vain: float


def best_per_s(deployment: simulation.Deployment, sample: traffic.Traffic) -> float:
    """Return the requests a second that the generating engines' memory can serve at best."""
    run_s = sample.output_tokens * engines.STEP_S
    held_tokens = sample.prompt_tokens + sample.output_tokens / 2
    return deployment.generators * deployment.memory_tokens / held_tokens / run_s


def measure(
    scenario: Scenario, policy: type[policies.Policy], load: float, seed: int
) -> simulation.Result:
    """Return the result of one run."""
    sample = traffic.Traffic(per_s=1.0)
    per_s = load * best_per_s(scenario.deployment, sample)
    offered = dataclasses.replace(sample, per_s=per_s, burst_factor=scenario.burst_factor)
    return simulation.Simulation(scenario.deployment, offered, policy(), seed).run()


def compare(
    scenarios: Sequence[Scenario],
    compared: Sequence[type[policies.Policy]],
    loads: Sequence[float],
    seeds: Sequence[int],
    jobs: int | None = None,
) -> list[Row]:
    """Return a row for every scenario, policy and load."""
    rows: list[Row] = []
    with concurrent.futures.ProcessPoolExecutor(jobs) as pool:
        pending = {
            (scenario.name, policy.name, load): [
                pool.submit(measure, scenario, policy, load, seed) for seed in seeds
            ]
            for scenario in scenarios
            for policy in compared
            for load in loads
        }
        for key, futures in pending.items():
            rows.append(_mean(key, [each.result() for each in futures]))
    return rows


def _mean(key: tuple[str, str, float], results: Sequence[simulation.Result]) -> Row:
    def mean(field: str) -> float:
        return statistics.fmean(getattr(each, field) / each.requests for each in results)

    return Row(
        *key,
        goodput=statistics.fmean(each.goodput for each in results),
        on_time=mean("on_time"),
        late=mean("late"),
        refused=mean("refused"),
        failed=mean("failed"),
        read_in_vain=mean("read_in_vain"),
    )


def plot(rows: Sequence[Row], path: pathlib.Path) -> None:
    """Draw goodput against load, a panel for each scenario and a line for each policy."""
    matplotlib.use("Agg")
    names = list(dict.fromkeys(each.scenario for each in rows))
    figure, panels = plt.subplots(1, len(names), figsize=(6 * len(names), 5), squeeze=False)
    for panel, name in zip(panels[0], names, strict=True):
        lines: dict[str, list[Row]] = {}
        for row in rows:
            if row.scenario == name:
                lines.setdefault(row.policy, []).append(row)
        for policy, line in lines.items():
            panel.plot([r.load for r in line], [r.goodput for r in line], marker="o", label=policy)
        panel.set_title(name)
        panel.set_xlabel("offered load, parts of the memory's capacity")
        panel.set_ylabel("goodput, part of the offered worth")
        panel.set_ylim(0.0, 1.0)
    panels[0][0].legend(fontsize="small")
    figure.tight_layout()
    figure.savefig(path)
    plt.close(figure)


def describe(rows: Sequence[Row]) -> str:
    """Return the rows as a Markdown table."""
    lines = [
        "| scenario | policy | load | goodput | on time | late | refused | failed | in vain |",
        "|---|---|---|---|---|---|---|---|---|",
    ]
    for row in rows:
        parts = (row.goodput, row.on_time, row.late, row.refused, row.failed)
        shares = " | ".join(f"{each:.2f}" for each in parts)
        lines.append(
            f"| {row.scenario} | {row.policy} | {row.load} | {shares} | {row.read_in_vain:.0f} |"
        )
    return "\n".join(lines)


def main() -> None:
    """Run the experiment."""
    names: Mapping[str, type[policies.Policy]] = {each.name: each for each in policies.ALL}
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--policy", action="append", choices=sorted(names), help="default: all")
    parser.add_argument("--load", action="append", type=float, help="default: 0.4 to 1.2")
    parser.add_argument("--seed", action="append", type=int, help="default: 1, 2 and 3")
    parser.add_argument("--jobs", type=int, help="processors to use")
    arguments = parser.parse_args()
    compared = [names[each] for each in arguments.policy or names]
    rows = compare(
        SCENARIOS,
        compared,
        arguments.load or LOADS,
        arguments.seed or SEEDS,
        arguments.jobs,
    )
    OUT.mkdir(parents=True, exist_ok=True)
    report = [dataclasses.asdict(each) for each in rows]
    (OUT / "report.json").write_text(json.dumps(report, indent=2) + "\n", encoding="utf-8")
    plot(rows, OUT / "goodput.png")
    print(describe(rows))


if __name__ == "__main__":
    main()
