"""What an instance serves while its peers have a newer configuration than itself."""

from __future__ import annotations

import pytest

from carawaydoor.operating import clocks, platform_options
from carawaydoor.policy import freshness
from tests.platform_side import harness_fleet, router_harness
from tests.policy import builders

ADDED = builders.route(path_prefix="/added/")
ALL_ROUTES = (router_harness.SAFE, router_harness.OPEN)


@pytest.fixture
def fleet():
    with harness_fleet.running(3, clocks.SystemClock()) as running:
        running.add_upstream("a")
        running.serve_peers()
        running.exchange_reports()
        yield running


def cut_off_with_a_newer_configuration(fleet, *routes):
    member = fleet.members[0]
    fleet.cut(0, harness_fleet.Cut.REFUSED)
    for _ in range(2):
        member.call("/safe/x").read()
    member.configure(*routes, revision=2)
    fleet.exchange_reports()
    return member


def requests_at_upstreams(fleet, path):
    return sum(path in each.target for each in fleet.members[0].upstreams["a"].received)


# Regression: a request that an instance passed on was judged by the older configuration of the peer.
@pytest.mark.parametrize("path", ["/added/x", "/safe/x"])
def test_peer_with_an_older_configuration_does_not_serve_a_request_passed_on(fleet, path):
    fleet.exchange_reports()
    member = cut_off_with_a_newer_configuration(fleet, ADDED, *ALL_ROUTES)
    before = requests_at_upstreams(fleet, path)
    assert member.call(path).read().status == 503
    assert requests_at_upstreams(fleet, path) == before
    fleet.members[2].configure(ADDED, *ALL_ROUTES, revision=2)
    fleet.exchange_reports()
    assert member.call(path).read().status == 200
    assert requests_at_upstreams(fleet, path) == before + 1


class LateInstance:
    """An instance on a paused clock that hears of a newer configuration, and lacks it."""

    def __init__(self):
        self.clock = clocks.ManualClock()
        self.bounds = platform_options.Bounds(
            5.0, 8.0, 0.2, 54.0, 10.0, 4.0, 8.0, 0.25, 3.0, configuration_s=3.0
        )
        self.harness = router_harness.RouterHarness(self.clock, "late", bounds=self.bounds)
        self.peer = router_harness.RouterHarness(self.clock, "peer", bounds=self.bounds)
        self.harness.instance.source.revision = self.peer.instance.source.revision = 1

    def hear(self):
        report, _, _ = self.peer.instance.compose_report()
        self.harness.instance.handle_report(report)

    def hear_of_a_newer_configuration(self):
        self.peer.configure(ADDED, *ALL_ROUTES, revision=2)
        self.hear()

    def confirm(self):
        self.harness.instance.confirm_revision(1, self.clock.now_s())


@pytest.fixture
def late():
    return LateInstance()


# Regression: an instance that knew of a newer configuration answered 404 and 401 by its own.
@pytest.mark.parametrize(
    "path, key, status", [("/added/x", router_harness.KEY, 404), ("/safe/x", "key-2", 401)]
)
def test_request_that_a_newer_configuration_may_allow_is_refused_for_now(late, path, key, status):
    late.hear()
    assert late.harness.call(path, key=key).read().status == status
    late.hear_of_a_newer_configuration()
    response = late.harness.call(path, key=key).read()
    assert response.status == 503
    assert float(response.headers["retry-after"]) > 0.0
    late.harness.instance.source.revision = 2
    assert late.harness.call(path, key=key).read().status == status


# Regression: an instance went on to serve by a configuration that was known to be replaced.
def test_instance_that_stays_behind_serves_no_longer(late):
    late.hear_of_a_newer_configuration()
    late.harness.add_upstream("a")
    assert late.harness.instance.is_ready
    assert late.harness.call("/safe/x").read().status == 200
    late.clock.advance(freshness.MAX_BEHIND_SHARE * late.bounds.configuration_s + 0.01)
    late.confirm()
    assert late.harness.call("/safe/x").read().status == 503
    assert late.harness.call("/open/x", key=None).read().status == 503
    assert not late.harness.instance.is_ready
    late.harness.instance.source.revision = 2
    late.confirm()
    assert late.harness.call("/safe/x").read().status == 200
    late.harness.upstreams["a"].stop()
