"""Usage caps of workspaces: one bucket for all instances, known with a lag."""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping
from typing import Final

from carawaydoor.policy import model


@dataclasses.dataclass(frozen=True, slots=True)
class Bucket:
    """Tokens that a workspace may still use, as this instance knows it.

    :ivar level: tokens at ``at_s``; below zero where instances overdrew it together
    :ivar own_used: tokens that this instance has admitted since its start
    """

    level: float
    at_s: float
    own_used: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Caps:
    """Buckets by workspace.

    :ivar used_by_peer: total tokens that each peer has admitted since its start, by workspace
    :ivar share: part of the refill that this instance counts on, below 1 where peers are unheard
    """

    bucket_by_workspace: Mapping[str, Bucket]
    used_by_peer: Mapping[str, Mapping[str, float]]
    share: float = 1.0


EMPTY: Final = Caps({}, {})


@dataclasses.dataclass(frozen=True, slots=True)
class Admitted:
    """The request is within the cap."""


@dataclasses.dataclass(frozen=True, slots=True)
class Exceeded:
    """The request is over the cap; the workspace has enough after ``retry_after_s`` seconds."""

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
    """Take a request's amount from the bucket of its workspace if the bucket has it."""
    if workspace.tokens_per_s <= 0.0:
        return state, Admitted()
    bucket = _refilled(state, now_s, workspace)
    if amount > bucket.level and bucket.level < workspace.burst_tokens:
        rate = workspace.tokens_per_s * state.share
        needed = min(amount, workspace.burst_tokens) - bucket.level
        return _put(state, workspace.name, bucket), Exceeded(needed / rate)
    used = dataclasses.replace(
        bucket, level=bucket.level - amount, own_used=bucket.own_used + amount
    )
    return _put(state, workspace.name, used), Admitted()


def give_back(state: Caps, workspace: str, amount: float) -> Caps:
    """Put back what a request took that did not run anywhere."""
    bucket = state.bucket_by_workspace.get(workspace)
    if bucket is None:
        return state
    after = dataclasses.replace(
        bucket, level=bucket.level + amount, own_used=bucket.own_used - amount
    )
    return _put(state, workspace, after)


def hear(state: Caps, peer: str, used_by_workspace: Mapping[str, float]) -> Caps:
    """Take what a peer has admitted since its last report from the buckets.

    A peer that is heard for the first time has a total that reaches back too far: only what it
    adds from now on counts.
    """
    before = state.used_by_peer.get(peer)
    buckets = dict(state.bucket_by_workspace)
    for workspace, used in used_by_workspace.items():
        if before is None or workspace not in buckets:
            continue
        added = used - before.get(workspace, 0.0)
        bucket = buckets[workspace]
        buckets[workspace] = dataclasses.replace(bucket, level=bucket.level - added)
    return dataclasses.replace(
        state,
        bucket_by_workspace=buckets,
        used_by_peer={**state.used_by_peer, peer: dict(used_by_workspace)},
    )


def forget(state: Caps, peer: str) -> Caps:
    """Forget the totals of a peer that has ended."""
    used = {each: totals for each, totals in state.used_by_peer.items() if each != peer}
    return dataclasses.replace(state, used_by_peer=used)


def with_share(state: Caps, heard: int, known: int) -> Caps:
    """Return the caps for an instance that hears ``heard`` of ``known`` instances, itself included.

    Each side of a network partition counts on the refill of the instances that it hears, so that
    the sides together stay within the cap.
    """
    return dataclasses.replace(state, share=heard / max(known, heard, 1))


def _refilled(state: Caps, now_s: float, workspace: model.Workspace) -> Bucket:
    bucket = state.bucket_by_workspace.get(workspace.name)
    if bucket is None:
        return Bucket(workspace.burst_tokens * state.share, now_s)
    added = (now_s - bucket.at_s) * workspace.tokens_per_s * state.share
    level = min(workspace.burst_tokens, bucket.level + added)
    return dataclasses.replace(bucket, level=level, at_s=now_s)


def _put(state: Caps, workspace: str, bucket: Bucket) -> Caps:
    buckets = {**state.bucket_by_workspace, workspace: bucket}
    return dataclasses.replace(state, bucket_by_workspace=buckets)
