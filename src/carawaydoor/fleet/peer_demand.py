"""Demand for decode memory at the peers of an instance, by what they last reported."""

from __future__ import annotations

from typing import Final

from carawaydoor.fleet import gossip
from carawaydoor.policy import urgency

# A report covers two seconds, and demand that has ended should be forgotten within some more. In a
# fleet of more than 120, only a part of the peers reports within this time.
MAX_REPORT_AGE_S: Final = 2.5


def total(membership: gossip.Membership, now_s: float) -> tuple[urgency.Demand, ...]:
    """Return the demand at all peers, extrapolated from those that have reported it lately."""
    # Work reports don't carry demand, so only full reports count.
    recent = [
        each.report.demands
        for each in membership.peer_by_instance.values()
        if each.report is not None
        and each.report.demands is not None
        and each.learned_s >= now_s - MAX_REPORT_AGE_S
    ]
    if not recent:
        return ()
    live, _ = gossip.count_live_and_known(membership, now_s)
    factor = max(1.0, (live - 1) / len(recent))
    return urgency.total((each for demands in recent for each in demands), factor)
