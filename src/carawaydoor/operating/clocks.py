"""Clocks that are passed to the code that needs them, so that tests can control the time."""

from __future__ import annotations

import abc
import time


class Clock(abc.ABC):
    """Monotonic and wall-clock time."""

    @abc.abstractmethod
    def now_s(self) -> float:
        """Return monotonic seconds, including time for which the machine was suspended."""

    @abc.abstractmethod
    def wall_s(self) -> float:
        """Return seconds since the Unix epoch."""


class SystemClock(Clock):
    """The operating system's clocks."""

    def now_s(self) -> float:
        """Return ``CLOCK_BOOTTIME`` in seconds, which includes time spent suspended."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall_s(self) -> float:
        """Return the system's wall-clock time in seconds since the Unix epoch."""
        return time.time()


class ManualClock(Clock):
    """A clock for tests that advances only on request."""

    def __init__(self, now_s: float = 1000.0, wall_s: float = 1_800_000_000.0) -> None:
        self._now_s = now_s
        self._wall_s = wall_s

    def now_s(self) -> float:
        """Return this clock's monotonic seconds."""
        return self._now_s

    def wall_s(self) -> float:
        """Return this clock's seconds since the Unix epoch."""
        return self._wall_s

    def advance(self, seconds: float) -> None:
        """Advance the monotonic and the wall-clock time.

        :param seconds: zero or more
        """
        self._now_s += seconds
        self._wall_s += seconds
