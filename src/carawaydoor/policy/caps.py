"""Usage caps of workspaces: a sliding window over all instances, known with a lag."""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Mapping
from typing import Final

from carawaydoor.policy import model

# Length in seconds of the slots that a window is counted in.
SLOT_S: Final = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class Rules:
    """How caps are counted.

    :ivar window_s: length of the window in seconds
    :ivar overshoot: part beyond a cap that all instances together may admit
    """

    window_s: float
    overshoot: float


@dataclasses.dataclass(frozen=True, slots=True)
class Usage:
    """What a workspace has used in the window, as this instance knows it.

    :ivar used_by_slot: tokens admitted anywhere, by number of the slot, oldest first
    :ivar limit: full limit of the window when the usage was last counted
    :ivar own_used: tokens that this instance has admitted since its start
    """

    used_by_slot: Mapping[int, float]
    limit: float
    own_used: float = 0.0

    @property
    def total(self) -> float:
        """Tokens used in the window."""
        return sum(self.used_by_slot.values())


@dataclasses.dataclass(frozen=True, slots=True)
class Caps:
    """Usage by workspace.

    :ivar started_s: start of this instance; what was used before is not known
    :ivar used_by_peer: total tokens that each peer has admitted since its start, by workspace
    :ivar share: part of the caps that this instance counts on, below 1 where peers are unheard
    """

    rules: Rules
    started_s: float
    usage_by_workspace: Mapping[str, Usage] = dataclasses.field(default_factory=dict)
    used_by_peer: Mapping[str, Mapping[str, float]] = dataclasses.field(default_factory=dict)
    share: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Admitted:
    """The request is within the cap."""


@dataclasses.dataclass(frozen=True, slots=True)
class Exceeded:
    """The request is over the cap.

    :ivar used: tokens used in the window, as far as known
    :ivar limit: tokens that this instance lets the workspace use in the window now
    :ivar retry_after_s: seconds after which the workspace has enough
    """

    used: float
    limit: float
    retry_after_s: float


def cost(workspace: model.Workspace, prompt: model.Prompt | None) -> float:
    """Return what a request takes from its workspace's cap."""
    if not workspace.counts_tokens:
        return 1.0
    if prompt is None:
        return workspace.default_tokens
    return float(prompt.tokens + prompt.max_output_tokens)


def admit(
    state: Caps, now_s: float, workspace: model.Workspace, amount: float
) -> tuple[Caps, Admitted | Exceeded]:
    """Charge a request to its workspace if the window has room for it.

    A request that is larger than the whole limit is admitted by an empty window.
    """
    if workspace.tokens_per_s <= 0.0:
        return state, Admitted()
    usage = _current(state, now_s, workspace)
    limit = _limit(state, now_s, workspace)
    used = usage.total
    if used > 0.0 and used + amount > limit:
        retry_after_s = _room_in_s(state, now_s, usage, limit - amount)
        return _put(state, workspace.name, usage), Exceeded(used, limit, retry_after_s)
    charged = dataclasses.replace(
        _add(usage, _slot(now_s), amount), own_used=usage.own_used + amount
    )
    return _put(state, workspace.name, charged), Admitted()


def own_used(state: Caps) -> dict[str, float]:
    """Return the tokens that this instance has admitted since its start, by workspace."""
    return {name: usage.own_used for name, usage in state.usage_by_workspace.items()}


def give_back(state: Caps, now_s: float, workspace: str, amount: float) -> Caps:
    """Put back what a request took that did not run anywhere."""
    usage = state.usage_by_workspace.get(workspace)
    if usage is None:
        return state
    after = dataclasses.replace(
        _add(usage, _slot(now_s), -amount), own_used=usage.own_used - amount
    )
    return _put(state, workspace, after)


def hear(state: Caps, now_s: float, peer: str, used_by_workspace: Mapping[str, float]) -> Caps:
    """Count what a peer has admitted since its last report.

    A peer that is heard for the first time has a total that reaches back too far: only what it
    adds from then on counts.
    """
    before = state.used_by_peer.get(peer)
    if before == used_by_workspace:
        return state
    usages = dict(state.usage_by_workspace)
    for workspace, used in used_by_workspace.items():
        added = used - before.get(workspace, 0.0) if before is not None else 0.0
        if added == 0.0:
            continue
        usage = usages.get(workspace) or Usage({}, 0.0)
        usages[workspace] = _add(usage, _slot(now_s), added)
    return dataclasses.replace(
        state,
        usage_by_workspace=usages,
        used_by_peer={**state.used_by_peer, peer: dict(used_by_workspace)},
    )


def forget(state: Caps, peer: str) -> Caps:
    """Forget the totals of a peer that has ended."""
    used = {each: totals for each, totals in state.used_by_peer.items() if each != peer}
    return dataclasses.replace(state, used_by_peer=used)


def with_share(state: Caps, heard: int, known: int) -> Caps:
    """Return the caps for an instance that hears ``heard`` of ``known`` instances, itself included.

    Each side of a network partition counts on the part of the instances that it hears, so that the
    sides together stay within the cap and its overshoot.
    """
    part = heard / max(known, heard, 1)
    return dataclasses.replace(state, share=min(1.0, part * (1.0 + state.rules.overshoot)))


def _limit(state: Caps, now_s: float, workspace: model.Workspace) -> float:
    """Return what a workspace may use in the window as far as this instance knows the window."""
    known_s = min(state.rules.window_s, now_s - state.started_s)
    return (workspace.tokens_per_s * known_s + workspace.burst_tokens) * state.share


def _full_limit(state: Caps, workspace: model.Workspace) -> float:
    return workspace.tokens_per_s * state.rules.window_s + workspace.burst_tokens


def _current(state: Caps, now_s: float, workspace: model.Workspace) -> Usage:
    full = _full_limit(state, workspace)
    usage = state.usage_by_workspace.get(workspace.name)
    if usage is None:
        return Usage({}, full)
    first = _slot(now_s - state.rules.window_s)
    used = {slot: each for slot, each in usage.used_by_slot.items() if slot > first}
    if usage.limit > full > 0.0:
        # A lowered cap weighs earlier use by the cap that it was within.
        used = {slot: each * full / usage.limit for slot, each in used.items()}
    return dataclasses.replace(usage, used_by_slot=used, limit=full)


def _room_in_s(state: Caps, now_s: float, usage: Usage, room_at: float) -> float:
    used = usage.total
    for slot, amount in sorted(usage.used_by_slot.items()):
        used -= amount
        if used <= room_at:
            return max(SLOT_S, (slot + 1) * SLOT_S + state.rules.window_s - now_s)
    return state.rules.window_s


def _slot(at_s: float) -> int:
    return math.floor(at_s / SLOT_S)


def _add(usage: Usage, slot: int, amount: float) -> Usage:
    used = dict(usage.used_by_slot)
    used[slot] = used.get(slot, 0.0) + amount
    return dataclasses.replace(usage, used_by_slot=used)


def _put(state: Caps, workspace: str, usage: Usage) -> Caps:
    usages = {**state.usage_by_workspace, workspace: usage}
    return dataclasses.replace(state, usage_by_workspace=usages)
