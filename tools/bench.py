"""Measures service quality of both example deployments under load and faults, with a fixed seed.

``tools.experiment`` compares policies on emulated engines instead.

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

OUTPUT_DIRECTORY: Final = pathlib.Path("build/bench")
SEED: Final = 7
DURATION_S: Final = 8.0
WARM_UP_S: Final = 3.0
SETTLE_S: Final = 2.0
FAULT_AT_S: Final = 3.0
PROMPT_TOKENS_RANGE: Final = (200, 2000)
MAX_TOKENS_RANGE: Final = (30, 90)
PEAK_LOAD: Final = 0.9
NOISY_RATE_FACTOR: Final = 5.0
STATUS_PER_S: Final = 60.0
BOOKINGS_PER_S: Final = 4.0
# The defaults of standins.engine; the step is that of an engine with all slots in use.
DECODE_STEP_S: Final = 0.04
PREFILL_TOKENS_PER_S: Final = 20_000.0
SLOTS_PER_ENGINE: Final = 20
CURRENT_POLICY: Final = "carawaydoor"


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """A load and optionally a fault to measure under.

    :ivar load: offered load as a fraction of :func:`max_requests_per_s`
    :ivar noisy: whether the last workspace sends ``NOISY_RATE_FACTOR`` times its rate limit
    :ivar fault: injects a fault and returns the function that recovers from it
    """

    name: str
    load: float
    noisy: bool = False
    fault: Callable[[local_cluster.LocalCluster], Callable[[], None]] | None = None


def lose_engine(cluster: local_cluster.LocalCluster) -> Callable[[], None]:
    """Kill a decode engine; return a function that restarts it."""
    name = [each.id for each in cluster.deployment.upstreams if each.role == "decode"][-1]
    cluster.kill(name)
    return lambda: cluster.start_upstream(name)


def lose_instance(cluster: local_cluster.LocalCluster) -> Callable[[], None]:
    """Kill an instance; return a function that restarts it."""
    name = cluster.deployment.instances[2][0]
    cluster.kill(name)

    def recover() -> None:
        cluster.start_instance(name)
        cluster.wait_ready(local_cluster.START_TIMEOUT_S)

    return recover


def lose_domain(cluster: local_cluster.LocalCluster) -> Callable[[], None]:
    """Kill all processes of a failure domain; return a function that restarts them."""
    domain = cluster.deployment.instances[-1][1]
    instances = [name for name, each in cluster.deployment.instances if each == domain]
    upstreams = [each.id for each in cluster.deployment.upstreams if each.failure_domain == domain]
    for name in (*instances, *upstreams):
        cluster.kill(name)

    def recover() -> None:
        for name in upstreams:
            cluster.start_upstream(name)
        for name in instances:
            cluster.start_instance(name)
        cluster.wait_ready(local_cluster.START_TIMEOUT_S)

    return recover


def lose_platform(cluster: local_cluster.LocalCluster) -> Callable[[], None]:
    """Make the platform unavailable; return a function that makes it available again."""
    cluster.control("platform", down=True)

    def recover() -> None:
        cluster.control("platform", down=False)

    return recover


SCENARIOS: Final = (
    Scenario("idle", 0.0),
    Scenario("peak", PEAK_LOAD),
    Scenario("noisy", 0.6, noisy=True),
    Scenario("platform_down", 0.6, fault=lose_platform),
    Scenario("instance_lost", 0.6, fault=lose_instance),
    Scenario("engine_lost", 0.6, fault=lose_engine),
    Scenario("domain_lost", 0.4, fault=lose_domain),
)


def max_requests_per_s(deployment: deployments.Deployment) -> float:
    """Return the highest rate of completions that the engines can serve.

    The prefill engines or the slots of the decode engines limit it.
    """
    decode = sum(1 for each in deployment.upstreams if each.role == "decode")
    prefill = sum(1 for each in deployment.upstreams if each.role == "prefill")
    prompt, output = sum(PROMPT_TOKENS_RANGE) / 2, sum(MAX_TOKENS_RANGE) / 2
    hold_s = prompt / PREFILL_TOKENS_PER_S + output * DECODE_STEP_S
    return min(decode * SLOTS_PER_ENGINE / hold_s, prefill * PREFILL_TOKENS_PER_S / prompt)


def main() -> None:
    """Run the benchmark."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--deployment", choices=("orden-claro", "boekenkast"))
    parser.add_argument("--scenario", choices=[each.name for each in SCENARIOS])
    parser.add_argument("--before", type=pathlib.Path, help="checkout of an earlier version")
    parser.add_argument("--out", type=pathlib.Path, default=OUTPUT_DIRECTORY)
    options = parser.parse_args()
    rows: list[dict[str, Any]] = []
    for deployment in (deployments.ORDEN_CLARO, deployments.BOEKENKAST):
        if options.deployment in (None, deployment.name):
            for policy, source in _policies(options):
                rows.extend(_run_policy(deployment, policy, source, options.scenario))
    options.out.mkdir(parents=True, exist_ok=True)
    (options.out / "report.json").write_text(json.dumps(rows, indent=1))
    chart.plot(rows, options.out / "report.png")


def _policies(options: argparse.Namespace) -> Iterator[tuple[str, pathlib.Path | None]]:
    yield CURRENT_POLICY, None
    if options.before is not None:
        yield "carawaydoor-before", options.before


