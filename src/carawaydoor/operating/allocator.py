"""Settings of the C library's memory allocator."""

from __future__ import annotations

import ctypes
from typing import Final

import eliot

# Each arena keeps freed memory to itself, and by default there are eight for each processor.
MAX_ARENAS: Final = 2
_M_ARENA_MAX: Final = -8


def limit_arenas() -> None:
    """Have all threads share a few arenas, so that freed memory is used again."""
    try:
        succeeded = bool(ctypes.CDLL(None).mallopt(_M_ARENA_MAX, MAX_ARENAS))
    except (AttributeError, OSError) as error:
        # Another C library, which may not have arenas.
        eliot.log_message(message_type="arenas_not_limited", detail=repr(error))
        return
    if not succeeded:
        eliot.log_message(message_type="arenas_not_limited", detail="mallopt refused the limit")
