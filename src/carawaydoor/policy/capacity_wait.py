"""How long a generation waits for engine capacity, and when a refused caller may retry.

In a burst, prompts arrive faster than generations end, and the KV caches are full for a while.
Requests that can still meet their latency target go first. A request that was refused before has
missed its target: it may wait longer, but leaves a reserve of the KV caches to the others.

Where the requests of a service differ in priority, those of one instance are served by rank, then by
whether they can still be on time, then by arrival.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable
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
# Part of the longest retry delay that applies even to the most urgent rank. A caller comes back once
# only, so it should not do so in the middle of the burst that it was refused in.
MIN_RETURN_SHARE: Final = 0.5
# Assumed length of a generation until some have ended here.
DEFAULT_GENERATION_S: Final = 2.5
# Weight of the newest generation in the mean length: an instance sees a few a second, and the mix of
# lengths changes within tens of seconds.
NEWEST_LENGTH_WEIGHT: Final = 0.05
# Part of the freed memory that is expected to reach a rank, whatever more urgent ranks bring: they
# are refused too, and each rank keeps a minimum.
MIN_FREED_SHARE: Final = 0.1
# Some requests find room this many times sooner than expected on average, as freed memory is not
# handed out strictly by rank over all instances. Modelled fleets at twice their capacity served 0.75
# of all requests without this margin, and 0.77 with it.
PROSPECT_MARGIN: Final = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """When a request came and when it is due.

    :ivar first_sent_s: when the caller sent its first attempt of the request
    :ivar target_s: latency target of the first event, from ``first_sent_s`` on
    :ivar return_share: part of the longest retry delay that a refused caller is told
    """

    received_s: float
    first_sent_s: float
    deadline_s: float
    target_s: float
    return_share: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class WaitTerms:
    """How long a request waits and which capacity it may take.

    :ivar until_s: when the wait ends
    :ivar reserve_share: fraction of an engine's KV cache that has to stay free beside the request
    :ivar is_late: whether it can no longer meet its latency target
    """

    until_s: float
    reserve_share: float
    is_late: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """A generation that has no room yet, in a service whose requests differ in priority.

    :ivar rank: rank of its priority within the service, zero for the most urgent
    :ivar is_late: whether it can no longer meet its latency target
    :ivar number: differs for each claim of an instance, and rises with time
    :ivar tokens: room that it needs in a KV cache
    :ivar version: software version of the engines that may get it, None for any
    """

    service: str
    priority: int
    rank: int
    is_late: bool
    received_s: float
    number: int
    tokens: int
    version: str | None

    @property
    def order(self) -> tuple[int, bool, float, int]:
        """Return what claims are sorted by; the lowest one is served first."""
        return self.rank, self.is_late, self.received_s, self.number


def is_turn(claim: Claim, waiting: Iterable[Claim]) -> bool:
    """Return whether a claim may try to get room before those that wait.

    One that is bound to a software version keeps only claims for the same version from trying, since
    there may be room for the others.
    """
    return not any(
        each.service == claim.service
        and each.order < claim.order
        and each.version in (None, claim.version)
        for each in waiting
    )


def tokens_ahead(claim: Claim, waiting: Iterable[Claim]) -> int:
    """Return the room needed by the claims that are served before one."""
    return sum(
        each.tokens
        for each in waiting
        if each.service == claim.service and each.order < claim.order
    )


@dataclasses.dataclass(frozen=True, slots=True)
class GenerationLength:
    """Mean time for which generations take up memory.

    :ivar token_s: moving average of tokens times seconds
    :ivar tokens: moving average of tokens
    """

    token_s: float
    tokens: float

    @property
    def mean_s(self) -> float:
        """Return the mean time, in which large generations count more."""
        return self.token_s / self.tokens


def with_length(
    length: GenerationLength | None, tokens: int, duration_s: float
) -> GenerationLength:
    """Return the mean after one more generation.

    :param tokens: memory that the generation took up
    :param duration_s: time from its placement to its end
    """
    tokens = max(1, tokens)
    if length is None:
        length = GenerationLength(DEFAULT_GENERATION_S * tokens, tokens)
    weight = NEWEST_LENGTH_WEIGHT
    return GenerationLength(
        length.token_s * (1.0 - weight) + tokens * duration_s * weight,
        length.tokens * (1.0 - weight) + tokens * weight,
    )


def prospect_s(
    freed_per_s: float, more_urgent_per_s: float, ahead_tokens: float, tokens: int
) -> float:
    """Return the time in seconds before which no room is expected for a generation that found none.

    :param freed_per_s: tokens a second that all instances together free
    :param more_urgent_per_s: tokens a second that more urgent requests take
    :param ahead_tokens: room needed by requests that wait and are served before
    :param tokens: room that the generation needs
    :return: zero if nothing is known of the memory in use
    """
    if freed_per_s <= 0.0:
        return 0.0
    left_per_s = max(freed_per_s - more_urgent_per_s, freed_per_s * MIN_FREED_SHARE)
    return (ahead_tokens + tokens) / left_per_s / PROSPECT_MARGIN


def wait_terms(arrival: Arrival, prefill_s: float, is_urgent: bool = False) -> WaitTerms:
    """Return the terms on which a request waits.

    :param prefill_s: expected duration of the prefill
    :param is_urgent: whether the service has less urgent requests; since these are served later, it
        waits for as long as it can be on time
    """
    last_start_s = arrival.first_sent_s + arrival.target_s - prefill_s - FIRST_STEP_S
    if arrival.received_s > last_start_s:
        until_s = min(arrival.received_s + MAX_LATE_WAIT_S, arrival.deadline_s - LATE_RUN_RESERVE_S)
        return WaitTerms(until_s, LATE_KV_RESERVE_SHARE, True)
    wait_s = arrival.target_s * (1.0 if is_urgent else MAX_WAIT_TARGET_SHARE)
    return WaitTerms(min(last_start_s, arrival.received_s + wait_s), 0.0, False)


def return_share(rank: int, ranks: int) -> float:
    """Return the part of the longest retry delay for a rank, so that more urgent ones return first."""
    return MIN_RETURN_SHARE + (1.0 - MIN_RETURN_SHARE) * (rank + 1) / ranks


def retry_after_s(arrival: Arrival, now_s: float) -> float:
    """Return the time after which a caller that is refused for lack of capacity should retry."""
    longest_s = MAX_RETRY_AFTER_S * arrival.return_share
    return max(0.0, min(longest_s, (arrival.deadline_s - now_s) * MAX_RETRY_AFTER_SHARE))
