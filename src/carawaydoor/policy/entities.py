"""Configuration, upstreams and prompts that routing decisions work on."""

from __future__ import annotations

import dataclasses
import enum
from collections.abc import Mapping
from typing import Final

# Id of an upstream and start of its process.
Incarnation = tuple[str, int]

BYTES_PER_MEGABIT: Final = 125_000.0
# A generation's output grows from nothing to its whole length, so half of it is in the KV cache on
# average.
MEAN_OUTPUT_SHARE: Final = 0.5


class RouteKind(enum.Enum):
    """How a route answers, and whether a request that may have run can be sent again."""

    IDEMPOTENT = "idempotent"
    AT_MOST_ONCE = "at_most_once"
    STREAM = "stream"
    RESUMABLE_STREAM = "resumable_stream"

    @property
    def is_stream(self) -> bool:
        """Whether the response is a stream of events."""
        return self in (RouteKind.STREAM, RouteKind.RESUMABLE_STREAM)

    @property
    def forbids_rerun(self) -> bool:
        """Whether a request that may have run must not be run again from its beginning."""
        return self is not RouteKind.IDEMPOTENT


class Stage(enum.Enum):
    """The part of generations that an engine does; upstreams of plain services have none."""

    NONE = ""
    PREFILL = "prefill"
    DECODE = "decode"


@dataclasses.dataclass(frozen=True, slots=True)
class TrafficShare:
    """The weight with which requests of a route go to a service."""

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """A host and path prefix, and how its requests are served.

    :ivar path_prefix: begins and ends with a slash
    :ivar timeout_s: longest time that a caller is kept waiting
    :ivar target_s: latency target for the response, or for the first event of a stream
    :ivar target_gap_s: target for the longest pause between two events of a stream
    :ivar priority: zero is the most urgent
    :ivar max_attempts: number of upstreams that one request may be sent to
    :ivar is_open_to_all: whether callers need no key
    :ivar allowed_regions: names of regions to which requests are bound, None for no restriction
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    shares: tuple[TrafficShare, ...]
    timeout_s: float
    target_s: float
    target_gap_s: float
    priority: int
    max_attempts: int
    is_open_to_all: bool
    allowed_regions: frozenset[str] | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class EngineSpec:
    """Properties that all engines of a service share.

    :ivar slots: number of concurrent requests of one engine
    :ivar kv_tokens: capacity of one engine's KV cache
    :ivar kv_token_bytes: size of one token in the KV cache
    :ivar link_bytes_per_s: speed of KV cache transfers between engines
    :ivar keeps_backups: whether an engine can keep a copy of the KV cache of generations that run
        on another engine
    :ivar max_hold_s: longest time in seconds for which an engine holds memory for a request, zero
        if it holds none
    :ivar handle_ttl_s: time for which a prefill engine keeps a prompt's KV cache for the decode
        engine to fetch
    """

    slots: int
    kv_tokens: int
    kv_token_bytes: int
    link_bytes_per_s: float
    keeps_backups: bool
    handle_ttl_s: float
    max_hold_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A group of upstreams that routes refer to by its name.

    :ivar max_connections: connections that one upstream accepts from all instances together
    :ivar engine_spec: None for a plain service
    :ivar cold_start_s: time in seconds for which an upstream is cold after its start, zero for never
    :ivar cold_per_s: requests a second that a cold upstream handles from all instances together, zero
        for no bound
    """

    name: str
    max_connections: int
    engine_spec: EngineSpec | None
    cold_start_s: float = 0.0
    cold_per_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Workspace:
    """A workspace and its usage cap.

    :ivar priority: overrides the priority of the route unless None
    :ivar tokens_per_s: refill rate of the cap in tokens or requests, zero for no cap
    :ivar burst_tokens: tokens or requests allowed in addition to the refill
    :ivar counts_tokens: whether the cap counts tokens instead of requests
    :ivar default_tokens: amount charged for a request that states no token counts
    :ivar allowed_regions: names of regions to which requests are bound, None for no restriction
    """

    name: str
    priority: int | None
    tokens_per_s: float
    burst_tokens: float
    counts_tokens: bool
    default_tokens: float
    allowed_regions: frozenset[str] | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Limits on the size of a caller's requests and on the time to send them.

    :ivar idle_timeout_s: time for which an unused connection of a caller stays open
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """A whole configuration.

    :ivar revision: revision of the store, by which configurations are ordered
    :ivar version: number that operators gave the configuration
    :ivar has_workspaces: whether there is a list of workspaces, even an empty one; without it, no
        request needs a key
    """

    revision: int
    version: int
    routes_by_host: Mapping[str, tuple[Route, ...]]
    service_by_name: Mapping[str, Service]
    workspace_by_key: Mapping[str, Workspace]
    limits: Limits
    has_workspaces: bool


def stage_of_streams(service: Service | None) -> Stage:
    """Return the stage of the upstreams of a service at which streams begin."""
    return Stage.NONE if service is None or service.engine_spec is None else Stage.DECODE


EMPTY_CONFIGURATION: Final = Configuration(0, 0, {}, {}, {}, Limits(), False)


@dataclasses.dataclass(frozen=True, slots=True)
class Upstream:
    """One incarnation of a server.

    :ivar id: name of the server, which keeps it over restarts
    :ivar domain: failure domain
    :ivar born_ms: start of this incarnation in milliseconds since the Unix epoch, zero if unknown
    :ivar version: version of the server's software, empty if unknown; versions have no order
    :ivar cold_remaining_s: seconds for which it was still cold when its entry was written; entries that
        differ in nothing else describe the same upstream
    :ivar entry_revision: position of the entry in the source, zero if unknown
    """

    id: str
    service: str
    host: str
    port: int
    domain: str
    slots: int
    stage: Stage
    is_leaving: bool
    born_ms: int
    version: str = ""
    cold_remaining_s: float = dataclasses.field(default=0.0, compare=False)
    entry_revision: int = dataclasses.field(default=0, compare=False)

    @property
    def address(self) -> str:
        """Address as ``host:port``."""
        return f"{self.host}:{self.port}"

    @property
    def incarnation(self) -> Incarnation:
        """Id and start, which no other upstream shares."""
        return self.id, self.born_ms


@dataclasses.dataclass(frozen=True, slots=True)
class Prompt:
    """A prompt and the length of the output that it asks for.

    :ivar tokens: length of the prompt
    :ivar max_output_tokens: longest output that the caller accepts
    :ivar expected_output_tokens: the caller's estimate, or the maximum if it gave none
    :ivar shared_parts: digests of the parts that other prompts may have too, in order
    """

    tokens: int
    max_output_tokens: int
    expected_output_tokens: int
    shared_parts: tuple[str, ...] = ()

    @property
    def mean_kv_tokens(self) -> int:
        """Tokens in the KV cache of the decode engine, on average over the generation."""
        output = min(self.max_output_tokens, self.expected_output_tokens)
        return self.tokens + int(output * MEAN_OUTPUT_SHARE)
