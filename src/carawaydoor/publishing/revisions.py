"""Published form of a configuration set: a manifest, and the parts that it lists by digest."""

from __future__ import annotations

import dataclasses
import hashlib
import json
from collections.abc import Iterable, Mapping, Sequence

import expression
import pydantic
import xxhash

from carawaydoor.publishing import catalog, config_objects

MAX_PART_BYTES = 1_000_000
OBJECTS_PER_PART = 64


class PartEntry(pydantic.BaseModel):
    """Digest and size of one part."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    digest: config_objects.Digest
    size_bytes: int = pydantic.Field(ge=0, le=MAX_PART_BYTES)


class Manifest(pydantic.BaseModel):
    """Lists the parts of a revision.

    :ivar withdrawn: digests of the withdrawn keys, repeated from the parts so that a withdrawal
        takes effect before the parts have arrived
    """

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    revision: int = pydantic.Field(gt=0)
    parts: tuple[PartEntry, ...]
    withdrawn: tuple[config_objects.Digest, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Revision:
    """A manifest with its parts.

    :ivar manifest_bytes: the manifest exactly as published
    """

    manifest: Manifest
    manifest_bytes: bytes
    part_by_digest: Mapping[str, bytes]


@dataclasses.dataclass(frozen=True, slots=True)
class RevisionFault:
    """Why a published manifest or part is invalid."""

    detail: str


def digest(content: bytes) -> str:
    """Return the SHA-256 digest of a manifest or part in hexadecimal."""
    return hashlib.sha256(content).hexdigest()


def build(number: int, items: Sequence[config_objects.AnyObject]) -> Revision:
    """Return the revision that publishes a set of objects that has been checked.

    :param number: number of the revision, higher than all earlier ones
    """
    parts = [_encode_part(group) for group in _group_into_parts(items)]
    part_by_digest = {digest(each): each for each in parts}
    withdrawn = tuple(
        sorted(
            each.sha256 for each in items if isinstance(each, config_objects.Key) and each.withdrawn
        )
    )
    manifest = Manifest(
        revision=number,
        parts=tuple(
            PartEntry(digest=part_digest, size_bytes=len(content))
            for part_digest, content in sorted(part_by_digest.items())
        ),
        withdrawn=withdrawn,
    )
    return Revision(manifest, manifest.model_dump_json(indent=1).encode(), part_by_digest)


def parse_manifest(content: bytes) -> expression.Result[Manifest, RevisionFault]:
    """Return a published manifest, or why it is invalid."""
    try:
        return expression.Ok(Manifest.model_validate_json(content))
    except pydantic.ValidationError as error:
        return expression.Error(RevisionFault(str(error)))


def load(revision: Revision) -> expression.Result[catalog.Catalog, RevisionFault]:
    """Return the catalog of a revision with all its parts, or why the revision is invalid."""
    located: list[catalog.LocatedObject] = []
    for entry in revision.manifest.parts:
        content = revision.part_by_digest.get(entry.digest)
        if content is None or digest(content) != entry.digest:
            return expression.Error(RevisionFault(f"part {entry.digest} is missing or damaged"))
        try:
            items = [
                config_objects.OBJECT_ADAPTER.validate_python(each) for each in json.loads(content)
            ]
        except (ValueError, TypeError) as error:
            return expression.Error(RevisionFault(f"part {entry.digest}: {error}"))
        located.extend(
            catalog.LocatedObject(item, catalog.SourceLocation(entry.digest, position))
            for position, item in enumerate(items)
        )
    result = catalog.build(located)
    if result.is_error():
        return expression.Error(RevisionFault("; ".join(str(each) for each in result.error)))
    return expression.Ok(result.ok)


def _group_into_parts(
    items: Sequence[config_objects.AnyObject],
) -> Iterable[list[config_objects.AnyObject]]:
    """Group objects by a hash of kind and name, so that a changed object changes only one part."""
    part_count = max(1, len(items) // OBJECTS_PER_PART)
    group_by_index: dict[int, list[config_objects.AnyObject]] = {}
    for item in sorted(items, key=lambda each: (each.kind, each.name)):
        part_index = xxhash.xxh3_64_intdigest(f"{item.kind}/{item.name}".encode()) % part_count
        group_by_index.setdefault(part_index, []).append(item)
    return group_by_index.values()


def _encode_part(group: Iterable[config_objects.AnyObject]) -> bytes:
    documents = [each.model_dump(mode="json") for each in group]
    return json.dumps(documents, sort_keys=True, separators=(",", ":")).encode()
