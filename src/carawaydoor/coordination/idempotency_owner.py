"""Runs requests at most once as owner of their idempotency keys."""

from __future__ import annotations

import dataclasses

from carawaydoor.coordination import (
    core_events,
    core_state,
    idempotency,
    messages,
    ownership,
)
from carawaydoor.interface import errors
from carawaydoor.policy import rendezvous

PARTITION_COUNT = 64
MAX_ISSUED_KEY_AGE_S = 900.0
RECORD_RETENTION_S = 3600.0
MAX_CLOCK_SKEW_S = 0.5
MAX_HANDOVER_DELAY_S = 2.0
ISSUED_PARTITION = "issued"


def key_partition(key: str) -> str:
    """Return the partition of a caller's own idempotency key."""
    return f"{rendezvous.weight('key', key) % PARTITION_COUNT:02d}"


def key_resource(partition: str) -> ownership.Resource:
    """Return the resource of a partition of idempotency keys."""
    return ownership.Resource(f"keys/{partition}")


def reconcile(state: core_state.CoreState, now_s: float) -> core_state.CoreState:
    """Drop the partitions that this instance no longer owns and take up those it owns now."""
    tenures: dict[str, core_state.Tenure] = {}
    for number in range(PARTITION_COUNT):
        partition = f"{number:02d}"
        if not core_state.owns(state, now_s, key_resource(partition)):
            continue
        tenures[partition] = state.tenure_by_partition.get(
            partition, core_state.Tenure(now_s, now_s)
        )
    return dataclasses.replace(state, tenure_by_partition=tenures)


def run_once(
    state: core_state.CoreState,
    now_s: float,
    wall_s: float,
    request: messages.RunOnce,
    reply_to: int | None,
) -> core_state.Step:
    """Run a request, replay its answer or refuse it."""
    issued = idempotency.parse_issued(request.key)
    partition = ISSUED_PARTITION if issued else key_partition(request.key)
    if issued is None:
        reason = ownership.reason_not_owner(state.membership, now_s, key_resource(partition))
        if reason is not None or partition not in state.tenure_by_partition:
            reason = reason or messages.NotHomeReason.UNKNOWN_RESOURCE
            return state, core_state.reply_not_owner(state, reason, reply_to)
    table = state.record_table_by_partition.get(partition, idempotency.EMPTY)
    known = idempotency.look_up(table, request.workspace, request.key, request.operation)
    if known is not None and known.action is idempotency.Action.REPLAY and known.answer:
        return state, core_state.reply(reply_to, dataclasses.replace(known.answer, replayed=True))
    if known is not None and known.refusal is not None:
        return state, core_state.reply(reply_to, messages.RunOnceRefused(known.refusal.value))
    refusal = _refusal_of_new_key(state, now_s, wall_s, request, issued, partition)
    if refusal is not None:
        return state, core_state.reply(reply_to, messages.RunOnceRefused(refusal.value))
    started = idempotency.start(table, now_s, request.workspace, request.key, request.operation)
    run = core_events.Run(request, partition, reply_to, now_s)
    return _with_table(state, partition, started), [run]


def _refusal_of_new_key(
    state: core_state.CoreState,
    now_s: float,
    wall_s: float,
    request: messages.RunOnce,
    issued: idempotency.IssuedKey | None,
    partition: str,
) -> errors.Kind | None:
    table = state.record_table_by_partition.get(partition, idempotency.EMPTY)
    if idempotency.is_full(table) or state.membership.leaving:
        return errors.Kind.INSTANCE_BUSY
    if issued is not None:
        if issued.incarnation != state.membership.incarnation:
            return errors.Kind.IDEMPOTENCY_OUTCOME_UNKNOWN
        if not idempotency.is_genuine(issued, request.workspace, state.secret):
            return errors.Kind.IDEMPOTENCY_KEY_UNVERIFIABLE
        if now_s - idempotency.issued_at_s(issued) > MAX_ISSUED_KEY_AGE_S:
            return errors.Kind.IDEMPOTENCY_KEY_UNVERIFIABLE
        return None
    tenure = state.tenure_by_partition[partition]
    service = state.catalog.service_by_name.get(request.service_name)
    if service is None:
        return errors.Kind.ROUTE_UNKNOWN
    window = idempotency.RetryWindow(service.retry_window_s, MAX_CLOCK_SKEW_S)
    return idempotency.check_first_use(request.key, wall_s, now_s - tenure.since_s, window)


def finish_run(state: core_state.CoreState, event: core_events.RunFinished) -> core_state.Step:
    """Record how a run ended and answer its caller."""
    run = event.run
    table = state.record_table_by_partition.get(run.partition, idempotency.EMPTY)
    workspace, key = run.message.workspace, run.message.key
    if event.answer is not None:
        after = idempotency.finish(table, workspace, key, event.answer)
        answer: messages.Message = event.answer
    elif event.not_sent is not None:
        after = idempotency.cancel(table, workspace, key)
        answer = messages.RunOnceRefused(event.not_sent.value)
    else:
        after = idempotency.finish(table, workspace, key, None)
        answer = messages.RunOnceRefused(errors.Kind.IDEMPOTENCY_OUTCOME_UNKNOWN.value)
    return _with_table(state, run.partition, after), core_state.reply(run.reply_to, answer)


def _with_table(
    state: core_state.CoreState, partition: str, table: idempotency.RecordTable
) -> core_state.CoreState:
    return dataclasses.replace(
        state, record_table_by_partition={**state.record_table_by_partition, partition: table}
    )


def accept_handover(
    state: core_state.CoreState, now_s: float, message: messages.HandOverKeys
) -> core_state.CoreState:
    """Take over the records and the tenure of a partition from an earlier owner.

    A handover that arrives more than ``MAX_HANDOVER_DELAY_S`` after this instance became the owner
    is ignored.
    """
    tenure = state.tenure_by_partition.get(message.partition)
    if tenure is None or now_s - tenure.acting_since_s > MAX_HANDOVER_DELAY_S:
        return state
    table = state.record_table_by_partition.get(message.partition, idempotency.EMPTY)
    merged = idempotency.merge_records(table, now_s, message.records)
    since_s = min(tenure.since_s, now_s - message.tenure_s)
    tenures = {
        **state.tenure_by_partition,
        message.partition: core_state.Tenure(since_s, tenure.acting_since_s),
    }
    state = dataclasses.replace(state, tenure_by_partition=tenures)
    return _with_table(state, message.partition, merged)


def expire(state: core_state.CoreState, now_s: float) -> core_state.CoreState:
    """Remove records that are older than any retry."""
    tables = {
        key: idempotency.expire(each, now_s, RECORD_RETENTION_S)
        for key, each in state.record_table_by_partition.items()
    }
    return dataclasses.replace(state, record_table_by_partition=tables)


def hand_over(state: core_state.CoreState, now_s: float) -> core_state.Step:
    """Send the records and the tenure of each partition to its next owner.

    A partition with a running request is not handed over, because the outcome is not known yet;
    its next owner starts a new tenure.
    """
    effects: list[core_events.Effect] = []
    for partition, tenure in state.tenure_by_partition.items():
        receiver = core_state.next_owner(state, now_s, key_resource(partition))
        table = state.record_table_by_partition.get(partition, idempotency.EMPTY)
        if receiver is not None and idempotency.has_no_running_record(table):
            records = idempotency.export_records(table, now_s)
            instance = state.membership.instance
            tenure_s = now_s - tenure.since_s
            handed = messages.HandOverKeys(instance, partition, tenure_s, records)
            effects.append(core_events.Send(receiver, handed))
    return dataclasses.replace(state, tenure_by_partition={}), effects
