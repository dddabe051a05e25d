"""Checks the events of streams, in each answer and over all attempts of a caller."""

from __future__ import annotations

import collections
import dataclasses
import re
from collections.abc import Container, Iterable, Iterator
from typing import Final

from carawaydoor.platform import names
from tests.platform_side import fake_upstream
from tools.soak import callers, soak_environment

_EVENT: Final = re.compile(rb"id: (\d+)\ndata: \1 (\S+)(?: (run-\S+))?\n\n")
_COMMENT: Final = re.compile(rb":[^\n]*\n\n")
_COMMENT_START: Final = re.compile(rb":[^\n]*\n?")
_REST_OF_EVENT: Final = re.compile(rb"[^\n]*\n?")
_SHOWN_BYTES: Final = 40
_REDIRECTION: Final = 300


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """A complete event.

    :ivar version: software version of the engine that wrote it
    :ivar run: names the run of the stream, empty for one that goes on after another event
    """

    number: int
    version: str
    run: str = ""


def parse(body: bytes) -> tuple[list[Event], bytes]:
    """Return the complete events at the start of a body, and what follows them."""
    events = []
    position = 0
    while match := _EVENT.match(body, position) or _COMMENT.match(body, position):
        if match.re is _EVENT:
            run = (match.group(3) or b"").decode()
            events.append(Event(int(match.group(1)), match.group(2).decode(), run))
        position = match.end()
    return events, body[position:]


def begun_with_gap(environment: soak_environment.SoakEnvironment) -> set[str]:
    """Return the ids of requests for the rest of a stream that an engine answered with a gap."""
    return {
        request.header(names.Header.REQUEST_ID) or ""
        for upstream in environment.upstream_by_name.values()
        for request in upstream.received
        if request.behaviour is fake_upstream.Behaviour.CONTINUE_WITH_GAP
    }


def find_fault(outcome: callers.Outcome, may_skip_event: bool = False) -> str:
    """Return what is wrong with the body of a stream, empty for nothing.

    An engine may answer a new request with the body of a plain one, but not a request that goes on.

    :param may_skip_event: whether an engine left out the event after the one that the caller named,
        which an instance can't tell, since it doesn't know the ids before
    """
    if not outcome.resumes and _is_plain(outcome):
        return ""
    events, rest = parse(outcome.body)
    last = outcome.after_event
    if may_skip_event and _skips_event(outcome):
        last += 1
    for event in events:
        if event.number != last + 1:
            return f"has event {event.number} after event {last}"
        last = event.number
    if rest and (outcome.is_complete or not _may_begin_event(rest, last + 1)):
        return f"has {rest[:_SHOWN_BYTES]!r} after event {last}"
    if outcome.is_complete and last != soak_environment.EVENTS_PER_STREAM:
        return f"looks complete after event {last}"
    return ""


def find_faulty(
    outcomes: Iterable[callers.Outcome], with_gap: Container[str] = ()
) -> Iterator[str]:
    """Yield streams with anything but events that follow each other, whole or broken off.

    :param with_gap: ids of requests for the rest of a stream that an engine answered with a gap
    """
    for each in outcomes:
        if not each.is_stream:
            continue
        end = "complete" if each.is_complete else "truncated"
        if each.status != callers.SUCCESS:
            # A caller may take another success for the end of the stream that it takes up.
            is_other_success = each.resumes and callers.SUCCESS < each.status < _REDIRECTION
            if is_other_success or _EVENT.search(each.body):
                yield f"{each.id} {each.path} has the status {each.status} ({end})"
        elif fault := find_fault(each, each.id in with_gap):
            yield f"{each.id} {each.path} {fault} ({end}, taken up after {each.after_event})"


def find_joined(outcomes: Iterable[callers.Outcome]) -> Iterator[str]:
    """Yield streams with events of several versions or runs, over all attempts of a caller.

    A run that goes on after an event of another one has no name of its own.
    """
    versions_by_stream: dict[str, set[str]] = collections.defaultdict(set)
    runs_by_stream: dict[str, set[str]] = collections.defaultdict(set)
    for each in outcomes:
        if each.status == callers.SUCCESS:
            stream = each.resumes or each.id
            events, _ = parse(each.body)
            versions_by_stream[stream].update(event.version for event in events)
            runs_by_stream[stream].update(event.run for event in events if event.run)
    for kind, found_by_stream in (("versions", versions_by_stream), ("runs", runs_by_stream)):
        for stream, found in found_by_stream.items():
            if len(found) > 1:
                yield f"{stream} has events of the {kind} {', '.join(sorted(found))}"


def find_badly_taken_up(
    outcomes: Iterable[callers.Outcome], with_gap: Container[str] = ()
) -> Iterator[str]:
    """Yield streams of several attempts in which events are missing, come twice or go back.

    :param with_gap: ids of requests for the rest of a stream that an engine answered with a gap
    """
    numbers_by_stream: dict[str, list[list[int]]] = collections.defaultdict(list)
    for each in outcomes:
        skipped = [each.after_event + 1] if each.id in with_gap and _skips_event(each) else []
        numbers = skipped + callers.event_numbers(each)
        numbers_by_stream[each.resumes or each.id].append(numbers)
    for stream, attempts in numbers_by_stream.items():
        numbers = [number for attempt in attempts for number in attempt]
        if len(attempts) > 1 and numbers != list(range(1, len(numbers) + 1)):
            yield f"{stream} has the events {numbers} over {len(attempts)} attempts"


def describe(outcomes: Iterable[callers.Outcome]) -> str:
    """Return how many of the streams that callers took up went on."""
    taken_up = [each for each in outcomes if each.resumes]
    went_on = sum(each.status == callers.SUCCESS for each in taken_up)
    return f"{went_on} of {len(taken_up)} streams taken up went on"


def describe_continuations(environment: soak_environment.SoakEnvironment) -> str:
    """Return how many requests for the rest of a stream engines got, and answered wrongly."""
    asked = [
        request
        for upstream in environment.upstream_by_name.values()
        for request in upstream.received
        if request.is_continuation
    ]
    wrong = sum(each.behaviour in fake_upstream.WRONG_CONTINUATIONS for each in asked)
    return f"{wrong} of {len(asked)} continuations were answered wrongly"


def _skips_event(outcome: callers.Outcome) -> bool:
    """Return whether a caller that takes a stream up misses just the event after its last one."""
    numbers = callers.event_numbers(outcome)
    return bool(outcome.resumes and numbers) and numbers[0] == outcome.after_event + 2


def _is_plain(outcome: callers.Outcome) -> bool:
    bodies = fake_upstream.plain_bodies(outcome.id)
    if outcome.is_complete:
        return outcome.body in bodies
    return any(each.startswith(outcome.body) for each in bodies)


def _may_begin_event(content: bytes, number: int) -> bool:
    """Return whether the bytes before a break are the beginning of the next event."""
    start = b"id: %d\ndata: %d " % (number, number)
    return (
        start.startswith(content)
        or (content.startswith(start) and bool(_REST_OF_EVENT.fullmatch(content, len(start))))
        or bool(_COMMENT_START.fullmatch(content))
    )
