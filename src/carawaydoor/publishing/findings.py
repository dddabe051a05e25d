"""What the check of a configuration reports."""

from __future__ import annotations

import dataclasses
import enum
from typing import Any


class FindingKind(enum.Enum):
    """What is wrong with an entry."""

    INVALID = "invalid"
    NEVER_USED = "never-used"
    CONTRADICTION = "contradiction"


class Change(enum.Enum):
    """How an entry differs from the version in force."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """A fault of an entry.

    :ivar path: where the entry is, such as ``routes.3.pathPrefix``
    :ivar problem: what is wrong, and what was expected, without secrets
    """

    kind: FindingKind
    file: str
    path: str
    problem: str

    def __str__(self) -> str:
        return f"{self.file}: {self.path}: {self.problem}"


@dataclasses.dataclass(frozen=True, slots=True)
class Difference:
    """An entry that differs from the version in force.

    :ivar entry: kind and name of the entry
    :ivar effect: what it means to callers, without secrets
    """

    change: Change
    entry: str
    effect: str

    def __str__(self) -> str:
        return f"{self.entry}: {self.change.value}: {self.effect}"


def to_document(
    findings: tuple[Finding, ...], differences: tuple[Difference, ...]
) -> dict[str, Any]:
    """Return the report in a form for scripts."""
    return {
        "findings": [{**dataclasses.asdict(each), "kind": each.kind.value} for each in findings],
        "differences": [
            {**dataclasses.asdict(each), "change": each.change.value} for each in differences
        ],
    }
