"""Retry budget: bounds retries to a fraction of first attempts, so that they can't add load."""

from __future__ import annotations

import dataclasses

RATIO = 0.1
CAPACITY = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class RetryBudget:
    """Retries at hand."""

    level: float = CAPACITY


def record_attempt(state: RetryBudget) -> RetryBudget:
    """Earn a fraction of a retry for a first attempt."""
    return RetryBudget(min(CAPACITY, state.level + RATIO))


def take(state: RetryBudget) -> tuple[RetryBudget, bool]:
    """Take one retry where there is one."""
    if state.level < 1.0:
        return state, False
    return RetryBudget(state.level - 1.0), True
