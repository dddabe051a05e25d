"""Bounds what a report repeats of records that may be many, so that it fits into a datagram."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import Final, TypeVar

# Newer records go into every report, so that they reach all peers within some rounds; older ones take
# turns, for instances that have started since.
MAX_URGENT_AGE_S: Final = 2.0
MAX_URGENT_PER_REPORT: Final = 16
MAX_REPEATED_PER_REPORT: Final = 8

_Record = TypeVar("_Record")


def select(
    records: Sequence[_Record],
    ages_s: Iterable[float],
    turn: int,
    max_urgent: int = MAX_URGENT_PER_REPORT,
    max_repeated: int = MAX_REPEATED_PER_REPORT,
) -> tuple[_Record, ...]:
    """Return the newest records and, in turn, some of the older ones.

    :param ages_s: age in seconds of each record
    :param turn: number of the report
    :param max_urgent: largest number of new records
    :param max_repeated: largest number of older ones
    """
    urgent: list[_Record] = []
    older: list[_Record] = []
    for record, age_s in zip(records, ages_s, strict=True):
        (urgent if age_s < MAX_URGENT_AGE_S else older).append(record)
    start = turn * max_repeated % max(1, len(older))
    repeated = (older[start:] + older[:start])[:max_repeated]
    return (*urgent[-max_urgent:], *repeated)
