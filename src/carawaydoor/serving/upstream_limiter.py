"""The limits of upstreams, and the permits of this instance to send requests to them.

An upstream has a limit if it names one, if it is cold, or for both reasons. Both kinds have permits of
their own, and a request needs a permit of each, so that the lower limit holds.
"""

from __future__ import annotations

import collections
import dataclasses
import itertools
import math
import random
import threading
from collections.abc import Callable, Collection, Iterable
from typing import Final

import eliot

from carawaydoor.fleet import report_selection, reports
from carawaydoor.operating import clocks, platform_metrics
from carawaydoor.policy import cold_upstreams, entities, upstream_limits

MALFORMED_LOG_INTERVAL_S: Final = 1.0
# Bounds what is kept to avoid repeated log lines.
MAX_LOGGED_UPSTREAMS: Final = 1024
# Longest delay of a refused caller; callers of one service get successive times to retry.
MAX_RETRY_AFTER_S: Final = 10.0
# The limits of cold upstreams are removed at intervals of this length.
MIN_RETRY_AFTER_S: Final = 0.2
# Delays vary by this part, so that callers refused by several instances don't return together.
RETRY_SPREAD_SHARE: Final = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class ColdLimit:
    """The limit of a cold upstream.

    :ivar per_s: requests a second from all instances together
    :ivar until_s: when the limit is removed
    """

    upstream: entities.Upstream
    per_s: float
    until_s: float


