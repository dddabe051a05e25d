"""What peers report of upstreams that fail, weighed against this instance's own calls.

An instance that meets a failed upstream tells its peers, so that not each of them has to lose a
request to it. The path between a peer and the upstream may have failed instead, so such evidence
only makes others preferred as long as these have room, and a response to this instance since
outweighs it.

Only failures to connect count. A call without a response may have met an upstream that is slow under
load, and peers that leave it for the others make these slow next.
"""

from __future__ import annotations

import collections
import dataclasses
from collections.abc import Collection, Iterable, Mapping
from typing import Final

from carawaydoor.policy import entities, health

# Longest time for which the evidence of a peer counts without being repeated.
MAX_TRUST_S: Final = 5.0
# Evidence outlasts the backoff of the peer by this time, so that trials of single requests renew it
# while the upstream fails. If it lapsed, all instances would try the upstream at once.
TRIAL_MARGIN_S: Final = 3.0
# Mean interval between the trials of all instances together.
TRIAL_INTERVAL_S: Final = 1.0
# An instance for which a larger part of the upstreams of a service fails is probably cut off itself.
MAX_FAILING_SHARE: Final = 0.5
# Bounds the size of a report.
MAX_REPORTED: Final = 16


@dataclasses.dataclass(frozen=True, slots=True)
class Failure:
    """An upstream that the reporting instance could not reach.

    :ivar born_ms: start of the incarnation that failed
    :ivar age_s: seconds between the latest failure and the report
    :ivar for_s: seconds after the report for which others should be preferred
    """

    upstream: str
    born_ms: int
    age_s: float
    for_s: float

    @property
    def incarnation(self) -> entities.Incarnation:
        """The incarnation that failed."""
        return self.upstream, self.born_ms


def to_report(
    upstream_health: health.Health, now_s: float, upstreams: Iterable[entities.Upstream]
) -> tuple[Failure, ...]:
    """Return the failures to tell peers, the latest ones if there are many."""
    if not upstream_health:
        return ()
    by_group: dict[tuple[str, entities.Stage], list[entities.Upstream]] = collections.defaultdict(
        list
    )
    for each in upstreams:
        by_group[each.service, each.stage].append(each)
    failures: list[Failure] = []
    for group in by_group.values():
        failing = [
            failure
            for each in group
            if (failure := _failure(upstream_health, now_s, each)) is not None
        ]
        if len(failing) <= MAX_FAILING_SHARE * len(group):
            failures.extend(failing)
    return tuple(sorted(failures, key=lambda each: each.age_s)[:MAX_REPORTED])


def _failure(
    upstream_health: health.Health, now_s: float, upstream: entities.Upstream
) -> Failure | None:
    known = upstream_health.get(upstream.id, health.HEALTHY)
    for_s = min(MAX_TRUST_S, known.suspect_until_s + TRIAL_MARGIN_S - now_s)
    if for_s <= 0.0 or known.unreachable_s <= known.responded_s:
        return None
    age_s = max(0.0, now_s - known.unreachable_s)
    return Failure(upstream.id, upstream.born_ms, age_s, for_s)


def outweighing(
    failed_s_by_incarnation: Mapping[entities.Incarnation, float],
    upstream_health: health.Health,
) -> frozenset[str]:
    """Return the ids of the upstreams that have failed peers since they last responded here.

    :param failed_s_by_incarnation: when an upstream last failed a peer, for evidence that counts
    """
    return frozenset(
        upstream_id
        for (upstream_id, _), failed_s in failed_s_by_incarnation.items()
        if upstream_health.get(upstream_id, health.HEALTHY).responded_s < failed_s
    )


def next_trial_s(now_s: float, draw: float, instances: int) -> float:
    """Return when an instance next places a request regardless of the evidence of peers.

    Such a request finds out whether an upstream has recovered. Together, the instances of a fleet of
    any size place about one of them in each ``TRIAL_INTERVAL_S``.

    :param draw: random number from 0 to 1
    :param instances: number of instances that share evidence
    """
    return now_s + 2.0 * draw * instances * TRIAL_INTERVAL_S


def combine(
    reported: Iterable[tuple[str, float, Collection[Failure]]], own_domain: str, now_s: float
) -> dict[entities.Incarnation, float]:
    """Return when upstreams last failed peers, for the evidence that counts.

    Evidence of another failure domain counts only if a further domain confirms it: the network between
    that domain and the upstream may have failed.

    :param reported: for each peer, its failure domain, when it last reported and what it named
    """
    failed_s_by_incarnation: dict[entities.Incarnation, float] = {}
    domains_by_incarnation: dict[entities.Incarnation, set[str]] = collections.defaultdict(set)
    for domain, reported_s, failures in reported:
        for each in failures:
            if now_s >= reported_s + min(MAX_TRUST_S, each.for_s):
                continue
            failed_s = reported_s - each.age_s
            latest_s = failed_s_by_incarnation.get(each.incarnation, failed_s)
            failed_s_by_incarnation[each.incarnation] = max(failed_s, latest_s)
            domains_by_incarnation[each.incarnation].add(domain)
    return {
        incarnation: failed_s
        for incarnation, failed_s in failed_s_by_incarnation.items()
        if own_domain in domains_by_incarnation[incarnation]
        or len(domains_by_incarnation[incarnation]) > 1
    }
