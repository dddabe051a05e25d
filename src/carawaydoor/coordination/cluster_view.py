"""The published view of instances and upstreams, with its validation."""

from __future__ import annotations

import dataclasses
import enum
from collections.abc import Mapping

import expression
import pydantic


class Presence(enum.Enum):
    """Presence of an instance or upstream in the published view."""

    LIVE = "live"
    LEAVING = "leaving"


class Role(enum.Enum):
    """The part of request processing that an upstream does."""

    PREFILL = "prefill"
    DECODE = "decode"
    PLAIN = "plain"


class InstanceEntry(pydantic.BaseModel):
    """One instance in the published document."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    id: str
    failure_domain: str
    host: str
    peer_port: int
    presence: Presence = Presence.LIVE


class UpstreamEntry(pydantic.BaseModel):
    """One upstream in the published document."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    id: str
    failure_domain: str
    host: str
    port: int
    role: Role
    group: str
    slots: int = 20
    link_tokens_per_s: float = 200_000.0
    presence: Presence = Presence.LIVE


class PublishedView(pydantic.BaseModel):
    """The published document."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    revision: int
    instances: tuple[InstanceEntry, ...]
    upstreams: tuple[UpstreamEntry, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Instance:
    """One instance of the router."""

    id: str
    failure_domain: str
    host: str
    peer_port: int
    presence: Presence


@dataclasses.dataclass(frozen=True, slots=True)
class Upstream:
    """One upstream to which requests are sent.

    :ivar group: name of the pool of a model engine, or of the service of a plain upstream
    :ivar slots: concurrent decodes of a decode upstream, concurrent prefills of a prefill upstream
    :ivar link_tokens_per_s: rate at which it can send KV cache, in prompt tokens per second
    """

    id: str
    failure_domain: str
    host: str
    port: int
    role: Role
    group: str
    slots: int
    link_tokens_per_s: float
    presence: Presence


@dataclasses.dataclass(frozen=True, slots=True)
class View:
    """One revision of the view.

    :ivar live_by_domain: ids of the live instances of each failure domain
    """

    revision: int
    instance_by_id: Mapping[str, Instance]
    upstream_by_id: Mapping[str, Upstream]
    live_by_domain: Mapping[str, tuple[str, ...]] = dataclasses.field(init=False, compare=False)

    def __post_init__(self) -> None:
        live: dict[str, tuple[str, ...]] = {}
        for each in self.instance_by_id.values():
            if each.presence is Presence.LIVE:
                live[each.failure_domain] = (*live.get(each.failure_domain, ()), each.id)
        object.__setattr__(self, "live_by_domain", live)


EMPTY = View(0, {}, {})


@dataclasses.dataclass(frozen=True, slots=True)
class ViewFault:
    """Why a published view is invalid."""

    detail: str


def parse(content: bytes) -> expression.Result[View, ViewFault]:
    """Parse a published view; return the view, or why the document is invalid."""
    try:
        published = PublishedView.model_validate_json(content)
    except pydantic.ValidationError as error:
        return expression.Error(ViewFault(str(error)))
    instances = [
        Instance(each.id, each.failure_domain, each.host, each.peer_port, each.presence)
        for each in published.instances
    ]
    upstreams = [Upstream(**dict(each)) for each in published.upstreams]
    return expression.Ok(
        View(
            published.revision,
            {each.id: each for each in instances},
            {each.id: each for each in upstreams},
        )
    )
