"""Runs loads against a fleet and gathers what the stand-ins saw."""

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

_numbers = itertools.count(1)


@dataclasses.dataclass(frozen=True, slots=True)
class Running:
    """A load that runs in a process of its own."""

    process: subprocess.Popen[bytes]
    out: pathlib.Path

    def outcomes(self) -> list[load.Outcome]:
        """Wait for the load to end and return its outcomes."""
        if self.process.wait() != 0:
            raise RuntimeError(f"the load process failed with {self.process.returncode}")
        return [load.Outcome.model_validate(each) for each in json.loads(self.out.read_text())]


def start(running: local_cluster.LocalCluster, plan: load.Plan) -> Running:
    """Start a load against a fleet."""
    number = next(_numbers)
    plan_path = running.directory / f"plan-{number}.json"
    out = running.directory / f"outcomes-{number}.json"
    plan_path.write_text(plan.model_dump_json())
    arguments = ["-m", "tools.load", "--plan", str(plan_path), "--out", str(out)]
    return Running(subprocess.Popen([sys.executable, *arguments]), out)


def limits(deployment: deployments.Deployment) -> dict[str, token_bucket.Limit]:
    """Return the limit of each workspace of a deployment."""
    declared = yaml_documents.read_objects(deployment.config_directory).ok
    budget_split = catalog.build(declared).ok.budget_split
    return dict(budget_split.limit_by_workspace)


def ports(running: local_cluster.LocalCluster) -> tuple[int, ...]:
    """Return the caller ports of all instances."""
    return tuple(each.caller for each in running.ports_by_instance.values())


def completion_streams(
    deployment: deployments.Deployment,
    rate_by_workspace: dict[str, float],
    prompt_tokens: tuple[int, int],
    max_tokens: tuple[int, int],
) -> list[load.Stream]:
    """Return a stream of completions for each workspace, at the given requests a second."""
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
    """Return a stream of status reads or bookings, spread over the workspaces."""
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
class Seen:
    """What the stand-ins of a fleet saw.

    :ivar run_twice: bookings that ran more than once
    :ivar held: requests and KV cache that engines still hold
    :ivar wasted_prefills: prefills whose KV cache no decode fetched
    """

    run_twice: int
    bookings_run: int
    held: int
    prefills: int
    wasted_prefills: int
    overbooked: int
    credentials_seen: int


def inspect(running: local_cluster.LocalCluster, gone: Sequence[str] = ()) -> Seen:
    """Ask every stand-in that still runs what it saw."""
    runs: collections.Counter[str] = collections.Counter()
    counts: collections.Counter[str] = collections.Counter()
    held = 0
    for each in running.deployment.upstreams:
        if each.id in gone:
            continue
        report = running.control(each.id)
        if each.role == "plain":
            runs.update(report["runs"])
            counts["credentials_seen"] += report["credentials_seen"]
        else:
            counts.update(report["counts"])
            held += report["active"] + report["kv_held"]
    return Seen(
        sum(1 for number in runs.values() if number > 1),
        len(runs),
        held,
        counts["prefills"],
        counts["prefills"] - counts["fetched"],
        counts["overbooked"],
        counts["credentials_seen"],
    )
