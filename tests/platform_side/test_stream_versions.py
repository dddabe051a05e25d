"""A stream goes on only at the software version of the engine that began it.

Regression: callers got streams that began at one version and went on at another one, within one
answer and when they took a broken stream up again.
"""

from __future__ import annotations

import dataclasses
import threading
import time

import pytest

from carawaydoor.operating import clocks
from carawaydoor.platform import names
from carawaydoor.policy import (
    entities,
    load,
    stream_ranking,
    stream_versions,
    upstream_directory,
)
from tests.platform_side import harness_fleet, router_harness
from tests.platform_side.fake_upstream import Behaviour

PREFILL, DECODE = entities.Stage.PREFILL, entities.Stage.DECODE
EVENTS = 6
OTHER = dataclasses.replace(router_harness.WORKSPACE, name="other")
PLAIN_STREAM = dataclasses.replace(
    router_harness.RESUMABLE, path_prefix="/plain-stream/", shares=router_harness.SAFE.shares
)


@pytest.fixture
def harness():
    with router_harness.running() as running:
        running.add_upstream("p", PREFILL)
        yield running


@pytest.fixture
def fleet():
    with harness_fleet.running(3, clocks.SystemClock()) as running:
        running.add_upstream("p", PREFILL)
        yield running


def id_that_begins_at(harness, version, stage=DECODE):
    """Return an id of a request whose stream begins at a version while several serve."""
    upstreams = [
        each for each in harness.instance.directory.upstream_by_id.values() if each.stage is stage
    ]
    ids = (f"id-of-{version}-{number}" for number in range(100))
    workspace = router_harness.WORKSPACE.name
    return next(
        each
        for each in ids
        if stream_ranking.begin_version(
            stream_versions.stream_key(workspace, each), upstreams, time.time()
        )
        == version
    )


def add_engine(target, name, version, *behaviours):
    engine = target.add_upstream(name, DECODE, EVENTS, version)
    engine.behaviours = list(behaviours)
    return engine


def begin_and_break(member, engine, request_id="first"):
    """Begin a stream at the only engine and break it off; return the last event that arrived."""
    engine.behaviours = [Behaviour.BREAK_STREAM]
    response = member.stream("/resumable/1", headers={names.Header.REQUEST_ID: request_id}).read()
    assert response.is_truncated
    return response.body.count(b"id:")


def take_up(member, resumes, last_event, request_id="second", **kwargs):
    headers = {
        names.Header.REQUEST_ID: request_id,
        names.Header.LAST_EVENT_ID: str(last_event),
        **({names.Header.RESUMES: resumes} if resumes else {}),
    }
    return member.stream("/resumable/1", headers=headers, **kwargs).read()


def continued(engine):
    """Return the requests that an engine got for the rest of a stream."""
    return [each for each in engine.received if each.header(names.Header.LAST_EVENT_ID)]


@pytest.mark.parametrize("path", ["/stream/1", "/resumable/1"])
@pytest.mark.parametrize("failure", [Behaviour.BREAK_STREAM, Behaviour.HANG_STREAM])
def test_answer_does_not_go_on_at_another_version(harness, path, failure):
    add_engine(harness, "d", "v1", failure)
    # Rejects the request itself, should it be offered there first.
    other = add_engine(harness, "e", "v2", Behaviour.REJECT)
    headers = {names.Header.REQUEST_ID: id_that_begins_at(harness, "v1")}
    response = harness.stream(path, headers=headers).read()
    assert response.is_truncated
    assert continued(other) == []


def test_answer_goes_on_at_another_engine_of_its_version(harness):
    add_engine(harness, "d", "v1", Behaviour.BREAK_STREAM)
    other = add_engine(harness, "e", "v2", Behaviour.REJECT)
    same = add_engine(harness, "f", "v1")
    headers = {names.Header.REQUEST_ID: id_that_begins_at(harness, "v1")}
    response = harness.stream("/resumable/1", headers=headers).read()
    assert not response.is_truncated
    assert continued(other) == []
    assert len(continued(same)) == 1


