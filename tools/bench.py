"""Measures the users' measures over fixed seeds for both deployments.

Policies are compared by ``tools.experiment``, over modelled engines.

Writes ``build/bench/report.json`` and ``build/bench/report.png``.
"""

from __future__ import annotations

import argparse
import dataclasses
import json
import os
import pathlib
import time
from collections.abc import Callable, Iterator, Mapping, Sequence
from typing import Any, Final

from carawaydoor.coordination import token_bucket
from tools import chart, deployments, load, load_metrics, load_runner, local_cluster

OUT: Final = pathlib.Path("build/bench")
SEED: Final = 7
DURATION_S: Final = 8.0
WARM_UP_S: Final = 3.0
SETTLE_S: Final = 2.0
FAULT_AT_S: Final = 3.0
PROMPT_TOKENS: Final = (200, 2000)
MAX_TOKENS: Final = (30, 90)
PEAK_LOAD: Final = 0.9
NOISY_FACTOR: Final = 5.0
STATUS_PER_S: Final = 60.0
BOOKINGS_PER_S: Final = 4.0
STEP_S: Final = 0.04
PREFILL_TOKENS_PER_S: Final = 20_000.0
SLOTS: Final = 20
OURS: Final = "carawaydoor"


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """One situation to measure.

    :ivar load: fraction of what the engines can serve at best that is offered
    :ivar noisy: whether the last workspace sends several times its rate
    :ivar fault: what fails in the middle, and what mends it afterwards
    """

    name: str
    load: float
    noisy: bool = False
    fault: Callable[[local_cluster.LocalCluster], Callable[[], None]] | None = None


def lose_engine(running: local_cluster.LocalCluster) -> Callable[[], None]:
    """End a decode engine; return what starts it again."""
    name = [each.id for each in running.deployment.upstreams if each.role == "decode"][-1]
    running.kill(name)
    return lambda: running.start_upstream(name)


def lose_instance(running: local_cluster.LocalCluster) -> Callable[[], None]:
    """End an instance; return what starts it again."""
    name = running.deployment.instances[2][0]
    running.kill(name)

    def mend() -> None:
        running.start_instance(name)
        running.wait_ready(local_cluster.START_TIMEOUT_S)

    return mend


def lose_domain(running: local_cluster.LocalCluster) -> Callable[[], None]:
    """End every instance and upstream of a failure domain; return what starts them again."""
    domain = running.deployment.instances[-1][1]
    instances = [name for name, each in running.deployment.instances if each == domain]
    upstreams = [each.id for each in running.deployment.upstreams if each.failure_domain == domain]
    for name in (*instances, *upstreams):
        running.kill(name)

    def mend() -> None:
        for name in upstreams:
            running.start_upstream(name)
        for name in instances:
            running.start_instance(name)
        running.wait_ready(local_cluster.START_TIMEOUT_S)

    return mend


def lose_platform(running: local_cluster.LocalCluster) -> Callable[[], None]:
    """Let the platform answer nothing; return what mends it."""
    running.control("platform", down=True)

    def mend() -> None:
        running.control("platform", down=False)

    return mend


SCENARIOS: Final = (
    Scenario("idle", 0.0),
    Scenario("peak", PEAK_LOAD),
    Scenario("noisy", 0.6, noisy=True),
    Scenario("platform_down", 0.6, fault=lose_platform),
    Scenario("instance_lost", 0.6, fault=lose_instance),
    Scenario("engine_lost", 0.6, fault=lose_engine),
    Scenario("domain_lost", 0.4, fault=lose_domain),
)


def best_requests_per_s(deployment: deployments.Deployment) -> float:
    """Return the completions a second that the engines can serve at best, computed."""
    decode = sum(1 for each in deployment.upstreams if each.role == "decode")
    prefill = sum(1 for each in deployment.upstreams if each.role == "prefill")
    prompt, output = sum(PROMPT_TOKENS) / 2, sum(MAX_TOKENS) / 2
    hold_s = prompt / PREFILL_TOKENS_PER_S + output * STEP_S
    return min(decode * SLOTS / hold_s, prefill * PREFILL_TOKENS_PER_S / prompt)


