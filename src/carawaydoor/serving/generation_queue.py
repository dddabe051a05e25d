"""The generations of one instance that wait for room, and the order in which they may try to get it."""

from __future__ import annotations

import abc
import itertools
import threading
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

    def remove(self, claim: capacity_wait.Claim) -> bool:
        """Remove a claim that has found room or is given up; return whether it was there."""
        with self._lock:
            return self._claim_by_number.pop(claim.number, None) is not None

    def waiting(self) -> tuple[capacity_wait.Claim, ...]:
        """Return all claims."""
        with self._lock:
            return tuple(self._claim_by_number.values())


class Turn(abc.ABC):
    """Says when one generation may try to get room, and on which terms.

    :ivar rank: rank of its priority, None where all requests of the service have the same
    """

    rank: int | None

    @property
    @abc.abstractmethod
    def retry_interval_s(self) -> float:
        """Longest time until the generation checks again whether it may try."""

    @abc.abstractmethod
    def is_next(self) -> bool:
        """Return whether the generation may try to get room now."""

    @abc.abstractmethod
    def reserve_share(self) -> float:
        """Return the fraction of an engine's KV cache that has to stay free beside the request."""

    @abc.abstractmethod
    def prospect_s(self) -> float:
        """Return the time in seconds after which room is expected, zero if that is unknown."""

    @abc.abstractmethod
    def record_room(self) -> None:
        """Let those behind try, since room was found for this generation."""

    @abc.abstractmethod
    def record_room_lost(self) -> None:
        """Keep those behind waiting again, since the engine could not be used after all."""

    @abc.abstractmethod
    def record_no_room(self) -> None:
        """Count the generation as one that met lack of room."""

    @abc.abstractmethod
    def record_placed(self) -> None:
        """Count the generation as placed on an engine that has room."""

    @abc.abstractmethod
    def record_refused(self) -> None:
        """Count the generation as refused for lack of room."""


class FreeTurn(Turn):
    """The turn of a generation whose service has requests of one priority only."""

    rank = None

    def __init__(self, terms: capacity_wait.WaitTerms) -> None:
        self._terms = terms

    @property
    def retry_interval_s(self) -> float:
        """The interval at which it is checked whether the caller has gone."""
        return sockets.CALLER_POLL_INTERVAL_S

    def is_next(self) -> bool:
        """Return that it may always try."""
        return True

    def reserve_share(self) -> float:
        """Return the reserve of late requests."""
        return self._terms.reserve_share

    def prospect_s(self) -> float:
        """Return that nothing is expected."""
        return 0.0

    def record_room(self) -> None:
        """Do nothing, since no other generation waits for this one."""

    def record_room_lost(self) -> None:
        """Do nothing, since no other generation waits for this one."""

    def record_no_room(self) -> None:
        """Do nothing, since demand is not counted."""

    def record_placed(self) -> None:
        """Do nothing, since demand is not counted."""

    def record_refused(self) -> None:
        """Do nothing, since demand is not counted."""
