"""Fits the time for a unit of work at an upstream to observations of calls.

What disturbs a call makes it slower: other requests that are not known, and noise. A low quantile of
the times, which is their lower envelope without the outliers, is close to the undisturbed time.
"""

from __future__ import annotations

import bisect
import dataclasses
import enum
import itertools
import math
from collections.abc import Iterable, Sequence
from typing import Final

# Observations lose half their weight in this time: a few hundred calls of a service in use, which
# is long beside periods of noise (0.6 s).
WEIGHT_HALF_LIFE_S: Final = 15.0
# Older observations are dropped.
MAX_AGE_S: Final = 60.0
# Observations that may show a change of speed: one round of reports to 80 peers takes 1.75 s, and a slow
# engine ends a call in some seconds.
RECENT_S: Final = 5.0
# Of these, only the ones within this time, which is longer than periods of noise (0.6 s), or the newest
# few if there are less. Older ones would delay the notice of a change.
CHANGE_PERIOD_S: Final = 1.0
CHANGE_OBSERVATIONS: Final = 5
# Fewer recent observations may all be noise.
MIN_RECENT_OBSERVATIONS: Final = 3
# Fewer older ones are no base to compare with.
MIN_OLDER_OBSERVATIONS: Final = 8
# Between noise (2.5 times slower) and a slow-down that has to be noticed (5 times).
CHANGE_RATIO: Final = 3.0
# A change that has been visible for this time is no noise; older observations are dropped then.
CONFIRMATION_S: Final = 3.0
# Share of them that has to be beyond that ratio: a few may be of before, or of noise.
MIN_CHANGED_SHARE: Final = 0.75
# Weight of the observations below the estimate at least.
MIN_BELOW: Final = 1.5
# Calls of the same moment share their noise, so more of them tell no more.
MAX_INDEPENDENT: Final = 64.0
# Error (of the logarithm) that is assumed of one observation at least; few may agree by chance.
MIN_ERROR: Final = 0.1
# Deviation, as a share of that without a knee, below which the fit accepts a lower concurrency.
MAX_KNEE_DEVIATION_SHARE: Final = 0.85
# Share of the observations that a knee has to explain: those at more requests.
MIN_SHARE_BEYOND_KNEE: Final = 0.15
# The concurrency is determined anew at most this often, since that takes most of the time of a fit.
KNEE_INTERVAL_S: Final = 5.0
# Concurrencies that are tried for an upstream, evenly up to its slots.
MAX_KNEES: Final = 8
# Time after which an instance knows that a prompt of a peer has been processed: in the model, the
# estimates of prefill speeds fit best with 0.2 and 0.3 s, of 0.0 to 0.3.
QUEUE_LATENESS_S: Final = 0.25
# Shorter prompts weigh less; the mean length in use.
USUAL_PROMPT_TOKENS: Final = 5200.0
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
class Change:
    """A change of speed that observations show.

    :ivar since_s: time of the first observation that shows it
    :ivar noticed_s: when it was noticed
    """

    since_s: float
    noticed_s: float


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
    :ivar knee_s: when the concurrency was determined
    :ivar change: a change of speed that may still turn out to be noise
    """

    unit_s: float
    concurrency: int
    slots: int
    weight: float
    error: float
    newest_s: float
    since_s: float
    knee_s: float = float("-inf")
    change: Change | None = None


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


def prefill_weight(prompt_tokens: int) -> float:
    """Return the weight of a prefill call; an unknown prompt ahead delays a short one by a multiple."""
    return min(1.0, max(1, prompt_tokens) / USUAL_PROMPT_TOKENS)


def overdue_s(prompt_tokens: int, queued_tokens: int, unit_s: float) -> float:
    """Return after which time a prefill call shows that the engine has become slower.

    :param unit_s: time for a token so far
    """
    prompt, queued = max(1, prompt_tokens), max(0, queued_tokens)
    slow_s = CHANGE_RATIO * unit_s
    return max(slow_s * prompt, slow_s * (prompt + queued) - QUEUE_LATENESS_S)


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
    before: Fit | None = None,
) -> Fit | None:
    """Return what observations of an upstream say, None if there are none.

    :param slots: requests that the upstream runs at once
    :param before: what was said by earlier observations
    """
    since_s = float("-inf") if before is None else before.since_s
    usable = [
        each
        for each in observations
        if each.observed_s >= since_s and now_s - each.observed_s <= MAX_AGE_S
    ]
    if not usable:
        return None
    concurrency, knee_s = (
        (slots, float("-inf")) if before is None else (before.concurrency, before.knee_s)
    )
    known = None if before is None else before.change
    change = _change(kind, usable, now_s, concurrency, known)
    if change is not None:
        if now_s - change.noticed_s >= CONFIRMATION_S:
            since_s = change.since_s
        usable = [each for each in usable if each.observed_s >= change.since_s] or usable
    weights = _weights(usable, now_s)
    if now_s - knee_s >= KNEE_INTERVAL_S:
        concurrency, knee_s = _fit_knee(kind, usable, weights, slots), now_s
    unit_s, error = _fit_time(kind, usable, weights, concurrency)
    return Fit(
        unit_s,
        concurrency,
        slots,
        sum(weights),
        error,
        max(map(_observed_s, usable)),
        since_s,
        knee_s,
        None if change is None or since_s >= change.since_s else change,
    )


def _change(
    kind: Kind,
    observations: Iterable[Observation],
    now_s: float,
    concurrency: int,
    known: Change | None,
) -> Change | None:
    """Return the change of speed that the latest observations show, None if they show none.

    :param known: the change that was noticed before, None for none
    """
    ordered = sorted(observations, key=_observed_s, reverse=True)
    count = 0
    for each in ordered:
        age_s = now_s - each.observed_s
        if age_s > RECENT_S or (age_s > CHANGE_PERIOD_S and count >= CHANGE_OBSERVATIONS):
            break
        count += 1
    if count < MIN_RECENT_OBSERVATIONS:
        # Nothing speaks against it, since an upstream that seems slow gets few requests; but what may
        # have been noise must not keep requests away for long.
        return known if known is not None and now_s - known.noticed_s < CONFIRMATION_S else None
    if known is None:
        recent, older = ordered[:count], ordered[count:]
    else:
        recent = ordered[:count]
        older = [each for each in ordered if each.observed_s < known.since_s]
    if len(older) < MIN_OLDER_OBSERVATIONS:
        return known
    weights = _weights(older, now_s)
    before_s, _ = _fit_time(kind, older, weights, concurrency)
    ratios = [each.unit_s / _stretch(each.load, concurrency) / before_s for each in recent]
    for is_beyond in (_is_slower, _is_faster):
        beyond = [each for each, ratio in zip(recent, ratios, strict=True) if is_beyond(ratio)]
        weight = sum(each.weight for each in beyond)
        if weight >= MIN_CHANGED_SHARE * sum(each.weight for each in recent):
            if known is not None:
                return known
            return Change(min(map(_observed_s, beyond)), now_s)
    return None


def _is_slower(ratio: float) -> bool:
    return ratio > CHANGE_RATIO


def _is_faster(ratio: float) -> bool:
    return ratio < 1.0 / CHANGE_RATIO


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
    total = sum(weights)
    # Never the lowest time alone, which may be false.
    share = max(_QUANTILE_BY_KIND[kind], min(0.5, MIN_BELOW / total))
    # So far is the share of the times below the true quantile from the expected one.
    independent = min(total, MAX_INDEPENDENT)
    spread = math.sqrt(share * (1.0 - share) / independent)
    low_s, unit_s, high_s = _quantiles(times_s, weights, (share - spread, share, share + spread))
    return unit_s, max(MIN_ERROR / math.sqrt(independent), math.log(high_s / low_s) / 2.0)


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
