"""Exit codes of both programs."""

from __future__ import annotations

import enum


class ExitCode(enum.IntEnum):
    """What a program's exit code says."""

    OK = 0
    FAULTS_FOUND = 1
    USAGE = 2
    INVALID_SETTINGS = 3
    UNREACHABLE = 4
    OUTCOME_DIFFERS = 5
