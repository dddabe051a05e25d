"""Asks another instance where a stream began, over HTTP."""

from __future__ import annotations

from typing import Annotated, Final

import pydantic

from carawaydoor.fleet import peer_http
from carawaydoor.policy import stream_versions

ORIGIN_PATH: Final = "/streams/origin"
# The caller waits for the answer; an instance that is slower has failed or is cut off.
TIMEOUT_S: Final = 0.3
_OK_STATUS: Final = 200
_UNKNOWN_STATUS: Final = 404

_Name = Annotated[str, pydantic.Field(max_length=1000)]


class _Origin(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="ignore", strict=True)

    service: _Name
    version: _Name


class QueryError(Exception):
    """The other instance gave no valid response."""


def encode(origin: stream_versions.Origin) -> bytes:
    """Encode the response for a stream that is remembered."""
    return _Origin(service=origin.service, version=origin.version).model_dump_json().encode()


def fetch(host: str, port: int, key: str) -> stream_versions.Origin | None:
    """Return where a stream began, None if the other instance doesn't remember it.

    :raises QueryError: if it gives no valid response
    """
    try:
        status, content = peer_http.get(host, port, ORIGIN_PATH, {"key": key}, TIMEOUT_S)
    except peer_http.PeerError as error:
        raise QueryError(str(error)) from error
    if status == _UNKNOWN_STATUS:
        return None
    if status != _OK_STATUS:
        raise QueryError(f"status {status}")
    try:
        document = _Origin.model_validate_json(content)
    except pydantic.ValidationError as error:
        raise QueryError(f"malformed response: {error!r}") from error
    return stream_versions.Origin(document.service, document.version)
