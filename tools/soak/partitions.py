"""Compares callers of instances that were cut off from all upstreams with those of the others."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import Final

from tools.soak import callers, soak_environment

# From then on the requests of a cut instance count.
NOTICE_S: Final = 3.0
# A stopped instance refuses requests until it exits, and starts after that.
UNDISTURBED_BEFORE_S: Final = NOTICE_S + soak_environment.SHUTDOWN_GRACE_S
MIN_SERVED_SHARE: Final = 2.0 / 3.0
TOLERATED_FAILURES: Final = 10
REQUESTS_PER_FURTHER_FAILURE: Final = 50
MIN_REQUESTS: Final = 12
_SUCCESS: Final = 200


def find_badly_served(
    environment: soak_environment.SoakEnvironment, outcomes: Iterable[callers.Outcome]
) -> Iterator[str]:
    """Yield partitions in which callers of the cut instance were served far worse than the others."""
    known = list(outcomes)
    cut_off = {each.instance for each in environment.partitions}
    for each in environment.partitions:
        counted = [
            outcome
            for outcome in known
            if each.began_s + NOTICE_S <= outcome.sent_s
            and outcome.ended_s <= each.ended_s
            and not outcome.resumes
            # Faults of upstreams and the store affect both groups alike.
            and environment.fault_history.was_running(
                outcome.instance, each.began_s - UNDISTURBED_BEFORE_S, outcome.ended_s
            )
        ]
        here = [
            outcome.status == _SUCCESS for outcome in counted if outcome.instance == each.instance
        ]
        others = [
            outcome.status == _SUCCESS for outcome in counted if outcome.instance not in cut_off
        ]
        if len(here) < MIN_REQUESTS or len(others) < MIN_REQUESTS:
            continue
        share, other_share = sum(here) / len(here), sum(others) / len(others)
        failures = len(here) - sum(here)
        allowed = TOLERATED_FAILURES + len(here) / REQUESTS_PER_FURTHER_FAILURE
        if share < MIN_SERVED_SHARE * other_share and failures > allowed:
            yield (
                f"{each.instance} without upstreams served {sum(here)} of {len(here)} requests, "
                f"the others {sum(others)} of {len(others)}"
            )
