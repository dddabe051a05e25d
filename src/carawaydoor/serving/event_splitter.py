"""Splits a stream into whole events, so that another engine can go on between two of them."""

from __future__ import annotations

import re
from typing import Final

_END_OF_EVENT: Final = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_EVENT_ID: Final = re.compile(rb"^id:[ ]?([^\r\n]*)", re.MULTILINE)
# Bytes of one event that are kept back; a longer one is no event of these engines.
MAX_EVENT_BYTES: Final = 1_000_000


class EventTooLongError(Exception):
    """The stream holds no end of an event for too long."""


class EventSplitter:
    """Keeps the bytes of an event back until it is whole.

    :ivar last_id: id of the last whole event, as the stream has it
    """

    def __init__(self, last_id: str = "") -> None:
        self.last_id = last_id
        self._incomplete = b""

    def feed(self, chunk: bytes) -> bytes:
        """Take a piece of the stream and return the events that it completes.

        :raises EventTooLongError: where an event does not end
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
        """Return what follows the last whole event, once the stream has ended."""
        remainder, self._incomplete = self._incomplete, b""
        return remainder

    def discard_incomplete(self) -> None:
        """Forget the part of an event that an engine did not complete."""
        self._incomplete = b""