@pytest.mark.parametrize("taker", [0, 1], ids=["same instance", "another instance"])
def test_stream_is_taken_up_at_the_version_that_began_it(fleet, taker):
    # Engines that are alike are chosen in the order of their names.
    begun = add_engine(fleet, "z", "v1")
    last_event = begin_and_break(fleet.members[0], begun)
    fleet.exchange_reports()
    others = [add_engine(fleet, f"a-{n}", "v2") for n in range(4)]
    for each in fleet.members:
        each.instance.selector.forget_health("z")
    response = take_up(fleet.members[taker], "first", last_event)
    assert (response.status, response.is_truncated) == (200, False)
    assert [continued(each) for each in others] == [[], [], [], []]
    assert len(continued(begun)) == 1


@pytest.mark.parametrize("restarted", [[0], [1], [0, 1, 2]], ids=["began", "other", "in turn"])
def test_streams_are_taken_up_after_restarts(fleet, restarted):
    """Instances that start are told by their peers what they should remember."""
    begun = add_engine(fleet, "z", "v1")
    fleet.exchange_reports()
    last_events = {
        f"first-{number}": begin_and_break(member, begun, f"first-{number}")
        for number, member in enumerate(fleet.members * 2)
    }
    others = [add_engine(fleet, f"a-{n}", "v2") for n in range(4)]
    for number in restarted:
        fleet.restart(number)
        fleet.exchange_reports()
    for each in fleet.members:
        each.instance.selector.forget_health("z")
    for number, (first, last_event) in enumerate(last_events.items()):
        taker = fleet.members[number % 2]
        assert take_up(taker, first, last_event, f"second-{number}").status == 200
    assert len(continued(begun)) == len(last_events)
    assert [each.received for each in others] == [[], [], [], []]


def test_streams_are_not_taken_up_once_no_instance_remembers_them(fleet):
    begun = add_engine(fleet, "z", "v1")
    last_event = begin_and_break(fleet.members[0], begun)
    other = add_engine(fleet, "a", "v2")
    for number in range(3):
        fleet.restart(number)
    fleet.exchange_reports()
    assert take_up(fleet.members[0], "first", last_event).status == 503
    assert continued(begun) == other.received == []


def test_stream_of_another_workspace_or_with_an_id_used_twice_is_not_taken_up(fleet):
    begun = add_engine(fleet, "z", "v1")
    fleet.exchange_reports()
    last_event = begin_and_break(fleet.members[0], begun)
    other = add_engine(fleet, "a", "v2")
    for each in fleet.members:
        keys = {"key-1": router_harness.WORKSPACE, "key-2": OTHER}
        each.configure(revision=2, workspace_by_key=keys)
    assert take_up(fleet.members[0], "first", last_event, key="key-2").status == 503
    fleet.remove_upstream("z")
    assert begin_and_break(fleet.members[1], other)
    assert take_up(fleet.members[1], "first", last_event).status == 503
    assert continued(other) == []


def test_stream_whose_version_has_left_is_refused_at_once(fleet):
    begun = add_engine(fleet, "d", "v1")
    last_event = begin_and_break(fleet.members[0], begun)
    other = add_engine(fleet, "e", "v2")
    fleet.exchange_reports()
    fleet.remove_upstream("d")
    response = take_up(fleet.members[1], "first", last_event)
    assert response.status == 503
    assert other.received == []


def test_stream_that_no_instance_remembers_is_not_taken_up_among_two_versions(fleet):
    engines = [add_engine(fleet, "d", "v1"), add_engine(fleet, "e", "v2")]
    fleet.exchange_reports()
    response = take_up(fleet.members[1], "never-seen", 3)
    assert response.status == 503
    assert [each.received for each in engines] == [[], []]


def test_stream_without_the_id_of_its_first_attempt_is_not_taken_up_among_two_versions(fleet):
    engines = [add_engine(fleet, "d", "v1"), add_engine(fleet, "e", "v2")]
    fleet.exchange_reports()
    assert take_up(fleet.members[0], "", 3).status == 503
    assert [each.received for each in engines] == [[], []]


