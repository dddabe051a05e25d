"""Instances tell each other which upstreams fail, so that not each of them loses a request."""

from __future__ import annotations

import dataclasses

import pytest

from carawaydoor.operating import clocks
from carawaydoor.policy import entities, health, upstream_directory
from tests.platform_side import harness_fleet

FLEET_SIZE = 6
CALLS = 10


def failures_at(member, name):
    """Return whether a call of an instance to an upstream has failed."""
    known = member.instance.selector.health.get(name)
    return known is not None and known.failure_rate > 0.0


@pytest.fixture
def fleet():
    with harness_fleet.running(FLEET_SIZE, clocks.ManualClock()) as running:
        yield running


def test_peers_leave_out_an_upstream_that_one_instance_could_not_reach(fleet):
    """A crashed upstream has no load, and every instance sent its next request there."""
    for name in ("a", "b", "c"):
        fleet.add_upstream(name)
    fleet.exchange_reports()
    fleet.members[0].upstreams["a"].stop()
    first, *others = fleet.members
    for _ in range(CALLS):
        assert first.call("/safe/x").read().status == 200
    assert failures_at(first, "a")
    fleet.exchange_reports()
    for member in others:
        for _ in range(CALLS):
            assert member.call("/safe/x").read().status == 200
    assert [each for each in others if failures_at(each, "a")] == []


def test_peers_leave_out_an_engine_that_accepts_no_connections(fleet):
    """Each instance waited for the same engine until its own attempt had timed out."""
    dark = fleet.add_upstream("d-0", entities.Stage.DECODE)
    fleet.add_upstream("d-1", entities.Stage.DECODE)
    fleet.add_upstream("d-2", entities.Stage.DECODE)
    fleet.add_upstream("p", entities.Stage.PREFILL)
    first, *others = fleet.members
    entry = first.instance.directory.upstream_by_id["d-0"]
    fleet.exchange_reports()
    first.instance.selector.record_outcome(entry, health.Outcome.UNREACHABLE)
    for member in others:
        # The clock stands still, so that the load of earlier calls is not the reason.
        fleet.exchange_reports()
        assert member.stream().read().status == 200
    assert dark.received == []


def test_new_incarnation_does_not_inherit_the_failures_of_the_one_before(fleet):
    for name in ("a", "b", "c"):
        fleet.add_upstream(name)
    fleet.members[0].upstreams["a"].stop()
    first, second, *_ = fleet.members
    for _ in range(CALLS):
        first.call("/safe/x").read()
    fleet.exchange_reports()
    second.call("/safe/x").read()
    assert second.instance.selector.failing_peers() == {"a"}
    entry = second.instance.directory.upstream_by_id["a"]
    successor = dataclasses.replace(entry, born_ms=entry.born_ms + 1)
    second.instance.update_directory(upstream_directory.Changes({"a": successor}, 2))
    assert second.instance.selector.failing_peers() == frozenset()


def test_upstream_that_has_recovered_is_used_again_by_all(fleet):
    """Evidence of peers must not keep a sound upstream from getting requests."""
    recovered = fleet.add_upstream("a")
    for name in ("b", "c"):
        fleet.add_upstream(name)
    entry = fleet.members[0].instance.directory.upstream_by_id["a"]
    fleet.members[0].instance.selector.record_outcome(entry, health.Outcome.UNREACHABLE)
    seen_again = set()
    for _ in range(200):
        fleet.clock.advance(0.25)
        fleet.exchange_reports()
        member = fleet.any_member()
        before = len(recovered.received)
        assert member.call("/safe/x").read().status == 200
        if len(recovered.received) > before:
            seen_again.add(member.instance.options.instance)
    assert len(seen_again) >= FLEET_SIZE - 1, "the one that saw it fail prefers others for longer"
