"""Reads and watches what the platform publishes; writes nothing."""

from __future__ import annotations

import dataclasses
import http.client
from typing import Final

from carawaydoor.operating import clocks

READ_TIMEOUT_S: Final = 2.0
NOT_MODIFIED: Final = 304
OK: Final = 200


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformResponse:
    """An answer of the platform.

    :ivar content: the document, None where there is none newer than the one at hand
    :ivar revision: revision of the newest document that the platform has
    :ivar asked_s: when the question was sent
    """

    content: bytes | None
    revision: int
    asked_s: float


class PlatformError(Exception):
    """The platform did not answer."""


class PlatformClient:
    """A client of the read-and-watch service."""

    def __init__(self, host: str, port: int, clock: clocks.Clock) -> None:
        self._host = host
        self._port = port
        self._clock = clock

    def watch_view(self, after: int, wait_s: float) -> PlatformResponse:
        """Return the list of instances and upstreams once it is newer than ``after``.

        :param wait_s: longest time in seconds that the platform holds the question
        :raises PlatformError: where there is no answer
        """
        return self._read(f"/v1/view?after={after}&wait_s={wait_s}", wait_s)

    def watch_manifest(self, after: int, wait_s: float) -> PlatformResponse:
        """Return the manifest of the configuration once it is newer than ``after``.

        :raises PlatformError: where there is no answer
        """
        return self._read(f"/v1/manifest?after={after}&wait_s={wait_s}", wait_s)

    def read_part(self, digest: str) -> bytes:
        """Return one part of the configuration.

        :raises PlatformError: where there is no answer
        """
        reading = self._read(f"/v1/parts/{digest}", 0.0)
        if reading.content is None:
            raise PlatformError(f"part {digest} does not exist")
        return reading.content

    def _read(self, path: str, wait_s: float) -> PlatformResponse:
        asked_s = self._clock.now_s()
        connection = http.client.HTTPConnection(
            self._host, self._port, timeout=wait_s + READ_TIMEOUT_S
        )
        try:
            connection.request("GET", path)
            response = connection.getresponse()
            content = response.read()
        except (OSError, http.client.HTTPException) as error:
            raise PlatformError(repr(error)) from error
        finally:
            connection.close()
        if response.status not in (OK, NOT_MODIFIED):
            raise PlatformError(f"status {response.status}")
        tag = response.getheader("ETag", "0").strip('"')
        revision = int(tag) if tag.isdecimal() else 0
        return PlatformResponse(content if response.status == OK else None, revision, asked_s)
