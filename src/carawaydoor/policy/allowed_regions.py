"""In which regions a request may run, and which peers may see its body.

A region is a group of failure domains. A list that binds a request names regions; None stands for no
list. A failure domain whose region is not known is in no region, so no list allows it.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from carawaydoor.policy import entities, routes

# Names of regions, None for no restriction. Empty, it allows nothing.
Regions = frozenset[str] | None


def combine(route: Regions, workspace: Regions) -> Regions:
    """Return the regions that both lists allow."""
    if route is None or workspace is None:
        return workspace if route is None else route
    return route & workspace


def current(
    configuration: entities.Configuration,
    host: str,
    path: str,
    key: str | None,
    route: entities.Route,
    workspace: entities.Workspace | None,
) -> Regions:
    """Return the regions that the configuration in force now allows a request.

    It may be newer than the one by which the request found its route and workspace. These count where
    it has none for the request any more.

    :param key: key of the caller
    """
    route = routes.match(configuration, host, path) or route
    if workspace is not None and key is not None:
        workspace = configuration.workspace_by_key.get(key) or workspace
    return combine(route.allowed_regions, None if workspace is None else workspace.allowed_regions)


def allows(regions: Regions, region_by_domain: Mapping[str, str], domain: str) -> bool:
    """Return whether a request may run in a failure domain."""
    return regions is None or region_by_domain.get(domain) in regions


def allowed(
    regions: Regions,
    region_by_domain: Mapping[str, str],
    upstreams: Iterable[entities.Upstream],
) -> tuple[entities.Upstream, ...]:
    """Return the upstreams at which a request may run."""
    if regions is None:
        return tuple(upstreams)
    # There are few failure domains and many upstreams.
    domains = {domain for domain, region in region_by_domain.items() if region in regions}
    return tuple(each for each in upstreams if each.domain in domains)


def allows_peer(
    regions: Regions, region_by_domain: Mapping[str, str], own_region: str, domain: str
) -> bool:
    """Return whether an instance of a failure domain may get the body of a request.

    :param own_region: region of the instance that its caller has sent the request to, empty if unknown
    """
    if allows(regions, region_by_domain, domain):
        return True
    return bool(own_region) and region_by_domain.get(domain) == own_region


def lists(configuration: entities.Configuration) -> dict[tuple[str, ...], Regions]:
    """Return the lists of a configuration by host and path of a route, or by the key of a workspace."""
    list_by_name: dict[tuple[str, ...], Regions] = {
        (host, route.path_prefix): route.allowed_regions
        for host, routes_of_host in configuration.routes_by_host.items()
        for route in routes_of_host
        if route.allowed_regions is not None
    }
    for key, workspace in configuration.workspace_by_key.items():
        if workspace.allowed_regions is not None:
            list_by_name[(key,)] = workspace.allowed_regions
    return list_by_name


def unknown(configuration: entities.Configuration, known: Iterable[str]) -> frozenset[str]:
    """Return the names in the lists of a configuration that are no known regions."""
    names = frozenset(each for regions in lists(configuration).values() for each in regions or ())
    return names - frozenset(known)