# A stream that waited while the first server of a second version joined began there by load, against its rank.
def test_stream_that_waited_while_a_version_joined_begins_at_the_version_of_its_rank(
    harness, monkeypatch
):
    old, new = add_engine(harness, "d", "v1"), add_engine(harness, "e", "v2")
    resumes, instance = id_that_begins_at(harness, "v1"), harness.instance
    entry = instance.directory.upstream_by_id["e"]
    instance.update_directory(upstream_directory.Changes({"e": None}, 2))
    rank = instance.selector.begin_version

    def rank_and_join(*arguments):
        version = rank(*arguments)
        instance.update_directory(upstream_directory.Changes({"e": entry}, 3))
        return version

    monkeypatch.setattr(instance.selector, "begin_version", rank_and_join)
    instance.selector._add_load("d", load.Work(1, 20_000))
    headers = {names.Header.REQUEST_ID: resumes}
    assert harness.stream("/resumable/1", headers=headers).read().status == 200
    assert (len(old.received), len(new.received)) == (1, 0)


# An instance that the store did not answer went on with streams at servers that had been replaced under their ids
# by another version, which its peers knew.
@pytest.mark.parametrize(
    ("learns_after_s", "goes_on"), [(None, False), (0.3, True)], ids=["never", "in time"]
)
def test_stream_does_not_go_on_by_a_list_that_a_peer_knows_to_be_outdated(
    harness, learns_after_s, goes_on
):
    begun, other = (add_engine(harness, each, "v1", Behaviour.BREAK_STREAM) for each in "de")
    source = harness.instance.source
    source.note_peer_revision(7)
    if learns_after_s is not None:
        threading.Timer(learns_after_s, source.record_list, (7, harness.clock.now_s())).start()
    response = harness.stream("/resumable/1", headers={names.Header.REQUEST_ID: "first"}).read()
    assert response.is_truncated
    assert len(continued(begun) + continued(other)) == goes_on
    taken_up = take_up(harness, "first", 2)
    assert (taken_up.status, "retry-after" in taken_up.headers) == (
        (200, False) if goes_on else (503, True)
    )


def test_stream_does_not_go_on_by_a_list_that_is_too_old(harness):
    begun, other = (add_engine(harness, each, "v1", Behaviour.BREAK_STREAM) for each in "de")
    harness.outdate_list(stream_ranking.MAX_LIST_AGE_S - 0.3)
    response = harness.stream("/resumable/1", headers={names.Header.REQUEST_ID: "first"})
    time.sleep(0.4)
    assert response.read().is_truncated
    assert continued(begun) + continued(other) == []
    assert take_up(harness, "first", 2).status == 503


# A server's notice that it leaves, which its entry did not say yet, moved streams to another version than the one
# that instances infer from the entries.
@pytest.mark.parametrize("route", ["/resumable/", "/plain-stream/"])
def test_notice_of_a_server_that_leaves_does_not_change_the_version_of_a_rank(harness, route):
    stage = DECODE if route == "/resumable/" else entities.Stage.NONE
    harness.configure(router_harness.RESUMABLE, PLAIN_STREAM, revision=2)
    staying, leaving = (
        harness.add_upstream(name, stage, EVENTS, version)
        for name, version in (("d", "v1"), ("e", "v2"))
    )
    request_id = id_that_begins_at(harness, "v2", stage)
    entry = harness.instance.directory.upstream_by_id["e"]
    harness.instance.update_directory(upstream_directory.SaidLeaving("e", entry.born_ms))
    headers = {names.Header.REQUEST_ID: request_id}
    refused = harness.stream(f"{route}1", headers=headers).read()
    assert (refused.status, "retry-after" in refused.headers) == (503, True)
    entry = dataclasses.replace(entry, is_leaving=True)
    harness.instance.update_directory(upstream_directory.Changes({"e": entry}, 2))
    assert harness.stream(f"{route}1", headers=headers).read().status == 200
    assert (len(staying.received), leaving.received) == (1, [])
