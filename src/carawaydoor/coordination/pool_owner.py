"""Runs the schedulers of the pools that this instance owns in its failure domain."""

from __future__ import annotations

import dataclasses
import functools

from carawaydoor.coordination import (
    cluster_view,
    core_events,
    core_state,
    messages,
    ownership,
    pool_scheduler,
)


def pool_resource(pool: str, failure_domain: str) -> ownership.Resource:
    """Return the resource that stands for a pool in a failure domain."""
    return ownership.Resource(f"pool/{pool}", failure_domain)


def pool_loads(state: core_state.CoreState, now_s: float) -> tuple[messages.PoolLoad, ...]:
    """Return the load of each owned pool."""
    return tuple(
        messages.PoolLoad(
            pool, pool_scheduler.count_free_slots(each, now_s), pool_scheduler.queue_length(each)
        )
        for pool, each in state.scheduler_by_pool.items()
    )


def reconcile(state: core_state.CoreState, now_s: float) -> core_state.Step:
    """Drop the pools that this instance no longer owns and take up those that it owns now."""
    running: dict[str, pool_scheduler.Scheduler] = {}
    effects: list[core_events.Effect] = []
    for pool in state.catalog.pool_by_name:
        if not core_state.owns(state, now_s, pool_resource(pool, state.membership.failure_domain)):
            continue
        current = state.scheduler_by_pool.get(pool)
        running[pool] = current or _new_scheduler(state, now_s, pool)
    lost = [each for pool, each in state.scheduler_by_pool.items() if pool not in running]
    reply_to_by_lease = dict(state.reply_to_by_lease)
    for scheduler in lost:
        for lease_id in scheduler.request_by_lease:
            reply_to = reply_to_by_lease.pop(lease_id, None)
            effects.extend(
                core_state.reply_not_owner(state, messages.NotHomeReason.OTHER_OWNER, reply_to)
            )
    state = dataclasses.replace(
        state, scheduler_by_pool=running, reply_to_by_lease=reply_to_by_lease
    )
    return state, effects


def stop_scheduling(state: core_state.CoreState) -> core_state.Step:
    """Drop all schedulers and answer the queued requests that this instance is not the owner."""
    effects: list[core_events.Effect] = []
    for reply_to in state.reply_to_by_lease.values():
        effects.extend(
            core_state.reply_not_owner(state, messages.NotHomeReason.OTHER_OWNER, reply_to)
        )
    return dataclasses.replace(state, scheduler_by_pool={}, reply_to_by_lease={}), effects


def _new_scheduler(
    state: core_state.CoreState, now_s: float, pool: str
) -> pool_scheduler.Scheduler:
    declared = state.catalog.pool_by_name[pool]
    model = state.catalog.model_by_name[declared.model]
    settings = pool_scheduler.PoolSettings(
        pool,
        state.membership.failure_domain,
        model.prefill_tokens_per_s,
        declared.max_queue,
    )
    return pool_scheduler.create(settings, now_s, _pool_upstreams(state, pool))


