"""Instances that don't read the store learn what it holds from those that do, or read it after all."""

from __future__ import annotations

import contextlib
import socket
import time

import pytest
from hypothesis import given
from hypothesis import strategies as st

from carawaydoor.fleet import gossip, reports, source_relay
from carawaydoor.operating import (
    configuration_source,
    platform_options,
    probe_app,
    source_watcher,
)
from carawaydoor.platform import names, store_source
from carawaydoor.policy import entities, source_reading
from carawaydoor.serving import http_servers
from tests.platform_side import router_harness
from tests.platform_side.fake_store import Mode
from tests.platform_side.stored_documents import CASES, put_server, wait_until
from tools import local_cluster

DOMAIN_SIZE = 12
ITEMS = st.lists(
    st.builds(
        configuration_source.SourceItem, st.text(), st.none() | st.binary(), st.integers(0, 2**40)
    )
)


AGES_S = st.floats(0.0, 1e6)


@given(ITEMS, st.integers(0, 2**40), AGES_S, AGES_S | st.none(), st.booleans())
def test_relayed_changes_survive_encoding(items, revision, age_s, list_age_s, compresses):
    relayed = source_relay.RelayedChanges(
        configuration_source.SourceChanges(tuple(items), revision), age_s, 1.0, list_age_s
    )
    assert source_relay.decode(source_relay.encode(relayed, compresses)) == relayed


@pytest.mark.parametrize(
    "content", [b"", b"[]", b"{}", b"\xff", b'{"revision": 1, "items": [[1]]}']
)
def test_malformed_response_of_another_instance_is_an_error(content):
    with pytest.raises(source_relay.RelayError):
        source_relay.decode(content)


def source_of(fake_store):
    return store_source.StoreSource(platform_options.Address("127.0.0.1", fake_store.port))


def test_only_complete_changes_are_passed_on(store):
    source = source_of(store)
    assert source.changes_after(0) is None, "nothing has been read yet"
    first = source.read(1.0).revision
    put_server(store, 1, state="draining")
    store.delete(f"{names.SERVERS_PREFIX}i-2")
    latest = source.watch(first, 1.0, 2.0).revision
    latest = max(latest, source.watch(latest, 0.05, 2.0).revision)
    changes = source.changes_after(first)
    assert changes is not None and changes.revision == latest
    assert {each.key: each.value is None for each in changes.items} == {
        f"{names.SERVERS_PREFIX}i-1": False,
        f"{names.SERVERS_PREFIX}i-2": True,
    }
    assert source.changes_after(first - 1) is None, "a removal before the first read is not known"
    assert source.changes_after(latest + 1) is None, "this source is behind"


class Follower:
    """An instance of a large failure domain, and another one that reads the store for it."""

    def __init__(self, stack, fake_store, monkeypatch, **options):
        monkeypatch.setattr(gossip, "silence_timeout_s", lambda _: 1e9)
        self.reader = stack.enter_context(router_harness.running(**options)).instance
        self.follower = stack.enter_context(router_harness.running(**options)).instance
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            port = probe.getsockname()[1]
        reader_name, *others = source_reading.readers(
            [source_reading.Candidate(f"x{n}", True) for n in range(DOMAIN_SIZE)]
        )
        self.reader_name, self.others = reader_name, others
        self.follower.options = router_harness.example_options(
            instance="follower", first_port=port, **options
        )
        self.reader.options = router_harness.example_options(instance=reader_name, **options)
        for each in (self.reader, self.follower):
            each.configuration = router_harness.entities.EMPTY_CONFIGURATION
            each.freshness = type(each.freshness)()
        self.reader_source, self.follower_source = source_of(fake_store), source_of(fake_store)
        self.relay = http_servers.OperatorServer(
            probe_app.RelayApp(self.reader, self.reader_source),
            (platform_options.Address("127.0.0.1", port),),
        )
        self.relay.start()
        self.read_calls = 0
        self.watchers = [
            source_watcher.SourceWatcher(self.reader, self.reader_source, self.reader.clock),
            source_watcher.SourceWatcher(self.follower, self.follower_source, self.follower.clock),
        ]
        self.hear_of_the_domain()
        self.watchers[0].start()
        wait_until(lambda: self.reader.configuration.revision > 0)
        self.hear_of_the_domain()
        self.watchers[1].start()
        wait_until(lambda: self.follower.configuration.revision > 0)

    def hear_of_the_domain(self):
        """Let both hear a domain in which only the reader and two others reach the store."""
        for number in range(DOMAIN_SIZE):
            name = f"x{number}"
            is_reader = name == self.reader_name
            report = reports.Report(
                reports.Contact(name, "127.0.0.1" if is_reader else "127.0.0.2"),
                "a",
                1,
                time.monotonic_ns(),
                0.0,
                False,
                0,
                1e6,
                {},
                {},
                {},
                (),
                (),
                {},
                5.0 if name in (self.reader_name, *self.others) else 0.0,
                {},
                {},
                self.reader.source.revision if is_reader else 0,
            )
            self.reader.handle_report(report)
            self.follower.handle_report(report)

    def stop(self):
        for each in self.watchers:
            each.stop()


