"""Bounds the memory that the requests of callers and peers take until their responses have ended."""

from __future__ import annotations

import itertools
import threading
from collections.abc import Callable
from typing import Final

from carawaydoor.policy import request_memory
from carawaydoor.serving import response_budget

# Part of the memory beyond that of the process itself. Bodies are held once, and their buffers have
# up to an eighth more room than is used.
MEMORY_SHARE: Final = 0.3
# Keeps an instance with 600 callers within 150 MB, beside the process itself and their connections.
MAX_TOTAL_BYTES: Final = 48_000_000
# Floor for machines whose memory the process alone fills: a large body and the share of small ones.
MIN_TOTAL_BYTES: Final = 5_800_000
# Ordinary bodies have up to 100,000 bytes, and heads up to 16,384.
MAX_SMALL_REQUEST_BYTES: Final = 131_072
# Of the head of a large request, with the overhead of its headers.
LARGE_HEAD_BYTES: Final = 65_536
# Part of the whole that only small requests may use.
SMALL_SHARE: Final = 0.25
# A request that gains less counts as one that has stopped.
MIN_GROWTH_BYTES: Final = 1024


class RequestBudget:
    """The bytes that all requests of an instance may hold together.

    Requests grow in the thread of the listeners only, and are released in any thread.
    """

    def __init__(self, total_bytes: int) -> None:
        self._total_bytes = total_bytes
        self._max_large_bytes = int(total_bytes * (1.0 - SMALL_SHARE))
        self._held_bytes = 0
        self._large_bytes = 0
        self._ids = itertools.count()
        self._unfinished_by_id: dict[int, Reservation] = {}
        self._lock = threading.Lock()

    @property
    def held_bytes(self) -> int:
        """Bytes that requests hold."""
        return self._held_bytes

    @property
    def max_body_bytes(self) -> int:
        """Largest body that fits while there is no other large one."""
        return self._max_large_bytes - LARGE_HEAD_BYTES

    def reserve(self, give_up: Callable[[], None], now_s: float) -> Reservation:
        """Return a reservation for a request of which nothing was received.

        :param give_up: called in the listeners' thread when the request has to release its memory
        """
        return Reservation(self, next(self._ids), give_up, now_s)

    def grow(self, reservation: Reservation, held_bytes: int, now_s: float) -> bool:
        """Change what a request holds, at the expense of stopped ones if necessary.

        :return: False if there is no room
        """
        while True:
            with self._lock:
                if reservation.is_closed:
                    return False
                is_large = held_bytes > MAX_SMALL_REQUEST_BYTES
                needed_bytes = self._missing_bytes(reservation, held_bytes, is_large)
                if needed_bytes <= 0:
                    self._replace(reservation, held_bytes)
                    self._unfinished_by_id[reservation.id] = reservation
                    return True
                chosen = request_memory.choose_stopped_requests(
                    [
                        each.describe()
                        for each in self._unfinished_by_id.values()
                        if each is not reservation
                    ],
                    needed_bytes,
                    is_large,
                    now_s,
                )
                stopped = [self._unfinished_by_id[each] for each in chosen]
            if not stopped:
                return False
            for each in stopped:
                each.give_up()
                each.close()

    def finish(self, reservation: Reservation) -> None:
        """Keep the memory of a request that was received until it is released."""
        with self._lock:
            self._unfinished_by_id.pop(reservation.id, None)

    def release(self, reservation: Reservation) -> None:
        """Release what a request holds."""
        with self._lock:
            reservation.is_closed = True
            self._unfinished_by_id.pop(reservation.id, None)
            self._replace(reservation, 0)

    def _missing_bytes(self, reservation: Reservation, held_bytes: int, is_large: bool) -> int:
        added_bytes = held_bytes - reservation.held_bytes
        missing_bytes = self._held_bytes + added_bytes - self._total_bytes
        if is_large:
            added_bytes = held_bytes - reservation.large_bytes
            missing_bytes = max(
                missing_bytes, self._large_bytes + added_bytes - self._max_large_bytes
            )
        return missing_bytes

    def _replace(self, reservation: Reservation, held_bytes: int) -> None:
        self._held_bytes -= reservation.held_bytes
        self._large_bytes -= reservation.large_bytes
        reservation.held_bytes = held_bytes
        self._held_bytes += held_bytes
        self._large_bytes += reservation.large_bytes


class Reservation:
    """What one request holds.

    :ivar held_bytes: bytes of its head and body
    :ivar idle_since_s: when it last grew by a significant part, or began
    :ivar give_up: has the request release its memory
    """

    def __init__(
        self, budget: RequestBudget, number: int, give_up: Callable[[], None], now_s: float
    ) -> None:
        self.id: Final = number
        self.give_up: Final = give_up
        self.held_bytes = 0
        self.is_closed = False
        self.idle_since_s = now_s
        self._budget = budget
        self._bytes_at_growth = 0

    @property
    def large_bytes(self) -> int:
        """Bytes that count as those of a large request."""
        return self.held_bytes if self.held_bytes > MAX_SMALL_REQUEST_BYTES else 0

    def resize(self, held_bytes: int, now_s: float) -> bool:
        """Hold this many bytes from now on; return False if there is no room."""
        if held_bytes - self._bytes_at_growth >= MIN_GROWTH_BYTES:
            self._bytes_at_growth = held_bytes
            self.idle_since_s = now_s
        return self._budget.grow(self, held_bytes, now_s)

    def finish(self) -> None:
        """Keep what is held until the response has ended."""
        self._budget.finish(self)

    def close(self) -> None:
        """Hold nothing any more."""
        self._budget.release(self)

    def describe(self) -> request_memory.UnfinishedRequest:
        """Return what decides whether the request gives up its place."""
        return request_memory.UnfinishedRequest(
            self.id, self.held_bytes, self.idle_since_s, self.large_bytes > 0
        )


def total_bytes(memory_bytes: int) -> int:
    """Return how much the requests of an instance may hold together.

    :param memory_bytes: limit of the memory of its process
    """
    share = int((memory_bytes - response_budget.BASE_MEMORY_BYTES) * MEMORY_SHARE)
    return max(MIN_TOTAL_BYTES, min(MAX_TOTAL_BYTES, share))
