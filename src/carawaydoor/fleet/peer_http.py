"""Requests from one instance to the HTTP server of another one."""

from __future__ import annotations

import http.client
import urllib.parse
from collections.abc import Mapping
from typing import Final

from carawaydoor.operating import http_responses

MAX_RESPONSE_BYTES: Final = 16_000_000


class PeerError(Exception):
    """The other instance gave no response."""


def get(
    host: str, port: int, path: str, query: Mapping[str, object], timeout_s: float
) -> tuple[int, bytes]:
    """Return the status and the content of a response.

    :param timeout_s: longest wait in seconds for each part of the exchange
    :raises PeerError: if there is no whole response
    """
    connection = http_responses.use_whole_responses(
        http.client.HTTPConnection(host, port, timeout=timeout_s)
    )
    try:
        connection.request("GET", f"{path}?{urllib.parse.urlencode(query)}")
        response = connection.getresponse()
        content = response.read(MAX_RESPONSE_BYTES)
        if response.length:
            # http.client raises no error for a part of a body if a size was given.
            raise PeerError(f"{response.length} bytes of the body are missing")
        return response.status, content
    except (OSError, http.client.HTTPException) as error:
        raise PeerError(repr(error)) from error
    finally:
        connection.close()
