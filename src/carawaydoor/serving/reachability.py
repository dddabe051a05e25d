"""Finds out whether this instance has lost its links to all upstreams of a service.

A failed call starts a round of probes: connections to a few upstreams at the same time. If none can
be connected to, the instance is cut off from the service until a later probe succeeds. One upstream
that fails, or that is silent for a while, is not enough.
"""

from __future__ import annotations

import concurrent.futures
import random
import threading
from collections.abc import Callable, Collection
from typing import Final

import eliot

from carawaydoor.operating import clocks
from carawaydoor.policy import entities, health
from carawaydoor.serving import connections

# Upstreams that are probed in one round, so that few crashed ones don't look like a partition.
PROBED_UPSTREAMS: Final = 3
# Some round trips, and the retransmission of one lost packet.
PROBE_TIMEOUT_S: Final = 0.4
PROBE_INTERVAL_S: Final = 0.5
# Calls that fail soon after each other share a round.
MIN_ROUND_GAP_S: Final = 0.25

_SUSPICIOUS: Final = frozenset(
    {health.Outcome.UNREACHABLE, health.Outcome.SILENT, health.Outcome.BROKEN}
)


class Reachability:
    """The services from which this instance is cut off."""

    def __init__(
        self,
        clock: clocks.Clock,
        pool: connections.ConnectionPool,
        upstreams: Callable[[], Collection[entities.Upstream]],
    ) -> None:
        self._clock = clock
        self._pool = pool
        self._upstreams = upstreams
        self._lock = threading.Lock()
        self._suspected: set[str] = set()
        self._cut_off: frozenset[str] = frozenset()
        self._probed_s_by_service: dict[str, float] = {}
        self._has_suspects = threading.Event()
        self._is_running = False
        self._random = random.Random()

    def cut_off_services(self) -> frozenset[str]:
        """Return the services of which no upstream can be reached."""
        return self._cut_off

    def is_cut_off(self, service: str) -> bool:
        """Return whether no upstream of a service can be reached."""
        return service in self._cut_off

    def record_outcome(self, upstream: entities.Upstream, outcome: health.Outcome) -> None:
        """Have the service of an upstream probed after a call that may have met a partition."""
        if outcome not in _SUSPICIOUS or upstream.service in self._cut_off:
            return
        with self._lock:
            self._suspected.add(upstream.service)
            if not self._is_running:
                self._is_running = True
                threading.Thread(target=self._run, name="prober", daemon=True).start()
        self._has_suspects.set()

    def record_joined(self, upstream: entities.Upstream) -> None:
        """Have requests try a service again that has an upstream which was not probed yet."""
        with self._lock:
            if upstream.service not in self._cut_off:
                return
            self._cut_off -= {upstream.service}
        eliot.log_message(message_type="service_reached_again", service=upstream.service, probed=0)

    def confirms(self, upstream: entities.Upstream) -> bool:
        """Return whether any other upstream of the same service can be reached now.

        If none can, that one of them refuses connections does not show that it has ended.
        """
        others = [each for each in self._staying(upstream.service) if each.id != upstream.id]
        return not others or self._reaches_any(others)

    def _run(self) -> None:
        with concurrent.futures.ThreadPoolExecutor(
            PROBED_UPSTREAMS, thread_name_prefix="probe"
        ) as executor:
            while True:
                self._has_suspects.wait(PROBE_INTERVAL_S if self._cut_off else None)
                self._has_suspects.clear()
                try:
                    self._probe_due(executor)
                except Exception:
                    # The services stay as they are until the next round.
                    eliot.write_traceback()

    def _probe_due(self, executor: concurrent.futures.Executor) -> None:
        with self._lock:
            due = self._suspected | self._cut_off
            self._suspected = set()
        for service in due:
            if self._clock.now_s() - self._probed_s_by_service.get(service, 0.0) < MIN_ROUND_GAP_S:
                continue
            self._probed_s_by_service[service] = self._clock.now_s()
            upstreams = self._staying(service)
            staying = {each.id for each in upstreams}
            probed = self._sample(upstreams)
            results = list(executor.map(self._reaches, probed))
            if {each.id for each in self._staying(service)} - staying:
                # An upstream joined meanwhile; calls to it tell more.
                results.append(True)
            self._set_cut_off(service, bool(results) and not any(results), len(results))

    def _set_cut_off(self, service: str, is_cut_off: bool, probed: int) -> None:
        with self._lock:
            if is_cut_off == (service in self._cut_off):
                return
            self._cut_off = self._cut_off | {service} if is_cut_off else self._cut_off - {service}
        eliot.log_message(
            message_type="service_cut_off" if is_cut_off else "service_reached_again",
            service=service,
            probed=probed,
        )

    def _staying(self, service: str) -> list[entities.Upstream]:
        return [
            each for each in self._upstreams() if each.service == service and not each.is_leaving
        ]

    def _sample(self, upstreams: list[entities.Upstream]) -> list[entities.Upstream]:
        return self._random.sample(upstreams, min(PROBED_UPSTREAMS, len(upstreams)))

    def _reaches_any(self, upstreams: list[entities.Upstream]) -> bool:
        return any(self._reaches(each) for each in self._sample(upstreams))

    def _reaches(self, upstream: entities.Upstream) -> bool:
        try:
            self._pool.acquire(upstream, new_only=True, connect_timeout_s=PROBE_TIMEOUT_S).close()
        except connections.NotSentError:
            # Counts as a failed probe; the round logs what follows from it.
            return False
        return True
