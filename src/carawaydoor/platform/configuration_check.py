"""Checks a configuration in the form of the store item before it is sent."""

from __future__ import annotations

import itertools
from collections.abc import Iterator
from typing import Final

import pydantic

from carawaydoor.platform import store_documents
from carawaydoor.publishing import findings
from carawaydoor.serving import request_budget

# The unit that an instance assumes for a cap of any other unit.
_KNOWN_UNITS: Final = ("requests", "tokens")

Findings = Iterator[findings.Finding]
Problems = Iterator[tuple[findings.FindingKind, str, str]]
_NEVER: Final = findings.FindingKind.NEVER_USED
_CONTRADICTION: Final = findings.FindingKind.CONTRADICTION


def find_errors(error: pydantic.ValidationError, file: str) -> Findings:
    """Yield what keeps an instance from reading a configuration."""
    for each in error.errors(include_url=False, include_input=False):
        path = ".".join(str(part) for part in each["loc"]) or "document"
        yield findings.Finding(findings.FindingKind.INVALID, file, path, each["msg"])


def check(
    document: store_documents.ConfigurationDocument, file: str, memory_bytes: int, window_s: float
) -> tuple[findings.Finding, ...]:
    """Return what is wrong with a configuration that an instance would accept.

    :param memory_bytes: memory of the smallest machine
    :param window_s: window in seconds in which usage is counted
    """
    problems = itertools.chain(
        _check_routes(document),
        _check_priorities(document.routes),
        _check_services(document),
        _check_workspaces(document, window_s),
        _check_limits(document, memory_bytes),
    )
    return tuple(findings.Finding(kind, file, path, problem) for kind, path, problem in problems)


def services_of(route: store_documents.RouteDocument) -> tuple[str, ...]:
    """Return the services that get requests of a route."""
    if route.trafficSplit:
        return tuple(each.service for each in route.trafficSplit if each.weight > 0.0)
    return (route.service,) if route.service else ()


def timeout_ms(route: store_documents.RouteDocument) -> float:
    """Return the time limit of a route in milliseconds."""
    return route.timeoutMs or store_documents.DEFAULT_TIMEOUT_MS


def _check_routes(document: store_documents.ConfigurationDocument) -> Problems:
    number_by_match: dict[tuple[str, str], int] = {}
    listed = {each.name for each in document.services}
    for number, route in enumerate(document.routes):
        path = f"routes.{number}"
        first = number_by_match.setdefault((route.host.lower(), route.pathPrefix), number)
        if first != number:
            yield _NEVER, path, f"routes.{first} has the same host and pathPrefix and comes first"
        if route.pathPrefix and not route.pathPrefix.startswith("/"):
            yield _NEVER, f"{path}.pathPrefix", "no path begins like this; expected a leading '/'"
        if "?" in route.pathPrefix or "#" in route.pathPrefix:
            yield _NEVER, f"{path}.pathPrefix", "paths are matched without their query"
        if route.host.rpartition(":")[2].isdecimal() and ":" in route.host:
            yield _NEVER, f"{path}.host", "hosts are matched without their port"
        if not services_of(route):
            yield _NEVER, path, "no service has any weight; expected service or trafficSplit"
        for each in services_of(route):
            if each not in listed:
                yield _NEVER, path, f"service {each!r} is not listed in services"
        if document.tenants == [] and not route.allowAnonymous:
            yield _NEVER, path, "tenants is empty, so that no caller has a key for the route"
        yield from _check_times(route, path)


def _check_times(route: store_documents.RouteDocument, path: str) -> Problems:
    limit_ms = timeout_ms(route)
    for field, target_ms in (
        ("targetLatencyMs", route.targetLatencyMs),
        ("targetGapMs", route.targetGapMs),
    ):
        if target_ms > limit_ms:
            yield (
                _CONTRADICTION,
                f"{path}.{field}",
                f"{target_ms:g} ms is beyond the time limit of {limit_ms:g} ms",
            )
    if route.kind != "streaming" and (route.targetGapMs or route.allowResume):
        yield _CONTRADICTION, path, "targetGapMs and allowResume apply to streaming routes only"


