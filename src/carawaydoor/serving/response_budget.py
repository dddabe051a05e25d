"""Bounds the memory that the responses of upstreams take while they are read."""

from __future__ import annotations

import collections
import threading
from collections.abc import Iterator
from typing import Final

# Each response may hold as much without regard to the others, so that small ones are always read.
FREE_RESPONSE_BYTES: Final = 65_536
# Largest response that is read as a whole, however much memory there is.
MAX_RESPONSE_BYTES: Final = 4_194_304
# Memory of an instance that holds no response, with all its threads.
BASE_MEMORY_BYTES: Final = 60_000_000
# Part of the rest that responses may hold; they are copied on their way to the caller.
MEMORY_SHARE: Final = 0.3
MAX_TOTAL_BYTES: Final = 64_000_000
# Part of the whole that one response may hold.
MAX_SHARE_PER_RESPONSE: Final = 0.25


class ResponseBudget:
    """The bytes that all responses of an instance may hold together."""

    def __init__(self, total_bytes: int) -> None:
        self._total_bytes = total_bytes
        self._held_bytes = 0
        self._lock = threading.Lock()

    @property
    def max_response_bytes(self) -> int:
        """Largest size of one response."""
        share = int(self._total_bytes * MAX_SHARE_PER_RESPONSE)
        return max(FREE_RESPONSE_BYTES, min(MAX_RESPONSE_BYTES, share))

    @property
    def held_bytes(self) -> int:
        """Bytes that responses hold beyond what each may hold freely."""
        return self._held_bytes

    def reserve(self) -> Reservation:
        """Return a reservation for one response, which holds nothing yet."""
        return Reservation(self)

    def change(self, by_bytes: int) -> bool:
        """Add to what is held, or take away; return False if there is no room."""
        with self._lock:
            if by_bytes > 0 and self._held_bytes + by_bytes > self._total_bytes:
                return False
            self._held_bytes += by_bytes
            return True


class Reservation:
    """What one response holds; used by one thread at a time."""

    def __init__(self, budget: ResponseBudget) -> None:
        self._budget = budget
        self._reserved_bytes = 0

    def resize(self, held_bytes: int) -> bool:
        """Hold this many bytes from now on; return False if that is not possible."""
        if held_bytes > self._budget.max_response_bytes:
            return False
        needed_bytes = max(0, held_bytes - FREE_RESPONSE_BYTES)
        if not self._budget.change(needed_bytes - self._reserved_bytes):
            return False
        self._reserved_bytes = needed_bytes
        return True

    def close(self) -> None:
        """Hold nothing any more."""
        self.resize(0)


class HeldBody(Iterator[bytes]):
    """The chunks of a body, whose memory is free again once they are taken.

    :ivar length: size of the body in bytes
    """

    def __init__(self, reservation: Reservation) -> None:
        self.length = 0
        self._held_bytes = 0
        self._chunks: collections.deque[bytes] = collections.deque()
        self._reservation = reservation

    def add(self, chunk: bytes) -> bool:
        """Append a chunk; return False if the instance has no memory for it."""
        if not self._reservation.resize(self._held_bytes + len(chunk)):
            return False
        self._held_bytes += len(chunk)
        self.length += len(chunk)
        self._chunks.append(chunk)
        return True

    @property
    def end(self) -> bytes:
        """The last bytes, at least four if there are as many."""
        return b"".join(tuple(self._chunks)[-4:])

    def __next__(self) -> bytes:
        """Take the next chunk."""
        if not self._chunks:
            self._reservation.close()
            raise StopIteration
        chunk = self._chunks.popleft()
        self._held_bytes -= len(chunk)
        self._reservation.resize(self._held_bytes)
        return chunk

    def close(self) -> None:
        """Drop the chunks that were not taken."""
        self._chunks.clear()
        self._reservation.close()


def total_bytes(memory_bytes: int) -> int:
    """Return how much the responses of an instance may hold together.

    :param memory_bytes: limit of the memory of its process
    """
    share = int((memory_bytes - BASE_MEMORY_BYTES) * MEMORY_SHARE)
    return max(FREE_RESPONSE_BYTES, min(MAX_TOTAL_BYTES, share))
