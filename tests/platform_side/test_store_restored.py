"""Nothing goes back because the store was restored from a copy that is some seconds old.

Its revisions go back then and are given out again. What instances and callers saw stays in force until
the operator and the servers have written again.
"""

from __future__ import annotations

import contextlib
import json

import pytest

from carawaydoor.operating import configuration_source, platform_options, source_watcher
from carawaydoor.platform import names, store_source
from tests.platform_side import router_harness, stored_documents


@pytest.fixture(autouse=True)
def count_eras(store):
    store.era = 3


@contextlib.contextmanager
def instance_watching(store, instance="m"):
    with router_harness.running(instance=instance) as harness:
        watched = harness.instance
        watched.configuration = router_harness.entities.EMPTY_CONFIGURATION
        watched.freshness = type(watched.freshness)()
        source = store_source.StoreSource(platform_options.Address("127.0.0.1", store.port))
        watcher = source_watcher.SourceWatcher(watched, source, harness.clock)
        watcher.start()
        try:
            stored_documents.wait_until(lambda: watched.configuration.revision > 0)
            yield watched
        finally:
            watcher.stop()


def put_configuration(store, version, keys):
    document = json.loads(json.dumps(stored_documents.CASES["configuration"]))
    document["version"] = version
    document["tenants"][0]["apiKeys"] = keys
    store.put(names.CONFIGURATION_KEY, document)


def version_of(instance):
    return instance.configuration.version


def copy_and_withdraw_key(store, instance):
    """Return a copy of the store with a key, and the instance's report after it was withdrawn."""
    put_configuration(store, 8, ["withdrawn-key"])
    copy = store.copy()
    put_configuration(store, 9, ["other-key"])
    stored_documents.wait_until(lambda: version_of(instance) == 9)
    return copy, instance.compose_report()[0]


def test_changes_after_a_restore_apply_although_their_revisions_are_lower(store):
    with instance_watching(store) as instance:
        copy = store.copy()
        for _ in range(20):
            stored_documents.put_server(store, 1, state="ready")
        put_configuration(store, 8, ["k8"])
        stored_documents.wait_until(lambda: version_of(instance) == 8)
        store.restore(copy)
        put_configuration(store, 9, ["k9"])
        stored_documents.wait_until(lambda: version_of(instance) == 9)
        stored_documents.wait_until(lambda: instance.is_ready)


def test_configuration_in_force_stays_while_the_copy_shows_an_older_one(store):
    with instance_watching(store) as instance:
        put_configuration(store, 8, ["old-key"])
        stored_documents.wait_until(lambda: version_of(instance) == 8)
        copy = store.copy()
        put_configuration(store, 9, ["new-key"])
        stored_documents.wait_until(lambda: version_of(instance) == 9)
        calls = store.calls
        store.restore(copy)
        stored_documents.wait_until(lambda: store.calls >= calls + 3)
        assert version_of(instance) == 9
        assert "old-key" not in instance.configuration.workspace_by_key
        put_configuration(store, 9, ["new-key"])
        stored_documents.wait_until(
            lambda: instance.configuration.revision == instance.freshness.revision
        )
        stored_documents.wait_until(lambda: instance.is_ready)


def test_servers_that_the_copy_lacks_are_kept_for_their_return(store):
    with instance_watching(store) as instance:
        copy = store.copy()
        stored_documents.put_server(store, 20)
        stored_documents.wait_until(lambda: "i-20" in instance.directory.upstream_by_id)
        calls = store.calls
        store.restore(copy)
        stored_documents.wait_until(lambda: store.calls >= calls + 2)
        stored_documents.wait_until(lambda: not instance.directory.is_store_unavailable)
        assert "i-20" in instance.directory.upstream_by_id
        stored_documents.put_server(store, 20)
        stored_documents.wait_until(lambda: "i-20" not in instance.directory.removal_due_s_by_id)
        instance.expire()
        assert "i-20" in instance.directory.upstream_by_id


def test_response_of_an_older_era_is_dropped(store):
    source = store_source.StoreSource(platform_options.Address("127.0.0.1", store.port))
    source.read(1.0)
    store.era -= 1
    with pytest.raises(configuration_source.SourceError):
        source.read(1.0)


def test_watch_that_a_restored_store_could_serve_is_read_anew(store):
    """The revision exists again, but with another history."""
    source = store_source.StoreSource(platform_options.Address("127.0.0.1", store.port))
    copy = store.copy()
    stored_documents.put_server(store, 1)
    known = source.read(1.0).revision
    store.restore(copy)
    for number in (2, 3):
        stored_documents.put_server(store, number)
    with pytest.raises(configuration_source.HistoryGoneError):
        source.watch(known, 0.1, 1.0)


def test_instance_hears_peers_before_it_trusts_a_store_that_was_restored_once(store):
    """An instance was killed, read the copy and ran a withdrawn key before it heard a peer (soak, 410)."""
    with instance_watching(store) as instance:
        assert not instance.accepts_keys()
        stored_documents.wait_until(instance.accepts_keys)


def test_instance_trusts_a_store_without_restores_at_once(store):
    store.era = None
    with instance_watching(store) as instance:
        stored_documents.wait_until(lambda: instance.proof_age_s() < 1.0)
        assert instance.accepts_keys()


def test_instance_that_starts_on_the_copy_does_not_accept_a_key_that_peers_saw_withdrawn(store):
    with instance_watching(store, "before") as before:
        copy, report = copy_and_withdraw_key(store, before)
        store.restore(copy)
        with instance_watching(store, "started") as started:
            stored_documents.wait_until(lambda: version_of(started) == 8)
            started.handle_report(report)
            assert not started.accepts_keys()
            put_configuration(store, 9, ["other-key"])
            stored_documents.wait_until(lambda: version_of(started) == 9)
            stored_documents.wait_until(started.accepts_keys)


# Guards against withdrawn keys at an instance that started while the store was away: what its peers held
# was compared with its own configuration only as they reported, and not once it had read the copy.
def test_copy_that_is_read_after_the_peers_were_heard_does_not_bring_a_withdrawn_key_back(store):
    with instance_watching(store, "before") as before:
        copy, report = copy_and_withdraw_key(store, before)
    store.restore(copy)
    with router_harness.running(instance="started") as harness:
        started = harness.instance
        started.configuration = router_harness.entities.EMPTY_CONFIGURATION
        started.handle_report(report)
        source = store_source.StoreSource(platform_options.Address("127.0.0.1", store.port))
        update = source.read(1.0)
        assert update.configuration is not None
        started.adopt(update.configuration)
        started.confirm_revision(update.configuration.revision, harness.clock.now_s())
        assert version_of(started) == 8
        assert not started.accepts_keys()
        put_configuration(store, 9, ["other-key"])
        started.adopt(source.read(1.0).configuration)
        started.confirm_revision(started.configuration.revision, harness.clock.now_s())
        assert started.accepts_keys()
