"""The upstreams that peers report to fail, as far as that counts for this instance."""

from __future__ import annotations

import random
from collections.abc import Collection, Mapping

import eliot

from carawaydoor.fleet import gossip
from carawaydoor.policy import entities, health, peer_evidence


class PeerFailures:
    """Holds the evidence of peers, logs what changes, and decides when a request ignores it.

    Callers hold the lock of the instance.
    """

    def __init__(self, domain: str) -> None:
        self._domain = domain
        self._failed_s_by_incarnation: Mapping[entities.Incarnation, float] = {}
        self._instances = 1
        self._next_trial_s: float | None = None
        self._logged: frozenset[entities.Incarnation] = frozenset()
        self._random = random.Random()

    def update(self, membership: gossip.Membership, now_s: float) -> None:
        """Take over what peers have reported."""
        self._instances = len(membership.peer_by_instance) + 1
        reported = (
            (each.report.domain, each.last_report_s, each.report.failures)
            for each in membership.peer_by_instance.values()
            if each.report is not None and each.report.failures
        )
        self._failed_s_by_incarnation = peer_evidence.combine(reported, self._domain, now_s)
        if self._failed_s_by_incarnation.keys() != self._logged:
            self._log_changes(now_s)

    def current(
        self, upstreams: Collection[entities.Upstream], upstream_health: health.Health
    ) -> frozenset[str]:
        """Return the ids of the upstreams to which others are preferred."""
        if not self._failed_s_by_incarnation:
            return frozenset()
        known = {each.incarnation for each in upstreams}
        failed_s_by_incarnation = {
            incarnation: failed_s
            for incarnation, failed_s in self._failed_s_by_incarnation.items()
            if incarnation in known
        }
        return peer_evidence.outweighing(failed_s_by_incarnation, upstream_health)

    def is_trial_due(self, now_s: float) -> bool:
        """Return whether the next request is to ignore the evidence, and note that it does."""
        if not self._failed_s_by_incarnation:
            self._next_trial_s = None
            return False
        is_due = self._next_trial_s is not None and now_s >= self._next_trial_s
        if self._next_trial_s is None or is_due:
            self._next_trial_s = peer_evidence.next_trial_s(
                now_s, self._random.random(), self._instances
            )
        return is_due

    def _log_changes(self, now_s: float) -> None:
        reported = frozenset(self._failed_s_by_incarnation)
        for incarnation in reported - self._logged:
            eliot.log_message(
                message_type="upstream_fails_peers",
                upstream=incarnation[0],
                age_s=round(now_s - self._failed_s_by_incarnation[incarnation], 3),
                instances=self._instances,
            )
        for upstream_id, _ in self._logged - reported:
            eliot.log_message(message_type="upstream_failures_of_peers_over", upstream=upstream_id)
        self._logged = reported
