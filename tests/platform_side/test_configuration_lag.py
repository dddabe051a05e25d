"""What an instance serves while its peers have a newer configuration than itself."""

from __future__ import annotations

import pytest

from carawaydoor.operating import clocks
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
