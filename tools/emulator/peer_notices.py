"""``python -m tools.emulator.peer_notices``: what peers should do about an upstream that troubles one.

Emulates a fleet before plain upstreams of which one is in trouble for some seconds. Either it has fewer
slots and turns requests beyond them away with ``Retry-After``, or it accepts no connections. For each way to
treat what peers report, prints what the upstream got and what became of the requests.
"""

from __future__ import annotations

import dataclasses
import enum
import heapq
import random
from collections.abc import Callable
from typing import Final

from carawaydoor.policy import entities, health, load, peer_evidence, placement

DOMAIN: Final = "a"
SERVICE: Final = "bookings"
UPSTREAMS: Final = 4
SLOTS: Final = 6
SERVICE_TIME_S: Final = 0.09
# Part of the slots of all upstreams that is in use on average.
UTILIZATION: Final = 0.55
TROUBLED: Final = "u-0"
TROUBLE_FROM_S: Final = 5.0
TROUBLE_UNTIL_S: Final = 15.0
DURATION_S: Final = 20.0
SLOTS_IN_TROUBLE: Final = 2
RETRY_AFTER_S: Final = 1.0
# An attempt to connect is given up after this time.
ATTEMPT_TIMEOUT_S: Final = 0.5
FLEET_SIZES: Final = (8, 85, 710)
REPORT_AGES_S: Final = (0.1, 0.5)


class Trouble(enum.Enum):
    """What is wrong with the upstream."""

    FULL = "turns away"
    UNREACHABLE = "unreachable"


class Reaction(enum.Enum):
    """What instances do with an upstream that has turned a peer away, or failed it."""

    NOTHING = "nothing"
    PREFER_OTHERS = "prefer others"
    SEND_NONE = "send none"


@dataclasses.dataclass(slots=True)
class Result:
    """What came of one run, counted while the upstream was in trouble.

    :ivar served_by_troubled: requests that the upstream in trouble ran
    :ivar vain_attempts: requests that it turned away or left unanswered
    :ivar refused: requests for which no upstream was left
    """

    requests: int = 0
    served_by_troubled: int = 0
    vain_attempts: int = 0
    refused: int = 0


@dataclasses.dataclass(slots=True)
class _Instance:
    """What one instance knows from its own calls."""

    own: dict[str, load.Work]
    health: health.Health
    turned_away_until_s: float = 0.0
    next_trial_s: float = 0.0


