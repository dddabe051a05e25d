"""Usage caps of workspaces: limits on usage in a sliding window, shared by all instances.

An instance knows its own usage at once, and that of its peers only after they have reported it.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping

from carawaydoor.policy import entities, sliding_window


@dataclasses.dataclass(frozen=True, slots=True)
class CapRules:
    """Parameters of all usage caps.

    :ivar window_s: length of the window
    :ivar overshoot: fraction of a cap that all instances together may admit beyond it
    """

    window_s: float
    overshoot: float


@dataclasses.dataclass(frozen=True, slots=True)
class UsageCaps:
    """Usage of each workspace as this instance knows it, in tokens or requests.

    :ivar started_s: start of this instance; usage before it is not known
    :ivar counts: admitted amounts in the window, by workspace
    :ivar full_limit_by_workspace: limits over a whole window at the latest request of each
        workspace
    :ivar usable_share: fraction of the limits that this instance applies, below 1 while peers are
        unreachable
    """

    rules: CapRules
    started_s: float
    counts: sliding_window.WindowCounts
    full_limit_by_workspace: Mapping[str, float] = dataclasses.field(default_factory=dict)
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

    :ivar used: usage of the workspace in the window, as far as known
    :ivar limit: usage that this instance currently allows the workspace in the window
    :ivar retry_after_s: time after which enough usage has left the window
    """

    used: float
    limit: float
    retry_after_s: float


def cost(workspace: entities.Workspace, prompt: entities.Prompt | None) -> float:
    """Return the amount that a request counts for against its workspace's cap."""
    if not workspace.counts_tokens:
        return 1.0
    if prompt is None:
        return workspace.default_tokens
    return float(prompt.tokens + prompt.max_output_tokens)


def admit(
    state: UsageCaps, now_s: float, workspace: entities.Workspace, amount: float
) -> tuple[UsageCaps, Admitted | Exceeded]:
    """Charge a request to its workspace if its cap allows the amount.

    A request that is larger than the whole limit is admitted if the window is empty.
    """
    if workspace.tokens_per_s <= 0.0:
        return state, Admitted()
    state = _rescaled_to_lowered_cap(state, now_s, workspace)
    limit = _current_limit(state, now_s, workspace)
    used = sliding_window.total(state.counts, now_s, workspace.name)
    if used > 0.0 and used + amount > limit:
        retry_after_s = _room_after_s(state, now_s, workspace.name, limit - amount)
        return state, Exceeded(used, limit, retry_after_s)
    counts = sliding_window.add(state.counts, now_s, workspace.name, amount)
    return dataclasses.replace(state, counts=counts), Admitted()


def own_totals(state: UsageCaps) -> Mapping[str, float]:
    """Return what this instance has admitted since its start, by workspace."""
    return state.counts.own_totals_by_name


def refund(state: UsageCaps, now_s: float, workspace: str, amount: float) -> UsageCaps:
    """Undo the charge of a request that did not run on any upstream."""
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
    """Remove the totals of a peer that has ended."""
    return dataclasses.replace(state, counts=sliding_window.remove_peer(state.counts, peer))


def with_reachable_instances(state: UsageCaps, reachable: int, known: int) -> UsageCaps:
    """Return the caps for an instance that gets reports of some of the known instances.

    Each side of a network partition applies a share of the limits that is in proportion to its
    instances, so that both sides together stay within the cap and its overshoot.

    :param reachable: instances whose reports arrive, including this one
    :param known: all instances, including this one
    """
    part = reachable / max(known, reachable, 1)
    return dataclasses.replace(state, usable_share=min(1.0, part * (1.0 + state.rules.overshoot)))


def _current_limit(state: UsageCaps, now_s: float, workspace: entities.Workspace) -> float:
    """Return the limit of a workspace for the part of the window since this instance started.

    Usage before the start is not known, so the limit leaves out the refill of that time.
    """
    known_s = min(state.rules.window_s, now_s - state.started_s)
    return (workspace.tokens_per_s * known_s + workspace.burst_tokens) * state.usable_share


def _full_limit(state: UsageCaps, workspace: entities.Workspace) -> float:
    return workspace.tokens_per_s * state.rules.window_s + workspace.burst_tokens


def _rescaled_to_lowered_cap(
    state: UsageCaps, now_s: float, workspace: entities.Workspace
) -> UsageCaps:
    """Scale earlier usage down with a cap that was lowered.

    That usage was within the cap of its time, and must not lock the workspace out under the new
    cap.
    """
    full = _full_limit(state, workspace)
    before = state.full_limit_by_workspace.get(workspace.name, full)
    counts = state.counts
    if before > full > 0.0:
        counts = sliding_window.scale(counts, now_s, workspace.name, full / before)
    limits = {**state.full_limit_by_workspace, workspace.name: full}
    return dataclasses.replace(state, counts=counts, full_limit_by_workspace=limits)


def _room_after_s(state: UsageCaps, now_s: float, workspace: str, target: float) -> float:
    """Return the time until usage in the window has fallen to a target."""
    used = sliding_window.total(state.counts, now_s, workspace)
    for interval, amount in sorted(
        sliding_window.by_interval(state.counts, now_s, workspace).items()
    ):
        used -= amount
        if used <= target:
            return max(
                sliding_window.INTERVAL_S,
                sliding_window.expires_after_s(state.counts, now_s, interval),
            )
    return state.rules.window_s
