"""How long an instance may trust its configuration, given when it was last proven newest."""

from __future__ import annotations

import dataclasses
from typing import Final

# Part of the bound on withdrawn keys that is left for a request on its way to an upstream.
MARGIN_S: Final = 0.6


@dataclasses.dataclass(frozen=True, slots=True)
class Freshness:
    """When a revision was proven to be the newest.

    :ivar revision: the newest revision of the configuration that is known to exist
    :ivar proven_s: latest time in seconds at which nothing newer existed
    """

    revision: int = 0
    proven_s: float = float("-inf")


def record_proof(state: Freshness, revision: int, proven_s: float) -> Freshness:
    """Take a proof that ``revision`` was the newest at ``proven_s``."""
    if revision < state.revision:
        return state
    if revision == state.revision:
        return dataclasses.replace(state, proven_s=max(state.proven_s, proven_s))
    return Freshness(revision, proven_s)


def record_revision(state: Freshness, revision: int) -> Freshness:
    """Note that a revision exists, so that nothing proves an older one any more."""
    return dataclasses.replace(state, revision=max(state.revision, revision))


def age_s(state: Freshness, now_s: float) -> float:
    """Return how long ago the configuration was proven newest, in seconds."""
    return now_s - state.proven_s


def may_accept_keys(state: Freshness, now_s: float, withdrawal_s: float) -> bool:
    """Return whether no key that is still accepted can have been withdrawn for too long.

    :param withdrawal_s: time in seconds from a withdrawal until the key must be dead
    """
    return age_s(state, now_s) < withdrawal_s - MARGIN_S