class Emulation:
    """One run with one kind of trouble and one reaction.

    Peers are known as they were at the last report; all reports come at the same interval.
    """

    def __init__(
        self, size: int, report_age_s: float, trouble: Trouble, reaction: Reaction
    ) -> None:
        self.result = Result()
        self._report_age_s = report_age_s
        self._trouble = trouble
        self._reaction = reaction
        self._draws = random.Random(1)
        self._upstreams = tuple(
            entities.Upstream(
                f"u-{number}", SERVICE, "host", number, DOMAIN, SLOTS, entities.Stage.NONE, False, 1
            )
            for number in range(UPSTREAMS)
        )
        self._instances = [_Instance({}, {}) for _ in range(size)]
        self._busy = {each.id: 0 for each in self._upstreams}
        self._reported_busy = dict(self._busy)
        self._reported_until_s = 0.0
        self._reported_failures: dict[entities.Incarnation, float] = {}
        self._ends: list[tuple[float, int, Callable[[], None]]] = []

    def run(self) -> Result:
        """Have requests come at random times and return the result."""
        rate_per_s = UTILIZATION * SLOTS * UPSTREAMS / SERVICE_TIME_S
        now_s, next_report_s, number = 0.0, 0.0, 0
        while (now_s := now_s + self._draws.expovariate(rate_per_s)) < DURATION_S:
            while self._ends and self._ends[0][0] <= now_s:
                heapq.heappop(self._ends)[2]()
            if now_s >= next_report_s:
                next_report_s = now_s + self._report_age_s
                self._report(now_s)
            number += 1
            self._serve(now_s, number, self._draws.choice(self._instances))
        return self.result

    def _report(self, now_s: float) -> None:
        self._reported_busy = dict(self._busy)
        self._reported_until_s = max(each.turned_away_until_s for each in self._instances)
        reported = [
            (DOMAIN, now_s, peer_evidence.to_report(each.health, now_s, self._upstreams))
            for each in self._instances
            if each.health
        ]
        self._reported_failures = peer_evidence.combine(reported, DOMAIN, now_s)

    def _serve(self, now_s: float, number: int, instance: _Instance) -> None:
        is_counted = TROUBLE_FROM_S <= now_s < TROUBLE_UNTIL_S
        self.result.requests += is_counted
        excluded: set[str] = set()
        while True:
            upstream = placement.choose_plain(self._context(now_s, instance), SERVICE, excluded)
            if upstream is None:
                self.result.refused += is_counted
                return
            if self._accepts(now_s, upstream.id):
                self.result.served_by_troubled += is_counted and upstream.id == TROUBLED
                self._start(now_s, number, instance, upstream.id)
                return
            self.result.vain_attempts += is_counted
            excluded.add(upstream.id)
            if self._trouble is Trouble.FULL:
                instance.turned_away_until_s = now_s + RETRY_AFTER_S
                continue
            # The caller's time for this attempt has passed; the next one is not emulated.
            self._schedule_failure(now_s, number, instance)
            return

    def _accepts(self, now_s: float, upstream: str) -> bool:
        if upstream != TROUBLED or not TROUBLE_FROM_S <= now_s < TROUBLE_UNTIL_S:
            return True
        return self._trouble is Trouble.FULL and self._busy[upstream] < SLOTS_IN_TROUBLE

    def _context(self, now_s: float, instance: _Instance) -> placement.PlacementContext:
        is_left_out = now_s < instance.turned_away_until_s
        turning_peers_away: frozenset[str] = frozenset()
        failing_peers: frozenset[str] = frozenset()
        if now_s < self._reported_until_s:
            turning_peers_away = frozenset({TROUBLED})
        if now_s < instance.next_trial_s:
            failing_peers = peer_evidence.outweighing(self._reported_failures, instance.health)
        else:
            draw, size = self._draws.random(), len(self._instances)
            instance.next_trial_s = peer_evidence.next_trial_s(now_s, draw, size)
        match self._reaction:
            case Reaction.NOTHING:
                turning_peers_away = failing_peers = frozenset()
            case Reaction.SEND_NONE:
                is_left_out |= bool(turning_peers_away | failing_peers)
        peers = {
            key: load.Work(max(0, count - instance.own.get(key, load.Work()).requests))
            for key, count in self._reported_busy.items()
        }
        usable = tuple(
            each for each in self._upstreams if not (is_left_out and each.id == TROUBLED)
        )
        return placement.PlacementContext(
            now_s,
            DOMAIN,
            usable,
            load.Load(instance.own, peers),
            instance.health,
            self._report_age_s / 2.0,
            self._draws.getrandbits(32),
            0.0,
            turning_peers_away,
            failing_peers,
        )

    def _start(self, now_s: float, number: int, instance: _Instance, upstream: str) -> None:
        self._add_load(instance, upstream, 1)

        def end() -> None:
            self._add_load(instance, upstream, -1)
            instance.health = health.record_outcome(
                instance.health, end_s, upstream, health.Outcome.ANSWERED
            )

        # An upstream with more requests than slots works on each of them for longer.
        end_s = now_s + SERVICE_TIME_S * max(1.0, self._busy[upstream] / SLOTS)
        heapq.heappush(self._ends, (end_s, number, end))

    def _schedule_failure(self, now_s: float, number: int, instance: _Instance) -> None:
        end_s = now_s + ATTEMPT_TIMEOUT_S
        self._add_load(instance, TROUBLED, 1)

        def fail() -> None:
            self._add_load(instance, TROUBLED, -1)
            instance.health = health.record_outcome(
                instance.health, end_s, TROUBLED, health.Outcome.UNREACHABLE
            )

        heapq.heappush(self._ends, (end_s, number, fail))

    def _add_load(self, instance: _Instance, upstream: str, count: int) -> None:
        self._busy[upstream] += count
        own = instance.own.get(upstream, load.Work())
        instance.own = {**instance.own, upstream: load.Work(own.requests + count)}


def main() -> None:
    """Print a row for each case."""
    capacity = SLOTS_IN_TROUBLE / SERVICE_TIME_S * (TROUBLE_UNTIL_S - TROUBLE_FROM_S)
    for trouble in Trouble:
        print(f"{trouble.value}: size report_age_s | reaction: used part, vain attempts, refused")
        for size in FLEET_SIZES:
            for age_s in REPORT_AGES_S:
                columns = []
                for reaction in Reaction:
                    result = Emulation(size, age_s, trouble, reaction).run()
                    used = result.served_by_troubled / capacity
                    vain, refused = (
                        each / result.requests for each in (result.vain_attempts, result.refused)
                    )
                    columns.append(f"{reaction.value}: {used:.2f} {vain:.3f} {refused:.3f}")
                print(f"{size:4} {age_s:4} | {'  '.join(columns)}")


if __name__ == "__main__":
    main()
