"""Reports fit into a datagram however many upstreams name limits, turn requests away or leave.

A report that does not fit is not sent at all, so that peers learn nothing of the instance.
"""

from __future__ import annotations

import pytest

from carawaydoor.fleet import codec, transport
from carawaydoor.operating import clocks
from carawaydoor.policy import upstream_directory
from tests.platform_side import router_harness
from tests.policy import builders

COUNT = 3000


@pytest.fixture
def harness():
    with router_harness.running(clocks.ManualClock()) as running:
        upstreams = {
            f"upstream-{number:05}": builders.upstream(
                f"upstream-{number:05}", address=f"10.0.{number // 250}.{number % 250}:80"
            )
            for number in range(COUNT)
        }
        running.instance.update_directory(upstream_directory.Changes(upstreams, 1))
        yield running


def sizes(harness):
    reports = (harness.instance.compose_report()[0], harness.instance.compose_work_report()[0])
    return [len(codec.encode(each)) for each in reports]


def upstreams_of(harness):
    return tuple(harness.instance.directory.upstream_by_id.values())


def test_reports_with_many_limits_fit(harness):
    for each in upstreams_of(harness):
        harness.instance.upstream_limiter.record_text(each, "2.5", harness.clock.now_s())
    assert max(sizes(harness)) < transport.MAX_DATAGRAM_BYTES / 4
    reported = set()
    harness.clock.advance(5.0)
    for _ in range(COUNT):
        reported.update(each.upstream for each in harness.instance.upstream_limiter.share())
    assert len(reported) == COUNT, "all have their turn"


def test_reports_with_many_upstreams_that_turn_requests_away_fit(harness):
    for each in upstreams_of(harness):
        harness.instance.selector.turned_away.record(each, 30.0)
    assert max(sizes(harness)) < transport.MAX_DATAGRAM_BYTES / 4


def test_reports_with_many_leaving_upstreams_fit(harness):
    for each in upstreams_of(harness):
        harness.instance.update_directory(upstream_directory.SaidLeaving(each.id, each.born_ms))
    assert max(sizes(harness)) < transport.MAX_DATAGRAM_BYTES / 4
