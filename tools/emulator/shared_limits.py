"""``python -m tools.emulator.shared_limits``: compares ways to share an upstream's limit in a fleet.

Prints, for fleets of several sizes and reports of several ages, the most requests in any 4 s as part
of what is allowed, and the used part of the limit.
"""

from __future__ import annotations

import abc
import collections
import dataclasses
import random
from typing import Final

from carawaydoor.policy import upstream_limits

UPSTREAM: Final = ("u", 1)
WINDOW_S: Final = 4.0
DURATION_S: Final = 60.0
FLEET_SIZES: Final = (8, 85, 710)
REPORT_AGES_S: Final = (0.1, 0.3, 1.0)
LIMITS_PER_S: Final = (0.5, 2.3, 20.0)
REQUESTS_PER_S_AND_INSTANCE: Final = (0.5, 1.5)
# Part of the instances that is cut off from the others in the middle third of a run.
CUT_SHARE: Final = 1 / 3


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """What came of one run.

    :ivar peak: most requests in any window, as part of what is allowed
    :ivar used: requests as part of the limit
    """

    peak: float
    used: float


class Sharing(abc.ABC):
    """A way to decide which instance may send a request to the limited upstream."""

    @abc.abstractmethod
    def take(self, instance: int, now_s: float) -> bool:
        """Return whether an instance may send a request now, and count it."""

    @abc.abstractmethod
    def set_sides(self, sides: tuple[range, ...], now_s: float) -> None:
        """Divide the instances into sides that can't reach each other."""


class HashedShares(Sharing):
    """The product's way: fixed shares of a few instances that are chosen by hashing."""

    def __init__(self, size: int, limit_per_s: float, _: float) -> None:
        self._names = tuple(f"i-{number:04}" for number in range(size))
        statement = upstream_limits.Statement(*UPSTREAM, limit_per_s, 0.0)
        self._states = [
            upstream_limits.record(upstream_limits.create(name), 0.0, statement)
            for name in self._names
        ]
        self.set_sides((range(size),), 0.0)

    def take(self, instance: int, now_s: float) -> bool:
        """Take a permit of the instance's own share."""
        self._states[instance], is_taken = upstream_limits.take(
            self._states[instance], now_s, UPSTREAM
        )
        return is_taken

    def set_sides(self, sides: tuple[range, ...], now_s: float) -> None:
        """Have each side use its part of the limit."""
        for side in sides:
            reachable = self._names[side.start : side.stop]
            fleet = upstream_limits.Fleet(reachable, len(side) / len(self._names), True)
            for number in side:
                self._states[number] = upstream_limits.with_fleet(
                    self._states[number], now_s, fleet
                )


class ReportedWindow(Sharing):
    """A sliding window over what the other instances last reported."""

    def __init__(self, size: int, limit_per_s: float, report_age_s: float) -> None:
        self._size = size
        self._limit_per_s = limit_per_s
        self._report_age_s = report_age_s
        self._side_by_instance = [range(size)] * size
        self._sent: collections.deque[tuple[float, int]] = collections.deque()

    def take(self, instance: int, now_s: float) -> bool:
        """Send if the known requests of the window leave room."""
        side = self._side_by_instance[instance]
        while self._sent and self._sent[0][0] <= now_s - WINDOW_S:
            self._sent.popleft()
        known = sum(
            sender == instance or (sender in side and at_s <= now_s - self._report_age_s)
            for at_s, sender in self._sent
        )
        if known + 1 > self._limit_per_s * WINDOW_S * len(side) / self._size:
            return False
        self._sent.append((now_s, instance))
        return True

    def set_sides(self, sides: tuple[range, ...], now_s: float) -> None:
        """Have each side count its own requests against its part of the limit."""
        for side in sides:
            for number in side:
                self._side_by_instance[number] = side


def play(sharing: Sharing, size: int, limit_per_s: float, rate_per_s: float) -> Result:
    """Have the instances get requests at random times, with a cut in the middle third."""
    draws = random.Random(1)
    now_s, sent_s, thirds = 0.0, [], 0
    middle = max(1, round(size * CUT_SHARE))
    while (now_s := now_s + draws.expovariate(rate_per_s)) < DURATION_S:
        if now_s >= (thirds + 1) * DURATION_S / 3:
            thirds += 1
            whole, cut = (range(size),), (range(middle), range(middle, size))
            sharing.set_sides(cut if thirds == 1 else whole, now_s)
        if sharing.take(draws.randrange(size), now_s):
            sent_s.append(now_s)
    first, most = 0, 0
    for last, at_s in enumerate(sent_s):
        while sent_s[first] <= at_s - WINDOW_S:
            first += 1
        most = max(most, last - first + 1)
    allowed = 1.5 * limit_per_s * WINDOW_S + 5
    return Result(most / allowed, len(sent_s) / limit_per_s / DURATION_S)


def main() -> None:
    """Print a row for each case."""
    print("size limit_per_s per_instance | hashed peak used | window peak used by report age")
    for size in FLEET_SIZES:
        for limit_per_s in LIMITS_PER_S:
            for rate in REQUESTS_PER_S_AND_INSTANCE:
                shares = play(HashedShares(size, limit_per_s, 0.0), size, limit_per_s, rate * size)
                windows = (
                    play(ReportedWindow(size, limit_per_s, age_s), size, limit_per_s, rate * size)
                    for age_s in REPORT_AGES_S
                )
                columns = "  ".join(f"{each.peak:.2f} {each.used:.2f}" for each in windows)
                print(
                    f"{size:4} {limit_per_s:6} {rate:4} | {shares.peak:.2f} {shares.used:.2f} "
                    f"| {columns}"
                )


if __name__ == "__main__":
    main()
