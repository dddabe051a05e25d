"""How far an instance is behind the source, by the positions that its peers report.

A peer that reports a position proves that the source had reached it. The position counts as missing
from the moment at which it was first reported until this instance knows the source up to it.
"""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Missing:
    """A position of the source that this instance has not reached.

    :ivar since_s: this instance's clock when a peer first reported it
    """

    position: int
    since_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Lag:
    """Positions of the source that peers know and this instance does not.

    Only two are kept. While the source changes faster than this instance follows, the lag counts from
    the oldest one, and once that is reached from the newest.

    :ivar oldest: None if this instance is not behind
    :ivar newest: the same as the oldest if only one is missing
    """

    oldest: Missing | None = None
    newest: Missing | None = None


def record_peer(state: Lag, now_s: float, own_position: int, position: int) -> Lag:
    """Record the position that a peer has reported.

    :param own_position: position up to which this instance knows the source
    """
    state = record_own(state, own_position)
    if position <= own_position:
        return state
    if state.newest is not None and position <= state.newest.position:
        return state
    missing = Missing(position, now_s)
    return Lag(state.oldest or missing, missing)


def record_own(state: Lag, own_position: int) -> Lag:
    """Record up to which position this instance knows the source."""
    if state.newest is None or state.newest.position <= own_position:
        return Lag()
    if state.oldest is not None and state.oldest.position <= own_position:
        return Lag(state.newest, state.newest)
    return state


def behind_s(state: Lag, now_s: float) -> float:
    """Return for how long this instance has been behind, zero if it is not."""
    return 0.0 if state.oldest is None else max(0.0, now_s - state.oldest.since_s)
