"""Observes how fast upstreams work, and combines that with what peers observe."""

from __future__ import annotations

import collections
import dataclasses
import heapq
import itertools
import random
import threading
from collections.abc import Iterable, Mapping
from typing import Final

import eliot

from carawaydoor.fleet import report_selection, reports
from carawaydoor.operating import clocks, platform_metrics
from carawaydoor.policy import capacity_fit, entities, learned_capacity, load
from carawaydoor.serving import observed_work

# Estimates of a service are renewed at most this often: its upstreams are many, and a change takes
# longer to be noticed.
MERGE_INTERVAL_S: Final = 0.4
# Without new observations, older ones are dropped from an estimate at least this late.
MAX_FIT_AGE_S: Final = capacity_fit.MAX_AGE_S
# Estimates of a service that are renewed at once; the others follow, the oldest first. One takes some
# 0.2 ms.
MAX_FITS_PER_MERGE: Final = 24
# Own observations within this time are one entry of a report. They are a few at most, and noise lasts
# about as long.
BATCH_S: Final = 1.0
# An entry takes some 90 bytes, and full reports go to all peers: with more, bytes between failure
# domains would double for what the reports of 80 instances hold together anyway.
MAX_URGENT_PER_REPORT: Final = 8
MAX_REPEATED_PER_REPORT: Final = 2
# Entries of peers that are kept of one kind of work at an upstream; a quantile gains little from more.
MAX_ENTRIES: Final = 96
# Numbers of batches start at random, since a restarted instance begins anew; they fit in 32 bits.
FIRST_NUMBER_BITS: Final = 30
MAX_NUMBER: Final = 2**31 - 1
# Upstreams of which anything is kept; some 15,000 would take 20 MB with the entries of many peers.
MAX_UPSTREAMS: Final = 1000
# A change of an estimate by this factor is logged, once in the time below for an upstream.
LOGGED_RATIO: Final = 1.5
LOG_INTERVAL_S: Final = 5.0
# Log lines of one service in one renewal.
MAX_LOGGED_CHANGES: Final = 8
# Unusable entries of peers are logged once in this time.
MALFORMED_LOG_INTERVAL_S: Final = 1.0
# Upstreams that are shown in metrics; each is three series.
MAX_SHOWN_UPSTREAMS: Final = 200
# Events of a stream that are observed together, and the least time for it.
MIN_OBSERVED_EVENTS: Final = 4
MIN_OBSERVED_S: Final = 0.4

_PREFILL: Final = learned_capacity.Kind.PREFILL_TOKEN


