"""Decision core of one instance: ``(state, now, event) -> (state, effects)``.

It combines membership, budgets, schedulers, idempotency and strikes. It knows no socket, thread
or clock. The daemon, the property tests and the replay of traces run this same code.
"""

from __future__ import annotations

import dataclasses
import functools
from collections.abc import Mapping

from carawaydoor import budgets, errors, events, idempotency, messages, rendezvous
from carawaydoor import catalog as catalogs
from carawaydoor import membership as memberships
from carawaydoor import scheduler as schedulers
from carawaydoor import strikes as strike_rules
from carawaydoor import view as views

KEY_PARTITIONS = 64
SWEEP_S = 0.25
PULL_S = 0.25
RESERVE_WAIT_S = 0.5
ISSUED_KEY_LIFE_S = 900.0
RECORD_LIFE_S = 3600.0
WALL_SKEW_S = 0.5
HANDOVER_WINDOW_S = 2.0
ISSUED_PARTITION = "issued"

Step = tuple["Node", list[events.Effect]]


@dataclasses.dataclass(frozen=True, slots=True)
class Tenure:
    """Since when this instance has held a partition of idempotency keys.

    :ivar since_s: start of the tenure, including that of homes that handed over to this one
    :ivar acting_since_s: when this instance itself became home
    """

    since_s: float
    acting_since_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Node:
    """State of one instance.

    :ivar waiter_by_lease: where to answer a queued request for a slot
    :ivar pulled_s_by_workspace: when standing shares were last asked for what they hold
    :ivar held_by_lease: slots that this instance holds, at whichever scheduler
    """

    membership: memberships.Membership
    secret: bytes
    catalog: catalogs.Catalog
    config_revision: int = 0
    shares: budgets.Shares = dataclasses.field(default_factory=lambda: budgets.Shares({}, {}))
    budgets: budgets.Budgets = budgets.EMPTY
    scheduler_by_pool: Mapping[str, schedulers.Scheduler] = dataclasses.field(default_factory=dict)
    waiter_by_lease: Mapping[str, int] = dataclasses.field(default_factory=dict)
    held_by_lease: Mapping[str, messages.HeldLease] = dataclasses.field(default_factory=dict)
    tenure_by_partition: Mapping[str, Tenure] = dataclasses.field(default_factory=dict)
    ledger_by_partition: Mapping[str, idempotency.Ledger] = dataclasses.field(default_factory=dict)
    strikes: strike_rules.Strikes = strike_rules.EMPTY
    swept_s: float = 0.0
    pulled_s_by_workspace: Mapping[str, float] = dataclasses.field(default_factory=dict)


def create(
    membership: memberships.Membership, secret: bytes, catalog: catalogs.Catalog = catalogs.EMPTY
) -> Node:
    """Return the state of an instance that has just started."""
    return Node(membership, secret, catalog)


def key_partition(key: str) -> str:
    """Return the partition of a caller's own idempotency key."""
    return f"{rendezvous.weight('key', key) % KEY_PARTITIONS:02d}"


def key_resource(partition: str) -> memberships.Resource:
    """Return the resource of a partition of idempotency keys."""
    return memberships.Resource(f"keys/{partition}")


def pool_resource(pool: str, failure_domain: str) -> memberships.Resource:
    """Return the resource of the scheduler of a pool in a failure domain."""
    return memberships.Resource(f"pool/{pool}", failure_domain)


def step(state: Node, now_s: float, wall_s: float, event: events.Event) -> Step:
    """Apply one event.

    :param now_s: time in seconds on the clock of this instance
    :param wall_s: seconds since the Unix epoch
    """
    state = _drop_homes(state, now_s)
    evidence = _evidence(state, now_s)
    state, effects = _apply(state, now_s, wall_s, event)
    changed = _evidence(state, now_s) != evidence
    if changed or now_s - state.swept_s >= SWEEP_S or isinstance(event, events.CatalogInForce):
        state, swept = _sweep(state, now_s)
        effects = [*effects, *swept]
    return state, effects


