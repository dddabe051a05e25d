"""Token bucket with reservations whose unused tokens can be returned once.

The level plus all returnable credit never exceeds the burst. So in any interval the tokens
that are reserved and not returned stay within ``burst + rate * length``, however late unused
tokens are returned.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping

import expression

EPSILON_TOKENS: float = 1e-6


@dataclasses.dataclass(frozen=True, slots=True)
class Limit:
    """Rate and burst of a bucket.

    :ivar rate_per_s: refill in tokens per second
    :ivar burst: capacity in tokens
    """

    rate_per_s: float
    burst: float


@dataclasses.dataclass(frozen=True, slots=True)
class Bucket:
    """State of one bucket.

    :ivar level: available tokens; negative while a reservation waits for its refill
    :ivar updated_s: time of the level in seconds
    :ivar credit_by_grant: tokens that each open grant may still return, oldest grant first
    """

    limit: Limit
    level: float
    updated_s: float
    credit_by_grant: Mapping[str, float]


@dataclasses.dataclass(frozen=True, slots=True)
class Reservation:
    """A successful reservation.

    :ivar start_in_s: seconds until the tokens may be used
    """

    start_in_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Shortage:
    """A reservation that is refused.

    :ivar retry_after_s: seconds until it would be granted, None if it exceeds the burst
    """

    retry_after_s: float | None


def create(limit: Limit, now_s: float, level: float = 0.0) -> Bucket:
    """Return a bucket with a given level."""
    return Bucket(limit, min(level, limit.burst), now_s, {})


def refill(bucket: Bucket, now_s: float) -> Bucket:
    """Refill the bucket up to a time, and cut credit that no longer fits, the oldest first."""
    elapsed_s = max(0.0, now_s - bucket.updated_s)
    level = min(bucket.limit.burst, bucket.level + elapsed_s * bucket.limit.rate_per_s)
    credit = _trim_credit(bucket.credit_by_grant, bucket.limit.burst - level)
    return Bucket(bucket.limit, level, max(now_s, bucket.updated_s), credit)


def reserve(
    bucket: Bucket,
    now_s: float,
    grant_id: str,
    tokens: float,
    returnable: float,
    max_wait_s: float,
) -> tuple[Bucket, expression.Result[Reservation, Shortage]]:
    """Debit tokens, which may be refilled up to ``max_wait_s`` later.

    :param tokens: tokens to debit
    :param returnable: the part of ``tokens`` that may come back unused
    :param max_wait_s: longest time in seconds until the tokens may be used
    """
    current = refill(bucket, now_s)
    if tokens > current.limit.burst + EPSILON_TOKENS:
        return current, expression.Error(Shortage(None))
    missing = tokens - current.level
    wait_s = max(0.0, missing) / current.limit.rate_per_s
    if wait_s > max_wait_s:
        return current, expression.Error(Shortage(wait_s - max_wait_s))
    credit = {**current.credit_by_grant, grant_id: min(returnable, tokens)}
    after = dataclasses.replace(current, level=current.level - tokens, credit_by_grant=credit)
    return after, expression.Ok(Reservation(wait_s))


def settle(bucket: Bucket, now_s: float, grant_id: str, unused: float) -> Bucket:
    """Close a grant: return its unused tokens, or debit what it used beyond its reservation.

    A grant that is unknown or already closed changes nothing.

    :param unused: tokens not used; negative where more was used than reserved
    """
    current = refill(bucket, now_s)
    if grant_id not in current.credit_by_grant:
        return current
    credit = dict(current.credit_by_grant)
    returned = min(credit.pop(grant_id), unused)
    return dataclasses.replace(current, level=current.level + returned, credit_by_grant=credit)


def resize(bucket: Bucket, now_s: float, limit: Limit) -> Bucket:
    """Change the limit; a smaller burst cuts the level at once."""
    current = refill(bucket, now_s)
    return refill(dataclasses.replace(current, limit=limit), now_s)


def deposit(bucket: Bucket, now_s: float, tokens: float) -> Bucket:
    """Add tokens that were debited from another bucket; what does not fit is lost."""
    current = refill(bucket, now_s)
    return refill(dataclasses.replace(current, level=current.level + tokens), now_s)


def withdraw(bucket: Bucket, now_s: float, keep: float) -> tuple[Bucket, float]:
    """Debit all tokens above ``keep`` and return their number."""
    current = refill(bucket, now_s)
    withdrawn = max(0.0, current.level - keep)
    return dataclasses.replace(current, level=current.level - withdrawn), withdrawn


def _trim_credit(credit_by_grant: Mapping[str, float], room: float) -> Mapping[str, float]:
    excess = sum(credit_by_grant.values()) - max(0.0, room)
    if excess <= 0.0:
        return credit_by_grant
    remaining: dict[str, float] = {}
    for grant_id, credit in credit_by_grant.items():
        cut = min(credit, excess)
        excess -= cut
        remaining[grant_id] = credit - cut
    return remaining
