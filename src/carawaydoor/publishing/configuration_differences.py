"""Compares a configuration with the version in force, by entry and by effect on callers."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from typing import Any

import pydantic

from carawaydoor.platform import store_documents
from carawaydoor.publishing import config_objects, findings

Differences = Iterator[findings.Difference]


def compare(
    before: store_documents.ConfigurationDocument, after: store_documents.ConfigurationDocument
) -> tuple[findings.Difference, ...]:
    """Return the differences between two configurations in the form of the store item."""
    return (
        *_compare_routes(before.routes, after.routes),
        *_compare_fields(
            "service",
            {each.name: each for each in before.services},
            {each.name: each for each in after.services},
            "its routes lose the properties of their engines",
        ),
        *_compare_fields("limits", {"": before.limits}, {"": after.limits}, ""),
        *_compare_workspaces(before, after),
    )


def compare_objects(
    before: Iterable[config_objects.AnyObject], after: Iterable[config_objects.AnyObject]
) -> tuple[findings.Difference, ...]:
    """Return the differences between two configuration sets of the project's own format."""
    return tuple(
        _compare_fields(
            "",
            {f"{each.kind} {each.name}": each for each in before},
            {f"{each.kind} {each.name}": each for each in after},
            "callers that use it are refused",
        )
    )


def _compare_routes(
    before: list[store_documents.RouteDocument], after: list[store_documents.RouteDocument]
) -> Differences:
    yield from _compare_fields(
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
    yield from _compare_fields(
        "workspace", held_before, held_after, "callers with its keys get 401"
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


def _compare_fields(
    kind: str,
    before: Mapping[str, pydantic.BaseModel],
    after: Mapping[str, pydantic.BaseModel],
    loss: str,
) -> Differences:
    for name in sorted(before.keys() | after.keys()):
        entry = f"{kind} {name}".strip()
        if name not in after:
            yield findings.Difference(findings.Change.REMOVED, entry, loss)
        elif name not in before:
            yield findings.Difference(findings.Change.ADDED, entry, "callers may use it")
        else:
            changes = _describe_changes(before[name].model_dump(), after[name].model_dump())
            if changes:
                yield findings.Difference(findings.Change.CHANGED, entry, ", ".join(changes))


def _describe_changes(before: dict[str, Any], after: dict[str, Any]) -> list[str]:
    # Keys are compared without being shown; digests of keys are no use to a reader either.
    return [
        f"{field} changed" if field == "sha256" else f"{field} from {before[field]} to {value}"
        for field, value in after.items()
        if field != "apiKeys" and before.get(field) != value
    ]
