"""Metrics of service quality, computed from the outcomes of a load."""

from __future__ import annotations

import collections
import dataclasses
from collections.abc import Iterable, Mapping, Sequence

from carawaydoor.coordination import token_bucket
from tools import load

FIRST_TOKEN_TARGET_S = 1.1
TOKEN_GAP_TARGET_S = 0.077


@dataclasses.dataclass(frozen=True, slots=True)
class LoadMetrics:
    """Metrics of one load.

    :ivar within_targets: number of completions that met both latency targets
    :ivar goodput_per_s: the same number per second
    :ivar worst_workspace: workspace with the lowest ratio of tokens received within the targets to
        tokens that its rate limit entitles it to
    :ivar worst_workspace_ratio: that ratio, at most 1
    :ivar refused_within_rate: refused completions that an ideal token bucket would have admitted
    :ivar refusals: number of outcomes by problem
    :ivar broken: accepted completions whose stream ended early
    """

    completions: int
    within_targets: int
    goodput_per_s: float
    worst_workspace: str
    worst_workspace_ratio: float
    refused_within_rate: int
    refusals: Mapping[str, int]
    status_p50_s: float
    status_p99_s: float
    first_token_p95_s: float
    token_gap_p95_s: float
    broken: int


def met_targets(outcome: load.Outcome) -> bool:
    """Return whether the outcome is a complete completion that met both latency targets."""
    in_time = (
        outcome.first_token_s <= FIRST_TOKEN_TARGET_S and outcome.gap_p95_s <= TOKEN_GAP_TARGET_S
    )
    return outcome.kind == "completion" and outcome.whole and in_time


def entitled_completions(
    outcomes: Iterable[load.Outcome], limits: Mapping[str, token_bucket.Limit]
) -> set[int]:
    """Return the indices of the completions that an ideal token bucket per workspace admits."""
    bucket_by_workspace = {
        name: token_bucket.create(limit, 0.0, limit.burst) for name, limit in limits.items()
    }
    admitted_indices: set[int] = set()
    indexed = [(each.at_s, index, each) for index, each in enumerate(outcomes)]
    for at_s, index, outcome in sorted(indexed, key=lambda each: each[:2]):
        if outcome.kind != "completion":
            continue
        bucket, result = token_bucket.reserve(
            bucket_by_workspace[outcome.workspace], at_s, "", outcome.cost_tokens, 0.0, 0.0
        )
        bucket_by_workspace[outcome.workspace] = bucket
        if result.is_ok():
            admitted_indices.add(index)
    return admitted_indices


def refused_within_rate(
    outcomes: Sequence[load.Outcome], limits: Mapping[str, token_bucket.Limit]
) -> int:
    """Return the number of completions that were refused although they were within the limit.

    The limit is a token bucket with the whole rate and burst of the workspace. Only completions
    that were actually admitted take tokens from it.
    """
    bucket_by_workspace = {
        name: token_bucket.create(limit, 0.0, limit.burst) for name, limit in limits.items()
    }
    refused = 0
    for outcome in sorted(outcomes, key=lambda each: each.at_s):
        if outcome.kind != "completion":
            continue
        bucket = token_bucket.refill(bucket_by_workspace[outcome.workspace], outcome.at_s)
        cost = float(outcome.cost_tokens)
        if outcome.status == 200:
            level = bucket.level - cost
            bucket_by_workspace[outcome.workspace] = dataclasses.replace(bucket, level=level)
        elif bucket.level >= cost:
            refused += 1
    return refused


def compute_metrics(
    outcomes: Sequence[load.Outcome], limits: Mapping[str, token_bucket.Limit], duration_s: float
) -> LoadMetrics:
    """Return the metrics of a load that lasted ``duration_s``."""
    completions = [each for each in outcomes if each.kind == "completion"]
    within_targets = [each for each in completions if met_targets(each)]
    entitled_indices = entitled_completions(outcomes, limits)
    received_tokens: collections.Counter[str] = collections.Counter()
    entitled_tokens: collections.Counter[str] = collections.Counter()
    for index, outcome in enumerate(outcomes):
        if index in entitled_indices:
            entitled_tokens[outcome.workspace] += outcome.cost_tokens
        if met_targets(outcome):
            received_tokens[outcome.workspace] += outcome.cost_tokens
    ratios = {
        name: min(1.0, received_tokens[name] / total)
        for name, total in entitled_tokens.items()
        if total
    }
    worst = min(ratios, key=lambda each: ratios[each], default="")
    status_times_s = [each.total_s for each in outcomes if each.kind == "status" and each.whole]
    return LoadMetrics(
        len(completions),
        len(within_targets),
        len(within_targets) / duration_s,
        worst,
        ratios.get(worst, 1.0),
        refused_within_rate(outcomes, limits),
        collections.Counter(each.problem for each in outcomes if each.problem),
        percentile(status_times_s, 0.5),
        percentile(status_times_s, 0.99),
        percentile([each.first_token_s for each in completions if each.tokens], 0.95),
        percentile([each.gap_p95_s for each in completions if each.tokens > 1], 0.95),
        sum(1 for each in completions if each.status == 200 and not each.whole),
    )


def percentile(values: Iterable[float], fraction: float) -> float:
    """Return a percentile of the values without interpolation, or 0 if there are none."""
    ordered = sorted(values)
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]
