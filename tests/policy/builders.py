"""Builds the values that decisions work on."""

from __future__ import annotations

from carawaydoor.policy import entities, placement
from carawaydoor.policy import health as healths
from carawaydoor.policy import load as loads

ENGINE = entities.EngineSpec(128, 60_000, 18_432, 68.75e9, True, 0.5)
GENERATING = entities.Service("planner", 620, ENGINE)
PLAIN = entities.Service("bookings", 100, None)


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
) -> entities.Upstream:
    """Return an upstream; each name has an address of its own unless one is given."""
    host, _, port = (address or f"10.0.0.{sum(name.encode()) % 250}:80").rpartition(":")
    return entities.Upstream(
        name, service, host, int(port), domain, slots, stage, is_leaving, born_ms
    )


def prefill(name: str, domain: str = "a") -> entities.Upstream:
    """Return an engine that reads prompts."""
    return upstream(name, "planner", entities.Stage.PREFILL, domain=domain)


def decode(name: str, domain: str = "a") -> entities.Upstream:
    """Return an engine that generates."""
    return upstream(name, "planner", entities.Stage.DECODE, domain=domain)


def view(
    *upstreams: entities.Upstream,
    own: dict[str, loads.Work] | None = None,
    peers: dict[str, loads.Work] | None = None,
    health: healths.Health | None = None,
    now_s: float = 100.0,
) -> placement.PlacementContext:
    """Return what a placement in failure domain ``a`` is decided from."""
    load = loads.Load(own or {}, peers or {})
    return placement.PlacementContext(now_s, "a", upstreams, load, health or {})


def route(
    repeat: entities.RouteKind = entities.RouteKind.IDEMPOTENT,
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
        repeat,
        (entities.TrafficShare(service, 1.0),),
        timeout_s,
        target_s,
        0.3,
        1,
        max_attempts,
        is_open_to_all,
    )
