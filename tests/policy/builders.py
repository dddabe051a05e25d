"""Builds the values that routing decisions work on."""

from __future__ import annotations

from carawaydoor.policy import entities, health, load, placement

ENGINE_SPEC = entities.EngineSpec(128, 60_000, 18_432, 68.75e9, True, 0.5)
MODEL_SERVICE = entities.Service("planner", 620, ENGINE_SPEC)
PLAIN_SERVICE = entities.Service("bookings", 100, None)


def upstream(
    name: str,
    service: str = "bookings",
    stage: entities.Stage = entities.Stage.NONE,
    *,
    domain: str = "a",
    address: str = "",
    born_ms: int = 1,
    is_leaving: bool = False,
    slots: int = 6,
    version: str = "v1",
) -> entities.Upstream:
    """Return an upstream; each name has an address of its own unless one is given."""
    host, _, port = (address or f"10.0.0.{sum(name.encode()) % 250}:80").rpartition(":")
    return entities.Upstream(
        name, service, host, int(port), domain, slots, stage, is_leaving, born_ms, version
    )


def prefill(name: str, domain: str = "a") -> entities.Upstream:
    """Return a prefill engine of the model service."""
    return upstream(name, "planner", entities.Stage.PREFILL, domain=domain)


def decode(name: str, domain: str = "a") -> entities.Upstream:
    """Return a decode engine of the model service."""
    return upstream(name, "planner", entities.Stage.DECODE, domain=domain)


def context(
    *upstreams: entities.Upstream,
    own: dict[str, load.Work] | None = None,
    peers: dict[str, load.Work] | None = None,
    upstream_health: health.Health | None = None,
    now_s: float = 100.0,
) -> placement.PlacementContext:
    """Return the context of a placement by an instance in failure domain ``a``."""
    upstream_load = load.Load(own or {}, peers or {})
    return placement.PlacementContext(now_s, "a", upstreams, upstream_load, upstream_health or {})


def route(
    kind: entities.RouteKind = entities.RouteKind.IDEMPOTENT,
    *,
    service: str = "bookings",
    path_prefix: str = "/r/",
    max_attempts: int = 2,
    timeout_s: float = 1.0,
    target_s: float = 0.2,
    is_open_to_all: bool = False,
    host: str = "a.example",
) -> entities.Route:
    """Return a route to one service."""
    return entities.Route(
        "r",
        host,
        path_prefix,
        kind,
        (entities.TrafficShare(service, 1.0),),
        timeout_s,
        target_s,
        0.3,
        1,
        max_attempts,
        is_open_to_all,
    )
