"""What may follow the events of a stream that its caller has.

The rest of a stream may come from another upstream than its beginning: after a break, or when its
caller takes it up again. That a response is one to the right request does not make it the rest. It
has to be a stream of events of the same type, whose first event comes after the last one before the
break, whose ids rise, and that ends after at least one event.

Anything else has a :class:`Defect`, and the same follows from each: neither what is wrong nor what
comes after it reaches the caller, its upstream is not asked again for this stream, and another one
may be asked within the attempts of the route. If none is left, the caller gets a refusal, or a
truncated response once that has begun, and can take the stream up again.
"""

from __future__ import annotations

import dataclasses
import enum
import re
from typing import Final

EVENT_STREAM_TYPE: Final = "text/event-stream"
# What callers without an event may name. It is also the first id of streams that count from 0.
_NO_EVENT_ID: Final = "0"
_SUCCESS_STATUS: Final = 200
# Responses of this and higher statuses are relayed as they are.
_MIN_UNSUCCESSFUL_STATUS: Final = 300
# Longer ids are not compared as numbers.
_MAX_NUMBER_DIGITS: Final = 40
# Streams count their events from either.
_FIRST_NUMBERS: Final = frozenset({0, 1})
_CHARSET: Final = re.compile(r";\s*charset\s*=\s*\"?([^\s;,\"]*)", re.IGNORECASE)
# The only one of streams of events, so it may be left out.
_CHARSET_OF_STREAMS: Final = "utf-8"
_IDENTITY: Final = "identity"


class Defect(enum.StrEnum):
    """Why something is not the rest of a stream."""

    STATUS = "status"
    CONTENT_TYPE = "content_type"
    CONTENT_ENCODING = "content_encoding"
    WITHOUT_ID = "without_id"
    SEVERAL_IDS = "several_ids"
    # A line that is none of an event, such as text or the status line of another response.
    FOREIGN_LINE = "foreign_line"
    NOT_A_NUMBER = "not_a_number"
    NOT_RISING = "not_rising"
    GAP = "gap"
    NO_EVENT = "no_event"


class Step(enum.StrEnum):
    """How the id of an event relates to the last one before it."""

    # By one from the last one, or the first one of a new stream.
    NEXT = "next"
    AHEAD = "ahead"
    NOT_RISING = "not_rising"
    # No id, several ones, or one that is not a number.
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True)
class Head:
    """What the head of a response says of its body.

    :ivar content_type: empty if it is not stated
    :ivar content_encoding: empty if it is not stated
    """

    status: int
    content_type: str = ""
    content_encoding: str = ""

    @property
    def is_unsuccessful(self) -> bool:
        """Whether the response is a failure or a redirect, which no caller takes for a stream."""
        return self.status >= _MIN_UNSUCCESSFUL_STATUS

    @property
    def is_stream(self) -> bool:
        """Whether the response on a streaming route is a stream of events."""
        return not self.is_unsuccessful and (not self.content_type or self.is_declared_stream)

    @property
    def is_declared_stream(self) -> bool:
        """Whether a successful response says that it is a stream of events."""
        # Repeated headers are joined by commas.
        types = {each.partition(";")[0].strip().lower() for each in self.content_type.split(",")}
        return not self.is_unsuccessful and types == {EVENT_STREAM_TYPE}

    @property
    def charset(self) -> str:
        """Charset of the body, in lower case."""
        match = _CHARSET.search(self.content_type)
        charset = match.group(1).lower() if match else _CHARSET_OF_STREAMS
        return _CHARSET_OF_STREAMS if charset == "utf8" else charset

    @property
    def encoding(self) -> str:
        """Encoding of the body, in lower case."""
        return self.content_encoding.strip().lower() or _IDENTITY


@dataclasses.dataclass(slots=True)
class Event:
    """A complete event of a stream.

    :ivar ids: values of its id fields, usually one
    :ivar number: the only id as a number, None if there is none, several, or no number
    :ivar is_comment: whether it only keeps the connection open and is nothing to a caller
    :ivar has_foreign_line: whether a line is none of an event
    """

    ids: tuple[str, ...] = ()
    number: int | None = None
    is_comment: bool = False
    has_foreign_line: bool = False


def event_with(*ids: str, is_comment: bool = False, has_foreign_line: bool = False) -> Event:
    """Return the event with these ids."""
    number = number_of(ids[0]) if len(ids) == 1 else None
    return Event(ids, number, is_comment, has_foreign_line)


