"""Schedules the decode slots and prefills of one pool in one failure domain.

A pool in a failure domain has one owner at a time, which chooses the decode and the prefill
upstream of a request in one step, so that no two requests get the same slot. A new owner first
learns the leases that earlier owners granted. It grants slots once every instance has reported its
leases or is proved stopped, or after ``MAX_LEASE_DISCOVERY_S``.

A lease ends when its holder releases it, reports without it or is proved stopped. While the holder
is silent, the engine may still run the request, so the lease stays for ``SILENT_HOLDER_LEASE_S``.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Callable, Mapping, Sequence
from typing import TypeVar

from carawaydoor.coordination import cluster_view, fair_queue, messages, prefix_affinity

T = TypeVar("T")

INITIAL_SLOT_HOLD_S = 1.0
SLOT_HOLD_SMOOTHING = 0.1
FAILED_UPSTREAM_BACKOFF_S = 2.0
MIN_RETRY_DELAY_S = 0.1
MAX_LEASE_DISCOVERY_S = 5.0
SILENT_HOLDER_LEASE_S = 30.0
GRANT_REPORT_GRACE_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class PoolSettings:
    """Settings of a pool.

    :ivar prefill_tokens_per_s: speed of one prefill upstream, in prompt tokens per second
    :ivar max_queue: maximum number of queued requests over all workspaces
    """

    pool: str
    failure_domain: str
    prefill_tokens_per_s: float
    max_queue: int


@dataclasses.dataclass(frozen=True, slots=True)
class Lease:
    """Lease of one decode slot and, while the prefill runs, of a prefill slot.

    :ivar holder: instance that runs the request
    :ivar prefill: prefill upstream that works on the request, empty after the prefill
    :ivar renewed_s: when the holder last reported the lease
    """

    id: str
    workspace: str
    holder: str
    decode: str
    prefill: str
    prefill_tokens: int
    granted_s: float
    renewed_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Scheduler:
    """State of the scheduler of one pool in one failure domain.

    :ivar request_by_lease: the queued requests
    :ivar backoff_until_s_by_upstream: until when upstreams that failed are not used
    :ivar granting: whether slots are granted; until the leases of earlier owners are known,
        requests are only queued or refused
    :ivar mean_slot_hold_s: moving average of the time that a slot is leased, in seconds
    """

    settings: PoolSettings
    upstream_by_id: Mapping[str, cluster_view.Upstream]
    lease_by_id: Mapping[str, Lease]
    queue: fair_queue.FairQueue
    request_by_lease: Mapping[str, messages.AcquireSlot]
    affinity: prefix_affinity.Affinity
    backoff_until_s_by_upstream: Mapping[str, float]
    started_s: float
    granting: bool
    mean_slot_hold_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """The final answer to one request for a slot."""

    lease_id: str
    message: messages.SlotGranted | messages.SlotRefused


def create(
    settings: PoolSettings, now_s: float, upstreams: Sequence[cluster_view.Upstream]
) -> Scheduler:
    """Return a scheduler that does not know the current leases yet."""
    return Scheduler(
        settings,
        {each.id: each for each in upstreams},
        {},
        fair_queue.EMPTY,
        {},
        prefix_affinity.EMPTY,
        {},
        now_s,
        False,
        INITIAL_SLOT_HOLD_S,
    )


def replace_upstreams(state: Scheduler, upstreams: Sequence[cluster_view.Upstream]) -> Scheduler:
    """Use a newer list of upstreams."""
    return dataclasses.replace(state, upstream_by_id={each.id: each for each in upstreams})


def acquire(
    state: Scheduler, now_s: float, request: messages.AcquireSlot, weight: float
) -> tuple[Scheduler, list[Answer]]:
    """Grant a slot, queue the request or refuse it."""
    if request.lease_id in state.lease_by_id or request.lease_id in state.request_by_lease:
        return state, []
    if not state.granting or fair_queue.length(state.queue) == 0:
        grant = _try_grant(state, now_s, request, 0.0)
        if grant is not None:
            return grant[0], [grant[1]]
    wait_s = expected_wait_s(state, now_s)
    full = fair_queue.length(state.queue) >= state.settings.max_queue
    if request.max_wait_s <= 0.0 or full or wait_s > request.max_wait_s:
        return state, [
            Answer(request.lease_id, messages.SlotRefused(max(wait_s, MIN_RETRY_DELAY_S)))
        ]
    expires_s = now_s + request.max_wait_s
    queued = fair_queue.QueuedRequest(
        request.lease_id, request.workspace, 1.0, weight, now_s, expires_s
    )
    after = dataclasses.replace(
        state,
        queue=fair_queue.push(state.queue, queued),
        request_by_lease={**state.request_by_lease, request.lease_id: request},
    )
    return after, []


def finish_prefill(state: Scheduler, now_s: float, lease_id: str) -> tuple[Scheduler, list[Answer]]:
    """End the prefill of a lease, which frees its prefill slot."""
    lease = state.lease_by_id.get(lease_id)
    if lease is None:
        return state, []
    done = dataclasses.replace(lease, prefill="", prefill_tokens=0)
    return serve_queue(_with_lease(state, done), now_s)


def release(
    state: Scheduler, now_s: float, lease_id: str, upstream_failed: str
) -> tuple[Scheduler, list[Answer]]:
    """End a lease or remove its request from the queue; don't use a failed upstream for a time."""
    state = _dequeue(state, {lease_id})
    lease = state.lease_by_id.get(lease_id)
    if lease is not None:
        held_s = now_s - lease.granted_s
        state = dataclasses.replace(
            state,
            lease_by_id=_without(state.lease_by_id, lease_id),
            mean_slot_hold_s=state.mean_slot_hold_s
            + SLOT_HOLD_SMOOTHING * (held_s - state.mean_slot_hold_s),
        )
    if upstream_failed:
        failed = {
            **state.backoff_until_s_by_upstream,
            upstream_failed: now_s + FAILED_UPSTREAM_BACKOFF_S,
        }
        state = dataclasses.replace(
            state,
            backoff_until_s_by_upstream=failed,
            affinity=prefix_affinity.forget_upstream(state.affinity, upstream_failed),
        )
    return serve_queue(state, now_s)


