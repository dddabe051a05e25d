"""The published list of instances and upstreams, checked at the border."""

from __future__ import annotations

import dataclasses
import enum
from collections.abc import Mapping

import expression
import pydantic


class Presence(enum.Enum):
    """State of an instance or upstream in the published list."""

    LIVE = "live"
    LEAVING = "leaving"


class Role(enum.Enum):
    """What an upstream does."""

    PREFILL = "prefill"
    DECODE = "decode"
    PLAIN = "plain"


class InstanceEntry(pydantic.BaseModel):
    """One instance as published."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    id: str
    failure_domain: str
    host: str
    peer_port: int
    presence: Presence = Presence.LIVE


class UpstreamEntry(pydantic.BaseModel):
    """One upstream as published."""

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
    """The whole list as published."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    revision: int
    instances: tuple[InstanceEntry, ...]
    upstreams: tuple[UpstreamEntry, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Instance:
    """One instance of the system."""

    id: str
    failure_domain: str
    host: str
    peer_port: int
    presence: Presence


@dataclasses.dataclass(frozen=True, slots=True)
class Upstream:
    """One back end.

    :ivar group: pool of a model engine, service of a plain upstream
    :ivar slots: decode slots, or concurrent prefills of a prefill upstream
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
    """One revision of the list.

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
    """A published list that does not follow its model."""

    detail: str


def parse(content: bytes) -> expression.Result[View, ViewFault]:
    """Return the view in a published document, or what is wrong with it."""
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