@pytest.fixture
def follower(store, monkeypatch):
    with contextlib.ExitStack() as stack:
        running = Follower(stack, store, monkeypatch)
        stack.callback(running.stop)
        yield running


def calls_without(fake_store, seconds):
    before = fake_store.calls
    time.sleep(seconds)
    return fake_store.calls - before


def test_follower_learns_a_new_configuration_without_reading_the_store(follower, store):
    instance = follower.follower
    store.put(names.CONFIGURATION_KEY, {**CASES["configuration"], "version": 9})
    wait_until(lambda: follower.reader.configuration.version == 9)
    follower.hear_of_the_domain()
    wait_until(lambda: instance.configuration.version == 9)
    assert instance.source.steady_s() == 0.0, "it doesn't claim to reach the store itself"
    assert instance.accepts_keys()


def test_follower_drops_a_removed_upstream(follower, store):
    time.sleep(2.0)  # Until the reader no longer expects entries to reappear.
    store.delete(f"{names.SERVERS_PREFIX}i-3")
    wait_until(lambda: "i-3" not in follower.reader.directory.upstream_by_id)
    follower.hear_of_the_domain()
    wait_until(lambda: "i-3" not in follower.follower.directory.upstream_by_id)


def test_follower_stays_ready_by_proofs_of_the_reader(follower, store):
    deadline_s = time.monotonic() + 4.0
    while time.monotonic() < deadline_s:
        assert follower.follower.proof_age_s() < 3.0
        time.sleep(0.05)
    assert follower.follower.source.steady_s() == 0.0


def test_follower_reads_the_store_itself_once_its_readers_are_gone(follower, store):
    follower.relay._server.close()
    follower.watchers[0].stop()
    wait_until(lambda: follower.follower.source.steady_s() > 0.0)
    store.put(names.CONFIGURATION_KEY, {**CASES["configuration"], "version": 11})
    wait_until(lambda: follower.follower.configuration.version == 11)


def test_follower_of_readers_without_the_store_refuses_keys_in_time(follower, store):
    store.mode = Mode.BUSY
    bounds = follower.follower.options.bounds
    # A watch that is open by then still ends with a proof.
    open_watch_s = source_watcher.WATCH_WINDOW_SHARE * bounds.stable_window_s
    time.sleep(open_watch_s + bounds.withdrawal_s)
    assert not follower.follower.accepts_keys()
    store.mode = Mode.GOOD
    wait_until(follower.follower.accepts_keys)


