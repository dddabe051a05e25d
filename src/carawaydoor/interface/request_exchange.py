"""State of one request while the filters and the handler process it."""

from __future__ import annotations

import contextlib
import dataclasses
import enum
import threading
from collections.abc import Callable, Iterator

from carawaydoor.interface import completion_request, errors, upstream_call
from carawaydoor.publishing import config_objects


class CancelReason(enum.Enum):
    """Why a request is cancelled."""

    CALLER_GONE = "caller_gone"
    DEADLINE = "deadline"
    KEY_WITHDRAWN = "key_withdrawn"


@dataclasses.dataclass(frozen=True, slots=True)
class InboundRequest:
    """A request as the caller sent it.

    :ivar is_disconnected: returns whether the caller has closed its connection
    """

    method: str
    path: str
    query: str
    authorization: str | None
    idempotency_key: str | None
    content_type: str
    body: bytes
    is_disconnected: Callable[[], bool]


class CancelToken:
    """Cancels a request from any thread and at any stage."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._event = threading.Event()
        self._reason: CancelReason | None = None
        self._call: upstream_call.Call | None = None

    @property
    def reason(self) -> CancelReason | None:
        """Why the request was cancelled, None if it was not."""
        return self._reason

    def cancel(self, reason: CancelReason) -> None:
        """Cancel the request; after the first call, further calls have no effect."""
        with self._lock:
            if self._reason is not None:
                return
            self._reason = reason
            call = self._call
        self._event.set()
        if call is not None:
            call.cancel()

    def wait(self, timeout_s: float) -> bool:
        """Wait for cancellation or the timeout, and return whether the request is cancelled."""
        return self._event.wait(timeout_s)

    @contextlib.contextmanager
    def attach(self, call: upstream_call.Call) -> Iterator[upstream_call.Call]:
        """Cancel the call together with the request, and close the call when the context ends."""
        with self._lock:
            self._call = call
            cancelled = self._reason is not None
        try:
            if cancelled:
                call.cancel()
            yield call
        finally:
            with self._lock:
                self._call = None
            call.close()


@dataclasses.dataclass(slots=True)
class Exchange:
    """A request and what the filters have determined about it.

    :ivar received_s: time of arrival in seconds
    :ivar deadline_s: time in seconds at which the request is cancelled
    :ivar cleanup: releases what the request holds, however it ends
    :ivar tokens_used: tokens charged to the workspace's budget
    """

    id: str
    inbound: InboundRequest
    received_s: float
    deadline_s: float
    cancel_token: CancelToken
    cleanup: contextlib.ExitStack
    route: config_objects.Route | None = None
    workspace: config_objects.Workspace | None = None
    key_digest: str = ""
    model: config_objects.Model | None = None
    completion: completion_request.CompletionRequest | None = None
    cost: completion_request.Cost | None = None
    fingerprint: str = ""
    tokens_used: int = 0

    @property
    def workspace_name(self) -> str:
        """Name of the workspace, empty if the route needs no authentication."""
        return self.workspace.name if self.workspace else ""


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """The response to a caller; each chunk is sent as soon as it is available."""

    status: int
    headers: tuple[tuple[str, str], ...]
    chunks: Iterator[bytes]


def cancellation_refusal(reason: CancelReason, ran: errors.Ran) -> errors.Refusal:
    """Return the refusal for a cancelled request."""
    match reason:
        case CancelReason.DEADLINE:
            return errors.Refusal(
                errors.Kind.DEADLINE_EXCEEDED, "the deadline has passed", ran, 1.0
            )
        case CancelReason.KEY_WITHDRAWN:
            return errors.Refusal(errors.Kind.KEY_WITHDRAWN, "the API key was withdrawn", ran)
        case CancelReason.CALLER_GONE:
            return errors.Refusal(errors.Kind.INTERNAL, "the caller disconnected", ran)
