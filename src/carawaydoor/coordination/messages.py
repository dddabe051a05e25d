"""Messages between instances and between the threads of one instance."""

from __future__ import annotations

import dataclasses
import enum


class NotHomeReason(enum.IntEnum):
    """Why an instance does not act as owner of a resource."""

    OTHER_OWNER = 1
    LEASE_EXPIRED = 2
    TAKEOVER_PENDING = 3
    UNKNOWN_RESOURCE = 4


@dataclasses.dataclass(frozen=True, slots=True)
class Message:
    """Base of all messages."""


@dataclasses.dataclass(frozen=True, slots=True)
class ReserveTokens(Message):
    """Asks the owner of a budget share to reserve tokens of a workspace.

    :ivar returnable: tokens that may come back unused
    :ivar pooled: whether the pooled share is meant, not the standing share of the domain
    """

    grant_id: str
    workspace: str
    tokens: float
    returnable: float
    pooled: bool


@dataclasses.dataclass(frozen=True, slots=True)
class TokensGranted(Message):
    """Grants tokens.

    :ivar start_in_s: seconds after this answer from which the tokens may be used
    :ivar incarnation: incarnation of the owner; only this incarnation can settle the grant
    """

    start_in_s: float
    incarnation: str


@dataclasses.dataclass(frozen=True, slots=True)
class TokensRefused(Message):
    """Refuses tokens.

    :ivar retry_after_s: seconds until they would be granted; negative if they exceed the burst
    """

    retry_after_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class SettleTokens(Message):
    """Closes a grant.

    :ivar unused: tokens to return; a negative number is debited
    """

    grant_id: str
    workspace: str
    unused: float
    pooled: bool
    incarnation: str


@dataclasses.dataclass(frozen=True, slots=True)
class TransferTokens(Message):
    """Moves tokens, already debited by the sender, to a share of a workspace.

    :ivar owner: scope of the receiving share, as in ``budgets.Share.scope``
    """

    workspace: str
    tokens: float
    owner: str


@dataclasses.dataclass(frozen=True, slots=True)
class PullTokens(Message):
    """Asks the owner of a standing share to move its tokens to the pooled share."""

    workspace: str


@dataclasses.dataclass(frozen=True, slots=True)
class NotHome(Message):
    """Says that the receiver does not act as owner of the resource.

    :ivar reason: value of :class:`NotHomeReason`
    """

    reason: int
    view_revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class AcquireSlot(Message):
    """Asks the scheduler of a pool in a failure domain for a slot.

    :ivar prompt_tokens: length of the prompt in tokens
    :ivar prefixes: digests of the prompt's leading blocks, shortest first
    :ivar max_wait_s: longest time in seconds that the request may be queued
    :ivar excluded: upstreams that must not be chosen
    :ivar holder: id of the instance that asks and will hold the lease
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
    """Refuses a slot.

    :ivar retry_after_s: seconds after which a retry may succeed
    """

    retry_after_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class FinishPrefill(Message):
    """Says that the prefill of a lease has ended, which frees its prefill slot."""

    lease_id: str
    pool: str
    failure_domain: str


@dataclasses.dataclass(frozen=True, slots=True)
class ReleaseSlot(Message):
    """Frees everything that a lease holds, or removes its request from the queue.

    :ivar upstream_failed: upstream that failed during the lease, empty if none did
    """

    lease_id: str
    pool: str
    failure_domain: str
    upstream_failed: str


@dataclasses.dataclass(frozen=True, slots=True)
class HeldLease(Message):
    """One lease that an instance holds, as it reports it in heartbeats."""

    lease_id: str
    pool: str
    failure_domain: str
    workspace: str
    decode: str


@dataclasses.dataclass(frozen=True, slots=True)
class PoolLoad(Message):
    """Load of a pool whose scheduler runs at the sender of a heartbeat."""

    pool: str
    free_slots: int
    queued: int


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat(Message):
    """State of an instance, exchanged in both directions.

    :ivar platform_age_s: age in seconds of the newest proof that the view is current
    :ivar leases: leases that the sender holds in the failure domain of the receiver
    :ivar loads: loads of the pools that the sender schedules
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
    """Asks the owner of an idempotency key to run a request at most once.

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
    """Carries the answer of the upstream.

    :ivar replayed: whether the answer was stored by an earlier run
    """

    status: int
    content_type: str
    body: bytes
    replayed: bool


@dataclasses.dataclass(frozen=True, slots=True)
class RunOnceRefused(Message):
    """Says why a request was not run, or that its outcome is unknown.

    :ivar kind: value of :class:`carawaydoor.interface.errors.Kind`
    """

    kind: str


@dataclasses.dataclass(frozen=True, slots=True)
class KeyRecord(Message):
    """One idempotency record that is handed over.

    :ivar age_s: age of the record in seconds
    :ivar status: status of the answer, 0 if the outcome is unknown
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
    """Hands a partition of idempotency keys over to its next owner.

    :ivar tenure_s: seconds for which the partition has been owned without a gap
    """

    instance: str
    partition: str
    tenure_s: float
    records: tuple[KeyRecord, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class AddStrike(Message):
    """Reports that an upstream failed while it ran a request.

    :ivar fingerprint: digest that identifies the request
    :ivar strike_id: makes the report idempotent
    """

    fingerprint: str
    strike_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted(Message):
    """Acknowledges a message that needs no other answer."""


@dataclasses.dataclass(frozen=True, slots=True)
class FetchRevision(Message):
    """Asks a peer for its configuration.

    :ivar known_digests: digests of the parts that the sender already has
    """

    known_digests: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class RevisionPart(Message):
    """One part of a configuration revision."""

    digest: str
    content: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class RevisionFetched(Message):
    """A peer's configuration manifest and the parts that the receiver lacks.

    :ivar manifest: empty if the peer has no configuration
    """

    manifest: bytes
    parts: tuple[RevisionPart, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class FetchView(Message):
    """Asks a peer for its view of instances and upstreams."""


@dataclasses.dataclass(frozen=True, slots=True)
class ViewFetched(Message):
    """A peer's view.

    :ivar content: the view as it was published, empty if the peer has none
    """

    content: bytes
