"""Estimates how fast each upstream works and how many requests it handles well.

The calls of one instance are few, so observations of all instances are combined. What disturbs a
call makes it slower: other requests that are not known, and noise. A low quantile of the times, which
is their lower envelope without the outliers, is therefore close to the undisturbed time.
"""

from __future__ import annotations

import bisect
import dataclasses
import enum
import itertools
import math
import statistics
from collections.abc import Collection, Iterable, Mapping, Sequence
from typing import Final

from carawaydoor.policy import entities

# Observations lose half their weight in this time: a few hundred calls of a service in use, which
# is long beside periods of noise (0.6 s).
WEIGHT_HALF_LIFE_S: Final = 15.0
# Older observations are dropped.
MAX_AGE_S: Final = 60.0
# A change of speed shows within this time: one round of reports to 80 peers takes 1.75 s.
RECENT_S: Final = 2.5
# Fewer recent observations may all be noise.
MIN_RECENT_OBSERVATIONS: Final = 3
# Between noise (2.5 times slower) and a slow-down that has to be noticed (5 times).
CHANGE_RATIO: Final = 3.0
# The quarter of the recent observations that lies nearest to the older estimate decides on a change.
CHANGE_QUANTILE: Final = 0.25
# An upstream with less weight counts as one whose speed is unknown; one observation may be noise.
MIN_WEIGHT: Final = 2.0
# Estimates of less weight don't show that speeds differ: a few observations may all be noise.
MIN_DIFFERING_WEIGHT: Final = 8.0
# Upstreams of a service whose speeds differ by less are alike: below the smallest ratio in use (1.3),
# and above what prompts and late reports leave of equal speeds (about 0.1 either way).
DIFFERING_RATIO: Final = 1.2
# Once speeds have differed, they do so down to this ratio, so that choices don't alternate.
STILL_DIFFERING_RATIO: Final = 1.1
# Standard errors by which the extremes of up to 100 equal upstreams differ at most, nearly always.
DIFFERING_ERRORS: Final = 3.5
# Error (of the logarithm) that is assumed of one observation at least; few may agree by chance.
MIN_ERROR: Final = 0.1
# A value counts within this factor of the median of its service, either way, so that a false one can
# neither empty nor flood an upstream.
MAX_RATIO: Final = 8.0
# An estimate without an observation for this time approaches the median of its service, by half of
# the ratio's logarithm in the time below: an upstream at a fifth is tried again after some 30 s.
STALE_AFTER_S: Final = 10.0
STALE_HALF_LIFE_S: Final = 10.0
# Deviation, as a share of that without a knee, below which the fit accepts a lower concurrency.
MAX_KNEE_DEVIATION_SHARE: Final = 0.85
# Share of the observations that a knee has to explain: those at more requests.
MIN_SHARE_BEYOND_KNEE: Final = 0.15
# Concurrencies that are tried for an upstream, evenly up to its slots.
MAX_KNEES: Final = 8
# Time after which an instance knows that a prompt of a peer has been processed: in the model, the
# estimates of prefill speeds fit best with 0.2 and 0.3 s, of 0.0 to 0.3.
QUEUE_LATENESS_S: Final = 0.25
# Weight of one entry of a peer at most.
MAX_WEIGHT: Final = 8.0
# Reports take about as long; the entry of a peer is rather too old than too new beside own ones.
REPORT_DELAY_S: Final = 0.2
# An upstream has no more requests than this; a higher figure is a mistake.
MAX_LOAD: Final = 100_000.0


class Kind(enum.IntEnum):
    """The unit of work that is measured; the value stands in reports."""

    PREFILL_TOKEN = 1
    EVENT = 2
    FIRST_EVENT = 3
    CALL = 4


# Times for a unit of work that can be true, in seconds: a prefill engine processes 40,000 tokens a
# second, an event takes some milliseconds, and a call ends within the time that callers wait.
_BOUNDS_S_BY_KIND: Final = {
    Kind.PREFILL_TOKEN: (1e-7, 0.1),
    Kind.EVENT: (1e-5, 10.0),
    Kind.FIRST_EVENT: (1e-4, 60.0),
    Kind.CALL: (1e-5, 60.0),
}
# Quantile of the observed times that is the estimate. Prefill calls are delayed by prompts that are
# not known yet: with 30 calls at 0.6 to 1.1 of the capacity, the logarithm of the estimate was off by 0.0
# to 0.03 in the mean with 0.1, and by 0.04 to 0.08 with 0.15.
_QUANTILE_BY_KIND: Final = {
    Kind.PREFILL_TOKEN: 0.1,
    Kind.EVENT: 0.25,
    Kind.FIRST_EVENT: 0.25,
    Kind.CALL: 0.25,
}
# Units whose time rises with the requests of the upstream beyond its concurrency.
_KINDS_WITH_KNEE: Final = frozenset({Kind.EVENT, Kind.CALL})


