"""Has upstreams name limits, apart from the faults, so that the faults of a seed stay the same."""

from __future__ import annotations

import random
import threading
import time
from typing import Final

from tools.soak import soak_environment

MAX_DELAY_S: Final = 2.0
MIN_LIMIT_PER_S: Final = 0.5
MAX_LIMIT_PER_S: Final = 4.0
_NAMES: Final = ("p1", "d1", "s1", "s2")


class LimitNamer:
    """Draws limits from a seed and has some upstreams name them until the end of the run."""

    def __init__(self, environment: soak_environment.SoakEnvironment, seed: int) -> None:
        self._environment = environment
        self._random = random.Random(f"limits of {seed}")

    def start(self) -> None:
        """Name the limits after random delays."""
        for name in self._random.sample(_NAMES, self._random.choice((0, 1, 2))):
            limit_per_s = round(self._random.uniform(MIN_LIMIT_PER_S, MAX_LIMIT_PER_S), 1)
            timer = threading.Timer(
                self._random.uniform(0.0, MAX_DELAY_S), self._name_limit, (name, limit_per_s)
            )
            timer.daemon = True
            timer.start()

    def _name_limit(self, name: str, limit_per_s: float) -> None:
        self._environment.name_limit(name, limit_per_s, time.monotonic())
