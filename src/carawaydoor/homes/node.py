"""Decision core of one instance: ``(state, now, event) -> (state, effects)``.

It leads each event to the part that it concerns and keeps track of what this instance is home of.
It knows no socket, thread or clock. The daemon, the property tests and the replay of traces run
this same code.
"""

from __future__ import annotations

import dataclasses

from carawaydoor.homes import budgethome, budgets, events, keyhome, messages, poolhome
from carawaydoor.homes import membership as memberships
from carawaydoor.homes import state as states
from carawaydoor.policy import strikes as strike_rules

SWEEP_S = 0.25


def step(state: states.Node, now_s: float, wall_s: float, event: events.Event) -> states.Step:
    """Apply one event.

    :param now_s: time in seconds on the clock of this instance
    :param wall_s: seconds since the Unix epoch
    """
    state, dropped = _drop_homes(state, now_s)
    evidence = _evidence(state, now_s)
    state, applied = _apply(state, now_s, wall_s, event)
    effects = [*dropped, *applied]
    changed = _evidence(state, now_s) != evidence
    if changed or now_s - state.swept_s >= SWEEP_S or isinstance(event, events.CatalogInForce):
        state, swept = _sweep(state, now_s)
        effects = [*effects, *swept]
    return state, effects


def _apply(state: states.Node, now_s: float, wall_s: float, event: events.Event) -> states.Step:
    match event:
        case events.Received():
            return _receive(state, now_s, wall_s, event)
        case events.Ticked():
            return _tick(state, now_s)
        case events.ViewArrived():
            membership = memberships.adopt(state.membership, now_s, event.view)
            if event.view.revision == membership.view.revision and event.asked_s is not None:
                membership = memberships.confirm(membership, event.asked_s)
            return poolhome.with_upstreams(dataclasses.replace(state, membership=membership)), []
        case events.PeerHeard():
            return _hear(state, event.asked_s, now_s, event.heartbeat), []
        case events.PeerRefused():
            after = memberships.refuse(state.membership, event.instance, event.asked_s)
            return dataclasses.replace(state, membership=after), []
        case events.CatalogInForce():
            return _with_catalog(state, event), []
        case events.LeaseTaken():
            held = {**state.held_by_lease, event.lease.lease_id: event.lease}
            return dataclasses.replace(state, held_by_lease=held), []
        case events.LeaseDropped():
            kept = dict(state.held_by_lease)
            kept.pop(event.lease_id, None)
            return dataclasses.replace(state, held_by_lease=kept), []
        case events.RunFinished():
            return keyhome.finish_run(state, event)
        case events.DrainStarted():
            return _leave(state)
        case events.HandoverDue():
            return _hand_over(state, now_s)
        case _:
            return state, []


def _receive(
    state: states.Node, now_s: float, wall_s: float, event: events.Received
) -> states.Step:
    message = event.message
    match message:
        case messages.ReserveTokens():
            return budgethome.reserve(state, now_s, message, event.reply_to)
        case messages.SettleTokens():
            return budgethome.settle(state, now_s, message), []
        case messages.TransferTokens():
            return budgethome.deposit(state, now_s, message), []
        case messages.PullTokens():
            return budgethome.give_up(state, now_s, message)
        case messages.AcquireSlot():
            return poolhome.acquire(state, now_s, message, event.reply_to)
        case messages.FinishPrefill():
            return poolhome.finish_prefill(state, now_s, message)
        case messages.ReleaseSlot():
            return poolhome.release(state, now_s, message)
        case messages.RunOnce():
            return keyhome.run_once(state, now_s, wall_s, message, event.reply_to)
        case messages.HandOverKeys():
            return keyhome.take_over(state, now_s, message), []
        case messages.AddStrike():
            after = strike_rules.add(state.strikes, now_s, message.fingerprint, message.strike_id)
            return dataclasses.replace(state, strikes=after), states.reply(
                event.reply_to, messages.Accepted()
            )
        case messages.Heartbeat():
            told = memberships.be_told(state.membership, message)
            state = poolhome.renew(dataclasses.replace(state, membership=told), now_s, message)
            return state, states.reply(
                event.reply_to, heartbeat(state, now_s, message.failure_domain)
            )
        case _:
            return state, []


def heartbeat(state: states.Node, now_s: float, receiver_domain: str) -> messages.Heartbeat:
    """Return the heartbeat of this instance to one in the given failure domain."""
    membership = state.membership
    return messages.Heartbeat(
        membership.instance,
        membership.incarnation,
        membership.failure_domain,
        membership.view.revision,
        state.config_revision,
        memberships.platform_age_s(membership, now_s),
        membership.leaving,
        tuple(
            each for each in state.held_by_lease.values() if each.failure_domain == receiver_domain
        ),
        poolhome.loads(state, now_s),
    )


def _evidence(state: states.Node, now_s: float) -> tuple[object, ...]:
    membership = state.membership
    stopped = tuple(
        key
        for key in membership.contact_by_instance
        if memberships.is_stopped(membership, now_s, key)
    )
    leaving = tuple(key for key, each in membership.contact_by_instance.items() if each.leaving)
    return membership.view.revision, stopped, leaving, membership.leaving


def _drop_homes(state: states.Node, now_s: float) -> states.Step:
    """Give up what this instance held before its lease lapsed; another may hold it by now."""
    membership = state.membership
    if membership.leaving or memberships.has_lease(membership, now_s, fleet_wide=True):
        return state, []
    kept = budgets.without_pooled(state.budgets)
    state = dataclasses.replace(state, budgets=kept, tenure_by_partition={})
    if memberships.has_lease(membership, now_s):
        return state, []
    return poolhome.drop(dataclasses.replace(state, budgets=budgets.EMPTY))


def _sweep(state: states.Node, now_s: float) -> states.Step:
    """Give up what this instance no longer holds and begin to hold what is now its own."""
    if state.membership.leaving:
        return dataclasses.replace(state, swept_s=now_s), []
    state = budgethome.sweep(dataclasses.replace(state, swept_s=now_s), now_s)
    state = keyhome.sweep(state, now_s)
    return poolhome.sweep(state, now_s)


def _with_catalog(state: states.Node, event: events.CatalogInForce) -> states.Node:
    if event.revision <= state.config_revision:
        return state
    return dataclasses.replace(
        state,
        catalog=event.catalog,
        config_revision=event.revision,
        shares=event.catalog.shares,
    )


def _hear(
    state: states.Node, asked_s: float, now_s: float, heard: messages.Heartbeat
) -> states.Node:
    after = memberships.hear(state.membership, asked_s, heard)
    return poolhome.report(dataclasses.replace(state, membership=after), asked_s, now_s, heard)


def _tick(state: states.Node, now_s: float) -> states.Step:
    state, answered = poolhome.tick(state, now_s)
    transfers: list[events.Effect] = []
    if not state.membership.leaving:
        state, transfers = budgethome.move_surplus(state, now_s)
    return keyhome.expire(state, now_s), [*answered, *transfers]


def _leave(state: states.Node) -> states.Step:
    """Stop acting as a home; what is queued here is sent on to the next home."""
    after = memberships.leave(state.membership)
    return poolhome.drop(dataclasses.replace(state, membership=after))


def _hand_over(state: states.Node, now_s: float) -> states.Step:
    """Send what this instance held as a home to the next ones."""
    state, transfers = budgethome.hand_over(state, now_s)
    state, records = keyhome.hand_over(state, now_s)
    return state, [*transfers, *records]
