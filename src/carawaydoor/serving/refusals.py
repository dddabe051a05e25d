"""Reasons for which the router itself refuses a request, with the HTTP status of each."""

from __future__ import annotations

import dataclasses
import enum
from typing import Final


class Reason(enum.Enum):
    """Why the router refused a request."""

    NOT_CONFIGURED = "not-configured"
    CONFIGURATION_STALE = "configuration-stale"
    CONFIGURATION_BEHIND = "configuration-behind"
    ROUTE_UNKNOWN = "route-unknown"
    KEY_MISSING = "key-missing"
    KEY_UNKNOWN = "key-unknown"
    MALFORMED = "malformed"
    CAP_EXCEEDED = "cap-exceeded"
    SUSPENDED = "suspended"
    NO_UPSTREAM = "no-upstream"
    CUT_OFF = "cut-off"
    NO_ROOM = "no-room"
    TOO_LATE = "too-late"
    INSTANCE_BUSY = "instance-busy"
    INSTANCE_LEAVING = "instance-leaving"
    STREAM_LOST = "stream-lost"
    UPSTREAMS_STALE = "upstreams-stale"
    UPSTREAM_FULL = "upstream-full"
    TURNED_AWAY = "turned-away"
    LIMITED = "upstream-limited"
    UPSTREAM_FAILED = "upstream-failed"
    UPSTREAM_SILENT = "upstream-silent"
    CALLER_GONE = "caller-gone"
    INTERNAL = "internal"
    EVACUATED = "evacuated"
    REGION_NOT_ALLOWED = "region-not-allowed"
    HEAD_TOO_LARGE = "head-too-large"
    BODY_TOO_LARGE = "body-too-large"
    NO_MEMORY = "no-memory"


class Status(enum.IntEnum):
    """HTTP statuses of refusals."""

    BAD_REQUEST = 400
    UNAUTHORIZED = 401
    NOT_FOUND = 404
    BODY_TOO_LARGE = 413
    TOO_MANY_REQUESTS = 429
    HEAD_TOO_LARGE = 431
    INTERNAL_ERROR = 500
    BAD_GATEWAY = 502
    UNAVAILABLE = 503
    GATEWAY_TIMEOUT = 504


# With 429 and 503 the router guarantees that the request has not run and never will.
_STATUS_BY_REASON: Final = {
    Reason.NOT_CONFIGURED: Status.UNAVAILABLE,
    Reason.CONFIGURATION_STALE: Status.UNAVAILABLE,
    Reason.CONFIGURATION_BEHIND: Status.UNAVAILABLE,
    Reason.ROUTE_UNKNOWN: Status.NOT_FOUND,
    Reason.KEY_MISSING: Status.UNAUTHORIZED,
    Reason.KEY_UNKNOWN: Status.UNAUTHORIZED,
    Reason.MALFORMED: Status.BAD_REQUEST,
    Reason.CAP_EXCEEDED: Status.TOO_MANY_REQUESTS,
    Reason.SUSPENDED: Status.UNAVAILABLE,
    Reason.NO_UPSTREAM: Status.UNAVAILABLE,
    Reason.CUT_OFF: Status.UNAVAILABLE,
    Reason.NO_ROOM: Status.UNAVAILABLE,
    Reason.TOO_LATE: Status.UNAVAILABLE,
    Reason.INSTANCE_BUSY: Status.UNAVAILABLE,
    Reason.INSTANCE_LEAVING: Status.UNAVAILABLE,
    Reason.STREAM_LOST: Status.UNAVAILABLE,
    Reason.UPSTREAMS_STALE: Status.UNAVAILABLE,
    Reason.UPSTREAM_FULL: Status.UNAVAILABLE,
    Reason.TURNED_AWAY: Status.UNAVAILABLE,
    Reason.LIMITED: Status.UNAVAILABLE,
    Reason.UPSTREAM_FAILED: Status.BAD_GATEWAY,
    Reason.UPSTREAM_SILENT: Status.GATEWAY_TIMEOUT,
    Reason.CALLER_GONE: Status.GATEWAY_TIMEOUT,
    Reason.INTERNAL: Status.INTERNAL_ERROR,
    Reason.EVACUATED: Status.UNAVAILABLE,
    Reason.REGION_NOT_ALLOWED: Status.UNAVAILABLE,
    Reason.HEAD_TOO_LARGE: Status.HEAD_TOO_LARGE,
    Reason.BODY_TOO_LARGE: Status.BODY_TOO_LARGE,
    Reason.NO_MEMORY: Status.UNAVAILABLE,
}


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """The router's refusal of a request.

    :ivar detail: explanation for the log, without content of the request
    :ivar retry_after_s: seconds after which the caller may retry, None if it should not
    """

    reason: Reason
    detail: str
    retry_after_s: float | None = None

    @property
    def did_not_run(self) -> bool:
        """Whether the status guarantees that the request has not run and never will."""
        return self.status in (Status.TOO_MANY_REQUESTS, Status.UNAVAILABLE)

    @property
    def status(self) -> Status:
        """HTTP status for the reason."""
        return _STATUS_BY_REASON[self.reason]
