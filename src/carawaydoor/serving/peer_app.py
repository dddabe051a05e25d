"""The WSGI application that serves other instances."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any

from carawaydoor.serving import protocol_adapter

WsgiApp = Callable[[dict[str, Any], Any], Iterable[bytes]]


class PeerApp:
    """Serves the requests that peers pass on, and what they ask of this instance itself."""

    def __init__(
        self, adapter: protocol_adapter.ProtocolAdapter, forwarded: WsgiApp, own: WsgiApp
    ) -> None:
        self._adapter = adapter
        self._forwarded = forwarded
        self._own = own

    def __call__(self, environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        """Serve one request."""
        is_forwarded = self._adapter.is_forwarded(environ)
        return (self._forwarded if is_forwarded else self._own)(environ, start_response)
