"""Recognizes streams of server-sent events, and splits them so that they can be resumed."""

from __future__ import annotations

import re
from typing import Final

from carawaydoor.serving import connections

EVENT_STREAM_TYPE: Final = "text/event-stream"
MIN_UNSUCCESSFUL_STATUS: Final = 300

_END_OF_EVENT: Final = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_EVENT_ID: Final = re.compile(rb"^id:[ ]?([^\r\n]*)", re.MULTILINE)
# The engines send far smaller events; a longer one means that the stream is malformed.
MAX_EVENT_BYTES: Final = 1_000_000


def is_event_stream(response: connections.UpstreamResponse) -> bool:
    """Return whether a response on a streaming route is a successful stream of events."""
    if "content-type" in response.header_by_name:
        return is_declared_event_stream(response)
    return response.status < MIN_UNSUCCESSFUL_STATUS


def is_declared_event_stream(response: connections.UpstreamResponse) -> bool:
    """Return whether a successful response says that it is a stream of events."""
    content_type = response.header_by_name.get("content-type", "").strip().lower()
    return response.status < MIN_UNSUCCESSFUL_STATUS and content_type.startswith(EVENT_STREAM_TYPE)


def ends_inside_event(content: bytes) -> bool:
    """Return whether a stream of events ends before the end of its last event."""
    end = max((each.end() for each in _END_OF_EVENT.finditer(content)), default=0)
    return end < len(content)


class EventTooLongError(connections.MalformedResponseError):
    """An event exceeds the size limit."""


class EventSplitter:
    """Buffers the bytes of an event until it is complete.

    :ivar last_id: id of the last complete event that has one
    """

    def __init__(self, last_id: str = "") -> None:
        self.last_id = last_id
        self._incomplete = b""

    def feed(self, chunk: bytes) -> bytes:
        """Add a chunk of the stream and return the events that are now complete.

        :raises EventTooLongError: if an incomplete event exceeds the size limit
        """
        content = self._incomplete + chunk
        end = 0
        for match in _END_OF_EVENT.finditer(content):
            end = match.end()
        complete, self._incomplete = content[:end], content[end:]
        if len(self._incomplete) > MAX_EVENT_BYTES:
            raise EventTooLongError(f"an event exceeds {MAX_EVENT_BYTES} bytes")
        ids = _EVENT_ID.findall(complete)
        if ids:
            self.last_id = ids[-1].decode("latin-1").strip()
        return complete

    def take_remainder(self) -> bytes:
        """Return and remove the bytes after the last complete event."""
        remainder, self._incomplete = self._incomplete, b""
        return remainder

    def discard_incomplete(self) -> None:
        """Discard the bytes after the last complete event."""
        self._incomplete = b""
