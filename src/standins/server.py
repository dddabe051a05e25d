"""HTTP server of the stand-ins."""

from __future__ import annotations

import signal
import sys
import threading
from collections.abc import Callable, Iterable
from typing import Any

import waitress.server

# Maximum time for which a thread holds the interpreter lock while others wait for it.
SWITCH_INTERVAL_S = 0.001

Environ = dict[str, Any]
StartResponse = Callable[[str, list[tuple[str, str]]], object]
App = Callable[[Environ, StartResponse], Iterable[bytes]]


def run(app: App, port: int, threads: int) -> None:
    """Serve on loopback until SIGTERM or SIGINT."""
    sys.setswitchinterval(SWITCH_INTERVAL_S)
    stop_requested = threading.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signal_number, lambda *_: stop_requested.set())
    server = waitress.server.create_server(
        app,
        host="127.0.0.1",
        port=port,
        threads=threads,
        channel_request_lookahead=1,
        connection_limit=4 * threads,
        max_request_body_size=64_000_000,
        send_bytes=1,
        ident=None,
        clear_untrusted_proxy_headers=True,
    )
    threading.Thread(target=server.run, daemon=True).start()
    stop_requested.wait()


def reply(
    start_response: StartResponse,
    status: str,
    body: bytes,
    *headers: tuple[str, str],
    content_type: str = "application/json",
) -> list[bytes]:
    """Start a response with a known length and return its body."""
    start_response(
        status,
        [("Content-Type", content_type), ("Content-Length", str(len(body))), *headers],
    )
    return [body]