class CapacityObserver:
    """Holds the observations of an instance and the entries of its peers.

    :param is_enabled: without it nothing is observed, and all estimates are unknown
    """

    def __init__(
        self, clock: clocks.Clock, metrics: platform_metrics.Metrics, is_enabled: bool = True
    ) -> None:
        self._clock = clock
        self._is_enabled = is_enabled
        self._lock = threading.Lock()
        self._service_by_name: dict[str, observed_work.Service] = collections.defaultdict(
            observed_work.Service
        )
        # In the order of their first observations.
        self._upstream_by_incarnation: dict[entities.Incarnation, entities.Upstream] = {}
        self._prefill_by_number: dict[int, observed_work.PrefillCall] = {}
        self._turns = itertools.count()
        self._numbers = itertools.count(random.getrandbits(FIRST_NUMBER_BITS))
        self._malformed_logged_s = float("-inf")
        metrics.learned_times.observe = lambda: self._shown("unit_s")
        metrics.learned_concurrency.observe = lambda: self._shown("concurrency")
        metrics.learned_weight.observe = lambda: self._shown("weight")

    def observe(
        self,
        upstream: entities.Upstream,
        kind: learned_capacity.Kind,
        requests: int,
        unit_s: float,
    ) -> None:
        """Record the time for a unit of work in a call of this instance that has just ended.

        :param requests: requests at the upstream, with this one
        """
        if self._is_enabled:
            now_s = self._clock.now_s()
            self._observe(upstream, kind, capacity_fit.Observation(requests, unit_s, 1.0, now_s))

    def _observe(
        self,
        upstream: entities.Upstream,
        kind: learned_capacity.Kind,
        each: capacity_fit.Observation,
        number: int | None = None,
    ) -> None:
        """Record an own observation.

        :param number: number of its batch if it has one of its own
        """
        try:
            capacity_fit.check(kind, each.load, each.unit_s, each.weight)
        except capacity_fit.ObservationError as error:
            self._log_malformed(upstream.id, "", str(error))
            return
        with self._lock:
            work = self._work(upstream, kind)
            if number is not None:
                work.own.append(observed_work.Batch(number, each.observed_s, [each]))
            elif not work.own or each.observed_s - work.own[-1].started_s >= BATCH_S:
                work.own.append(observed_work.Batch(self._next_number(), each.observed_s, [each]))
            elif len(work.own[-1].observations) < observed_work.MAX_BATCH_OBSERVATIONS:
                work.own[-1].observations.append(each)
            work.is_dirty = True

    def observe_call(self, upstream: entities.Upstream, requests: int, sent_s: float) -> None:
        """Record a call of a plain upstream that has just ended.

        :param requests: known requests there when it was sent, with this one
        :param sent_s: this instance's clock at that time
        """
        took_s = self._clock.now_s() - sent_s
        self.observe(upstream, learned_capacity.Kind.CALL, max(1, requests), took_s)

    def observe_events(
        self, upstream: entities.Upstream, requests: int, events: int, took_s: float
    ) -> bool:
        """Record some events of a stream; return whether they were enough for that.

        :param requests: known requests at the upstream meanwhile, with this one
        :param took_s: time from the event before them to the last of them
        """
        if events < MIN_OBSERVED_EVENTS or took_s < MIN_OBSERVED_S:
            return False
        self.observe(upstream, learned_capacity.Kind.EVENT, max(1, requests), took_s / events)
        return True

    def begin_prefill(
        self, upstream: entities.Upstream, prompt_tokens: int, queued: load.Work
    ) -> int:
        """Record that a prefill call is sent, and return its number.

        A call that takes much longer than expected counts as an observation before it has ended.

        :param queued: known work of other requests at the engine
        """
        with self._lock:
            number = self._next_number()
            self._prefill_by_number[number] = observed_work.PrefillCall(
                upstream, prompt_tokens, queued, self._clock.now_s()
            )
        return number

    def end_prefill(self, number: int, is_done: bool) -> None:
        """Record that a prefill call has ended.

        :param is_done: whether the engine has processed the prompt
        """
        with self._lock:
            call = self._prefill_by_number.pop(number)
        if is_done and self._is_enabled:
            now_s = self._clock.now_s()
            self._observe(call.upstream, _PREFILL, call.observation(now_s), number)

    def record_shared(
        self, upstream: entities.Upstream, peer: str, shared: reports.SharedCapacity
    ) -> None:
        """Record the entry of a peer, in place of an earlier one for the same calls."""
        if not self._is_enabled:
            return
        try:
            kind = capacity_fit.check(shared.kind, shared.load, shared.unit_s, shared.weight)
            if not 0.0 <= shared.age_s <= capacity_fit.MAX_AGE_S:
                raise capacity_fit.ObservationError("age out of range")
        except capacity_fit.ObservationError as error:
            self._log_malformed(upstream.id, peer, str(error))
            return
        observed_s = self._clock.now_s() - shared.age_s - capacity_fit.REPORT_DELAY_S
        entry = capacity_fit.Observation(shared.load, shared.unit_s, shared.weight, observed_s)
        with self._lock:
            work = self._work(upstream, kind)
            known = work.entry_by_batch.get((peer, shared.number))
            if known is not None and (known.weight, known.unit_s) == (entry.weight, entry.unit_s):
                return
            work.entry_by_batch[peer, shared.number] = entry
            if len(work.entry_by_batch) > MAX_ENTRIES:
                del work.entry_by_batch[next(iter(work.entry_by_batch))]
            work.is_dirty = True

    def share(self) -> tuple[reports.SharedCapacity, ...]:
        """Return entries for the next report: own observations only, the newest and some others."""
        now_s = self._clock.now_s()
        entries: list[reports.SharedCapacity] = []
        with self._lock:
            for service in self._service_by_name.values():
                for (incarnation, kind), work in service.work_by_key.items():
                    for batch in work.own:
                        each = capacity_fit.summary(kind, batch.observations)
                        if now_s - each.observed_s <= capacity_fit.MAX_AGE_S:
                            entries.append(_entry(incarnation, kind, batch.number, each, now_s))
            for number, call, each in self._overdue(now_s):
                entries.append(_entry(call.upstream.incarnation, _PREFILL, number, each, now_s))
        entries.sort(key=_age_s, reverse=True)
        return report_selection.select(
            entries,
            [each.age_s for each in entries],
            next(self._turns),
            MAX_URGENT_PER_REPORT,
            MAX_REPEATED_PER_REPORT,
        )

    def capacities(self, service: str) -> learned_capacity.Capacities:
        """Return the capacities of the upstreams of a service, at most a merge interval old."""
        known = self._service_by_name.get(service)
        if known is None:
            return learned_capacity.UNKNOWN
        now_s = self._clock.now_s()
        if now_s - known.merged_s >= MERGE_INTERVAL_S:
            with self._lock:
                self._merge(service, known, now_s)
        return known.capacities

    def remove(self, upstream: entities.Upstream) -> None:
        """Remove what is known of an upstream that has ended."""
        with self._lock:
            self._remove(upstream.incarnation)

    def _next_number(self) -> int:
        return next(self._numbers) & MAX_NUMBER

    def _work(self, upstream: entities.Upstream, kind: learned_capacity.Kind) -> observed_work.Work:
        if upstream.incarnation not in self._upstream_by_incarnation:
            if len(self._upstream_by_incarnation) >= MAX_UPSTREAMS:
                self._remove(next(iter(self._upstream_by_incarnation)))
            self._upstream_by_incarnation[upstream.incarnation] = upstream
        works = self._service_by_name[upstream.service].work_by_key
        return works.setdefault((upstream.incarnation, kind), observed_work.Work())

    def _remove(self, incarnation: entities.Incarnation) -> None:
        upstream = self._upstream_by_incarnation.pop(incarnation, None)
        if upstream is not None:
            works = self._service_by_name[upstream.service].work_by_key
            for kind in learned_capacity.Kind:
                works.pop((incarnation, kind), None)

    def _overdue(
        self, now_s: float
    ) -> list[tuple[int, observed_work.PrefillCall, capacity_fit.Observation]]:
        """Return the calls that already show that their engine has become much slower."""
        overdue = []
        for number, call in self._prefill_by_number.items():
            works = self._service_by_name[call.upstream.service].work_by_key
            work = works.get((call.upstream.incarnation, _PREFILL))
            if work is None or work.fit is None:
                continue
            overdue_s = call.sent_s + capacity_fit.overdue_s(
                call.prompt_tokens, call.queued.tokens, work.fit.unit_s
            )
            if now_s > overdue_s:
                # Dated back, so that calls that have ended since count as newer.
                each = dataclasses.replace(call.observation(now_s), observed_s=overdue_s)
                overdue.append((number, call, each))
        return overdue

    def _merge(self, name: str, service: observed_work.Service, now_s: float) -> None:
        fits: dict[learned_capacity.Kind, dict[entities.Incarnation, learned_capacity.Fit]] = (
            collections.defaultdict(dict)
        )
        overdue: dict[entities.Incarnation, list[capacity_fit.Observation]] = (
            collections.defaultdict(list)
        )
        for _, call, each in self._overdue(now_s):
            overdue[call.upstream.incarnation].append(each)
        due = [
            (work.fitted_s, incarnation, kind)
            for (incarnation, kind), work in service.work_by_key.items()
            if work.is_dirty
            or (kind is _PREFILL and incarnation in overdue)
            or (work.fit is not None and now_s - work.fit.newest_s > MAX_FIT_AGE_S)
        ]
        for _, incarnation, kind in heapq.nsmallest(MAX_FITS_PER_MERGE, due):
            work = service.work_by_key[incarnation, kind]
            unfinished = overdue.get(incarnation, []) if kind is _PREFILL else []
            work.fit = capacity_fit.fit(
                kind,
                [*work.observations(), *unfinished],
                now_s,
                self._upstream_by_incarnation[incarnation].slots,
                work.fit,
            )
            work.is_dirty, work.fitted_s = bool(unfinished), now_s
        for (incarnation, kind), work in service.work_by_key.items():
            if work.fit is not None:
                fits[kind][incarnation] = work.fit
        before = service.capacities
        service.capacities = learned_capacity.combine(fits, now_s, before.differing)
        service.merged_s = now_s
        self._log_changes(name, service, before, now_s)

    def _log_changes(
        self,
        name: str,
        service: observed_work.Service,
        before: learned_capacity.Capacities,
        now_s: float,
    ) -> None:
        for kind in before.differing ^ service.capacities.differing:
            eliot.log_message(
                message_type="capacities_differ",
                service=name,
                kind=kind.name.lower(),
                differ=kind in service.capacities.differing,
                upstreams=len(service.capacities.by_kind.get(kind, {})),
                median_s=service.capacities.median_s_by_kind.get(kind),
            )
        left = MAX_LOGGED_CHANGES
        for (incarnation, kind), work in service.work_by_key.items():
            known = service.capacities.by_kind.get(kind, {}).get(incarnation)
            if known is None or now_s - work.logged_s < LOG_INTERVAL_S:
                continue
            logged = work.logged_unit_s or service.capacities.median_s_by_kind[kind]
            if 1.0 / LOGGED_RATIO < known.unit_s / logged < LOGGED_RATIO:
                continue
            work.logged_unit_s, work.logged_s = known.unit_s, now_s
            eliot.log_message(
                message_type="learned_capacity_changed",
                upstream=incarnation[0],
                service=name,
                kind=kind.name.lower(),
                unit_s=known.unit_s,
                before_s=logged,
                ratio=round(known.ratio, 3),
                concurrency=known.concurrency,
                weight=round(known.weight, 1),
                age_s=round(known.age_s, 3),
                own=sum(len(each.observations) for each in work.own),
                of_peers=len(work.entry_by_batch),
            )
            left -= 1
            if not left:
                break

    def _log_malformed(self, upstream: str, peer: str, detail: str) -> None:
        now_s = self._clock.now_s()
        if now_s - self._malformed_logged_s < MALFORMED_LOG_INTERVAL_S:
            return
        self._malformed_logged_s = now_s
        eliot.log_message(
            message_type="learned_capacity_malformed", upstream=upstream, peer=peer, detail=detail
        )

    def _shown(self, field: str) -> Iterable[tuple[Mapping[str, str], float]]:
        """Return the values of a gauge, by upstream and kind of work."""
        for name in tuple(self._service_by_name):
            self.capacities(name)
        with self._lock:
            shown = set(itertools.islice(self._upstream_by_incarnation, MAX_SHOWN_UPSTREAMS))
            return [
                ({"upstream": key[0], "kind": kind.name.lower()}, float(getattr(each, field)))
                for service in self._service_by_name.values()
                for kind, by_incarnation in service.capacities.by_kind.items()
                for key, each in by_incarnation.items()
                if key in shown
            ]


def _entry(
    incarnation: entities.Incarnation,
    kind: learned_capacity.Kind,
    number: int,
    each: capacity_fit.Observation,
    now_s: float,
) -> reports.SharedCapacity:
    age_s = max(0.0, now_s - each.observed_s)
    return reports.SharedCapacity(
        *incarnation, kind.value, number, each.load, each.unit_s, each.weight, age_s
    )


def _age_s(entry: reports.SharedCapacity) -> float:
    return entry.age_s
