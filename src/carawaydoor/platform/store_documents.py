"""Decodes the documents in the platform's store: the configuration and the server entries."""

from __future__ import annotations

import collections
import math
from typing import Annotated, Any, Final, Literal

import eliot
import pydantic

from carawaydoor.platform import field_types, region_lists
from carawaydoor.policy import cold_upstreams, entities, upstream_limits

_ROUTE_KIND_BY_KIND_AND_RESUME: Final = {
    ("safe", False): entities.RouteKind.IDEMPOTENT,
    ("safe", True): entities.RouteKind.IDEMPOTENT,
    ("unsafe", False): entities.RouteKind.AT_MOST_ONCE,
    ("unsafe", True): entities.RouteKind.AT_MOST_ONCE,
    ("streaming", False): entities.RouteKind.STREAM,
    ("streaming", True): entities.RouteKind.RESUMABLE_STREAM,
}
_MS_PER_S: Final = 1000.0
_DEFAULT_LIMITS: Final = entities.Limits()
_DEFAULT_HEADER_TIMEOUT_MS: Final = _DEFAULT_LIMITS.header_timeout_s * _MS_PER_S
_DEFAULT_IDLE_TIMEOUT_MS: Final = _DEFAULT_LIMITS.idle_timeout_s * _MS_PER_S
# Applies to routes without a timeout, so that none keeps a caller waiting forever.
DEFAULT_TIMEOUT_MS: Final = 30_000.0
DEFAULT_UNCACHED_TOKENS: Final = 1.0


def _zero_if_invalid(value: Any, validate: pydantic.ValidatorFunctionWrapHandler) -> float:
    """Return zero for a value that is out of range, so that the rest of the document holds."""
    try:
        result: float = validate(value)
    except pydantic.ValidationError as error:
        eliot.log_message(message_type="cold_value_ignored", detail=_describe_first_error(error))
        return 0.0
    return result


_ColdMilliseconds = Annotated[
    float,
    pydantic.Field(ge=0.0, le=cold_upstreams.MAX_COLD_S * _MS_PER_S),
    pydantic.WrapValidator(_zero_if_invalid),
]
_ColdSeconds = Annotated[
    float,
    pydantic.Field(ge=0.0, le=cold_upstreams.MAX_COLD_S),
    pydantic.WrapValidator(_zero_if_invalid),
]
_ColdRate = Annotated[
    float,
    pydantic.Field(ge=0.0, le=upstream_limits.MAX_LIMIT_PER_S),
    pydantic.WrapValidator(_zero_if_invalid),
]
_Priority = Annotated[int, pydantic.Field(ge=-1_000_000, le=1_000_000)]


class _Model(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="ignore", strict=True)


class _Share(_Model):
    service: str
    weight: field_types.NonNegative


class _Route(_Model):
    name: str = ""
    host: str
    pathPrefix: str  # noqa: N815
    kind: Literal["safe", "unsafe", "streaming"]
    timeoutMs: field_types.Milliseconds = 0.0  # noqa: N815
    # A response within this time counts in full; it is not a target for an average.
    targetLatencyMs: field_types.Milliseconds = 0.0  # noqa: N815
    targetGapMs: field_types.Milliseconds = 0.0  # noqa: N815
    priority: _Priority = 5
    service: str | None = None
    trafficSplit: list[_Share] | None = None  # noqa: N815
    maxAttempts: field_types.Slots = 1  # noqa: N815
    # No API key is needed; one that is sent is ignored.
    allowAnonymous: bool = False  # noqa: N815
    allowResume: bool = False  # noqa: N815
    allowedRegions: region_lists.AllowedRegions = None  # noqa: N815


class _Engine(_Model):
    slots: field_types.Slots
    kvCacheTokens: field_types.Count  # noqa: N815
    kvTokenBytes: field_types.Count  # noqa: N815
    linkMbps: field_types.NonNegative  # noqa: N815
    backups: bool = False
    handleTtlS: field_types.Milliseconds = 0.0  # noqa: N815
    holdMs: field_types.Milliseconds = 0.0  # noqa: N815


class _Service(_Model):
    name: str
    connectionLimit: field_types.Slots = 0  # noqa: N815
    engine: _Engine | None = None
    coldStartS: _ColdSeconds = 0.0  # noqa: N815
    coldPerS: _ColdRate = 0.0  # noqa: N815


class _Limits(_Model):
    maxHeaderBytes: field_types.Count = _DEFAULT_LIMITS.max_header_bytes  # noqa: N815
    maxBodyBytes: field_types.Count = _DEFAULT_LIMITS.max_body_bytes  # noqa: N815
    headerTimeoutMs: field_types.Milliseconds = _DEFAULT_HEADER_TIMEOUT_MS  # noqa: N815
    idleTimeoutMs: field_types.Milliseconds = _DEFAULT_IDLE_TIMEOUT_MS  # noqa: N815


class _Workspace(_Model):
    name: str
    apiKeys: list[str] = []  # noqa: N815
    priority: _Priority | None = None
    unit: str = "requests"
    # Charge for a request that doesn't state its tokens. Despite the name, caches play no part.
    uncachedTokens: field_types.NonNegative = DEFAULT_UNCACHED_TOKENS  # noqa: N815
    ratePerS: field_types.NonNegative = 0.0  # noqa: N815
    burst: field_types.NonNegative = 0.0
    allowedRegions: region_lists.AllowedRegions = None  # noqa: N815


class _Configuration(_Model):
    version: field_types.Count
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = _Limits()
    tenants: list[_Workspace] | None = None


