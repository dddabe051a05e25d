"""Which instances read the source themselves, and when one that doesn't stops relying on others.

A few instances of each failure domain watch the source. The others learn of changes from them and
fetch what was read, with a proof of its freshness. None is elected: each instance decides for
itself by the peers that it hears, and reads the source as soon as nobody proves its knowledge fresh.
"""

from __future__ import annotations

import dataclasses
import math
import zlib
from collections.abc import Iterable
from typing import Final

from carawaydoor.policy import rendezvous

# One may be cut off and another one be restarting at the same time.
READERS_PER_DOMAIN: Final = 3
# In smaller domains the shorter watches of a few readers would add up to more calls than those of
# all instances.
MIN_INSTANCES_WITH_FOLLOWERS: Final = 9
# Fractions of the stable window, which grows with the fleet as the other bounds do. A watch by a
# reader in a domain with other instances lasts for the first, so that its proofs stay young enough.
# After the second without a proof, an instance asks a reader for one. After the third, it reads the
# source itself, early enough to meet the bound on leaving upstreams.
READER_WATCH_SHARE: Final = 0.3
PROOF_REQUEST_SHARE: Final = 0.4
SELF_READING_SHARE: Final = 0.52
# Fraction of the time in which a configuration has to be in force. An instance that has been behind
# its peers for so long reads the source itself, with the rest of that time left for it.
SELF_READING_BEHIND_SHARE: Final = 0.4
# An instance that found no proof elsewhere goes on to read the source for this time.
MIN_SELF_READING_S: Final = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """An instance of the failure domain that may read the source.

    :ivar is_connected: whether it reaches the source, as far as it has tried
    :ivar link_mbps: bandwidth of its link in megabits a second, zero if unknown
    """

    instance: str
    is_connected: bool
    link_mbps: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Timing:
    """Times in seconds that follow from the stable window."""

    reader_watch_s: float
    proof_request_age_s: float
    self_reading_age_s: float


def timing(stable_window_s: float) -> Timing:
    """Return the times for a stable window in seconds."""
    return Timing(
        READER_WATCH_SHARE * stable_window_s,
        PROOF_REQUEST_SHARE * stable_window_s,
        SELF_READING_SHARE * stable_window_s,
    )


def self_reading_behind_s(configuration_s: float) -> float:
    """Return for how many seconds an instance may be behind before it reads the source itself.

    :param configuration_s: time in seconds in which a configuration has to be in force
    """
    return SELF_READING_BEHIND_SHARE * configuration_s


def has_followers(instance_count: int) -> bool:
    """Return whether some instances of a failure domain of this size don't read the source."""
    return instance_count >= MIN_INSTANCES_WITH_FOLLOWERS


def readers(candidates: Iterable[Candidate]) -> tuple[str, ...]:
    """Return the instances that read the source for their failure domain.

    Those that reach the source come first, then those with the fastest links, since the link of a
    reader carries the copies of all its followers. The order is otherwise the same at every instance.
    """
    everyone = tuple(candidates)
    if not has_followers(len(everyone)):
        return tuple(each.instance for each in everyone)
    ordered = sorted(
        everyone,
        key=lambda each: (
            not each.is_connected,
            -each.link_mbps,
            zlib.crc32(each.instance.encode()),
            each.instance,
        ),
    )
    return tuple(each.instance for each in ordered[:READERS_PER_DOMAIN])


def order_for(follower: str, candidates: Iterable[Candidate]) -> tuple[str, ...]:
    """Return candidates in the order in which a follower asks them.

    Each follower has an order of its own, so that the followers of a failure domain are spread over
    its readers in proportion to their links.
    """
    everyone = tuple(candidates)
    known_mbps = [each.link_mbps for each in everyone if each.link_mbps > 0.0]
    assumed_mbps = min(known_mbps, default=1.0)

    def distance(candidate: Candidate) -> float:
        # Weighted rendezvous hashing.
        fraction = (rendezvous.weight(follower, candidate.instance) + 1) / 2**64
        return -math.log(fraction) / (candidate.link_mbps or assumed_mbps)

    ordered = sorted(everyone, key=lambda each: (distance(each), each.instance))
    return tuple(each.instance for each in ordered)
