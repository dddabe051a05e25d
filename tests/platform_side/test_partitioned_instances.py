"""An instance that reaches no upstream serves its callers by a peer that does.

Regression: instances that had lost their links to all upstreams refused their callers, or let them
wait in vain, while their peers served.
"""

from __future__ import annotations

import dataclasses
import socket
import threading
import time

import pytest

from carawaydoor.fleet import gossip, reports
from carawaydoor.operating import clocks
from carawaydoor.platform import names
from carawaydoor.policy import entities
from carawaydoor.serving import connections
from tests.platform_side import harness_fleet, router_harness
from tests.platform_side.fake_upstream import Behaviour

PREFILL, DECODE = entities.Stage.PREFILL, entities.Stage.DECODE
CALLS = 12
MIN_SERVED = CALLS * 2 // 3


@pytest.fixture
def fleet():
    with harness_fleet.running(3, clocks.SystemClock()) as running:
        for name in ("a", "b", "c"):
            running.add_upstream(name)
        running.add_upstream("p", PREFILL)
        for name in ("d", "e", "f"):
            running.add_upstream(name, DECODE)
        running.serve_peers()
        running.exchange_reports()
        for member in running.members:
            assert call(member, "/safe/x", "warm").status == 200
            assert call(member, "/stream/x", "warm").status == 200
        running.exchange_reports()
        yield running


def call(member, path, request_id, **kwargs):
    headers = {names.Header.REQUEST_ID: request_id}
    if path.startswith(("/stream", "/resumable")):
        return member.stream(path, headers=headers, **kwargs).read()
    method = "POST" if path.startswith("/unsafe") else "GET"
    return member.call(path, method=method, headers=headers, **kwargs).read()


def wait_until(condition):
    """Return whether a condition holds within some rounds of probes."""
    deadline_s = time.monotonic() + 3.0
    while not condition() and time.monotonic() < deadline_s:
        time.sleep(0.02)
    return bool(condition())


def runs(fleet, request_id):
    """Return how often a request reached upstreams that run it."""
    return sum(
        each.header(names.Header.REQUEST_ID) == request_id
        for upstream in fleet.members[0].upstreams.values()
        for each in upstream.received
        if not each.header(names.Header.STAGE)
    )


@pytest.mark.parametrize("how", harness_fleet.Cut)
@pytest.mark.parametrize("path", ["/safe/x", "/unsafe/x", "/stream/x", "/resumable/x"])
def test_callers_of_an_instance_without_upstreams_are_served(fleet, path, how):
    fleet.cut(0, how)
    call(fleet.members[0], path, "finds-out")
    fleet.exchange_reports()
    responses = []
    for number in range(CALLS):
        fleet.exchange_reports()
        responses.append(call(fleet.members[0], path, f"r-{number}"))
    served = [each for each in responses if each.status == 200 and not each.is_truncated]
    assert len(served) >= MIN_SERVED
    assert [runs(fleet, f"r-{n}") for n in range(CALLS)] == [1] * CALLS


@pytest.mark.parametrize("path", ["/safe/x", "/unsafe/x", "/stream/x"])
def test_request_is_refused_at_once_if_all_instances_are_without_upstreams(fleet, path):
    for number in range(3):
        fleet.cut(number, harness_fleet.Cut.REFUSED)
        for attempt in range(2):
            call(fleet.members[number], path, f"finds-out-{attempt}")
    fleet.exchange_reports()
    began_s = time.monotonic()
    response = call(fleet.members[0], path, "r")
    assert response.status == 503
    assert time.monotonic() - began_s < 0.5
    assert runs(fleet, "r") == 0


def test_request_is_not_suspected_of_crashes_by_an_instance_that_was_cut_off(fleet):
    """Refused connections look like a crash, but here those to all upstreams were refused."""
    member = fleet.members[0]
    for name in ("a", "b", "c"):
        fleet.members[0].upstreams[name].behaviours = [Behaviour.RESET]
    pool, connections_made = member.instance.connection_pool, []
    connect = pool.acquire

    def acquire(upstream, *args, **kwargs):
        if connections_made:
            raise connections.NoListenerError("refused by the test")
        connections_made.append(upstream.id)
        return connect(upstream, *args, **kwargs)

    pool.acquire = acquire
    assert call(member, "/unsafe/x", "r").status == 502
    struck = member.instance.crash_guard.share().strikes
    assert struck == ()


def find_out(member):
    """Have an instance notice that it is cut off from both services."""
    for path in ("/safe/x", "/stream/x"):
        call(member, path, "finds-out")
    assert wait_until(lambda: len(member.instance.reach.cut_off_services()) == 2)


def test_instance_is_not_ready_while_neither_it_nor_a_peer_reaches_upstreams(fleet):
    first, *others = fleet.members
    fleet.cut(0, harness_fleet.Cut.REFUSED)
    find_out(first)
    fleet.exchange_reports()
    assert first.instance.is_ready
    for number, member in enumerate(others, start=1):
        fleet.cut(number, harness_fleet.Cut.REFUSED)
        find_out(member)
    fleet.exchange_reports()
    assert not first.instance.is_ready
    fleet.heal(0)
    assert wait_until(lambda: first.instance.is_ready)


