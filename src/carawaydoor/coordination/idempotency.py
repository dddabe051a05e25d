"""Idempotency keys: how they are issued, who may run them and what is remembered.

An issued key names the instance and the incarnation that may run it; only that process ever runs
it. A caller's own key belongs to a home that is chosen by hash. A home that can't exclude that
an earlier home has run the key refuses it: it vouches for a key only where the key was made, or
the home's tenure began, early enough.
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
    """The parts of a key that an instance issued."""

    instance: str
    incarnation: str
    nonce: str
    mac: str


@dataclasses.dataclass(frozen=True, slots=True)
class RetryWindow:
    """How long keys matter.

    :ivar retry_s: longest time in seconds after which callers repeat a request
    :ivar skew_s: largest difference between two wall clocks in seconds
    """

    retry_s: float
    skew_s: float


class RunStage(enum.Enum):
    """How far the request of a key has come."""

    RUNNING = "running"
    ANSWERED = "answered"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """What the home remembers of one key."""

    workspace: str
    operation: str
    stage: RunStage
    started_s: float
    answer: messages.RunOnceAnswered | None


@dataclasses.dataclass(frozen=True, slots=True)
class RecordTable:
    """The records of one home, oldest first."""

    record_by_key: Mapping[tuple[str, str], Record]


EMPTY = RecordTable({})


class Action(enum.Enum):
    """What the home does with a request."""

    RUN = "run"
    REPLAY = "replay"
    REFUSE = "refuse"


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """Verdict on one request with what belongs to it."""

    action: Action
    answer: messages.RunOnceAnswered | None = None
    refusal: errors.Kind | None = None


def issue(instance: str, incarnation: str, nonce: str, workspace: str, secret: bytes) -> str:
    """Return a fresh key that only this incarnation may run, for one workspace."""
    mac = _mac(instance, incarnation, nonce, workspace, secret)
    return ".".join((ISSUED_PREFIX, instance, incarnation, nonce, mac))


def parse_issued(key: str) -> IssuedKey | None:
    """Return the parts of an issued key, None for a caller's own key."""
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
    """Return whether this incarnation issued the key to the workspace."""
    mac = _mac(issued.instance, issued.incarnation, issued.nonce, workspace, secret)
    return hmac.compare_digest(mac, issued.mac)


def created_at_s(key: str) -> float | None:
    """Return the wall time in seconds that a UUID of version 7 carries, else None."""
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
    """Return None where the home can exclude that an earlier home has run a caller's key.

    :param tenure_s: how long this instance has been the only home, in seconds
    """
    created_s = created_at_s(key)
    if created_s is not None and created_s > wall_s + window.skew_s:
        return errors.Kind.IDEMPOTENCY_KEY_FROM_FUTURE
    if tenure_s >= window.retry_s:
        return None
    if created_s is None:
        return errors.Kind.IDEMPOTENCY_KEY_UNVERIFIABLE
    if created_s - 2 * window.skew_s > wall_s - tenure_s:
        return None
    return errors.Kind.IDEMPOTENCY_KEY_UNVERIFIABLE


def look_up(state: RecordTable, workspace: str, key: str, operation: str) -> Decision | None:
    """Return the decision on a key that this home remembers, None for one it does not."""
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
    """Return whether the ledger has no room for another record."""
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
    """Record the answer of a key, or that its outcome is not known."""
    record = state.record_by_key.get((workspace, key))
    if record is None:
        return state
    stage = RunStage.UNKNOWN if answer is None else RunStage.ANSWERED
    done = dataclasses.replace(record, stage=stage, answer=answer)
    return RecordTable({**state.record_by_key, (workspace, key): done})


def cancel(state: RecordTable, workspace: str, key: str) -> RecordTable:
    """Remove the record of a request of which nothing was sent."""
    kept = dict(state.record_by_key)
    kept.pop((workspace, key), None)
    return RecordTable(kept)


def expire(state: RecordTable, now_s: float, keep_s: float) -> RecordTable:
    """Remove records older than ``keep_s`` seconds."""
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
    """Return whether no request of this ledger is still running."""
    return all(each.stage is not RunStage.RUNNING for each in state.record_by_key.values())


def export_records(state: RecordTable, now_s: float) -> tuple[messages.KeyRecord, ...]:
    """Return the records in the form in which they are handed over."""
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
    """Merge records that an earlier home handed over; those at hand stay as they are."""
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
