"""Instances find each other, tell ages truly and forget those that are gone."""

from __future__ import annotations

import dataclasses

import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from carawaydoor.fleet import codec, gossip
from carawaydoor.policy import load, strikes

ME = "m"


def report(name="p", sequence=1, **changes):
    base = gossip.Report(
        contact=gossip.Contact(name, f"10.0.0.{ord(name[0])}"),
        domain="a",
        incarnation=5,
        sequence=sequence,
        sent_s=50.0,
        is_leaving=False,
        revision=7,
        proof_age_s=0.5,
        work_by_upstream={"u": load.Work(2, 9000)},
        used_by_workspace={"w": 10.0},
        echo_by_instance={},
        contacts=(),
        strikes=(),
        set_aside_s_by_upstream={},
        source_steady_s=1.0,
        requests_by_service={"s": 3.0},
        repeats_by_service={"s": 1.0},
    )
    return dataclasses.replace(base, **changes)


def heard(*reports, now_s=100.0):
    state = gossip.Membership(ME, {})
    effects = ()
    for each in reports:
        state, effects = gossip.apply_report(state, now_s, each)
    return state, effects


def test_proof_counts_from_the_echo_however_late_the_report_is_read():
    """A report may wait in the queue of a suspended process: its own time proves nothing."""
    _, effects = heard(report(echo_by_instance={ME: 90.0}), now_s=100.0)
    assert gossip.FreshnessProof(7, 89.5) in effects


def test_report_without_an_echo_proves_nothing():
    _, effects = heard(report())
    assert not any(isinstance(each, gossip.FreshnessProof) for each in effects)


def test_echo_from_the_future_proves_nothing():
    _, effects = heard(report(echo_by_instance={ME: 101.0}), now_s=100.0)
    assert not any(isinstance(each, gossip.FreshnessProof) for each in effects)


def test_older_report_of_the_same_incarnation_is_ignored():
    state, effects = heard(report(sequence=9), report(sequence=8, work_by_upstream={}))
    assert effects == ()
    assert gossip.peer_work(state, 100.0) == {"u": load.Work(2, 9000)}


def test_new_incarnation_counts_from_its_first_report():
    state, effects = heard(report(sequence=9), report(incarnation=6, work_by_upstream={}))
    assert any(isinstance(each, gossip.PeerJoined) for each in effects)
    assert gossip.peer_work(state, 100.0) == {}


def test_work_of_an_instance_that_leaves_still_counts():
    """Found by scale-1: engines rejected, since streams of leaving instances were forgotten."""
    state, _ = heard(report(), report(sequence=2, is_leaving=True))
    assert gossip.peer_work(state, 100.0)["u"].tokens == 9000


def test_work_of_a_silent_peer_fades():
    """Found by scale-1: runs of an instance without power go on at their engines."""
    state, _ = heard(report())
    fading = gossip.peer_work(state, 100.0 + gossip.MIN_SILENCE_TIMEOUT_S + 2.5)["u"]
    assert 0 < fading.tokens < 9000
    assert gossip.peer_work(state, 120.0) == {}


def test_contacts_are_learned_from_others():
    other = gossip.Contact("q", "10.0.0.9")
    state, _ = heard(report(contacts=(other, gossip.Contact(ME, "10.0.0.1"))))
    assert set(state.peer_by_instance) == {"p", "q"}
    _, contacts = gossip.next_recipients(state)
    assert other in contacts


def test_silent_peers_are_forgotten_and_leaving_ones_sooner():
    state, _ = heard(report())
    assert gossip.expire(state, 120.0)[0].peer_by_instance
    state, effects = gossip.expire(state, 131.0)
    assert not state.peer_by_instance
    assert effects == (gossip.PeerLost(report().contact, False),)
    leaving, _ = heard(report(is_leaving=True))
    assert not gossip.expire(leaving, 106.0)[0].peer_by_instance


def test_rounds_reach_everybody_in_turn_with_bounded_fan_out():
    state, _ = heard(*(report(f"{chr(65 + i)}{i}") for i in range(40)))
    reached = set()
    for _ in range(4):
        state, contacts = gossip.next_recipients(state)
        assert len(contacts) == gossip.FAN_OUT_PEERS
        reached.update(each.instance for each in contacts)
    assert len(reached) == 40


def test_contacts_are_passed_on_in_turn_and_in_large_fleets_not_in_each_round():
    state, _ = heard(*(report(f"{chr(65 + i)}{i}") for i in range(40)))
    passed, rounds = set(), 0
    for _ in range(5 * gossip.CONTACT_INTERVAL_ROUNDS):
        contacts = gossip.contacts_to_share(state)
        assert len(contacts) <= gossip.MAX_CONTACTS_PER_REPORT
        passed.update(each.instance for each in contacts)
        rounds += bool(contacts)
        state, _ = gossip.next_recipients(state)
    assert rounds == 5
    assert len(passed) == 40
    few, _ = heard(report("p"))
    few, _ = gossip.next_recipients(few)
    assert gossip.contacts_to_share(few)


