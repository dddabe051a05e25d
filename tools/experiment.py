"""Compares the goodput of placement policies over offered load in the emulator.

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
from matplotlib import pyplot

from tools.emulator import engines, policies, simulation, traffic

OUTPUT_DIRECTORY: Final = pathlib.Path("build/experiment")
# Offered load relative to the highest rate that the decode engines' KV cache allows.
LOADS: Final = (0.4, 0.6, 0.8, 1.0, 1.2)
SEEDS: Final = (1, 2, 3)


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """A deployment and the strength of the traffic's bursts."""

    name: str
    deployment: simulation.Deployment
    burst_factor: float


SCENARIOS: Final = (
    Scenario("few instances, bursts", simulation.Deployment(), 2.0),
    Scenario(
        "many instances, bursts",
        simulation.Deployment(instances=30, prefill_engines=7, decode_engines=9, kv_tokens=45_000),
        2.0,
    ),
    Scenario("a third of the engines lost", simulation.Deployment(failure_at_s=8.0), 1.0),
)


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """Means over the seeds for one scenario, policy and load.

    :ivar on_time: fraction of the requests, like ``late``, ``refused`` and ``failed``
    :ivar read_in_vain: prompt tokens per request whose prefill was wasted
    """

    scenario: str
    policy: str
    load: float
    goodput: float
    on_time: float
    late: float
    refused: float
    failed: float
    read_in_vain: float


def max_requests_per_s(
    deployment: simulation.Deployment, default_traffic: traffic.Traffic
) -> float:
    """Return the highest request rate that the decode engines' KV cache allows."""
    generation_s = default_traffic.output_tokens * engines.DECODE_STEP_S
    held_tokens = default_traffic.prompt_tokens + default_traffic.output_tokens / 2
    return deployment.decode_engines * deployment.kv_tokens / held_tokens / generation_s


def run_once(
    scenario: Scenario, policy: type[policies.Policy], load: float, seed: int
) -> simulation.Result:
    """Simulate one scenario, policy, load and seed."""
    default_traffic = traffic.Traffic(requests_per_s=1.0)
    requests_per_s = load * max_requests_per_s(scenario.deployment, default_traffic)
    offered = dataclasses.replace(
        default_traffic, requests_per_s=requests_per_s, burst_factor=scenario.burst_factor
    )
    return simulation.Simulation(scenario.deployment, offered, policy(), seed).run()


def compare(
    scenarios: Sequence[Scenario],
    compared: Sequence[type[policies.Policy]],
    loads: Sequence[float],
    seeds: Sequence[int],
    jobs: int | None = None,
) -> list[Row]:
    """Return a row for each scenario, policy and load, simulated in parallel processes."""
    rows: list[Row] = []
    with concurrent.futures.ProcessPoolExecutor(jobs) as pool:
        pending = {
            (scenario.name, policy.name, load): [
                pool.submit(run_once, scenario, policy, load, seed) for seed in seeds
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
    """Plot goodput over load, with a panel per scenario and a line per policy."""
    matplotlib.use("Agg")
    names = list(dict.fromkeys(each.scenario for each in rows))
    figure, panels = pyplot.subplots(1, len(names), figsize=(6 * len(names), 5), squeeze=False)
    for panel, name in zip(panels[0], names, strict=True):
        lines: dict[str, list[Row]] = {}
        for row in rows:
            if row.scenario == name:
                lines.setdefault(row.policy, []).append(row)
        for policy, line in lines.items():
            panel.plot([r.load for r in line], [r.goodput for r in line], marker="o", label=policy)
        panel.set_title(name)
        panel.set_xlabel("offered load, fraction of the KV cache capacity")
        panel.set_ylabel("goodput, fraction of the offered worth")
        panel.set_ylim(0.0, 1.0)
    panels[0][0].legend(fontsize="small")
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)


def describe(rows: Sequence[Row]) -> str:
    """Return the rows as a Markdown table."""
    lines = [
        "| scenario | policy | load | goodput | on time | late | refused | failed | in vain |",
        "|---|---|---|---|---|---|---|---|---|",
    ]
    for row in rows:
        ratios = (row.goodput, row.on_time, row.late, row.refused, row.failed)
        shares = " | ".join(f"{each:.2f}" for each in ratios)
        lines.append(
            f"| {row.scenario} | {row.policy} | {row.load} | {shares} | {row.read_in_vain:.0f} |"
        )
    return "\n".join(lines)


def main() -> None:
    """Run the experiment."""
    names: Mapping[str, type[policies.Policy]] = {each.name: each for each in policies.ALL_POLICIES}
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
    OUTPUT_DIRECTORY.mkdir(parents=True, exist_ok=True)
    report = [dataclasses.asdict(each) for each in rows]
    (OUTPUT_DIRECTORY / "report.json").write_text(
        json.dumps(report, indent=2) + "\n", encoding="utf-8"
    )
    plot(rows, OUTPUT_DIRECTORY / "goodput.png")
    print(describe(rows))


if __name__ == "__main__":
    main()
