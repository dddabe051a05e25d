"""Suspends a request after upstreams failed while they ran it; each failure is a strike.

A request that crashes upstreams crashes each one that runs it. A sound run therefore takes back the
strikes before it, and upstreams that failed together may have failed for another reason.
"""

from __future__ import annotations

import dataclasses
import hashlib
from collections.abc import Iterable, Mapping
from typing import Final

# For a request that was never seen to run without crashing its upstream.
MAX_STRIKES: Final = 2
# For any other one, whose strikes count by separate times.
MAX_STRIKES_OF_SOUND: Final = 3
# Failures within this time of each other count as one where a request is known to be sound.
MAX_COMMON_FAILURE_S: Final = 0.5
SUSPENSION_S: Final = 300.0
MAX_FINGERPRINTS: Final = 4096


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


def fingerprint(workspace: str, *parts: bytes) -> str:
    """Return the fingerprint of a request of a workspace.

    :param parts: content of the request, which is not copied
    """
    digest = hashlib.blake2b(workspace.encode(), digest_size=16)
    digest.update(b"\x00")
    for each in parts:
        digest.update(each)
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


def suspended_for_s(
    state: Strikes, now_s: float, request: str, sound_s: float | None = None
) -> float:
    """Return how much longer a request is suspended, zero if it is not.

    :param request: fingerprint of the request
    :param sound_s: time in seconds of its last sound run, None if none is known
    """
    current = _current(state, now_s, request)
    if sound_s is not None:
        counted = [each.at_s for each in current if each.at_s > sound_s]
        needed = MAX_STRIKES_OF_SOUND
        count = count_separate(counted)
    else:
        counted, needed = [each.at_s for each in current], MAX_STRIKES
        count = len(counted)
    return max(counted) + SUSPENSION_S - now_s if count >= needed else 0.0


def count_separate(times_s: Iterable[float]) -> int:
    """Return the number of failures, counting those that follow each other closely as one."""
    count, last_s = 0, float("-inf")
    for each in sorted(times_s):
        if each - last_s > MAX_COMMON_FAILURE_S:
            count += 1
        last_s = each
    return count


def count_after(state: Strikes, now_s: float, request: str, since_s: float | None) -> int:
    """Return the number of strikes against a request after a time in seconds, None for any time.

    :param request: its fingerprint
    """
    current = _current(state, now_s, request)
    return sum(since_s is None or each.at_s > since_s for each in current)


def has_any(state: Strikes, now_s: float, request: str) -> bool:
    """Return whether there are strikes against a request.

    :param request: its fingerprint
    """
    return bool(_current(state, now_s, request))


def _current(state: Strikes, now_s: float, request: str) -> tuple[Strike, ...]:
    horizon_s = now_s - SUSPENSION_S
    known = state.strikes_by_fingerprint.get(request, ())
    return tuple(each for each in known if each.at_s > horizon_s)
