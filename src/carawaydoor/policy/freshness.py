"""How long an instance may trust its configuration without a new proof that it is the newest."""

from __future__ import annotations

import dataclasses
from typing import Final

# Part of the bound on withdrawn keys that is left for a request on its way to an upstream.
REQUEST_MARGIN_S: Final = 0.6
# Part of the time in which a configuration has to be in force, after which an instance that knows of a
# newer one serves no more requests by its own. The rest covers the delay until it learned of it.
MAX_BEHIND_SHARE: Final = 0.6


@dataclasses.dataclass(frozen=True, slots=True)
class Freshness:
    """The newest known revision of the configuration and the last proof that none was newer.

    :ivar revision: the newest revision that is known to exist
    :ivar proven_s: latest time at which it was proven to be the newest
    """

    revision: int = 0
    proven_s: float = float("-inf")


def record_proof(state: Freshness, revision: int, proven_s: float) -> Freshness:
    """Record a proof that ``revision`` was the newest at ``proven_s``."""
    if revision < state.revision:
        return state
    if revision == state.revision:
        return dataclasses.replace(state, proven_s=max(state.proven_s, proven_s))
    return Freshness(revision, proven_s)


def record_revision(state: Freshness, revision: int) -> Freshness:
    """Record that a revision exists, after which proofs of older revisions are ignored."""
    return dataclasses.replace(state, revision=max(state.revision, revision))


def age_s(state: Freshness, now_s: float) -> float:
    """Return the time since the configuration was last proven to be the newest."""
    return now_s - state.proven_s


def may_accept_keys(state: Freshness, now_s: float, withdrawal_s: float) -> bool:
    """Return whether the last proof is recent enough to accept keys of the configuration.

    A key that was withdrawn after the last proof may still be in the configuration.

    :param withdrawal_s: longest time for which a withdrawn key may still be accepted
    """
    return age_s(state, now_s) < withdrawal_s - REQUEST_MARGIN_S


def is_far_behind(behind_s: float, configuration_s: float) -> bool:
    """Return whether a newer configuration has been known for too long to serve by an older one.

    :param behind_s: seconds for which it has been known, zero if there is none
    :param configuration_s: time in seconds in which a configuration has to be in force
    """
    return behind_s >= MAX_BEHIND_SHARE * configuration_s
