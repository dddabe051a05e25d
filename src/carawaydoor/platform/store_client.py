"""Client of the platform's metadata store, which can be read and watched."""

from __future__ import annotations

import base64
import binascii
import dataclasses
import enum
import http.client
import json
import socket
import urllib.parse
from typing import Any, Final

from carawaydoor.operating import platform_options
from carawaydoor.platform import names

_OK: Final = 200
_GONE: Final = 410
# Time in seconds to establish a connection: one lost packet is sent again within it, and an attempt
# that began behind a network partition does not outlast it for long.
CONNECT_S: Final = 0.4
# Pages of one range; a store that never says its last page is not believed.
MAX_PAGES: Final = 1000


class StoreFailure(enum.Enum):
    """Why a call to the store brought nothing."""

    UNREACHABLE = "unreachable"
    REFUSED = "refused"
    MALFORMED = "malformed"


class StoreError(Exception):
    """A call to the store failed."""

    def __init__(self, failure: StoreFailure, detail: str) -> None:
        super().__init__(f"{failure.value}: {detail}")
        self.failure: Final = failure


class HistoryGoneError(Exception):
    """The store no longer holds the changes that a watch asked for."""


@dataclasses.dataclass(frozen=True, slots=True)
class Item:
    """A key with its value at a revision; ``value`` is None where it was deleted."""

    key: str
    value: bytes | None
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Items:
    """An answer of the store.

    :ivar revision: the store's revision when it answered
    """

    items: tuple[Item, ...]
    revision: int


class StoreClient:
    """One kept connection to the store; used by one thread."""

    def __init__(self, address: platform_options.Address) -> None:
        self._address = address
        self._connection: http.client.HTTPConnection | None = None

    def read(self, prefix: str, timeout_s: float) -> Items:
        """Return all items whose keys begin with a prefix.

        The pages are no snapshot: the revision is that of the first page, so that a watch from it
        brings every change made between two pages.

        :param timeout_s: longest wait in seconds for one page
        :raises StoreError: where the store gave no usable answer
        """
        items: list[Item] = []
        revision = None
        query = {"pathPrefix": prefix}
        for _ in range(MAX_PAGES):
            document = self._get(names.STORE_RANGE_PATH, query, timeout_s)
            page = _items(document, "items")
            items.extend(page)
            revision = _revision(document) if revision is None else revision
            if not document.get("truncated") or not page:
                return Items(tuple(items), revision)
            query = {"pathPrefix": prefix, "after": page[-1].key}
        raise StoreError(StoreFailure.MALFORMED, f"more than {MAX_PAGES} pages")

    def watch(self, prefix: str, after: int, wait_s: float, timeout_s: float) -> Items:
        """Return the changes of a prefix after a revision, as soon as there are any.

        :param wait_s: time in seconds after which the store answers without a change
        :param timeout_s: longest wait in seconds for the answer
        :raises HistoryGoneError: where the changes have to be read anew
        :raises StoreError: where the store gave no usable answer
        """
        query = {"pathPrefix": prefix, "after": str(after), "waitMs": str(int(wait_s * 1000))}
        document = self._get(names.STORE_WATCH_PATH, query, timeout_s)
        return Items(_items(document, "events"), _revision(document))

    def close(self) -> None:
        """Close the connection."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    def _get(self, path: str, query: dict[str, str], timeout_s: float) -> dict[str, Any]:
        target = f"{path}?{urllib.parse.urlencode(query, safe='/')}"
        try:
            connection = self._connect(timeout_s)
            connection.request("GET", target)
            response = connection.getresponse()
            content = response.read()
        except (OSError, http.client.HTTPException) as error:
            self.close()
            raise StoreError(StoreFailure.UNREACHABLE, repr(error)) from error
        if response.will_close:
            self.close()
        if response.status == _GONE:
            raise HistoryGoneError
        if response.status != _OK:
            raise StoreError(StoreFailure.REFUSED, f"status {response.status}")
        try:
            document = json.loads(content)
        except ValueError as error:
            self.close()
            raise StoreError(StoreFailure.MALFORMED, repr(error)) from error
        if not isinstance(document, dict):
            raise StoreError(StoreFailure.MALFORMED, "the answer is not an object")
        return document

    def _connect(self, timeout_s: float) -> http.client.HTTPConnection:
        if self._connection is None:
            connection = http.client.HTTPConnection(
                self._address.host, self._address.port, timeout=min(timeout_s, CONNECT_S)
            )
            connection.connect()
            connection.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._connection = connection
        self._connection.sock.settimeout(timeout_s)
        return self._connection


def _items(document: dict[str, Any], field: str) -> tuple[Item, ...]:
    listed = document.get(field)
    if not isinstance(listed, list):
        raise StoreError(StoreFailure.MALFORMED, f"{field} is not a list")
    return tuple(_item(each) for each in listed)


def _item(document: Any) -> Item:
    try:
        key, revision = document["key"], document["revision"]
        value = None if document.get("deleted") else base64.b64decode(document["value"])
    except (KeyError, TypeError, binascii.Error) as error:
        raise StoreError(StoreFailure.MALFORMED, f"item: {error!r}") from error
    if not isinstance(key, str) or not isinstance(revision, int):
        raise StoreError(StoreFailure.MALFORMED, "item without a key and a revision")
    return Item(key, value, revision)


def _revision(document: dict[str, Any]) -> int:
    # "at" is the revision of the whole store when it answered, not of an item.
    revision = document.get("at")
    if not isinstance(revision, int):
        raise StoreError(StoreFailure.MALFORMED, "the answer states no revision")
    return revision
