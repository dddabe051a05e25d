"""Deficit round robin over the queues of workspaces."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable, Mapping


@dataclasses.dataclass(frozen=True, slots=True)
class QueuedRequest:
    """One queued request.

    :ivar cost: amount by which serving it reduces the deficit of its workspace
    :ivar weight: share of its workspace relative to others
    """

    id: str
    workspace: str
    cost: float
    weight: float
    queued_s: float
    expires_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class FairQueue:
    """Queue and deficit of each workspace; the deficit counter grows while requests wait."""

    queue_by_workspace: Mapping[str, tuple[QueuedRequest, ...]]
    deficit_by_workspace: Mapping[str, float]


EMPTY = FairQueue({}, {})


def length(queue: FairQueue) -> int:
    """Return the number of queued requests."""
    return sum(len(each) for each in queue.queue_by_workspace.values())


def push(queue: FairQueue, queued: QueuedRequest) -> FairQueue:
    """Append a request to the queue of its workspace."""
    before = queue.queue_by_workspace.get(queued.workspace, ())
    return dataclasses.replace(
        queue,
        queue_by_workspace={**queue.queue_by_workspace, queued.workspace: (*before, queued)},
    )


def remove(queue: FairQueue, drop: Callable[[QueuedRequest], bool]) -> FairQueue:
    """Remove all requests for which ``drop`` returns true."""
    kept = {
        workspace: tuple(each for each in queued if not drop(each))
        for workspace, queued in queue.queue_by_workspace.items()
    }
    return _prune(kept, queue.deficit_by_workspace)


def pop(queue: FairQueue) -> tuple[FairQueue, QueuedRequest | None]:
    """Take the first request whose cost the deficit of its workspace covers.

    The deficit of every waiting workspace grows in proportion to its weight until one suffices.
    """
    if not queue.queue_by_workspace:
        return queue, None
    heads = {workspace: queued[0] for workspace, queued in queue.queue_by_workspace.items()}
    deficits = {each: queue.deficit_by_workspace.get(each, 0.0) for each in heads}
    rounds_until_payable = {
        workspace: max(0.0, head.cost - deficits[workspace]) / head.weight
        for workspace, head in heads.items()
    }
    winner = min(heads, key=lambda each: (rounds_until_payable[each], heads[each].queued_s, each))
    elapsed_rounds = rounds_until_payable[winner]
    after = {each: deficits[each] + elapsed_rounds * heads[each].weight for each in heads}
    after[winner] -= heads[winner].cost
    rest = {**queue.queue_by_workspace, winner: queue.queue_by_workspace[winner][1:]}
    return _prune(rest, after), heads[winner]


def _prune(
    queues: Mapping[str, tuple[QueuedRequest, ...]], deficits: Mapping[str, float]
) -> FairQueue:
    kept = {workspace: queued for workspace, queued in queues.items() if queued}
    return FairQueue(kept, {each: deficits.get(each, 0.0) for each in kept})
