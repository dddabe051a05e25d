"""Judges upstreams by how their calls end, since their own health answers may be wrong."""

from __future__ import annotations

import dataclasses
import enum
import math
from collections.abc import Mapping
from typing import Final

# Weight of the newest outcome in the running share of failures.
OUTCOME_WEIGHT: Final = 0.3
# Share of failed calls from which an upstream is chosen only where no other is left.
SUSPECT_SHARE: Final = 0.35
# Time in seconds after which a suspect is tried again, doubled for each failed trial up to the
# longest: crashed upstreams are back after some seconds.
FIRST_PAUSE_S: Final = 1.0
MAX_PAUSE_S: Final = 8.0
# Time in seconds for which an engine that rejected a request is taken to be full, whatever the
# known load says: instances that are not heard use it too, and a run takes longer than that.
FULL_S: Final = 0.6


class Outcome(enum.Enum):
    """How a call ended, as far as it tells about the upstream."""

    ANSWERED = "answered"
    UNREACHABLE = "unreachable"
    BROKEN = "broken"
    SILENT = "silent"
    FAILED = "failed"
    FULL = "full"
    OTHER_INCARNATION = "other_incarnation"


# How much an outcome counts as a failure: one unanswered connection says more than an error.
_FAILURE_BY_OUTCOME: Final = {
    Outcome.ANSWERED: 0.0,
    Outcome.UNREACHABLE: 2.0,
    Outcome.BROKEN: 1.0,
    Outcome.SILENT: 2.0,
    Outcome.FAILED: 0.6,
    Outcome.FULL: 0.6,
    Outcome.OTHER_INCARNATION: 1.0,
}


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamHealth:
    """What is known about one upstream.

    :ivar failures: running share of failed calls, 0 to 1
    :ivar suspect_until_s: until then the upstream gets a request only where no other is left
    :ivar pause_s: length of the last such pause in seconds
    :ivar full_until_s: until then the upstream is taken to be full
    """

    failures: float = 0.0
    suspect_until_s: float = 0.0
    pause_s: float = 0.0
    full_until_s: float = 0.0


GOOD: Final = UpstreamHealth()

Health = Mapping[str, UpstreamHealth]


def is_suspect(health: Health, now_s: float, upstream: str) -> bool:
    """Return whether an upstream is to be avoided now."""
    return health.get(upstream, GOOD).suspect_until_s > now_s


def is_full(health: Health, now_s: float, upstream: str) -> bool:
    """Return whether an upstream has just rejected a request for want of room."""
    return health.get(upstream, GOOD).full_until_s > now_s


def failure_share(health: Health, upstream: str) -> float:
    """Return the running share of failed calls of an upstream, 0 to 1."""
    return health.get(upstream, GOOD).failures


def record_outcome(health: Health, now_s: float, upstream: str, outcome: Outcome) -> Health:
    """Return the health after one more call has ended."""
    before = health.get(upstream, GOOD)
    weight = _FAILURE_BY_OUTCOME[outcome]
    share = min(1.0, before.failures * (1.0 - OUTCOME_WEIGHT) + weight * OUTCOME_WEIGHT)
    if outcome is Outcome.OTHER_INCARNATION:
        return {**health, upstream: UpstreamHealth(1.0, math.inf, MAX_PAUSE_S)}
    full_until_s = now_s + FULL_S if outcome is Outcome.FULL else before.full_until_s
    if weight == 0.0:
        after = UpstreamHealth(share, 0.0, before.pause_s if share >= SUSPECT_SHARE else 0.0)
    elif share < SUSPECT_SHARE:
        after = UpstreamHealth(share, before.suspect_until_s, before.pause_s)
    else:
        pause_s = _next_pause(before, now_s)
        after = UpstreamHealth(share, now_s + pause_s, pause_s)
    return {**health, upstream: dataclasses.replace(after, full_until_s=full_until_s)}


def remove(health: Health, upstream: str) -> Health:
    """Return the health without an upstream that is gone."""
    return {key: each for key, each in health.items() if key != upstream}


def _next_pause(before: UpstreamHealth, now_s: float) -> float:
    if before.suspect_until_s > now_s:
        return before.pause_s
    return min(MAX_PAUSE_S, max(FIRST_PAUSE_S, before.pause_s * 2.0))
