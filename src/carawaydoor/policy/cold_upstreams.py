"""Decides which upstreams are cold and how many requests a second they get.

An upstream that has just started, or says that it is cold, handles few requests a second. All
instances together keep to that number, which is divided among them like a limit that it names.
"""

from __future__ import annotations

import dataclasses
import enum
import functools
import math
from collections.abc import Collection, Mapping
from typing import Final

from carawaydoor.policy import entities, limit_sharing

# Longer cold periods are taken for mistakes; the longest in use is 3 s.
MAX_COLD_S: Final = 600.0
# After a cold period, the limit doubles at once and after each of these steps. Starting at 18 requests a
# second, it ends at 144, which exceeds what one upstream gets in the largest deployments.
RISE_STEP_S: Final = 1.0
RISE_STEPS: Final = 3
RISE_S: Final = RISE_STEP_S * RISE_STEPS
# Exceeds the number of upstreams of the largest fleet (12,000).
MAX_REMEMBERED: Final = 16_384
# The bound holds over one second. The remainder covers requests that travel for different times and
# permits that are held while a prompt is prefilled.
WINDOW_S: Final = 1.25
# The remainder covers instances that gain a share before others know that they have lost it.
USED_BOUND_SHARE: Final = 0.9
# Below this rate, an upstream would get nothing within its cold period.
MIN_USED_PER_S: Final = 0.1
# Bounds the cost of ranking the instances of a large fleet.
MAX_SHARING_INSTANCES: Final = 64
_MS_PER_S: Final = 1000.0
# The product of a share and the window may exceed a whole number by rounding.
_ROUNDING_TOLERANCE: Final = 1e-9


class ColdTimeError(Exception):
    """The text states no usable time."""


class Source(enum.Enum):
    """From where an instance has learned that an upstream is cold."""

    START = "start"
    ENTRY = "entry"
    RESPONSE = "response"


def parse_remaining_s(text: str) -> float:
    """Return a remaining cold time in seconds.

    :param text: a number of milliseconds
    :raises ColdTimeError: if the text is not a number from zero to ``MAX_COLD_S``
    """
    try:
        remaining_s = float(text) / _MS_PER_S
    except ValueError:
        raise ColdTimeError("not a number") from None
    if not 0.0 <= remaining_s <= MAX_COLD_S:
        raise ColdTimeError(f"not between 0 and {MAX_COLD_S:.0f} s")
    return remaining_s


@dataclasses.dataclass(frozen=True, slots=True)
class ColdSharing(limit_sharing.Sharing):
    """Divides the limits of cold upstreams, which hold in each second.

    An instance saves up one permit at most, so that its requests are at least 1 / share apart. All known
    instances are ranked, also silent ones, so that the parts of a divided fleet use different shares.

    :ivar overshoot: multiple of the limit that may be sent in one second
    :ivar slack: requests that may be sent in one second in addition
    """

    overshoot: float
    slack: float

    def ranked(self, fleet: limit_sharing.Fleet) -> tuple[str, ...]:
        """Return all known instances."""
        return fleet.known

    def usable_per_s(self, limit_per_s: float, fleet: limit_sharing.Fleet) -> float:
        """Return the whole limit, unless this instance knows no other one though there are some."""
        alone_share = fleet.usable_share if len(fleet.known) <= 1 else 1.0
        return usable_per_s(limit_per_s, self.overshoot, self.slack) * alone_share

    def instance_count(self, limit_per_s: float, fleet: limit_sharing.Fleet) -> int:
        """Return the largest number whose requests in a second stay within the bound."""
        return sharing_count(limit_per_s, self.overshoot, self.slack, len(fleet.known))

    def max_instances(self) -> float:
        """Return how many instances share a limit at most."""
        return MAX_SHARING_INSTANCES

    def max_saved(self, _: float) -> float:
        """Return one permit."""
        return 1.0


def usable_per_s(limit_per_s: float, overshoot: float, slack: float) -> float:
    """Return the rate at which a limit can be used within its bound."""
    return min(limit_per_s, max(MIN_USED_PER_S, _usable_in_window(limit_per_s, overshoot, slack)))


def _usable_in_window(limit_per_s: float, overshoot: float, slack: float) -> float:
    return math.floor((limit_per_s * overshoot + slack) * USED_BOUND_SHARE) / WINDOW_S


@functools.lru_cache(maxsize=4096)
def sharing_count(limit_per_s: float, overshoot: float, slack: float, instances: int) -> int:
    """Return how many of some instances share a limit.

    An instance whose requests are 1 / share apart sends share x ``WINDOW_S`` of them in the window,
    rounded up. The largest number for which the sum stays within the bound captures the most requests.
    """
    in_window = usable_per_s(limit_per_s, overshoot, slack) * WINDOW_S
    most = (limit_per_s * overshoot + slack) * USED_BOUND_SHARE
    for count in range(min(instances, MAX_SHARING_INSTANCES), 1, -1):
        if count * math.ceil(in_window / count - _ROUNDING_TOLERANCE) <= most:
            return count
    return 1


