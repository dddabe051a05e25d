"""What was done to a run and when, so that promises are judged only where they bind."""

from __future__ import annotations

import dataclasses

# Stands for every instance or every upstream.
ALL = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Disturbance:
    """Something that was harmed for a time; ``began_s`` and ``ended_s`` are on the soak's clock."""

    target: str
    began_s: float
    ended_s: float


class FaultHistory:
    """Disturbances of one run, and the signals to stop."""

    def __init__(self) -> None:
        self.disturbances: list[Disturbance] = []
        self.stopped_s_by_instance: dict[str, list[float]] = {}

    def disturb(self, target: str, began_s: float, lasting_s: float) -> None:
        """Note that a target is harmed."""
        self.disturbances.append(Disturbance(target, began_s, began_s + lasting_s))

    def stop(self, instance: str, at_s: float) -> None:
        """Note a signal to stop."""
        self.stopped_s_by_instance.setdefault(instance, []).append(at_s)

    def is_calm(self, targets: set[str], from_s: float, until_s: float) -> bool:
        """Return whether none of some targets was harmed in a span of time."""
        return not any(
            each.began_s <= until_s and each.ended_s >= from_s
            for each in self.disturbances
            if each.target in targets or each.target == ALL
        )

    def last_stop_s(self, instance: str, before_s: float) -> float | None:
        """Return when an instance was last told to stop before a time."""
        earlier = [each for each in self.stopped_s_by_instance.get(instance, ()) if each < before_s]
        return max(earlier, default=None)
