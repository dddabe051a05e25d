"""Fake of the platform's metadata store."""

from __future__ import annotations

import base64
import dataclasses
import enum
import http.server
import json
import threading
import time
import urllib.parse

from carawaydoor.platform import names

MAX_PAGE_ITEMS = 3


class Mode(enum.Enum):
    """How the store responds to calls."""

    GOOD = "good"
    BUSY = "busy"
    RESET = "reset"
    TRUNCATED = "truncated"
    RUBBISH = "rubbish"


@dataclasses.dataclass(frozen=True)
class Copy:
    """The content of the store at an earlier time."""

    value_by_key: dict[str, tuple[bytes, int]]
    revision: int


class FakeStore:
    """In-memory store with one revision counter, served over HTTP.

    :ivar era: counts how often the store was restored from a copy, None if it does not say
    """

    def __init__(self, port: int = 0) -> None:
        self.mode = Mode.GOOD
        # Seconds for which each response is held back.
        self.delay_s = 0.0
        self.calls = 0
        self.revision = 1
        self.era: int | None = None
        self._dropped_up_to_revision = 0
        self._value_by_key: dict[str, tuple[bytes, int]] = {}
        self._created_by_key: dict[str, int] = {}
        self._changes: list[dict[str, object]] = []
        self._condition = threading.Condition()
        self._server = _HttpServer(("127.0.0.1", port), _RequestHandler)
        self._server.store = self
        self.port = self._server.server_address[1]
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    def stop(self) -> None:
        """Shut the server down."""
        self._server.shutdown()
        self._server.server_close()

    def put(self, key: str, value: bytes | dict[str, object]) -> int:
        """Write a key and return the store's revision."""
        content = value if isinstance(value, bytes) else json.dumps(value).encode()
        with self._condition:
            self.revision += 1
            self._value_by_key[key] = (content, self.revision)
            self._created_by_key.setdefault(key, self.revision)
            self._changes.append(self._item(key))
            self._condition.notify_all()
            return self.revision

    def delete(self, key: str) -> None:
        """Remove a key."""
        with self._condition:
            self.revision += 1
            self._value_by_key.pop(key, None)
            self._created_by_key.pop(key, None)
            self._changes.append({"key": key, "revision": self.revision, "deleted": True})
            self._condition.notify_all()

    def drop_history(self, up_to: int | None = None) -> None:
        """Drop the history of changes, so that a client has to read all items again.

        :param up_to: last revision that is dropped, None for all
        """
        with self._condition:
            self._dropped_up_to_revision = self.revision if up_to is None else up_to
            self._changes = [
                each
                for each in self._changes
                if int(str(each["revision"])) > self._dropped_up_to_revision
            ]
            self._condition.notify_all()

    def copy(self) -> Copy:
        """Return a copy of the content."""
        with self._condition:
            return Copy(dict(self._value_by_key), self.revision)

    def restore(self, copy: Copy) -> None:
        """Go back to the content of a copy; revisions after it are given out again."""
        with self._condition:
            self.era = (self.era or 0) + 1
            self.revision = self._dropped_up_to_revision = copy.revision
            self._value_by_key = dict(copy.value_by_key)
            self._created_by_key = {key: each[1] for key, each in self._value_by_key.items()}
            self._changes.clear()
            self._condition.notify_all()

    def range(self, prefix: str, after: str) -> dict[str, object]:
        """Return one page of the items whose keys begin with a prefix."""
        with self._condition:
            keys = sorted(k for k in self._value_by_key if k.startswith(prefix) and k > after)
            items = [self._item(key) for key in keys[:MAX_PAGE_ITEMS]]
            return {"items": items, "truncated": len(keys) > MAX_PAGE_ITEMS, "at": self.revision}

    def watch(self, prefix: str, after: int, wait_s: float) -> dict[str, object] | None:
        """Return the changes after a revision, None if they have been dropped."""
        with self._condition:
            if not self._dropped_up_to_revision <= after <= self.revision:
                return None
            era = self.era
            self._condition.wait_for(lambda: self._events(prefix, after) or self.era != era, wait_s)
            if not self._dropped_up_to_revision <= after <= self.revision or self.era != era:
                return None
            return {"events": self._events(prefix, after), "at": self.revision}

    def _item(self, key: str) -> dict[str, object]:
        content, revision = self._value_by_key[key]
        value = base64.b64encode(content).decode()
        created = self._created_by_key[key]
        return {"key": key, "value": value, "revision": revision, "created": created, "lease": 0}

    def _events(self, prefix: str, after: int) -> list[dict[str, object]]:
        return [
            each
            for each in self._changes
            if str(each["key"]).startswith(prefix) and int(str(each["revision"])) > after
        ]


class _HttpServer(http.server.ThreadingHTTPServer):
    daemon_threads = True
    store: FakeStore

    def handle_error(self, request: object, client_address: object) -> None:
        """Ignore errors: clients break off connections on purpose."""


class _RequestHandler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    server: _HttpServer

    def log_message(self, *_: object) -> None:
        """Suppress the request log."""

    def do_GET(self) -> None:
        """Respond to a read or a watch."""
        store = self.server.store
        store.calls += 1
        parsed = urllib.parse.urlsplit(self.path)
        query = dict(urllib.parse.parse_qsl(parsed.query, keep_blank_values=True))
        prefix = query.get("pathPrefix", "")
        if store.mode is Mode.RESET:
            self.close_connection = True
            return
        if store.mode is Mode.BUSY:
            self._send(503, b"")
            return
        if parsed.path == names.STORE_RANGE_PATH:
            document = store.range(prefix, query.get("after", ""))
        else:
            wait_s = int(query["waitMs"]) / 1000
            watched = store.watch(prefix, int(query["after"]), wait_s)
            if watched is None:
                self._send(410, b"")
                return
            document = watched
        content = json.dumps(document).encode()
        if store.mode is Mode.RUBBISH:
            content = b"\xff\x00" + content[2:]
        self._send(200, content)

    def _send(self, status: int, content: bytes) -> None:
        time.sleep(self.server.store.delay_s)
        self.send_response(status)
        self.send_header("Content-Length", str(len(content)))
        if self.server.store.era is not None:
            self.send_header("Store-Era", str(self.server.store.era))
        self.end_headers()
        if self.server.store.mode is Mode.TRUNCATED:
            content = content[: len(content) // 2]
            self.close_connection = True
        self.wfile.write(content)
