"""Idempotency keys: how they are issued, who may run them and what is recorded.

A key that an instance issued names the instance and the incarnation that may run it; no other
process runs it. A caller's own key is run by its owner, which is chosen by hash. The owner refuses
a key that an earlier owner may have run. It can exclude that if its tenure is longer than callers
retry, or if the key carries a time of creation that lies within its tenure.
"""

from __future__ import annotations

import dataclasses
import enum
import hashlib
import hmac
import uuid
from collections.abc import Mapping

from carawaydoor.coordination import messages
from carawaydoor.interface import errors

ISSUED_PREFIX = "cd1"
MAX_KEY_CHARACTERS = 255
MAC_BYTES = 12
MAX_RECORDS = 4096
TIMESTAMP_UUID_VERSION = 7


@dataclasses.dataclass(frozen=True, slots=True)
class IssuedKey:
    """The parts of a key that an instance issued.

    :ivar nonce: time of issue and sequence number, see :func:`make_nonce`
    :ivar mac: message authentication code over the other parts and the workspace
    """

    instance: str
    incarnation: str
    nonce: str
    mac: str


@dataclasses.dataclass(frozen=True, slots=True)
class RetryWindow:
    """For how long a key may be sent again.

    :ivar retry_s: longest time in seconds between the first attempt and a retry
    :ivar skew_s: largest difference between two wall clocks in seconds
    """

    retry_s: float
    skew_s: float


class RunStage(enum.Enum):
    """State of the run of a request."""

    RUNNING = "running"
    ANSWERED = "answered"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """What the owner records about one key."""

    workspace: str
    operation: str
    stage: RunStage
    started_s: float
    answer: messages.RunOnceAnswered | None


@dataclasses.dataclass(frozen=True, slots=True)
class RecordTable:
    """The records of one partition by workspace and key, oldest first."""

    record_by_key: Mapping[tuple[str, str], Record]


EMPTY = RecordTable({})


class Action(enum.Enum):
    """What the owner does with a request."""

    RUN = "run"
    REPLAY = "replay"
    REFUSE = "refuse"


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """Action for one request.

    :ivar answer: stored answer to replay
    :ivar refusal: why the request is refused
    """

    action: Action
    answer: messages.RunOnceAnswered | None = None
    refusal: errors.Kind | None = None


def issue(instance: str, incarnation: str, nonce: str, workspace: str, secret: bytes) -> str:
    """Return a new key for one workspace that only this incarnation may run."""
    mac = _mac(instance, incarnation, nonce, workspace, secret)
    return ".".join((ISSUED_PREFIX, instance, incarnation, nonce, mac))


def parse_issued(key: str) -> IssuedKey | None:
    """Return the parts of an issued key, None if the key is a caller's own."""
    parts = key.split(".")
    if len(parts) != 5 or parts[0] != ISSUED_PREFIX:
        return None
    return IssuedKey(*parts[1:])


def make_nonce(now_s: float, sequence: int) -> str:
    """Return the nonce of the next issued key: its time of issue and a sequence number."""
    return f"{int(now_s):x}-{sequence:x}"


def issued_at_s(issued: IssuedKey) -> float:
    """Return when a genuine key was issued, in seconds on the clock of its issuer."""
    return float(int(issued.nonce.partition("-")[0], 16))


def is_genuine(issued: IssuedKey, workspace: str, secret: bytes) -> bool:
    """Return whether the key was signed with ``secret`` for the workspace."""
    mac = _mac(issued.instance, issued.incarnation, issued.nonce, workspace, secret)
    return hmac.compare_digest(mac, issued.mac)


def created_at_s(key: str) -> float | None:
    """Return the wall time of a version 7 UUID in seconds, None for any other key."""
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        return None
    if parsed.version != TIMESTAMP_UUID_VERSION:
        return None
    return (parsed.int >> 80) / 1000.0


def check_first_use(
    key: str, wall_s: float, tenure_s: float, window: RetryWindow
) -> errors.Kind | None:
    """Return why a caller's key is refused, None if no earlier owner can have run it.

    :param tenure_s: how long the partition has been owned without a gap, in seconds
    """
    created_s = created_at_s(key)
    if created_s is not None and created_s > wall_s + window.skew_s:
        return errors.Kind.IDEMPOTENCY_KEY_FROM_FUTURE
    if tenure_s >= window.retry_s:
        return None
    if created_s is None:
        return errors.Kind.IDEMPOTENCY_KEY_UNVERIFIABLE
    # An earlier owner accepted keys created up to the skew after its own time, and its clock may
    # be ahead of this one by the skew.
    if created_s - 2 * window.skew_s > wall_s - tenure_s:
        return None
    return errors.Kind.IDEMPOTENCY_KEY_UNVERIFIABLE


