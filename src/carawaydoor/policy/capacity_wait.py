"""How long a generation waits for engine capacity, and when a refused caller may retry.

In a burst, prompts arrive faster than generations end, and the KV caches are full for a while.
Requests that can still meet their latency target go first. A request that was refused before has
missed its target: it may wait longer, but leaves a reserve of the KV caches to the others.
"""

from __future__ import annotations

import dataclasses
from typing import Final

# Time from the end of prefill to the first event: transfer of the KV cache and first decode step.
FIRST_STEP_S: Final = 0.08
# Longest wait of a request that can meet its latency target, as a fraction of the target.
MAX_WAIT_TARGET_SHARE: Final = 0.5
# Longest wait of a late request: about the length of one generation.
MAX_LATE_WAIT_S: Final = 2.5
# A late request stops waiting this long before its deadline, so that it has time to run.
LATE_RUN_RESERVE_S: Final = 5.0
# Fraction of an engine's KV cache that late requests leave to requests that can be on time.
LATE_KV_RESERVE_SHARE: Final = 0.12
# Callers ignore a retry delay that exceeds this fraction of the time to their deadline.
MAX_RETRY_AFTER_SHARE: Final = 0.32
# A burst is over after this time.
MAX_RETRY_AFTER_S: Final = 4.0


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """When a request came and when it is due.

    :ivar first_sent_s: when the caller sent its first attempt of the request
    :ivar target_s: latency target of the first event, from ``first_sent_s`` on
    """

    received_s: float
    first_sent_s: float
    deadline_s: float
    target_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class WaitTerms:
    """How long a request waits and which capacity it may take.

    :ivar until_s: when the wait ends
    :ivar reserve_share: fraction of an engine's KV cache that has to stay free beside the request
    """

    until_s: float
    reserve_share: float


def wait_terms(arrival: Arrival, prefill_s: float) -> WaitTerms:
    """Return the terms on which a request waits.

    :param prefill_s: expected duration of the prefill
    """
    last_start_s = arrival.first_sent_s + arrival.target_s - prefill_s - FIRST_STEP_S
    if arrival.received_s > last_start_s:
        until_s = min(arrival.received_s + MAX_LATE_WAIT_S, arrival.deadline_s - LATE_RUN_RESERVE_S)
        return WaitTerms(until_s, LATE_KV_RESERVE_SHARE)
    wait_s = arrival.target_s * MAX_WAIT_TARGET_SHARE
    return WaitTerms(min(last_start_s, arrival.received_s + wait_s), 0.0)


def retry_after_s(arrival: Arrival, now_s: float) -> float:
    """Return the time after which a caller that is refused for lack of capacity should retry."""
    return max(0.0, min(MAX_RETRY_AFTER_S, (arrival.deadline_s - now_s) * MAX_RETRY_AFTER_SHARE))
