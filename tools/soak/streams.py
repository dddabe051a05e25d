"""Checks the streams that callers took up again, over all their attempts."""

from __future__ import annotations

import collections
import re
from collections.abc import Iterable, Iterator
from typing import Final

from tools.soak import callers, soak_environment

_EVENT: Final = re.compile(rb"id: (\d+)\ndata: \1 (\S+)\n\n")
_SUCCESS: Final = 200


def parse(body: bytes) -> list[tuple[int, str]]:
    """Return the numbers and versions of the complete events at the start of a body."""
    events = []
    position = 0
    while match := _EVENT.match(body, position):
        events.append((int(match.group(1)), match.group(2).decode()))
        position = match.end()
    return events


def is_whole(outcome: callers.Outcome) -> bool:
    """Return whether a complete answer has all events after the one that the caller named."""
    events = parse(outcome.body)
    expected = range(outcome.after_event + 1, soak_environment.EVENTS_PER_STREAM + 1)
    return [number for number, _ in events] == list(expected) and outcome.body.endswith(b"\n\n")


def find_joined(outcomes: Iterable[callers.Outcome]) -> Iterator[str]:
    """Yield streams with events of several versions, in one answer or over a caller's attempts."""
    versions_by_stream: dict[str, set[str]] = collections.defaultdict(set)
    for each in outcomes:
        if each.status == _SUCCESS:
            stream = each.resumes or each.id
            versions_by_stream[stream].update(version for _, version in parse(each.body))
    for stream, versions in versions_by_stream.items():
        if len(versions) > 1:
            yield f"{stream} has events of the versions {', '.join(sorted(versions))}"


def describe(outcomes: Iterable[callers.Outcome]) -> str:
    """Return how many of the streams that callers took up went on."""
    taken_up = [each for each in outcomes if each.resumes]
    went_on = sum(each.status == _SUCCESS for each in taken_up)
    return f"{went_on} of {len(taken_up)} streams taken up went on"
