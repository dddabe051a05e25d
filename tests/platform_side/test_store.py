"""The watch on the store: whole, in order, and through every trouble of the store."""

from __future__ import annotations

import contextlib
import pathlib
import time

import pytest
import yaml

from carawaydoor.operating import configuration_source, platform_options, source_watcher
from carawaydoor.platform import names, store_source
from tests.platform_side import router_harness
from tests.platform_side.fake_store import FakeStore, Mode

CASES = yaml.safe_load(pathlib.Path(__file__).with_name("documents.yaml").read_text())
WAIT_S = 10.0


@pytest.fixture
def store():
    running = FakeStore()
    running.put(names.CONFIGURATION_KEY, CASES["configuration"])
    for number in range(7):
        put_server(running, number)
    yield running
    with contextlib.suppress(OSError):
        running.stop()


def put_server(store, number, **changes):
    entry = {**CASES["server"], "address": f"10.0.0.{number}:80", **changes}
    return store.put(f"{names.SERVERS_PREFIX}i-{number}", entry)


def client(store):
    return store_source.StoreSource(platform_options.Address("127.0.0.1", store.port))


@contextlib.contextmanager
def watched(store):
    with router_harness.running() as harness:
        instance = harness.instance
        instance.configuration = router_harness.model.EMPTY
        instance.freshness = type(instance.freshness)()
        watcher = source_watcher.SourceWatcher(instance, client(store), harness.clock)
        watcher.start()
        try:
            eventually(lambda: instance.configuration.revision > 0)
            yield instance
        finally:
            watcher.stop()


def eventually(condition):
    until_s = time.monotonic() + WAIT_S
    while not condition():
        assert time.monotonic() < until_s, "did not come true"
        time.sleep(0.01)


def test_every_page_is_read(store):
    news = client(store).read(1.0)
    assert sorted(news.upstream_by_id) == [f"i-{n}" for n in range(7)]
    assert news.configuration.version == 7
    assert news.revision == store.revision


def test_entry_of_another_writer_is_skipped_and_the_others_hold(store):
    store.put(f"{names.SERVERS_PREFIX}i-3", b"\x00\xff")
    store.put("someone/else", b"x")
    news = client(store).read(1.0)
    assert news.upstream_by_id["i-3"] is None
    assert sum(each is not None for each in news.upstream_by_id.values()) == 6


def test_watch_brings_changes_and_ends_by_itself(store):
    reader = client(store)
    after = store.revision
    put_server(store, 1, state="draining")
    news = reader.watch(after, 1.0, 2.0)
    assert list(news.upstream_by_id) == ["i-1"]
    assert reader.watch(news.revision, 0.05, 2.0).upstream_by_id == {}


def test_forgotten_history_is_told(store):
    after = store.revision
    put_server(store, 1)
    store.forget_history()
    with pytest.raises(configuration_source.HistoryGoneError):
        client(store).watch(after, 0.1, 1.0)


@pytest.mark.parametrize("mode", [Mode.BUSY, Mode.RESET, Mode.TRUNCATED, Mode.RUBBISH])
def test_trouble_is_told_and_passes(store, mode):
    reader = client(store)
    store.mode = mode
    with pytest.raises(configuration_source.SourceError):
        reader.read(1.0)
    store.mode = Mode.GOOD
    assert reader.read(1.0).configuration is not None


def test_instance_follows_the_store(store):
    with watched(store) as instance:
        eventually(lambda: len(instance.directory.upstream_by_id) == 7)
        assert instance.is_ready
        put_server(store, 2, state="draining")
        eventually(lambda: instance.directory.upstream_by_id["i-2"].is_leaving)
        store.delete(f"{names.SERVERS_PREFIX}i-2")
        eventually(lambda: "i-2" not in instance.directory.upstream_by_id)
        document = {**CASES["configuration"], "version": 9, "tenants": []}
        store.put(names.CONFIGURATION_KEY, document)
        eventually(lambda: instance.configuration.version == 9)
        assert instance.configuration.workspace_by_key == {}


def test_instance_reads_anew_after_a_forgotten_history(store):
    with watched(store) as instance:
        store.delete(f"{names.SERVERS_PREFIX}i-5")
        store.forget_history()
        put_server(store, 1, state="draining")
        eventually(lambda: "i-5" not in instance.directory.upstream_by_id)
        eventually(lambda: instance.directory.upstream_by_id["i-1"].is_leaving)


def test_instance_goes_on_while_the_store_is_away(store):
    with watched(store) as instance:
        store.mode = Mode.RESET
        put_server(store, 1)
        eventually(lambda: instance.directory.store_is_away)
        assert len(instance.directory.upstream_by_id) == 7
        store.delete(f"{names.SERVERS_PREFIX}i-4")
        store.mode = Mode.GOOD
        eventually(lambda: not instance.directory.store_is_away)
        assert "i-4" in instance.directory.upstream_by_id, "it may still reappear"
        instance_clock_s = instance.clock.now_s()
        eventually(lambda: instance.clock.now_s() > instance_clock_s + 2.0)
        instance.expire()
        assert "i-4" not in instance.directory.upstream_by_id


@pytest.mark.parametrize("content", [b"\x00\xff", b"{}", b'{"version": 8, "routes": 3}'])
def test_unreadable_configuration_leaves_the_former_one_unproven(store, content):
    with watched(store) as instance:
        in_force = instance.configuration.revision
        revision = store.put(names.CONFIGURATION_KEY, content)
        eventually(lambda: instance.freshness.revision == revision)
        proven_s = instance.freshness.proven_s
        put_server(store, 1, state="draining")
        eventually(lambda: instance.directory.upstream_by_id["i-1"].is_leaving)
        instance.confirm_revision(in_force, instance.clock.now_s())
        assert instance.configuration.revision == in_force, "it goes on with the former one"
        assert instance.freshness.proven_s == proven_s, "but nothing proves that one any more"
        store.put(names.CONFIGURATION_KEY, {**CASES["configuration"], "version": 9})
        eventually(lambda: instance.configuration.version == 9)
        eventually(lambda: instance.freshness.proven_s > proven_s)


def test_unreadable_configuration_is_told_at_the_first_read(store):
    revision = store.put(names.CONFIGURATION_KEY, b"\x00")
    news = client(store).read(1.0)
    assert news.configuration is None
    assert news.configuration_revision == revision


@pytest.mark.parametrize(
    ("instances", "expected_s"), [(1, 0.25), (8, 0.25), (58, 0.58), (710, 0.8)]
)
def test_larger_fleets_gather_more_changes_in_one_answer(instances, expected_s):
    """Load: servers that flap; each change woke 85 watches, 1.2 calls a second and instance."""
    assert source_watcher.watch_delay_s(instances) == pytest.approx(expected_s)
