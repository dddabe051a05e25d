"""The limits that upstreams name, as this instance knows them."""

from __future__ import annotations

import threading
from typing import Final

import eliot

from carawaydoor.operating import clocks, platform_metrics
from carawaydoor.policy import entities, upstream_limits

MALFORMED_LOG_INTERVAL_S: Final = 1.0
# Bounds what is kept to avoid repeated log lines.
MAX_LOGGED_UPSTREAMS: Final = 1024


class UpstreamLimiter:
    """Holds the limits of upstreams and logs their changes."""

    def __init__(self, clock: clocks.Clock, metrics: platform_metrics.Metrics) -> None:
        self._clock = clock
        self._metrics = metrics
        self._lock = threading.Lock()
        self._state = upstream_limits.UpstreamLimits()
        self._malformed_logged_s_by_id: dict[str, float] = {}

    def limit_per_s(self, upstream: entities.Upstream) -> float | None:
        """Return the limit of an upstream in requests a second, None if it names none."""
        return self._state.limit_per_s(upstream.incarnation)

    def record_text(self, upstream: entities.Upstream, text: str, asked_s: float) -> None:
        """Record what a response says about the limit of an upstream.

        An unusable text changes nothing.

        :param text: limit as stated, empty if the response names none
        :param asked_s: when the request of the response was sent
        """
        try:
            limit_per_s = upstream_limits.parse(text) if text else None
        except upstream_limits.LimitError as error:
            self._log_malformed(upstream, text, str(error))
            return
        statement = upstream_limits.Statement(upstream.id, upstream.born_ms, limit_per_s, asked_s)
        with self._lock:
            before = self._state.limit_per_s(upstream.incarnation)
            self._state = upstream_limits.record(self._state, statement)
            after = self._state.limit_per_s(upstream.incarnation)
        if after != before:
            eliot.log_message(
                message_type="upstream_limit_changed",
                upstream=upstream.id,
                service=upstream.service,
                limit_per_s=after,
                before_per_s=before,
                age_s=round(self._clock.now_s() - asked_s, 3),
            )

    def record_sent(self, upstream: entities.Upstream) -> None:
        """Count a request that is sent to an upstream, if it names a limit."""
        if self.limit_per_s(upstream) is not None:
            self._metrics.limited_requests.add(1, {"upstream": upstream.id})

    def remove(self, upstream: entities.Upstream) -> None:
        """Remove what is known of an upstream that has ended."""
        with self._lock:
            self._state = upstream_limits.remove(self._state, upstream.incarnation)

    def _log_malformed(self, upstream: entities.Upstream, text: str, detail: str) -> None:
        now_s = self._clock.now_s()
        with self._lock:
            logged_s = self._malformed_logged_s_by_id.get(upstream.id)
            if logged_s is not None and now_s - logged_s < MALFORMED_LOG_INTERVAL_S:
                return
            self._malformed_logged_s_by_id[upstream.id] = now_s
            if len(self._malformed_logged_s_by_id) > MAX_LOGGED_UPSTREAMS:
                del self._malformed_logged_s_by_id[next(iter(self._malformed_logged_s_by_id))]
        eliot.log_message(
            message_type="upstream_limit_malformed",
            upstream=upstream.id,
            text=text[:32],
            detail=detail,
        )
