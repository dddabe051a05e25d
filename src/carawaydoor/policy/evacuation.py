"""The failure domains that operators have evacuated, as learned from a store that may be restored.

An evacuation is an item without a lease, so an outage of the store changes nothing: what was known
stays in force, and an item that is missing after it was really removed. A store that was restored
from a copy may lack an item that the operator is about to write again.
"""

from __future__ import annotations

import dataclasses
import enum
from collections.abc import Collection, Iterable, Mapping
from typing import Final

from carawaydoor.policy import entities, upstream_directory

# The operator writes the item again as servers do with their entries.
RESTORE_GRACE_S: Final = upstream_directory.REAPPEARANCE_GRACE_S
# Evacuations last for seconds to minutes, and each instance learns of their end within about 1 s.
RETRY_AFTER_S: Final = 1.0


class Origin(enum.Enum):
    """From where an instance has learned of an evacuation."""

    STORE = "store"
    PEER = "peer"


@dataclasses.dataclass(frozen=True, slots=True)
class Evacuation:
    """One evacuated failure domain.

    :ivar since_s: when this instance learned of it
    :ivar kept_until_s: when it ends unless the operator writes it again, None while the store has it
    """

    domain: str
    since_s: float
    origin: Origin
    kept_until_s: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Evacuations:
    """All evacuated failure domains.

    :ivar grace_until_s: until then an item that the store lacks may still be written again
    :ivar last_ended_s: when an evacuation ended for the last time
    :ivar unknown: evacuated failure domains without upstreams that have been logged
    """

    by_domain: Mapping[str, Evacuation] = dataclasses.field(default_factory=dict)
    grace_until_s: float = float("-inf")
    last_ended_s: float = float("-inf")
    unknown: frozenset[str] = frozenset()


NONE: Final = Evacuations()


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """All evacuated failure domains in the store.

    :ivar is_restored: whether this is the first read after the store was restored from a copy
    """

    domains: frozenset[str]
    origin: Origin = Origin.STORE
    is_restored: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Changes:
    """Evacuations that were given (true) or taken back (false)."""

    is_evacuated_by_domain: Mapping[str, bool]
    origin: Origin = Origin.STORE


@dataclasses.dataclass(frozen=True, slots=True)
class HeardAtStart:
    """What a peer knows as this instance first reads a store that may be a copy without them."""

    domains: frozenset[str]


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed, so that kept evacuations may end."""


Message = Snapshot | Changes | HeardAtStart | Tick


@dataclasses.dataclass(frozen=True, slots=True)
class Given:
    """A failure domain is evacuated from now on."""

    evacuation: Evacuation


@dataclasses.dataclass(frozen=True, slots=True)
class TakenBack:
    """A failure domain is used again."""

    evacuation: Evacuation


@dataclasses.dataclass(frozen=True, slots=True)
class Kept:
    """A restored store lacks the item of a failure domain, which stays evacuated for a while."""

    evacuation: Evacuation


Effect = Given | TakenBack | Kept


def step(
    state: Evacuations, now_s: float, message: Message
) -> tuple[Evacuations, tuple[Effect, ...]]:
    """Apply a message and return the changes that follow from it."""
    match message:
        case Snapshot(domains, origin, is_restored):
            if is_restored:
                state = dataclasses.replace(state, grace_until_s=now_s + RESTORE_GRACE_S)
            missing = state.by_domain.keys() - domains
            # A removal that the copy does not know looks the same as an item that is not written yet.
            kept = missing if now_s < state.grace_until_s else frozenset()
            return _apply(state, now_s, origin, domains, missing - kept, kept)
        case Changes(is_evacuated_by_domain, origin):
            given = {key for key, value in is_evacuated_by_domain.items() if value}
            return _apply(state, now_s, origin, given, is_evacuated_by_domain.keys() - given)
        case HeardAtStart(domains):
            heard = domains - state.by_domain.keys()
            state = dataclasses.replace(state, grace_until_s=now_s + RESTORE_GRACE_S)
            state, added_effects = _apply(state, now_s, Origin.PEER, heard, ())
            state, kept_effects = _apply(state, now_s, Origin.PEER, (), (), heard)
            return state, (*added_effects, *kept_effects)
        case Tick():
            due = {
                key
                for key, each in state.by_domain.items()
                if each.kept_until_s is not None and each.kept_until_s <= now_s
            }
            return _apply(state, now_s, Origin.STORE, (), due) if due else (state, ())


def remaining(
    state: Evacuations, upstreams: Iterable[entities.Upstream]
) -> tuple[entities.Upstream, ...]:
    """Return the upstreams that are not in an evacuated failure domain."""
    return tuple(each for each in upstreams if each.domain not in state.by_domain)


def was_active_since(state: Evacuations, since_s: float) -> bool:
    """Return whether any failure domain was evacuated at a time in seconds or later."""
    return bool(state.by_domain) or state.last_ended_s >= since_s


def note_unknown(state: Evacuations, known: Collection[str]) -> tuple[Evacuations, tuple[str, ...]]:
    """Return the evacuated failure domains without upstreams that were not returned before."""
    unknown = frozenset(each for each in state.by_domain if each not in known)
    if unknown == state.unknown:
        return state, ()
    after = dataclasses.replace(state, unknown=unknown)
    return after, tuple(sorted(unknown - state.unknown))


def _apply(
    state: Evacuations,
    now_s: float,
    origin: Origin,
    given: Collection[str],
    ended: Collection[str],
    kept: Collection[str] = (),
) -> tuple[Evacuations, tuple[Effect, ...]]:
    by_domain = dict(state.by_domain)
    last_ended_s = state.last_ended_s
    effects: list[Effect] = []
    for domain in sorted(given):
        before = by_domain.get(domain)
        if before is None:
            by_domain[domain] = Evacuation(domain, now_s, origin)
            effects.append(Given(by_domain[domain]))
        elif before.kept_until_s is not None:
            by_domain[domain] = dataclasses.replace(before, kept_until_s=None)
    for domain in sorted(kept):
        before = by_domain[domain]
        by_domain[domain] = dataclasses.replace(before, kept_until_s=state.grace_until_s)
        if before.kept_until_s is None:
            effects.append(Kept(by_domain[domain]))
    for domain in sorted(ended):
        before = by_domain.pop(domain, None)
        if before is not None:
            last_ended_s = now_s
            effects.append(TakenBack(before))
    after = dataclasses.replace(state, by_domain=by_domain, last_ended_s=last_ended_s)
    return after, tuple(effects)