def _apply(state: Node, now_s: float, wall_s: float, event: events.Event) -> Step:
    match event:
        case events.Received():
            return _receive(state, now_s, wall_s, event)
        case events.Ticked():
            return _tick(state, now_s)
        case events.ViewArrived():
            membership = memberships.adopt(state.membership, now_s, event.view)
            if event.view.revision == membership.view.revision and event.asked_s is not None:
                membership = memberships.confirm(membership, event.asked_s)
            return _with_upstreams(dataclasses.replace(state, membership=membership)), []
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
            return _finish_run(state, event)
        case events.DrainStarted():
            return _leave(state)
        case events.HandoverDue():
            return _hand_over(state, now_s)
        case _:
            return state, []


def _receive(state: Node, now_s: float, wall_s: float, event: events.Received) -> Step:
    message = event.message
    match message:
        case messages.ReserveTokens():
            return _reserve(state, now_s, message, event.reply_to)
        case messages.SettleTokens():
            return _settle(state, now_s, message), []
        case messages.TransferTokens():
            share = budgets.Share(message.workspace, message.owner)
            funded = budgets.deposit(state.budgets, now_s, share, message.tokens)
            return dataclasses.replace(state, budgets=funded), []
        case messages.PullTokens():
            return _give_up_tokens(state, now_s, message)
        case messages.AcquireSlot():
            return _acquire(state, now_s, message, event.reply_to)
        case messages.FinishPrefill():
            return _at_scheduler(
                state,
                message.pool,
                lambda each: schedulers.finish_prefill(each, now_s, message.lease_id),
            )
        case messages.ReleaseSlot():
            return _release(state, now_s, message)
        case messages.RunOnce():
            return _run_once(state, now_s, wall_s, message, event.reply_to)
        case messages.HandOverKeys():
            return _take_over_keys(state, now_s, message), []
        case messages.AddStrike():
            after = strike_rules.add(state.strikes, now_s, message.fingerprint, message.strike_id)
            return dataclasses.replace(state, strikes=after), _reply(
                event.reply_to, messages.Accepted()
            )
        case messages.Heartbeat():
            told = memberships.be_told(state.membership, message)
            state = _renew(dataclasses.replace(state, membership=told), now_s, message)
            return state, _reply(event.reply_to, heartbeat(state, now_s, message.failure_domain))
        case _:
            return state, []


def heartbeat(state: Node, now_s: float, receiver_domain: str) -> messages.Heartbeat:
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
        loads(state, now_s),
    )


def loads(state: Node, now_s: float) -> tuple[messages.PoolLoad, ...]:
    """Return the load of each pool whose scheduler runs here."""
    return tuple(
        messages.PoolLoad(pool, schedulers.free_slots(each, now_s), schedulers.queued(each))
        for pool, each in state.scheduler_by_pool.items()
    )


def _reply(reply_to: int | None, message: messages.Message) -> list[events.Effect]:
    return [] if reply_to is None else [events.Reply(reply_to, message)]


def _not_home(
    state: Node, reason: messages.NotHomeReason, reply_to: int | None
) -> list[events.Effect]:
    answer = messages.NotHome(int(reason), state.membership.view.revision)
    return _reply(reply_to, answer)


def _evidence(state: Node, now_s: float) -> tuple[object, ...]:
    membership = state.membership
    stopped = tuple(
        key
        for key in membership.contact_by_instance
        if memberships.is_stopped(membership, now_s, key)
    )
    leaving = tuple(key for key, each in membership.contact_by_instance.items() if each.leaving)
    return membership.view.revision, stopped, leaving, membership.leaving


def _drop_homes(state: Node, now_s: float) -> Node:
    """Give up what this instance held before its lease lapsed; another may hold it by now."""
    membership = state.membership
    if membership.leaving or memberships.has_lease(membership, now_s, fleet_wide=True):
        return state
    kept = budgets.without_pooled(state.budgets)
    state = dataclasses.replace(state, budgets=kept, tenure_by_partition={})
    if memberships.has_lease(membership, now_s):
        return state
    return dataclasses.replace(state, budgets=budgets.EMPTY, scheduler_by_pool={})


def _acts(state: Node, now_s: float, resource: memberships.Resource) -> bool:
    return memberships.acts_as_home(state.membership, now_s, resource) is None


def _sweep(state: Node, now_s: float) -> Step:
    """Give up what this instance no longer holds and begin to hold what is now its own."""
    if state.membership.leaving:
        return dataclasses.replace(state, swept_s=now_s), []
    kept = budgets.sweep(
        state.budgets,
        now_s,
        state.shares,
        state.membership.failure_domain,
        lambda resource: _acts(state, now_s, resource),
    )
    state = dataclasses.replace(state, budgets=kept, swept_s=now_s)
    state = _sweep_partitions(state, now_s)
    return _sweep_schedulers(state, now_s)


