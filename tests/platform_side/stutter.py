"""Faults of single responses of a fake upstream, drawn at random."""

from __future__ import annotations

import dataclasses
import enum
import io
import random
import threading
from typing import Any

# Longer than the head and the body of most responses.
MAX_CUT_BYTES = 900


class Stutter(enum.Enum):
    """What happens to one response."""

    # It ends after some bytes, in the head or in the body, with its connection.
    CUT = "cut"
    # It is written twice in a row, or once more before the next response on the connection.
    REPEATED_AT_ONCE = "repeated_at_once"
    REPEATED_LATE = "repeated_late"
    # Nothing is written for a moment.
    SILENT = "silent"


@dataclasses.dataclass(frozen=True)
class Drawn:
    """The fault of one response.

    :ivar cut_bytes: bytes that are written before a cut
    """

    stutter: Stutter
    cut_bytes: int


class StutterSource:
    """Draws the faults of the responses of an upstream from a seed.

    :param share: part of the responses that have a fault
    """

    def __init__(self, seed: str, share: float) -> None:
        self._random = random.Random(seed)
        self._share = share
        self._lock = threading.Lock()

    def draw(self) -> Drawn | None:
        """Return the fault of the next response, None for a sound one."""
        with self._lock:
            if self._random.random() >= self._share:
                return None
            stutter = self._random.choice(tuple(Stutter))
            return Drawn(stutter, self._random.randrange(MAX_CUT_BYTES))


class CutError(OSError):
    """The rest of a response is not written."""


class CutWriter(io.BufferedIOBase):
    """Passes some bytes on to a writer and raises an error for the rest."""

    def __init__(self, writer: Any, limit: int) -> None:
        self._writer = writer
        self._left = limit

    def writable(self) -> bool:
        return True

    def write(self, content: Any) -> int:
        """Write as much as is left.

        :raises CutError: if that is less than the content
        """
        part = bytes(content)[: self._left]
        self._left -= len(part)
        self._writer.write(part)
        if len(part) < len(content):
            self._writer.flush()
            raise CutError("the response is cut")
        return len(part)

    def flush(self) -> None:
        self._writer.flush()
