"""Upstreams that have asked for no requests from this instance for a while."""

from __future__ import annotations

import random
import threading
from collections.abc import Collection, Iterable
from typing import Final

import eliot

from carawaydoor.fleet import report_selection
from carawaydoor.operating import clocks
from carawaydoor.policy import entities

MALFORMED_LOG_INTERVAL_S: Final = 1.0
# By then an upstream that is full has ended most of its work, however long it wants to be left alone.
MAX_AVOIDANCE_S: Final = 5.0
# Callers that are refused together come back over this part of the delay.
RETRY_SPREAD_SHARE: Final = 0.25


class TurnedAway:
    """The times until which upstreams reject requests of this instance, or of a peer.

    The delay that an upstream asks of a peer is meant for that one alone. Here the upstream is only
    avoided while others will do, since it is probably full.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._until_s_by_incarnation: dict[entities.Incarnation, float] = {}
        self._peers_until_s_by_id: dict[str, float] = {}
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

    def record_of_peer(self, upstream_id: str, delay_s: float) -> None:
        """Record that an upstream rejects requests of a peer for some seconds."""
        now_s = self._clock.now_s()
        until_s = now_s + min(delay_s, MAX_AVOIDANCE_S)
        with self._lock:
            self._peers_until_s_by_id = {
                key: each_s
                for key, each_s in {
                    **self._peers_until_s_by_id,
                    upstream_id: max(until_s, self._peers_until_s_by_id.get(upstream_id, 0.0)),
                }.items()
                if each_s > now_s
            }

    def avoided(self) -> frozenset[str]:
        """Return the ids of the upstreams that reject requests of some peer."""
        if not self._peers_until_s_by_id:
            return frozenset()
        now_s = self._clock.now_s()
        return frozenset(key for key, each_s in self._peers_until_s_by_id.items() if each_s > now_s)

    def share(self) -> dict[str, float]:
        """Return for how many more seconds upstreams reject requests of this instance."""
        if not self._until_s_by_incarnation:
            return {}
        now_s = self._clock.now_s()
        waiting = [
            (upstream_id, until_s - now_s)
            for (upstream_id, _), until_s in self._until_s_by_incarnation.items()
            if until_s > now_s
        ]
        # The latest ones are the most likely to be full now.
        return dict(waiting[-report_selection.MAX_URGENT_PER_REPORT :])

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
