"""Instances learn of evacuations from the store, however it is disturbed, or from peers that read it."""

from __future__ import annotations

import contextlib
import time

import pytest

from carawaydoor.fleet import codec, source_relay
from carawaydoor.operating import platform_options, probe_app, source_watcher
from carawaydoor.platform import names, store_source
from carawaydoor.policy import evacuation
from carawaydoor.serving import http_servers
from tests.platform_side import router_harness
from tests.platform_side.fake_store import Mode
from tests.platform_side.stored_documents import put_server, wait_until
from tests.platform_side.test_source_relay import follower  # noqa: F401
from tests.platform_side.test_store import instance_watching, store_source_for
from tools import local_cluster

KEY = f"{names.EVACUATION_PREFIX}a"
# The settings' evacuationMs.
EVACUATION_S = 5.0


def domains(instance):
    return sorted(instance.evacuation.current.by_domain)


@pytest.mark.parametrize("value", [{}, {"x": 1}, b"\x00\xff", b""])
def test_key_says_that_a_failure_domain_is_evacuated(store, value):
    """Read whole, as a change, and taken back; the value has no meaning."""
    store.put(KEY, value)
    source = store_source_for(store)
    update = source.read(1.0)
    assert update.is_evacuated_by_domain == {"a": True}
    assert update.configuration is not None and len(update.upstream_by_id) == 7
    store.put(f"{names.EVACUATION_PREFIX}b", value)
    store.delete(KEY)
    changes = source.watch(update.revision, 1.0, 2.0)
    assert changes.is_evacuated_by_domain == {"a": False, "b": True}


@pytest.mark.parametrize("domain", ["", "x" * 2000])
def test_absurd_failure_domains_are_ignored(store, domain):
    """Upstreams without a failure domain have the empty name; the first would evacuate them all."""
    store.put(f"{names.EVACUATION_PREFIX}{domain}", {})
    update = store_source_for(store).read(1.0)
    assert update.is_evacuated_by_domain == {} and len(update.upstream_by_id) == 7


def test_evacuation_is_known_before_the_first_request(store, monkeypatch):
    """Failure: an instance that starts sends requests into a failure domain that is evacuated."""
    store.put(KEY, {})
    with router_harness.running() as harness:
        instance, known = harness.instance, []
        monkeypatch.setattr(instance, "adopt", lambda _: known.append(domains(instance)))
        monkeypatch.setattr(instance, "update_directory", lambda _: known.append(domains(instance)))
        watcher = source_watcher.SourceWatcher(instance, store_source_for(store), harness.clock)
        watcher._read()
        assert known[:1] == [["a"]] and known[-1] == ["a"]


def test_evacuation_is_given_taken_back_and_given_again_while_the_store_is_slow(store):
    with instance_watching(store) as instance:
        store.delay_s = 0.5
        for is_given in (True, False, True):
            began_s = time.monotonic()
            if is_given:
                store.put(KEY, {})
            else:
                store.delete(KEY)
            wait_until(lambda: domains(instance) == (["a"] if is_given else []))  # noqa: B023
            assert time.monotonic() - began_s < EVACUATION_S
        for _ in range(3):
            store.delete(KEY)
            store.put(KEY, {})
        store.put(f"{names.EVACUATION_PREFIX}b", {})
        wait_until(lambda: domains(instance) == ["a", "b"])


def test_evacuation_stays_in_force_during_an_outage_and_ends_after_it(store):
    store.put(KEY, {})
    with instance_watching(store) as instance:
        store.mode = Mode.RESET
        put_server(store, 1)
        wait_until(lambda: instance.directory.is_store_unavailable)
        assert domains(instance) == ["a"]
        store.delete(KEY)
        store.drop_history()
        store.mode = Mode.GOOD
        wait_until(lambda: domains(instance) == [])


