"""Retry budget: bounds retries to a fraction of first attempts, so that they can't add load."""

from __future__ import annotations

import dataclasses
from typing import Final

# Retries that an attempt earns, and retries that may be saved up, where no bounds are stated.
DEFAULT_RATIO: Final = 0.1
DEFAULT_CAPACITY: Final = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class RetryBudget:
    """Retries at hand.

    :ivar ratio: retries that one first attempt earns
    :ivar capacity: most retries that can be saved up
    """

    level: float = DEFAULT_CAPACITY
    ratio: float = DEFAULT_RATIO
    capacity: float = DEFAULT_CAPACITY


def create(ratio: float, capacity: float) -> RetryBudget:
    """Return a full budget."""
    return RetryBudget(capacity, ratio, capacity)


def record_attempt(state: RetryBudget) -> RetryBudget:
    """Earn a fraction of a retry for a first attempt."""
    level = min(state.capacity, state.level + state.ratio)
    return dataclasses.replace(state, level=level)


def take(state: RetryBudget) -> tuple[RetryBudget, bool]:
    """Take one retry where there is one."""
    if state.level < 1.0:
        return state, False
    return dataclasses.replace(state, level=state.level - 1.0), True