def renew_leases(
    state: Scheduler, now_s: float, holder: str, held: Sequence[messages.HeldLease]
) -> Scheduler:
    """Renew the leases that a holder reports, and add those that an earlier owner granted."""
    leases = dict(state.lease_by_id)
    for each in held:
        lease = leases.get(each.lease_id)
        if lease is None:
            lease = Lease(each.lease_id, each.workspace, holder, each.decode, "", 0, now_s, now_s)
        leases[each.lease_id] = dataclasses.replace(lease, renewed_s=now_s)
    return dataclasses.replace(state, lease_by_id=leases)


def release_unreported(
    state: Scheduler, asked_s: float, holder: str, held: Sequence[messages.HeldLease]
) -> Scheduler:
    """End the leases that a holder, asked at ``asked_s``, no longer reports.

    A lease stays if it was granted later than ``GRANT_REPORT_GRACE_S`` before that time, because
    its holder may not have received the grant yet.
    """
    named = {each.lease_id for each in held}
    return _retain_leases(
        state,
        lambda each: (
            each.holder != holder
            or each.id in named
            or each.granted_s > asked_s - GRANT_REPORT_GRACE_S
        ),
    )


def tick(
    state: Scheduler, now_s: float, all_reported: bool, stopped: frozenset[str]
) -> tuple[Scheduler, list[Answer]]:
    """End leases of stopped holders, expire queued requests and serve the queue.

    :param all_reported: whether every instance has reported or is proved stopped
    :param stopped: instances that are proved stopped
    """
    state = _retain_leases(
        state,
        lambda each: each.holder not in stopped and each.renewed_s > now_s - SILENT_HOLDER_LEASE_S,
    )
    granting = state.granting or all_reported or now_s - state.started_s > MAX_LEASE_DISCOVERY_S
    state = dataclasses.replace(state, granting=granting)
    expired = [
        each.id
        for queued in state.queue.queue_by_workspace.values()
        for each in queued
        if each.expires_s <= now_s
    ]
    state = _dequeue(state, set(expired))
    retry_s = max(expected_wait_s(state, now_s), MIN_RETRY_DELAY_S)
    refused = [Answer(each, messages.SlotRefused(retry_s)) for each in expired]
    state, served = serve_queue(state, now_s)
    return state, [*refused, *served]


def serve_queue(state: Scheduler, now_s: float) -> tuple[Scheduler, list[Answer]]:
    """Grant free slots to queued requests in fair order."""
    answers: list[Answer] = []
    while state.request_by_lease:
        queue, queued = fair_queue.pop(state.queue)
        if queued is None:
            break
        request = state.request_by_lease[queued.id]
        grant = _try_grant(state, now_s, request, now_s - queued.queued_s)
        if grant is None:
            break
        state = dataclasses.replace(
            grant[0], queue=queue, request_by_lease=_without(state.request_by_lease, queued.id)
        )
        answers.append(grant[1])
    return state, answers


def count_free_slots(state: Scheduler, now_s: float) -> int:
    """Return the number of free decode slots."""
    if not state.granting:
        return 0
    used = _used_slots_by_decode(state)
    return sum(
        each.slots - used.get(each.id, 0)
        for each in _usable_upstreams(state, now_s, cluster_view.Role.DECODE)
    )


def queue_length(state: Scheduler) -> int:
    """Return the number of queued requests."""
    return fair_queue.length(state.queue)


