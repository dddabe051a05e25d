"""One request of a caller on its way through the filters."""

from __future__ import annotations

import contextlib
import dataclasses
import enum
import threading
from collections.abc import Callable, Iterator

from carawaydoor.interface import completion_request, errors, upstream_call
from carawaydoor.publishing import config_objects


class Cancellation(enum.Enum):
    """Why a request is broken off."""

    CALLER_GONE = "caller_gone"
    DEADLINE = "deadline"
    KEY_WITHDRAWN = "key_withdrawn"


@dataclasses.dataclass(frozen=True, slots=True)
class Inbound:
    """What a caller sent.

    :ivar is_gone: tells whether the caller has closed its connection
    """

    method: str
    path: str
    query: str
    authorization: str | None
    idempotency_key: str | None
    content_type: str
    body: bytes
    is_gone: Callable[[], bool]


class Cancel:
    """Breaks a request off, from any thread, at whatever stage it is."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._event = threading.Event()
        self._reason: Cancellation | None = None
        self._call: upstream_call.Call | None = None

    @property
    def reason(self) -> Cancellation | None:
        """Why the request was broken off, None while it was not."""
        return self._reason

    def set(self, reason: Cancellation) -> None:
        """Break the request off; only the first reason counts."""
        with self._lock:
            if self._reason is not None:
                return
            self._reason = reason
            call = self._call
        self._event.set()
        if call is not None:
            call.cancel()

    def wait(self, timeout_s: float) -> bool:
        """Wait until the request is broken off and return whether it was."""
        return self._event.wait(timeout_s)

    @contextlib.contextmanager
    def covers(self, call: upstream_call.Call) -> Iterator[upstream_call.Call]:
        """Break off and close the given call together with the request."""
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
    """A request with what the filters have found out about it.

    :ivar received_s: arrival in seconds
    :ivar deadline_s: latest time of its answer in seconds
    :ivar cleanup: frees what the request holds, on every way out
    :ivar tokens_used: tokens that count against the workspace's budget
    """

    id: str
    inbound: Inbound
    received_s: float
    deadline_s: float
    cancel: Cancel
    cleanup: contextlib.ExitStack
    route: config_objects.Route | None = None
    workspace: config_objects.Workspace | None = None
    key_digest: str = ""
    model: config_objects.Model | None = None
    completion: completion_request.Completion | None = None
    cost: completion_request.Cost | None = None
    fingerprint: str = ""
    tokens_used: int = 0

    @property
    def workspace_name(self) -> str:
        """Name of the workspace, empty on a route that is open to all."""
        return self.workspace.name if self.workspace else ""


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """The answer to a caller; ``chunks`` are sent as they come."""

    status: int
    headers: tuple[tuple[str, str], ...]
    chunks: Iterator[bytes]


def refusal_of(cancellation: Cancellation, ran: errors.Ran) -> errors.Refusal:
    """Return the refusal that tells why a request was broken off."""
    match cancellation:
        case Cancellation.DEADLINE:
            return errors.Refusal(
                errors.Kind.DEADLINE_EXCEEDED, "the deadline has passed", ran, 1.0
            )
        case Cancellation.KEY_WITHDRAWN:
            return errors.Refusal(errors.Kind.KEY_WITHDRAWN, "the key was withdrawn", ran)
        case Cancellation.CALLER_GONE:
            return errors.Refusal(errors.Kind.INTERNAL, "the caller has gone", ran)
