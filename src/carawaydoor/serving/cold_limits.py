"""The cold upstreams that this instance knows of, and the limits that follow."""

from __future__ import annotations

import threading
from collections.abc import Callable, Collection, Iterable, Mapping

import eliot

from carawaydoor.operating import clocks, platform_metrics
from carawaydoor.policy import cold_upstreams, entities, upstream_directory
from carawaydoor.serving import upstream_limiter


class ColdLimits:
    """Learns which upstreams are cold and sets their limits.

    Limits that change with time are set by ``expire``, which is called several times a second.

    :param service_by_name: returns the services of the configuration in force
    """

    def __init__(
        self,
        clock: clocks.Clock,
        metrics: platform_metrics.Metrics,
        limiter: upstream_limiter.UpstreamLimiter,
        service_by_name: Callable[[], Mapping[str, entities.Service]],
    ) -> None:
        self._clock = clock
        self._metrics = metrics
        self._limiter = limiter
        self._service_by_name = service_by_name
        self._lock = threading.Lock()
        self._state = cold_upstreams.ColdUpstreams()
        self._limit_by_incarnation: dict[entities.Incarnation, upstream_limiter.ColdLimit] = {}

    def record_listed(self, message: upstream_directory.Message, is_first_list: bool) -> None:
        """Record the entries in a message from the source before the message is applied.

        :param is_first_list: whether this instance had no list before
        """
        match message:
            case upstream_directory.Snapshot() | upstream_directory.Changes():
                entries = message.upstream_by_id.values()
                listed = tuple(each for each in entries if each is not None)
            case _:
                return
        with self._lock:
            self._state = cold_upstreams.record_listed(
                self._state, self._clock.now_s(), listed, is_first_list
            )
            self._update(listed)

    def record_text(self, upstream: entities.Upstream, text: str) -> None:
        """Record what a response states about the cold time of an upstream.

        :param text: milliseconds as stated, empty if the response states none
        """
        if not text:
            return
        try:
            remaining_s = cold_upstreams.parse_remaining_s(text)
        except cold_upstreams.ColdTimeError as error:
            self._limiter.log_malformed("cold_time_malformed", upstream, text, str(error))
            return
        if remaining_s <= 0.0:
            return
        with self._lock:
            self._state = cold_upstreams.record_stated(
                self._state, self._clock.now_s(), upstream, remaining_s
            )
            self._update((upstream,))

    def expire(self) -> None:
        """Apply the changes of limits that result from the passing of time or the configuration."""
        with self._lock:
            if not self._state.period_by_incarnation:
                return
            self._update(
                each.upstream for each in tuple(self._state.period_by_incarnation.values())
            )
            self._state = cold_upstreams.without_past(
                self._state, self._clock.now_s(), self._service_by_name()
            )

    def remaining_s(self, upstream: entities.Upstream) -> float:
        """Return the seconds until the limit of a cold upstream is removed, zero if it has none."""
        limit = self._limit_by_incarnation.get(upstream.incarnation)
        return 0.0 if limit is None else max(0.0, limit.until_s - self._clock.now_s())

    def _update(self, upstreams: Iterable[entities.Upstream]) -> None:
        """Set the limits of some upstreams as they are now."""
        now_s, service_by_name = self._clock.now_s(), self._service_by_name()
        changed: list[upstream_limiter.ColdLimit] = []
        ended: list[entities.Upstream] = []
        for upstream in upstreams:
            incarnation = upstream.incarnation
            period = self._state.period_by_incarnation.get(incarnation)
            service = service_by_name.get(upstream.service)
            before = self._limit_by_incarnation.get(incarnation)
            per_s = None
            if period is not None and service is not None:
                per_s = cold_upstreams.limit_per_s(period, service, now_s)
            if period is None or service is None or per_s is None:
                if before is not None:
                    del self._limit_by_incarnation[incarnation]
                    ended.append(upstream)
                continue
            until_s = cold_upstreams.cold_until_s(period, service) + cold_upstreams.RISE_S
            after = upstream_limiter.ColdLimit(upstream, per_s, until_s)
            if after == before:
                continue
            self._limit_by_incarnation[incarnation] = after
            changed.append(after)
            if before is None or per_s < before.per_s:
                self._log_cold(period, service, per_s, now_s)
        self._limiter.set_cold(changed, [each.incarnation for each in ended])
        self._log_over(ended)

    def _log_cold(
        self,
        period: cold_upstreams.ColdPeriod,
        service: entities.Service,
        per_s: float,
        now_s: float,
    ) -> None:
        source = period.source.value
        self._metrics.cold_periods.add(1, {"service": service.name, "source": source})
        eliot.log_message(
            message_type="upstream_cold",
            upstream=period.upstream.id,
            service=service.name,
            born_ms=period.upstream.born_ms,
            source=source,
            remaining_s=round(cold_upstreams.cold_until_s(period, service) - now_s, 3),
            limit_per_s=per_s,
        )

    def _log_over(self, upstreams: Collection[entities.Upstream]) -> None:
        for each in upstreams:
            eliot.log_message(
                message_type="upstream_cold_over",
                upstream=each.id,
                service=each.service,
                born_ms=each.born_ms,
            )