def _sweep_partitions(state: Node, now_s: float) -> Node:
    tenures: dict[str, Tenure] = {}
    for number in range(KEY_PARTITIONS):
        partition = f"{number:02d}"
        if not _acts(state, now_s, key_resource(partition)):
            continue
        tenures[partition] = state.tenure_by_partition.get(partition, Tenure(now_s, now_s))
    return dataclasses.replace(state, tenure_by_partition=tenures)


def _sweep_schedulers(state: Node, now_s: float) -> Step:
    running: dict[str, schedulers.Scheduler] = {}
    effects: list[events.Effect] = []
    for pool in state.catalog.pool_by_name:
        if not _acts(state, now_s, pool_resource(pool, state.membership.failure_domain)):
            continue
        current = state.scheduler_by_pool.get(pool)
        running[pool] = current or _new_scheduler(state, now_s, pool)
    lost = [each for pool, each in state.scheduler_by_pool.items() if pool not in running]
    waiters = dict(state.waiter_by_lease)
    for scheduler in lost:
        for lease_id in scheduler.asked_by_lease:
            waiter = waiters.pop(lease_id, None)
            effects.extend(_not_home(state, messages.NotHomeReason.OTHER_HOME, waiter))
    state = dataclasses.replace(state, scheduler_by_pool=running, waiter_by_lease=waiters)
    return state, effects


def _new_scheduler(state: Node, now_s: float, pool: str) -> schedulers.Scheduler:
    declared = state.catalog.pool_by_name[pool]
    model = state.catalog.model_by_name[declared.model]
    plan = schedulers.Plan(
        pool,
        state.membership.failure_domain,
        model.prefill_tokens_per_s,
        declared.max_queue,
    )
    return schedulers.create(plan, now_s, _pool_upstreams(state, pool))


