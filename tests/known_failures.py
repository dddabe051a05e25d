"""Reads the tests that are known to fail from KNOWN-RED.txt."""

from __future__ import annotations

import pathlib
from typing import Final

LIST_PATH: Final = pathlib.Path(__file__).parent.parent / "KNOWN-RED.txt"
ENTRY_PREFIX: Final = "- known to fail: "


def parse(text: str) -> frozenset[str]:
    """Return the ids of the listed tests; a test without parameters stands for all of its cases."""
    return frozenset(
        line.removeprefix(ENTRY_PREFIX).split()[0]
        for line in text.splitlines()
        if line.startswith(ENTRY_PREFIX)
    )


def is_listed(test_id: str, listed: frozenset[str]) -> bool:
    """Return whether a test, or all cases of it, are listed."""
    return test_id in listed or test_id.partition("[")[0] in listed
