"""Retry budget of each service over all instances: what is left of it goes where it is needed."""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping
from typing import Final

from carawaydoor.policy import sliding_window

# Part of the budget that instances use: what others take is known with a lag.
USED_SHARE: Final = 0.6
# Part that instances use in the first window after their start, when they don't know what was taken
# before: both together are less than the whole where all instances start anew at once.
START_SHARE: Final = 0.3
# Time in seconds after which most peers have told what they took.
LAG_S: Final = 1.0
# Part of an equal share of what is left that one instance may take within that time. Repeats come
# in bursts at some instances; even if all took this at once they would stay within the budget.
LAG_SHARES: Final = 1.5
# Instances that share the budget at least, before peers have been heard.
MIN_INSTANCES: Final = 8


@dataclasses.dataclass(frozen=True, slots=True)
class BudgetRules:
    """Bounds on the repeats to one service, all instances together.

    :ivar ratio: repeated sends for each request
    :ivar slack: repeated sends beyond that
    :ivar window_s: length in seconds of the window that they are counted in
    """

    ratio: float
    slack: float
    window_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class FleetRetryBudget:
    """Requests and repeated sends by service.

    :ivar started_s: start of this instance; repeats before that are not known
    :ivar reachable_instances: instances whose counts are known, this one included
    :ivar known_instances: instances that share the budget
    :ivar recent_own_retries: this instance's repeats within the time that peers need to hear of them
    """

    rules: BudgetRules
    started_s: float
    requests: sliding_window.WindowCounts
    retries: sliding_window.WindowCounts
    recent_own_retries: sliding_window.WindowCounts
    reachable_instances: int = 1
    known_instances: int = 1


@dataclasses.dataclass(frozen=True, slots=True)
class RetryUsage:
    """What is known of the requests and repeats to a service.

    :ivar requests: requests in the window, all instances together
    :ivar retries: repeated sends in the window, all instances together
    :ivar own_recent: repeated sends of this instance that peers may not know of
    """

    requests: float
    retries: float
    own_recent: float


def create(rules: BudgetRules, now_s: float) -> FleetRetryBudget:
    """Return the budget of an instance that starts."""
    return FleetRetryBudget(
        rules,
        now_s,
        sliding_window.WindowCounts(rules.window_s),
        sliding_window.WindowCounts(rules.window_s),
        sliding_window.WindowCounts(LAG_S),
    )


def record_request(state: FleetRetryBudget, now_s: float, service: str) -> FleetRetryBudget:
    """Count a request, which earns a part of a repeat."""
    requests = sliding_window.add(state.requests, now_s, service, 1.0)
    return dataclasses.replace(state, requests=requests)


def take(state: FleetRetryBudget, now_s: float, service: str) -> tuple[FleetRetryBudget, bool]:
    """Take one repeated send to a service where the budget has one."""
    known = usage(state, now_s, service)
    left = _allowed(state, now_s, known.requests) - known.retries
    instances = max(MIN_INSTANCES, state.known_instances)
    if left < 1.0 or known.own_recent + 1.0 > max(1.0, left * LAG_SHARES / instances):
        return state, False
    after = dataclasses.replace(
        state,
        retries=sliding_window.add(state.retries, now_s, service, 1.0),
        recent_own_retries=sliding_window.add(state.recent_own_retries, now_s, service, 1.0),
    )
    return after, True


def merge_peer_totals(
    state: FleetRetryBudget,
    now_s: float,
    peer: str,
    requests_by_service: Mapping[str, float],
    repeats_by_service: Mapping[str, float],
) -> FleetRetryBudget:
    """Count what a peer has sent since its last report."""
    requests = sliding_window.merge_peer_totals(state.requests, now_s, peer, requests_by_service)
    repeats = sliding_window.merge_peer_totals(state.retries, now_s, peer, repeats_by_service)
    if requests is state.requests and repeats is state.retries:
        return state
    return dataclasses.replace(state, requests=requests, retries=repeats)


def remove_peer(state: FleetRetryBudget, peer: str) -> FleetRetryBudget:
    """Forget the totals of a peer that has ended."""
    return dataclasses.replace(
        state,
        requests=sliding_window.remove_peer(state.requests, peer),
        retries=sliding_window.remove_peer(state.retries, peer),
    )


def with_reachable_instances(state: FleetRetryBudget, heard: int, known: int) -> FleetRetryBudget:
    """Return the budget for an instance that hears ``heard`` of ``known`` instances."""
    return dataclasses.replace(
        state, reachable_instances=heard, known_instances=max(known, heard, 1)
    )


def usage(state: FleetRetryBudget, now_s: float, service: str) -> RetryUsage:
    """Return what the budget of a service is judged from."""
    return RetryUsage(
        sliding_window.used(state.requests, now_s, service),
        sliding_window.used(state.retries, now_s, service),
        sliding_window.used(state.recent_own_retries, now_s, service),
    )


def _allowed(state: FleetRetryBudget, now_s: float, requests: float) -> float:
    """Return the repeats that instances which hear each other may send in a window."""
    is_new = now_s - state.started_s < state.rules.window_s
    slack = state.rules.slack * state.reachable_instances / state.known_instances
    return (START_SHARE if is_new else USED_SHARE) * (slack + state.rules.ratio * requests)