def main() -> None:
    """Run the benchmark."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--deployment", choices=("orden-claro", "boekenkast"))
    parser.add_argument("--scenario", choices=[each.name for each in SCENARIOS])
    parser.add_argument("--before", type=pathlib.Path, help="checkout of an earlier version")
    parser.add_argument("--out", type=pathlib.Path, default=OUT)
    options = parser.parse_args()
    rows: list[dict[str, Any]] = []
    for deployment in (deployments.ORDEN_CLARO, deployments.BOEKENKAST):
        if options.deployment in (None, deployment.name):
            for policy, source in _policies(options):
                rows.extend(_run_policy(deployment, policy, source, options.scenario))
    options.out.mkdir(parents=True, exist_ok=True)
    (options.out / "report.json").write_text(json.dumps(rows, indent=1))
    chart.draw(rows, options.out / "report.png")


def _policies(options: argparse.Namespace) -> Iterator[tuple[str, pathlib.Path | None]]:
    yield OURS, None
    if options.before is not None:
        yield "carawaydoor-before", options.before


def _run_policy(
    deployment: deployments.Deployment,
    policy: str,
    source: pathlib.Path | None,
    only: str | None,
) -> Iterator[dict[str, Any]]:
    idle_p99_s = 0.0
    with local_cluster.LocalCluster(deployment, source=source) as running:
        time.sleep(WARM_UP_S)
        for scenario in SCENARIOS:
            if only not in (None, scenario.name) and scenario.name != "idle":
                continue
            row = _run_scenario(running, scenario, policy)
            idle_p99_s = idle_p99_s or row["status_p99_s"]
            row["status_p99_over_idle"] = round(row["status_p99_s"] / max(idle_p99_s, 1e-6), 3)
            print(json.dumps(row), flush=True)
            yield row


def _run_scenario(
    running: local_cluster.LocalCluster, scenario: Scenario, policy: str
) -> dict[str, Any]:
    deployment = running.deployment
    limits = load_runner.limits(deployment)
    before = load_runner.inspect(running)
    stolen_s = _stolen_s()
    sending = [
        load_runner.start(running, _plan(running, streams))
        for streams in (
            _completions(deployment, scenario, limits),
            # Apart from the readers of streams, which would delay the clock of a status read.
            load_runner.plain_streams(deployment, "status", STATUS_PER_S),
            load_runner.plain_streams(deployment, "booking", BOOKINGS_PER_S),
        )
        if streams
    ]
    mend = _fail(running, scenario)
    outcomes = [outcome for each in sending for outcome in each.outcomes()]
    mend()
    time.sleep(SETTLE_S)
    after = load_runner.inspect(running)
    row = _row(deployment, scenario, policy, outcomes, limits, before, after)
    row["machine_stolen_s"] = round(_stolen_s() - stolen_s, 2)
    return row


def _stolen_s() -> float:
    """Return the processor time in seconds that the machine's host has taken away so far."""
    fields = pathlib.Path("/proc/stat").read_text().split("\n", 1)[0].split()
    return int(fields[8]) / os.sysconf("SC_CLK_TCK")


def _fail(running: local_cluster.LocalCluster, scenario: Scenario) -> Callable[[], None]:
    if scenario.fault is None:
        return lambda: None
    time.sleep(FAULT_AT_S)
    return scenario.fault(running)


def _plan(running: local_cluster.LocalCluster, streams: Sequence[load.Stream]) -> load.Plan:
    return load.Plan(
        ports=load_runner.ports(running), seed=SEED, duration_s=DURATION_S, streams=tuple(streams)
    )


def _completions(
    deployment: deployments.Deployment, scenario: Scenario, limits: Mapping[str, token_bucket.Limit]
) -> Sequence[load.Stream]:
    total = scenario.load * best_requests_per_s(deployment)
    rate = sum(each.rate_per_s for each in limits.values())
    per_workspace = {name: total * each.rate_per_s / rate for name, each in limits.items()}
    if scenario.noisy:
        noisy = deployment.workspaces[-1]
        cost = (sum(PROMPT_TOKENS) + sum(MAX_TOKENS)) / 2
        per_workspace[noisy] = NOISY_FACTOR * limits[noisy].rate_per_s / cost
    if total <= 0.0:
        return ()
    return load_runner.completion_streams(deployment, per_workspace, PROMPT_TOKENS, MAX_TOKENS)


def _row(
    deployment: deployments.Deployment,
    scenario: Scenario,
    policy: str,
    outcomes: list[load.Outcome],
    limits: Mapping[str, token_bucket.Limit],
    before: load_runner.Seen,
    after: load_runner.Seen,
) -> dict[str, Any]:
    result = load_metrics.measure(outcomes, limits, DURATION_S)
    within = len(load_metrics.entitled(outcomes, limits))
    best = min(within, best_requests_per_s(deployment) * DURATION_S)
    prefills = after.prefills - before.prefills
    wasted = after.wasted_prefills - before.wasted_prefills
    return {
        "deployment": deployment.name,
        "scenario": scenario.name,
        "policy": policy,
        "goodput_ratio": round(result.within_targets / best, 4) if best else 1.0,
        "wasted_prefill_ratio": round(max(0, wasted) / max(1, prefills), 4),
        "worst_workspace_ratio": round(result.worst_workspace_ratio, 4),
        "refused_within_rate": result.refused_within_rate,
        "status_p99_over_idle": 0.0,
        "run_twice": after.run_twice - before.run_twice,
        "held_after": after.held,
        "seed": SEED,
        "completions": result.completions,
        "within_targets": result.within_targets,
        "broken": result.broken,
        "overbooked": after.overbooked - before.overbooked,
        "status_p50_s": round(result.status_p50_s, 5),
        "status_p99_s": round(result.status_p99_s, 5),
        "first_token_p95_s": round(result.first_token_p95_s, 4),
        "token_gap_p95_s": round(result.token_gap_p95_s, 4),
        "refusals": dict(result.refusals),
    }


if __name__ == "__main__":
    main()
