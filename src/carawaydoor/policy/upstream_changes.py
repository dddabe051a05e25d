"""The changes of upstreams that an instance has seen."""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Iterator, Mapping
from typing import Final

from carawaydoor.policy import entities

MAX_CHANGES: Final = 4096


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """An upstream that came, went, began to leave or changed its stage.

    :ivar upstream: as it was before its removal, or else after the change
    """

    at_s: float
    upstream: entities.Upstream


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeLog:
    """The latest changes, oldest first.

    :ivar known_since_s: time in seconds from which on all changes are known, infinite before the
        first list
    """

    changes: tuple[Change, ...] = ()
    known_since_s: float = float("inf")


def start(log: ChangeLog, now_s: float) -> ChangeLog:
    """Return the log after a list was read, from which on changes are known."""
    if log.known_since_s <= now_s:
        return log
    return dataclasses.replace(log, known_since_s=now_s)


def forget(log: ChangeLog, now_s: float) -> ChangeLog:
    """Return the log after changes may have been missed, so that only those from now on are known."""
    if math.isinf(log.known_since_s):
        return log
    return dataclasses.replace(log, known_since_s=now_s)


def record(log: ChangeLog, change: Change, oldest_s: float) -> ChangeLog:
    """Return the log with a change, without those before a time in seconds.

    The upstreams of the first list are no changes.
    """
    if log.known_since_s > change.at_s:
        return log
    kept = tuple(each for each in log.changes if each.at_s >= oldest_s)[-MAX_CHANGES + 1 :]
    known_since_s = log.known_since_s
    if len(kept) < len(log.changes):
        forgotten_s = log.changes[len(log.changes) - len(kept) - 1].at_s
        known_since_s = max(known_since_s, forgotten_s)
    return ChangeLog((*kept, change), known_since_s)


def since(log: ChangeLog, since_s: float) -> Iterator[Change]:
    """Yield the changes from a time in seconds on."""
    return (each for each in log.changes if each.at_s >= since_s)


def compare(
    log: ChangeLog,
    now_s: float,
    before_by_id: Mapping[str, entities.Upstream],
    after_by_id: Mapping[str, entities.Upstream],
) -> ChangeLog:
    """Return the log with the differences between two lists, as changes of now."""
    differing = [
        Change(now_s, upstream)
        for listed, other in ((before_by_id, after_by_id), (after_by_id, before_by_id))
        for key, upstream in listed.items()
        if not is_same(upstream, other.get(key))
    ]
    return dataclasses.replace(log, changes=(*log.changes, *differing)) if differing else log


def is_same(one: entities.Upstream, other: entities.Upstream | None) -> bool:
    """Return whether two entries describe the same incarnation in the same state."""
    return other is not None and (
        (one.incarnation, one.service, one.stage, one.is_leaving, one.version)
        == (other.incarnation, other.service, other.stage, other.is_leaving, other.version)
    )
