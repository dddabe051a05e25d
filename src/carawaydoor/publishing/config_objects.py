"""Configuration objects as operators write them, with the checks of their fields."""

from __future__ import annotations

from typing import Annotated, Literal

import pydantic

Name = Annotated[str, pydantic.StringConstraints(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")]
Digest = Annotated[str, pydantic.StringConstraints(pattern=r"^[0-9a-f]{64}$")]
Path = Annotated[str, pydantic.StringConstraints(pattern=r"^/[A-Za-z0-9/_.-]*$")]
Method = Literal["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"]


class ConfigObject(pydantic.BaseModel):
    """Base class of configuration objects; unknown fields and wrong types are faults."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True, strict=True)

    name: Name


class FailureDomain(ConfigObject):
    """A failure domain.

    :ivar standing_share: fraction of every workspace limit that the domain can still use while it
        is cut off from the others
    """

    kind: Literal["failure_domain"]
    standing_share: float = pydantic.Field(default=0.05, gt=0.0, le=0.5)


class Workspace(ConfigObject):
    """A workspace and its token limit, which holds for the whole fleet.

    :ivar max_config_age_s: time since the configuration was last confirmed after which requests
        of the workspace are refused; None for no limit
    """

    kind: Literal["workspace"]
    rate_tokens_per_s: float = pydantic.Field(gt=0.0)
    burst_tokens: float = pydantic.Field(gt=0.0)
    max_config_age_s: float | None = pydantic.Field(default=None, gt=0.0)


class Key(ConfigObject):
    """An API key of a workspace; only the SHA-256 digest of its secret is stored."""

    kind: Literal["key"]
    workspace: Name
    sha256: Digest
    withdrawn: bool = False


class Model(ConfigObject):
    """A model and the figures from which the router estimates the cost of a request.

    :ivar default_max_tokens: assumed output limit of a request that does not set one
    :ivar bytes_per_token: mean length of a token, to estimate the tokens of a prompt
    """

    kind: Literal["model"]
    context_tokens: int = pydantic.Field(gt=0)
    default_max_tokens: int = pydantic.Field(default=256, gt=0)
    bytes_per_token: float = pydantic.Field(default=4.0, gt=0.0)
    prefill_tokens_per_s: float = pydantic.Field(gt=0.0)


class Pool(ConfigObject):
    """The prefill and decode upstreams that serve one model.

    :ivar max_queue: maximum number of queued requests over all workspaces
    """

    kind: Literal["pool"]
    model: Name
    max_queue: int = pydantic.Field(default=64, ge=0)


class Service(ConfigObject):
    """A group of upstreams that serve ordinary HTTP requests, without a model.

    :ivar retry_window_s: longest time between the first attempt with an idempotency key and a retry
    """

    kind: Literal["service"]
    timeout_s: float = pydantic.Field(default=5.0, gt=0.0)
    retry_window_s: float = pydantic.Field(default=60.0, gt=0.0)


class Route(ConfigObject):
    """Maps a path to a pool or to a service.

    :ivar workspaces: workspaces that may use the route; all if empty
    :ivar open_to_all: whether requests need no API key
    :ivar first_token_s: time after its arrival by which a request should produce its first token
    """

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
