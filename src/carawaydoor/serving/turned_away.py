"""Upstreams that have asked for no requests from this instance for a while."""

from __future__ import annotations

import random
import threading
from collections.abc import Collection, Iterable
from typing import Final

import eliot

from carawaydoor.operating import clocks
from carawaydoor.policy import entities

MALFORMED_LOG_INTERVAL_S: Final = 1.0
# Callers that are refused together come back over this part of the delay.
RETRY_SPREAD_SHARE: Final = 0.25


class TurnedAway:
    """The times until which upstreams want no requests from this instance.

    Peers are not told: the upstream spoke of this instance alone.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._until_s_by_incarnation: dict[entities.Incarnation, float] = {}
        self._malformed_logged_s_by_id: dict[str, float] = {}
        self._random = random.Random()

    def record(self, upstream: entities.Upstream, delay_s: float) -> None:
        """Record that an upstream wants no requests for some seconds."""
        now_s = self._clock.now_s()
        with self._lock:
            waiting = {
                key: until_s
                for key, until_s in self._until_s_by_incarnation.items()
                if until_s > now_s
            }
            is_longer = now_s + delay_s > waiting.get(upstream.incarnation, now_s)
            if is_longer:
                waiting[upstream.incarnation] = now_s + delay_s
            self._until_s_by_incarnation = waiting
        if is_longer:
            eliot.log_message(
                message_type="upstream_turned_away", upstream=upstream.id, delay_s=round(delay_s, 3)
            )

    def report_malformed(self, upstream: entities.Upstream, detail: str) -> None:
        """Log an unusable delay, once a second for each upstream."""
        now_s = self._clock.now_s()
        with self._lock:
            recent = {
                key: logged_s
                for key, logged_s in self._malformed_logged_s_by_id.items()
                if now_s - logged_s < MALFORMED_LOG_INTERVAL_S
            }
            is_logged = upstream.id in recent
            self._malformed_logged_s_by_id = {upstream.id: now_s, **recent}
        if not is_logged:
            eliot.log_message(
                message_type="retry_after_malformed", upstream=upstream.id, detail=detail
            )

    def remaining_s(self, upstream: entities.Upstream) -> float:
        """Return for how many more seconds an upstream wants no requests, zero if it takes them."""
        until_s = self._until_s_by_incarnation.get(upstream.incarnation)
        return 0.0 if until_s is None else max(0.0, until_s - self._clock.now_s())

    def willing(self, upstreams: Iterable[entities.Upstream]) -> tuple[entities.Upstream, ...]:
        """Return the upstreams that take requests."""
        if not self._until_s_by_incarnation:
            return tuple(upstreams)
        return tuple(each for each in upstreams if self.remaining_s(each) <= 0.0)

    def retry_after_s(self, upstreams: Collection[entities.Upstream]) -> float | None:
        """Return when to retry if all upstreams want no requests, None if one takes them.

        The delay lies after the earliest time at which one takes requests again, spread at random.
        """
        remaining_s = [self.remaining_s(each) for each in upstreams]
        if not remaining_s or min(remaining_s) <= 0.0:
            return None
        return min(remaining_s) * (1.0 + RETRY_SPREAD_SHARE * self._random.random())
