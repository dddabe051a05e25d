"""What the decisions work on: configuration, upstreams and requests."""

from __future__ import annotations

import dataclasses
import enum
from collections.abc import Mapping
from typing import Final

BYTES_PER_MEGABIT: Final = 125_000.0
# Part of its output that a run holds in memory on average: it grows from nothing to all of it.
MEAN_OUTPUT_SHARE: Final = 0.5


class RouteKind(enum.Enum):
    """Whether and how a request may reach a second upstream after it may have run."""

    IDEMPOTENT = "idempotent"
    AT_MOST_ONCE = "at_most_once"
    STREAM = "stream"
    RESUMABLE_STREAM = "resumable_stream"

    @property
    def is_stream(self) -> bool:
        """Whether the answer is a stream of events."""
        return self in (RouteKind.STREAM, RouteKind.RESUMABLE_STREAM)

    @property
    def forbids_rerun(self) -> bool:
        """Whether a request that may have run is never sent again from its beginning."""
        return self is not RouteKind.IDEMPOTENT


class Stage(enum.Enum):
    """Which part of a generation an engine does; plain services have no stage."""

    NONE = ""
    PREFILL = "prefill"
    DECODE = "decode"


@dataclasses.dataclass(frozen=True, slots=True)
class TrafficShare:
    """A service's share of the requests of a route."""

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """A host and path prefix, and how its requests are served.

    :ivar path_prefix: begins and ends with a slash
    :ivar timeout_s: longest time in seconds that a caller is kept waiting
    :ivar target_s: time in seconds within which an answer, or its first event, is on time
    :ivar target_gap_s: longest pause in seconds between two events of an answer that is on time
    :ivar priority: zero is the most urgent
    :ivar max_attempts: upstreams that one request may be sent to
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


@dataclasses.dataclass(frozen=True, slots=True)
class EngineSpec:
    """What a model service says of its engines.

    :ivar slots: requests at work at once on one engine
    :ivar kv_tokens: tokens that fit into the memory of one engine
    :ivar kv_token_bytes: bytes of one token in that memory
    :ivar link_bytes_per_s: speed of an engine's transfers
    :ivar keeps_backups: whether an engine keeps copies of another's runs as they grow
    :ivar handle_ttl_s: time in seconds for which a prompt that was read is kept for its decode
    """

    slots: int
    kv_tokens: int
    kv_token_bytes: int
    link_bytes_per_s: float
    keeps_backups: bool
    handle_ttl_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A group of upstreams; ``engine_spec`` is None for plain services.

    :ivar max_connections: connections that one upstream accepts from all instances together
    """

    name: str
    max_connections: int
    engine_spec: EngineSpec | None


@dataclasses.dataclass(frozen=True, slots=True)
class Workspace:
    """A workspace and its usage cap.

    :ivar priority: overrides that of the route; None where the workspace has none
    :ivar tokens_per_s: refill of the cap in tokens a second, zero for no cap
    :ivar burst_tokens: tokens beyond the refill
    :ivar counts_tokens: whether the cap counts tokens; it counts requests otherwise
    :ivar default_tokens: tokens of a request that states none
    """

    name: str
    priority: int | None
    tokens_per_s: float
    burst_tokens: float
    counts_tokens: bool
    default_tokens: float


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Bounds on what a caller may send and how long it may take.

    :ivar idle_timeout_s: time in seconds for which an unused connection of a caller stays open
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """A whole configuration; ``revision`` orders it, ``version`` names it for operators."""

    revision: int
    version: int
    routes_by_host: Mapping[str, tuple[Route, ...]]
    service_by_name: Mapping[str, Service]
    workspace_by_key: Mapping[str, Workspace]
    limits: Limits
    has_workspaces: bool


EMPTY_CONFIGURATION: Final = Configuration(0, 0, {}, {}, {}, Limits(), False)


@dataclasses.dataclass(frozen=True, slots=True)
class Upstream:
    """One start of a server.

    :ivar id: name of the server; the same server may start again under it
    :ivar born_ms: start of the server, milliseconds since the Unix epoch, zero if unknown
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

    @property
    def address(self) -> str:
        """Address as ``host:port``."""
        return f"{self.host}:{self.port}"


@dataclasses.dataclass(frozen=True, slots=True)
class Prompt:
    """What a generation asks of an engine.

    :ivar tokens: tokens of the prompt
    :ivar max_output_tokens: most tokens of the answer
    :ivar expected_output_tokens: the caller's estimate, or the maximum where it gave none
    """

    tokens: int
    max_output_tokens: int
    expected_output_tokens: int

    @property
    def memory_tokens(self) -> int:
        """Tokens that the request takes in an engine's memory, on average over its run."""
        output = min(self.max_output_tokens, self.expected_output_tokens)
        return self.tokens + int(output * MEAN_OUTPUT_SHARE)
