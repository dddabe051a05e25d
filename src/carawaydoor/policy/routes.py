"""Finds the route of a request and draws the service that gets it."""

from __future__ import annotations

from carawaydoor.policy import entities


def match(configuration: entities.Configuration, host: str, path: str) -> entities.Route | None:
    """Return the route of the host with the longest matching path prefix, None if none matches.

    :param host: host as the caller sent it, with or without a port
    :param path: raw path without the query
    """
    name = host.rsplit(":", 1)[0] if host.rpartition(":")[2].isdecimal() else host
    for route in configuration.routes_by_host.get(name.lower(), ()):
        if path.startswith(route.path_prefix):
            return route
    return None


def choose_service(route: entities.Route, draw: float) -> str | None:
    """Choose a service by the weights of the route, None if no service has any weight.

    :param draw: random number from 0 to 1, uniformly distributed
    """
    total = sum(share.weight for share in route.shares)
    if total <= 0.0:
        return None
    left = draw * total
    for share in route.shares:
        left -= share.weight
        if left < 0.0:
            return share.service
    return next(share.service for share in reversed(route.shares) if share.weight > 0.0)
