"""Amounts by name in a sliding window, summed over all instances.

Each instance counts its own amounts at once and those of its peers when they report their totals.
"""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Mapping
from typing import Final

# Amounts are summed by intervals of this length, and leave the window with their interval.
INTERVAL_S: Final = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class WindowCounts:
    """Amounts in the window and the totals that they were derived from.

    :ivar length_s: length of the window
    :ivar intervals_by_name: amounts of all instances, by number of the interval
    :ivar own_totals_by_name: amounts that this instance has counted since its start
    :ivar totals_by_peer: amounts that each peer has counted since its start, by name
    """

    length_s: float
    intervals_by_name: Mapping[str, Mapping[int, float]] = dataclasses.field(default_factory=dict)
    own_totals_by_name: Mapping[str, float] = dataclasses.field(default_factory=dict)
    totals_by_peer: Mapping[str, Mapping[str, float]] = dataclasses.field(default_factory=dict)


def add(state: WindowCounts, now_s: float, name: str, amount: float) -> WindowCounts:
    """Count an amount of this instance; a negative amount undoes an earlier one."""
    own = {**state.own_totals_by_name, name: state.own_totals_by_name.get(name, 0.0) + amount}
    return dataclasses.replace(_with_added(state, now_s, {name: amount}), own_totals_by_name=own)


def total(state: WindowCounts, now_s: float, name: str) -> float:
    """Return the sum of a name's amounts in the window."""
    return sum(by_interval(state, now_s, name).values())


def by_interval(state: WindowCounts, now_s: float, name: str) -> dict[int, float]:
    """Return a name's amounts in the window by number of the interval."""
    first = _interval_at(now_s - state.length_s)
    intervals = state.intervals_by_name.get(name, {})
    return {interval: each for interval, each in intervals.items() if interval > first}


def scale(state: WindowCounts, now_s: float, name: str, factor: float) -> WindowCounts:
    """Multiply a name's amounts in the window by a factor."""
    intervals = {
        interval: each * factor for interval, each in by_interval(state, now_s, name).items()
    }
    return dataclasses.replace(
        state, intervals_by_name={**state.intervals_by_name, name: intervals}
    )


def expires_after_s(state: WindowCounts, now_s: float, interval: int) -> float:
    """Return the time until an interval has left the window."""
    return (interval + 1) * INTERVAL_S + state.length_s - now_s


def merge_peer_totals(
    state: WindowCounts, now_s: float, peer: str, totals: Mapping[str, float]
) -> WindowCounts:
    """Count what a peer has added since its last report.

    The first totals of a peer are only a baseline, since they reach back beyond the window: the
    peer's amounts count from its second report on.
    """
    before = state.totals_by_peer.get(peer)
    if before == totals:
        return state
    added: dict[str, float] = {}
    if before is not None:
        added = {name: reported - before.get(name, 0.0) for name, reported in totals.items()}
    by_peer = {**state.totals_by_peer, peer: dict(totals)}
    return dataclasses.replace(_with_added(state, now_s, added), totals_by_peer=by_peer)


def remove_peer(state: WindowCounts, peer: str) -> WindowCounts:
    """Remove the totals of a peer that has ended; its amounts stay in the window."""
    by_peer = {each: totals for each, totals in state.totals_by_peer.items() if each != peer}
    return dataclasses.replace(state, totals_by_peer=by_peer)


def _with_added(
    state: WindowCounts, now_s: float, amount_by_name: Mapping[str, float]
) -> WindowCounts:
    intervals_by_name = dict(state.intervals_by_name)
    interval = _interval_at(now_s)
    for name, amount in amount_by_name.items():
        if amount == 0.0:
            continue
        intervals = by_interval(state, now_s, name)
        intervals[interval] = intervals.get(interval, 0.0) + amount
        intervals_by_name[name] = intervals
    return dataclasses.replace(state, intervals_by_name=intervals_by_name)


def _interval_at(at_s: float) -> int:
    return math.floor(at_s / INTERVAL_S)