def _check_priorities(routes: list[store_documents.RouteDocument]) -> Problems:
    first_by_terms: dict[tuple[object, ...], int] = {}
    for number, route in enumerate(routes):
        for service in services_of(route):
            terms = (service, route.kind, timeout_ms(route), route.targetLatencyMs)
            first = first_by_terms.setdefault((*terms, route.targetGapMs), number)
            if routes[first].priority != route.priority:
                yield (
                    _CONTRADICTION,
                    f"routes.{number}.priority",
                    f"{route.priority}, but routes.{first} has {routes[first].priority} with the "
                    f"same service {service!r}, kind, time limit and targets",
                )


def _check_services(document: store_documents.ConfigurationDocument) -> Problems:
    named = {each for route in document.routes for each in services_of(route)}
    number_by_name: dict[str, int] = {}
    for number, service in enumerate(document.services):
        first = number_by_name.setdefault(service.name, number)
        if first != number:
            yield _CONTRADICTION, f"services.{number}.name", f"services.{first} has the same name"
        if service.name not in named:
            yield _NEVER, f"services.{number}", f"no route names service {service.name!r}"


def _check_workspaces(document: store_documents.ConfigurationDocument, window_s: float) -> Problems:
    holder_by_key: dict[str, int] = {}
    number_by_name: dict[str, int] = {}
    for number, workspace in enumerate(document.tenants or []):
        path = f"tenants.{number}"
        first = number_by_name.setdefault(workspace.name, number)
        if first != number:
            yield _CONTRADICTION, f"{path}.name", f"tenants.{first} has the same name"
        if not any(workspace.apiKeys):
            yield _NEVER, f"{path}.apiKeys", f"workspace {workspace.name!r} has no key"
        for index, key in enumerate(workspace.apiKeys):
            holder = holder_by_key.setdefault(key, number)
            if holder != number:
                yield (
                    _CONTRADICTION,
                    f"{path}.apiKeys.{index}",
                    f"tenants.{holder} holds the same key",
                )
            if not key:
                yield _NEVER, f"{path}.apiKeys.{index}", "no request has an empty key"
        yield from _check_cap(workspace, path, window_s)


def _check_cap(
    workspace: store_documents.WorkspaceDocument, path: str, window_s: float
) -> Problems:
    if workspace.unit not in _KNOWN_UNITS:
        yield _CONTRADICTION, f"{path}.unit", "counts as requests; expected requests or tokens"
    if workspace.ratePerS <= 0.0:
        if workspace.burst > 0.0:
            yield _CONTRADICTION, f"{path}.burst", "without ratePerS there is no cap"
        return
    amount = workspace.uncachedTokens if workspace.unit == "tokens" else 1.0
    most = workspace.ratePerS * window_s + workspace.burst
    if amount > most:
        yield (
            _CONTRADICTION,
            f"{path}.burst",
            f"no request fits: one is charged {amount:g}, and a window of {window_s:g} s allows "
            f"{most:g}",
        )


def _check_limits(document: store_documents.ConfigurationDocument, memory_bytes: int) -> Problems:
    limits = document.limits
    largest = request_budget.RequestBudget(request_budget.total_bytes(memory_bytes)).max_body_bytes
    if limits.maxBodyBytes > largest:
        yield (
            _CONTRADICTION,
            "limits.maxBodyBytes",
            f"{limits.maxBodyBytes} is beyond the {largest} bytes that an instance with "
            f"{memory_bytes // 1_000_000} MB can hold",
        )
    if limits.maxHeaderBytes == 0:
        yield _CONTRADICTION, "limits.maxHeaderBytes", "no request fits into 0 bytes"
