"""Puts configuration revisions in force: only whole ones, and never a lower one."""

from __future__ import annotations

import dataclasses
import enum
from collections.abc import Mapping

from carawaydoor.publishing import catalog, revisions


class Outcome(enum.Enum):
    """What became of an offered manifest."""

    IN_FORCE = "in_force"
    PENDING = "pending"
    OLDER = "older"
    CONFLICT = "conflict"
    INVALID = "invalid"


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationState:
    """The revision in force and the one that is arriving.

    :ivar pending: newest manifest whose parts have not all arrived
    :ivar rejected: digest of the newest manifest whose content was invalid
    """

    current: revisions.Revision | None
    catalog: catalog.Catalog
    pending: revisions.Revision | None
    rejected: str


EMPTY = ConfigurationState(None, catalog.EMPTY, None, "")


def revision_number(state: ConfigurationState) -> int:
    """Return the number of the revision in force, zero where there is none."""
    return 0 if state.current is None else state.current.manifest.revision


def withdrawn_key_digests(state: ConfigurationState) -> frozenset[str]:
    """Return the digests of the keys withdrawn by the revision in force or by the pending one."""
    known = (each for each in (state.current, state.pending) if each is not None)
    return frozenset(key for each in known for key in each.manifest.withdrawn)


def missing_part_digests(state: ConfigurationState) -> tuple[str, ...]:
    """Return the digests of the parts that the pending revision still lacks."""
    if state.pending is None:
        return ()
    return tuple(
        each.digest
        for each in state.pending.manifest.parts
        if each.digest not in state.pending.part_by_digest
    )


def offer_manifest(state: ConfigurationState, content: bytes) -> tuple[ConfigurationState, Outcome]:
    """Take in a manifest, from the platform or from a peer."""
    if state.current is not None and content == state.current.manifest_bytes:
        return state, Outcome.IN_FORCE
    parsed = revisions.parse_manifest(content)
    if parsed.is_error() or revisions.digest(content) == state.rejected:
        return state, Outcome.INVALID
    manifest = parsed.ok
    if manifest.revision < revision_number(state):
        return state, Outcome.OLDER
    if manifest.revision == revision_number(state):
        return state, Outcome.CONFLICT
    if state.pending is not None and manifest.revision < state.pending.manifest.revision:
        return state, Outcome.OLDER
    known = _known_parts(state)
    parts = {each.digest: known[each.digest] for each in manifest.parts if each.digest in known}
    pending = revisions.Revision(manifest, content, parts)
    return _try_force(dataclasses.replace(state, pending=pending))


def add_parts(
    state: ConfigurationState, part_by_digest: Mapping[str, bytes]
) -> tuple[ConfigurationState, Outcome]:
    """Take in parts of the pending revision; those whose digest is wrong are left out."""
    if state.pending is None:
        return state, Outcome.OLDER
    wanted = set(missing_part_digests(state))
    genuine = {
        key: content
        for key, content in part_by_digest.items()
        if key in wanted and revisions.digest(content) == key
    }
    parts = {**state.pending.part_by_digest, **genuine}
    pending = dataclasses.replace(state.pending, part_by_digest=parts)
    return _try_force(dataclasses.replace(state, pending=pending))


def _try_force(state: ConfigurationState) -> tuple[ConfigurationState, Outcome]:
    if state.pending is None or missing_part_digests(state):
        return state, Outcome.PENDING
    loaded = revisions.load(state.pending)
    if loaded.is_error():
        rejected = revisions.digest(state.pending.manifest_bytes)
        return dataclasses.replace(state, pending=None, rejected=rejected), Outcome.INVALID
    return ConfigurationState(state.pending, loaded.ok, None, ""), Outcome.IN_FORCE


def _known_parts(state: ConfigurationState) -> dict[str, bytes]:
    known: dict[str, bytes] = {}
    for each in (state.current, state.pending):
        if each is not None:
            known.update(each.part_by_digest)
    return known
