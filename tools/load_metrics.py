"""The users' measures, computed from the outcomes of a load."""

from __future__ import annotations

import collections
import dataclasses
from collections.abc import Iterable, Mapping, Sequence

from carawaydoor.coordination import token_bucket
from tools import load

FIRST_TOKEN_S = 1.1
TOKEN_GAP_S = 0.077


@dataclasses.dataclass(frozen=True, slots=True)
class Measures:
    """Measures of one run.

    :ivar goodput_per_s: completions a second that met both latency targets
    :ivar worst_workspace_ratio: tokens received of the tokens entitled to, lowest of all
    :ivar refused_within_rate: refused requests that an ideal bucket would have admitted
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


def is_good(outcome: load.Outcome) -> bool:
    """Return whether a completion came whole and within both targets."""
    in_time = outcome.first_token_s <= FIRST_TOKEN_S and outcome.gap_p95_s <= TOKEN_GAP_S
    return outcome.kind == "completion" and outcome.whole and in_time


def entitled(
    outcomes: Iterable[load.Outcome], limits: Mapping[str, token_bucket.Limit]
) -> set[int]:
    """Return the positions of the completions that an ideal bucket of the workspace admits."""
    state = {name: token_bucket.create(limit, 0.0, limit.burst) for name, limit in limits.items()}
    admitted: set[int] = set()
    indexed = [(each.at_s, index, each) for index, each in enumerate(outcomes)]
    for at_s, index, outcome in sorted(indexed, key=lambda each: each[:2]):
        if outcome.kind != "completion":
            continue
        after, result = token_bucket.reserve(
            state[outcome.workspace], at_s, "", outcome.cost_tokens, 0.0, 0.0
        )
        state[outcome.workspace] = after
        if result.is_ok():
            admitted.add(index)
    return admitted


def refused_within_rate(
    outcomes: Sequence[load.Outcome], limits: Mapping[str, token_bucket.Limit]
) -> int:
    """Return how many completions were refused although their workspace had room for them.

    The room is that of a bucket with the workspace's whole rate and burst, debited with what was
    really admitted.
    """
    state = {name: token_bucket.create(limit, 0.0, limit.burst) for name, limit in limits.items()}
    wrongful = 0
    for outcome in sorted(outcomes, key=lambda each: each.at_s):
        if outcome.kind != "completion":
            continue
        current = token_bucket.refill(state[outcome.workspace], outcome.at_s)
        cost = float(outcome.cost_tokens)
        if outcome.status == 200:
            level = current.level - cost
            state[outcome.workspace] = dataclasses.replace(current, level=level)
        elif current.level >= cost:
            wrongful += 1
    return wrongful


def measure(
    outcomes: Sequence[load.Outcome], limits: Mapping[str, token_bucket.Limit], duration_s: float
) -> Measures:
    """Return the measures of a run."""
    completions = [each for each in outcomes if each.kind == "completion"]
    good = [each for each in completions if is_good(each)]
    within = entitled(outcomes, limits)
    received: collections.Counter[str] = collections.Counter()
    due: collections.Counter[str] = collections.Counter()
    for index, outcome in enumerate(outcomes):
        if index in within:
            due[outcome.workspace] += outcome.cost_tokens
        if is_good(outcome):
            received[outcome.workspace] += outcome.cost_tokens
    ratios = {name: min(1.0, received[name] / total) for name, total in due.items() if total}
    worst = min(ratios, key=lambda each: ratios[each], default="")
    status = [each.total_s for each in outcomes if each.kind == "status" and each.whole]
    return Measures(
        len(completions),
        len(good),
        len(good) / duration_s,
        worst,
        ratios.get(worst, 1.0),
        refused_within_rate(outcomes, limits),
        collections.Counter(each.problem for each in outcomes if each.problem),
        percentile(status, 0.5),
        percentile(status, 0.99),
        percentile([each.first_token_s for each in completions if each.tokens], 0.95),
        percentile([each.gap_p95_s for each in completions if each.tokens > 1], 0.95),
        sum(1 for each in completions if each.status == 200 and not each.whole),
    )


def percentile(values: Iterable[float], fraction: float) -> float:
    """Return a percentile of some values, zero where there are none."""
    ordered = sorted(values)
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]
