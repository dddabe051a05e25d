"""Retry budget: bounds retries to a fraction of first attempts, so that they can't add load."""

from __future__ import annotations

import dataclasses
from typing import Final

# Retries that an attempt earns, and retries that may be saved up, where no bounds are stated.
DEFAULT_RATIO: Final = 0.1
DEFAULT_CAPACITY: Final = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class LocalRetryBudget:
    """Retries at hand.

    :ivar ratio: retries that one first attempt earns
    :ivar capacity: most retries that can be saved up
    """

    level: float = DEFAULT_CAPACITY
    ratio: float = DEFAULT_RATIO
    capacity: float = DEFAULT_CAPACITY


def create(ratio: float, capacity: float) -> LocalRetryBudget:
    """Return a full budget."""
    return LocalRetryBudget(capacity, ratio, capacity)


def record_attempt(state: LocalRetryBudget) -> LocalRetryBudget:
    """Earn a fraction of a retry for a first attempt."""
    level = min(state.capacity, state.level + state.ratio)
    return dataclasses.replace(state, level=level)


def take(state: LocalRetryBudget) -> tuple[LocalRetryBudget, bool]:
    """Take one retry where there is one."""
    if state.level < 1.0:
        return state, False
    return dataclasses.replace(state, level=state.level - 1.0), True
