"""Reads and watches the view and the configuration that the platform publishes."""

from __future__ import annotations

import dataclasses
import http.client
from typing import Final

from carawaydoor.operating import clocks, http_responses

RESPONSE_TIMEOUT_S: Final = 2.0
NOT_MODIFIED_STATUS: Final = 304
OK_STATUS: Final = 200


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformResponse:
    """The platform's response to a read.

    :ivar content: the document, None if there is no newer one than the caller has
    :ivar revision: newest revision that the platform has
    :ivar requested_s: when the request was sent
    """

    content: bytes | None
    revision: int
    requested_s: float


class PlatformError(Exception):
    """The platform did not give a usable response."""


class PlatformClient:
    """An HTTP client of the platform, which can hold a read until a newer revision exists."""

    def __init__(self, host: str, port: int, clock: clocks.Clock) -> None:
        self._host = host
        self._port = port
        self._clock = clock

    def watch_view(self, after: int, wait_s: float) -> PlatformResponse:
        """Wait for a view with a higher revision than ``after`` (long poll).

        :param wait_s: time in seconds after which the platform responds even without one
        :raises PlatformError: if the platform gives no usable response
        """
        return self._read(f"/v1/view?after={after}&wait_s={wait_s}", wait_s)

    def watch_manifest(self, after: int, wait_s: float) -> PlatformResponse:
        """Wait for a configuration manifest with a higher revision than ``after`` (long poll).

        :param wait_s: time in seconds after which the platform responds even without one
        :raises PlatformError: if the platform gives no usable response
        """
        return self._read(f"/v1/manifest?after={after}&wait_s={wait_s}", wait_s)

    def read_part(self, digest: str) -> bytes:
        """Return one part of the configuration.

        :raises PlatformError: if the platform gives no usable response
        """
        response = self._read(f"/v1/parts/{digest}", 0.0)
        if response.content is None:
            raise PlatformError(f"the response for part {digest} has no content")
        return response.content

    def _read(self, path: str, wait_s: float) -> PlatformResponse:
        requested_s = self._clock.now_s()
        connection = http_responses.use_whole_responses(
            http.client.HTTPConnection(self._host, self._port, timeout=wait_s + RESPONSE_TIMEOUT_S)
        )
        try:
            connection.request("GET", path)
            response = connection.getresponse()
            content = response.read()
        except (OSError, http.client.HTTPException) as error:
            raise PlatformError(repr(error)) from error
        finally:
            connection.close()
        if response.status not in (OK_STATUS, NOT_MODIFIED_STATUS):
            raise PlatformError(f"status {response.status}")
        etag = response.getheader("ETag", "0").strip('"')
        revision = int(etag) if etag.isdecimal() else 0
        return PlatformResponse(
            content if response.status == OK_STATUS else None, revision, requested_s
        )
