"""Typed messages between instances and between the tasks of one instance."""

from __future__ import annotations

import dataclasses
import enum


class NotHomeReason(enum.IntEnum):
    """Why an instance does not act as the home of a resource."""

    OTHER_OWNER = 1
    LEASE_EXPIRED = 2
    TAKEOVER_PENDING = 3
    UNKNOWN_RESOURCE = 4


@dataclasses.dataclass(frozen=True, slots=True)
class Message:
    """Base of all messages."""


@dataclasses.dataclass(frozen=True, slots=True)
class ReserveTokens(Message):
    """Asks a home for tokens of a workspace.

    :ivar pooled: whether the pooled share is meant, not the standing share of the domain
    """

    grant_id: str
    workspace: str
    tokens: float
    returnable: float
    pooled: bool


@dataclasses.dataclass(frozen=True, slots=True)
class TokensGranted(Message):
    """Grants tokens, usable from ``start_in_s`` seconds after the answer.

    :ivar incarnation: incarnation of the home, to which the grant must be settled
    """

    start_in_s: float
    incarnation: str


@dataclasses.dataclass(frozen=True, slots=True)
class TokensRefused(Message):
    """Refuses tokens.

    :ivar retry_after_s: seconds until they would be granted; negative where they never fit
    """

    retry_after_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class SettleTokens(Message):
    """Closes a grant; ``unused`` tokens go back, a negative number is debited."""

    grant_id: str
    workspace: str
    unused: float
    pooled: bool
    incarnation: str


@dataclasses.dataclass(frozen=True, slots=True)
class TransferTokens(Message):
    """Moves tokens, already debited by the sender, to a share of a workspace."""

    workspace: str
    tokens: float
    owner: str


@dataclasses.dataclass(frozen=True, slots=True)
class PullTokens(Message):
    """Asks the home of a standing share to move what it holds to the pooled share."""

    workspace: str


@dataclasses.dataclass(frozen=True, slots=True)
class NotHome(Message):
    """Says that the receiver does not act as home of the resource."""

    reason: int
    view_revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class AcquireSlot(Message):
    """Asks the scheduler of a pool in a failure domain for a place to run.

    :ivar prompt_tokens: length of the prompt in tokens
    :ivar prefixes: digests of the prompt's leading pieces, shortest first
    :ivar max_wait_s: longest time in seconds that the request may be queued
    :ivar excluded: upstreams that must not be chosen
    :ivar holder: instance id of the asker
    """

    lease_id: str
    pool: str
    failure_domain: str
    workspace: str
    prompt_tokens: int
    prefixes: tuple[str, ...]
    max_wait_s: float
    excluded: tuple[str, ...]
    holder: str


@dataclasses.dataclass(frozen=True, slots=True)
class SlotGranted(Message):
    """Grants a decode slot and names the prefill upstream.

    :ivar queued_s: seconds that the request was queued
    """

    decode: str
    prefill: str
    queued_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class SlotRefused(Message):
    """Refuses a slot; it is worth another try after ``retry_after_s`` seconds."""

    retry_after_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class FinishPrefill(Message):
    """Frees the prefill place and the link share of a lease."""

    lease_id: str
    pool: str
    failure_domain: str


@dataclasses.dataclass(frozen=True, slots=True)
class ReleaseSlot(Message):
    """Frees everything that a lease holds, or removes it from the queue."""

    lease_id: str
    pool: str
    failure_domain: str
    upstream_failed: str


@dataclasses.dataclass(frozen=True, slots=True)
class HeldLease(Message):
    """One lease that an instance holds, as reported to the scheduler."""

    lease_id: str
    pool: str
    failure_domain: str
    workspace: str
    decode: str


@dataclasses.dataclass(frozen=True, slots=True)
class PoolLoad(Message):
    """Load of a scheduler that runs at the sender of a heartbeat."""

    pool: str
    free_slots: int
    queued: int


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat(Message):
    """State of an instance, exchanged in both directions.

    :ivar platform_age_s: age in seconds of the newest proof that the view is current
    :ivar leases: leases that the sender holds at the receiver
    """

    instance: str
    incarnation: str
    failure_domain: str
    view_revision: int
    config_revision: int
    platform_age_s: float
    leaving: bool
    leases: tuple[HeldLease, ...]
    loads: tuple[PoolLoad, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class RunOnce(Message):
    """Asks the home of an idempotency key to run a request at most once.

    :ivar operation: digest of method, path and body
    """

    key: str
    workspace: str
    service_name: str
    method: str
    path: str
    content_type: str
    body: bytes
    operation: str


@dataclasses.dataclass(frozen=True, slots=True)
class RunOnceAnswered(Message):
    """Carries the answer of the upstream, stored or fresh."""

    status: int
    content_type: str
    body: bytes
    replayed: bool


@dataclasses.dataclass(frozen=True, slots=True)
class RunOnceRefused(Message):
    """Says why a request was not run or what is not known.

    :ivar kind: value of :class:`carawaydoor.errors.Kind`
    """

    kind: str


@dataclasses.dataclass(frozen=True, slots=True)
class KeyRecord(Message):
    """One idempotency record as handed over; an empty status means an unknown outcome.

    :ivar age_s: age of the record in seconds
    """

    workspace: str
    key: str
    operation: str
    age_s: float
    status: int
    content_type: str
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class HandOverKeys(Message):
    """Hands a partition of idempotency keys to its next home."""

    instance: str
    partition: str
    tenure_s: float
    records: tuple[KeyRecord, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class AddStrike(Message):
    """Tells that an upstream failed while it ran a request."""

    fingerprint: str
    strike_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted(Message):
    """Acknowledges a message that needs no other answer."""


@dataclasses.dataclass(frozen=True, slots=True)
class FetchRevision(Message):
    """Asks a peer for its configuration, less the parts already at hand."""

    known_digests: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class RevisionPart(Message):
    """One part of a configuration revision."""

    digest: str
    content: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class RevisionFetched(Message):
    """A peer's manifest and the parts that were asked for; empty where it has none."""

    manifest: bytes
    parts: tuple[RevisionPart, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class FetchView(Message):
    """Asks a peer for its view of instances and upstreams."""


@dataclasses.dataclass(frozen=True, slots=True)
class ViewFetched(Message):
    """A peer's view as published; empty where it has none."""

    content: bytes