class ObservationError(Exception):
    """The values are no possible observation."""


@dataclasses.dataclass(frozen=True, slots=True)
class Observation:
    """The time for a unit of work at an upstream, of one call or of several.

    :ivar load: requests at the upstream, with those that were observed
    :ivar unit_s: seconds for one unit of work
    :ivar weight: number of calls, less where the load is uncertain
    :ivar observed_s: the instance's clock at the end of the calls
    """

    load: float
    unit_s: float
    weight: float
    observed_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Fit:
    """What the observations of one upstream say.

    :ivar unit_s: seconds for one unit of work up to the concurrency
    :ivar concurrency: requests beyond which no more work is finished
    :ivar slots: requests that the upstream runs at once
    :ivar weight: sum of the weights of the observations, less for older ones
    :ivar error: standard error of the logarithm of ``unit_s``
    :ivar newest_s: time of the newest observation
    :ivar since_s: older observations are of another speed
    """

    unit_s: float
    concurrency: int
    slots: int
    weight: float
    error: float
    newest_s: float
    since_s: float


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


def check(kind_value: int, load: float, unit_s: float, weight: float) -> Kind:
    """Return the kind of an observation that is possible.

    :raises ObservationError: if a value is out of range or the kind is unknown
    """
    try:
        kind = Kind(kind_value)
    except ValueError:
        raise ObservationError(f"unknown kind {kind_value}") from None
    low_s, high_s = _BOUNDS_S_BY_KIND[kind]
    if not low_s <= unit_s <= high_s:
        raise ObservationError(f"not between {low_s} and {high_s} seconds")
    if not 0.0 < load <= MAX_LOAD or not 0.0 < weight <= MAX_WEIGHT:
        raise ObservationError("load or weight out of range")
    return kind


def prefill_unit_s(prompt_tokens: int, queued_tokens: int, took_s: float) -> float:
    """Return the time for a token that a prefill call shows.

    The queue is only known as it was some time before. The engine may have processed as much of it
    as it can in that time, or even all of it.

    :param queued_tokens: known tokens of other requests at the engine when the call was sent
    :param took_s: time from sending to the response
    """
    prompt, queued = max(1, prompt_tokens), max(0, queued_tokens)
    return min(took_s / prompt, (took_s + QUEUE_LATENESS_S) / (prompt + queued))


def summary(kind: Kind, observations: Sequence[Observation]) -> Observation:
    """Return one entry for some observations of the same time.

    Load and time go together, so both are those of one call.
    """
    weights = [each.weight for each in observations]
    order = sorted(range(len(observations)), key=lambda each: observations[each].unit_s)
    sums = list(itertools.accumulate(weights[each] for each in order))
    position = bisect.bisect_left(sums, _QUANTILE_BY_KIND[kind] * sums[-1])
    chosen = observations[order[min(len(order) - 1, position)]]
    newest_s = max(map(_observed_s, observations))
    return Observation(chosen.load, chosen.unit_s, min(MAX_WEIGHT, sum(weights)), newest_s)


def fit(
    kind: Kind,
    observations: Iterable[Observation],
    now_s: float,
    slots: int,
    since_s: float = float("-inf"),
) -> Fit | None:
    """Return what observations of an upstream say, None if there are none.

    :param slots: requests that the upstream runs at once
    :param since_s: older observations are of another speed
    """
    usable = [
        each
        for each in observations
        if each.observed_s >= since_s and now_s - each.observed_s <= MAX_AGE_S
    ]
    if not usable:
        return None
    recent = [each for each in usable if now_s - each.observed_s <= RECENT_S]
    if len(recent) < len(usable) and _has_changed(kind, usable, recent, now_s, slots):
        since_s, usable = now_s - RECENT_S, recent
    weights = _weights(usable, now_s)
    concurrency = _fit_knee(kind, usable, weights, slots)
    unit_s, error = _fit_time(kind, usable, weights, concurrency)
    return Fit(
        unit_s,
        concurrency,
        slots,
        sum(weights),
        error,
        max(map(_observed_s, usable)),
        since_s,
    )


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
        known = {key: each for key, each in by_incarnation.items() if each.weight >= MIN_WEIGHT}
        if not known:
            continue
        median_s = statistics.median(each.unit_s for each in known.values())
        median_s_by_kind[kind] = median_s
        by_kind[kind] = {key: _capacity(each, median_s, now_s) for key, each in known.items()}
        if _differ(known.values(), kind in differed):
            differing.add(kind)
    return Capacities(by_kind, median_s_by_kind, frozenset(differing))


def _capacity(known: Fit, median_s: float, now_s: float) -> Capacity:
    """Return a fit as it is used: within bounds, and nearer to the median the older it is."""
    age_s = max(0.0, now_s - known.newest_s)
    faith = 0.5 ** (max(0.0, age_s - STALE_AFTER_S) / STALE_HALF_LIFE_S)
    ratio = min(MAX_RATIO, max(1.0 / MAX_RATIO, known.unit_s / median_s)) ** faith
    return Capacity(ratio * median_s, ratio, known.concurrency, known.weight, age_s)


