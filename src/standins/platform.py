"""Stand-in for the platform: serves the configuration and the list of instances and upstreams.

The documents are read from a directory with ``view.json`` and ``config/``, the output of
``carawaydoor build``. ``/control`` injects faults: ``down`` answers every request with 503,
``stale`` freezes both documents. ``--lag-s`` delays each change of the view.
"""

from __future__ import annotations

import argparse
import json
import pathlib
import threading
import time
import urllib.parse
from collections.abc import Iterable

from standins import server

SERVER_THREADS = 64
POLL_INTERVAL_S = 0.02
MAX_WAIT_S = 30.0


class Platform:
    """WSGI application that serves the documents in a directory."""

    def __init__(self, directory: pathlib.Path, lag_s: float) -> None:
        self._directory = directory
        self._lag_s = lag_s
        self._down = False
        self._stale_content_by_name: dict[str, bytes] | None = None
        self._reads = 0
        self._lock = threading.Lock()
        self._versions_by_name: dict[str, list[tuple[float, bytes]]] = {"view": [], "manifest": []}

    def __call__(
        self, environ: server.Environ, start_response: server.StartResponse
    ) -> Iterable[bytes]:
        """Serve one request."""
        path = environ["PATH_INFO"]
        query = urllib.parse.parse_qs(environ.get("QUERY_STRING", ""))
        if path == "/control":
            return self._control(environ, start_response)
        with self._lock:
            self._reads += 1
        if self._down:
            return server.reply(start_response, "503 Service Unavailable", b"{}")
        if path in ("/v1/view", "/v1/manifest"):
            return self._long_poll(path.rpartition("/")[2], query, start_response)
        if path.startswith("/v1/parts/"):
            return self._serve_part(path.rpartition("/")[2], start_response)
        return server.reply(start_response, "404 Not Found", b"{}")

    def _long_poll(
        self, name: str, query: dict[str, list[str]], start_response: server.StartResponse
    ) -> Iterable[bytes]:
        after = int(query.get("after", ["0"])[0])
        wait_s = min(MAX_WAIT_S, float(query.get("wait_s", ["0"])[0]))
        deadline_s = time.monotonic() + wait_s
        while True:
            content = self._read_document(name)
            revision = json.loads(content)["revision"] if content else 0
            etag = ("ETag", f'"{revision}"')
            if revision > after:
                return server.reply(start_response, "200 OK", content, etag)
            if time.monotonic() >= deadline_s or self._down:
                return server.reply(start_response, "304 Not Modified", b"", etag)
            time.sleep(POLL_INTERVAL_S)

    def _read_document(self, name: str) -> bytes:
        if self._stale_content_by_name is not None:
            return self._stale_content_by_name[name]
        path = "view.json" if name == "view" else "config/manifest.json"
        try:
            content = (self._directory / path).read_bytes()
        except OSError:
            content = b""
        if name == "manifest" or self._lag_s <= 0.0:
            return content
        return self._lagged_content(name, content)

    def _lagged_content(self, name: str, content: bytes) -> bytes:
        now_s = time.monotonic()
        with self._lock:
            versions = self._versions_by_name[name]
            if not versions or versions[-1][1] != content:
                versions.append((now_s if versions else 0.0, content))
            visible = [each for each in versions if now_s - each[0] >= self._lag_s]
            return visible[-1][1] if visible else b""

    def _serve_part(self, digest: str, start_response: server.StartResponse) -> Iterable[bytes]:
        path = self._directory / "config" / "parts" / pathlib.PurePath(digest).name
        if not path.exists():
            return server.reply(start_response, "404 Not Found", b"{}")
        content_type = "application/octet-stream"
        return server.reply(start_response, "200 OK", path.read_bytes(), content_type=content_type)

    def _control(
        self, environ: server.Environ, start_response: server.StartResponse
    ) -> Iterable[bytes]:
        if environ["REQUEST_METHOD"] == "POST":
            changes = json.loads(environ["wsgi.input"].read())
            self._down = changes.get("down", self._down)
            if "stale" in changes:
                self._stale_content_by_name = None
                if changes["stale"]:
                    self._stale_content_by_name = {
                        name: self._read_document(name) for name in ("view", "manifest")
                    }
        return server.reply(start_response, "200 OK", json.dumps({"reads": self._reads}).encode())


def main() -> None:
    """Run the stand-in for the platform."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--directory", type=pathlib.Path, required=True)
    parser.add_argument("--lag-s", type=float, default=0.0)
    options = parser.parse_args()
    server.run(Platform(options.directory, options.lag_s), options.port, SERVER_THREADS)


if __name__ == "__main__":
    main()
