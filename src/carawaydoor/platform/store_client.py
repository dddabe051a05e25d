"""Client of the platform's metadata store, for reads and watches."""

from __future__ import annotations

import base64
import dataclasses
import enum
import http.client
import json
import socket
import urllib.parse
from typing import Any, Final

from carawaydoor.operating import (
    clocks,
    configuration_source,
    http_responses,
    platform_options,
)
from carawaydoor.platform import names
from carawaydoor.policy import source_position

_OK_STATUS: Final = 200
_GONE_STATUS: Final = 410
# Allows one retransmission of a lost packet, but is short, so that an attempt begun during a
# network partition ends soon after the partition does.
CONNECT_TIMEOUT_S: Final = 0.4
# Guards against a store that never returns a last page.
MAX_PAGES_PER_READ: Final = 1000
# Eras share a field of 64 bits with revisions.
MAX_ERA_DIGITS: Final = 9


class StoreFailure(enum.Enum):
    """Why a call to the store failed."""

    UNREACHABLE = "unreachable"
    REFUSED = "refused"
    MALFORMED = "malformed"
    OLDER_ERA = "older_era"
    RESTORED = "restored"


class StoreError(Exception):
    """A call to the store failed."""

    def __init__(self, failure: StoreFailure, detail: str) -> None:
        super().__init__(f"{failure.value}: {detail}")
        self.failure: Final = failure


class HistoryGoneError(Exception):
    """The store no longer has the changes that a watch asked for."""


@dataclasses.dataclass(frozen=True, slots=True)
class ItemBatch:
    """Items read from the store.

    :ivar revision: position of the whole store, from which a watch can continue
    :ivar received_bytes: size of the responses
    :ivar transfer_s: seconds between the first and the last byte of the responses
    """

    items: tuple[configuration_source.SourceItem, ...]
    revision: int
    received_bytes: int = 0
    transfer_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class _StoreResponse:
    """A valid response of the store.

    :ivar era: number of the store's restores, zero if it does not count them
    :ivar received_bytes: size of the body
    :ivar transfer_s: seconds between the head and the last byte of the body
    """

    document: dict[str, Any]
    era: int
    received_bytes: int = 0
    transfer_s: float = 0.0