class _ServerEntry(_Model):
    service: field_types.Name
    address: field_types.Name
    zone: field_types.Name = ""
    slots: field_types.Slots = 1
    state: Literal["ready", "draining"]
    stage: Literal["prefill", "decode"] | None = None
    born: field_types.Count = 0
    sequenceNumber: field_types.Count = 0  # noqa: N815
    # Of the software; the versions of the weights are listed with the models.
    version: field_types.Name = ""
    # As of the time when the entry was written.
    coldRemainingMs: _ColdMilliseconds = 0.0  # noqa: N815


# What the check of a configuration reads, before entries are merged by their keys.
ConfigurationDocument = _Configuration
RouteDocument = _Route
WorkspaceDocument = _Workspace


class DocumentError(Exception):
    """A document in the store is malformed."""


def parse_configuration(content: bytes) -> ConfigurationDocument:
    """Return the document of a configuration.

    :raises pydantic.ValidationError: if the content is not a valid configuration
    """
    return _Configuration.model_validate_json(content)


def decode_configuration(content: bytes, revision: int) -> entities.Configuration:
    """Decode the configuration.

    :param content: JSON written by the operator
    :param revision: the store's revision of the item
    :raises DocumentError: if the content is not a valid configuration
    """
    try:
        document = parse_configuration(content)
    except pydantic.ValidationError as error:
        raise DocumentError(_describe_first_error(error)) from error
    routes_by_host: dict[str, list[entities.Route]] = collections.defaultdict(list)
    for route in document.routes:
        routes_by_host[route.host.lower()].append(_decode_route(route))
    workspace_by_key: dict[str, entities.Workspace] = {}
    for tenant in document.tenants or []:
        workspace = _decode_workspace(tenant)
        workspace_by_key.update(dict.fromkeys(tenant.apiKeys, workspace))
    return entities.Configuration(
        revision,
        document.version,
        {host: _longest_prefix_first(routes) for host, routes in routes_by_host.items()},
        {service.name: _decode_service(service) for service in document.services},
        workspace_by_key,
        _decode_limits(document.limits),
        document.tenants is not None,
    )


def decode_server(server_id: str, content: bytes, revision: int = 0) -> entities.Upstream:
    """Decode a server entry.

    :param server_id: the server's id, which is the item's key without ``SERVERS_PREFIX``
    :param revision: the store's revision of the item
    :raises DocumentError: if the content is not a valid entry, as when another program wrote it
    """
    try:
        entry = _ServerEntry.model_validate_json(content)
    except pydantic.ValidationError as error:
        raise DocumentError(_describe_first_error(error)) from error
    try:
        host, port = field_types.parse_address(entry.address)
    except ValueError as error:
        raise DocumentError(str(error)) from error
    stage = entities.Stage(entry.stage) if entry.stage else entities.Stage.NONE
    return entities.Upstream(
        server_id,
        entry.service,
        host,
        port,
        entry.zone,
        max(1, entry.slots),
        stage,
        entry.state == "draining",
        entry.born,
        entry.version,
        entry.coldRemainingMs / _MS_PER_S,
        revision,
    )


def _longest_prefix_first(routes: list[entities.Route]) -> tuple[entities.Route, ...]:
    return tuple(sorted(routes, key=lambda each: len(each.path_prefix), reverse=True))


def _decode_route(route: _Route) -> entities.Route:
    shares = tuple(
        entities.TrafficShare(each.service, each.weight) for each in route.trafficSplit or []
    )
    if not shares and route.service:
        shares = (entities.TrafficShare(route.service, 1.0),)
    timeout_s = (route.timeoutMs or DEFAULT_TIMEOUT_MS) / _MS_PER_S
    return entities.Route(
        route.name,
        route.host.lower(),
        route.pathPrefix,
        _ROUTE_KIND_BY_KIND_AND_RESUME[route.kind, route.allowResume],
        shares,
        timeout_s,
        (route.targetLatencyMs or math.inf) / _MS_PER_S,
        (route.targetGapMs or math.inf) / _MS_PER_S,
        route.priority,
        max(1, route.maxAttempts),
        route.allowAnonymous,
        region_lists.decode(route.allowedRegions),
    )


def _decode_service(service: _Service) -> entities.Service:
    engine = service.engine
    if engine is None:
        return entities.Service(
            service.name, service.connectionLimit, None, service.coldStartS, service.coldPerS
        )
    return entities.Service(
        service.name,
        service.connectionLimit,
        entities.EngineSpec(
            engine.slots,
            engine.kvCacheTokens,
            engine.kvTokenBytes,
            engine.linkMbps * entities.BYTES_PER_MEGABIT,
            engine.backups,
            engine.handleTtlS,
            engine.holdMs / _MS_PER_S,
        ),
        service.coldStartS,
        service.coldPerS,
    )


def _decode_workspace(tenant: _Workspace) -> entities.Workspace:
    return entities.Workspace(
        tenant.name,
        tenant.priority,
        tenant.ratePerS,
        tenant.burst,
        tenant.unit == "tokens",
        tenant.uncachedTokens,
        region_lists.decode(tenant.allowedRegions),
    )


def _decode_limits(limits: _Limits) -> entities.Limits:
    return entities.Limits(
        limits.maxHeaderBytes,
        limits.maxBodyBytes,
        limits.headerTimeoutMs / _MS_PER_S,
        limits.idleTimeoutMs / _MS_PER_S,
    )


def _describe_first_error(error: pydantic.ValidationError) -> str:
    first_error: Any = error.errors(include_url=False, include_input=False)[0]
    field = ".".join(str(part) for part in first_error["loc"])
    return f"{field or 'document'}: {first_error['msg']}"
