"""Compares a configuration in the form of the store item with the version in force."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Final

from carawaydoor.platform import store_documents
from carawaydoor.publishing import configuration_differences, findings

Differences = Iterator[findings.Difference]
# Keys are compared without being shown.
_HIDDEN_FIELDS: Final = frozenset({"apiKeys"})


def compare(
    before: store_documents.ConfigurationDocument, after: store_documents.ConfigurationDocument
) -> tuple[findings.Difference, ...]:
    """Return the differences between two configurations in the form of the store item."""
    return (
        *_compare_routes(before.routes, after.routes),
        *configuration_differences.compare_fields(
            "service",
            {each.name: each for each in before.services},
            {each.name: each for each in after.services},
            "its routes lose the properties of their engines",
        ),
        *configuration_differences.compare_fields(
            "limits", {"": before.limits}, {"": after.limits}, ""
        ),
        *_compare_workspaces(before, after),
    )


def _compare_routes(
    before: list[store_documents.RouteDocument], after: list[store_documents.RouteDocument]
) -> Differences:
    yield from configuration_differences.compare_fields(
        "route",
        _first_by_match(before),
        _first_by_match(after),
        "its callers get a shorter route of the host, or 404",
    )


def _first_by_match(
    routes: list[store_documents.RouteDocument],
) -> dict[str, store_documents.RouteDocument]:
    # Of several with the same host and prefix, the first one is used.
    return {f"{each.host.lower()}{each.pathPrefix}": each for each in reversed(routes)}


def _compare_workspaces(
    before: store_documents.ConfigurationDocument, after: store_documents.ConfigurationDocument
) -> Differences:
    if before.tenants is not None and after.tenants is None:
        yield findings.Difference(
            findings.Change.REMOVED, "tenants", "every caller is served, also without a key"
        )
    if before.tenants is None and after.tenants is not None:
        yield findings.Difference(
            findings.Change.ADDED, "tenants", "callers without a listed key are refused"
        )
    held_before = {each.name: each for each in before.tenants or []}
    held_after = {each.name: each for each in after.tenants or []}
    yield from configuration_differences.compare_fields(
        "workspace", held_before, held_after, "callers with its keys get 401", _HIDDEN_FIELDS
    )
    for name in held_before.keys() & held_after.keys():
        lost = len(set(held_before[name].apiKeys) - set(held_after[name].apiKeys))
        gained = len(set(held_after[name].apiKeys) - set(held_before[name].apiKeys))
        if lost:
            effect = f"{lost} of its keys are withdrawn; callers with them get 401"
            yield findings.Difference(findings.Change.CHANGED, f"workspace {name}", effect)
        if gained:
            effect = f"{gained} more keys are accepted"
            yield findings.Difference(findings.Change.CHANGED, f"workspace {name}", effect)
