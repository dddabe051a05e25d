"""The load of each upstream: work in progress for this instance and for its peers."""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping
from typing import Final


@dataclasses.dataclass(frozen=True, slots=True)
class Work:
    """Work in progress at one upstream.

    :ivar requests: requests that were sent and have not ended
    :ivar tokens: prompt tokens still to be processed by a prefill engine, or tokens that take up
        the KV cache of a decode engine
    """

    requests: int = 0
    tokens: int = 0

    def plus(self, other: Work) -> Work:
        """Return the sum of two amounts of work."""
        return Work(self.requests + other.requests, self.tokens + other.tokens)


NO_WORK: Final = Work()


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """Work by upstream: that of this instance, and the sum of what its peers reported."""

    own_by_id: Mapping[str, Work]
    peers_by_id: Mapping[str, Work]

    def at(self, upstream: str) -> Work:
        """Return the work of all instances at an upstream, as far as this instance knows it."""
        own = self.own_by_id.get(upstream, NO_WORK)
        peers = self.peers_by_id.get(upstream)
        return own if peers is None else own.plus(peers)


EMPTY: Final = Load({}, {})


@dataclasses.dataclass(frozen=True, slots=True)
class Started:
    """A request is about to be sent to an upstream."""

    upstream: str
    work: Work


@dataclasses.dataclass(frozen=True, slots=True)
class Ended:
    """A request that was sent to an upstream has ended."""

    upstream: str
    work: Work


@dataclasses.dataclass(frozen=True, slots=True)
class PeersReported:
    """The peers have reported their work.

    :ivar peers_by_id: the sum over all peers, by upstream
    """

    peers_by_id: Mapping[str, Work]


Message = Started | Ended | PeersReported


def step(state: Load, message: Message) -> Load:
    """Apply a message."""
    match message:
        case Started():
            return _add(state, message.upstream, message.work)
        case Ended():
            work = Work(-message.work.requests, -message.work.tokens)
            return _add(state, message.upstream, work)
        case PeersReported():
            return dataclasses.replace(state, peers_by_id=message.peers_by_id)


def _add(state: Load, upstream: str, work: Work) -> Load:
    own = dict(state.own_by_id)
    total = own.get(upstream, NO_WORK).plus(work)
    if total.requests <= 0 and total.tokens <= 0:
        own.pop(upstream, None)
    else:
        own[upstream] = total
    return dataclasses.replace(state, own_by_id=own)
