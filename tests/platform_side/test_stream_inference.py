"""Streams that no instance remembers go on at the version that began them, or not at all.

Regression: after all instances had been killed, no stream that its caller took up went on while two
versions served. And an instance whose list of upstreams was some seconds old took the only version in it
for that of a stream that had begun at a newer one.
"""

from __future__ import annotations

import dataclasses
import itertools
import time

import pytest

from carawaydoor.operating import clocks, configuration_source, platform_options
from carawaydoor.platform import names, store_lists
from carawaydoor.policy import (
    entities,
    evacuation,
    stream_ranking,
    stream_versions,
    upstream_changes,
    upstream_directory,
)
from tests.platform_side import fake_store, harness_fleet, router_harness
from tests.platform_side.fake_upstream import Behaviour

DECODE = entities.Stage.DECODE
EVENTS = 6
STREAMS = 20
HISTORY_S = 20.0
LONG_AGO_MS = int((time.time() - 3600.0) * 1000)


class ServedFleet:
    """A fleet and the store that lists its upstreams."""

    def __init__(self, fleet: harness_fleet.HarnessFleet, store: fake_store.FakeStore) -> None:
        self.fleet = fleet
        self.store = store
        address = platform_options.Address("127.0.0.1", store.port)
        for each in fleet.members:
            each.instance.lists.source = store_lists.StoreLists(address, HISTORY_S, lambda: 0)

    def add_engine(self, name: str, version: str, born_ms: int = LONG_AGO_MS):
        engine = self.fleet.add_upstream(name, DECODE, EVENTS, version)
        self.write(name, engine.port, version, born_ms)
        for each in self.fleet.members:
            entry = each.instance.directory.upstream_by_id[name]
            entry = dataclasses.replace(entry, born_ms=born_ms)
            each.instance.update_directory(upstream_directory.Changes({name: entry}, 1))
            each.instance.streams.changes = upstream_changes.ChangeLog((), 0.0)
        return engine

    def write(self, name: str, port: int, version: str, born_ms: int) -> None:
        self.store.put(
            f"{names.SERVERS_PREFIX}{name}",
            {
                "service": "planner",
                "address": f"127.0.0.1:{port}",
                "zone": "a",
                "version": version,
                "slots": 128,
                "state": "ready",
                "stage": "decode",
                "born": born_ms,
            },
        )

    def begin_and_break(self, request_id: str, number: int = 0) -> bytes:
        """Begin a stream that breaks off at whichever engine gets it; return the events of it."""
        for each in self.engines():
            each.behaviours = [Behaviour.BREAK_STREAM]
        headers = {names.Header.REQUEST_ID: request_id}
        response = self.fleet.members[number].stream("/stream-once/1", headers=headers).read()
        for each in self.engines():
            each.behaviours = []
        assert response.is_truncated
        return response.body

    def take_up(self, resumes: str, number: int = 0, last_event: int = 2):
        headers = {
            names.Header.REQUEST_ID: f"again-{resumes}",
            names.Header.LAST_EVENT_ID: str(last_event),
            names.Header.RESUMES: resumes,
        }
        return self.fleet.members[number].stream("/stream-once/1", headers=headers).read()

    def engines(self):
        return self.fleet.members[0].upstreams.values()

    def kill_all(self) -> None:
        for number in range(len(self.fleet.members)):
            self.fleet.restart(number)
            self.configure(number)
        self.fleet.exchange_reports()
        self.prove()

    def prove(self) -> None:
        """Have all instances know that configuration and list are the newest."""
        for each in self.fleet.members:
            each.instance.confirm_revision(2, self.fleet.clock.now_s())

    def configure(self, number: int) -> None:
        self.fleet.members[number].configure(ROUTE, revision=2)


# One attempt, so that a stream that breaks off isn't continued in the same response.
ROUTE = dataclasses.replace(
    router_harness.RESUMABLE, path_prefix="/stream-once/", max_attempts=1, timeout_s=10.0
)


@pytest.fixture
def served():
    store = fake_store.FakeStore()
    with harness_fleet.running(3, clocks.SystemClock()) as fleet:
        running = ServedFleet(fleet, store)
        for number in range(3):
            running.configure(number)
        yield running
    store.stop()


def versions_of(events: bytes) -> set[bytes]:
    return {line.split()[-1] for line in events.split(b"\n") if line.startswith(b"data:")}


