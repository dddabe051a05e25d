"""Decision core of one instance: ``(state, now, event) -> (state, effects)``.

It dispatches each event to the part that handles it and keeps the owned resources in line with
the ownership rules. It uses no socket, thread or clock, so that the daemon, the property tests and
the replay of traces run the same code.
"""

from __future__ import annotations

import dataclasses

from carawaydoor.coordination import (
    budget_owner,
    budgets,
    core_events,
    core_state,
    idempotency_owner,
    messages,
    ownership,
    pool_owner,
)
from carawaydoor.policy import strikes

RECONCILE_INTERVAL_S = 0.25


def step(
    state: core_state.CoreState, now_s: float, wall_s: float, event: core_events.Event
) -> core_state.Step:
    """Apply one event.

    :param now_s: time in seconds on the clock of this instance
    :param wall_s: seconds since the Unix epoch
    """
    state, dropped = _drop_expired_ownership(state, now_s)
    inputs_before = _ownership_inputs(state, now_s)
    state, applied = _apply(state, now_s, wall_s, event)
    effects = [*dropped, *applied]
    changed = _ownership_inputs(state, now_s) != inputs_before
    if (
        changed
        or now_s - state.reconciled_s >= RECONCILE_INTERVAL_S
        or isinstance(event, core_events.CatalogInForce)
    ):
        state, reconciled = _reconcile(state, now_s)
        effects = [*effects, *reconciled]
    return state, effects


def _apply(
    state: core_state.CoreState, now_s: float, wall_s: float, event: core_events.Event
) -> core_state.Step:
    match event:
        case core_events.Received():
            return _receive(state, now_s, wall_s, event)
        case core_events.Ticked():
            return _tick(state, now_s)
        case core_events.ViewArrived():
            membership = ownership.adopt_view(state.membership, now_s, event.view)
            if event.view.revision == membership.view.revision and event.asked_s is not None:
                membership = ownership.confirm_view(membership, event.asked_s)
            return (
                pool_owner.refresh_upstreams(dataclasses.replace(state, membership=membership)),
                [],
            )
        case core_events.PeerHeard():
            return _record_exchange(state, event.asked_s, now_s, event.heartbeat), []
        case core_events.PeerRefused():
            after = ownership.record_refused_connection(
                state.membership, event.instance, event.asked_s
            )
            return dataclasses.replace(state, membership=after), []
        case core_events.CatalogInForce():
            return _with_catalog(state, event), []
        case core_events.LeaseTaken():
            held = {**state.held_lease_by_id, event.lease.lease_id: event.lease}
            return dataclasses.replace(state, held_lease_by_id=held), []
        case core_events.LeaseDropped():
            kept = dict(state.held_lease_by_id)
            kept.pop(event.lease_id, None)
            return dataclasses.replace(state, held_lease_by_id=kept), []
        case core_events.RunFinished():
            return idempotency_owner.finish_run(state, event)
        case core_events.DrainStarted():
            return _start_leaving(state)
        case core_events.HandoverDue():
            return _hand_over(state, now_s)
        case _:
            return state, []


def _receive(
    state: core_state.CoreState, now_s: float, wall_s: float, event: core_events.Received
) -> core_state.Step:
    message = event.message
    match message:
        case messages.ReserveTokens():
            return budget_owner.reserve(state, now_s, message, event.reply_to)
        case messages.SettleTokens():
            return budget_owner.settle(state, now_s, message), []
        case messages.TransferTokens():
            return budget_owner.deposit(state, now_s, message), []
        case messages.PullTokens():
            return budget_owner.drain_standing_share(state, now_s, message)
        case messages.AcquireSlot():
            return pool_owner.acquire(state, now_s, message, event.reply_to)
        case messages.FinishPrefill():
            return pool_owner.finish_prefill(state, now_s, message)
        case messages.ReleaseSlot():
            return pool_owner.release(state, now_s, message)
        case messages.RunOnce():
            return idempotency_owner.run_once(state, now_s, wall_s, message, event.reply_to)
        case messages.HandOverKeys():
            return idempotency_owner.accept_handover(state, now_s, message), []
        case messages.AddStrike():
            after = strikes.add(state.strikes, now_s, message.fingerprint, message.strike_id)
            return dataclasses.replace(state, strikes=after), core_state.reply(
                event.reply_to, messages.Accepted()
            )
        case messages.Heartbeat():
            membership = ownership.record_heartbeat(state.membership, message)
            state = pool_owner.renew_leases(
                dataclasses.replace(state, membership=membership), now_s, message
            )
            return state, core_state.reply(
                event.reply_to, build_heartbeat(state, now_s, message.failure_domain)
            )
        case _:
            return state, []


