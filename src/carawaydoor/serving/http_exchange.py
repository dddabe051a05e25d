"""A request, its response, and the state that the filters attach to it."""

from __future__ import annotations

import contextlib
import dataclasses
from collections.abc import Callable, Iterator

from carawaydoor.policy import entities, stream_sequence, upstream_directory
from carawaydoor.serving import upstream_limiter

Headers = tuple[tuple[str, str], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class InboundRequest:
    """A decoded request of a caller.

    :ivar target: path and query as the caller sent them
    :ivar headers: headers that are forwarded unchanged
    :ivar timeout_s: time in seconds for which the caller waits, None if it did not say
    :ivar last_event_id: id of the last event that the caller says it received, empty for none
    :ivar resumes: id of the caller's attempt that brought the first event of that stream, empty if
        it names none
    :ivar attempts_elsewhere: attempts that other instances may have made or may make, if one of them
        has passed the request on
    :ivar configuration_position: position of the configuration by which another instance has judged the
        request before it passed it on, zero if it does not say
    :ivar is_gone: returns whether the caller has closed its connection
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
    resumes: str = ""
    attempts_elsewhere: int = 0
    configuration_position: int = 0

    @property
    def path(self) -> str:
        """Path without the query."""
        return self.target.partition("?")[0]

    @property
    def resumed_after(self) -> str:
        """Id of the event after which the caller takes a stream up, empty for a new stream."""
        return stream_sequence.resumed_after(self.last_event_id, self.resumes)


@dataclasses.dataclass(slots=True)
class HttpExchange:
    """A request with the state that the filters and handlers attach to it.

    :ivar received_s: time of arrival in seconds
    :ivar deadline_s: time in seconds by which the response must be sent
    :ivar cleanup: callbacks that release what the request holds, run however it ends
    :ivar permits: permits for upstreams that name a limit
    :ivar attempts: number of upstreams to which the request was sent
    :ivar admitted_amount: tokens or requests charged to the usage cap of the workspace
    :ivar is_forwarded: whether another instance has passed the request on
    :ivar unreachable_upstreams: ids of upstreams to which no connection could be made
    :ivar stream_key: name under which instances remember where the stream began
    :ivar begin_version: software version of the upstreams at which the stream has to begin, None
        if it may begin at any
    :ivar ranked_directory: upstreams by which ``begin_version`` was chosen, None before that
    :ivar required_version: software version of the upstreams at which the stream may go on, empty
        if it is unknown, None for a stream without events
    :ivar engine_priority: priority to tell engines, None where all requests have the same
    :ivar find_regions: returns the regions that a request is bound to now, None for no restriction
    """

    inbound: InboundRequest
    received_s: float
    deadline_s: float
    cleanup: contextlib.ExitStack
    permits: upstream_limiter.RequestPermits
    route: entities.Route | None = None
    workspace: entities.Workspace | None = None
    service: entities.Service | None = None
    fingerprint: str = ""
    revision: int = 0
    attempts: int = 0
    admitted_amount: float = 0.0
    is_forwarded: bool = False
    unreachable_upstreams: set[str] = dataclasses.field(default_factory=set)
    stream_key: str = ""
    begin_version: str | None = None
    ranked_directory: upstream_directory.Directory | None = None
    required_version: str | None = None
    engine_priority: int | None = None
    find_regions: Callable[[HttpExchange], frozenset[str] | None] | None = None

    @property
    def allowed_regions(self) -> frozenset[str] | None:
        """Names of the regions in which the request may run now, None for no restriction."""
        return None if self.find_regions is None else self.find_regions(self)

    @property
    def max_attempts(self) -> int:
        """Number of upstreams that this instance may send the request to."""
        assert self.route is not None
        elsewhere = self.inbound.attempts_elsewhere if self.is_forwarded else 0
        return self.route.max_attempts - elsewhere

    @property
    def placement_version(self) -> str | None:
        """Software version of the upstreams that may get the request now, None for any."""
        return self.begin_version if self.required_version is None else self.required_version

    @property
    def workspace_name(self) -> str:
        """Name of the workspace, empty on a route without authentication."""
        return self.workspace.name if self.workspace else ""

    @property
    def shared_parts(self) -> tuple[str, ...]:
        """Digests of the parts of the prompt that other prompts may have too."""
        return self.inbound.prompt.shared_parts if self.inbound.prompt else ()


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """The response to a caller.

    :ivar chunks: the body; each chunk is sent as soon as it arrives
    :ivar length: length of the body in bytes, None if unknown in advance
    :ivar upstream: id of the upstream that sent the response
    """

    status: int
    reason: str
    headers: Headers
    chunks: Iterator[bytes]
    length: int | None
    upstream: str = ""
