"""Clocks: the time source is handed down, so that tests can pause and advance it."""

from __future__ import annotations

import abc
import time


class Clock(abc.ABC):
    """A source of time."""

    @abc.abstractmethod
    def now_s(self) -> float:
        """Return seconds on a clock that never steps back and counts suspended time."""

    @abc.abstractmethod
    def wall_s(self) -> float:
        """Return seconds since the Unix epoch."""


class SystemClock(Clock):
    """The clock of the running system."""

    def now_s(self) -> float:
        """Return ``CLOCK_BOOTTIME`` in seconds, which also counts time spent suspended."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall_s(self) -> float:
        """Return the wall clock in seconds since the Unix epoch."""
        return time.time()


class ManualClock(Clock):
    """A clock that moves only when it is told to."""

    def __init__(self, now_s: float = 1000.0, wall_s: float = 1_800_000_000.0) -> None:
        self._now_s = now_s
        self._wall_s = wall_s

    def now_s(self) -> float:
        """Return the current time of this clock in seconds."""
        return self._now_s

    def wall_s(self) -> float:
        """Return the current wall time of this clock in seconds since the Unix epoch."""
        return self._wall_s

    def advance(self, seconds: float) -> None:
        """Move the clock forward.

        :param seconds: distance in seconds, at least zero
        """
        self._now_s += seconds
        self._wall_s += seconds
