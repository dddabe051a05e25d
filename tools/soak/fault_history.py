"""Records injected faults, so that a guarantee is checked only while no fault suspends it."""

from __future__ import annotations

import dataclasses

# Target of a fault that may affect any instance or upstream.
ALL_TARGETS = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Disturbance:
    """The time span of a fault at one target, on the monotonic clock of the soak process."""

    target: str
    started_s: float
    ended_s: float


class FaultHistory:
    """Disturbances and shutdown signals of one run."""

    def __init__(self) -> None:
        self.disturbances: list[Disturbance] = []
        self.stopped_s_by_instance: dict[str, list[float]] = {}

    def record_disturbance(self, target: str, started_s: float, duration_s: float) -> None:
        """Record that a fault affects a target from ``started_s`` on."""
        self.disturbances.append(Disturbance(target, started_s, started_s + duration_s))

    def record_stop(self, instance: str, at_s: float) -> None:
        """Record that an instance was sent the signal to shut down."""
        self.stopped_s_by_instance.setdefault(instance, []).append(at_s)

    def is_undisturbed(self, targets: set[str], from_s: float, until_s: float) -> bool:
        """Return whether no fault affected any of the targets in a time span."""
        return not any(
            each.started_s <= until_s and each.ended_s >= from_s
            for each in self.disturbances
            if each.target in targets or each.target == ALL_TARGETS
        )

    def was_running(self, instance: str, from_s: float, until_s: float) -> bool:
        """Return whether an instance was not paused, killed or told to stop in a time span."""
        stops = self.stopped_s_by_instance.get(instance, ())
        return not any(from_s <= each <= until_s for each in stops) and not any(
            each.started_s <= until_s and each.ended_s >= from_s
            for each in self.disturbances
            if each.target == instance
        )

    def last_stop_s(self, instance: str, before_s: float) -> float | None:
        """Return the time of the last shutdown signal to an instance before ``before_s``."""
        earlier = [each for each in self.stopped_s_by_instance.get(instance, ()) if each < before_s]
        return max(earlier, default=None)
