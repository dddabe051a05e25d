"""Tracks the health of upstreams by how calls to them end.

The health endpoints of upstreams are not used, since their answers may be wrong.
"""

from __future__ import annotations

import dataclasses
import enum
import math
from collections.abc import Collection, Mapping
from typing import Final

# Weight of the newest outcome in the moving average of failures.
NEWEST_OUTCOME_WEIGHT: Final = 0.3
# From this failure rate on, an upstream is chosen only if no other is left.
SUSPECT_FAILURE_RATE: Final = 0.35
# A suspect upstream is tried again after a backoff that doubles with each failed trial. The longest
# is short, since crashed upstreams are back after some seconds.
MIN_BACKOFF_S: Final = 1.0
MAX_BACKOFF_S: Final = 8.0
# An engine that rejected a request is treated as full for this time, whatever its known load: it
# may be in use by instances that can't be reached, and a generation takes longer than this.
ASSUMED_FULL_S: Final = 0.6
# An engine that refuses to hold memory is asked again sooner, since that costs no prefill.
NO_MEMORY_S: Final = 0.2


class Outcome(enum.Enum):
    """How a call ended, as far as it tells something about the upstream."""

    ANSWERED = "answered"
    UNREACHABLE = "unreachable"
    BROKEN = "broken"
    SILENT = "silent"
    FAILED = "failed"
    FULL = "full"
    OTHER_INCARNATION = "other_incarnation"


# A call without any answer says more about the upstream than an error response.
_FAILURE_WEIGHT_BY_OUTCOME: Final = {
    Outcome.ANSWERED: 0.0,
    Outcome.UNREACHABLE: 2.0,
    Outcome.BROKEN: 1.0,
    Outcome.SILENT: 2.0,
    Outcome.FAILED: 0.6,
    Outcome.FULL: 0.6,
    Outcome.OTHER_INCARNATION: 1.0,
}

_RESPONSES: Final = frozenset({Outcome.ANSWERED, Outcome.FAILED, Outcome.FULL})


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamHealth:
    """The health of one upstream.

    :ivar failure_rate: moving average of failed calls, 0 to 1
    :ivar suspect_until_s: until then the upstream is chosen only if no other is left
    :ivar backoff_s: length of the latest backoff
    :ivar full_until_s: until then the upstream is treated as full
    :ivar responded_s: when it last responded, be it with a rejection or an error
    :ivar unreachable_s: when it could last not be reached
    """

    failure_rate: float = 0.0
    suspect_until_s: float = 0.0
    backoff_s: float = 0.0
    full_until_s: float = 0.0
    responded_s: float = float("-inf")
    unreachable_s: float = float("-inf")


HEALTHY: Final = UpstreamHealth()

Health = Mapping[str, UpstreamHealth]


def is_suspect(health: Health, now_s: float, upstream: str) -> bool:
    """Return whether an upstream is suspect, so that others are preferred."""
    return health.get(upstream, HEALTHY).suspect_until_s > now_s


def is_full(health: Health, now_s: float, upstream: str) -> bool:
    """Return whether an upstream has just rejected a request for lack of capacity."""
    return health.get(upstream, HEALTHY).full_until_s > now_s


def failure_rate(health: Health, upstream: str) -> float:
    """Return the moving average of failed calls to an upstream, 0 to 1."""
    return health.get(upstream, HEALTHY).failure_rate


def record_outcome(health: Health, now_s: float, upstream: str, outcome: Outcome) -> Health:
    """Return the health after one more call has ended."""
    before = health.get(upstream, HEALTHY)
    weight = _FAILURE_WEIGHT_BY_OUTCOME[outcome]
    rate = min(
        1.0,
        before.failure_rate * (1.0 - NEWEST_OUTCOME_WEIGHT) + weight * NEWEST_OUTCOME_WEIGHT,
    )
    if outcome is Outcome.OTHER_INCARNATION:
        return {**health, upstream: UpstreamHealth(1.0, math.inf, MAX_BACKOFF_S)}
    full_until_s = now_s + ASSUMED_FULL_S if outcome is Outcome.FULL else before.full_until_s
    if weight == 0.0:
        after = UpstreamHealth(rate, 0.0, before.backoff_s if rate >= SUSPECT_FAILURE_RATE else 0.0)
    elif rate < SUSPECT_FAILURE_RATE:
        after = UpstreamHealth(rate, before.suspect_until_s, before.backoff_s)
    else:
        backoff_s = _next_backoff_s(before, now_s)
        after = UpstreamHealth(rate, now_s + backoff_s, backoff_s)
    is_unreachable = outcome is Outcome.UNREACHABLE
    return {
        **health,
        upstream: dataclasses.replace(
            after,
            full_until_s=full_until_s,
            responded_s=now_s if outcome in _RESPONSES else before.responded_s,
            unreachable_s=now_s if is_unreachable else before.unreachable_s,
        ),
    }


def mark_full(health: Health, now_s: float, upstream: str) -> Health:
    """Return the health after an upstream has refused to hold memory."""
    before = health.get(upstream, HEALTHY)
    return {**health, upstream: dataclasses.replace(before, full_until_s=now_s + NO_MEMORY_S)}


def withdraw_rejections(health: Health, upstreams: Collection[str]) -> Health:
    """Return the health with upstreams no longer treated as full."""
    return {
        key: dataclasses.replace(each, full_until_s=0.0) if key in upstreams else each
        for key, each in health.items()
    }


def remove(health: Health, upstream: str) -> Health:
    """Return the health without an upstream that is gone."""
    return {key: each for key, each in health.items() if key != upstream}


def _next_backoff_s(before: UpstreamHealth, now_s: float) -> float:
    if before.suspect_until_s > now_s:
        return before.backoff_s
    return min(MAX_BACKOFF_S, max(MIN_BACKOFF_S, before.backoff_s * 2.0))
