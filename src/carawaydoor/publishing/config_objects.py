"""Configuration objects as operators write them, checked at the border."""

from __future__ import annotations

from typing import Annotated, Literal

import pydantic

Name = Annotated[str, pydantic.StringConstraints(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")]
Digest = Annotated[str, pydantic.StringConstraints(pattern=r"^[0-9a-f]{64}$")]
Path = Annotated[str, pydantic.StringConstraints(pattern=r"^/[A-Za-z0-9/_.-]*$")]
Method = Literal["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"]


class ConfigObject(pydantic.BaseModel):
    """Base of all configuration objects."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True, strict=True)

    name: Name


class FailureDomain(ConfigObject):
    """A failure domain and the fraction of every limit that it keeps for a partition."""

    kind: Literal["failure_domain"]
    standing_share: float = pydantic.Field(default=0.05, gt=0.0, le=0.5)


class Workspace(ConfigObject):
    """A workspace with its limit, in tokens, over the whole fleet."""

    kind: Literal["workspace"]
    rate_tokens_per_s: float = pydantic.Field(gt=0.0)
    burst_tokens: float = pydantic.Field(gt=0.0)
    max_config_age_s: float | None = pydantic.Field(default=None, gt=0.0)


class Key(ConfigObject):
    """A key of a workspace; only the SHA-256 digest of the secret stands here."""

    kind: Literal["key"]
    workspace: Name
    sha256: Digest
    withdrawn: bool = False


class Model(ConfigObject):
    """A model and the costs that the router reckons with."""

    kind: Literal["model"]
    context_tokens: int = pydantic.Field(gt=0)
    default_max_tokens: int = pydantic.Field(default=256, gt=0)
    bytes_per_token: float = pydantic.Field(default=4.0, gt=0.0)
    prefill_tokens_per_s: float = pydantic.Field(gt=0.0)


class Pool(ConfigObject):
    """The prefill and decode upstreams that serve one model."""

    kind: Literal["pool"]
    model: Name
    max_queue: int = pydantic.Field(default=64, ge=0)


class Service(ConfigObject):
    """Plain upstreams of one kind."""

    kind: Literal["service"]
    timeout_s: float = pydantic.Field(default=5.0, gt=0.0)
    retry_window_s: float = pydantic.Field(default=60.0, gt=0.0)


class Route(ConfigObject):
    """Maps a path to a pool or to a service."""

    kind: Literal["route"]
    path: Path
    methods: tuple[Method, ...] = pydantic.Field(default=("POST",), strict=False)
    pool: Name | None = None
    service: Name | None = None
    workspaces: tuple[Name, ...] = pydantic.Field(default=(), strict=False)
    open_to_all: bool = False
    idempotent: bool = True
    first_token_s: float = pydantic.Field(default=1.1, gt=0.0)
    deadline_s: float = pydantic.Field(default=60.0, gt=0.0)


AnyObject = Annotated[
    FailureDomain | Workspace | Key | Model | Pool | Service | Route,
    pydantic.Field(discriminator="kind"),
]
OBJECT_ADAPTER: pydantic.TypeAdapter[AnyObject] = pydantic.TypeAdapter(AnyObject)
