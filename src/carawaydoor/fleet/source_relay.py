"""Passes what one instance has read of the source on to another one, over HTTP.

The response tells how old the proof of its content is. The caller counts that age from the moment at
which it sent the request, so that a delay can't make the content look fresh.

A caller that reads compressed responses says so in its request; earlier builds don't, and ignore that
others do. The items are encoded once for all callers that ask for the same ones.
"""

from __future__ import annotations

import base64
import collections
import dataclasses
import json
import threading
import zlib
from collections.abc import Callable, Mapping
from typing import Annotated, Final

import pydantic

from carawaydoor.fleet import peer_http
from carawaydoor.operating import clocks, configuration_source

CHANGES_PATH: Final = "/source/changes"
EVACUATIONS_PATH: Final = "/source/evacuations"
# Both instances are in one failure domain, so a longer silence means that the other one has failed.
TIMEOUT_S: Final = 0.5
# Longest duration of a whole exchange, so that one with a reader whose link is busy leaves time to ask
# another one or to read the source.
TOTAL_TIMEOUT_S: Final = 1.0
# Added to a request by builds that read compressed responses.
COMPRESSED_PARAMETER: Final = "compressed"
# First byte of compressed content; that of a JSON object is a brace.
_ZLIB_MARK: Final = b"\x78"
# The fastest level of zlib; higher ones make a configuration less than a tenth smaller.
_COMPRESSION_LEVEL: Final = 1
# A response carries a configuration and some entries of upstreams. Larger ones are malformed.
_MAX_DECOMPRESSED_BYTES: Final = 32_000_000
# Followers that lag ask for other items than the rest.
_MAX_CACHED_ITEM_LISTS: Final = 4
_OK_STATUS: Final = 200


_Position = Annotated[int, pydantic.Field(ge=0, lt=2**63)]
_Domain = Annotated[str, pydantic.Field(min_length=1, max_length=1000)]
_Seconds = Annotated[float, pydantic.Field(ge=0.0, allow_inf_nan=False)]


class _Changes(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="ignore")

    revision: _Position
    proof_age_s: _Seconds
    steady_s: _Seconds
    list_age_s: _Seconds | None = None
    items: list[tuple[str, str | None, _Position]]


class _Evacuations(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="ignore")

    revision: _Position
    domains: list[_Domain]


class RelayError(Exception):
    """The other instance gave no valid response, or doesn't know what has changed."""


@dataclasses.dataclass(frozen=True, slots=True)
class RelayedChanges:
    """Changes of the source as another instance knows them.

    :ivar proof_age_s: seconds since the other instance's configuration was last proven newest
    :ivar steady_s: seconds for which the other instance has been connected to the source
    :ivar list_age_s: seconds since the source was last known to hold no further changes, None if that
        is not known, or from earlier releases, which don't say
    """

    changes: configuration_source.SourceChanges
    proof_age_s: float
    steady_s: float
    list_age_s: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class RelayedEvacuations:
    """All evacuated failure domains as another instance knows them.

    :ivar revision: position up to which the other instance knows the content of the source
    """

    domains: frozenset[str]
    revision: int


def encode_evacuations(relayed: RelayedEvacuations) -> bytes:
    """Encode the response to a request for evacuations."""
    document = {"revision": relayed.revision, "domains": sorted(relayed.domains)}
    return json.dumps(document).encode()


def fetch_evacuations(host: str, port: int) -> RelayedEvacuations:
    """Ask another instance for all evacuated failure domains.

    :raises RelayError: if it gives no valid response
    """
    content = _get(host, port, EVACUATIONS_PATH, {})
    try:
        document = _Evacuations.model_validate_json(content)
    except pydantic.ValidationError as error:
        raise RelayError(f"malformed response: {error!r}") from error
    return RelayedEvacuations(frozenset(document.domains), document.revision)