def add_two_versions(served):
    for name, version in (("d-0", "v1"), ("d-1", "v1"), ("e-0", "v2"), ("e-1", "v2")):
        served.add_engine(name, version).version = version


def ids(only_ranked=False):
    keys = (f"first-{number}" for number in range(200))
    workspace = router_harness.WORKSPACE.name
    ranked = [
        each
        for each in keys
        if not only_ranked or stream_ranking.is_ranked(stream_versions.stream_key(workspace, each))
    ]
    return ranked[:STREAMS]


def version_of(served, request_id):
    """Return the version at which a stream has to begin, None for any."""
    upstreams = served.fleet.members[0].instance.directory.upstream_by_id.values()
    key = stream_versions.stream_key(router_harness.WORKSPACE.name, request_id)
    return stream_ranking.begin_version(key, upstreams, time.time())


def id_that_begins_at(served, version):
    """Return a ranked id; few of them begin at an engine that has just started."""
    numbered = (f"first-{number}" for number in itertools.count())
    return next(each for each in numbered if version_of(served, each) == version)


@pytest.mark.parametrize("kills", [1, 2])
def test_streams_go_on_at_their_version_after_all_instances_were_killed(served, kills):
    add_two_versions(served)
    served.fleet.exchange_reports()
    served.prove()
    begun = {each: served.begin_and_break(each, n % 3) for n, each in enumerate(ids())}
    for _ in range(kills):
        served.kill_all()
    answers = {each: served.take_up(each, n % 3) for n, each in enumerate(begun)}
    went_on = [each for each, answer in answers.items() if answer.status == 200]
    assert len(went_on) >= 0.7 * STREAMS
    for each in went_on:
        assert len(versions_of(begun[each] + answers[each].body)) == 1, each
    assert all(answers[each].status == 503 for each in begun if each not in went_on)


def test_instance_with_an_old_list_does_not_go_on_at_another_version(served):
    """One instance was cut off while servers of a new version joined."""
    old = served.add_engine("d", "v1")
    served.fleet.exchange_reports()
    served.prove()
    late = served.fleet.members[2].instance
    known = dict(late.directory.upstream_by_id)
    new = served.add_engine("e", "v2", born_ms=int(time.time() * 1000))
    late.update_directory(upstream_directory.Snapshot(known, 1))
    resumes = id_that_begins_at(served, "v2")
    assert served.begin_and_break(resumes, 0)
    assert new.received
    # The instances that remember the stream can't be asked.
    late.membership = dataclasses.replace(late.membership, peer_by_instance={})
    late.streams._recorded_by_key.clear()
    assert served.take_up(resumes, 2).status == 503
    assert old.received == []


def test_peers_are_asked_before_versions_are_compared(served):
    """An instance that was cut off asks again as soon as it can."""
    served.add_engine("d", "v1")
    served.fleet.serve_peers()
    served.fleet.exchange_reports()
    served.prove()
    late = served.fleet.members[2].instance
    known = dict(late.directory.upstream_by_id)
    new = served.add_engine("e", "v2", born_ms=int(time.time() * 1000))
    resumes = id_that_begins_at(served, "v2")
    assert served.begin_and_break(resumes, 0)
    late.update_directory(upstream_directory.Snapshot(known, 1))
    late.streams._recorded_by_key.clear()
    assert served.take_up(resumes, 2).status == 503, "its own list lacks the version"
    served.fleet.members[2].instance.update_directory(
        upstream_directory.Changes(
            {"e": served.fleet.members[0].instance.directory.upstream_by_id["e"]}, 3
        )
    )
    assert served.take_up(resumes, 2).status == 200
    assert len(new.received) == 2


def test_take_up_is_refused_for_now_while_the_store_can_not_be_read(served):
    served.add_engine("d", "v1")
    served.fleet.exchange_reports()
    served.prove()
    served.store.mode = fake_store.Mode.BUSY
    response = served.take_up("never-seen", 1)
    assert response.status == 503
    assert "retry-after" in response.headers
    served.store.mode = fake_store.Mode.GOOD
    assert served.take_up("seen-neither", 1).status == 200, "one version alone has served"