def test_upstream_that_joins_is_used_at_once():
    """The only upstream of a service has crashed, which looks like a partition."""
    with router_harness.running() as harness:
        harness.add_upstream("a").stop()
        assert call(harness, "/safe/x", "finds-out").status == 503
        assert wait_until(lambda: harness.instance.reach.is_cut_off("bookings"))
        harness.add_upstream("n")
        assert call(harness, "/safe/x", "r").status == 200


def test_request_is_not_called_not_run_after_its_hop_has_broken(fleet):
    """The peer may have sent it to an upstream before its connection broke."""
    fleet.cut(0, harness_fleet.Cut.REFUSED)
    assert call(fleet.members[0], "/unsafe/x", "finds-out").status == 200
    instance = fleet.members[0].instance
    with socket.create_server(("127.0.0.9", instance.options.first_port)) as server:
        threading.Thread(target=lambda: server.accept()[0].close(), daemon=True).start()
        peer = instance.membership.peer_by_instance["m-1"]
        broken = dataclasses.replace(peer, contact=reports.Contact("m-1", "127.0.0.9"))
        broken = dataclasses.replace(
            broken, report=dataclasses.replace(peer.report, contact=broken.contact)
        )
        instance.membership = gossip.Membership("m-0", {"m-1": broken})
        assert call(fleet.members[0], "/unsafe/x", "r").status == 502


def test_instance_uses_its_own_links_again_soon_after_they_are_back(fleet):
    fleet.cut(0, harness_fleet.Cut.REFUSED)
    for number in range(4):
        assert call(fleet.members[0], "/safe/x", f"cut-{number}").status == 200
    fleet.heal(0)
    time.sleep(1.2)
    sent_by_peers = fleet.requests_from_peers
    for number in range(4):
        assert call(fleet.members[0], "/safe/x", f"healed-{number}").status == 200
    assert fleet.requests_from_peers == sent_by_peers


def test_request_that_goes_by_a_peer_is_charged_once(fleet):
    capped = dataclasses.replace(
        router_harness.WORKSPACE, tokens_per_s=1000.0, burst_tokens=1_000_000.0
    )
    for member in fleet.members:
        member.configure(revision=2, workspace_by_key={router_harness.KEY: capped})
    fleet.cut(0, harness_fleet.Cut.REFUSED)
    call(fleet.members[0], "/unsafe/x", "finds-out")
    before = [each.charged() for each in fleet.members]
    assert call(fleet.members[0], "/unsafe/x", "r").status == 200
    after = [each.charged() for each in fleet.members]
    assert sum(after) - sum(before) == 200.0


def test_read_is_passed_on_to_another_peer_if_the_first_one_is_suspended():
    """Half of the reads waited for the suspended peer until their callers had left."""
    with harness_fleet.running(3, clocks.SystemClock()) as fleet:
        for name in ("a", "b", "c"):
            fleet.add_upstream(name)
        fleet.serve_peers(suspended=1)
        fleet.exchange_reports()
        fleet.cut(0, harness_fleet.Cut.REFUSED)
        call(fleet.members[0], "/safe/x", "finds-out")
        for number in range(6):
            fleet.exchange_reports()
            assert call(fleet.members[0], "/safe/x", f"r-{number}").status == 200
        fleet.suspended.close()


def test_request_is_not_passed_on_to_a_peer_that_has_fallen_silent():
    """A suspended peer accepts connections, so bookings were lost until it counted as silent."""
    with harness_fleet.running(3, clocks.SystemClock()) as fleet:
        for name in ("a", "b", "c"):
            fleet.add_upstream(name)
        fleet.serve_peers(suspended=1)
        fleet.exchange_reports()
        fleet.cut(0, harness_fleet.Cut.REFUSED)
        call(fleet.members[0], "/safe/x", "finds-out")
        time.sleep(gossip.RECENT_REPORT_S)
        for number in range(6):
            report, _, _ = fleet.members[2].instance.compose_report()
            fleet.members[0].instance.handle_report(report)
            fleet.members[0].instance.confirm_revision(1, fleet.clock.now_s())
            assert call(fleet.members[0], "/unsafe/x", f"r-{number}").status == 200
        fleet.suspended.close()


@pytest.mark.parametrize("max_attempts", [1, 2])
def test_read_runs_at_no_more_upstreams_than_its_route_allows(max_attempts):
    """A read without a response went to a second peer, though the first one had sent it."""
    route = dataclasses.replace(router_harness.SAFE, max_attempts=max_attempts)
    with harness_fleet.running(4, clocks.SystemClock()) as fleet:
        for name in ("a", "b", "c", "d"):
            fleet.add_upstream(name).behaviours = [Behaviour.HANG] * 8
        for member in fleet.members:
            member.configure(route, revision=2)
        fleet.serve_peers()
        fleet.exchange_reports()
        fleet.cut(0, harness_fleet.Cut.REFUSED)
        assert call(fleet.members[0], "/safe/x", "r", timeout_ms=800).status == 504
        time.sleep(0.3)
        upstreams = fleet.members[0].upstreams.values()
        assert sum(len(each.received) for each in upstreams) == max_attempts
