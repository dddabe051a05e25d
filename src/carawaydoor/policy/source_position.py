"""Positions in the history of the source, which may be restored from a copy.

A restore starts a new era, in which revisions of the one before are given out again. A position orders by
era and then by revision. It is one integer, so that it can be compared, sent and used for fencing epochs
like a revision; without eras it is the revision.
"""

from __future__ import annotations

from typing import Final

REVISION_BITS: Final = 32


def is_revision(value: int) -> bool:
    """Return whether a number can be a revision."""
    return 0 <= value < 1 << REVISION_BITS


def create(era: int, revision: int) -> int:
    """Return the position of a revision in an era."""
    return (era << REVISION_BITS) | revision


def era_of(position: int) -> int:
    """Return the era of a position."""
    return position >> REVISION_BITS


def revision_of(position: int) -> int:
    """Return the revision of a position within its era."""
    return position & ((1 << REVISION_BITS) - 1)
