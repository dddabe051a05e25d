"""Runs loads against a local cluster and collects the reports of its upstreams."""

from __future__ import annotations

import collections
import dataclasses
import itertools
import json
import pathlib
import subprocess
import sys
from collections.abc import Sequence

from carawaydoor.coordination import token_bucket
from carawaydoor.publishing import catalog, yaml_documents
from tools import deployments, load, local_cluster

_load_numbers = itertools.count(1)


@dataclasses.dataclass(frozen=True, slots=True)
class LoadProcess:
    """A load that runs in a separate process."""

    process: subprocess.Popen[bytes]
    outcomes_path: pathlib.Path

    def outcomes(self) -> list[load.Outcome]:
        """Wait for the load to end and return its outcomes.

        :raises RuntimeError: if the process failed
        """
        if self.process.wait() != 0:
            raise RuntimeError(f"load process failed with exit code {self.process.returncode}")
        return [
            load.Outcome.model_validate(each) for each in json.loads(self.outcomes_path.read_text())
        ]


def start_load(cluster: local_cluster.LocalCluster, plan: load.Plan) -> LoadProcess:
    """Start a load against a cluster."""
    load_number = next(_load_numbers)
    plan_path = cluster.directory / f"plan-{load_number}.json"
    outcomes_path = cluster.directory / f"outcomes-{load_number}.json"
    plan_path.write_text(plan.model_dump_json())
    arguments = ["-m", "tools.load", "--plan", str(plan_path), "--out", str(outcomes_path)]
    return LoadProcess(subprocess.Popen([sys.executable, *arguments]), outcomes_path)


def limits(deployment: deployments.Deployment) -> dict[str, token_bucket.Limit]:
    """Return the token rate limit of each workspace of a deployment."""
    declared = yaml_documents.read_objects(deployment.config_directory).ok
    budget_split = catalog.build(declared).ok.budget_split
    return dict(budget_split.limit_by_workspace)


def caller_ports(cluster: local_cluster.LocalCluster) -> tuple[int, ...]:
    """Return the caller ports of all instances."""
    return tuple(each.caller for each in cluster.ports_by_instance.values())


def completion_streams(
    deployment: deployments.Deployment,
    rate_by_workspace: dict[str, float],
    prompt_tokens: tuple[int, int],
    max_tokens: tuple[int, int],
) -> list[load.Stream]:
    """Return a stream of completions for each workspace.

    :param rate_by_workspace: requests per second of each workspace
    """
    return [
        load.Stream(
            workspace=workspace,
            key=deployment.key(workspace),
            kind="completion",
            path="/v1/completions",
            model=deployment.model,
            rate_per_s=rate,
            prompt_tokens=prompt_tokens,
            max_tokens=max_tokens,
            shared_tokens=min(1024, prompt_tokens[0]),
        )
        for workspace, rate in rate_by_workspace.items()
    ]


def plain_streams(
    deployment: deployments.Deployment, kind: str, rate_per_s: float
) -> list[load.Stream]:
    """Return streams of status reads or bookings with equal rates for all workspaces.

    :param kind: ``status`` or ``booking``
    :param rate_per_s: rate over all workspaces
    """
    path = deployment.status_path if kind == "status" else deployment.booking_path
    return [
        load.Stream(
            workspace=workspace,
            key=deployment.key(workspace),
            kind=kind,
            path=path,
            rate_per_s=rate_per_s / len(deployment.workspaces),
        )
        for workspace in deployment.workspaces
    ]


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamReport:
    """Sums over the reports of the upstreams.

    :ivar run_twice: number of bookings that ran more than once
    :ivar held_resources: number of requests and KV caches that engines still hold
    :ivar wasted_prefills: number of prefills whose KV cache no decode engine fetched
    :ivar overbooked: number of requests that a decode engine received without a free slot
    :ivar credentials_seen: number of requests that reached an upstream with an API key or cookie
    """

    run_twice: int
    bookings_run: int
    held_resources: int
    prefills: int
    wasted_prefills: int
    overbooked: int
    credentials_seen: int


def collect_upstream_report(
    cluster: local_cluster.LocalCluster, stopped: Sequence[str] = ()
) -> UpstreamReport:
    """Sum up the reports of all upstreams except those in ``stopped``."""
    runs: collections.Counter[str] = collections.Counter()
    counts: collections.Counter[str] = collections.Counter()
    held_resources = 0
    for each in cluster.deployment.upstreams:
        if each.id in stopped:
            continue
        report = cluster.control(each.id)
        if each.role == "plain":
            runs.update(report["runs"])
            counts["credentials_seen"] += report["credentials_seen"]
        else:
            counts.update(report["counts"])
            held_resources += report["active"] + report["kv_held"]
    return UpstreamReport(
        sum(1 for run_count in runs.values() if run_count > 1),
        len(runs),
        held_resources,
        counts["prefills"],
        counts["prefills"] - counts["fetched"],
        counts["overbooked"],
        counts["credentials_seen"],
    )
