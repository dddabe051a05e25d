"""Decides which capacity is assumed of each upstream, by what its calls and those of peers show."""

from __future__ import annotations

import dataclasses
import math
import statistics
from collections.abc import Collection, Iterable, Mapping
from typing import Final

from carawaydoor.policy import capacity_fit, entities

Kind = capacity_fit.Kind
Fit = capacity_fit.Fit

# An upstream with less weight counts as one whose speed is unknown; one observation may be noise.
MIN_WEIGHT: Final = 2.0
# Estimates of less weight don't show that speeds differ: a few observations may all be noise.
MIN_DIFFERING_WEIGHT: Final = 12.0
# A change that was noticed shows that speeds differ after this time; some prompts behind an unknown one
# look like a change for a moment.
MIN_CHANGE_S: Final = 2.0
# Upstreams of a service whose speeds differ by less are alike: below the smallest ratio in use (1.3),
# and above what prompts and late reports leave of equal speeds (about 0.1 either way).
DIFFERING_RATIO: Final = 1.2
# Once speeds have differed, they do so down to this ratio, so that choices don't alternate.
STILL_DIFFERING_RATIO: Final = 1.1
# Standard errors by which the extremes of up to 100 equal upstreams differ at most, nearly always.
DIFFERING_ERRORS: Final = 3.5
# A value counts within this factor of the median of its service, either way, so that a false one can
# neither empty nor flood an upstream.
MAX_RATIO: Final = 8.0
# An estimate without an observation for this time approaches the median of its service, by half of
# the ratio's logarithm in the time below: an upstream at a fifth is tried again after some 30 s.
STALE_AFTER_S: Final = 10.0
STALE_HALF_LIFE_S: Final = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class Capacity:
    """The capacity that is assumed of an upstream.

    :ivar unit_s: seconds for one unit of work
    :ivar ratio: ``unit_s`` over the median of the service
    :ivar concurrency: requests beyond which no more work is finished
    :ivar weight: observations that it is based on
    :ivar age_s: age of the newest one
    """

    unit_s: float
    ratio: float
    concurrency: int
    weight: float
    age_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Capacities:
    """The capacities of the upstreams of one service, by kind of work.

    :ivar median_s_by_kind: seconds for one unit of work at the service's median upstream
    :ivar differing: kinds at which the upstreams' capacities differ by more than noise
    """

    by_kind: Mapping[Kind, Mapping[entities.Incarnation, Capacity]] = dataclasses.field(
        default_factory=dict
    )
    median_s_by_kind: Mapping[Kind, float] = dataclasses.field(default_factory=dict)
    differing: frozenset[Kind] = frozenset()

    def unit_s(self, upstream: entities.Upstream, kind: Kind, default_s: float) -> float:
        """Return the seconds for a unit of work, that of the median upstream if none is known.

        :param default_s: returned if nothing is known of the service
        """
        capacity = self.by_kind.get(kind, {}).get(upstream.incarnation)
        if capacity is not None and kind in self.differing:
            return capacity.unit_s
        return self.median_s_by_kind.get(kind, default_s)

    def ratio(self, upstream: entities.Upstream, kind: Kind) -> float:
        """Return the time for a unit of work, relative to the median upstream."""
        capacity = self.by_kind.get(kind, {}).get(upstream.incarnation)
        return 1.0 if capacity is None else capacity.ratio

    def concurrency(self, upstream: entities.Upstream, kind: Kind) -> int:
        """Return the requests beyond which an upstream finishes no more work."""
        capacity = self.by_kind.get(kind, {}).get(upstream.incarnation)
        return upstream.slots if capacity is None else capacity.concurrency


UNKNOWN: Final = Capacities()


def combine(
    fits: Mapping[Kind, Mapping[entities.Incarnation, Fit]],
    now_s: float,
    differed: Collection[Kind] = (),
) -> Capacities:
    """Return the capacities of the upstreams of a service.

    :param differed: kinds at which the capacities differed before
    """
    by_kind: dict[Kind, dict[entities.Incarnation, Capacity]] = {}
    median_s_by_kind: dict[Kind, float] = {}
    differing: set[Kind] = set()
    for kind, by_incarnation in fits.items():
        known = {
            key: each
            for key, each in by_incarnation.items()
            if each.weight >= MIN_WEIGHT or each.change is not None
        }
        if not known:
            continue
        median_s = statistics.median(each.unit_s for each in known.values())
        median_s_by_kind[kind] = median_s
        by_kind[kind] = {key: _capacity(each, median_s, now_s) for key, each in known.items()}
        if _differ(known.values(), now_s, kind in differed):
            differing.add(kind)
    return Capacities(by_kind, median_s_by_kind, frozenset(differing))


def _capacity(known: Fit, median_s: float, now_s: float) -> Capacity:
    """Return a fit as it is used: within bounds, and nearer to the median the older it is."""
    age_s = max(0.0, now_s - known.newest_s)
    faith = 0.5 ** (max(0.0, age_s - STALE_AFTER_S) / STALE_HALF_LIFE_S)
    ratio = min(MAX_RATIO, max(1.0 / MAX_RATIO, known.unit_s / median_s)) ** faith
    return Capacity(ratio * median_s, ratio, known.concurrency, known.weight, age_s)


def _differ(fits: Iterable[Fit], now_s: float, differed: bool) -> bool:
    """Return whether the capacities of a service's upstreams differ by more than noise."""
    fits = [each for each in fits if each.weight >= MIN_DIFFERING_WEIGHT or _is_new(each, now_s)]
    if not fits:
        return False
    slowest, fastest = max(fits, key=_unit_s), min(fits, key=_unit_s)
    distance = math.log(slowest.unit_s / fastest.unit_s)
    noise = DIFFERING_ERRORS * math.hypot(slowest.error, fastest.error)
    shares = [each.concurrency / max(1, each.slots) for each in fits]
    if max(shares) > DIFFERING_RATIO * min(shares):
        return True
    if differed:
        return distance > max(math.log(STILL_DIFFERING_RATIO), noise / 2.0)
    return distance > max(math.log(DIFFERING_RATIO), noise)


def _is_new(known: Fit, now_s: float) -> bool:
    """Return whether a speed is based on few observations because it has changed."""
    change = known.change
    if change is None:
        return known.since_s > float("-inf")
    return now_s - change.noticed_s >= MIN_CHANGE_S


def _unit_s(known: Fit) -> float:
    return known.unit_s