class ChangesEncoder:
    """Encodes responses to requests for changes, each list of items once."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._content_by_items: collections.OrderedDict[
            tuple[bool, tuple[tuple[str, int], ...]], bytes
        ] = collections.OrderedDict()

    def encode(self, relayed: RelayedChanges, compresses: bool = False) -> bytes:
        """Encode a response.

        :param compresses: whether to compress it; builds before compression can't read the result
        """
        head = {
            "revision": relayed.changes.revision,
            "proof_age_s": relayed.proof_age_s,
            "steady_s": relayed.steady_s,
            "list_age_s": relayed.list_age_s,
        }
        opening = json.dumps(head)[:-1].encode() + b', "items": '
        items = self._encode_items(relayed.changes.items, compresses)
        if not compresses:
            return opening + items + b"}"
        return _compress(opening) + items + _compress(b"}")

    def _encode_items(
        self, items: tuple[configuration_source.SourceItem, ...], compresses: bool
    ) -> bytes:
        key = compresses, tuple((each.key, each.revision) for each in items)
        # Held while encoding, so that callers that ask at the same time don't encode the same.
        with self._lock:
            content = self._content_by_items.get(key)
            if content is None:
                content = _items_json(items)
                if compresses:
                    content = _compress(content)
                self._content_by_items[key] = content
                if len(self._content_by_items) > _MAX_CACHED_ITEM_LISTS:
                    self._content_by_items.popitem(last=False)
            return content


def encode(relayed: RelayedChanges, compresses: bool = False) -> bytes:
    """Encode one response to a request for changes."""
    return ChangesEncoder().encode(relayed, compresses)


def _items_json(items: tuple[configuration_source.SourceItem, ...]) -> bytes:
    document = [
        [
            each.key,
            None if each.value is None else base64.b64encode(each.value).decode(),
            each.revision,
        ]
        for each in items
    ]
    return json.dumps(document).encode()


def _compress(content: bytes) -> bytes:
    return zlib.compress(content, _COMPRESSION_LEVEL)


def _decompress(content: bytes) -> bytes:
    """Return the content of a sequence of compressed streams.

    :raises ValueError: if it is malformed or too large
    """
    parts: list[bytes] = []
    size = 0
    while content:
        decompressor = zlib.decompressobj()
        try:
            part = decompressor.decompress(content, _MAX_DECOMPRESSED_BYTES - size + 1)
        except zlib.error as error:
            raise ValueError(f"not compressed: {error!r}") from error
        size += len(part)
        if size > _MAX_DECOMPRESSED_BYTES:
            raise ValueError(f"more than {_MAX_DECOMPRESSED_BYTES} bytes")
        if not decompressor.eof:
            raise ValueError("the compressed content is not complete")
        parts.append(part)
        content = decompressor.unused_data
    return b"".join(parts)


def decode(content: bytes) -> RelayedChanges:
    """Decode the response to a request for changes.

    :raises RelayError: if it is malformed
    """
    try:
        if content.startswith(_ZLIB_MARK):
            content = _decompress(content)
        document = _Changes.model_validate_json(content)
        items = tuple(
            configuration_source.SourceItem(
                key, None if value is None else base64.b64decode(value, validate=True), revision
            )
            for key, value, revision in document.items
        )
    except ValueError as error:
        raise RelayError(f"malformed response: {error!r}") from error
    changes = configuration_source.SourceChanges(items, document.revision)
    return RelayedChanges(changes, document.proof_age_s, document.steady_s, document.list_age_s)


def fetch(host: str, port: int, after: int, clock: clocks.Clock) -> RelayedChanges:
    """Ask another instance for the changes after a revision.

    :raises RelayError: if it doesn't know them, or gives no valid response in time
    """
    deadline_s = clock.now_s() + TOTAL_TIMEOUT_S
    query = {"after": after, COMPRESSED_PARAMETER: 1}
    content = _get(host, port, CHANGES_PATH, query, lambda: clock.now_s() > deadline_s)
    relayed = decode(content)
    changes = dataclasses.replace(relayed.changes, received_bytes=len(content))
    return dataclasses.replace(relayed, changes=changes)


def _get(
    host: str,
    port: int,
    path: str,
    query: Mapping[str, object],
    is_overdue: Callable[[], bool] = lambda: False,
) -> bytes:
    try:
        status, content = peer_http.get(host, port, path, query, TIMEOUT_S, is_overdue)
    except peer_http.PeerError as error:
        raise RelayError(str(error)) from error
    if status != _OK_STATUS:
        raise RelayError(f"status {status}")
    return content
