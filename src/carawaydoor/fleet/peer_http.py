"""Requests from one instance to the HTTP server of another one."""

from __future__ import annotations

import http.client
import urllib.parse
from collections.abc import Callable, Mapping
from typing import Final

from carawaydoor.operating import http_responses

MAX_RESPONSE_BYTES: Final = 16_000_000
# Read at a time, which at a few megabits a second takes some hundredths of a second.
_PART_BYTES: Final = 16_384
# Peers are near, so a longer wait means that this one has failed.
CONNECT_TIMEOUT_S: Final = 0.2


class PeerError(Exception):
    """The other instance gave no response."""


def get(
    host: str,
    port: int,
    path: str,
    query: Mapping[str, object],
    timeout_s: float,
    is_overdue: Callable[[], bool] = lambda: False,
) -> tuple[int, bytes]:
    """Return the status and the content of a response.

    :param timeout_s: longest wait in seconds for each part of the exchange
    :param is_overdue: returns whether the whole exchange has taken too long
    :raises PeerError: if there is no whole response
    """
    connection = http_responses.use_whole_responses(
        http.client.HTTPConnection(host, port, timeout=min(timeout_s, CONNECT_TIMEOUT_S))
    )
    try:
        connection.connect()
        connection.sock.settimeout(timeout_s)
        connection.request("GET", f"{path}?{urllib.parse.urlencode(query)}")
        response = connection.getresponse()
        parts: list[bytes] = []
        size = 0
        while size < MAX_RESPONSE_BYTES and (part := response.read(_PART_BYTES)):
            parts.append(part)
            size += len(part)
            if response.length != 0 and is_overdue():
                raise PeerError(f"only {size} bytes arrived in time")
        if response.length:
            # http.client raises no error for a part of a body if a size was given.
            raise PeerError(f"{response.length} bytes of the body are missing")
        return response.status, b"".join(parts)
    except (OSError, http.client.HTTPException) as error:
        raise PeerError(repr(error)) from error
    finally:
        connection.close()