def _differ(fits: Iterable[Fit], differed: bool) -> bool:
    """Return whether the capacities of a service's upstreams differ by more than noise."""
    fits = [each for each in fits if each.weight >= MIN_DIFFERING_WEIGHT]
    if not fits:
        return False
    slowest, fastest = max(fits, key=_unit_s), min(fits, key=_unit_s)
    distance = math.log(slowest.unit_s / fastest.unit_s)
    shares = [each.concurrency / max(1, each.slots) for each in fits]
    if max(shares) > DIFFERING_RATIO * min(shares):
        return True
    if differed:
        return distance > math.log(STILL_DIFFERING_RATIO)
    noise = DIFFERING_ERRORS * math.hypot(slowest.error, fastest.error)
    return distance > max(math.log(DIFFERING_RATIO), noise)


def _has_changed(
    kind: Kind,
    usable: Sequence[Observation],
    recent: Sequence[Observation],
    now_s: float,
    slots: int,
) -> bool:
    """Return whether the recent observations are of another speed than the older ones."""
    if len(recent) < MIN_RECENT_OBSERVATIONS:
        return False
    older = [each for each in usable if now_s - each.observed_s > RECENT_S]
    weights = _weights(older, now_s)
    concurrency = _fit_knee(kind, older, weights, slots)
    before_s, _ = _fit_time(kind, older, weights, concurrency)
    ratios = sorted(each.unit_s / _stretch(each.load, concurrency) / before_s for each in recent)
    nearest = int(CHANGE_QUANTILE * len(ratios))
    return ratios[nearest] > CHANGE_RATIO or ratios[-1 - nearest] < 1.0 / CHANGE_RATIO


def _fit_knee(
    kind: Kind, observations: Sequence[Observation], weights: Sequence[float], slots: int
) -> int:
    """Return the concurrency whose model deviates least from the observations."""
    if kind not in _KINDS_WITH_KNEE:
        return slots
    least = without_knee = _deviation(observations, weights, slots)
    best, total = slots, sum(weights)
    for concurrency in _knees(slots):
        beyond = sum(
            weight
            for each, weight in zip(observations, weights, strict=True)
            if each.load > concurrency
        )
        if beyond < MIN_SHARE_BEYOND_KNEE * total:
            break
        deviation = _deviation(observations, weights, concurrency)
        if deviation < min(least, MAX_KNEE_DEVIATION_SHARE * without_knee):
            best, least = concurrency, deviation
    return best


def _knees(slots: int) -> list[int]:
    parts = min(slots, MAX_KNEES)
    return [slots * part // parts for part in range(1, parts)]


def _deviation(
    observations: Sequence[Observation], weights: Sequence[float], concurrency: int
) -> float:
    """Return the mean deviation from the median of the logarithm of the time for a unit of work."""
    times = [math.log(each.unit_s / _stretch(each.load, concurrency)) for each in observations]
    median = _quantiles(times, weights, (0.5,))[0]
    deviations = (weight * abs(each - median) for each, weight in zip(times, weights, strict=True))
    return sum(deviations) / sum(weights)


def _fit_time(
    kind: Kind, observations: Sequence[Observation], weights: Sequence[float], concurrency: int
) -> tuple[float, float]:
    """Return the time for a unit of work and the standard error of its logarithm."""
    times_s = [each.unit_s / _stretch(each.load, concurrency) for each in observations]
    share, total = _QUANTILE_BY_KIND[kind], sum(weights)
    # So far is the share of the times below the true quantile from the expected one.
    spread = math.sqrt(share * (1.0 - share) / total)
    low_s, unit_s, high_s = _quantiles(times_s, weights, (share - spread, share, share + spread))
    return unit_s, max(MIN_ERROR / math.sqrt(total), math.log(high_s / low_s) / 2.0)


def _stretch(load: float, concurrency: int) -> float:
    return max(1.0, load / max(1, concurrency))


def _weights(observations: Iterable[Observation], now_s: float) -> list[float]:
    return [
        each.weight * 0.5 ** (max(0.0, now_s - each.observed_s) / WEIGHT_HALF_LIFE_S)
        for each in observations
    ]


def _quantiles(
    values: Sequence[float], weights: Sequence[float], shares: Iterable[float]
) -> list[float]:
    order = sorted(range(len(values)), key=values.__getitem__)
    sums = list(itertools.accumulate(weights[each] for each in order))
    last = len(order) - 1
    return [
        values[order[min(last, bisect.bisect_left(sums, share * sums[-1]))]] for share in shares
    ]


def _observed_s(observation: Observation) -> float:
    return observation.observed_s


def _unit_s(known: Fit) -> float:
    return known.unit_s