# Regression: readers that had fallen silent were asked one after the other, each until its timeout,
# before the follower read the store, and a configuration was in force too late.
def test_follower_of_silent_readers_gets_a_configuration_in_time(store, monkeypatch):
    bounds = platform_options.Bounds(
        5.0, 8.0, 0.2, 54.0, 10.0, 4.0, 8.0, 0.25, 3.0, configuration_s=3.0
    )

    def time_out(*_):
        time.sleep(source_relay.TIMEOUT_S)
        raise source_relay.RelayError("the test's reader is silent")

    with contextlib.ExitStack() as stack:
        running = Follower(stack, store, monkeypatch, bounds=bounds)
        stack.callback(running.stop)
        instance = running.follower
        running.watchers[0].stop()
        monkeypatch.setattr(source_relay, "fetch", time_out)
        # The follower has just had a proof, so it doesn't expect another one for a while.
        instance.confirm_revision(instance.configuration.revision, instance.clock.now_s())
        acknowledged_s = time.monotonic()
        store.put(names.CONFIGURATION_KEY, {**CASES["configuration"], "version": 12})
        wait_until(lambda: instance.configuration.version == 12)
        assert time.monotonic() - acknowledged_s < bounds.configuration_s


# Regression: an instance whose calls the store rejects learned what had changed from no peer, and later only
# what had changed in the configuration.
@pytest.mark.parametrize("hangs", [False, True], ids=["rejected", "unanswered"])
@pytest.mark.parametrize("changes_configuration", [False, True], ids=["server", "configuration"])
def test_instance_without_the_store_gets_changes_from_a_peer(
    store, monkeypatch, hangs, changes_configuration
):
    put_server(store, 1)
    store.put(names.CONFIGURATION_KEY, CASES["configuration"])
    address = platform_options.Address("127.0.0.1", store.port)
    (port,) = local_cluster.free_ports(1)
    with contextlib.ExitStack() as stack:
        peer, late = (
            stack.enter_context(
                router_harness.running(instance=each, first_port=port, store=address)
            ).instance
            for each in ("peer", "late")
        )
        for each in (peer, late):
            each.configuration = entities.EMPTY_CONFIGURATION
        source, late_source = (store_source.StoreSource(address) for _ in range(2))
        relay_address = platform_options.Address("127.0.0.1", port)
        http_servers.OperatorServer(probe_app.RelayApp(peer, source), (relay_address,)).start()
        first = source.read(1.0).revision
        watcher = source_watcher.SourceWatcher(late, late_source, late.clock)
        watcher.start()
        stack.callback(watcher.stop)
        wait_until(lambda: late.source.steady_s() > 0.0)

        def fail(_revision, _wait_s, timeout_s):
            time.sleep(timeout_s if hangs else 0.05)
            raise configuration_source.SourceError("rejected")

        monkeypatch.setattr(late_source, "watch", fail)
        time.sleep(source_watcher.WATCH_WINDOW_SHARE * late.options.bounds.stable_window_s)
        if changes_configuration:
            store.put(names.CONFIGURATION_KEY, {**CASES["configuration"], "version": 13})
        else:
            put_server(store, 1, version="another")
        update = source.watch(first, 1.0, 2.0)
        if update.configuration is not None:
            peer.adopt(update.configuration)
        peer.source.record_list(update.revision, peer.clock.now_s())
        peer.confirm_revision(peer.configuration.revision, peer.clock.now_s())
        late.handle_report(peer.compose_report()[0])
        assert not late.source.is_list_current()

        def is_known():
            late.handle_report(peer.compose_report()[0])
            if changes_configuration:
                return late.configuration.version == 13
            return late.directory.upstream_by_id["i-1"].version == "another"

        wait_until(is_known)
        wait_until(late.source.is_list_current)


# Regression: a reader that had read the store anew no longer knew what had changed before, so that all
# its followers read the store as well.
def test_changes_since_before_a_second_read_are_passed_on(store):
    source = source_of(store)
    first = source.read(1.0).revision
    store.delete(f"{names.SERVERS_PREFIX}i-2")
    store.put(names.CONFIGURATION_KEY, {**CASES["configuration"], "version": 9})
    latest = source.read(1.0).revision
    changes = source.changes_after(first)
    assert changes is not None and changes.revision == latest
    assert {each.key: each.value is None for each in changes.items} == {
        f"{names.SERVERS_PREFIX}i-2": True,
        names.CONFIGURATION_KEY: False,
    }
