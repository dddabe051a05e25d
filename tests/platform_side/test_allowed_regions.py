"""Requests, their bodies and the memory of their prompts stay in the regions that they may use."""

from __future__ import annotations

import dataclasses
import json
import threading
import time
import types

import pytest

from carawaydoor.operating import clocks
from carawaydoor.platform import names, platform_settings, store_documents
from carawaydoor.policy import entities, evacuation, load
from tests.platform_side import harness_fleet, router_harness
from tests.platform_side.fake_upstream import Behaviour
from tests.platform_side.test_documents import CASES
from tests.platform_side.test_evacuation import is_refused

PREFILL, DECODE = entities.Stage.PREFILL, entities.Stage.DECODE
REGION_BY_DOMAIN = {"a": "r1", "b": "r2"}
ROUTES = (
    router_harness.SAFE,
    router_harness.UNSAFE,
    router_harness.OPEN,
    router_harness.STREAM,
    router_harness.RESUMABLE,
)


@pytest.fixture
def harness():
    with router_harness.running(region_by_domain=REGION_BY_DOMAIN, region="r1") as running:
        yield running


def bind(harness, route=None, workspace=None, revision=2):
    """Apply a configuration with lists of regions, None for no list."""
    lists = [None if each is None else frozenset(each) for each in (route, workspace)]
    bound = dataclasses.replace(router_harness.WORKSPACE, allowed_regions=lists[1])
    harness.configure(
        *(dataclasses.replace(each, allowed_regions=lists[0]) for each in ROUTES),
        revision=revision,
        workspace_by_key={router_harness.KEY: bound},
    )


def is_outside(response, harness):
    return is_refused(response, harness, "region-not-allowed")


def bind_after(harness, monkeypatch, owner, name, *regions):
    """Bind requests to regions as soon as a method of the request path has returned."""
    original = getattr(owner, name)

    def then_bind(*args, **kwargs):
        result = original(*args, **kwargs)
        bind(harness, regions)
        return result

    monkeypatch.setattr(owner, name, then_bind)


@pytest.mark.parametrize(
    ("route", "workspace"), [(["r2"], None), (None, ["r2"]), (["r1", "r2"], ["r2", "other"])]
)
def test_request_runs_only_in_allowed_regions(harness, route, workspace):
    near, far = harness.add_upstream("u"), harness.add_upstream("v", domain="b")
    bind(harness, route, workspace)
    for _ in range(6):
        assert harness.call("/safe/1").read().status == 200
    assert (len(near.received), len(far.received)) == (0, 6)
    if route is None:
        assert harness.call("/open/1", key=None).read().status == 200
        assert len(near.received) == 1, "the list of a workspace binds its own requests only"


@pytest.mark.parametrize(
    ("route", "workspace"), [([], None), (None, []), (["r1"], ["r2"]), (["other"], None)]
)
def test_request_without_an_allowed_upstream_is_refused_at_once(harness, route, workspace):
    plain = [harness.add_upstream("u"), harness.add_upstream("v", domain="b")]
    engines = [harness.add_upstream("d", DECODE), harness.add_upstream("e", DECODE, domain="b")]
    bind(harness, route, workspace)
    began_s = time.monotonic()
    assert is_outside(harness.call("/unsafe/1", method="POST"), harness)
    assert is_outside(harness.stream(), harness)
    assert time.monotonic() - began_s < 0.3
    assert not any(each.received for each in (*plain, *engines))


def test_evacuation_of_the_only_allowed_region_is_told_apart(harness):
    harness.add_upstream("u")
    harness.add_upstream("v", domain="b")
    bind(harness, ["r2"])
    harness.instance.evacuation.apply(evacuation.Changes({"b": True}))
    assert is_refused(harness.call("/safe/1"), harness)


def test_prompt_is_prefilled_copied_and_continued_only_in_allowed_regions(harness):
    outside = [
        harness.add_upstream("p", PREFILL),
        harness.add_upstream("d1", DECODE, events=6),
        harness.add_upstream("d2", DECODE, events=6),
    ]
    prefill = harness.add_upstream("q", PREFILL, domain="b")
    first = harness.add_upstream("e1", DECODE, events=6, domain="b")
    second = harness.add_upstream("e2", DECODE, events=6, domain="b")
    first.behaviours = second.behaviours = [Behaviour.BREAK_STREAM]
    bind(harness, ["r2"])
    response = harness.stream("/resumable/1").read()
    assert (response.status, response.is_truncated) == (200, False)
    assert len(prefill.received) == 1
    copies = {each.header(names.Header.KV_BACKUP) for each in (*first.received, *second.received)}
    assert copies <= {None, f"127.0.0.1:{first.port}", f"127.0.0.1:{second.port}"}
    assert not any(each.received for each in outside)


