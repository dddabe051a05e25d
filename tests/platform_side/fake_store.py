"""Stand-in of the platform's metadata store."""

from __future__ import annotations

import base64
import enum
import http.server
import json
import threading
import urllib.parse

from carawaydoor.platform import names

PAGE = 3


class Mode(enum.Enum):
    """How the store treats calls."""

    GOOD = "good"
    BUSY = "busy"
    RESET = "reset"
    TRUNCATED = "truncated"
    RUBBISH = "rubbish"


class FakeStore:
    """Keys with values and one revision counter."""

    def __init__(self, port: int = 0) -> None:
        self.mode = Mode.GOOD
        self.calls = 0
        self.revision = 1
        self._oldest = 0
        self._value_by_key: dict[str, tuple[bytes, int]] = {}
        self._log: list[dict[str, object]] = []
        self._changed = threading.Condition()
        self._httpd = _Httpd(("127.0.0.1", port), _Handler)
        self._httpd.owner = self
        self.port = self._httpd.server_address[1]
        threading.Thread(target=self._httpd.serve_forever, daemon=True).start()

    def stop(self) -> None:
        """Stop answering."""
        self._httpd.shutdown()
        self._httpd.server_close()

    def put(self, key: str, value: bytes | dict[str, object]) -> int:
        """Write a key and return the store's revision."""
        content = value if isinstance(value, bytes) else json.dumps(value).encode()
        with self._changed:
            self.revision += 1
            self._value_by_key[key] = (content, self.revision)
            self._log.append(_item(key, content, self.revision))
            self._changed.notify_all()
            return self.revision

    def delete(self, key: str) -> None:
        """Remove a key."""
        with self._changed:
            self.revision += 1
            self._value_by_key.pop(key, None)
            self._log.append({"key": key, "revision": self.revision, "deleted": True})
            self._changed.notify_all()

    def forget_history(self) -> None:
        """Drop all changes; watches have to read anew."""
        with self._changed:
            self._oldest = self.revision
            self._log.clear()
            self._changed.notify_all()

    def range(self, prefix: str, after: str) -> dict[str, object]:
        """Return a page of the keys with a prefix."""
        with self._changed:
            keys = sorted(k for k in self._value_by_key if k.startswith(prefix) and k > after)
            items = [_item(key, *self._value_by_key[key]) for key in keys[:PAGE]]
            return {"items": items, "truncated": len(keys) > PAGE, "at": self.revision}

    def watch(self, prefix: str, after: int, wait_s: float) -> dict[str, object] | None:
        """Return the changes after a revision, None where they are forgotten."""
        with self._changed:
            if after < self._oldest:
                return None
            self._changed.wait_for(lambda: self._events(prefix, after), wait_s)
            if after < self._oldest:
                return None
            return {"events": self._events(prefix, after), "at": self.revision}

    def _events(self, prefix: str, after: int) -> list[dict[str, object]]:
        return [
            each
            for each in self._log
            if str(each["key"]).startswith(prefix) and int(str(each["revision"])) > after
        ]


def _item(key: str, content: bytes, revision: int) -> dict[str, object]:
    value = base64.b64encode(content).decode()
    return {"key": key, "value": value, "revision": revision, "created": revision, "lease": 0}


class _Httpd(http.server.ThreadingHTTPServer):
    daemon_threads = True
    owner: FakeStore

    def handle_error(self, request: object, client_address: object) -> None:
        """Callers break connections off on purpose."""


class _Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    server: _Httpd

    def log_message(self, *_: object) -> None:
        """Say nothing."""

    def do_GET(self) -> None:
        """Answer a read or a watch."""
        owner = self.server.owner
        owner.calls += 1
        parsed = urllib.parse.urlsplit(self.path)
        query = dict(urllib.parse.parse_qsl(parsed.query, keep_blank_values=True))
        prefix = query.get("pathPrefix", "")
        if owner.mode is Mode.RESET:
            self.close_connection = True
            return
        if owner.mode is Mode.BUSY:
            self._send(503, b"")
            return
        if parsed.path == names.STORE_RANGE_PATH:
            document = owner.range(prefix, query.get("after", ""))
        else:
            wait_s = int(query["waitMs"]) / 1000
            watched = owner.watch(prefix, int(query["after"]), wait_s)
            if watched is None:
                self._send(410, b"")
                return
            document = watched
        content = json.dumps(document).encode()
        if owner.mode is Mode.RUBBISH:
            content = b"\xff\x00" + content[2:]
        self._send(200, content)

    def _send(self, status: int, content: bytes) -> None:
        self.send_response(status)
        self.send_header("Content-Length", str(len(content)))
        self.end_headers()
        if self.server.owner.mode is Mode.TRUNCATED:
            content = content[: len(content) // 2]
            self.close_connection = True
        self.wfile.write(content)
