"""Demand for decode memory reaches peers of any build, and only from those that reported lately."""

from __future__ import annotations

import dataclasses
import math

import pytest

from carawaydoor.fleet import codec, gossip, peer_demand, report_structs, reports
from carawaydoor.policy import urgency
from tests.policy import test_gossip

DEMAND = urgency.Demand("planner", 0, 9000.0, 800.0, 70.0, 6000.0)


def membership(demands_by_peer, now_s=100.0):
    state = gossip.Membership("m", {})
    for name, demands in demands_by_peer.items():
        report = test_gossip.report(name, demands=demands)
        state, _ = gossip.apply_report(state, now_s, report)
    return state


def test_reports_of_earlier_builds_say_nothing_and_they_skip_the_field(monkeypatch):
    """Builds from before and after a change run side by side."""
    report = test_gossip.report(demands=(DEMAND,))
    content = codec.encode(report)
    assert codec.decode(content) == report
    earlier = report_structs.Report.thrift_spec.copy()
    del earlier[32]
    with monkeypatch.context() as patched:
        patched.setattr(report_structs.Report, "thrift_spec", earlier)
        decoded = codec.decode(content)
        without = codec.encode(report)
    assert dataclasses.replace(decoded, demands=(DEMAND,)) == report
    assert codec.decode(without).demands is None


@pytest.mark.parametrize(
    "changes",
    [
        {"service": None},
        {"priority": None},
        {"arrived_per_s": None},
        {"short_per_s": -1.0},
        {"refused_per_s": math.nan},
        {"waiting_tokens": math.inf},
        {"arrived_per_s": 1e30},
    ],
)
def test_absurd_demand_is_ignored_on_its_own(changes):
    report = test_gossip.report(demands=(dataclasses.replace(DEMAND, **changes), DEMAND))
    assert codec.decode(codec.encode(report)).demands == (DEMAND,)


def test_reported_demands_are_bounded_and_those_short_of_room_come_first():
    many = [urgency.Demand(f"s{each}", 5, 1.0) for each in range(100)]
    reported = urgency.to_report([*many, DEMAND, urgency.Demand("idle", 1)])
    assert (len(reported), reported[0]) == (urgency.MAX_REPORTED, DEMAND)


def test_demand_of_a_large_fleet_is_extrapolated_from_recent_reports():
    state = membership({f"i{each:03}": (DEMAND,) for each in range(200)}, 100.0)
    for each in range(50):
        report = test_gossip.report(f"i{each:03}", 2, demands=(DEMAND,))
        state, _ = gossip.apply_report(state, 105.0, report)
    assert gossip.count_live_and_known(state, 105.0)[0] == 201
    assert peer_demand.total(state, 105.0)[0].arrived_per_s == pytest.approx(200 * 9000.0)


def test_demand_is_forgotten_though_work_reports_go_on():
    """Work reports renew the time of a peer's last report, but don't say anything of demand."""
    state = membership({"p": (DEMAND,)})
    assert peer_demand.total(state, 101.0) == (DEMAND,)
    for sequence in range(2, 8):
        work = reports.WorkReport("p", 5, sequence, {})
        state, _ = gossip.apply_work_report(state, 100.0 + sequence / 2, work)
    assert peer_demand.total(state, 103.0) == ()


def test_peers_of_earlier_builds_count_like_the_others():
    state = membership({"p": (DEMAND,), "q": None})
    assert peer_demand.total(state, 100.5)[0].arrived_per_s == 18_000.0


def test_demand_by_rank_includes_priorities_that_only_peers_know():
    demands = [DEMAND, urgency.Demand("planner", 7, 1.0), urgency.Demand("other", 5, 1.0)]
    found = urgency.by_rank("planner", (0, 5, 9), demands)
    assert [each.arrived_per_s for each in found] == [9000.0, 0.0, 1.0]
