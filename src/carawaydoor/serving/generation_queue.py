"""The generations of one instance that wait for room, and the order in which they may try to get it."""

from __future__ import annotations

import abc
import contextlib
import itertools
import threading
from collections.abc import Callable, Iterator
from typing import Final

from carawaydoor.policy import capacity_wait
from carawaydoor.serving import sockets

# Interval at which a generation tries again unless work of this instance ends before: most room is
# freed by work of peers, which announce that within about this time.
RETRY_INTERVAL_S: Final = 0.05


class GenerationQueue:
    """Holds the claims of the generations that wait or try to get room."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._claim_by_number: dict[int, capacity_wait.Claim] = {}
        self._numbers = itertools.count(1)

    def next_number(self) -> int:
        """Return the number of a new claim."""
        return next(self._numbers)

    def add(self, claim: capacity_wait.Claim) -> None:
        """Add a claim, or put one back that has lost its room."""
        with self._lock:
            self._claim_by_number[claim.number] = claim

    def remove(self, claim: capacity_wait.Claim) -> None:
        """Remove a claim that has found room or is given up."""
        with self._lock:
            self._claim_by_number.pop(claim.number, None)

    def waiting(self) -> tuple[capacity_wait.Claim, ...]:
        """Return all claims."""
        with self._lock:
            return tuple(self._claim_by_number.values())


class Turn(abc.ABC):
    """Says when one generation may try to get room, and on which terms.

    :ivar retry_interval_s: longest time between two tries
    """

    retry_interval_s: float

    @abc.abstractmethod
    def is_next(self) -> bool:
        """Return whether the generation may try to get room now."""

    @abc.abstractmethod
    def record_room(self) -> None:
        """Let those behind try, since room was found for this generation."""

    @abc.abstractmethod
    def record_room_lost(self) -> None:
        """Wait again, since the engine could not be used after all."""


class FreeTurn(Turn):
    """The turn of a generation whose service has requests of one priority only."""

    retry_interval_s = sockets.CALLER_POLL_INTERVAL_S

    def is_next(self) -> bool:
        """Return that it may always try."""
        return True

    def record_room(self) -> None:
        """Do nothing, since no other generation waits for this one."""

    def record_room_lost(self) -> None:
        """Do nothing, since no other generation waits for this one."""


class RankedTurn(Turn):
    """The turn of a generation by the order of its claim."""

    retry_interval_s = RETRY_INTERVAL_S

    def __init__(
        self, queue: GenerationQueue, claim: capacity_wait.Claim, wake_waiting: Callable[[], None]
    ) -> None:
        self._queue = queue
        self._claim = claim
        self._wake_waiting = wake_waiting

    @contextlib.contextmanager
    def queued(self) -> Iterator[Turn]:
        """Keep the claim in the queue until the generation has room or is refused."""
        self._queue.add(self._claim)
        try:
            yield self
        finally:
            self.record_room()

    def is_next(self) -> bool:
        """Return whether no other claim for the same engines comes first."""
        return capacity_wait.is_turn(self._claim, self._queue.waiting())

    def record_room(self) -> None:
        """Remove the claim and wake those behind it."""
        self._queue.remove(self._claim)
        self._wake_waiting()

    def record_room_lost(self) -> None:
        """Put the claim back at its place."""
        self._queue.add(self._claim)
