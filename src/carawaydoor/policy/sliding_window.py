"""Amounts by name in a sliding window, counted over all instances and known with a lag."""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Mapping
from typing import Final

# Length in seconds of the slots that a window is counted in.
SLOT_S: Final = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class WindowCounts:
    """What was counted in the window.

    :ivar length_s: length of the window in seconds
    :ivar slots_by_name: amounts counted anywhere, by number of the slot
    :ivar own_totals_by_name: amounts that this instance has counted since its start
    :ivar totals_by_peer: amounts that each peer has counted since its start, by name
    """

    length_s: float
    slots_by_name: Mapping[str, Mapping[int, float]] = dataclasses.field(default_factory=dict)
    own_totals_by_name: Mapping[str, float] = dataclasses.field(default_factory=dict)
    totals_by_peer: Mapping[str, Mapping[str, float]] = dataclasses.field(default_factory=dict)


def add(state: WindowCounts, now_s: float, name: str, amount: float) -> WindowCounts:
    """Count an amount of this instance; a negative one takes back what was counted."""
    own = {**state.own_totals_by_name, name: state.own_totals_by_name.get(name, 0.0) + amount}
    return dataclasses.replace(_added(state, now_s, {name: amount}), own_totals_by_name=own)


def used(state: WindowCounts, now_s: float, name: str) -> float:
    """Return the amount in the window."""
    return sum(by_slot(state, now_s, name).values())


def by_slot(state: WindowCounts, now_s: float, name: str) -> dict[int, float]:
    """Return the amounts in the window by number of the slot."""
    first = _slot(now_s - state.length_s)
    slots = state.slots_by_name.get(name, {})
    return {slot: each for slot, each in slots.items() if slot > first}


def weigh(state: WindowCounts, now_s: float, name: str, factor: float) -> WindowCounts:
    """Multiply what is in the window."""
    slots = {slot: each * factor for slot, each in by_slot(state, now_s, name).items()}
    return dataclasses.replace(state, slots_by_name={**state.slots_by_name, name: slots})


def leaves_window_in_s(state: WindowCounts, now_s: float, slot: int) -> float:
    """Return after how many seconds a slot is no longer in the window."""
    return (slot + 1) * SLOT_S + state.length_s - now_s


def merge_peer_totals(
    state: WindowCounts, now_s: float, peer: str, totals: Mapping[str, float]
) -> WindowCounts:
    """Count what a peer has added since its last report.

    A peer that is heard for the first time has totals that reach back too far: only what it adds
    from then on counts.
    """
    before = state.totals_by_peer.get(peer)
    if before == totals:
        return state
    added: dict[str, float] = {}
    if before is not None:
        added = {name: total - before.get(name, 0.0) for name, total in totals.items()}
    by_peer = {**state.totals_by_peer, peer: dict(totals)}
    return dataclasses.replace(_added(state, now_s, added), totals_by_peer=by_peer)


def remove_peer(state: WindowCounts, peer: str) -> WindowCounts:
    """Forget the totals of a peer that has ended; what it added stays in the window."""
    by_peer = {each: totals for each, totals in state.totals_by_peer.items() if each != peer}
    return dataclasses.replace(state, totals_by_peer=by_peer)


def _added(state: WindowCounts, now_s: float, amount_by_name: Mapping[str, float]) -> WindowCounts:
    slots_by_name = dict(state.slots_by_name)
    slot = _slot(now_s)
    for name, amount in amount_by_name.items():
        if amount == 0.0:
            continue
        slots = by_slot(state, now_s, name)
        slots[slot] = slots.get(slot, 0.0) + amount
        slots_by_name[name] = slots
    return dataclasses.replace(state, slots_by_name=slots_by_name)


def _slot(at_s: float) -> int:
    return math.floor(at_s / SLOT_S)
