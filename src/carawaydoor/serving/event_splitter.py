"""Recognizes streams of server-sent events, and splits them so that they can be resumed."""

from __future__ import annotations

import contextlib
import re
from collections.abc import Generator, Iterator
from typing import Final

from carawaydoor.policy import stream_sequence
from carawaydoor.serving import connections, response_budget

_END_OF_EVENT: Final = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_EVENT_ID: Final = re.compile(rb"(?:^|[\r\n])id:[ ]?([^\r\n]*)")
# Spares most events the patterns below.
_USUAL_EVENT: Final = re.compile(rb"id: ?([0-9]{1,18})\n(?:data:[^\r\n]*+\n)++\n")
_LINE_END: Final = rb"(?:\r\n|\r|\n)"
_COMMENT_LINES: Final = re.compile(rb"(?:(?:(?::|retry:)[^\r\n]*+)?" + _LINE_END + rb")*+")
# A field has a name, and a colon unless it has no value.
_EVENT_LINES: Final = re.compile(
    rb"(?:(?::[^\r\n]*+|[A-Za-z][A-Za-z0-9_.-]*+(?::[^\r\n]*+)?)?" + _LINE_END + rb")*+"
)
# The engines send far smaller events; a longer one means that the stream is malformed.
MAX_EVENT_BYTES: Final = 262_144
# Of the longest end of an event; the rest of it may come with the next chunk.
_MAX_PARTIAL_END_BYTES: Final = 3


def head_of(response: connections.UpstreamResponse) -> stream_sequence.Head:
    """Return what the head of a response says of its body."""
    header_by_name = response.header_by_name
    return stream_sequence.Head(
        response.status,
        header_by_name.get("content-type", ""),
        header_by_name.get("content-encoding", ""),
    )


def ends_inside_event(end: bytes) -> bool:
    """Return whether a stream of events ends before the end of its last event.

    :param end: its last bytes
    """
    return bool(end) and not end.endswith((b"\n\n", b"\r\n\r\n", b"\r\r"))


def parse_events(complete: bytes) -> Iterator[tuple[bytes, stream_sequence.Event]]:
    """Yield complete events, each with what their order depends on."""
    start = 0
    while start < len(complete):
        usual = _USUAL_EVENT.match(complete, start)
        if usual is not None:
            event_id = usual.group(1)
            yield usual.group(), stream_sequence.Event((event_id.decode(),), int(event_id))
            start = usual.end()
            continue
        match = _END_OF_EVENT.search(complete, start)
        if match is None:
            return
        content, start = complete[start : match.end()], match.end()
        yield content, _parse_event(content)


def _parse_event(content: bytes) -> stream_sequence.Event:
    ids = tuple(each.decode("latin-1").strip() for each in _EVENT_ID.findall(content))
    is_comment = not ids and _COMMENT_LINES.fullmatch(content) is not None
    has_foreign_line = _EVENT_LINES.fullmatch(content) is None
    return stream_sequence.event_with(
        *ids, is_comment=is_comment, has_foreign_line=has_foreign_line
    )


class EventTooLongError(connections.MalformedResponseError):
    """An event exceeds the size limit."""


class EventSplitter:
    """Buffers the bytes of an event until it is complete.

    :param reservation: memory for the incomplete event

    :ivar events: number of complete events so far
    """

    def __init__(self, reservation: response_budget.Reservation) -> None:
        self.events = 0
        self._reservation = reservation
        self._incomplete = bytearray()

    def feed(self, chunk: bytes) -> bytes:
        """Add a chunk of the stream and return the events that are now complete.

        :raises EventTooLongError: if an incomplete event exceeds the size limit, or the memory left
        """
        content = self._incomplete
        first_new = max(0, len(content) - _MAX_PARTIAL_END_BYTES)
        content += chunk
        end = 0
        for match in _END_OF_EVENT.finditer(content, first_new):
            end = match.end()
            self.events += 1
        complete = bytes(content[:end])
        del content[:end]
        if len(content) > MAX_EVENT_BYTES or not self._reservation.resize(len(content)):
            raise EventTooLongError(f"no room for more than {len(content)} bytes of an event")
        return complete

    def take_remainder(self) -> bytes:
        """Return and remove the bytes after the last complete event."""
        remainder, self._incomplete = bytes(self._incomplete), bytearray()
        return remainder

    def discard_incomplete(self) -> None:
        """Discard the bytes after the last complete event."""
        self._incomplete.clear()

    def close(self) -> None:
        """Discard what is buffered, and hold no memory any more."""
        self.discard_incomplete()
        self._reservation.close()


def with_first(first: bytes, chunks: Generator[bytes]) -> Iterator[bytes]:
    """Yield a chunk that has been awaited already, and then the others."""
    with contextlib.closing(chunks):
        if first:
            yield first
        yield from chunks