def expected_wait_s(state: Scheduler, now_s: float) -> float:
    """Return the expected wait of a request that is queued now, in seconds."""
    if not state.granting:
        return max(0.0, state.started_s + MAX_LEASE_DISCOVERY_S - now_s)
    slots = sum(each.slots for each in _usable_upstreams(state, now_s, cluster_view.Role.DECODE))
    if slots == 0:
        return FAILED_UPSTREAM_BACKOFF_S
    return (fair_queue.length(state.queue) + 1) * state.mean_slot_hold_s / slots


def _try_grant(
    state: Scheduler, now_s: float, request: messages.AcquireSlot, queued_s: float
) -> tuple[Scheduler, Answer] | None:
    decode = _choose_decode(state, now_s, request)
    if decode is None:
        return None
    prefill = _choose_prefill(state, now_s, request)
    if prefill is None:
        return None
    lease = Lease(
        request.lease_id,
        request.workspace,
        request.holder,
        decode,
        prefill,
        request.prompt_tokens,
        now_s,
        now_s,
    )
    state = _with_lease(state, lease)
    recorded = prefix_affinity.record_prefixes(state.affinity, prefill, request.prefixes)
    granted = messages.SlotGranted(decode, prefill, queued_s)
    return dataclasses.replace(state, affinity=recorded), Answer(request.lease_id, granted)


def _choose_decode(state: Scheduler, now_s: float, request: messages.AcquireSlot) -> str | None:
    if not state.granting:
        return None
    used = _used_slots_by_decode(state)
    free = [
        each
        for each in _usable_upstreams(state, now_s, cluster_view.Role.DECODE)
        if used.get(each.id, 0) < each.slots and each.id not in request.excluded
    ]
    if not free:
        return None
    return min(free, key=lambda each: (used.get(each.id, 0) / each.slots, each.id)).id


def _choose_prefill(state: Scheduler, now_s: float, request: messages.AcquireSlot) -> str | None:
    """Choose the prefill upstream expected to finish first, given the cached prefixes."""
    prefill_count: dict[str, int] = {}
    pending_tokens: dict[str, int] = {}
    for lease in state.lease_by_id.values():
        if lease.prefill:
            prefill_count[lease.prefill] = prefill_count.get(lease.prefill, 0) + 1
            pending_tokens[lease.prefill] = (
                pending_tokens.get(lease.prefill, 0) + lease.prefill_tokens
            )

    def finish_s(upstream: cluster_view.Upstream) -> float:
        cached = prefix_affinity.cached_tokens(state.affinity, upstream.id, request.prefixes)
        compute_tokens = pending_tokens.get(upstream.id, 0) + max(0, request.prompt_tokens - cached)
        transfer_tokens = pending_tokens.get(upstream.id, 0) + request.prompt_tokens
        compute_s = compute_tokens / state.settings.prefill_tokens_per_s
        return max(compute_s, transfer_tokens / upstream.link_tokens_per_s)

    free = [
        each
        for each in _usable_upstreams(state, now_s, cluster_view.Role.PREFILL)
        if prefill_count.get(each.id, 0) < each.slots and each.id not in request.excluded
    ]
    if not free:
        return None
    return min(free, key=lambda each: (finish_s(each), each.id)).id


def _usable_upstreams(
    state: Scheduler, now_s: float, role: cluster_view.Role
) -> list[cluster_view.Upstream]:
    return [
        each
        for each in state.upstream_by_id.values()
        if each.role is role
        and each.presence is cluster_view.Presence.LIVE
        and state.backoff_until_s_by_upstream.get(each.id, 0.0) <= now_s
    ]


def _used_slots_by_decode(state: Scheduler) -> dict[str, int]:
    used: dict[str, int] = {}
    for lease in state.lease_by_id.values():
        used[lease.decode] = used.get(lease.decode, 0) + 1
    return used


def _with_lease(state: Scheduler, lease: Lease) -> Scheduler:
    return dataclasses.replace(state, lease_by_id={**state.lease_by_id, lease.id: lease})


def _retain_leases(state: Scheduler, is_retained: Callable[[Lease], bool]) -> Scheduler:
    kept = {key: each for key, each in state.lease_by_id.items() if is_retained(each)}
    return dataclasses.replace(state, lease_by_id=kept)


def _dequeue(state: Scheduler, lease_ids: set[str]) -> Scheduler:
    if not any(each in state.request_by_lease for each in lease_ids):
        return state
    return dataclasses.replace(
        state,
        queue=fair_queue.remove(state.queue, lambda each: each.id in lease_ids),
        request_by_lease={
            key: request for key, request in state.request_by_lease.items() if key not in lease_ids
        },
    )


def _without(mapping: Mapping[str, T], key: str) -> dict[str, T]:
    return {each: value for each, value in mapping.items() if each != key}