class UpstreamLimiter:
    """Holds the limits of upstreams and this instance's permits, and logs changes of named limits.

    :ivar on_change: called when a response to this instance has changed the limit of an upstream
    """

    def __init__(
        self,
        instance: str,
        clock: clocks.Clock,
        metrics: platform_metrics.Metrics,
        cold_sharing: cold_upstreams.ColdSharing,
    ) -> None:
        self.on_change: Callable[[], None] = _do_nothing
        self._clock = clock
        self._metrics = metrics
        self._lock = threading.Lock()
        self._state = upstream_limits.create(instance)
        self._cold = upstream_limits.create(instance, cold_sharing)
        self._cold_until_s_by_incarnation: dict[entities.Incarnation, float] = {}
        self._malformed_logged_s_by_id: dict[str, float] = {}
        self._next_return_s_by_service: dict[str, float] = {}
        self._turns = itertools.count()
        self._random = random.Random()

    def limit_per_s(self, upstream: entities.Upstream) -> float | None:
        """Return the limit of an upstream in requests a second, None if it has none."""
        limits = (each.limit_per_s(upstream.incarnation) for each in (self._state, self._cold))
        return min((each for each in limits if each is not None), default=None)

    def permitted(self, upstreams: tuple[entities.Upstream, ...]) -> tuple[entities.Upstream, ...]:
        """Return the upstreams to which a request may be sent now."""
        now_s = self._clock.now_s()
        # Few upstreams have a limit, so these are examined and not all of the list.
        without_permit = {
            incarnation
            for state in (self._state, self._cold)
            for incarnation in state.statement_by_incarnation
            if upstream_limits.next_permit_s(state, now_s, incarnation) > 0.0
        }
        if not without_permit:
            return upstreams
        ids = {upstream_id for upstream_id, _ in without_permit}
        return tuple(
            each
            for each in upstreams
            if each.id not in ids or each.incarnation not in without_permit
        )

    def next_permit_s(self, upstream: entities.Upstream) -> float:
        """Return the seconds until a request may be sent, infinite if other instances send all."""
        now_s, incarnation = self._clock.now_s(), upstream.incarnation
        return max(
            upstream_limits.next_permit_s(self._state, now_s, incarnation),
            upstream_limits.next_permit_s(self._cold, now_s, incarnation),
        )

    def take(self, upstream: entities.Upstream) -> bool:
        """Take the permit to send one request; return False if there is none now."""
        if self.limit_per_s(upstream) is None:
            return True
        with self._lock:
            now_s, incarnation = self._clock.now_s(), upstream.incarnation
            state, is_taken = upstream_limits.take(self._state, now_s, incarnation)
            cold, is_taken_cold = upstream_limits.take(self._cold, now_s, incarnation)
            if not is_taken or not is_taken_cold:
                return False
            self._state, self._cold = state, cold
        return True

    def give_back(self, upstream: entities.Upstream) -> None:
        """Return the permit of a request that was not sent."""
        with self._lock:
            now_s, incarnation = self._clock.now_s(), upstream.incarnation
            self._state = upstream_limits.give_back(self._state, now_s, incarnation)
            self._cold = upstream_limits.give_back(self._cold, now_s, incarnation)

    def set_cold(
        self, limits: Collection[ColdLimit], ended: Collection[entities.Incarnation]
    ) -> None:
        """Set limits of cold upstreams, and remove those of others.

        :param ended: incarnations that have no such limit any more
        """
        if not limits and not ended:
            return
        now_s = self._clock.now_s()
        statements = (
            upstream_limits.Statement(each.upstream.id, each.upstream.born_ms, each.per_s, now_s)
            for each in limits
        )
        with self._lock:
            cold = upstream_limits.remove(self._cold, *ended)
            self._cold = upstream_limits.record(cold, now_s, *statements)
            until_s = {each.upstream.incarnation: each.until_s for each in limits}
            self._cold_until_s_by_incarnation.update(until_s)
            for incarnation in ended:
                self._cold_until_s_by_incarnation.pop(incarnation, None)

    def retry_after_s(self, service: str, upstreams: Collection[entities.Upstream]) -> float:
        """Return when a caller should retry that none of some limited upstreams may serve now.

        Callers get successive times, at the rate at which the upstreams take requests.

        :param service: groups the callers that wait for the same upstreams
        """
        rate_per_s = sum(
            min(
                upstream_limits.instance_rate_per_s(state, each.incarnation)
                for state in (self._state, self._cold)
            )
            for each in upstreams
        )
        now_s = self._clock.now_s()
        latest_s = min(now_s + MAX_RETRY_AFTER_S, self._unlimited_from_s(upstreams))
        with self._lock:
            earliest_s = max(now_s, self._next_return_s_by_service.get(service, now_s))
            return_s = min(earliest_s + 1.0 / rate_per_s, max(latest_s, now_s + MIN_RETRY_AFTER_S))
            self._next_return_s_by_service[service] = return_s
        return (return_s - now_s) * (1.0 + RETRY_SPREAD_SHARE * self._random.random())

    def _unlimited_from_s(self, upstreams: Iterable[entities.Upstream]) -> float:
        """Return when the first of some upstreams is limited no longer, infinite if unknown."""
        return min(
            (
                self._cold_until_s_by_incarnation.get(each.incarnation, math.inf)
                for each in upstreams
                if self._state.limit_per_s(each.incarnation) is None
            ),
            default=math.inf,
        )

    def record_text(self, upstream: entities.Upstream, text: str, asked_s: float) -> None:
        """Record what a response says about the limit of an upstream.

        An unusable text changes nothing.

        :param text: limit as stated, empty if the response names none
        :param asked_s: when the request of the response was sent
        """
        try:
            limit_per_s = upstream_limits.parse(text) if text else None
        except upstream_limits.LimitError as error:
            self.log_malformed("upstream_limit_malformed", upstream, text, str(error))
            return
        statement = upstream_limits.Statement(upstream.id, upstream.born_ms, limit_per_s, asked_s)
        if limit_per_s is None and self._state.limit_per_s(upstream.incarnation) is None:
            return
        now_s = self._clock.now_s()
        with self._lock:
            before = self._state
            self._state = upstream_limits.record(before, now_s, statement)
            after = self._state
        if self._log_change(upstream, before, after, "response", now_s - asked_s):
            self.on_change()

    def record_shared(self, upstream: entities.Upstream, shared: reports.SharedLimit) -> None:
        """Record the limit of an upstream that a peer reports."""
        now_s = self._clock.now_s()
        with self._lock:
            before = self._state
            self._state = upstream_limits.record_shared(
                before, now_s, upstream.incarnation, shared.limit_per_s, shared.age_s
            )
            after = self._state
        self._log_change(upstream, before, after, "peer", shared.age_s)

    def share(self, recent_only: bool = False) -> tuple[reports.SharedLimit, ...]:
        """Return the limits that this instance read itself, as many as go into one report.

        :param recent_only: whether to return only limits that changed lately
        """
        now_s = self._clock.now_s()
        statements = upstream_limits.own_statements(self._state, now_s, recent_only)
        selected = report_selection.select(
            statements, [now_s - each.changed_s for each in statements], next(self._turns)
        )
        return tuple(
            reports.SharedLimit(
                each.upstream_id, each.born_ms, each.limit_per_s, now_s - each.asked_s
            )
            for each in selected
        )

    def set_fleet(self, fleet: upstream_limits.Fleet) -> None:
        """Apply what is known of the instances that share the limits."""
        with self._lock:
            now_s = self._clock.now_s()
            self._state = upstream_limits.with_fleet(self._state, now_s, fleet)
            self._cold = upstream_limits.with_fleet(self._cold, now_s, fleet)

    def record_sent(self, upstream: entities.Upstream) -> None:
        """Count a request that is sent to an upstream, if it has a limit."""
        if self.limit_per_s(upstream) is not None:
            self._metrics.limited_requests.add(1, {"upstream": upstream.id})

    def remove(self, upstream: entities.Upstream) -> None:
        """Remove the limit that an upstream has named which has ended."""
        with self._lock:
            self._state = upstream_limits.remove(self._state, upstream.incarnation)

    def _log_change(
        self,
        upstream: entities.Upstream,
        before: upstream_limits.UpstreamLimits,
        after: upstream_limits.UpstreamLimits,
        source: str,
        age_s: float,
    ) -> bool:
        """Log a limit that has changed; return whether it has."""
        limit_before, limit_after = (
            each.limit_per_s(upstream.incarnation) for each in (before, after)
        )
        if limit_before == limit_after:
            return False
        eliot.log_message(
            message_type="upstream_limit_changed",
            upstream=upstream.id,
            service=upstream.service,
            limit_per_s=limit_after,
            before_per_s=limit_before,
            source=source,
            age_s=round(age_s, 3),
            sharing_instances=len(after.fleet.instances),
            usable_share=round(after.fleet.usable_share, 3),
        )
        return True

    def log_malformed(
        self, message_type: str, upstream: entities.Upstream, text: str, detail: str
    ) -> None:
        """Log an unusable text in a response, once a second for each upstream."""
        now_s = self._clock.now_s()
        with self._lock:
            logged_s = self._malformed_logged_s_by_id.get(upstream.id)
            if logged_s is not None and now_s - logged_s < MALFORMED_LOG_INTERVAL_S:
                return
            self._malformed_logged_s_by_id[upstream.id] = now_s
            if len(self._malformed_logged_s_by_id) > MAX_LOGGED_UPSTREAMS:
                del self._malformed_logged_s_by_id[next(iter(self._malformed_logged_s_by_id))]
        eliot.log_message(
            message_type=message_type,
            upstream=upstream.id,
            text=text[:32],
            detail=detail,
        )


