"""How long a generation waits for room at the engines, and when a caller had better come back.

Answers the load pattern of a burst beyond the engines' memory: more prompts arrive in some seconds
than runs end. Those that can still be on time go first. One that was turned away before is late
already: it takes only room that is to spare, and may wait longer for it.
"""

from __future__ import annotations

import dataclasses
from typing import Final

# Time in seconds from the end of a prompt's reading to the first event: transfer and first step.
FIRST_STEP_S: Final = 0.08
# Longest wait for room of a request that is on time, as a part of its target.
WAIT_SHARE: Final = 0.5
# Longest wait for room of a request that is late already, in seconds: about one run.
LATE_WAIT_S: Final = 2.5
# Time in seconds that is left for a late request to run.
LATE_RUN_S: Final = 5.0
# Part of an engine's memory that late requests leave for those that can be on time.
LATE_RESERVE_SHARE: Final = 0.12
# Part of the time that is left up to which callers honour being told to come back.
COME_BACK_SHARE: Final = 0.32
# Longest time in seconds until a caller is told to come back: a burst is over by then.
COME_BACK_S: Final = 4.0


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """The times of a request.

    :ivar first_sent_s: when the caller sent its first attempt, in seconds
    :ivar target_s: time in seconds from then within which the first event is on time
    """

    received_s: float
    first_sent_s: float
    deadline_s: float
    target_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class WaitTerms:
    """On what terms a request waits.

    :ivar until_s: when the wait for room ends, in seconds
    :ivar reserve_share: part of an engine's memory that has to stay free beside the request
    """

    until_s: float
    reserve_share: float


def wait_terms(arrival: Arrival, read_s: float) -> WaitTerms:
    """Return the terms of a request whose prompt takes ``read_s`` seconds to be read."""
    last_start_s = arrival.first_sent_s + arrival.target_s - read_s - FIRST_STEP_S
    if arrival.received_s > last_start_s:
        until_s = min(arrival.received_s + LATE_WAIT_S, arrival.deadline_s - LATE_RUN_S)
        return WaitTerms(until_s, LATE_RESERVE_SHARE)
    wait_s = arrival.target_s * WAIT_SHARE
    return WaitTerms(min(last_start_s, arrival.received_s + wait_s), 0.0)


def retry_after_s(arrival: Arrival, now_s: float) -> float:
    """Return when a caller that found no room had better come back, in seconds from now."""
    return max(0.0, min(COME_BACK_S, (arrival.deadline_s - now_s) * COME_BACK_SHARE))
