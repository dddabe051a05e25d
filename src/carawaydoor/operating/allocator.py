"""Settings of the C library's memory allocator."""

from __future__ import annotations

import ctypes
from typing import Final

import eliot

# Each arena keeps freed memory to itself, and by default there are eight for each processor.
MAX_ARENAS: Final = 2
_M_ARENA_MAX: Final = -8
# Blocks from this size on go back to the system when they are freed. It is the C library's initial
# value, which would rise with each larger block that is freed.
MMAP_THRESHOLD_BYTES: Final = 131_072
_M_MMAP_THRESHOLD: Final = -3


def limit_arenas() -> None:
    """Have all threads share a few arenas, and return large blocks, so that freed memory is used."""
    try:
        library = ctypes.CDLL(None)
        succeeded = bool(library.mallopt(_M_ARENA_MAX, MAX_ARENAS)) and bool(
            library.mallopt(_M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES)
        )
    except (AttributeError, OSError) as error:
        # Another C library, which may not have arenas.
        eliot.log_message(message_type="arenas_not_limited", detail=repr(error))
        return
    if not succeeded:
        eliot.log_message(message_type="arenas_not_limited", detail="mallopt refused the limit")