def build_heartbeat(
    state: core_state.CoreState, now_s: float, receiver_domain: str
) -> messages.Heartbeat:
    """Return the heartbeat of this instance to one in the given failure domain."""
    membership = state.membership
    return messages.Heartbeat(
        membership.instance,
        membership.incarnation,
        membership.failure_domain,
        membership.view.revision,
        state.config_revision,
        ownership.platform_age_s(membership, now_s),
        membership.leaving,
        tuple(
            each
            for each in state.held_lease_by_id.values()
            if each.failure_domain == receiver_domain
        ),
        pool_owner.pool_loads(state, now_s),
    )


def _ownership_inputs(state: core_state.CoreState, now_s: float) -> tuple[object, ...]:
    membership = state.membership
    stopped = tuple(
        key for key in membership.peer_by_instance if ownership.is_stopped(membership, now_s, key)
    )
    leaving = tuple(key for key, each in membership.peer_by_instance.items() if each.leaving)
    return membership.view.revision, stopped, leaving, membership.leaving


def _drop_expired_ownership(state: core_state.CoreState, now_s: float) -> core_state.Step:
    """Drop all resources whose lease has expired; another instance may own them by now."""
    membership = state.membership
    if membership.leaving or ownership.has_lease(membership, now_s, fleet_wide=True):
        return state, []
    kept = budgets.drop_pooled(state.budgets)
    state = dataclasses.replace(state, budgets=kept, tenure_by_partition={})
    if ownership.has_lease(membership, now_s):
        return state, []
    return pool_owner.stop_scheduling(dataclasses.replace(state, budgets=budgets.EMPTY))


def _reconcile(state: core_state.CoreState, now_s: float) -> core_state.Step:
    """Drop resources that this instance no longer owns and take up those it owns now."""
    if state.membership.leaving:
        return dataclasses.replace(state, reconciled_s=now_s), []
    state = budget_owner.reconcile(dataclasses.replace(state, reconciled_s=now_s), now_s)
    state = idempotency_owner.reconcile(state, now_s)
    return pool_owner.reconcile(state, now_s)


def _with_catalog(
    state: core_state.CoreState, event: core_events.CatalogInForce
) -> core_state.CoreState:
    if event.revision <= state.config_revision:
        return state
    return dataclasses.replace(
        state,
        catalog=event.catalog,
        config_revision=event.revision,
        budget_split=event.catalog.budget_split,
    )


def _record_exchange(
    state: core_state.CoreState, asked_s: float, now_s: float, heartbeat: messages.Heartbeat
) -> core_state.CoreState:
    after = ownership.record_exchange(state.membership, asked_s, heartbeat)
    return pool_owner.reconcile_leases(
        dataclasses.replace(state, membership=after), asked_s, now_s, heartbeat
    )


def _tick(state: core_state.CoreState, now_s: float) -> core_state.Step:
    state, answered = pool_owner.tick(state, now_s)
    transfers: list[core_events.Effect] = []
    if not state.membership.leaving:
        state, transfers = budget_owner.move_surplus(state, now_s)
    return idempotency_owner.expire(state, now_s), [*answered, *transfers]


def _start_leaving(state: core_state.CoreState) -> core_state.Step:
    """Stop acting as owner and answer the queued requests that this instance is not the owner."""
    after = ownership.start_leaving(state.membership)
    return pool_owner.stop_scheduling(dataclasses.replace(state, membership=after))


def _hand_over(state: core_state.CoreState, now_s: float) -> core_state.Step:
    """Send balances and idempotency records of owned resources to their next owners."""
    state, transfers = budget_owner.hand_over(state, now_s)
    state, records = idempotency_owner.hand_over(state, now_s)
    return state, [*transfers, *records]
