"""Stand-in for a plain service with status reads and bookings; counts the runs of each booking.

``/control`` sets the duration of bookings and injects a fault: ``crossed`` puts the id of another
request into the responses to reads.
"""

from __future__ import annotations

import argparse
import collections
import json
import threading
import time
from collections.abc import Iterable

from standins import server

SERVER_THREADS = 32


class Service:
    """WSGI application that counts its runs and the requests that carried credentials."""

    def __init__(self, delay_s: float) -> None:
        self._delay_s = delay_s
        self._runs_by_booking: collections.Counter[str] = collections.Counter()
        self._credentials_seen = 0
        self._reads = 0
        self._fault = ""
        self._lock = threading.Lock()

    def __call__(
        self, environ: server.Environ, start_response: server.StartResponse
    ) -> Iterable[bytes]:
        """Serve one request."""
        path = environ["PATH_INFO"]
        body = environ["wsgi.input"].read()
        if path == "/control":
            return self._control(environ, body, start_response)
        with self._lock:
            if "HTTP_AUTHORIZATION" in environ or "HTTP_COOKIE" in environ:
                self._credentials_seen += 1
        request_id_header = ("X-Request-Id", environ.get("HTTP_X_REQUEST_ID", ""))
        if environ["REQUEST_METHOD"] in ("GET", "HEAD"):
            return self._serve_read(path, start_response, request_id_header)
        return self._serve_booking(environ, body, start_response, request_id_header)

    def _serve_read(
        self, path: str, start_response: server.StartResponse, request_id_header: tuple[str, str]
    ) -> Iterable[bytes]:
        with self._lock:
            self._reads += 1
        if self._fault == "crossed":
            request_id_header = ("X-Request-Id", "another-request")
        document = {"path": path, "state": "open"}
        return server.reply(
            start_response, "200 OK", json.dumps(document).encode(), request_id_header
        )

    def _serve_booking(
        self,
        environ: server.Environ,
        body: bytes,
        start_response: server.StartResponse,
        request_id_header: tuple[str, str],
    ) -> Iterable[bytes]:
        booking = json.loads(body or b"{}").get("booking", "")
        with self._lock:
            self._runs_by_booking[str(booking)] += 1
            number = sum(self._runs_by_booking.values())
        time.sleep(self._delay_s)
        document = {"booking": booking, "number": number}
        return server.reply(
            start_response, "201 Created", json.dumps(document).encode(), request_id_header
        )

    def _control(
        self, environ: server.Environ, body: bytes, start_response: server.StartResponse
    ) -> Iterable[bytes]:
        if environ["REQUEST_METHOD"] == "POST":
            changes = json.loads(body)
            self._delay_s = changes.get("delay_s", self._delay_s)
            self._fault = changes.get("fault", self._fault)
        report = {
            "runs": dict(self._runs_by_booking),
            "reads": self._reads,
            "credentials_seen": self._credentials_seen,
        }
        return server.reply(start_response, "200 OK", json.dumps(report).encode())


def main() -> None:
    """Run the stand-in for a plain service."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--delay-s", type=float, default=0.02)
    options = parser.parse_args()
    server.run(Service(options.delay_s), options.port, SERVER_THREADS)


if __name__ == "__main__":
    main()