def look_up(state: RecordTable, workspace: str, key: str, operation: str) -> Decision | None:
    """Return the decision on a recorded key, None if the key has no record."""
    record = state.record_by_key.get((workspace, key))
    if record is None:
        return None
    if record.operation != operation:
        return Decision(Action.REFUSE, refusal=errors.Kind.IDEMPOTENCY_KEY_REUSED)
    if record.stage is RunStage.RUNNING:
        return Decision(Action.REFUSE, refusal=errors.Kind.IDEMPOTENCY_IN_PROGRESS)
    if record.stage is RunStage.UNKNOWN:
        return Decision(Action.REFUSE, refusal=errors.Kind.IDEMPOTENCY_OUTCOME_UNKNOWN)
    return Decision(Action.REPLAY, answer=record.answer)


def is_full(state: RecordTable) -> bool:
    """Return whether the table has no room for another record."""
    return len(state.record_by_key) >= MAX_RECORDS


def start(
    state: RecordTable, now_s: float, workspace: str, key: str, operation: str
) -> RecordTable:
    """Record that the request of a key is about to run."""
    record = Record(workspace, operation, RunStage.RUNNING, now_s, None)
    return RecordTable({**state.record_by_key, (workspace, key): record})


def finish(
    state: RecordTable, workspace: str, key: str, answer: messages.RunOnceAnswered | None
) -> RecordTable:
    """Record the answer of a key, or that its outcome is unknown."""
    record = state.record_by_key.get((workspace, key))
    if record is None:
        return state
    stage = RunStage.UNKNOWN if answer is None else RunStage.ANSWERED
    done = dataclasses.replace(record, stage=stage, answer=answer)
    return RecordTable({**state.record_by_key, (workspace, key): done})


def cancel(state: RecordTable, workspace: str, key: str) -> RecordTable:
    """Remove the record of a request that was not sent, so that it may run later."""
    kept = dict(state.record_by_key)
    kept.pop((workspace, key), None)
    return RecordTable(kept)


def expire(state: RecordTable, now_s: float, keep_s: float) -> RecordTable:
    """Remove records older than ``keep_s`` seconds, unless their request is still running."""
    horizon_s = now_s - keep_s
    if all(each.started_s > horizon_s for each in state.record_by_key.values()):
        return state
    kept = {
        key: each
        for key, each in state.record_by_key.items()
        if each.started_s > horizon_s or each.stage is RunStage.RUNNING
    }
    return RecordTable(kept)


def has_no_running_record(state: RecordTable) -> bool:
    """Return whether no recorded request is still running."""
    return all(each.stage is not RunStage.RUNNING for each in state.record_by_key.values())


def export_records(state: RecordTable, now_s: float) -> tuple[messages.KeyRecord, ...]:
    """Return the records as messages to hand over."""
    return tuple(
        messages.KeyRecord(
            workspace,
            key,
            record.operation,
            now_s - record.started_s,
            record.answer.status if record.answer else 0,
            record.answer.content_type if record.answer else "",
            record.answer.body if record.answer else b"",
        )
        for (workspace, key), record in state.record_by_key.items()
    )


def merge_records(
    state: RecordTable, now_s: float, records: tuple[messages.KeyRecord, ...]
) -> RecordTable:
    """Add records that an earlier owner handed over; existing records take precedence."""
    merged: dict[tuple[str, str], Record] = {}
    for each in records:
        answer = messages.RunOnceAnswered(each.status, each.content_type, each.body, True)
        merged[each.workspace, each.key] = Record(
            each.workspace,
            each.operation,
            RunStage.ANSWERED if each.status else RunStage.UNKNOWN,
            now_s - each.age_s,
            answer if each.status else None,
        )
    return RecordTable({**merged, **state.record_by_key})


def _mac(instance: str, incarnation: str, nonce: str, workspace: str, secret: bytes) -> str:
    text = "\x00".join((instance, incarnation, nonce, workspace)).encode()
    return hashlib.blake2b(text, key=secret, digest_size=MAC_BYTES).hexdigest()