def test_streams_are_not_inferred_beside_instances_of_an_earlier_release(served):
    """These place streams without a rank."""
    add_two_versions(served)
    served.fleet.exchange_reports()
    served.prove()
    instance = served.fleet.members[0].instance
    peer, *_ = instance.membership.peer_by_instance.values()
    report = dataclasses.replace(peer.report, sequence=peer.report.sequence + 1, ranks_by_age=False)
    instance.handle_report(report)
    assert {served.take_up(each).status for each in ids(only_ranked=True)} == {503}


def begin_whole(served, request_id: str, number: int = 0):
    headers = {names.Header.REQUEST_ID: request_id}
    return served.fleet.members[number].stream("/stream-once/1", headers=headers).read()


def test_stream_whose_version_can_not_be_reached_is_refused_until_its_entries_are_gone(served):
    """Whichever instance meets refused connections, the version that a stream begins at is the same."""
    add_two_versions(served)
    served.fleet.exchange_reports()
    served.prove()
    bound = {each for each in ids() if version_of(served, each) == "v2"}
    assert 0 < len(bound) < STREAMS
    for name in ("e-0", "e-1"):
        served.fleet.members[0].upstreams[name].stop()
    for each in ids():
        response = begin_whole(served, each)
        assert (response.status, response.is_truncated) == (503 if each in bound else 200, False)
        assert ("retry-after" in response.headers) == (each in bound)
    for name in ("e-0", "e-1"):
        served.fleet.remove_upstream(name)
    for each in bound:
        response = begin_whole(served, each)
        assert (response.status, response.is_truncated) == (200, False)


# Streams that had begun while the servers of their version refused connections went on at that version
# after a loss of all memory, though another one had begun them.
def test_stream_does_not_go_on_at_a_version_whose_servers_were_down_when_it_began(served):
    add_two_versions(served)
    served.fleet.exchange_reports()
    served.prove()
    for name in ("e-0", "e-1"):
        served.fleet.members[0].upstreams[name].stop()
    for name in ("d-0", "d-1"):
        served.fleet.members[0].upstreams[name].behaviours = [Behaviour.BREAK_STREAM] * STREAMS
    begun = {each: begin_whole(served, each, n % 3) for n, each in enumerate(ids())}
    served.kill_all()
    for each in served.engines():
        each.behaviours = []
    served.add_engine("f-0", "v2", int(time.time() * 1000)).version = "v2"
    for number, (each, events) in enumerate(begun.items()):
        if events.status == 200:
            answer = served.take_up(each, number % 3)
            both = versions_of(events.body + answer.body)
            assert answer.status == 503 or both == {b"v1"}, each


OPEN_ROUTE = dataclasses.replace(ROUTE, is_open_to_all=True)


# Streams of a route without keys began by a list of any age, which no instance can reconstruct later.
@pytest.mark.parametrize(
    ("route", "age_s", "status"),
    [
        (ROUTE, stream_ranking.MAX_LIST_AGE_S - 1.0, 200),
        (ROUTE, stream_ranking.MAX_LIST_AGE_S + 0.1, 503),
        # The store shows the changes of 20 s, of which 12.5 s are for the stream itself.
        (OPEN_ROUTE, 6.0, 200),
        (OPEN_ROUTE, 6.6, 503),
        (OPEN_ROUTE, 600.0, 503),
        (dataclasses.replace(OPEN_ROUTE, kind=entities.RouteKind.STREAM), 600.0, 200),
    ],
)
def test_stream_begins_only_by_a_list_that_can_be_reconstructed(served, route, age_s, status):
    served.add_engine("d", "v1")
    member = served.fleet.members[0]
    member.instance.options = dataclasses.replace(
        member.instance.options, store_history_s=HISTORY_S
    )
    member.configure(route, router_harness.SAFE, revision=3)
    member.add_upstream("u")
    member.outdate_list(age_s)
    response = begin_whole(served, "first")
    assert response.status == status
    assert ("retry-after" in response.headers) == (status == 503)
    assert member.call("/safe/1").read().status == 200, "plain requests need no such list"


