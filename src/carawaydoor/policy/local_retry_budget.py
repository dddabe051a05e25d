"""Retry budget of one instance: bounds retries to a fraction of first attempts.

Retries beyond the budget would multiply the load of an overloaded upstream.
"""

from __future__ import annotations

import dataclasses
from typing import Final

DEFAULT_RETRIES_PER_ATTEMPT: Final = 0.1
DEFAULT_MAX_RETRIES: Final = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class LocalRetryBudget:
    """Token bucket that first attempts refill and retries drain.

    :ivar available: retries that may be sent now
    :ivar ratio: retries that one first attempt adds
    :ivar capacity: most retries that the budget can hold
    """

    available: float = DEFAULT_MAX_RETRIES
    ratio: float = DEFAULT_RETRIES_PER_ATTEMPT
    capacity: float = DEFAULT_MAX_RETRIES


def create(ratio: float, capacity: float) -> LocalRetryBudget:
    """Return a full budget."""
    return LocalRetryBudget(capacity, ratio, capacity)


def record_attempt(state: LocalRetryBudget) -> LocalRetryBudget:
    """Add a fraction of a retry for a first attempt."""
    available = min(state.capacity, state.available + state.ratio)
    return dataclasses.replace(state, available=available)


def take(state: LocalRetryBudget) -> tuple[LocalRetryBudget, bool]:
    """Take one retry from the budget; return False if it has none."""
    if state.available < 1.0:
        return state, False
    return dataclasses.replace(state, available=state.available - 1.0), True
