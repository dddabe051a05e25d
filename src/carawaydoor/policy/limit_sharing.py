"""How the limit of an upstream is divided among the instances of a fleet."""

from __future__ import annotations

import abc
import dataclasses
import math
from typing import Final

# Below this rate too few responses would come back to learn that a limit has been raised.
MIN_USED_LIMIT_PER_S: Final = 0.1
# Instances that share a limit: this many, and more for each request a second. Together with what each
# may save up, they send at most half a limit more than the limit in 4 s, and a few requests.
MIN_SHARING_INSTANCES: Final = 2
SHARING_INSTANCES_PER_RPS: Final = 1.33
# What an instance with a small share may save up. Permits that come up while it waits for a request
# would be lost without the half.
MAX_SAVED_PERMITS: Final = 1.5
# One with a large share may save up its part of this time.
MAX_SAVED_S: Final = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class Fleet:
    """The instances that share limits, as far as this one knows them.

    :ivar instances: names of those that can be reached, this one included unless it is leaving
    :ivar usable_share: part of each limit that these may use, below 1 while others are cut off
    :ivar is_settled: whether this instance knows its peers; it doesn't shortly after its start
    :ivar known: names of all that are known, also silent ones, without those that are leaving
    """

    instances: tuple[str, ...]
    usable_share: float
    is_settled: bool
    known: tuple[str, ...] = ()


class Sharing(abc.ABC):
    """Divides limits among the instances of a fleet."""

    @abc.abstractmethod
    def ranked(self, fleet: Fleet) -> tuple[str, ...]:
        """Return the names of the instances of which the first ones share a limit."""

    @abc.abstractmethod
    def usable_per_s(self, limit_per_s: float, fleet: Fleet) -> float:
        """Return the requests a second that the sharing instances may send together."""

    @abc.abstractmethod
    def instance_count(self, limit_per_s: float, fleet: Fleet) -> int:
        """Return how many instances share a limit, at least 1."""

    def max_instances(self) -> float:
        """Return how many instances share a limit at most, infinite if there is no bound."""
        return math.inf

    @abc.abstractmethod
    def max_saved(self, share_per_s: float) -> float:
        """Return how many permits an instance may save up.

        :param share_per_s: requests a second that the instance may send
        """


@dataclasses.dataclass(frozen=True, slots=True)
class NamedLimitSharing(Sharing):
    """Divides limits that upstreams name, which hold over several seconds.

    The instances that can be reached divide the part of the limit that their side of the fleet may use.
    """

    def ranked(self, fleet: Fleet) -> tuple[str, ...]:
        """Return the instances that can be reached."""
        return fleet.instances

    def usable_per_s(self, limit_per_s: float, fleet: Fleet) -> float:
        """Return the part of this side of the fleet."""
        return max(MIN_USED_LIMIT_PER_S, limit_per_s) * fleet.usable_share

    def instance_count(self, limit_per_s: float, fleet: Fleet) -> int:
        """Return a number that grows with the limit."""
        usable_per_s = self.usable_per_s(limit_per_s, fleet)
        wanted = MIN_SHARING_INSTANCES + int(SHARING_INSTANCES_PER_RPS * usable_per_s)
        return min(wanted, max(1, len(fleet.instances)))

    def max_saved(self, share_per_s: float) -> float:
        """Return a number that grows with the share."""
        return max(MAX_SAVED_PERMITS, share_per_s * MAX_SAVED_S)
