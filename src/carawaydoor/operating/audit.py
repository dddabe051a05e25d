"""Audit trail: what changed at this instance, when and from where."""

from __future__ import annotations

import collections
import dataclasses
import datetime
import enum
import threading
from typing import Final

import eliot

from carawaydoor.operating import clocks

MAX_ENTRIES: Final = 1000


class Change(enum.Enum):
    """Kinds of audited changes."""

    STARTED = "started"
    READY = "ready"
    REVISION_IN_FORCE = "revision_in_force"
    REVISION_REFUSED = "revision_refused"
    VIEW_ADOPTED = "view_adopted"
    DRAIN_STARTED = "drain_started"
    STOPPED = "stopped"


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """One change."""

    at: str
    instance: str
    change: str
    revision: int
    source: str
    detail: str


class Trail:
    """Keeps the newest changes and logs each of them."""

    def __init__(self, instance: str, clock: clocks.Clock) -> None:
        self._instance = instance
        self._clock = clock
        self._entries: collections.deque[Entry] = collections.deque(maxlen=MAX_ENTRIES)
        self._lock = threading.Lock()

    def add(self, change: Change, revision: int = 0, source: str = "", detail: str = "") -> None:
        """Add a change.

        :param revision: number of the configuration or view revision, zero where there is none
        :param source: where the change came from
        """
        at = datetime.datetime.fromtimestamp(self._clock.wall_s(), datetime.UTC)
        entry = Entry(at.isoformat(), self._instance, change.value, revision, source, detail)
        with self._lock:
            self._entries.append(entry)
        eliot.log_message(message_type="audit", **dataclasses.asdict(entry))

    def entries(self) -> list[Entry]:
        """Return the kept changes, oldest first."""
        with self._lock:
            return list(self._entries)
