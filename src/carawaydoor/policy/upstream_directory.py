"""The upstreams that exist, as learned from a store that may be unavailable for a while.

Servers renew their entries in the store, so entries expire during an outage and reappear after it.
The directory keeps their upstreams over that time.
"""

from __future__ import annotations

import dataclasses
import enum
from collections.abc import Mapping
from typing import Final

from carawaydoor.policy import entities

# Entries that expired during an outage of the store reappear within about 2 s of its recovery; a
# tenth of that is left for the response that delivers them.
REAPPEARANCE_GRACE_S: Final = 1.8
# Several rounds of reports in a large fleet. After it, the store shows the same.
LEAVING_SHARED_S: Final = 10.0
# Fits into a report beside its other parts.
MAX_LEAVING_SHARED: Final = 64
# More than leave within the time for which a store may show their entries again.
MAX_REMEMBERED: Final = 4096


class Departure(enum.Enum):
    """Why an upstream that was chosen earlier is not the one to send a request to any more."""

    LEAVING = "leaving"
    GONE = "gone"
    # Another incarnation has its id, or it has changed between prefill and decode.
    REPLACED = "replaced"


@dataclasses.dataclass(frozen=True, slots=True)
class Directory:
    """Known upstreams.

    :ivar removal_due_s_by_id: when upstreams whose entries have been missing since the store
        recovered are removed
    :ivar leaving_born_ms_by_id: the start of the latest incarnation that is known to leave, oldest
        first
    :ivar gone_born_ms_by_id: the start of the latest incarnation whose entry was removed, oldest
        first
    :ivar leaving_since_s_by_id: when upstreams began to leave that this instance knew before
    :ivar noticed_leaving_ids: upstreams that are known to leave though their entries don't say so
    :ivar grace_until_s: until then a missing entry may still reappear
    :ivar revision: revision of the store that this reflects, zero before the first read
    """

    upstream_by_id: Mapping[str, entities.Upstream]
    removal_due_s_by_id: Mapping[str, float]
    grace_until_s: float
    is_store_unavailable: bool
    revision: int
    leaving_born_ms_by_id: Mapping[str, int] = dataclasses.field(default_factory=dict)
    gone_born_ms_by_id: Mapping[str, int] = dataclasses.field(default_factory=dict)
    leaving_since_s_by_id: Mapping[str, float] = dataclasses.field(default_factory=dict)
    noticed_leaving_ids: frozenset[str] = frozenset()


EMPTY: Final = Directory({}, {}, 0.0, False, 0)


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """All entries of the store at a revision.

    :ivar is_restored: whether these are the first ones after the store was restored from a copy
    """

    upstream_by_id: Mapping[str, entities.Upstream]
    revision: int
    is_restored: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Changes:
    """Entries that changed up to a revision; None for an entry that was removed."""

    upstream_by_id: Mapping[str, entities.Upstream | None]
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class SaidLeaving:
    """An upstream has said in a response, to this instance or a peer, that it will stop.

    :ivar born_ms: start of the incarnation that said so
    """

    upstream_id: str
    born_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class StoreUnavailable:
    """The store does not respond."""


