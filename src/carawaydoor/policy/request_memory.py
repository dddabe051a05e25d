"""Decides which unfinished requests and idle connections give up their places."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable
from typing import Final

# A request that has not grown for so long counts as stopped; pauses of ordinary callers are shorter.
MIN_IDLE_S: Final = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class UnfinishedRequest:
    """A request that is still being received.

    :ivar idle_since_s: when it last grew by a significant part, or when it began
    :ivar is_large: whether it uses the part of the memory that large requests share
    """

    id: int
    held_bytes: int
    idle_since_s: float
    is_large: bool


@dataclasses.dataclass(frozen=True, slots=True)
class IdleConnection:
    """A connection on which no request is being served.

    :ivar idle_since_s: when its request last grew, or when its last response ended
    :ivar is_unfinished: whether a part of a request was received
    """

    id: int
    idle_since_s: float
    is_unfinished: bool


def choose_stopped_requests(
    requests: Iterable[UnfinishedRequest], needed_bytes: int, is_for_large: bool, now_s: float
) -> tuple[int, ...]:
    """Choose the requests that give up their memory to one that grows, longest idle first.

    A large request takes the places of large ones only, so that small ones keep their share.

    :return: ids of requests, none if all that have stopped hold less than is needed
    """
    stopped = sorted(
        (
            each
            for each in requests
            if now_s - each.idle_since_s >= MIN_IDLE_S and (each.is_large or not is_for_large)
        ),
        key=lambda each: each.idle_since_s,
    )
    freed_bytes = 0
    chosen: list[int] = []
    for each in stopped:
        if freed_bytes >= needed_bytes:
            break
        freed_bytes += each.held_bytes
        chosen.append(each.id)
    return tuple(chosen) if freed_bytes >= needed_bytes else ()


def choose_idle_connection(connections: Iterable[IdleConnection], now_s: float) -> int | None:
    """Choose the connection that is closed in favour of a new one.

    Callers may send again on a connection without a request, so unfinished requests go first.

    :return: id of the connection, None if all are in use
    """
    idle = (each for each in connections if now_s - each.idle_since_s >= MIN_IDLE_S)
    chosen = min(
        idle, key=lambda each: (not each.is_unfinished, each.idle_since_s, each.id), default=None
    )
    return chosen.id if chosen is not None else None
