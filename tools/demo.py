"""Brings up the Orden Claro example, loads it, kills an instance and an engine, and reports.

Exits non-zero where something that must always hold did not.
"""

from __future__ import annotations

import sys
import time

from tools import deployments, load_metrics, load_runner, local_cluster
from tools import load as loads

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
    began_s = time.monotonic()
    with local_cluster.LocalCluster(deployment) as running:
        print(f"{len(running.process_by_name)} processes ready: {_since(began_s)}")
        time.sleep(WARM_UP_S)
        outcomes = _load_and_kill(running)
        time.sleep(SETTLE_S)
        seen = load_runner.inspect(running, (KILLED_ENGINE,))
    result = load_metrics.measure(outcomes, load_runner.limits(deployment), DURATION_S)
    _print_table(result, seen)
    broken = _violations(outcomes, seen)
    for each in broken:
        print(f"VIOLATED: {each}")
    print(f"done: {_since(began_s)}")
    sys.exit(1 if broken else 0)


def _load_and_kill(running: local_cluster.LocalCluster) -> list[loads.Outcome]:
    deployment = running.deployment
    streams = [
        *load_runner.completion_streams(deployment, RATE_BY_WORKSPACE, (1000, 6000), (30, 60)),
        *load_runner.plain_streams(deployment, "status", 20.0),
        *load_runner.plain_streams(deployment, "booking", 4.0),
    ]
    plan = loads.Plan(
        ports=load_runner.ports(running), seed=SEED, duration_s=DURATION_S, streams=tuple(streams)
    )
    sending = load_runner.start(running, plan)
    time.sleep(KILL_INSTANCE_AT_S)
    print(f"killing instance {KILLED_INSTANCE}")
    running.kill(KILLED_INSTANCE)
    time.sleep(KILL_ENGINE_AT_S - KILL_INSTANCE_AT_S)
    print(f"killing engine {KILLED_ENGINE}")
    running.kill(KILLED_ENGINE)
    return sending.outcomes()


def _print_table(result: load_metrics.Measures, seen: load_runner.Seen) -> None:
    wasted = seen.wasted_prefills / max(1, seen.prefills)
    rows = (
        ("completions sent", result.completions),
        ("within both latency targets", result.within_targets),
        ("goodput, requests a second", f"{result.goodput_per_s:.2f}"),
        ("wasted prefill", f"{seen.wasted_prefills} of {seen.prefills} ({wasted:.1%})"),
        ("worst-served workspace", f"{result.worst_workspace} {result.worst_workspace_ratio:.2f}"),
        ("refused within rate", result.refused_within_rate),
        ("status reads p50 / p99, ms", _milliseconds(result.status_p50_s, result.status_p99_s)),
        ("first token p95, ms", _milliseconds(result.first_token_p95_s)),
        ("token gap p95, ms", _milliseconds(result.token_gap_p95_s)),
        ("answers broken off", result.broken),
        ("bookings run / run twice", f"{seen.bookings_run} / {seen.run_twice}"),
        ("engine memory still held", seen.held),
        ("decode slots overbooked", seen.overbooked),
        ("keys seen by upstreams", seen.credentials_seen),
        ("refusals by kind", dict(result.refusals)),
    )
    for name, value in rows:
        print(f"  {name:<32} {value}")


def _violations(outcomes: list[loads.Outcome], seen: load_runner.Seen) -> list[str]:
    broken: list[str] = []
    if seen.run_twice:
        broken.append("a booking ran twice")
    if seen.held:
        broken.append("an engine holds memory of a request that has ended")
    if seen.credentials_seen:
        broken.append("an upstream saw a key")
    booked = {each.booking for each in outcomes if each.kind == "booking" and each.whole}
    if len(booked) > seen.bookings_run:
        broken.append("a booking was confirmed that did not run")
    silent = [
        each
        for each in outcomes
        if each.kind == "completion" and each.status == 200 and not each.whole and not each.ran
    ]
    lost_with_instance = [each for each in silent if each.problem]
    if len(silent) > len(lost_with_instance):
        broken.append("an answer ended early without saying so")
    return broken


def _milliseconds(*seconds: float) -> str:
    return " / ".join(f"{1000 * each:.1f}" for each in seconds)


def _since(began_s: float) -> str:
    return f"{time.monotonic() - began_s:.1f} s"


if __name__ == "__main__":
    main()