def _pool_upstreams(state: Node, pool: str) -> list[views.Upstream]:
    """Return the upstreams that this domain's scheduler of a pool may use.

    A domain that has decode upstreams but no prefill upstream of its own uses those of the other
    domains, with an equal part of their places.
    """
    domain = state.membership.failure_domain
    group = [each for each in state.membership.view.upstream_by_id.values() if each.group == pool]
    own = [each for each in group if each.failure_domain == domain]
    if any(each.role is views.Role.PREFILL for each in own):
        return own
    domains = {each.failure_domain for each in group if each.role is views.Role.DECODE}
    shared = [
        dataclasses.replace(each, slots=max(1, each.slots // max(1, len(domains))))
        for each in group
        if each.role is views.Role.PREFILL
    ]
    return [*own, *shared]


def _with_upstreams(state: Node) -> Node:
    refreshed = {
        pool: schedulers.with_upstreams(each, _pool_upstreams(state, pool))
        for pool, each in state.scheduler_by_pool.items()
    }
    return dataclasses.replace(state, scheduler_by_pool=refreshed)


def _with_catalog(state: Node, event: events.CatalogInForce) -> Node:
    if event.revision <= state.config_revision:
        return state
    return dataclasses.replace(
        state,
        catalog=event.catalog,
        config_revision=event.revision,
        shares=event.catalog.shares,
    )


def _hear(state: Node, asked_s: float, now_s: float, heard: messages.Heartbeat) -> Node:
    after = memberships.hear(state.membership, asked_s, heard)
    state = _renew(dataclasses.replace(state, membership=after), now_s, heard)
    reported = {
        pool: schedulers.drop_unreported(each, asked_s, heard.instance, heard.leases)
        for pool, each in state.scheduler_by_pool.items()
    }
    return dataclasses.replace(state, scheduler_by_pool=reported)


def _renew(state: Node, now_s: float, heard: messages.Heartbeat) -> Node:
    renewed = dict(state.scheduler_by_pool)
    for pool, scheduler in state.scheduler_by_pool.items():
        held = [each for each in heard.leases if each.pool == pool]
        renewed[pool] = schedulers.renew(scheduler, now_s, heard.instance, held)
    return dataclasses.replace(state, scheduler_by_pool=renewed)


def _tick(state: Node, now_s: float) -> Step:
    effects: list[events.Effect] = []
    stopped = frozenset(
        each
        for each in state.membership.contact_by_instance
        if memberships.is_stopped(state.membership, now_s, each)
    )
    for pool, scheduler in state.scheduler_by_pool.items():
        reported = _all_reported(state, now_s, scheduler.started_s)
        act = functools.partial(
            schedulers.tick, now_s=now_s, all_reported=reported, stopped=stopped
        )
        state, answered = _at_scheduler(state, pool, act)
        effects.extend(answered)
    if not state.membership.leaving:
        state, transfers = _move_surplus(state, now_s)
        effects.extend(transfers)
    ledgers = {
        key: idempotency.expire(each, now_s, RECORD_LIFE_S)
        for key, each in state.ledger_by_partition.items()
    }
    return dataclasses.replace(state, ledger_by_partition=ledgers), effects


def _move_surplus(state: Node, now_s: float) -> Step:
    """Send what the standing shares can't hold to the homes of the pooled shares."""
    after, transfers = budgets.withdraw_surplus(state.budgets, now_s)
    effects: list[events.Effect] = []
    for transfer in transfers:
        receiver = _pooled_home(state, now_s, transfer.workspace)
        if receiver is not None:
            effects.append(events.Send(receiver, transfer))
    return dataclasses.replace(state, budgets=after), effects


def _all_reported(state: Node, now_s: float, since_s: float) -> bool:
    membership = state.membership
    for instance in membership.view.instance_by_id:
        if instance == membership.instance:
            continue
        contact = membership.contact_by_instance.get(instance, memberships.Contact())
        heard = contact.heard_s is not None and contact.heard_s > since_s
        if not heard and not memberships.is_stopped(membership, now_s, instance):
            return False
    return True


def _pooled_home(state: Node, now_s: float, workspace: str) -> str | None:
    share = budgets.Share(workspace, budgets.POOLED)
    return next(memberships.reachable_candidates(state.membership, now_s, share.resource), None)


def _reserve(
    state: Node, now_s: float, asked: messages.ReserveTokens, reply_to: int | None
) -> Step:
    owner = budgets.POOLED if asked.pooled else state.membership.failure_domain
    share = budgets.Share(asked.workspace, owner)
    reason = memberships.acts_as_home(state.membership, now_s, share.resource)
    if reason is not None:
        return state, _not_home(state, reason, reply_to)
    if share not in state.budgets.bucket_by_share:
        return state, _not_home(state, messages.NotHomeReason.UNKNOWN_RESOURCE, reply_to)
    after, answer = budgets.reserve(
        state.budgets, now_s, share, asked, state.membership.incarnation, RESERVE_WAIT_S
    )
    state = dataclasses.replace(state, budgets=after)
    effects = _reply(reply_to, answer)
    if asked.pooled and budgets.is_low(state.budgets, share):
        state, pulls = _pull_tokens(state, now_s, asked.workspace)
        effects = [*effects, *pulls]
    return state, effects


def _pull_tokens(state: Node, now_s: float, workspace: str) -> Step:
    """Ask the homes of the standing shares to move what they hold to the pooled share."""
    if now_s - state.pulled_s_by_workspace.get(workspace, 0.0) < PULL_S:
        return state, []
    pulled = {**state.pulled_s_by_workspace, workspace: now_s}
    effects: list[events.Effect] = []
    for domain in state.shares.standing_by_domain:
        share = budgets.Share(workspace, domain)
        reachable = memberships.reachable_candidates(state.membership, now_s, share.resource)
        home = next(reachable, None)
        if home is not None:
            effects.append(events.Send(home, messages.PullTokens(workspace)))
    return dataclasses.replace(state, pulled_s_by_workspace=pulled), effects


def _give_up_tokens(state: Node, now_s: float, message: messages.PullTokens) -> Step:
    """Move what the standing share of this domain holds to the pooled share, debited first."""
    share = budgets.Share(message.workspace, state.membership.failure_domain)
    receiver = _pooled_home(state, now_s, message.workspace)
    if receiver is None or not _acts(state, now_s, share.resource):
        return state, []
    after, tokens = budgets.withdraw_all(state.budgets, now_s, share)
    if tokens < 1.0:
        return state, []
    transfer = messages.TransferTokens(message.workspace, tokens, budgets.POOLED)
    return dataclasses.replace(state, budgets=after), [events.Send(receiver, transfer)]


def _settle(state: Node, now_s: float, message: messages.SettleTokens) -> Node:
    if message.incarnation != state.membership.incarnation:
        return state
    owner = budgets.POOLED if message.pooled else state.membership.failure_domain
    share = budgets.Share(message.workspace, owner)
    after = budgets.settle(state.budgets, now_s, share, message.grant_id, message.unused)
    return dataclasses.replace(state, budgets=after)


def _acquire(state: Node, now_s: float, asked: messages.AcquireSlot, reply_to: int | None) -> Step:
    reason = memberships.acts_as_home(
        state.membership, now_s, pool_resource(asked.pool, asked.failure_domain)
    )
    if reason is not None:
        return state, _not_home(state, reason, reply_to)
    if asked.pool not in state.scheduler_by_pool:
        return state, _not_home(state, messages.NotHomeReason.UNKNOWN_RESOURCE, reply_to)
    if reply_to is not None:
        waiters = {**state.waiter_by_lease, asked.lease_id: reply_to}
        state = dataclasses.replace(state, waiter_by_lease=waiters)
    limit = state.shares.limit_by_workspace.get(asked.workspace)
    weight = 1.0 if limit is None else limit.rate_per_s
    return _at_scheduler(
        state, asked.pool, lambda each: schedulers.acquire(each, now_s, asked, weight)
    )


def _release(state: Node, now_s: float, message: messages.ReleaseSlot) -> Step:
    waiters = {key: each for key, each in state.waiter_by_lease.items() if key != message.lease_id}
    state = dataclasses.replace(state, waiter_by_lease=waiters)
    return _at_scheduler(
        state,
        message.pool,
        lambda each: schedulers.release(each, now_s, message.lease_id, message.upstream_failed),
    )


def _at_scheduler(state: Node, pool: str, act: events.SchedulerAct) -> Step:
    scheduler = state.scheduler_by_pool.get(pool)
    if scheduler is None:
        return state, []
    after, answers = act(scheduler)
    waiters = dict(state.waiter_by_lease)
    effects: list[events.Effect] = []
    for answer in answers:
        effects.extend(_reply(waiters.pop(answer.lease_id, None), answer.message))
    state = dataclasses.replace(
        state,
        scheduler_by_pool={**state.scheduler_by_pool, pool: after},
        waiter_by_lease=waiters,
    )
    return state, effects


def _run_once(
    state: Node, now_s: float, wall_s: float, asked: messages.RunOnce, reply_to: int | None
) -> Step:
    issued = idempotency.parse_issued(asked.key)
    partition = ISSUED_PARTITION if issued else key_partition(asked.key)
    if issued is None:
        reason = memberships.acts_as_home(state.membership, now_s, key_resource(partition))
        if reason is not None or partition not in state.tenure_by_partition:
            reason = reason or messages.NotHomeReason.UNKNOWN_RESOURCE
            return state, _not_home(state, reason, reply_to)
    ledger = state.ledger_by_partition.get(partition, idempotency.EMPTY)
    known = idempotency.look_up(ledger, asked.workspace, asked.key, asked.operation)
    if known is not None and known.verdict is idempotency.Verdict.REPLAY and known.answer:
        return state, _reply(reply_to, dataclasses.replace(known.answer, replayed=True))
    if known is not None and known.refusal is not None:
        return state, _reply(reply_to, messages.RunOnceRefused(known.refusal.value))
    refusal = _refusal_of_new_key(state, now_s, wall_s, asked, issued, partition)
    if refusal is not None:
        return state, _reply(reply_to, messages.RunOnceRefused(refusal.value))
    started = idempotency.start(ledger, now_s, asked.workspace, asked.key, asked.operation)
    run = events.Run(asked, partition, reply_to, now_s)
    return _with_ledger(state, partition, started), [run]


def _refusal_of_new_key(
    state: Node,
    now_s: float,
    wall_s: float,
    asked: messages.RunOnce,
    issued: idempotency.IssuedKey | None,
    partition: str,
) -> errors.Kind | None:
    ledger = state.ledger_by_partition.get(partition, idempotency.EMPTY)
    if idempotency.is_full(ledger) or state.membership.leaving:
        return errors.Kind.INSTANCE_BUSY
    if issued is not None:
        if issued.incarnation != state.membership.incarnation:
            return errors.Kind.IDEMPOTENCY_OUTCOME_UNKNOWN
        if not idempotency.is_genuine(issued, asked.workspace, state.secret):
            return errors.Kind.IDEMPOTENCY_KEY_UNVERIFIABLE
        if now_s - idempotency.issued_at_s(issued) > ISSUED_KEY_LIFE_S:
            return errors.Kind.IDEMPOTENCY_KEY_UNVERIFIABLE
        return None
    tenure = state.tenure_by_partition[partition]
    service = state.catalog.service_by_name.get(asked.service_name)
    if service is None:
        return errors.Kind.ROUTE_UNKNOWN
    window = idempotency.Window(service.retry_window_s, WALL_SKEW_S)
    return idempotency.vouches(asked.key, wall_s, now_s - tenure.since_s, window)


def _finish_run(state: Node, event: events.RunFinished) -> Step:
    run = event.run
    ledger = state.ledger_by_partition.get(run.partition, idempotency.EMPTY)
    workspace, key = run.message.workspace, run.message.key
    if event.answer is not None:
        after = idempotency.finish(ledger, workspace, key, event.answer)
        answer: messages.Message = event.answer
    elif event.not_sent is not None:
        after = idempotency.cancel(ledger, workspace, key)
        answer = messages.RunOnceRefused(event.not_sent.value)
    else:
        after = idempotency.finish(ledger, workspace, key, None)
        answer = messages.RunOnceRefused(errors.Kind.IDEMPOTENCY_OUTCOME_UNKNOWN.value)
    return _with_ledger(state, run.partition, after), _reply(run.reply_to, answer)


def _with_ledger(state: Node, partition: str, ledger: idempotency.Ledger) -> Node:
    return dataclasses.replace(
        state, ledger_by_partition={**state.ledger_by_partition, partition: ledger}
    )


def _leave(state: Node) -> Step:
    """Stop acting as a home; what is queued here is sent on to the next home."""
    effects: list[events.Effect] = []
    for waiter in state.waiter_by_lease.values():
        effects.extend(_not_home(state, messages.NotHomeReason.OTHER_HOME, waiter))
    after = memberships.leave(state.membership)
    state = dataclasses.replace(state, membership=after, scheduler_by_pool={}, waiter_by_lease={})
    return state, effects


def _hand_over(state: Node, now_s: float) -> Step:
    """Send the balances and the idempotency records to the next homes; debited before."""
    effects: list[events.Effect] = []
    membership = state.membership
    for share, bucket in state.budgets.bucket_by_share.items():
        tokens = max(0.0, bucket.level)
        receiver = _next_home(state, now_s, share.resource)
        if receiver is not None and tokens >= 1.0:
            transfer = messages.TransferTokens(share.workspace, tokens, share.owner)
            effects.append(events.Send(receiver, transfer))
    for partition, tenure in state.tenure_by_partition.items():
        receiver = _next_home(state, now_s, key_resource(partition))
        ledger = state.ledger_by_partition.get(partition, idempotency.EMPTY)
        if receiver is not None and idempotency.is_settled(ledger):
            records = idempotency.export(ledger, now_s)
            handed = messages.HandOverKeys(
                membership.instance, partition, now_s - tenure.since_s, records
            )
            effects.append(events.Send(receiver, handed))
    state = dataclasses.replace(
        state, budgets=budgets.EMPTY, scheduler_by_pool={}, tenure_by_partition={}
    )
    return state, effects


def _next_home(state: Node, now_s: float, resource: memberships.Resource) -> str | None:
    membership = state.membership
    ranked = memberships.reachable_candidates(membership, now_s, resource)
    return next((each for each in ranked if each != membership.instance), None)


def _take_over_keys(state: Node, now_s: float, message: messages.HandOverKeys) -> Node:
    tenure = state.tenure_by_partition.get(message.partition)
    if tenure is None or now_s - tenure.acting_since_s > HANDOVER_WINDOW_S:
        return state
    ledger = state.ledger_by_partition.get(message.partition, idempotency.EMPTY)
    merged = idempotency.take_over(ledger, now_s, message.records)
    since_s = min(tenure.since_s, now_s - message.tenure_s)
    tenures = {
        **state.tenure_by_partition,
        message.partition: Tenure(since_s, tenure.acting_since_s),
    }
    state = dataclasses.replace(state, tenure_by_partition=tenures)
    return _with_ledger(state, message.partition, merged)
