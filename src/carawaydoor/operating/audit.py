"""Audit trail of an instance: which changes it made, when and from which source."""

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
    """Kind of an audited change."""

    STARTED = "started"
    READY = "ready"
    REVISION_IN_FORCE = "revision_in_force"
    REVISION_REFUSED = "revision_refused"
    VIEW_ADOPTED = "view_adopted"
    DRAIN_STARTED = "drain_started"
    STOPPED = "stopped"


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """One change, with the fields that are logged and served under ``/audit``."""

    at: str
    instance: str
    change: str
    revision: int
    source: str
    detail: str


class Trail:
    """Keeps the newest ``MAX_ENTRIES`` changes and logs every change."""

    def __init__(self, instance: str, clock: clocks.Clock) -> None:
        self._instance = instance
        self._clock = clock
        self._entries: collections.deque[Entry] = collections.deque(maxlen=MAX_ENTRIES)
        self._lock = threading.Lock()

    def add(self, change: Change, revision: int = 0, source: str = "", detail: str = "") -> None:
        """Record a change and log it.

        :param revision: revision of the configuration or view, zero if the change has none
        :param source: origin of the change, such as a peer or the platform
        """
        at = datetime.datetime.fromtimestamp(self._clock.wall_s(), datetime.UTC)
        entry = Entry(at.isoformat(), self._instance, change.value, revision, source, detail)
        with self._lock:
            self._entries.append(entry)
        eliot.log_message(message_type="audit", **dataclasses.asdict(entry))

    def entries(self) -> list[Entry]:
        """Return the recorded changes, oldest first."""
        with self._lock:
            return list(self._entries)