@dataclasses.dataclass(frozen=True, slots=True)
class ColdPeriod:
    """What an instance knows of the cold time of an incarnation.

    :ivar started_s: when this instance learned of the incarnation, -inf if it was in the first list
    :ivar stated_until_s: latest end that the upstream has stated, -inf for none
    :ivar source: from where the latest end is known
    """

    upstream: entities.Upstream
    started_s: float
    stated_until_s: float = float("-inf")
    source: Source = Source.START


@dataclasses.dataclass(frozen=True, slots=True)
class ColdUpstreams:
    """Incarnations that are or may be cold, and those that are known.

    :ivar seen_by_id: start and entry revision of the latest incarnation seen of each server, the one that
        was listed longest ago first
    """

    period_by_incarnation: Mapping[entities.Incarnation, ColdPeriod] = dataclasses.field(
        default_factory=dict
    )
    seen_by_id: Mapping[str, tuple[int, int]] = dataclasses.field(default_factory=dict)


def record_listed(
    state: ColdUpstreams,
    now_s: float,
    upstreams: Collection[entities.Upstream],
    is_first_list: bool,
) -> ColdUpstreams:
    """Record entries of the list of upstreams; an entry that is read again says nothing new.

    :param is_first_list: whether this instance had no list before
    """
    if not upstreams:
        return state
    seen_by_id = dict(state.seen_by_id)
    period_by_incarnation = dict(state.period_by_incarnation)
    for upstream in upstreams:
        seen = seen_by_id.pop(upstream.id, None)
        seen_by_id[upstream.id] = upstream.born_ms, upstream.entry_revision
        is_known = seen is not None and seen[0] == upstream.born_ms
        period = period_by_incarnation.get(upstream.incarnation)
        if not is_known and not is_first_list:
            period = ColdPeriod(upstream, now_s)
        is_read_again = is_known and seen == (upstream.born_ms, upstream.entry_revision)
        if upstream.cold_remaining_s > 0.0 and not (is_read_again and upstream.entry_revision):
            period = _stated(period, upstream, now_s + upstream.cold_remaining_s, Source.ENTRY)
        if period is not None:
            period_by_incarnation[upstream.incarnation] = period
    for key in tuple(seen_by_id)[: max(0, len(seen_by_id) - MAX_REMEMBERED)]:
        del seen_by_id[key]
    return ColdUpstreams(period_by_incarnation, seen_by_id)


def record_stated(
    state: ColdUpstreams, now_s: float, upstream: entities.Upstream, remaining_s: float
) -> ColdUpstreams:
    """Record the remaining cold time that an upstream states in a response."""
    if remaining_s <= 0.0:
        return state
    known = state.period_by_incarnation.get(upstream.incarnation)
    period = _stated(known, upstream, now_s + remaining_s, Source.RESPONSE)
    periods = {**state.period_by_incarnation, upstream.incarnation: period}
    return dataclasses.replace(state, period_by_incarnation=periods)


def _stated(
    period: ColdPeriod | None, upstream: entities.Upstream, until_s: float, source: Source
) -> ColdPeriod:
    """Return a period that ends at the stated time or later."""
    if period is None:
        return ColdPeriod(upstream, float("-inf"), until_s, source)
    if until_s <= period.stated_until_s:
        return period
    return dataclasses.replace(period, stated_until_s=until_s, source=source)


def cold_until_s(period: ColdPeriod, service: entities.Service) -> float:
    """Return when an upstream is cold no longer, -inf if it never was."""
    if service.cold_start_s <= 0.0:
        return period.stated_until_s
    return max(period.started_s + service.cold_start_s, period.stated_until_s)


def limit_per_s(period: ColdPeriod, service: entities.Service, now_s: float) -> float | None:
    """Return the limit of an upstream in requests a second, None if it has none any more."""
    until_s = cold_until_s(period, service)
    if service.cold_per_s <= 0.0 or now_s >= until_s + RISE_S:
        return None
    if now_s < until_s:
        return service.cold_per_s
    return service.cold_per_s * 2.0 ** (int((now_s - until_s) / RISE_STEP_S) + 1)


def without_past(
    state: ColdUpstreams, now_s: float, service_by_name: Mapping[str, entities.Service]
) -> ColdUpstreams:
    """Return the state without periods that can't bring a limit any more."""
    kept = {}
    for incarnation, period in state.period_by_incarnation.items():
        service = service_by_name.get(period.upstream.service)
        if service is None:
            # Its configuration may be read later than the list.
            until_s = max(period.started_s + MAX_COLD_S, period.stated_until_s)
        else:
            until_s = cold_until_s(period, service)
        if now_s < until_s + RISE_S:
            kept[incarnation] = period
    if len(kept) == len(state.period_by_incarnation):
        return state
    return dataclasses.replace(state, period_by_incarnation=kept)
