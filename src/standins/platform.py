"""Stand-in of the platform: a read-and-watch service and the list of instances and upstreams.

The documents lie in a directory: ``view.json``, and ``config/`` as ``carawaydoor build`` writes
it. ``/control`` sets faults: down, stale (both documents stay as they were) and a lag.
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

THREADS = 64
POLL_S = 0.02
MAX_WAIT_S = 30.0


class Platform:
    """Serves the documents of a directory."""

    def __init__(self, directory: pathlib.Path, lag_s: float) -> None:
        self._directory = directory
        self._lag_s = lag_s
        self._down = False
        self._frozen: dict[str, bytes] | None = None
        self._reads = 0
        self._lock = threading.Lock()
        self._seen: dict[str, list[tuple[float, bytes]]] = {"view": [], "manifest": []}

    def __call__(
        self, environ: server.Environ, start_response: server.StartResponse
    ) -> Iterable[bytes]:
        """Answer one request."""
        path = environ["PATH_INFO"]
        query = urllib.parse.parse_qs(environ.get("QUERY_STRING", ""))
        if path == "/control":
            return self._control(environ, start_response)
        with self._lock:
            self._reads += 1
        if self._down:
            return server.reply(start_response, "503 Service Unavailable", b"{}")
        if path in ("/v1/view", "/v1/manifest"):
            return self._watch(path.rpartition("/")[2], query, start_response)
        if path.startswith("/v1/parts/"):
            return self._part(path.rpartition("/")[2], start_response)
        return server.reply(start_response, "404 Not Found", b"{}")

    def _watch(
        self, name: str, query: dict[str, list[str]], start_response: server.StartResponse
    ) -> Iterable[bytes]:
        after = int(query.get("after", ["0"])[0])
        wait_s = min(MAX_WAIT_S, float(query.get("wait_s", ["0"])[0]))
        until_s = time.monotonic() + wait_s
        while True:
            content = self._read(name)
            revision = json.loads(content)["revision"] if content else 0
            tag = ("ETag", f'"{revision}"')
            if revision > after:
                return server.reply(start_response, "200 OK", content, tag)
            if time.monotonic() >= until_s or self._down:
                return server.reply(start_response, "304 Not Modified", b"", tag)
            time.sleep(POLL_S)

    def _read(self, name: str) -> bytes:
        if self._frozen is not None:
            return self._frozen[name]
        path = "view.json" if name == "view" else "config/manifest.json"
        try:
            content = (self._directory / path).read_bytes()
        except OSError:
            content = b""
        if name == "manifest" or self._lag_s <= 0.0:
            return content
        return self._lagging(name, content)

    def _lagging(self, name: str, content: bytes) -> bytes:
        now_s = time.monotonic()
        with self._lock:
            seen = self._seen[name]
            if not seen or seen[-1][1] != content:
                seen.append((now_s if seen else 0.0, content))
            old = [each for each in seen if now_s - each[0] >= self._lag_s]
            return old[-1][1] if old else b""

    def _part(self, digest: str, start_response: server.StartResponse) -> Iterable[bytes]:
        path = self._directory / "config" / "parts" / pathlib.PurePath(digest).name
        if not path.exists():
            return server.reply(start_response, "404 Not Found", b"{}")
        content_type = "application/octet-stream"
        return server.reply(start_response, "200 OK", path.read_bytes(), content_type=content_type)

    def _control(
        self, environ: server.Environ, start_response: server.StartResponse
    ) -> Iterable[bytes]:
        if environ["REQUEST_METHOD"] == "POST":
            wanted = json.loads(environ["wsgi.input"].read())
            self._down = wanted.get("down", self._down)
            if "stale" in wanted:
                self._frozen = None
                if wanted["stale"]:
                    self._frozen = {name: self._read(name) for name in ("view", "manifest")}
        return server.reply(start_response, "200 OK", json.dumps({"reads": self._reads}).encode())


def main() -> None:
    """Run the stand-in."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--directory", type=pathlib.Path, required=True)
    parser.add_argument("--lag-s", type=float, default=0.0)
    options = parser.parse_args()
    server.run(Platform(options.directory, options.lag_s), options.port, THREADS)


if __name__ == "__main__":
    main()
