"""Limits that upstreams name for the requests of all instances together."""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Mapping
from typing import Final

from carawaydoor.policy import entities

# A server that takes more than this needs no limit; the figure is a mistake.
MAX_LIMIT_PER_S: Final = 1e6


class LimitError(Exception):
    """The text states no usable limit."""


def parse(text: str) -> float:
    """Return a limit in requests a second.

    :raises LimitError: if the text is not a number from zero to ``MAX_LIMIT_PER_S``
    """
    try:
        limit_per_s = float(text)
    except ValueError:
        raise LimitError("not a number") from None
    if not math.isfinite(limit_per_s) or not 0.0 <= limit_per_s <= MAX_LIMIT_PER_S:
        raise LimitError(f"not between 0 and {MAX_LIMIT_PER_S:.0f} requests a second")
    return limit_per_s


@dataclasses.dataclass(frozen=True, slots=True)
class Statement:
    """What an incarnation of an upstream has said about its limit.

    :ivar limit_per_s: requests a second from all instances together, None for no limit
    :ivar asked_s: when the request was sent whose response says so; a response to an earlier request
        may be older, even if it arrives later
    """

    upstream_id: str
    born_ms: int
    limit_per_s: float | None
    asked_s: float

    @property
    def incarnation(self) -> entities.Incarnation:
        """The incarnation that the statement is about."""
        return self.upstream_id, self.born_ms


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamLimits:
    """The newest statement of each incarnation that names a limit, or did so lately."""

    statement_by_incarnation: Mapping[entities.Incarnation, Statement] = dataclasses.field(
        default_factory=dict
    )

    def limit_per_s(self, incarnation: entities.Incarnation) -> float | None:
        """Return the limit of an incarnation, None if it names none."""
        statement = self.statement_by_incarnation.get(incarnation)
        return None if statement is None else statement.limit_per_s


def record(state: UpstreamLimits, statement: Statement) -> UpstreamLimits:
    """Record a statement, unless a newer one is known."""
    known = state.statement_by_incarnation.get(statement.incarnation)
    if known is None and statement.limit_per_s is None:
        return state
    if known is not None and statement.asked_s < known.asked_s:
        return state
    statements = {**state.statement_by_incarnation, statement.incarnation: statement}
    return dataclasses.replace(state, statement_by_incarnation=statements)


def remove(state: UpstreamLimits, incarnation: entities.Incarnation) -> UpstreamLimits:
    """Remove what is known of an incarnation that has ended."""
    statements = dict(state.statement_by_incarnation)
    if statements.pop(incarnation, None) is None:
        return state
    return dataclasses.replace(state, statement_by_incarnation=statements)