def test_narrowed_list_binds_a_prompt_that_is_being_prefilled(harness, monkeypatch):
    """The KV cache outside is freed and not fetched, and the chosen decode engine gets nothing."""
    prefill = harness.add_upstream("p", PREFILL)
    near, far = harness.add_upstream("d", DECODE), harness.add_upstream("e", DECODE, domain="b")
    bind_after(harness, monkeypatch, harness.app._generation_handler, "_prefill", "r2")
    assert harness.stream().read().status == 200
    assert (near.received, len(far.received), prefill.released_handles) == ([], 1, ["h1"])
    assert far.received[0].header(names.Header.KV_SOURCE) is None
    assert harness.is_idle()


def test_narrowed_list_binds_a_request_that_waits(harness):
    harness.add_upstream("d", DECODE)
    harness.add_upstream("e", DECODE, domain="b")
    work = load.Work(100, 59_000)
    harness.instance.selector.load = load.Load({"d": work, "e": work}, {})
    timer = threading.Timer(0.1, bind, [harness, []])
    timer.start()
    began_s = time.monotonic()
    response = harness.stream(timeout_ms=10_000).read()
    assert (response.status, b'"region-not-allowed"' in response.body) == (503, True)
    assert time.monotonic() - began_s < 0.4


def test_copy_outside_a_narrowed_list_is_not_used(harness):
    near, copy = harness.add_upstream("d", DECODE), harness.add_upstream("d2", DECODE)
    near.behaviours = copy.behaviours = [Behaviour.BREAK_STREAM]
    response = harness.stream()
    bind(harness, ["r2"])
    assert response.read().is_truncated
    assert len(near.received) + len(copy.received) == 1


@pytest.mark.parametrize(("regions", "asked"), [(None, {1, 2}), (["r1"], {1}), (["r2"], {1, 2})])
def test_peers_outside_get_no_body(regions, asked):
    """Peers 0 and 1 are in the region r1 of the caller, peer 2 is in r2."""
    with harness_fleet.running(3, clocks.SystemClock()) as fleet:
        fleet.add_upstream("u")
        for member, domain in zip(fleet.members, "aab", strict=True):
            member.instance.options = dataclasses.replace(
                member.instance.options,
                domain=domain,
                region=REGION_BY_DOMAIN[domain],
                region_by_domain=REGION_BY_DOMAIN,
            )
            bind(member, regions)
        fleet.exchange_reports()
        # The forwarder needs only the regions of a request to choose.
        exchange = types.SimpleNamespace(allowed_regions=regions and frozenset(regions))
        peers = fleet.members[0].app._forwarder._candidates(exchange, "bookings")
        assert {int(each.id[-1]) for each in peers} == asked


def test_peer_that_serves_a_request_applies_its_own_lists():
    with harness_fleet.running(2, clocks.SystemClock()) as fleet:
        upstream = fleet.add_upstream("u")
        fleet.serve_peers()
        fleet.exchange_reports()
        asked, peer = fleet.members
        peer.instance.options = dataclasses.replace(
            peer.instance.options, region_by_domain=REGION_BY_DOMAIN
        )
        bind(peer, ["r2"])
        fleet.cut(0, harness_fleet.Cut.REFUSED)
        response = asked.call("/safe/1").read()
        assert (response.status, fleet.requests_from_peers) == (503, 1)
        assert b'"region-not-allowed"' in response.body
        assert not upstream.received


@pytest.mark.parametrize(
    ("written", "expected"),
    [
        (["r1", "r2"], {"r1", "r2"}),
        ([], set()),
        (None, None),
        (["r1", 5, ""], {"r1"}),
        ("r1", set()),
        ({"r1": True}, set()),
        (-1, set()),
    ],
)
def test_lists_in_the_configuration(written, expected):
    """What can't be read must neither lift the restriction nor affect the rest of the document."""
    document = json.loads(json.dumps(CASES["configuration"]))
    document["routes"][2]["allowedRegions"] = written
    document["tenants"][0]["allowedRegions"] = written
    configuration = store_documents.decode_configuration(json.dumps(document).encode(), 3)
    by_name = {each.name: each for each in configuration.routes_by_host["a.example"]}
    assert by_name["r3"].allowed_regions == expected
    assert configuration.workspace_by_key["k1"].allowed_regions == expected
    assert by_name["r1"].allowed_regions is None, "without a list, nothing is restricted"


@pytest.mark.parametrize(
    ("zones", "region", "expected"),
    [
        ('lima-a = "lima-region"', "lima-region", {"lima-a": "lima-region"}),
        ('lima-a = "lima-region"\nx = 5\ny = ""', "lima-region", {"lima-a": "lima-region"}),
        ("lima-a = {x = 1}", "lima-region", {}),
    ],
)
def test_regions_in_the_settings(tmp_path, zones, region, expected):
    path = tmp_path / "settings.toml"
    path.write_text(CASES["settings_text"].replace('lima-a = "lima-region"', zones))
    options = platform_settings.read(path).ok
    assert (options.region, options.region_by_domain) == (region, expected)
