"""What follows from the report of a peer, to be applied by the instance."""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping

from carawaydoor.fleet import reports


@dataclasses.dataclass(frozen=True, slots=True)
class FreshnessProof:
    """A peer confirmed that a revision was the newest at ``proven_s``."""

    revision: int
    proven_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class ListProof:
    """A peer confirmed that the source held nothing after a position at ``proven_s``."""

    position: int
    proven_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class PeerUsage:
    """Counters of a peer since its start: usage of workspaces, and requests and retries by service.

    :ivar peer: its name and incarnation, since the counters restart with the process
    """

    peer: str
    used_by_workspace: Mapping[str, float]
    requests_by_service: Mapping[str, float]
    repeats_by_service: Mapping[str, float]


@dataclasses.dataclass(frozen=True, slots=True)
class PeerJoined:
    """A peer reported for the first time, after a silence or in a new incarnation."""

    contact: reports.Contact
    incarnation: int


@dataclasses.dataclass(frozen=True, slots=True)
class PeerLost:
    """A peer is leaving or has expired.

    :ivar is_leaving: whether it announced that it leaves
    """

    contact: reports.Contact
    is_leaving: bool


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamPaused:
    """A peer ordered an engine to change its stage; no requests go to it for a while."""

    upstream: str
    for_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class PeerTurnedAway:
    """An upstream rejects the requests of a peer for a while."""

    upstream: str
    for_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamLeaving:
    """A peer knows that an incarnation of an upstream leaves."""

    upstream: str
    born_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class PeerCapacity:
    """A peer says how fast an upstream works."""

    peer: str
    shared: reports.SharedCapacity


Effect = (
    FreshnessProof
    | ListProof
    | PeerUsage
    | PeerJoined
    | PeerLost
    | reports.SharedStrike
    | reports.SharedCrash
    | reports.SoundPart
    | reports.SoundRequest
    | reports.SharedLimit
    | PeerCapacity
    | UpstreamPaused
    | PeerTurnedAway
    | UpstreamLeaving
)