class StoreClient:
    """Reads and watches the store over one persistent connection; not thread-safe."""

    def __init__(
        self, address: platform_options.Address, clock: clocks.Clock | None = None
    ) -> None:
        self._address = address
        self._clock = clock or clocks.SystemClock()
        self._connection: http.client.HTTPConnection | None = None
        self._era = 0

    def read(self, prefix: str, timeout_s: float) -> ItemBatch:
        """Return all items whose keys begin with a prefix.

        The pages are not read from one snapshot. The position returned is that of the first page,
        so that a watch from it reports every change made between two pages.

        :param timeout_s: timeout in seconds for each page
        :raises StoreError: if the store gave no valid response
        """
        items: list[configuration_source.SourceItem] = []
        start = None
        received_bytes, transfer_s = 0, 0.0
        query = {"pathPrefix": prefix}
        for _ in range(MAX_PAGES_PER_READ):
            response = self._get(names.STORE_RANGE_PATH, query, timeout_s)
            received_bytes += response.received_bytes
            transfer_s += response.transfer_s
            page = _parse_items(response, "items")
            items.extend(page)
            start = _parse_position(response) if start is None else start
            if source_position.era_of(start) != response.era:
                raise StoreError(StoreFailure.RESTORED, "the store was restored between two pages")
            if not response.document.get("truncated") or not page:
                return ItemBatch(tuple(items), start, received_bytes, transfer_s)
            query = {"pathPrefix": prefix, "after": page[-1].key}
        raise StoreError(StoreFailure.MALFORMED, f"more than {MAX_PAGES_PER_READ} pages")

    def watch(self, prefix: str, after: int, wait_s: float, timeout_s: float) -> ItemBatch:
        """Return the changes to keys with a prefix after a revision, as soon as there are any.

        :param after: position of the last known change
        :param wait_s: seconds after which the store responds even without a change
        :param timeout_s: timeout in seconds for the response
        :raises HistoryGoneError: if the store no longer has these changes, so that all items have
            to be read again
        :raises StoreError: if the store gave no valid response
        """
        revision = source_position.revision_of(after)
        query = {"pathPrefix": prefix, "after": str(revision), "waitMs": str(int(wait_s * 1000))}
        response = self._get(names.STORE_WATCH_PATH, query, timeout_s)
        if response.era != source_position.era_of(after):
            # The revision exists in the new era as well, but with another history.
            raise HistoryGoneError
        return ItemBatch(
            _parse_items(response, "events"),
            _parse_position(response),
            response.received_bytes,
            response.transfer_s,
        )

    def close(self) -> None:
        """Close the connection."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    def _get(self, path: str, query: dict[str, str], timeout_s: float) -> _StoreResponse:
        target = f"{path}?{urllib.parse.urlencode(query, safe='/')}"
        try:
            connection = self._connect(timeout_s)
            connection.request("GET", target)
            response = connection.getresponse()
            headed_s = self._clock.now_s()
            content = response.read()
            transfer_s = self._clock.now_s() - headed_s
        except (OSError, http.client.HTTPException) as error:
            self.close()
            raise StoreError(StoreFailure.UNREACHABLE, repr(error)) from error
        if response.will_close:
            self.close()
        era = _parse_era(response.getheader(names.Header.STORE_ERA))
        if era < self._era:
            # A late response, or one of a replica that was not restored.
            self.close()
            raise StoreError(StoreFailure.OLDER_ERA, f"era {era} after {self._era}")
        self._era = era
        if response.status == _GONE_STATUS:
            raise HistoryGoneError
        if response.status != _OK_STATUS:
            raise StoreError(StoreFailure.REFUSED, f"status {response.status}")
        try:
            document = json.loads(content)
        except (ValueError, RecursionError) as error:
            self.close()
            raise StoreError(StoreFailure.MALFORMED, repr(error)) from error
        if not isinstance(document, dict):
            raise StoreError(StoreFailure.MALFORMED, "the response is not a JSON object")
        return _StoreResponse(document, era, len(content), transfer_s)

    def _connect(self, timeout_s: float) -> http.client.HTTPConnection:
        if self._connection is None:
            connection = http.client.HTTPConnection(
                self._address.host, self._address.port, timeout=min(timeout_s, CONNECT_TIMEOUT_S)
            )
            http_responses.use_whole_responses(connection)
            connection.connect()
            connection.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._connection = connection
        self._connection.sock.settimeout(timeout_s)
        return self._connection


def _parse_items(
    response: _StoreResponse, field: str
) -> tuple[configuration_source.SourceItem, ...]:
    entries = response.document.get(field)
    if not isinstance(entries, list):
        raise StoreError(StoreFailure.MALFORMED, f"{field} is not a list")
    return tuple(_parse_item(entry, response.era) for entry in entries)


def _parse_item(document: Any, era: int) -> configuration_source.SourceItem:
    try:
        key, revision = document["key"], document["revision"]
        value = None if document.get("deleted") else base64.b64decode(document["value"])
    except (KeyError, TypeError, ValueError) as error:
        raise StoreError(StoreFailure.MALFORMED, f"item: {error!r}") from error
    if not isinstance(key, str) or not _is_revision(revision):
        raise StoreError(StoreFailure.MALFORMED, "item without a valid key and revision")
    created = document.get("created")
    return configuration_source.SourceItem(
        key,
        value,
        source_position.create(era, revision),
        source_position.create(era, created) if _is_revision(created) and created else 0,
    )


def _is_revision(value: Any) -> bool:
    is_number = isinstance(value, int) and not isinstance(value, bool)
    return is_number and source_position.is_revision(value)


def _parse_position(response: _StoreResponse) -> int:
    # The revision of the whole store when it responded, not of an item.
    revision = response.document.get("at")
    if not isinstance(revision, int) or not source_position.is_revision(revision):
        raise StoreError(StoreFailure.MALFORMED, "the response has no revision")
    return source_position.create(response.era, revision)


def _parse_era(value: str | None) -> int:
    if value is None:
        return 0
    if not value.strip().isdecimal() or len(value) > MAX_ERA_DIGITS:
        raise StoreError(StoreFailure.MALFORMED, "the era is not a number")
    return int(value)
