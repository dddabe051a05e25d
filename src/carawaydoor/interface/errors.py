"""Exceptions, and the refusals that callers receive.

A refusal has a kind, an HTTP status, and a statement on whether the request may have run.
"""

from __future__ import annotations

import dataclasses
import enum


class Ran(enum.Enum):
    """Whether a refused request may have run on an upstream."""

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class Kind(enum.Enum):
    """Kind of a refusal, part of the public interface."""

    MALFORMED_BODY = "malformed-body"
    INVALID_FIELD = "invalid-field"
    BODY_TOO_LARGE = "body-too-large"
    HEADERS_TOO_LARGE = "headers-too-large"
    PROMPT_TOO_LONG = "prompt-too-long"
    KEY_MISSING = "key-missing"
    KEY_MALFORMED = "key-malformed"
    KEY_UNKNOWN = "key-unknown"
    KEY_WITHDRAWN = "key-withdrawn"
    CONFIGURATION_TOO_OLD = "configuration-too-old"
    ROUTE_UNKNOWN = "route-unknown"
    ROUTE_FORBIDDEN = "route-forbidden"
    METHOD_NOT_ALLOWED = "method-not-allowed"
    MODEL_UNKNOWN = "model-unknown"
    RATE_EXCEEDED = "rate-exceeded"
    BURST_EXCEEDED = "burst-exceeded"
    BUDGET_UNAVAILABLE = "budget-unavailable"
    POOL_FULL = "pool-full"
    POOL_UNAVAILABLE = "pool-unavailable"
    INSTANCE_BUSY = "instance-busy"
    INSTANCE_LEAVING = "instance-leaving"
    REQUEST_SUSPENDED = "request-suspended"
    IDEMPOTENCY_KEY_MISSING = "idempotency-key-missing"
    IDEMPOTENCY_KEY_REUSED = "idempotency-key-reused"
    IDEMPOTENCY_KEY_FROM_FUTURE = "idempotency-key-from-future"
    IDEMPOTENCY_KEY_UNVERIFIABLE = "idempotency-key-unverifiable"
    IDEMPOTENCY_IN_PROGRESS = "idempotency-in-progress"
    IDEMPOTENCY_OWNER_UNREACHABLE = "idempotency-home-unreachable"
    IDEMPOTENCY_OUTCOME_UNKNOWN = "idempotency-outcome-unknown"
    UPSTREAM_UNREACHABLE = "upstream-unreachable"
    UPSTREAM_FAILED = "upstream-failed"
    UPSTREAM_ANSWER_INVALID = "upstream-answer-invalid"
    DEADLINE_EXCEEDED = "deadline-exceeded"
    NOT_CONFIGURED = "not-configured"
    INTERNAL = "internal"


STATUS_BY_KIND: dict[Kind, int] = {
    Kind.MALFORMED_BODY: 400,
    Kind.INVALID_FIELD: 400,
    Kind.BODY_TOO_LARGE: 413,
    Kind.HEADERS_TOO_LARGE: 431,
    Kind.PROMPT_TOO_LONG: 400,
    Kind.KEY_MISSING: 401,
    Kind.KEY_MALFORMED: 401,
    Kind.KEY_UNKNOWN: 401,
    Kind.KEY_WITHDRAWN: 401,
    Kind.CONFIGURATION_TOO_OLD: 503,
    Kind.ROUTE_UNKNOWN: 404,
    Kind.ROUTE_FORBIDDEN: 403,
    Kind.METHOD_NOT_ALLOWED: 405,
    Kind.MODEL_UNKNOWN: 404,
    Kind.RATE_EXCEEDED: 429,
    Kind.BURST_EXCEEDED: 413,
    Kind.BUDGET_UNAVAILABLE: 503,
    Kind.POOL_FULL: 503,
    Kind.POOL_UNAVAILABLE: 503,
    Kind.INSTANCE_BUSY: 503,
    Kind.INSTANCE_LEAVING: 503,
    Kind.REQUEST_SUSPENDED: 422,
    Kind.IDEMPOTENCY_KEY_MISSING: 400,
    Kind.IDEMPOTENCY_KEY_REUSED: 422,
    Kind.IDEMPOTENCY_KEY_FROM_FUTURE: 400,
    Kind.IDEMPOTENCY_KEY_UNVERIFIABLE: 409,
    Kind.IDEMPOTENCY_IN_PROGRESS: 409,
    Kind.IDEMPOTENCY_OWNER_UNREACHABLE: 503,
    Kind.IDEMPOTENCY_OUTCOME_UNKNOWN: 502,
    Kind.UPSTREAM_UNREACHABLE: 503,
    Kind.UPSTREAM_FAILED: 502,
    Kind.UPSTREAM_ANSWER_INVALID: 502,
    Kind.DEADLINE_EXCEEDED: 504,
    Kind.NOT_CONFIGURED: 503,
    Kind.INTERNAL: 500,
}


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """A refusal of one request.

    :ivar detail: explanation for the caller, without content of the request
    :ivar ran: whether an upstream may have run the request
    :ivar retry_after_s: seconds after which a retry may succeed, None if none will
    """

    kind: Kind
    detail: str
    ran: Ran = Ran.NOT_RUN
    retry_after_s: float | None = None

    @property
    def status(self) -> int:
        """HTTP status of this refusal."""
        return STATUS_BY_KIND[self.kind]


class CarawaydoorError(Exception):
    """Base class of the exceptions of this package."""


class RefusalError(CarawaydoorError):
    """Propagates a refusal out of nested calls."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(f"{refusal.kind.value}: {refusal.detail}")
        self.refusal = refusal


class UpstreamError(CarawaydoorError):
    """An upstream did not return a valid response."""


class UpstreamUnreachableError(UpstreamError):
    """The connection to the upstream could not be made; nothing was sent."""


class UpstreamBrokenError(UpstreamError):
    """The connection to the upstream was closed or reset before the response was complete."""


class UpstreamTimeoutError(UpstreamError):
    """The upstream did not respond in time."""


class UpstreamAnswerError(UpstreamError):
    """The response of the upstream violates the protocol."""

    def __init__(self, detail: str, status: int = 0) -> None:
        super().__init__(detail)
        self.status = status


class CallerGoneError(CarawaydoorError):
    """The caller closed its connection."""


class PeerError(CarawaydoorError):
    """A request to a peer instance failed."""


class PeerRefusedError(PeerError):
    """The peer's address refused the connection, as no process listens there."""


class PeerUnreachableError(PeerError):
    """The peer could not be reached or did not reply in time."""
