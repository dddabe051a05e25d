"""Ranks the priorities of the requests of a service, and describes the demand of each.

Only services with requests of more than one priority have ranks; the others are served without regard
to urgency.
"""

from __future__ import annotations

import bisect
import collections
import dataclasses
from collections.abc import Iterable, Mapping, Sequence
from typing import Final

from carawaydoor.policy import entities

# Engines accept priorities from 0, the most urgent, to this one.
MAX_ENGINE_PRIORITY: Final = 9
# Demands in one report: all ten priorities of two services, in some 2 kB.
MAX_REPORTED: Final = 20
# No fleet of 12,000 engines gets as much in a second, so that a larger number is an error.
MAX_PLAUSIBLE_TOKENS: Final = 1e10
# Largest part of a KV cache that is left free for more urgent ranks: about one request of eight. A
# hold refused by a full engine costs a millisecond, so that there need not be more.
MAX_RESERVE_SHARE: Final = 0.08
# Part of more urgent requests without room at their first try up to which nothing is reserved, since
# these wait for a moment only, and from which the reserve is largest.
MIN_SHORT_SHARE: Final = 0.1
MAX_SHORT_SHARE: Final = 0.5
# The reserve is at most what more urgent requests bring in this time; more would stay unused.
RESERVE_S: Final = 0.5
# A rank is served about this part as often as all requests at least, the first number for the most
# urgent and the second for the least urgent one. The users ask for a quarter, and the measure is late.
MAX_FLOOR_SHARE: Final = 0.55
MIN_FLOOR_SHARE: Final = 0.45
# Promoted part of a rank's requests for each part that is missing to its floor. A larger gain makes
# the promotion swing within the time that reports take.
PROMOTION_GAIN: Final = 3.0

# The priorities of a service in ascending order, so that the index of one is its rank.
Priorities = tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """Demand of one priority for the decode memory of a service, in tokens.

    :ivar arrived_per_s: requests that arrived, over the last seconds
    :ivar short_per_s: those of them that found no room at their first try
    :ivar refused_per_s: those of them that were refused for lack of room
    :ivar waiting_tokens: requests that wait for room now
    """

    service: str
    priority: int
    arrived_per_s: float = 0.0
    short_per_s: float = 0.0
    refused_per_s: float = 0.0
    waiting_tokens: float = 0.0

    @property
    def kept_per_s(self) -> float:
        """Return what was not refused, in tokens a second."""
        return max(0.0, self.arrived_per_s - self.refused_per_s)

    @property
    def amounts(self) -> tuple[float, float, float, float]:
        """Return all amounts in the order of their fields."""
        return self.arrived_per_s, self.short_per_s, self.refused_per_s, self.waiting_tokens


def is_plausible(demand: Demand) -> bool:
    """Return whether a demand that a peer reports can be true."""
    return (
        isinstance(demand.service, str)
        and isinstance(demand.priority, int)
        and all(
            isinstance(each, float) and 0.0 <= each <= MAX_PLAUSIBLE_TOKENS
            for each in demand.amounts
        )
    )


def to_report(demands: Iterable[Demand]) -> tuple[Demand, ...]:
    """Return the demands that fit into a report; those that met lack of room come first."""
    present = [each for each in demands if any(each.amounts)]
    present.sort(key=lambda each: (-each.short_per_s, -each.arrived_per_s))
    return tuple(present[:MAX_REPORTED])


def total(demands: Iterable[Demand], factor: float = 1.0) -> tuple[Demand, ...]:
    """Return the sum of demands by service and priority, times a factor."""
    amounts_by_key: dict[tuple[str, int], Sequence[float]] = collections.defaultdict(
        lambda: (0.0,) * 4
    )
    for each in demands:
        key = each.service, each.priority
        amounts_by_key[key] = [
            a + b for a, b in zip(amounts_by_key[key], each.amounts, strict=True)
        ]
    return tuple(
        Demand(service, priority, *(factor * each for each in amounts))
        for (service, priority), amounts in amounts_by_key.items()
    )


def by_rank(service: str, priorities: Priorities, demands: Iterable[Demand]) -> tuple[Demand, ...]:
    """Return the demand of each rank of a service.

    Peers may know priorities that are not listed here, since their configuration may be another one.
    """
    of_service = [
        dataclasses.replace(each, priority=priorities[rank(priorities, each.priority)])
        for each in demands
        if each.service == service
    ]
    nothing = [Demand(service, each) for each in priorities]
    return tuple(sorted(total([*nothing, *of_service]), key=lambda each: each.priority))