def _pool_upstreams(state: core_state.CoreState, pool: str) -> list[cluster_view.Upstream]:
    """Return the upstreams that this domain's scheduler of a pool may use.

    A domain that has decode upstreams but no prefill upstream of its own uses those of the other
    domains, with an equal part of their slots.
    """
    domain = state.membership.failure_domain
    group = [each for each in state.membership.view.upstream_by_id.values() if each.group == pool]
    own = [each for each in group if each.failure_domain == domain]
    if any(each.role is cluster_view.Role.PREFILL for each in own):
        return own
    domains = {each.failure_domain for each in group if each.role is cluster_view.Role.DECODE}
    shared = [
        dataclasses.replace(each, slots=max(1, each.slots // max(1, len(domains))))
        for each in group
        if each.role is cluster_view.Role.PREFILL
    ]
    return [*own, *shared]


def refresh_upstreams(state: core_state.CoreState) -> core_state.CoreState:
    """Give each scheduler the upstreams of the current view."""
    refreshed = {
        pool: pool_scheduler.replace_upstreams(each, _pool_upstreams(state, pool))
        for pool, each in state.scheduler_by_pool.items()
    }
    return dataclasses.replace(state, scheduler_by_pool=refreshed)


def renew_leases(
    state: core_state.CoreState, now_s: float, heartbeat: messages.Heartbeat
) -> core_state.CoreState:
    """Renew the leases that an instance reports in a heartbeat."""
    renewed = dict(state.scheduler_by_pool)
    for pool, scheduler in state.scheduler_by_pool.items():
        held = [each for each in heartbeat.leases if each.pool == pool]
        renewed[pool] = pool_scheduler.renew_leases(scheduler, now_s, heartbeat.instance, held)
    return dataclasses.replace(state, scheduler_by_pool=renewed)


def tick(state: core_state.CoreState, now_s: float) -> core_state.Step:
    """Advance every scheduler to the current time."""
    effects: list[core_events.Effect] = []
    stopped = frozenset(
        each
        for each in state.membership.peer_by_instance
        if ownership.is_stopped(state.membership, now_s, each)
    )
    for pool, scheduler in state.scheduler_by_pool.items():
        reported = _all_reported(state, now_s, scheduler.started_s)
        action = functools.partial(
            pool_scheduler.tick, now_s=now_s, all_reported=reported, stopped=stopped
        )
        state, answered = apply_to_scheduler(state, pool, action)
        effects.extend(answered)
    return state, effects


def reconcile_leases(
    state: core_state.CoreState, asked_s: float, now_s: float, heartbeat: messages.Heartbeat
) -> core_state.CoreState:
    """Renew the leases that an instance reports in a heartbeat, and end those that it does not.

    :param asked_s: when this instance sent the heartbeat that the other one answered
    """
    state = renew_leases(state, now_s, heartbeat)
    reported = {
        pool: pool_scheduler.release_unreported(each, asked_s, heartbeat.instance, heartbeat.leases)
        for pool, each in state.scheduler_by_pool.items()
    }
    return dataclasses.replace(state, scheduler_by_pool=reported)


def finish_prefill(
    state: core_state.CoreState, now_s: float, message: messages.FinishPrefill
) -> core_state.Step:
    """End the prefill of a lease."""
    action = functools.partial(
        pool_scheduler.finish_prefill, now_s=now_s, lease_id=message.lease_id
    )
    return apply_to_scheduler(state, message.pool, action)


def _all_reported(state: core_state.CoreState, now_s: float, since_s: float) -> bool:
    membership = state.membership
    for instance in membership.view.instance_by_id:
        if instance == membership.instance:
            continue
        peer = membership.peer_by_instance.get(instance, ownership.PeerState())
        has_reported = peer.answered_s is not None and peer.answered_s > since_s
        if not has_reported and not ownership.is_stopped(membership, now_s, instance):
            return False
    return True


def acquire(
    state: core_state.CoreState,
    now_s: float,
    request: messages.AcquireSlot,
    reply_to: int | None,
) -> core_state.Step:
    """Answer a request for a slot at once, or queue it until a slot is free."""
    reason = ownership.reason_not_owner(
        state.membership, now_s, pool_resource(request.pool, request.failure_domain)
    )
    if reason is not None:
        return state, core_state.reply_not_owner(state, reason, reply_to)
    if request.pool not in state.scheduler_by_pool:
        return state, core_state.reply_not_owner(
            state, messages.NotHomeReason.UNKNOWN_RESOURCE, reply_to
        )
    if reply_to is not None:
        reply_to_by_lease = {**state.reply_to_by_lease, request.lease_id: reply_to}
        state = dataclasses.replace(state, reply_to_by_lease=reply_to_by_lease)
    limit = state.budget_split.limit_by_workspace.get(request.workspace)
    weight = 1.0 if limit is None else limit.rate_per_s
    return apply_to_scheduler(
        state, request.pool, lambda each: pool_scheduler.acquire(each, now_s, request, weight)
    )


def release(
    state: core_state.CoreState, now_s: float, message: messages.ReleaseSlot
) -> core_state.Step:
    """End a lease; if its request is still queued, answer it, since its caller has given up."""
    reply_to_by_lease = dict(state.reply_to_by_lease)
    reply_to = reply_to_by_lease.pop(message.lease_id, None)
    given_up = core_state.reply(reply_to, messages.SlotRefused(0.0))
    state = dataclasses.replace(state, reply_to_by_lease=reply_to_by_lease)
    action = functools.partial(
        pool_scheduler.release,
        now_s=now_s,
        lease_id=message.lease_id,
        upstream_failed=message.upstream_failed,
    )
    state, effects = apply_to_scheduler(state, message.pool, action)
    return state, [*given_up, *effects]


def apply_to_scheduler(
    state: core_state.CoreState, pool: str, action: core_events.SchedulerAction
) -> core_state.Step:
    """Apply a function to the scheduler of a pool and send the answers that it returns."""
    scheduler = state.scheduler_by_pool.get(pool)
    if scheduler is None:
        return state, []
    after, answers = action(scheduler)
    reply_to_by_lease = dict(state.reply_to_by_lease)
    effects: list[core_events.Effect] = []
    for answer in answers:
        effects.extend(
            core_state.reply(reply_to_by_lease.pop(answer.lease_id, None), answer.message)
        )
    state = dataclasses.replace(
        state,
        scheduler_by_pool={**state.scheduler_by_pool, pool: after},
        reply_to_by_lease=reply_to_by_lease,
    )
    return state, effects
