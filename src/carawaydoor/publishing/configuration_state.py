"""Decides which configuration revision is in force.

A revision comes into force only when all of its parts have arrived and it has no faults, and never
after a higher one.
"""

from __future__ import annotations

import dataclasses
import enum
from collections.abc import Mapping

from carawaydoor.publishing import catalog, revisions


class Outcome(enum.Enum):
    """Result of offering a manifest or parts.

    A manifest is a conflict if it differs from the manifest in force but has the same number.
    """

    IN_FORCE = "in_force"
    PENDING = "pending"
    OLDER = "older"
    CONFLICT = "conflict"
    INVALID = "invalid"


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationState:
    """The revision in force and the pending one.

    :ivar current: revision in force, None if there is none yet
    :ivar catalog: objects of the revision in force
    :ivar pending: newest revision, while some of its parts are missing
    :ivar rejected_manifest_digest: digest of the last manifest whose content was invalid
    """

    current: revisions.Revision | None
    catalog: catalog.Catalog
    pending: revisions.Revision | None
    rejected_manifest_digest: str


EMPTY = ConfigurationState(None, catalog.EMPTY, None, "")


def revision_number(state: ConfigurationState) -> int:
    """Return the number of the revision in force, zero if there is none."""
    return 0 if state.current is None else state.current.manifest.revision


def withdrawn_key_digests(state: ConfigurationState) -> frozenset[str]:
    """Return the digests of the keys withdrawn by the revision in force or by the pending one."""
    known = (each for each in (state.current, state.pending) if each is not None)
    return frozenset(digest for each in known for digest in each.manifest.withdrawn)


def missing_part_digests(state: ConfigurationState) -> tuple[str, ...]:
    """Return the digests of the parts that the pending revision still needs."""
    if state.pending is None:
        return ()
    return tuple(
        each.digest
        for each in state.pending.manifest.parts
        if each.digest not in state.pending.part_by_digest
    )


def offer_manifest(state: ConfigurationState, content: bytes) -> tuple[ConfigurationState, Outcome]:
    """Return the state after a manifest arrived from the platform or a peer, and the outcome."""
    if state.current is not None and content == state.current.manifest_bytes:
        return state, Outcome.IN_FORCE
    parsed = revisions.parse_manifest(content)
    if parsed.is_error() or revisions.digest(content) == state.rejected_manifest_digest:
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
    return _activate_if_complete(dataclasses.replace(state, pending=pending))


def add_parts(
    state: ConfigurationState, part_by_digest: Mapping[str, bytes]
) -> tuple[ConfigurationState, Outcome]:
    """Return the state after parts arrived, and the outcome.

    Parts that the pending revision does not need or whose digest is wrong are ignored.
    """
    if state.pending is None:
        return state, Outcome.OLDER
    missing = set(missing_part_digests(state))
    valid = {
        digest: content
        for digest, content in part_by_digest.items()
        if digest in missing and revisions.digest(content) == digest
    }
    parts = {**state.pending.part_by_digest, **valid}
    pending = dataclasses.replace(state.pending, part_by_digest=parts)
    return _activate_if_complete(dataclasses.replace(state, pending=pending))


def _activate_if_complete(state: ConfigurationState) -> tuple[ConfigurationState, Outcome]:
    if state.pending is None or missing_part_digests(state):
        return state, Outcome.PENDING
    loaded = revisions.load(state.pending)
    if loaded.is_error():
        rejected = revisions.digest(state.pending.manifest_bytes)
        return (
            dataclasses.replace(state, pending=None, rejected_manifest_digest=rejected),
            Outcome.INVALID,
        )
    return ConfigurationState(state.pending, loaded.ok, None, ""), Outcome.IN_FORCE


def _known_parts(state: ConfigurationState) -> dict[str, bytes]:
    known: dict[str, bytes] = {}
    for each in (state.current, state.pending):
        if each is not None:
            known.update(each.part_by_digest)
    return known
