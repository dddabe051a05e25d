"""Retry budget of each service, shared by all instances.

An instance may use more than an equal share while others use less, since retries come in bursts.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping
from typing import Final

from carawaydoor.policy import sliding_window

# The rest of the budget covers retries of peers that this instance does not know of yet.
USABLE_SHARE: Final = 0.6
# Applies in the first window after the start, when retries before the start are not known. Even if
# all instances restart at once after they have used USABLE_SHARE, both shares together are less
# than the whole budget.
USABLE_SHARE_AFTER_START: Final = 0.3
# After this time, most peers know of a retry of this instance.
PEER_REPORT_LAG_S: Final = 1.0
# Within PEER_REPORT_LAG_S, one instance may send this multiple of an equal share of the remaining
# budget. Retries come in bursts at few instances; even if all instances used their allowance at
# once, they would stay within the budget.
MAX_SHARES_PER_LAG: Final = 1.5
# A rate over a shorter time would be dominated by single requests.
MIN_RATE_PERIOD_S: Final = 1.0
# Bounds the share of an instance that has not found its peers yet.
MIN_ASSUMED_INSTANCES: Final = 8
# An instance that started within the window does not know the size of its fleet while it still finds
# more peers: the number known rose by this factor within this time.
SETTLING_GROWTH: Final = 1.1
SETTLING_TIME_S: Final = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class BudgetRules:
    """Bounds on the retries to one service, all instances together.

    :ivar ratio: retries allowed per request
    :ivar slack: retries allowed in addition
    :ivar window_s: length of the window in which retries and requests are counted
    """

    ratio: float
    slack: float
    window_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class FleetRetryBudget:
    """Requests and retries by service.

    :ivar started_s: start of this instance; retries before it are not known
    :ivar recent_own_retries: retries of this instance that peers may not know of yet
    :ivar reachable_instances: instances whose counts are known, including this one
    :ivar known_instances: instances that share the budget
    :ivar grown_s: when the number of known instances last rose by ``SETTLING_GROWTH``, or the start
    """

    rules: BudgetRules
    started_s: float
    requests: sliding_window.WindowCounts
    retries: sliding_window.WindowCounts
    recent_own_retries: sliding_window.WindowCounts
    reachable_instances: int = 1
    known_instances: int = 1
    grown_s: float = float("-inf")


@dataclasses.dataclass(frozen=True, slots=True)
class RetryUsage:
    """Requests and retries of one service in the window.

    :ivar requests: requests of all instances
    :ivar retries: retries of all instances
    :ivar own_recent: retries of this instance that peers may not know of yet
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
        sliding_window.WindowCounts(PEER_REPORT_LAG_S),
        grown_s=now_s,
    )


def record_request(state: FleetRetryBudget, now_s: float, service: str) -> FleetRetryBudget:
    """Count a request, which adds a fraction of a retry to the budget."""
    requests = sliding_window.add(state.requests, now_s, service, 1.0)
    return dataclasses.replace(state, requests=requests)


def take(state: FleetRetryBudget, now_s: float, service: str) -> tuple[FleetRetryBudget, bool]:
    """Take one retry from the budget of a service; return False if none is allowed now."""
    current = usage(state, now_s, service)
    instances = max(MIN_ASSUMED_INSTANCES, state.known_instances)
    whole = _whole_budget(state, current.requests)
    is_new = now_s - state.started_s < state.rules.window_s
    if not is_settled(state, now_s) and state.retries.own_totals_by_name.get(service, 0.0) > 0.0:
        # One retry of every instance stays within the slack, whatever the size of the fleet.
        return state, False
    left = whole * (USABLE_SHARE_AFTER_START if is_new else USABLE_SHARE) - current.retries
    allowance = left * MAX_SHARES_PER_LAG / instances
    unused = whole * (1.0 - USABLE_SHARE if is_new else 1.0) - current.retries
    if unused >= instances:
        # Even one retry of every instance, unseen by the others, stays within the budget.
        allowance = max(1.0, allowance)
    if left < 1.0 or current.own_recent + 1.0 > allowance:
        return state, False
    return record(state, now_s, service), True


def is_settled(state: FleetRetryBudget, now_s: float) -> bool:
    """Return whether this instance knows the size of its fleet."""
    is_new = now_s - state.started_s < state.rules.window_s
    return not is_new or now_s - state.grown_s >= SETTLING_TIME_S


def record(state: FleetRetryBudget, now_s: float, service: str) -> FleetRetryBudget:
    """Count a retry, also one that was not known to be one before it was sent."""
    return dataclasses.replace(
        state,
        retries=sliding_window.add(state.retries, now_s, service, 1.0),
        recent_own_retries=sliding_window.add(state.recent_own_retries, now_s, service, 1.0),
    )


def merge_peer_totals(
    state: FleetRetryBudget,
    now_s: float,
    peer: str,
    requests_by_service: Mapping[str, float],
    retries_by_service: Mapping[str, float],
) -> FleetRetryBudget:
    """Count the requests and retries of a peer since its last report."""
    requests = sliding_window.merge_peer_totals(state.requests, now_s, peer, requests_by_service)
    retries = sliding_window.merge_peer_totals(state.retries, now_s, peer, retries_by_service)
    if requests is state.requests and retries is state.retries:
        return state
    return dataclasses.replace(state, requests=requests, retries=retries)


def remove_peer(state: FleetRetryBudget, peer: str) -> FleetRetryBudget:
    """Remove the totals of a peer that has ended."""
    return dataclasses.replace(
        state,
        requests=sliding_window.remove_peer(state.requests, peer),
        retries=sliding_window.remove_peer(state.retries, peer),
    )


def with_reachable_instances(
    state: FleetRetryBudget, reachable: int, known: int, now_s: float = float("-inf")
) -> FleetRetryBudget:
    """Return the budget for an instance that gets reports of some of the known instances.

    :param reachable: instances whose reports arrive, including this one
    :param known: all instances, including this one
    :param now_s: time in seconds at which they are known; by default, since before the start
    """
    known = max(known, reachable, 1)
    has_grown = known > state.known_instances * SETTLING_GROWTH
    return dataclasses.replace(
        state,
        reachable_instances=reachable,
        known_instances=known,
        grown_s=max(state.grown_s, now_s) if has_grown else state.grown_s,
    )


def usage(state: FleetRetryBudget, now_s: float, service: str) -> RetryUsage:
    """Return the requests and retries of a service as far as this instance knows them."""
    return RetryUsage(
        sliding_window.total(state.requests, now_s, service),
        sliding_window.total(state.retries, now_s, service),
        sliding_window.total(state.recent_own_retries, now_s, service),
    )


def requests_per_s(state: FleetRetryBudget, now_s: float, service: str) -> float:
    """Return the rate of requests to a service over all instances, as a mean over the window."""
    known_s = min(state.rules.window_s, now_s - state.started_s)
    if known_s < MIN_RATE_PERIOD_S:
        return 0.0
    return sliding_window.total(state.requests, now_s, service) / known_s


def _whole_budget(state: FleetRetryBudget, requests: float) -> float:
    """Return how many retries the instances that reach each other may send in a window."""
    slack = state.rules.slack * state.reachable_instances / state.known_instances
    return slack + state.rules.ratio * requests
