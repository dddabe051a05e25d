"""One request on its way through the filters."""

from __future__ import annotations

import contextlib
import dataclasses
from collections.abc import Callable, Iterator

from carawaydoor.policy import entities

Headers = tuple[tuple[str, str], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class InboundRequest:
    """What a caller sent, decoded.

    :ivar target: path and query as they were sent
    :ivar headers: headers that go to the upstream unchanged
    :ivar patience_s: time in seconds that the caller waits, None where it did not say
    :ivar last_event_id: last event that the caller has of a stream to be resumed, else empty
    :ivar is_gone: tells whether the caller has closed its connection
    """

    id: str
    method: str
    target: str
    host: str
    headers: Headers
    body: bytes
    key: str | None
    timeout_s: float | None
    prompt: entities.Prompt | None
    last_event_id: str
    is_gone: Callable[[], bool]

    @property
    def path(self) -> str:
        """Path without the query."""
        return self.target.partition("?")[0]


@dataclasses.dataclass(slots=True)
class HttpExchange:
    """A request with what the filters have found out about it.

    :ivar received_s: arrival in seconds
    :ivar deadline_s: latest time of its answer in seconds
    :ivar cleanup: frees what the request holds, on every way out
    :ivar attempts: upstreams that the request was sent to
    :ivar admitted_tokens: what the request took from the cap of its workspace
    """

    inbound: InboundRequest
    received_s: float
    deadline_s: float
    cleanup: contextlib.ExitStack
    route: entities.Route | None = None
    workspace: entities.Workspace | None = None
    service: entities.Service | None = None
    fingerprint: str = ""
    revision: int = 0
    attempts: int = 0
    admitted_tokens: float = 0.0

    @property
    def workspace_name(self) -> str:
        """Name of the workspace, empty on a route that is open to all."""
        return self.workspace.name if self.workspace else ""


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """The answer to a caller; ``chunks`` are sent as they come.

    :ivar length: length of the body in bytes, None where it is not known in advance
    """

    status: int
    reason: str
    headers: Headers
    chunks: Iterator[bytes]
    length: int | None
    upstream: str = ""