def _run_policy(
    deployment: deployments.Deployment,
    policy: str,
    source: pathlib.Path | None,
    only_scenario: str | None,
) -> Iterator[dict[str, Any]]:
    idle_p99_s = 0.0
    with local_cluster.LocalCluster(deployment, source=source) as cluster:
        time.sleep(WARM_UP_S)
        for scenario in SCENARIOS:
            if only_scenario not in (None, scenario.name) and scenario.name != "idle":
                continue
            row = _run_scenario(cluster, scenario, policy)
            idle_p99_s = idle_p99_s or row["status_p99_s"]
            row["status_p99_over_idle"] = round(row["status_p99_s"] / max(idle_p99_s, 1e-6), 3)
            print(json.dumps(row), flush=True)
            yield row


def _run_scenario(
    cluster: local_cluster.LocalCluster, scenario: Scenario, policy: str
) -> dict[str, Any]:
    deployment = cluster.deployment
    limits = load_runner.limits(deployment)
    before = load_runner.collect_upstream_report(cluster)
    steal_time_s = _steal_time_s()
    load_processes = [
        load_runner.start_load(cluster, _plan(cluster, streams))
        for streams in (
            _completion_streams(deployment, scenario, limits),
            # Plain requests run in separate processes: threads that read streams would delay
            # their timestamps.
            load_runner.plain_streams(deployment, "status", STATUS_PER_S),
            load_runner.plain_streams(deployment, "booking", BOOKINGS_PER_S),
        )
        if streams
    ]
    recover = _inject_fault(cluster, scenario)
    outcomes = [outcome for each in load_processes for outcome in each.outcomes()]
    recover()
    time.sleep(SETTLE_S)
    after = load_runner.collect_upstream_report(cluster)
    row = _report_row(deployment, scenario, policy, outcomes, limits, before, after)
    row["machine_stolen_s"] = round(_steal_time_s() - steal_time_s, 2)
    return row


def _steal_time_s() -> float:
    """Return the steal time of all processors since boot: time taken by the hypervisor."""
    fields = pathlib.Path("/proc/stat").read_text().split("\n", 1)[0].split()
    return int(fields[8]) / os.sysconf("SC_CLK_TCK")


def _inject_fault(cluster: local_cluster.LocalCluster, scenario: Scenario) -> Callable[[], None]:
    if scenario.fault is None:
        return lambda: None
    time.sleep(FAULT_AT_S)
    return scenario.fault(cluster)


def _plan(cluster: local_cluster.LocalCluster, streams: Sequence[load.Stream]) -> load.Plan:
    return load.Plan(
        ports=load_runner.caller_ports(cluster),
        seed=SEED,
        duration_s=DURATION_S,
        streams=tuple(streams),
    )


def _completion_streams(
    deployment: deployments.Deployment, scenario: Scenario, limits: Mapping[str, token_bucket.Limit]
) -> Sequence[load.Stream]:
    requests_per_s = scenario.load * max_requests_per_s(deployment)
    total_rate = sum(each.rate_per_s for each in limits.values())
    rate_by_workspace = {
        name: requests_per_s * each.rate_per_s / total_rate for name, each in limits.items()
    }
    if scenario.noisy:
        noisy = deployment.workspaces[-1]
        cost = (sum(PROMPT_TOKENS_RANGE) + sum(MAX_TOKENS_RANGE)) / 2
        rate_by_workspace[noisy] = NOISY_RATE_FACTOR * limits[noisy].rate_per_s / cost
    if requests_per_s <= 0.0:
        return ()
    return load_runner.completion_streams(
        deployment, rate_by_workspace, PROMPT_TOKENS_RANGE, MAX_TOKENS_RANGE
    )


def _report_row(
    deployment: deployments.Deployment,
    scenario: Scenario,
    policy: str,
    outcomes: list[load.Outcome],
    limits: Mapping[str, token_bucket.Limit],
    before: load_runner.UpstreamReport,
    after: load_runner.UpstreamReport,
) -> dict[str, Any]:
    metrics = load_metrics.compute_metrics(outcomes, limits, DURATION_S)
    entitled_count = len(load_metrics.entitled_completions(outcomes, limits))
    max_completions = min(entitled_count, max_requests_per_s(deployment) * DURATION_S)
    prefills = after.prefills - before.prefills
    wasted_prefills = after.wasted_prefills - before.wasted_prefills
    return {
        "deployment": deployment.name,
        "scenario": scenario.name,
        "policy": policy,
        "goodput_ratio": (
            round(metrics.within_targets / max_completions, 4) if max_completions else 1.0
        ),
        "wasted_prefill_ratio": round(max(0, wasted_prefills) / max(1, prefills), 4),
        "worst_workspace_ratio": round(metrics.worst_workspace_ratio, 4),
        "refused_within_rate": metrics.refused_within_rate,
        "status_p99_over_idle": 0.0,
        "run_twice": after.run_twice - before.run_twice,
        "held_after": after.held_resources,
        "seed": SEED,
        "completions": metrics.completions,
        "within_targets": metrics.within_targets,
        "broken": metrics.broken,
        "overbooked": after.overbooked - before.overbooked,
        "status_p50_s": round(metrics.status_p50_s, 5),
        "status_p99_s": round(metrics.status_p99_s, 5),
        "first_token_p95_s": round(metrics.first_token_p95_s, 4),
        "token_gap_p95_s": round(metrics.token_gap_p95_s, 4),
        "refusals": dict(metrics.refusals),
    }


if __name__ == "__main__":
    main()