@pytest.mark.parametrize("is_written_again", [True, False])
def test_evacuation_that_a_restored_store_lacks_is_kept_for_the_operator_to_write(
    store, is_written_again
):
    store.era = 3
    with instance_watching(store) as instance:
        copy = store.copy()
        store.put(KEY, {})
        wait_until(lambda: domains(instance) == ["a"])
        store.restore(copy)
        put_server(store, 1)
        wait_until(lambda: instance.evacuation.current.grace_until_s > 0.0)
        seen = instance.clock.now_s()
        while instance.clock.now_s() < seen + 1.0:
            instance.expire()
            assert domains(instance) == ["a"]
            time.sleep(0.05)
        if is_written_again:
            store.put(KEY, {})
            wait_until(lambda: instance.evacuation.current.by_domain["a"].kept_until_s is None)
        while instance.clock.now_s() < seen + evacuation.RESTORE_GRACE_S + 0.1:
            time.sleep(0.05)
        instance.expire()
        assert domains(instance) == (["a"] if is_written_again else [])


def test_follower_learns_of_an_evacuation_alone_through_its_reader(follower, store):  # noqa: F811
    """Failure: a change without configuration or upstreams is not passed on."""
    instance, announced = follower.follower, []
    follower.reader.source.on_changed = lambda: announced.append(store.revision)
    for is_given in (True, False):
        if is_given:
            store.put(KEY, b"\xff")
        else:
            store.delete(KEY)
        expected = ["a"] if is_given else []
        wait_until(lambda: domains(follower.reader) == expected)  # noqa: B023
        wait_until(lambda: announced[-1:] == [store.revision])
        follower.hear_of_the_domain()
        wait_until(lambda: domains(instance) == expected)  # noqa: B023
        if is_given:
            assert instance.evacuation.current.by_domain["a"].origin is evacuation.Origin.PEER
    assert instance.source.steady_s() == 0.0


@pytest.fixture
def informed_peer():
    """Provide a function that has an instance hear a peer which knows failure domain a as evacuated."""
    with contextlib.ExitStack() as stack:
        peer = stack.enter_context(router_harness.running(instance="peer")).instance
        (port,) = local_cluster.free_ports(1)
        address = platform_options.Address("127.0.0.2", port)
        app = probe_app.RelayApp(peer, store_source.StoreSource(peer.options.store))
        server = http_servers.OperatorServer(app, (address,))
        server.start()
        stack.callback(server._server.close)
        peer.options = router_harness.example_options(
            instance="peer", peer_host=address.host, first_port=port
        )
        peer.evacuation.apply(evacuation.Changes({"a": True}))

        def tell(instance, revision):
            peer.source.revision = revision
            instance.options = router_harness.example_options(first_port=port)
            instance.handle_report(codec.decode(codec.encode(peer.compose_report()[0])))

        yield tell


def test_instance_that_starts_on_a_restored_copy_hears_of_evacuations_from_peers(
    store, informed_peer
):
    """Failure: it used the failure domain until the operator had written the item again."""
    store.era = 1
    with router_harness.running() as harness:
        informed_peer(harness.instance, 1)
        watcher = source_watcher.SourceWatcher(
            harness.instance, store_source_for(store), harness.clock
        )
        watcher._read()
        assert domains(harness.instance) == ["a"]
        assert harness.instance.evacuation.current.by_domain["a"].kept_until_s is not None


def test_instance_without_the_store_hears_of_evacuations_from_peers_that_reach_it(
    store, informed_peer
):
    with instance_watching(store) as instance:
        store.mode = Mode.BUSY
        put_server(store, 1)
        wait_until(lambda: instance.directory.is_store_unavailable)
        informed_peer(instance, instance.source.revision)
        time.sleep(0.6)
        assert domains(instance) == [], "a peer that knows no more is not asked"
        informed_peer(instance, instance.source.revision + 1)
        wait_until(lambda: domains(instance) == ["a"])
        store.mode = Mode.GOOD
        put_server(store, 2)
        wait_until(lambda: not instance.directory.is_store_unavailable)
        assert len(instance.directory.upstream_by_id) == 7


@pytest.mark.parametrize("content", [b"", b"[]", b'{"revision": 1}', b'{"domains": [""]}'])
def test_malformed_evacuations_of_a_peer_are_an_error(monkeypatch, content):
    monkeypatch.setattr(source_relay.peer_http, "get", lambda *_: (200, content))
    with pytest.raises(source_relay.RelayError):
        source_relay.fetch_evacuations("h", 1)
