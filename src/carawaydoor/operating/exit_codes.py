"""Exit codes of the command-line tool and the daemons."""

from __future__ import annotations

import enum


class ExitCode(enum.IntEnum):
    """Exit code of a process."""

    OK = 0
    FAULTS_FOUND = 1
    USAGE = 2
    INVALID_SETTINGS = 3
    UNREACHABLE = 4
    OUTCOME_DIFFERS = 5
