"""A time in which an instance could not connect to any upstream."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Partition:
    """A time in which one instance could not connect to any upstream, in monotonic seconds."""

    instance: str
    began_s: float
    ended_s: float