def test_new_work_is_told_to_all_at_once_as_far_as_the_budget_reaches():
    state, _ = heard(*(report(f"{chr(65 + i)}{i}") for i in range(40)))
    state, first = gossip.next_work_recipients(state, 200.0)
    assert len({each.instance for each in first}) == 40
    assert gossip.staleness_s(state, 200.0) > 0.0
    state, second = gossip.next_work_recipients(state, 200.0)
    assert len(second) == gossip.WORK_DATAGRAMS_PER_S - 40
    state, third = gossip.next_work_recipients(state, 200.0)
    assert third == ()
    state, later = gossip.next_work_recipients(state, 201.0)
    assert len(later) == 40
    assert gossip.staleness_s(state, 202.0) == 0.0


def test_told_work_replaces_what_the_last_report_said():
    state, _ = heard(report(sequence=4))
    known = state.peer_by_instance["p"].report
    told = gossip.WorkReport("p", known.incarnation, 5, {"d": load.Work(2, 900)})
    after = gossip.apply_work_report(state, 101.0, told)
    assert gossip.peer_work(after, 101.0) == {"d": load.Work(2, 900)}
    assert after.peer_by_instance["p"].last_report_s == 101.0
    for change in ({"sequence": 4}, {"incarnation": 99}, {"instance": "q"}):
        assert gossip.apply_work_report(state, 101.0, dataclasses.replace(told, **change)) == state
    assert gossip.apply_work_report(state, 103.0, told) == state, "the peer has been silent"
    older, _ = gossip.apply_report(after, 102.0, report(sequence=4))
    assert older == after, "the round that was overtaken brings nothing"


def test_longest_steady_source_of_a_heard_peer():
    state, _ = heard(report("p", source_steady_s=9.0), report("q", source_steady_s=4.0))
    assert gossip.longest_source_uptime_s(state, 100.0) == 9.0
    assert gossip.longest_source_uptime_s(state, 105.0) == 0.0


def test_first_of_a_whole_and_steady_fleet():
    state, _ = heard(report("z"))
    assert not gossip.is_leader(state, 100.5, 0.9)
    assert gossip.is_leader(state, 100.95, 0.9)
    assert not gossip.is_leader(state, 103.0, 0.9), "a peer is not heard"
    after, _ = heard(report("a"))
    assert not gossip.is_leader(after, 100.95, 0.9)
    assert not gossip.is_leader(gossip.Membership(ME, {}), 100.0, 0.9)


FLOATS = st.floats(allow_nan=False, allow_infinity=False)
NAMES = st.text(min_size=1, max_size=20)
REPORTS = st.builds(
    gossip.Report,
    contact=st.builds(gossip.Contact, NAMES, NAMES),
    domain=NAMES,
    incarnation=st.integers(0, 2**62),
    sequence=st.integers(0, 2**62),
    sent_s=FLOATS,
    is_leaving=st.booleans(),
    revision=st.integers(0, 2**62),
    proof_age_s=FLOATS,
    work_by_upstream=st.dictionaries(
        NAMES, st.builds(load.Work, st.integers(0, 2**31 - 1), st.integers(0, 2**31 - 1))
    ),
    used_by_workspace=st.dictionaries(NAMES, FLOATS),
    echo_by_instance=st.dictionaries(NAMES, FLOATS),
    contacts=st.lists(st.builds(gossip.Contact, NAMES, NAMES), max_size=3).map(tuple),
    strikes=st.lists(
        st.builds(gossip.SharedStrike, NAMES, st.builds(strikes.Strike, NAMES, FLOATS)),
        max_size=3,
    ).map(tuple),
    set_aside_s_by_upstream=st.dictionaries(NAMES, FLOATS),
    source_steady_s=FLOATS,
    requests_by_service=st.dictionaries(NAMES, FLOATS),
    repeats_by_service=st.dictionaries(NAMES, FLOATS),
)


WORK_REPORTS = st.builds(
    gossip.WorkReport,
    NAMES,
    st.integers(0, 2**62),
    st.integers(0, 2**62),
    st.dictionaries(NAMES, st.builds(load.Work, st.integers(0, 99), st.integers(0, 2**31 - 1))),
)


@given(REPORTS | WORK_REPORTS)
def test_report_survives_the_wire(value):
    assert codec.decode(codec.encode(value)) == value


@given(st.binary(max_size=400))
@example(b"\x0b\x00\x00\x0e")
@example(b"\x0f\x00\x0d\x0c\x7f\xff\xff\xff")
def test_rubbish_is_no_report(content):
    """Found here: a damaged length kept the decoder busy for minutes."""
    with pytest.raises(codec.CodecError):
        codec.decode(content)


@given(REPORTS, st.integers(0, 10_000), st.integers(1, 255))
def test_damaged_report_is_no_report(value, position, flip):
    content = bytearray(codec.encode(value))
    content[position % len(content)] ^= flip
    with pytest.raises(codec.CodecError):
        codec.decode(bytes(content))
