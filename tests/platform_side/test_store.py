"""Reads and watches of the platform's store, and recovery from its failures."""

from __future__ import annotations

import contextlib

import pytest

from carawaydoor.operating import configuration_source, platform_options, source_watcher
from carawaydoor.platform import names, store_source
from tests.platform_side import router_harness, stored_documents
from tests.platform_side.fake_store import Mode


def store_source_for(store):
    return store_source.StoreSource(platform_options.Address("127.0.0.1", store.port))


@contextlib.contextmanager
def instance_watching(store):
    with router_harness.running() as harness:
        instance = harness.instance
        instance.configuration = router_harness.entities.EMPTY_CONFIGURATION
        instance.freshness = type(instance.freshness)()
        watcher = source_watcher.SourceWatcher(instance, store_source_for(store), harness.clock)
        watcher.start()
        try:
            stored_documents.wait_until(lambda: instance.configuration.revision > 0)
            yield instance
        finally:
            watcher.stop()


def test_every_page_is_read(store):
    update = store_source_for(store).read(1.0)
    assert sorted(update.upstream_by_id) == [f"i-{n}" for n in range(7)]
    assert update.configuration.version == 7
    assert update.revision == store.revision


def test_malformed_entry_is_skipped_and_the_others_are_kept(store):
    store.put(f"{names.SERVERS_PREFIX}i-3", b"\x00\xff")
    store.put("someone/else", b"x")
    update = store_source_for(store).read(1.0)
    assert update.upstream_by_id["i-3"] is None
    assert sum(each is not None for each in update.upstream_by_id.values()) == 6


def test_watch_returns_changes_and_times_out(store):
    source = store_source_for(store)
    after = store.revision
    stored_documents.put_server(store, 1, state="draining")
    update = source.watch(after, 1.0, 2.0)
    assert list(update.upstream_by_id) == ["i-1"]
    assert source.watch(update.revision, 0.05, 2.0).upstream_by_id == {}


def test_watch_reports_dropped_history(store):
    after = store.revision
    stored_documents.put_server(store, 1)
    store.drop_history()
    with pytest.raises(configuration_source.HistoryGoneError):
        store_source_for(store).watch(after, 0.1, 1.0)


@pytest.mark.parametrize("mode", [Mode.BUSY, Mode.RESET, Mode.TRUNCATED, Mode.RUBBISH])
def test_read_fails_while_the_store_does_and_recovers(store, mode):
    source = store_source_for(store)
    store.mode = mode
    with pytest.raises(configuration_source.SourceError):
        source.read(1.0)
    store.mode = Mode.GOOD
    assert source.read(1.0).configuration is not None


def test_instance_follows_the_store(store):
    with instance_watching(store) as instance:
        stored_documents.wait_until(lambda: len(instance.directory.upstream_by_id) == 7)
        # The watcher proves the configuration after it has applied the servers.
        stored_documents.wait_until(lambda: instance.is_ready)
        stored_documents.put_server(store, 2, state="draining")
        stored_documents.wait_until(lambda: instance.directory.upstream_by_id["i-2"].is_leaving)
        store.delete(f"{names.SERVERS_PREFIX}i-2")
        stored_documents.wait_until(lambda: "i-2" not in instance.directory.upstream_by_id)
        document = {**stored_documents.CASES["configuration"], "version": 9, "tenants": []}
        store.put(names.CONFIGURATION_KEY, document)
        stored_documents.wait_until(lambda: instance.configuration.version == 9)
        assert instance.configuration.workspace_by_key == {}


def test_instance_reads_all_items_again_after_dropped_history(store):
    with instance_watching(store) as instance:
        store.delete(f"{names.SERVERS_PREFIX}i-5")
        store.drop_history()
        stored_documents.put_server(store, 1, state="draining")
        stored_documents.wait_until(lambda: "i-5" not in instance.directory.upstream_by_id)
        stored_documents.wait_until(lambda: instance.directory.upstream_by_id["i-1"].is_leaving)


def test_instance_keeps_its_upstreams_while_the_store_is_unreachable(store):
    with instance_watching(store) as instance:
        store.mode = Mode.RESET
        stored_documents.put_server(store, 1)
        stored_documents.wait_until(lambda: instance.directory.is_store_unavailable)
        assert len(instance.directory.upstream_by_id) == 7
        store.delete(f"{names.SERVERS_PREFIX}i-4")
        store.mode = Mode.GOOD
        stored_documents.wait_until(lambda: not instance.directory.is_store_unavailable)
        assert (
            "i-4" in instance.directory.upstream_by_id
        ), "a removal is held back for a while, since the server may reappear"
        reconnected_s = instance.clock.now_s()
        stored_documents.wait_until(lambda: instance.clock.now_s() > reconnected_s + 2.0)
        instance.expire()
        assert "i-4" not in instance.directory.upstream_by_id


@pytest.mark.parametrize("content", [b"\x00\xff", b"{}", b'{"version": 8, "routes": 3}'])
def test_malformed_configuration_keeps_the_previous_one_without_new_freshness_proofs(
    store, content
):
    with instance_watching(store) as instance:
        previous_revision = instance.configuration.revision
        revision = store.put(names.CONFIGURATION_KEY, content)
        stored_documents.wait_until(lambda: instance.freshness.revision == revision)
        proven_s = instance.freshness.proven_s
        stored_documents.put_server(store, 1, state="draining")
        stored_documents.wait_until(lambda: instance.directory.upstream_by_id["i-1"].is_leaving)
        instance.confirm_revision(previous_revision, instance.clock.now_s())
        assert (
            instance.configuration.revision == previous_revision
        ), "the previous configuration stays in force"
        assert (
            instance.freshness.proven_s == proven_s
        ), "the previous configuration is no longer proven newest"
        store.put(
            names.CONFIGURATION_KEY, {**stored_documents.CASES["configuration"], "version": 9}
        )
        stored_documents.wait_until(lambda: instance.configuration.version == 9)
        stored_documents.wait_until(lambda: instance.freshness.proven_s > proven_s)


def test_malformed_configuration_is_reported_by_the_first_read(store):
    revision = store.put(names.CONFIGURATION_KEY, b"\x00")
    update = store_source_for(store).read(1.0)
    assert update.configuration is None
    assert update.configuration_revision == revision


@pytest.mark.parametrize(
    ("instances", "expected_s"), [(1, 0.25), (8, 0.25), (58, 0.58), (710, 0.8)]
)
def test_larger_fleets_collect_more_changes_per_watch(instances, expected_s):
    """With flapping servers, each change woke the watches of all 85 instances: 1.2 calls/s each."""
    assert source_watcher.watch_delay_s(instances) == pytest.approx(expected_s)