def reserve_shares(demand_by_rank: Sequence[Demand], memory_tokens: float) -> tuple[float, ...]:
    """Return for each rank the part of a KV cache that it leaves free for more urgent ranks.

    It is zero unless more urgent requests have lately found no room, and never falls with the rank.

    :param memory_tokens: size of the KV caches of all decode engines
    """
    shares: list[float] = []
    share = arrived_per_s = short_per_s = 0.0
    for each in demand_by_rank:
        shares.append(share)
        arrived_per_s += each.arrived_per_s
        short_per_s += each.short_per_s
        if arrived_per_s > 0.0 and memory_tokens > 0.0:
            need = _fraction(short_per_s / arrived_per_s, MIN_SHORT_SHARE, MAX_SHORT_SHARE)
            largest = min(MAX_RESERVE_SHARE, arrived_per_s * RESERVE_S / memory_tokens)
            share = max(share, need * largest)
    return tuple(shares)


def reserve_of(shares: Sequence[float], rank: int, late_share: float) -> float:
    """Return the part of a KV cache that has to stay free beside a request.

    More urgent requests don't leave more to those that can be on time than less urgent ones do.

    :param shares: what each rank leaves free
    :param late_share: what the request leaves free because it is late, zero if it is not
    """
    share = max(shares[rank], late_share)
    return share if rank == len(shares) - 1 else min(share, shares[rank + 1])


def promoted_shares(demand_by_rank: Sequence[Demand]) -> tuple[float, ...]:
    """Return for each rank the part of its requests that is treated as the most urgent rank.

    The floor falls with the rank, so that two ranks at their floors are not served in reverse order.
    """
    served = _served_share(demand_by_rank)
    step = (MAX_FLOOR_SHARE - MIN_FLOOR_SHARE) / max(1, len(demand_by_rank) - 1)
    shares: list[float] = []
    for number, each in enumerate(demand_by_rank):
        floor = (MAX_FLOOR_SHARE - step * number) * served
        shares.append(max(0.0, min(floor, PROMOTION_GAIN * (floor - _served_share([each])))))
    return tuple(shares)


def _fraction(value: float, low: float, high: float) -> float:
    """Return where a value lies between two bounds, 0 to 1."""
    return max(0.0, min(1.0, (value - low) / (high - low)))


def _served_share(demands: Sequence[Demand]) -> float:
    """Return the part of the demand that was not refused lately, one without any demand."""
    arrived_per_s = sum(each.arrived_per_s for each in demands)
    if arrived_per_s <= 0.0:
        return 1.0
    return sum(each.kept_per_s for each in demands) / arrived_per_s


def priority_of(route: entities.Route, workspace: entities.Workspace | None) -> int:
    """Return the priority of a request; zero is the most urgent."""
    if workspace is not None and workspace.priority is not None:
        return workspace.priority
    return route.priority


def priorities_by_service(configuration: entities.Configuration) -> Mapping[str, Priorities]:
    """Return the priorities of each service of engines that has requests of more than one."""
    found: dict[str, set[int]] = {}
    of_workspaces = {each.priority for each in configuration.workspace_by_key.values()}
    for routes in configuration.routes_by_host.values():
        for route in routes:
            # Requests of an open route have no workspace.
            is_open = route.is_open_to_all or not configuration.has_workspaces
            workspaces = {None} if is_open else of_workspaces
            priorities = {route.priority if each is None else each for each in workspaces}
            for share in route.shares:
                if share.weight > 0.0:
                    found.setdefault(share.service, set()).update(priorities)
    return {
        name: tuple(sorted(priorities))
        for name, priorities in found.items()
        if len(priorities) > 1 and _has_engines(configuration, name)
    }


def engine_priority(priority: int) -> int:
    """Return the priority to tell engines, which know ten of them."""
    return max(0, min(MAX_ENGINE_PRIORITY, priority))


def rank(priorities: Priorities, priority: int) -> int:
    """Return the rank of a priority within its service, zero for the most urgent.

    A request that is older than the configuration may have a priority that is no longer listed. It
    then ranks with the next less urgent one.
    """
    return min(bisect.bisect_left(priorities, priority), len(priorities) - 1)


def _has_engines(configuration: entities.Configuration, service: str) -> bool:
    known = configuration.service_by_name.get(service)
    return known is not None and known.engine_spec is not None
