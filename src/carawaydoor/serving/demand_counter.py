"""Counts the demand for decode memory at one instance, by service and priority."""

from __future__ import annotations

import enum
import threading
from collections.abc import Iterable
from typing import Final

from carawaydoor.policy import capacity_wait, sliding_window, urgency

# Long enough for some requests of each priority at an instance, and short beside a burst.
WINDOW_S: Final = 2.0


class Event(enum.Enum):
    """What happens to a generation; ``SHORT`` is a first try that found no room."""

    ARRIVED = "arrived"
    SHORT = "short"
    REFUSED = "refused"


class DemandCounter:
    """Sums the tokens of generations over the last seconds."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._window_by_event = {each: sliding_window.WindowCounts(WINDOW_S) for each in Event}
        self._key_by_name: dict[str, tuple[str, int]] = {}

    def record(self, claim: capacity_wait.Claim, event: Event, now_s: float) -> None:
        """Count a generation."""
        name = f"{claim.service}/{claim.priority}"
        with self._lock:
            self._key_by_name[name] = claim.service, claim.priority
            self._window_by_event[event] = sliding_window.add(
                self._window_by_event[event], now_s, name, claim.tokens
            )

    def demands(
        self, waiting: Iterable[capacity_wait.Claim], now_s: float
    ) -> tuple[urgency.Demand, ...]:
        """Return the demand at this instance.

        :param waiting: claims that have no room now
        """
        with self._lock:
            keys, windows = dict(self._key_by_name), dict(self._window_by_event)
        counted = [
            urgency.Demand(
                service,
                priority,
                *(sliding_window.total(windows[event], now_s, name) / WINDOW_S for event in Event),
            )
            for name, (service, priority) in keys.items()
        ]
        in_queue = (
            urgency.Demand(each.service, each.priority, waiting_tokens=float(each.tokens))
            for each in waiting
        )
        return urgency.total([*counted, *in_queue])
