"""Usage caps of workspaces: a sliding window over all instances, known with a lag."""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping

from carawaydoor.policy import entities, sliding_window


@dataclasses.dataclass(frozen=True, slots=True)
class CapRules:
    """How caps are counted.

    :ivar window_s: length of the window in seconds
    :ivar overshoot: part beyond a cap that all instances together may admit
    """

    window_s: float
    overshoot: float


@dataclasses.dataclass(frozen=True, slots=True)
class UsageCaps:
    """Usage by workspace.

    :ivar started_s: start of this instance; what was used before is not known
    :ivar counts: tokens admitted in the window, by workspace
    :ivar limit_by_workspace: full limits of the window when the usage was last counted
    :ivar usable_share: part of the caps that this instance counts on, below 1 where peers are unheard
    """

    rules: CapRules
    started_s: float
    counts: sliding_window.WindowCounts
    limit_by_workspace: Mapping[str, float] = dataclasses.field(default_factory=dict)
    usable_share: float = 1.0


def create(rules: CapRules, now_s: float) -> UsageCaps:
    """Return the caps of an instance that starts."""
    return UsageCaps(rules, now_s, sliding_window.WindowCounts(rules.window_s))


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


def cost(workspace: entities.Workspace, prompt: entities.Prompt | None) -> float:
    """Return what a request takes from its workspace's cap."""
    if not workspace.counts_tokens:
        return 1.0
    if prompt is None:
        return workspace.default_tokens
    return float(prompt.tokens + prompt.max_output_tokens)


def admit(
    state: UsageCaps, now_s: float, workspace: entities.Workspace, amount: float
) -> tuple[UsageCaps, Admitted | Exceeded]:
    """Charge a request to its workspace if the window has room for it.

    A request that is larger than the whole limit is admitted by an empty window.
    """
    if workspace.tokens_per_s <= 0.0:
        return state, Admitted()
    state = _lowered(state, now_s, workspace)
    limit = _limit(state, now_s, workspace)
    used = sliding_window.used(state.counts, now_s, workspace.name)
    if used > 0.0 and used + amount > limit:
        retry_after_s = _room_in_s(state, now_s, workspace.name, limit - amount)
        return state, Exceeded(used, limit, retry_after_s)
    counts = sliding_window.add(state.counts, now_s, workspace.name, amount)
    return dataclasses.replace(state, counts=counts), Admitted()


def own_totals(state: UsageCaps) -> Mapping[str, float]:
    """Return the tokens that this instance has admitted since its start, by workspace."""
    return state.counts.own_totals_by_name


def refund(state: UsageCaps, now_s: float, workspace: str, amount: float) -> UsageCaps:
    """Put back what a request took that did not run anywhere."""
    if workspace not in state.counts.own_totals_by_name:
        return state
    counts = sliding_window.add(state.counts, now_s, workspace, -amount)
    return dataclasses.replace(state, counts=counts)


def merge_peer_totals(
    state: UsageCaps, now_s: float, peer: str, used_by_workspace: Mapping[str, float]
) -> UsageCaps:
    """Count what a peer has admitted since its last report."""
    counts = sliding_window.merge_peer_totals(state.counts, now_s, peer, used_by_workspace)
    if counts is state.counts:
        return state
    return dataclasses.replace(state, counts=counts)


def remove_peer(state: UsageCaps, peer: str) -> UsageCaps:
    """Forget the totals of a peer that has ended."""
    return dataclasses.replace(state, counts=sliding_window.remove_peer(state.counts, peer))


def with_reachable_instances(state: UsageCaps, heard: int, known: int) -> UsageCaps:
    """Return the caps for an instance that hears ``heard`` of ``known`` instances, itself included.

    Each side of a network partition counts on the part of the instances that it hears, so that the
    sides together stay within the cap and its overshoot.
    """
    part = heard / max(known, heard, 1)
    return dataclasses.replace(state, usable_share=min(1.0, part * (1.0 + state.rules.overshoot)))


def _limit(state: UsageCaps, now_s: float, workspace: entities.Workspace) -> float:
    """Return what a workspace may use in the window as far as this instance knows the window."""
    known_s = min(state.rules.window_s, now_s - state.started_s)
    return (workspace.tokens_per_s * known_s + workspace.burst_tokens) * state.usable_share


def _full_limit(state: UsageCaps, workspace: entities.Workspace) -> float:
    return workspace.tokens_per_s * state.rules.window_s + workspace.burst_tokens


def _lowered(state: UsageCaps, now_s: float, workspace: entities.Workspace) -> UsageCaps:
    """Weigh earlier use by the cap that it was within where the cap was lowered since."""
    full = _full_limit(state, workspace)
    before = state.limit_by_workspace.get(workspace.name, full)
    counts = state.counts
    if before > full > 0.0:
        counts = sliding_window.weigh(counts, now_s, workspace.name, full / before)
    limits = {**state.limit_by_workspace, workspace.name: full}
    return dataclasses.replace(state, counts=counts, limit_by_workspace=limits)


def _room_in_s(state: UsageCaps, now_s: float, workspace: str, room_at: float) -> float:
    used = sliding_window.used(state.counts, now_s, workspace)
    for slot, amount in sorted(sliding_window.by_slot(state.counts, now_s, workspace).items()):
        used -= amount
        if used <= room_at:
            return max(
                sliding_window.SLOT_S, sliding_window.leaves_window_in_s(state.counts, now_s, slot)
            )
    return state.rules.window_s