# Streams that began at an instance which was cut off, by a list without the servers of a release, went on at the
# new version when their callers took them up elsewhere.
@pytest.mark.parametrize("age_s", [6.0, 30.0])
def test_stream_that_began_by_an_old_list_does_not_go_on_at_another_version(served, age_s):
    old = served.add_engine("d", "v1")
    served.fleet.exchange_reports()
    for number, each in enumerate(served.fleet.members):
        each.instance.options = dataclasses.replace(each.instance.options, store_history_s=30.0)
        each.configure(OPEN_ROUTE, revision=3)
        if number < 2:
            each.instance.streams.on_origins = lambda *_: None
    cut_off = served.fleet.members[2]
    cut_off.instance.streams.on_origins = lambda *_: None
    known = dict(cut_off.instance.directory.upstream_by_id)
    served.add_engine("e", "v2", born_ms=int((time.time() - age_s) * 1000)).version = "v2"
    cut_off.instance.update_directory(upstream_directory.Snapshot(known, 1))
    cut_off.outdate_list(age_s)
    old.behaviours = [Behaviour.BREAK_STREAM] * STREAMS
    begun = {each: begin_whole(served, each, 2) for each in ids()}
    assert {each.status for each in begun.values()} == {200 if age_s < 10.0 else 503}
    served.store.delete(f"{names.SERVERS_PREFIX}d")
    for each in served.fleet.members[:2]:
        each.instance.update_directory(upstream_directory.Changes({"d": None}, 2))
    for number, (each, events) in enumerate(begun.items()):
        if events.status == 200:
            answer = served.take_up(each, number % 2)
            assert answer.status == 503 or len(versions_of(events.body + answer.body)) == 1, each


# An instance that missed changes while the source did not serve it believed its own record of them.
def test_upstream_that_came_and_went_unseen_is_no_evidence_for_the_other_version(served):
    served.add_engine("d", "v1")
    served.fleet.exchange_reports()
    served.prove()
    member = served.fleet.members[0]
    assert served.take_up("never-seen").status == 200, "one version alone has served"
    member.outdate_list(stream_ranking.MAX_LIST_AGE_S + 1.0)
    served.write("unseen", 1, "v2", LONG_AGO_MS)
    served.store.delete(f"{names.SERVERS_PREFIX}unseen")
    member.instance.source.record_list(0, served.fleet.clock.now_s())
    assert served.take_up("seen-neither").status == 503


class TestStoreLists:
    """What the store shows of its past."""

    @pytest.fixture
    def lists(self, store):
        address = platform_options.Address("127.0.0.1", store.port)
        return store_lists.StoreLists(address, HISTORY_S, lambda: 7)

    def test_current_list_has_the_creation_of_each_entry(self, store, lists):
        current = lists.read_list(1.0)
        assert len(current.listed) == 7
        assert len({each.created for each in current.listed}) == 7
        assert current.configuration_created == 7

    def test_whole_history_is_found(self, store, lists):
        store.delete("servers/i-3")
        past = lists.read_past(1000.0, 1.0)
        assert past.since_s == float("-inf")
        removed = {key for key, entries in past.upstreams_by_id.items() if entries[-1] is None}
        assert removed == {"i-3"}

    @pytest.mark.parametrize("dropped", [1, 2, 3, 7, 8, 9])
    def test_oldest_change_that_the_store_has_is_found(self, store, lists, dropped):
        store.delete("servers/i-3")
        store.drop_history(up_to=dropped)
        past = lists.read_past(1000.0, 1.0)
        if dropped > 1:
            assert (past.after, past.since_s) == (dropped, 1000.0 - HISTORY_S)
        assert past.upstreams_by_id["i-3"][-1] is None

    def test_store_that_has_no_history_shows_nothing(self, store, lists):
        store.delete("servers/i-3")
        store.drop_history()
        past = lists.read_past(1000.0, 1.0)
        assert (past.after, past.upstreams_by_id) == (store.revision, {})

    def test_positions_name_the_era(self, store, lists):
        store.restore(store.copy())
        store.delete("servers/i-3")
        past = lists.read_past(1000.0, 1.0)
        assert past.after >> 32 == 1
        assert list(past.upstreams_by_id) == ["i-3"]

    def test_unreachable_store_is_an_error(self, store, lists):
        store.mode = fake_store.Mode.RESET
        for read in (lambda: lists.read_list(0.2), lambda: lists.read_past(1.0, 0.2)):
            with pytest.raises(configuration_source.SourceError):
                read()


