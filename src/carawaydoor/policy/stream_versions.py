"""Which software version began a stream, and which instances remember it.

What two versions write does not fit together, and upstreams don't check it. A stream therefore goes
on only at the version of the upstream whose event the caller got first.
"""

from __future__ import annotations

import dataclasses
import hashlib
from collections.abc import Mapping
from typing import Final

from carawaydoor.policy import entities, rendezvous

# Of an upstream whose entry names no version, and of a stream that may have begun at several.
UNKNOWN_VERSION: Final = ""
# In a fleet of up to this many peers, all of them remember each stream.
MAX_TOLD_PEERS: Final = 12
# In a larger fleet, a stream is remembered by these many, in different failure domains if possible.
HOLDERS_PER_STREAM: Final = 4
# Beyond the longest time for which callers of a route wait, since their timeouts differ.
AGE_MARGIN_SHARE: Final = 0.25
_KEY_BYTES: Final = 8


@dataclasses.dataclass(frozen=True, slots=True)
class Origin:
    """Where a stream began.

    :ivar version: version of the upstream whose event the caller got first
    """

    service: str
    version: str


def stream_key(workspace: str, request_id: str) -> str:
    """Return the name under which instances remember a stream.

    :param workspace: part of the name, since callers choose the ids of their requests
    :param request_id: id of the caller's attempt that brought the first event
    """
    text = f"{workspace}\x00{request_id}".encode()
    return hashlib.blake2b(text, digest_size=_KEY_BYTES).hexdigest()


def matches(upstream: entities.Upstream, version: str | None) -> bool:
    """Return whether a stream of a version may go on at an upstream.

    :param version: None for a stream without events, which may begin anywhere
    """
    return version is None or (version != UNKNOWN_VERSION and upstream.version == version)


def merge(known: Origin | None, reported: Origin) -> Origin:
    """Return the origin to remember for a key, which two requests of a caller may share."""
    if known is None or known == reported:
        return reported
    return Origin(known.service, UNKNOWN_VERSION)


def holders(key: str, domain_by_instance: Mapping[str, str]) -> tuple[str, ...]:
    """Return the instances that remember a stream, the same ones at every instance.

    :param domain_by_instance: failure domains of the instances to choose from
    """
    if len(domain_by_instance) <= MAX_TOLD_PEERS:
        return tuple(sorted(domain_by_instance))
    ranked = rendezvous.rank(key, sorted(domain_by_instance))
    first_by_domain: dict[str, str] = {}
    for each in ranked:
        first_by_domain.setdefault(domain_by_instance[each], each)
    spread = tuple(first_by_domain.values())[:HOLDERS_PER_STREAM]
    rest = (each for each in ranked if each not in spread)
    return (
        *spread,
        *(each for each, _ in zip(rest, range(HOLDERS_PER_STREAM - len(spread)), strict=False)),
    )


def earliest_begin_s(now_s: float, longest_timeout_s: float, left_s: float) -> float:
    """Return since when a stream that a caller takes up now may have run.

    :param longest_timeout_s: longest time for which callers of the route wait
    :param left_s: time for which this caller still waits
    """
    longest_s = longest_timeout_s * (1.0 + AGE_MARGIN_SHARE)
    return now_s - max(0.0, longest_s - left_s)
