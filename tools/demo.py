"""Runs the Orden Claro example under load, kills an instance and an engine, and prints a report.

Exits with 1 if a guarantee of the router was violated.
"""

from __future__ import annotations

import sys
import time

from tools import deployments, load, load_metrics, load_runner, local_cluster

DURATION_S = 14.0
WARM_UP_S = 7.0
KILL_INSTANCE_AT_S = 5.0
KILL_ENGINE_AT_S = 9.0
SETTLE_S = 2.0
SEED = 1
KILLED_INSTANCE = "oc-i3"
KILLED_ENGINE = "planning-5"
RATE_BY_WORKSPACE = {
    "head-office": 1.5,
    "rosario": 1.0,
    "cordoba": 1.0,
    "mendoza": 0.8,
    "salta": 6.0,
}


def main() -> None:
    """Run the demonstration."""
    deployment = deployments.ORDEN_CLARO
    started_s = time.monotonic()
    with local_cluster.LocalCluster(deployment) as cluster:
        print(f"{len(cluster.process_by_name)} processes ready: {_elapsed(started_s)}")
        time.sleep(WARM_UP_S)
        outcomes = _load_and_kill(cluster)
        time.sleep(SETTLE_S)
        report = load_runner.collect_upstream_report(cluster, (KILLED_ENGINE,))
    metrics = load_metrics.compute_metrics(outcomes, load_runner.limits(deployment), DURATION_S)
    _print_table(metrics, report)
    violations = _find_violations(outcomes, report)
    for each in violations:
        print(f"VIOLATED: {each}")
    print(f"done: {_elapsed(started_s)}")
    sys.exit(1 if violations else 0)


def _load_and_kill(cluster: local_cluster.LocalCluster) -> list[load.Outcome]:
    deployment = cluster.deployment
    streams = [
        *load_runner.completion_streams(deployment, RATE_BY_WORKSPACE, (1000, 6000), (30, 60)),
        *load_runner.plain_streams(deployment, "status", 20.0),
        *load_runner.plain_streams(deployment, "booking", 4.0),
    ]
    plan = load.Plan(
        ports=load_runner.caller_ports(cluster),
        seed=SEED,
        duration_s=DURATION_S,
        streams=tuple(streams),
    )
    load_process = load_runner.start_load(cluster, plan)
    time.sleep(KILL_INSTANCE_AT_S)
    print(f"killing instance {KILLED_INSTANCE}")
    cluster.kill(KILLED_INSTANCE)
    time.sleep(KILL_ENGINE_AT_S - KILL_INSTANCE_AT_S)
    print(f"killing engine {KILLED_ENGINE}")
    cluster.kill(KILLED_ENGINE)
    return load_process.outcomes()


def _print_table(metrics: load_metrics.LoadMetrics, report: load_runner.UpstreamReport) -> None:
    wasted = report.wasted_prefills / max(1, report.prefills)
    rows = (
        ("completions sent", metrics.completions),
        ("within both latency targets", metrics.within_targets),
        ("goodput, requests a second", f"{metrics.goodput_per_s:.2f}"),
        ("wasted prefill", f"{report.wasted_prefills} of {report.prefills} ({wasted:.1%})"),
        (
            "worst-served workspace",
            f"{metrics.worst_workspace} {metrics.worst_workspace_ratio:.2f}",
        ),
        ("refused within rate", metrics.refused_within_rate),
        ("status reads p50 / p99, ms", _format_ms(metrics.status_p50_s, metrics.status_p99_s)),
        ("first token p95, ms", _format_ms(metrics.first_token_p95_s)),
        ("token gap p95, ms", _format_ms(metrics.token_gap_p95_s)),
        ("answers broken off", metrics.broken),
        ("bookings run / run twice", f"{report.bookings_run} / {report.run_twice}"),
        ("engine memory still held", report.held_resources),
        ("decode slots overbooked", report.overbooked),
        ("keys seen by upstreams", report.credentials_seen),
        ("refusals by kind", dict(metrics.refusals)),
    )
    for name, value in rows:
        print(f"  {name:<32} {value}")


def _find_violations(outcomes: list[load.Outcome], report: load_runner.UpstreamReport) -> list[str]:
    violations: list[str] = []
    if report.run_twice:
        violations.append("a booking ran twice")
    if report.held_resources:
        violations.append("an engine holds the KV cache of a request that has ended")
    if report.credentials_seen:
        violations.append("an upstream received an API key")
    booked = {each.booking for each in outcomes if each.kind == "booking" and each.whole}
    if len(booked) > report.bookings_run:
        violations.append("a confirmed booking did not run")
    ended_early = [
        each
        for each in outcomes
        if each.kind == "completion" and each.status == 200 and not each.whole and not each.ran
    ]
    with_connection_error = [each for each in ended_early if each.problem]
    if len(ended_early) > len(with_connection_error):
        violations.append("an answer ended early without an error event")
    return violations


def _format_ms(*seconds: float) -> str:
    return " / ".join(f"{1000 * each:.1f}" for each in seconds)


def _elapsed(started_s: float) -> str:
    return f"{time.monotonic() - started_s:.1f} s"


if __name__ == "__main__":
    main()
