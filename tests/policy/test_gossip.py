"""Gossip: peer discovery, ages of reports, expiry of peers, and the encoding of reports."""

from __future__ import annotations

import dataclasses
import zlib

import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from carawaydoor.fleet import codec, gossip, report_effects, reports
from carawaydoor.policy import load, strikes

OWN_NAME = "m"


def report(name="p", sequence=1, **changes):
    base = reports.Report(
        contact=reports.Contact(name, f"10.0.0.{ord(name[0])}"),
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


def apply_reports(*reports, now_s=100.0):
    state = gossip.Membership(OWN_NAME, {})
    effects = ()
    for each in reports:
        state, effects = gossip.apply_report(state, now_s, each)
    return state, effects


def test_freshness_proof_counts_from_the_echo_even_if_the_report_is_read_late():
    """A report may wait in the socket of a suspended process: its arrival time proves nothing."""
    _, effects = apply_reports(report(echo_by_instance={OWN_NAME: 90.0}), now_s=100.0)
    assert report_effects.FreshnessProof(7, 89.5) in effects


def test_list_is_proven_by_peers_that_say_how_old_theirs_is():
    """Regression: a proof of the configuration stood for one of the list of upstreams."""
    told = report(echo_by_instance={OWN_NAME: 90.0}, source_revision=12)
    _, effects = apply_reports(dataclasses.replace(told, list_age_s=2.5))
    assert report_effects.ListProof(12, 87.5) in effects
    _, effects = apply_reports(told)
    assert not any(isinstance(each, report_effects.ListProof) for each in effects)


PROOFS = (report_effects.FreshnessProof, report_effects.ListProof)


def test_report_without_an_echo_proves_no_freshness():
    _, effects = apply_reports(report(list_age_s=0.5))
    assert not any(isinstance(each, PROOFS) for each in effects)


def test_echo_from_the_future_proves_no_freshness():
    told = report(echo_by_instance={OWN_NAME: 101.0}, list_age_s=0.5)
    _, effects = apply_reports(told, now_s=100.0)
    assert not any(isinstance(each, PROOFS) for each in effects)


def test_older_report_of_the_same_incarnation_is_ignored():
    state, effects = apply_reports(report(sequence=9), report(sequence=8, work_by_upstream={}))
    assert effects == ()
    assert gossip.peer_work(state, 100.0) == {"u": load.Work(2, 9000)}


def test_first_report_of_a_new_incarnation_replaces_the_old_one():
    state, effects = apply_reports(report(sequence=9), report(incarnation=6, work_by_upstream={}))
    assert any(isinstance(each, report_effects.PeerJoined) for each in effects)
    assert gossip.peer_work(state, 100.0) == {}


def test_work_of_a_leaving_instance_still_counts():
    """Without the streams of leaving instances, engines got too much work and rejected requests."""
    state, _ = apply_reports(report(), report(sequence=2, is_leaving=True))
    assert gossip.peer_work(state, 100.0)["u"].tokens == 9000


def test_work_of_a_silent_peer_is_discounted_over_time():
    """Engines go on with the requests of an instance that lost power."""
    state, _ = apply_reports(report())
    discounted = gossip.peer_work(state, 100.0 + gossip.MIN_SILENCE_TIMEOUT_S + 2.5)["u"]
    assert 0 < discounted.tokens < 9000
    assert gossip.peer_work(state, 120.0) == {}


def test_contacts_are_learned_from_reports():
    other = reports.Contact("q", "10.0.0.9")
    state, _ = apply_reports(report(contacts=(other, reports.Contact(OWN_NAME, "10.0.0.1"))))
    assert set(state.peer_by_instance) == {"p", "q"}
    _, contacts = gossip.next_recipients(state)
    assert other in contacts


def test_silent_peers_expire_and_leaving_ones_sooner():
    state, _ = apply_reports(report())
    assert gossip.expire(state, 120.0)[0].peer_by_instance
    state, effects = gossip.expire(state, 131.0)
    assert not state.peer_by_instance
    assert effects == (report_effects.PeerLost(report().contact, False),)
    leaving, _ = apply_reports(report(is_leaving=True))
    assert not gossip.expire(leaving, 106.0)[0].peer_by_instance


def test_rounds_reach_all_peers_in_rotation_with_limited_fan_out():
    state, _ = apply_reports(*(report(f"{chr(65 + i)}{i}") for i in range(40)))
    recipients = set()
    for _ in range(4):
        state, contacts = gossip.next_recipients(state)
        assert len(contacts) == gossip.FAN_OUT_PEERS
        recipients.update(each.instance for each in contacts)
    assert len(recipients) == 40


def test_contacts_are_shared_in_rotation_and_in_large_fleets_not_in_each_round():
    state, _ = apply_reports(*(report(f"{chr(65 + i)}{i}") for i in range(40)))
    shared, rounds_with_contacts = set(), 0
    for _ in range(5 * gossip.CONTACT_INTERVAL_ROUNDS):
        contacts = gossip.contacts_to_share(state)
        assert len(contacts) <= gossip.MAX_CONTACTS_PER_REPORT
        shared.update(each.instance for each in contacts)
        rounds_with_contacts += bool(contacts)
        state, _ = gossip.next_recipients(state)
    assert rounds_with_contacts == 5
    assert len(shared) == 40
    small_fleet, _ = apply_reports(report("p"))
    small_fleet, _ = gossip.next_recipients(small_fleet)
    assert gossip.contacts_to_share(small_fleet)


def test_new_work_is_announced_to_all_peers_as_far_as_the_send_credit_allows():
    state, _ = apply_reports(*(report(f"A{i}") for i in range(200)))
    state, first = gossip.next_work_recipients(state, 200.0)
    assert len({each.instance for each in first}) == 200
    assert gossip.staleness_s(state, 200.0) > 0.0
    state, second = gossip.next_work_recipients(state, 200.0)
    assert len(second) == gossip.WORK_DATAGRAMS_PER_S - 200
    state, third = gossip.next_work_recipients(state, 200.0)
    assert third == ()
    state, later = gossip.next_work_recipients(state, 201.0)
    assert len(later) == 200
    assert gossip.staleness_s(state, 202.0) == 0.0


def test_work_report_adds_recent_usage_to_that_of_the_last_full_report():
    """A partial map must not reset what the full report said of other workspaces."""
    full = report(sequence=4, used_by_workspace={"w": 10.0, "x": 5.0})
    state, _ = apply_reports(full)
    work_report = reports.WorkReport("p", 5, 5, {}, {"w": 30.0}, {"s": 9.0}, {})
    state, effects = gossip.apply_work_report(state, 101.0, work_report)
    usage = report_effects.PeerUsage("p/5", {"w": 30.0, "x": 5.0}, {"s": 9.0}, {"s": 1.0})
    assert effects == (usage,)
    assert state.peer_by_instance["p"].report.used_by_workspace == {"w": 30.0, "x": 5.0}


def test_work_of_a_dead_peer_fades_before_a_large_fleet_counts_it_as_silent():
    """Many of 195 instances lose power; the fleet hears each peer only every four seconds."""
    state, _ = apply_reports(*(report(f"A{i}") for i in range(194)))
    died_s = 100.0
    assert gossip.silence_timeout_s(state) > gossip.MAX_WORK_TRUST_S
    assert gossip.peer_work(state, died_s + gossip.MAX_WORK_TRUST_S)["u"].requests == 2 * 194
    fading_s = died_s + gossip.MAX_WORK_TRUST_S + gossip.WORK_DECAY_S / 2.0
    assert gossip.peer_work(state, fading_s)["u"].requests == 194
    assert not gossip.peer_work(state, fading_s + gossip.WORK_DECAY_S / 2.0)


def test_work_report_replaces_the_work_of_the_last_full_report():
    state, _ = apply_reports(report(sequence=4))
    full_report = state.peer_by_instance["p"].report
    work_report = reports.WorkReport("p", full_report.incarnation, 5, {"d": load.Work(2, 900)})
    new_state, _ = gossip.apply_work_report(state, 101.0, work_report)
    assert gossip.peer_work(new_state, 101.0) == {"d": load.Work(2, 900)}
    assert new_state.peer_by_instance["p"].last_report_s == 101.0
    for change in ({"sequence": 4}, {"incarnation": 99}, {"instance": "q"}):
        assert (
            gossip.apply_work_report(state, 101.0, dataclasses.replace(work_report, **change))[0]
            == state
        )
    assert (
        gossip.apply_work_report(state, 103.0, work_report)[0] == state
    ), "a work report must not make a silent peer live"
    unchanged, _ = gossip.apply_report(new_state, 102.0, report(sequence=4))
    assert unchanged == new_state, "a report older than the work report changes nothing"


def test_longest_source_uptime_of_a_live_peer():
    state, _ = apply_reports(report("p", source_steady_s=9.0), report("q", source_steady_s=4.0))
    assert gossip.longest_source_uptime_s(state, 100.0) == 9.0
    assert gossip.longest_source_uptime_s(state, 105.0) == 0.0


def test_leader_of_a_complete_and_stable_fleet():
    state, _ = apply_reports(report("z"))
    assert not gossip.is_leader(state, 100.5, 0.9)
    assert gossip.is_leader(state, 100.95, 0.9)
    assert not gossip.is_leader(state, 103.0, 0.9), "a peer is silent"
    with_lower_name, _ = apply_reports(report("a"))
    assert not gossip.is_leader(with_lower_name, 100.95, 0.9)
    assert not gossip.is_leader(gossip.Membership(OWN_NAME, {}), 100.0, 0.9)


FLOATS = st.floats(allow_nan=False, allow_infinity=False)
NAMES = st.text(min_size=1, max_size=20)
REPORTS = st.builds(
    reports.Report,
    contact=st.builds(reports.Contact, NAMES, NAMES),
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
    contacts=st.lists(st.builds(reports.Contact, NAMES, NAMES), max_size=3).map(tuple),
    strikes=st.lists(
        st.builds(reports.SharedStrike, NAMES, st.builds(strikes.Strike, NAMES, FLOATS)),
        max_size=3,
    ).map(tuple),
    set_aside_s_by_upstream=st.dictionaries(NAMES, FLOATS),
    source_steady_s=FLOATS,
    requests_by_service=st.dictionaries(NAMES, FLOATS),
    repeats_by_service=st.dictionaries(NAMES, FLOATS),
    list_age_s=st.none() | st.floats(0.0, 1e9),
    ranks_by_list=st.booleans(),
)


WORK_REPORTS = st.builds(
    reports.WorkReport,
    NAMES,
    st.integers(0, 2**62),
    st.integers(0, 2**62),
    st.dictionaries(NAMES, st.builds(load.Work, st.integers(0, 99), st.integers(0, 2**31 - 1))),
)


@pytest.mark.parametrize("compresses", [False, True])
@given(REPORTS | WORK_REPORTS)
def test_report_survives_the_wire(compresses, value):
    assert codec.decode(codec.encode(value, compresses)) == value


def test_compressed_report_is_bounded():
    """Failure: a few kilobytes of compressed content could take up all memory."""
    content = zlib.compress(bytes(100_000_000))
    with pytest.raises(codec.CodecError):
        codec.decode(zlib.crc32(content).to_bytes(4, "big") + content)


def test_reports_are_compressed_once_all_peers_read_them():
    """Failure: in a rolling upgrade, instances of the earlier release couldn't read reports."""
    state, _ = gossip.apply_report(
        fleet_of(1), 100.0, dataclasses.replace(report("b"), reads_compressed=True)
    )
    assert gossip.all_read_compressed(state)
    state, _ = gossip.apply_report(state, 100.0, report("c"))
    assert not gossip.all_read_compressed(state)


@given(st.binary(max_size=400))
@example(b"\x0b\x00\x00\x0e")
@example(b"\x0f\x00\x0d\x0c\x7f\xff\xff\xff")
def test_rubbish_is_no_report(content):
    """A corrupted length field kept the decoder busy for minutes."""
    with pytest.raises(codec.CodecError):
        codec.decode(content)


@given(REPORTS, st.integers(0, 10_000), st.integers(1, 255))
def test_damaged_report_is_no_report(value, position, flip):
    content = bytearray(codec.encode(value))
    content[position % len(content)] ^= flip
    with pytest.raises(codec.CodecError):
        codec.decode(bytes(content))


def fleet_of(count, own_name="a"):
    state = gossip.Membership(own_name, {})
    for number in range(count - 1):
        state, _ = gossip.apply_report(state, 100.0, report(f"i{number:03}"))
    return state


def hear_all(state, now_s, except_for=()):
    for name in tuple(state.peer_by_instance):
        if name not in except_for:
            sequence = state.peer_by_instance[name].report.sequence + 1
            state, _ = gossip.apply_report(state, now_s, report(name, sequence))
    return state


def test_silent_peer_does_not_depose_the_leader_of_a_large_fleet():
    """Of 195 instances some are always silent for a moment, and no stage order was ever given."""
    state = hear_all(fleet_of(195), 120.0, except_for=("i007", "i100"))
    assert gossip.count_live_and_known(state, 120.0) == (193, 195)
    assert gossip.is_leader(state, 120.0, 6.0)
    state, effects = gossip.apply_report(state, 121.0, report("i007", 9))
    assert any(isinstance(each, report_effects.PeerJoined) for each in effects)
    assert gossip.is_leader(state, 121.0, 6.0)
    state, _ = gossip.apply_report(state, 121.0, report("i008", incarnation=6))
    assert not gossip.is_leader(state, 122.0, 6.0), "a restarted peer is a change"


def test_divided_fleet_has_one_leader_at_most():
    """A domain of 33 of 195 is cut off; the lowest name may be on either side."""
    state = fleet_of(195)
    cut_off = [f"i{number:03}" for number in range(32)]
    others = [f"i{number:03}" for number in range(32, 194)]
    for unheard in (cut_off, others):
        assert not gossip.is_leader(hear_all(state, 120.0, except_for=unheard), 120.0, 6.0)


def test_silent_peer_with_a_lower_name_may_still_be_the_leader():
    state = fleet_of(195, own_name="i000a")
    assert not gossip.is_leader(hear_all(state, 120.0, except_for=("i000",)), 120.0, 6.0)


def test_one_silent_peer_deposes_the_leader_of_a_small_fleet():
    state = fleet_of(8)
    for step in range(1, 9):
        state = hear_all(state, 100.0 + 0.9 * step)
    assert gossip.is_leader(state, 107.2, 6.0)
    assert not gossip.is_leader(hear_all(state, 108.5, except_for=("i003",)), 108.5, 6.0)


def fleet_in_rotation(now_s, heard_names):
    """Return a fleet of 195 in which each peer reports once a cycle, until some fall silent."""
    state = fleet_of(195)
    cycle_s = gossip.cycle_s(state)
    for index, name in enumerate(tuple(state.peer_by_instance)):
        age_s = cycle_s * index / 194
        if name not in heard_names:
            age_s += gossip.RECENT_REPORTS_S
        state, _ = gossip.apply_report(state, now_s - age_s, report(name, 2))
    return state


def test_cut_off_domain_of_a_large_fleet_notices_it_before_its_peers_count_as_silent():
    """A domain of 33 of 195 was cut off, and both sides took retries of the whole budget.

    606 arrivals beyond the first of their request reached a service that allowed 534.
    """
    own_domain = {f"i{number:03}" for number in range(0, 194, 6)}
    state = fleet_in_rotation(120.0, own_domain)
    assert gossip.count_live_and_known(state, 120.0)[0] == 195
    assert gossip.count_reachable(state, 120.0) <= 45


def test_rest_of_a_large_fleet_counts_as_whole_beside_a_cut_off_domain():
    others = {f"i{number:03}" for number in range(194) if number % 6}
    assert gossip.count_reachable(fleet_in_rotation(120.0, others), 120.0) == 195


def test_whole_fleet_is_reachable():
    everyone = {f"i{number:03}" for number in range(194)}
    assert gossip.count_reachable(fleet_in_rotation(120.0, everyone), 120.0) == 195
    assert gossip.count_reachable(fleet_of(8), 100.5) == 8
