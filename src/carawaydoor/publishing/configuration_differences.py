"""Compares configurations by entry and by effect on callers."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from typing import Any

import pydantic

from carawaydoor.publishing import config_objects, findings

Differences = Iterator[findings.Difference]


def compare_objects(
    before: Iterable[config_objects.AnyObject], after: Iterable[config_objects.AnyObject]
) -> tuple[findings.Difference, ...]:
    """Return the differences between two configuration sets of the project's own format."""
    return tuple(
        compare_fields(
            "",
            {f"{each.kind} {each.name}": each for each in before},
            {f"{each.kind} {each.name}": each for each in after},
            "callers that use it are refused",
        )
    )


def compare_fields(
    kind: str,
    before: Mapping[str, pydantic.BaseModel],
    after: Mapping[str, pydantic.BaseModel],
    loss: str,
    hidden_fields: frozenset[str] = frozenset(),
) -> Differences:
    """Yield the differences between entries by name.

    :param loss: what the removal of an entry means to callers
    :param hidden_fields: fields that are not shown, such as keys
    """
    for name in sorted(before.keys() | after.keys()):
        entry = f"{kind} {name}".strip()
        if name not in after:
            yield findings.Difference(findings.Change.REMOVED, entry, loss)
        elif name not in before:
            yield findings.Difference(findings.Change.ADDED, entry, "callers may use it")
        else:
            changes = _describe_changes(
                before[name].model_dump(), after[name].model_dump(), hidden_fields
            )
            if changes:
                yield findings.Difference(findings.Change.CHANGED, entry, ", ".join(changes))


def _describe_changes(
    before: dict[str, Any], after: dict[str, Any], hidden_fields: frozenset[str]
) -> list[str]:
    # Digests of keys are no use to a reader.
    return [
        f"{field} changed" if field == "sha256" else f"{field} from {before[field]} to {value}"
        for field, value in after.items()
        if field not in hidden_fields and before.get(field) != value
    ]
