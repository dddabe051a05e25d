"""A request that crashes upstreams is stopped; one whose answer was lost is not."""

from __future__ import annotations

import pytest

from carawaydoor.serving import connections
from tests.platform_side import router_harness
from tests.platform_side.fake_upstream import Behaviour


@pytest.fixture
def harness():
    with router_harness.running() as running:
        yield running


def crash(harness, name):
    """Have a server end as it runs the next request."""
    server = harness.add(name)
    server.behaviours = [Behaviour.RESET]
    return server


def test_request_that_crashed_two_upstreams_is_refused(harness):
    for number in range(2):
        server = crash(harness, f"s{number}")
        answer = harness.call("/unsafe/x", method="POST", body=b"killer")
        server.stop()
        assert answer.read().status == 502
        harness.instance.selector.health = {}
        harness.instance.update_directory(
            router_harness.upstream_directory.Changes({f"s{number}": None}, number + 2)
        )
    harness.add("s3")
    answer = harness.call("/unsafe/x", method="POST", body=b"killer").read()
    assert (answer.status, "retry-after" in answer.headers) == (503, True)
    assert harness.servers["s3"].received == []
    assert harness.call("/unsafe/x", method="POST", body=b"other").read().status == 200


def test_lost_answer_of_a_living_upstream_is_no_strike(harness):
    server = harness.add("s1")
    for _ in range(4):
        server.behaviours = [Behaviour.RESET]
        harness.instance.selector.health = {}
        assert harness.call("/unsafe/x", method="POST", body=b"b").read().status == 502
    assert harness.call("/unsafe/x", method="POST", body=b"b").read().status == 200


def test_upstream_behind_a_partition_is_no_strike(harness, monkeypatch):
    """Found by the incident of ordenclaro-hq: a cut domain struck the requests it broke off."""
    server = harness.add("s1")
    acquire = harness.instance.connection_pool.acquire

    def cut_off(upstream, new_only=False):
        if new_only:
            raise connections.NotSentError("timed out")
        return acquire(upstream)

    monkeypatch.setattr(harness.instance.connection_pool, "acquire", cut_off)
    for _ in range(3):
        server.behaviours = [Behaviour.RESET]
        harness.instance.selector.health = {}
        assert harness.call("/unsafe/x", method="POST", body=b"b").read().status == 502
