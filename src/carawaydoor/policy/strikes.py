"""Suspends a request after upstreams failed while they ran it; each failure is a strike."""

from __future__ import annotations

import dataclasses
import hashlib
from collections.abc import Mapping

MAX_STRIKES = 2
SUSPENSION_S = 300.0
MAX_FINGERPRINTS = 4096


@dataclasses.dataclass(frozen=True, slots=True)
class Strike:
    """One failure of an upstream.

    :ivar id: identifies the failure, so that a duplicate report of it counts once
    """

    id: str
    at_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Strikes:
    """Strikes by fingerprint of the request, least recently struck fingerprint first."""

    strikes_by_fingerprint: Mapping[str, tuple[Strike, ...]]


EMPTY = Strikes({})


def fingerprint(workspace: str, body: bytes) -> str:
    """Return the fingerprint of a request of a workspace."""
    digest = hashlib.blake2b(workspace.encode(), digest_size=16)
    digest.update(b"\x00")
    digest.update(body)
    return digest.hexdigest()


def add(state: Strikes, now_s: float, request: str, strike_id: str) -> Strikes:
    """Add a strike unless it is known already.

    :param request: fingerprint of the request
    """
    before = _current(state, now_s, request)
    if any(each.id == strike_id for each in before):
        return state
    after = {key: each for key, each in state.strikes_by_fingerprint.items() if key != request}
    after[request] = (*before, Strike(strike_id, now_s))
    if len(after) > MAX_FINGERPRINTS:
        del after[next(iter(after))]
    return Strikes(after)


def suspended_for_s(state: Strikes, now_s: float, request: str) -> float:
    """Return how much longer a request is suspended, zero if it is not.

    :param request: fingerprint of the request
    """
    current = _current(state, now_s, request)
    if len(current) < MAX_STRIKES:
        return 0.0
    return current[-1].at_s + SUSPENSION_S - now_s


def _current(state: Strikes, now_s: float, request: str) -> tuple[Strike, ...]:
    horizon_s = now_s - SUSPENSION_S
    known = state.strikes_by_fingerprint.get(request, ())
    return tuple(each for each in known if each.at_s > horizon_s)
