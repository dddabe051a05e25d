"""A large configuration reaches all instances of a failure domain in time, also over thin links."""

from __future__ import annotations

import concurrent.futures
import contextlib
import json
import socket
import time

import pytest
from hypothesis import given
from hypothesis import strategies as st

from carawaydoor.fleet import source_relay
from carawaydoor.operating import (
    clocks,
    configuration_source,
    platform_options,
    probe_app,
    source_watcher,
)
from carawaydoor.platform import names, store_source
from carawaydoor.policy import entities
from carawaydoor.serving import http_servers
from tests.platform_side import router_harness
from tests.platform_side.stored_documents import CASES, wait_until
from tools import configuration_spread, thin_link

# Of the smaller machines of a grown deployment.
LINK_MBPS = 10.0
CONFIGURATION_S = 3.0
FOLLOWERS = 17
ADDED_ROUTES = 1400
STORM_S = 6.6
STORM_GAP_S = 0.33


def large_configuration():
    added = json.loads(configuration_spread.large_configuration(ADDED_ROUTES))["routes"]
    base = CASES["configuration"]
    return {**base, "version": 9, "routes": [*base["routes"], *added]}


@pytest.fixture
def reader(store):
    """Provide a running instance that has read a large configuration, and its thin link."""
    with contextlib.ExitStack() as stack:
        instance = stack.enter_context(router_harness.running()).instance
        source = store_source.StoreSource(platform_options.Address("127.0.0.1", store.port))
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            port = probe.getsockname()[1]
        relay = http_servers.CallerServer(
            probe_app.RelayApp(instance, source),
            router_harness.example_options(front=platform_options.Address("127.0.0.1", port)),
            lambda: False,
        )
        relay.start()
        before = source.read(1.0).revision
        store.put(names.CONFIGURATION_KEY, large_configuration())
        instance.adopt(source.watch(before, 1.0, 2.0).configuration)
        link = thin_link.ThinLink(port, LINK_MBPS)
        stack.callback(link.close)
        yield link, before


# Regression: one reader sent each follower a configuration of 1,400 routes uncompressed, which took
# its link longer than a configuration may take to be in force everywhere.
def test_all_followers_of_one_reader_get_a_large_configuration_in_time(reader):
    link, before = reader
    clock = clocks.SystemClock()
    deadline_s = time.monotonic() + CONFIGURATION_S

    def follow(_):
        # As a follower does that has no other reader.
        while time.monotonic() < deadline_s:
            with contextlib.suppress(source_relay.RelayError):
                return source_relay.fetch("127.0.0.1", link.port, before, clock)
        return None

    with concurrent.futures.ThreadPoolExecutor(FOLLOWERS) as pool:
        relayed = list(pool.map(follow, range(FOLLOWERS)))
    versions = [
        json.loads(each.changes.items[0].value)["version"] for each in relayed if each is not None
    ]
    assert versions == [9] * FOLLOWERS
    assert time.monotonic() < deadline_s


def relayed_changes():
    item = configuration_source.SourceItem("op/config", b'{"version": 1}' * 20, 7)
    removed = configuration_source.SourceItem("servers/x", None, 8)
    changes = configuration_source.SourceChanges((item, removed), 8)
    return source_relay.RelayedChanges(changes, 0.5, 2.0)


@given(st.integers(min_value=0))
def test_compressed_changes_that_are_cut_off_are_an_error(length):
    content = source_relay.encode(relayed_changes(), compresses=True)
    assert source_relay.decode(content) == relayed_changes()
    with pytest.raises(source_relay.RelayError):
        source_relay.decode(content[: length % len(content)])


def test_items_are_encoded_once_for_all_followers(monkeypatch):
    encoder, encoded = source_relay.ChangesEncoder(), []
    monkeypatch.setattr(
        source_relay, "_items_json", lambda items: encoded.append(items) or b"[]", raising=True
    )
    for _ in range(FOLLOWERS):
        encoder.encode(relayed_changes(), compresses=True)
    assert len(encoded) == 1


def test_earlier_builds_get_and_ask_for_uncompressed_changes():
    content = source_relay.encode(relayed_changes())
    assert json.loads(content)["items"][1] == ["servers/x", None, 8]
    assert source_relay.decode(content) == relayed_changes()


# Regression: while large configurations followed each other, an instance received each of them, those
# that were superseded too, and fell behind the store for longer than a configuration may take.
def test_reader_with_a_thin_link_follows_a_storm_of_large_configurations(store):
    document = large_configuration()
    store.put(names.CONFIGURATION_KEY, document)
    link = thin_link.ThinLink(store.port, LINK_MBPS)
    with router_harness.running() as harness, contextlib.closing(link):
        instance = harness.instance
        instance.configuration = entities.EMPTY_CONFIGURATION
        source = store_source.StoreSource(platform_options.Address("127.0.0.1", link.port))
        watcher = source_watcher.SourceWatcher(instance, source, instance.clock)
        watcher.start()
        wait_until(lambda: instance.configuration.version == document["version"])
        acknowledged_s_by_version: dict[int, float] = {}
        version = document["version"]
        end_s = time.monotonic() + STORM_S + CONFIGURATION_S
        while (now_s := time.monotonic()) < end_s:
            for pending in tuple(acknowledged_s_by_version):
                if pending <= instance.configuration.version:
                    del acknowledged_s_by_version[pending]
            for acknowledged_s in acknowledged_s_by_version.values():
                assert now_s - acknowledged_s < CONFIGURATION_S
            if now_s < end_s - CONFIGURATION_S:
                version += 1
                store.put(names.CONFIGURATION_KEY, {**document, "version": version})
                acknowledged_s_by_version[version] = time.monotonic()
                time.sleep(STORM_GAP_S)
            else:
                time.sleep(0.02)
        watcher.stop()
        assert instance.configuration.version == version