def head_defect(head: Head, begun: Head | None) -> Defect | None:
    """Return why a response can't be the rest of a stream, judging by its head.

    :param begun: head that the caller got with the beginning of the stream, None if that was another
        response
    """
    if head.status != _SUCCESS_STATUS:
        return Defect.STATUS
    may_be_undeclared = begun is None or not begun.content_type
    if not (head.is_declared_stream or (not head.content_type and may_be_undeclared)):
        return Defect.CONTENT_TYPE
    if begun is not None and head.charset != begun.charset:
        return Defect.CONTENT_TYPE
    if head.encoding != (_IDENTITY if begun is None else begun.encoding):
        return Defect.CONTENT_ENCODING
    return None


def number_of(event_id: str) -> int | None:
    """Return an event id as a number, None if it is none."""
    is_number = event_id.isdecimal() and event_id.isascii()
    return int(event_id) if is_number and len(event_id) <= _MAX_NUMBER_DIGITS else None


def resumed_after(last_event_id: str, resumes: str) -> str:
    """Return the id of the event after which a caller takes a stream up, empty for a new stream.

    :param last_event_id: id of the last event that the caller says it has, empty for none
    :param resumes: id of the attempt that brought the first event of the stream, empty for none
    """
    # A caller that has an event can name the attempt that brought it.
    return "" if last_event_id == _NO_EVENT_ID and not resumes else last_event_id


class EventSequence:
    """The events of one stream that its caller has, whichever upstreams they came from.

    :param last_id: id of the event after which the caller goes on, empty for a new stream

    :ivar last_id: id of the last event that has one
    :ivar is_empty: whether none of them came in this response
    """

    def __init__(self, last_id: str = "") -> None:
        self.last_id = last_id
        self._last_number = number_of(self.last_id)
        self.is_empty = True
        # Whether the last event can be named, so that an upstream can go on after it.
        self._is_last_known = True
        # Whether all ids so far rose by one, None while that is unknown.
        self._rises_by_one: bool | None = None

    @property
    def is_begun(self) -> bool:
        """Whether the caller has an event, from this response or an earlier one."""
        return not self.is_empty or bool(self.last_id)

    @property
    def can_go_on(self) -> bool:
        """Whether another upstream can be told after which event to go on."""
        return self.is_empty or self._is_last_known

    def step(self, event: Event) -> Step:
        """Return how an event follows the last one that has a number."""
        number, last = event.number, self._last_number
        if number is None or (last is None and self.last_id):
            return Step.UNKNOWN
        if last is None:
            return Step.NEXT if number in _FIRST_NUMBERS else Step.AHEAD
        if number <= last:
            return Step.NOT_RISING
        return Step.NEXT if number == last + 1 else Step.AHEAD

    def defect(self, event: Event, step: Step, begins_rest: bool) -> Defect | None:
        """Return why an event can't follow.

        :param begins_rest: whether it is the first one of the rest of this stream
        """
        if event.is_comment:
            return None
        if len(event.ids) > 1:
            return Defect.SEVERAL_IDS
        if event.has_foreign_line and (begins_rest or self._last_number is not None):
            return Defect.FOREIGN_LINE
        if begins_rest:
            return self._defect_of_rest(event, step)
        return Defect.NOT_RISING if step is Step.NOT_RISING else None

    def record(self, event: Event, step: Step) -> None:
        """Add an event that the caller gets."""
        if event.is_comment:
            return
        self.is_empty = False
        self._is_last_known = event.number is not None
        if event.ids:
            self.last_id = event.ids[0]
        if event.number is None:
            return
        is_first, self._last_number = self._last_number is None, event.number
        if step is Step.AHEAD and not is_first:
            self._rises_by_one = False
        elif step is Step.NEXT and self._rises_by_one is None:
            self._rises_by_one = True

    def _defect_of_rest(self, event: Event, step: Step) -> Defect | None:
        if not event.ids:
            return Defect.WITHOUT_ID
        if self._last_number is None:
            # Named by a caller; such ids have no order that is known here.
            return Defect.NOT_RISING if event.ids[0] == self.last_id else None
        match step:
            case Step.UNKNOWN:
                return Defect.NOT_A_NUMBER
            case Step.NOT_RISING:
                return Defect.NOT_RISING
            case Step.AHEAD if self._rises_by_one:
                return Defect.GAP
        return None


class SequenceLog:
    """Counts how the events of one upstream follow each other.

    :ivar first_id: id of the first event of this upstream, None before it
    """

    def __init__(self) -> None:
        self.first_id: str | None = None
        self.count_by_step: dict[Step, int] = dict.fromkeys(Step, 0)

    def record(self, event: Event, step: Step) -> None:
        """Count one more event."""
        if event.is_comment:
            return
        self.count_by_step[step] += 1
        if self.first_id is None:
            self.first_id = event.ids[0] if event.ids else ""
