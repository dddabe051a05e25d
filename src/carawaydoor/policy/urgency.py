"""Ranks the priorities of the requests of a service.

Only services with requests of more than one priority have ranks; the others are served without regard
to urgency.
"""

from __future__ import annotations

import bisect
from collections.abc import Mapping
from typing import Final

from carawaydoor.policy import entities

# Engines accept priorities from 0, the most urgent, to this one.
MAX_ENGINE_PRIORITY: Final = 9

# The priorities of a service in ascending order, so that the index of one is its rank.
Priorities = tuple[int, ...]


def priority_of(route: entities.Route, workspace: entities.Workspace | None) -> int:
    """Return the priority of a request; zero is the most urgent."""
    if workspace is not None and workspace.priority is not None:
        return workspace.priority
    return route.priority


def priorities_by_service(configuration: entities.Configuration) -> Mapping[str, Priorities]:
    """Return the priorities of each service of engines that has requests of more than one."""
    found: dict[str, set[int]] = {}
    of_workspaces = {each.priority for each in configuration.workspace_by_key.values()}
    for routes in configuration.routes_by_host.values():
        for route in routes:
            # Requests of an open route have no workspace.
            is_open = route.is_open_to_all or not configuration.has_workspaces
            workspaces = {None} if is_open else of_workspaces
            priorities = {route.priority if each is None else each for each in workspaces}
            for share in route.shares:
                if share.weight > 0.0:
                    found.setdefault(share.service, set()).update(priorities)
    return {
        name: tuple(sorted(priorities))
        for name, priorities in found.items()
        if len(priorities) > 1 and _has_engines(configuration, name)
    }


def engine_priority(priority: int) -> int:
    """Return the priority to tell engines, which know ten of them."""
    return max(0, min(MAX_ENGINE_PRIORITY, priority))


def rank(priorities: Priorities, priority: int) -> int:
    """Return the rank of a priority within its service, zero for the most urgent.

    A request that is older than the configuration may have a priority that is no longer listed. It
    then ranks with the next less urgent one.
    """
    return min(bisect.bisect_left(priorities, priority), len(priorities) - 1)


def _has_engines(configuration: entities.Configuration, service: str) -> bool:
    known = configuration.service_by_name.get(service)
    return known is not None and known.engine_spec is not None