@pytest.mark.parametrize("is_evacuated", [True, False])
def test_stream_that_began_among_fewer_upstreams_does_not_go_on_at_another_version(
    served, is_evacuated
):
    """The first one of all upstreams was evacuated, or outside the allowed regions, when it began."""
    add_two_versions(served)
    resumes = id_that_begins_at(served, "v2")
    for number, each in enumerate(served.fleet.members):
        instance = each.instance
        instance.options = dataclasses.replace(instance.options, region_by_domain={"a": "r1"})
        for name in ("e-0", "e-1"):
            entry = dataclasses.replace(instance.directory.upstream_by_id[name], domain="b")
            instance.update_directory(upstream_directory.Changes({name: entry}, 1))
        instance.streams.changes = upstream_changes.ChangeLog((), 0.0)
        if is_evacuated:
            instance.evacuation.apply(evacuation.Changes({"b": True}))
        else:
            bound = dataclasses.replace(ROUTE, allowed_regions=frozenset({"r1"}))
            served.fleet.members[number].configure(bound, revision=3)
    served.fleet.exchange_reports()
    served.prove()
    assert versions_of(served.begin_and_break(resumes)) == {b"v1"}
    for number, each in enumerate(served.fleet.members):
        each.instance.streams._recorded_by_key.clear()
        each.instance.evacuation.apply(evacuation.Changes({"b": False}))
        served.fleet.members[number].configure(ROUTE, revision=4)
        each.instance.confirm_revision(4, served.fleet.clock.now_s())
    assert served.take_up(resumes, 1).status == 503


@pytest.mark.parametrize("is_evacuated", [True, False])
def test_first_upstream_that_is_left_out_does_not_tell_the_version(served, is_evacuated):
    """The version of the first one of all is served elsewhere too, but the stream began at another."""
    add_two_versions(served)
    for each in served.fleet.members:
        instance = each.instance
        instance.options = dataclasses.replace(instance.options, region_by_domain={"a": "r1"})
        entry = dataclasses.replace(instance.directory.upstream_by_id["d-0"], domain="b")
        instance.update_directory(upstream_directory.Changes({"d-0": entry}, 1))
        instance.streams.changes = upstream_changes.ChangeLog((), 0.0)
        bound = dataclasses.replace(ROUTE, allowed_regions=frozenset({"r1"}))
        each.configure(ROUTE if is_evacuated else bound, revision=3)
        instance.confirm_revision(3, served.fleet.clock.now_s())
        if is_evacuated:
            instance.evacuation.apply(evacuation.Changes({"b": True}))
        instance.eligibility.lists_changed_s = float("-inf")  # Long ago.
    served.fleet.exchange_reports()
    begun = {each: served.begin_and_break(each) for each in ids(only_ranked=True)}
    for each in served.fleet.members:
        each.instance.streams._recorded_by_key.clear()
        each.instance.confirm_revision(3, served.fleet.clock.now_s())
    for key, events in begun.items():
        answer = served.take_up(key, 1)
        assert answer.status == 503 or versions_of(answer.body) == versions_of(events), key


# Instances that had been killed did not know which upstreams had been evacuated or outside the allowed regions before,
# and inferred the version from all of them.
@pytest.mark.parametrize("is_evacuated", [True, False])
def test_stream_that_began_among_fewer_upstreams_is_lost_with_all_memory(served, is_evacuated):
    add_two_versions(served)
    resumes = id_that_begins_at(served, "v2")
    bound = dataclasses.replace(ROUTE, allowed_regions=frozenset({"r1"}))
    for each in served.fleet.members:
        instance = each.instance
        instance.options = dataclasses.replace(instance.options, region_by_domain={"a": "r1"})
        for name in ("e-0", "e-1"):
            entry = dataclasses.replace(instance.directory.upstream_by_id[name], domain="b")
            instance.update_directory(upstream_directory.Changes({name: entry}, 1))
        if is_evacuated:
            instance.evacuation.apply(evacuation.Changes({"b": True}))
        else:
            each.configure(bound, revision=3)
    served.fleet.exchange_reports()
    served.prove()
    assert versions_of(served.begin_and_break(resumes)) == {b"v1"}
    if is_evacuated:
        served.store.put(f"{names.EVACUATION_PREFIX}b", {})
        served.store.delete(f"{names.EVACUATION_PREFIX}b")
    served.kill_all()
    for each in served.fleet.members:
        if not is_evacuated:
            each.configure(ROUTE, dataclasses.replace(bound, path_prefix="/x/"), revision=4)
            each.instance.confirm_revision(4, served.fleet.clock.now_s())
            # As if it had been the first one that the instance read.
            each.instance.eligibility.lists_changed_s = float("-inf")
    assert served.take_up(resumes, 1).status == 503
