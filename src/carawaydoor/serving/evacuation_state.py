"""The evacuated failure domains that an instance knows, and what follows for its upstreams."""

from __future__ import annotations

import dataclasses
import threading
from collections.abc import Callable
from typing import Final

import eliot

from carawaydoor.operating import clocks, platform_metrics
from carawaydoor.policy import entities, evacuation, upstream_directory
from carawaydoor.serving import connections


class EvacuationState:
    """Holds the evacuations of one instance.

    :param directory: returns the known upstreams, with those of evacuated failure domains
    """

    def __init__(
        self,
        clock: clocks.Clock,
        metrics: platform_metrics.Metrics,
        lock: threading.RLock,
        pool: connections.ConnectionPool,
        directory: Callable[[], upstream_directory.Directory],
    ) -> None:
        self._clock: Final = clock
        self._metrics: Final = metrics
        self._lock: Final = lock
        self._pool: Final = pool
        self._directory: Final = directory
        self._state = evacuation.NONE
        # The inputs and the result of the latest filtering of a directory.
        self._remaining = (evacuation.NONE, upstream_directory.EMPTY, upstream_directory.EMPTY)
        # The inputs of the latest search for unknown failure domains.
        self._checked = (evacuation.NONE, upstream_directory.EMPTY)
        pool.may_send = lambda upstream: not self.is_evacuated(upstream)

    @property
    def current(self) -> evacuation.Evacuations:
        """The evacuations as they are known now."""
        return self._state

    def apply(self, message: evacuation.Message) -> None:
        """Apply what the store or a peer says, and act on the changes."""
        with self._lock:
            self._state, effects = evacuation.step(self._state, self._clock.now_s(), message)
        for effect in effects:
            if isinstance(effect, evacuation.Given):
                # Their requests have ended; new ones go elsewhere.
                for each in self._directory().upstream_by_id.values():
                    if each.domain == effect.evacuation.domain:
                        self._pool.close_idle(each)
            self._record(effect)

    def expire(self) -> None:
        """Apply the changes that result from the passing of time."""
        if not self._state.by_domain:
            return
        self.apply(evacuation.Tick())
        state, directory = self._state, self._directory()
        checked_state, checked_directory = self._checked
        is_checked = checked_state is state and checked_directory is directory
        if not directory.revision or is_checked:
            return
        known = {each.domain for each in directory.upstream_by_id.values()}
        with self._lock:
            self._state, unknown = evacuation.note_unknown(self._state, known)
            self._checked = self._state, directory
        for domain in unknown:
            eliot.log_message(message_type="evacuation_of_unknown_domain", domain=domain[:200])

    def is_evacuated(self, upstream: entities.Upstream) -> bool:
        """Return whether an upstream must get no request because of its failure domain."""
        return upstream.domain in self._state.by_domain

    def remaining(self) -> upstream_directory.Directory:
        """Return the directory without the upstreams of evacuated failure domains."""
        state, directory = self._state, self._directory()
        if not state.by_domain:
            return directory
        known_state, known_directory, result = self._remaining
        if known_state is not state or known_directory is not directory:
            upstreams = evacuation.remaining(state, directory.upstream_by_id.values())
            result = dataclasses.replace(
                directory, upstream_by_id={each.id: each for each in upstreams}
            )
            self._remaining = state, directory, result
        return result

    def _record(self, effect: evacuation.Effect) -> None:
        match effect:
            case evacuation.Given():
                change = "given"
            case evacuation.TakenBack():
                change = "taken_back"
            case evacuation.Kept():
                change = "kept"
        each, now_s = effect.evacuation, self._clock.now_s()
        self._metrics.evacuations.add(1, {"change": change})
        kept_s = None if each.kept_until_s is None else round(each.kept_until_s - now_s, 3)
        eliot.log_message(
            message_type=f"evacuation_{change}",
            domain=each.domain[:200],
            origin=each.origin.value,
            age_s=round(now_s - each.since_s, 3),
            kept_s=kept_s,
            revision=self._directory().revision,
            upstreams_left=len(self.remaining().upstream_by_id),
        )