class RequestPermits:
    """The permits that one request holds for upstreams to which it has not been sent yet.

    A permit is taken with the choice of an upstream, so that nobody else takes it before the request
    is sent.
    """

    def __init__(self, limiter: UpstreamLimiter) -> None:
        self._limiter = limiter
        self._held_by_incarnation: dict[entities.Incarnation, list[entities.Upstream]] = (
            collections.defaultdict(list)
        )

    def hold(self, upstream: entities.Upstream) -> bool:
        """Take a permit in advance; return False if there is none now."""
        if self._limiter.limit_per_s(upstream) is None:
            return True
        if not self._limiter.take(upstream):
            return False
        self._held_by_incarnation[upstream.incarnation].append(upstream)
        return True

    def use(self, upstream: entities.Upstream) -> bool:
        """Use up a permit, taken in advance or now; return False if there is none."""
        held = self._held_by_incarnation[upstream.incarnation]
        if not held:
            return self._limiter.take(upstream)
        held.pop()
        return True

    def give_back(self, upstream: entities.Upstream) -> None:
        """Return the permits for an upstream that were not used."""
        for _ in self._held_by_incarnation.pop(upstream.incarnation, ()):
            self._limiter.give_back(upstream)

    def close(self) -> None:
        """Return all permits that were not used."""
        for held in tuple(self._held_by_incarnation.values()):
            if held:
                self.give_back(held[0])


def _do_nothing() -> None:
    """Do nothing, as the default callback."""