@dataclasses.dataclass(frozen=True, slots=True)
class StoreRecovered:
    """The store responds again.

    :ivar served_peers: whether it served other instances meanwhile; then servers could renew their
        entries, and none expired because of the outage
    """

    served_peers: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed, so that removals may be due."""


Message = Snapshot | Changes | SaidLeaving | StoreUnavailable | StoreRecovered | Tick


@dataclasses.dataclass(frozen=True, slots=True)
class Gone:
    """An upstream is gone and must get no further requests."""

    upstream: entities.Upstream


@dataclasses.dataclass(frozen=True, slots=True)
class Leaving:
    """An upstream has announced that it will stop."""

    upstream: entities.Upstream


@dataclasses.dataclass(frozen=True, slots=True)
class Joined:
    """An upstream is new or was restarted."""

    upstream: entities.Upstream


@dataclasses.dataclass(frozen=True, slots=True)
class StageChanged:
    """An engine has changed between prefill and decode."""

    upstream: entities.Upstream


Effect = Gone | Leaving | Joined | StageChanged


def usable(state: Directory, now_s: float, last_use_s: float) -> tuple[entities.Upstream, ...]:
    """Return the upstreams with those that began to leave lately as if they stayed, if none else is.

    A server goes on serving for a while after it has said that it leaves. That is of use only for
    plain requests, since generations last longer.

    :param last_use_s: seconds after the beginning for which requests may still be sent
    """
    upstreams = tuple(state.upstream_by_id.values())
    lately = {
        key for key, since_s in state.leaving_since_s_by_id.items() if now_s - since_s < last_use_s
    }
    if not lately:
        return upstreams
    with_staying = {each.service for each in upstreams if not each.is_leaving}
    return tuple(
        (
            dataclasses.replace(each, is_leaving=False)
            if each.id in lately
            and each.stage is entities.Stage.NONE
            and each.service not in with_staying
            else each
        )
        for each in upstreams
    )


def lately_leaving(state: Directory, now_s: float) -> dict[str, int]:
    """Return the start of the incarnations of which peers should know that they leave."""
    lately = [
        (key, state.upstream_by_id[key].born_ms)
        for key, since_s in state.leaving_since_s_by_id.items()
        if now_s - since_s < LEAVING_SHARED_S and key in state.upstream_by_id
    ]
    return dict(lately[-MAX_LEAVING_SHARED:])


def is_replaced(before: entities.Upstream, after: entities.Upstream) -> bool:
    """Return whether another incarnation has taken the id of an upstream."""
    return (before.born_ms, before.address, before.version) != (
        after.born_ms,
        after.address,
        after.version,
    )


def departure(
    state: Directory, now_s: float, upstream: entities.Upstream, last_use_s: float
) -> Departure | None:
    """Return why an upstream that was chosen earlier must get no request now, None if it may.

    :param last_use_s: seconds after it began to leave for which requests may still be sent
    """
    known = state.upstream_by_id.get(upstream.id)
    if known is None:
        return Departure.GONE
    if is_replaced(upstream, known) or known.stage is not upstream.stage:
        return Departure.REPLACED
    leaving_since_s = state.leaving_since_s_by_id.get(upstream.id, float("-inf"))
    if known.is_leaving and now_s - leaving_since_s >= last_use_s:
        return Departure.LEAVING
    return None


def step(state: Directory, now_s: float, message: Message) -> tuple[Directory, tuple[Effect, ...]]:
    """Apply a message and return the changes of upstreams that follow from it."""
    match message:
        case StoreUnavailable():
            return dataclasses.replace(state, is_store_unavailable=True), ()
        case StoreRecovered(served_peers):
            if not state.is_store_unavailable:
                return state, ()
            grace_until_s = now_s if served_peers else now_s + REAPPEARANCE_GRACE_S
            after = dataclasses.replace(
                state, is_store_unavailable=False, grace_until_s=grace_until_s
            )
            return after, ()
        case Snapshot():
            before = state.upstream_by_id
            changes: dict[str, entities.Upstream | None] = {
                key: None for key in before if key not in message.upstream_by_id
            }
            listed = message.upstream_by_id
            if message.is_restored:
                # The copy still has entries that were removed since it was made. A server that
                # lives writes its entry again.
                gone = state.gone_born_ms_by_id
                listed = {
                    key: each for key, each in listed.items() if gone.get(key) != each.born_ms
                }
            changes.update(listed)
            return _apply_changes(state, now_s, changes, message.revision)
        case Changes():
            return _apply_changes(state, now_s, message.upstream_by_id, message.revision)
        case SaidLeaving():
            return _mark_leaving(state, now_s, message)
        case Tick():
            return _remove_expired(state, now_s)


def _apply_changes(
    state: Directory,
    now_s: float,
    changes: Mapping[str, entities.Upstream | None],
    revision: int,
) -> tuple[Directory, tuple[Effect, ...]]:
    upstream_by_id = dict(state.upstream_by_id)
    removal_due = dict(state.removal_due_s_by_id)
    leaving_born_ms_by_id = dict(state.leaving_born_ms_by_id)
    gone_born_ms_by_id = dict(state.gone_born_ms_by_id)
    noticed_leaving_ids = set(state.noticed_leaving_ids)
    effects: list[Effect] = []
    for key, listed in changes.items():
        before = upstream_by_id.get(key)
        upstream = listed
        noticed_leaving_ids.discard(key)
        if listed is not None and leaving_born_ms_by_id.get(key) == listed.born_ms:
            # The store may show an older entry again, but an incarnation that leaves never stays.
            upstream = dataclasses.replace(listed, is_leaving=True)
            if not listed.is_leaving:
                noticed_leaving_ids.add(key)
        if upstream is not None:
            gone_born_ms_by_id.pop(key, None)
            if upstream.is_leaving:
                _remember(leaving_born_ms_by_id, key, upstream.born_ms)
            removal_due.pop(key, None)
            upstream_by_id[key] = upstream
            effects.extend(_effects_of(before, upstream))
            for replaced in _replaced_by(upstream_by_id, upstream):
                removal_due.pop(replaced.id, None)
                del upstream_by_id[replaced.id]
                effects.append(Gone(replaced))
        elif before is not None and now_s < state.grace_until_s:
            removal_due.setdefault(key, state.grace_until_s)
        elif before is not None:
            removal_due.pop(key, None)
            del upstream_by_id[key]
            _remember(gone_born_ms_by_id, key, before.born_ms)
            effects.append(Gone(before))
    after = dataclasses.replace(
        state,
        upstream_by_id=upstream_by_id,
        leaving_since_s_by_id=_leaving_since(state, now_s, upstream_by_id, effects),
        removal_due_s_by_id=removal_due,
        leaving_born_ms_by_id=leaving_born_ms_by_id,
        gone_born_ms_by_id=gone_born_ms_by_id,
        noticed_leaving_ids=frozenset(noticed_leaving_ids),
        revision=revision,
    )
    return after, tuple(effects)


def _leaving_since(
    state: Directory,
    now_s: float,
    upstream_by_id: Mapping[str, entities.Upstream],
    effects: list[Effect],
) -> dict[str, float]:
    since_s_by_id = {
        key: since_s
        for key, since_s in state.leaving_since_s_by_id.items()
        if key in upstream_by_id
    }
    # After an outage of the store it is not known when they began to leave.
    is_current = not state.is_store_unavailable and now_s >= state.grace_until_s
    for effect in effects:
        if isinstance(effect, Joined):
            since_s_by_id.pop(effect.upstream.id, None)
        elif isinstance(effect, Leaving) and is_current:
            since_s_by_id.setdefault(effect.upstream.id, now_s)
    return since_s_by_id


def _mark_leaving(
    state: Directory, now_s: float, message: SaidLeaving
) -> tuple[Directory, tuple[Effect, ...]]:
    before = state.upstream_by_id.get(message.upstream_id)
    if before is not None and (before.born_ms != message.born_ms or before.is_leaving):
        return state, ()
    leaving_born_ms_by_id = dict(state.leaving_born_ms_by_id)
    _remember(leaving_born_ms_by_id, message.upstream_id, message.born_ms)
    after = dataclasses.replace(state, leaving_born_ms_by_id=leaving_born_ms_by_id)
    if before is None:
        # Its entry may only have expired while the server did not reach the store.
        return after, ()
    leaving = dataclasses.replace(before, is_leaving=True)
    after = dataclasses.replace(
        after,
        upstream_by_id={**state.upstream_by_id, leaving.id: leaving},
        leaving_since_s_by_id={**state.leaving_since_s_by_id, leaving.id: now_s},
        noticed_leaving_ids=state.noticed_leaving_ids | {leaving.id},
    )
    return after, (Leaving(leaving),)


def _remember(born_ms_by_id: dict[str, int], upstream_id: str, born_ms: int) -> None:
    born_ms_by_id.pop(upstream_id, None)
    born_ms_by_id[upstream_id] = born_ms
    if len(born_ms_by_id) > MAX_REMEMBERED:
        del born_ms_by_id[next(iter(born_ms_by_id))]


def _effects_of(before: entities.Upstream | None, after: entities.Upstream) -> tuple[Effect, ...]:
    if before is None:
        return (Joined(after),)
    if is_replaced(before, after):
        return (Gone(before), Joined(after))
    if after.is_leaving and not before.is_leaving:
        return (Leaving(after),)
    if after.stage is not before.stage:
        return (StageChanged(after),)
    return ()


def _replaced_by(
    upstream_by_id: Mapping[str, entities.Upstream], upstream: entities.Upstream
) -> tuple[entities.Upstream, ...]:
    """Return the older upstreams at the address of this one, which must have ended before it."""
    return tuple(
        each
        for each in upstream_by_id.values()
        if each.address == upstream.address and each.born_ms < upstream.born_ms
    )


def _remove_expired(state: Directory, now_s: float) -> tuple[Directory, tuple[Effect, ...]]:
    due = [key for key, due_s in state.removal_due_s_by_id.items() if due_s <= now_s]
    if not due:
        return state, ()
    gone = tuple(Gone(state.upstream_by_id[key]) for key in due if key in state.upstream_by_id)
    after = dataclasses.replace(
        state,
        upstream_by_id={k: each for k, each in state.upstream_by_id.items() if k not in due},
        removal_due_s_by_id={
            k: each for k, each in state.removal_due_s_by_id.items() if k not in due
        },
    )
    return after, gone
