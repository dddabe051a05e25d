"""Upstreams join, leave, expire and reappear."""

from __future__ import annotations

import dataclasses

from hypothesis import given
from hypothesis import strategies as st

from carawaydoor.policy import upstream_directory
from tests.policy import builders

A, B = builders.upstream("a"), builders.upstream("b")


def snapshot(*upstreams, revision=1):
    return upstream_directory.Snapshot({each.id: each for each in upstreams}, revision)


def changes(revision=2, **by_id):
    return upstream_directory.Changes(by_id, revision)


def run(*steps, state=upstream_directory.EMPTY):
    effects = []
    for now_s, message in steps:
        state, produced = upstream_directory.step(state, now_s, message)
        effects.extend(produced)
    return state, effects


def test_removed_entry_is_gone_at_once_while_the_store_is_available():
    state, effects = run((0.0, snapshot(A, B)), (1.0, changes(a=None)))
    assert set(state.upstream_by_id) == {"b"}
    assert effects[-1] == upstream_directory.Gone(A)


def test_entry_that_expired_in_an_outage_of_the_store_is_kept_until_it_reappears():
    state, effects = run(
        (0.0, snapshot(A, B)),
        (1.0, upstream_directory.StoreUnavailable()),
        (5.0, upstream_directory.StoreRecovered()),
        (5.0, snapshot(B)),
        (6.0, changes(a=A)),
        (9.0, upstream_directory.Tick()),
    )
    assert set(state.upstream_by_id) == {"a", "b"}
    assert upstream_directory.Gone(A) not in effects


def test_entry_still_missing_two_seconds_after_the_outage_is_gone():
    state, effects = run(
        (0.0, snapshot(A, B)),
        (1.0, upstream_directory.StoreUnavailable()),
        (5.0, upstream_directory.StoreRecovered()),
        (5.0, snapshot(B)),
        (7.0, upstream_directory.Tick()),
    )
    assert set(state.upstream_by_id) == {"b"}
    assert effects[-1] == upstream_directory.Gone(A)


def test_entry_missing_from_a_store_that_served_peers_is_gone_at_once():
    """An instance alone in a partition used a server for 2.2 s after it had left.

    It took the partition for an outage of the store, in which entries expire although their servers
    still run.
    """
    state, effects = run(
        (0.0, snapshot(A, B)),
        (1.0, upstream_directory.StoreUnavailable()),
        (5.0, upstream_directory.StoreRecovered(served_peers=True)),
        (5.0, snapshot(B)),
    )
    assert set(state.upstream_by_id) == {"b"}
    assert effects[-1] == upstream_directory.Gone(A)


def test_entry_missing_from_a_new_snapshot_without_an_outage_is_gone_at_once():
    state, _ = run((0.0, snapshot(A, B)), (1.0, snapshot(B)))
    assert set(state.upstream_by_id) == {"b"}


def test_server_that_restarts_under_its_id_is_gone_and_joined():
    restarted = dataclasses.replace(A, born_ms=9)
    _, effects = run((0.0, snapshot(A)), (1.0, changes(a=restarted)))
    assert effects == [
        upstream_directory.Joined(A),
        upstream_directory.Gone(A),
        upstream_directory.Joined(restarted),
    ]


def test_server_whose_address_a_newer_one_uses_is_gone():
    """Requests for the old server reached the new one at its address, which rejected them."""
    other = builders.upstream("c", address=A.address, born_ms=9)
    state, effects = run((0.0, snapshot(A)), (1.0, changes(c=other)))
    assert set(state.upstream_by_id) == {"c"}
    assert effects[-1] == upstream_directory.Gone(A)


def test_leaving_and_stage_changes_are_effects():
    leaving = dataclasses.replace(A, is_leaving=True)
    _, effects = run((0.0, snapshot(A)), (1.0, changes(a=leaving)))
    assert effects[-1] == upstream_directory.Leaving(leaving)
    engine = builders.prefill("p")
    changed_engine = dataclasses.replace(engine, stage=builders.decode("p").stage)
    _, effects = run((0.0, snapshot(engine)), (1.0, changes(p=changed_engine)))
    assert effects[-1] == upstream_directory.StageChanged(changed_engine)


MESSAGES = st.one_of(
    st.just(upstream_directory.StoreUnavailable()),
    st.just(upstream_directory.StoreRecovered()),
    st.just(upstream_directory.Tick()),
    st.sets(st.sampled_from("ab")).map(
        lambda names: snapshot(*(each for each in (A, B) if each.id in names))
    ),
    st.sampled_from("ab").map(lambda name: changes(**{name: None})),
    st.sampled_from((A, B)).map(lambda each: changes(**{each.id: each})),
)


@given(st.lists(st.tuples(st.floats(0.0, 3.0), MESSAGES), max_size=30))
def test_what_is_missing_is_known_and_never_outlives_its_grace(steps):
    state, now_s = upstream_directory.EMPTY, 0.0
    for wait_s, message in steps:
        now_s += wait_s
        state, _ = upstream_directory.step(state, now_s, message)
        state, _ = upstream_directory.step(state, now_s, upstream_directory.Tick())
        assert set(state.removal_due_s_by_id) <= set(state.upstream_by_id)
        assert all(until_s > now_s for until_s in state.removal_due_s_by_id.values())


def test_leaving_incarnation_stays_so_whatever_the_store_shows_later():
    """After a restore from a copy the store listed a server as ready that was about to stop."""
    said = upstream_directory.SaidLeaving("a", A.born_ms)
    state, effects = run((0.0, snapshot(A, B)), (1.0, said), (1.0, said))
    assert [type(each) for each in effects[2:]] == [upstream_directory.Leaving], "told once"
    for message in (snapshot(A, B, revision=2), changes(3, a=None), changes(4, a=A)):
        state, _ = run((2.0, message), state=state)
    assert state.upstream_by_id["a"].is_leaving
    restarted = dataclasses.replace(A, born_ms=A.born_ms + 1)
    state, effects = run((3.0, changes(5, a=restarted)), state=state)
    assert not state.upstream_by_id["a"].is_leaving
    assert [type(each) for each in effects] == [upstream_directory.Gone, upstream_directory.Joined]


def test_word_of_an_earlier_incarnation_is_ignored():
    said = upstream_directory.SaidLeaving("a", A.born_ms - 1)
    state, _ = run((0.0, snapshot(A, B)), (1.0, said))
    assert not state.upstream_by_id["a"].is_leaving


def test_incarnations_that_leave_are_remembered_up_to_a_limit():
    state = upstream_directory.EMPTY
    for number in range(upstream_directory.MAX_REMEMBERED + 10):
        leaving = dataclasses.replace(A, id=f"s{number}", is_leaving=True)
        state, _ = run((0.0, changes(1, **{leaving.id: leaving, "a": None})), state=state)
        state, _ = run((0.0, changes(1, **{leaving.id: None})), state=state)
    assert len(state.leaving_born_ms_by_id) == upstream_directory.MAX_REMEMBERED


def test_server_that_had_left_is_not_back_because_a_copy_of_the_store_lists_it():
    state, _ = run((0.0, snapshot(A, B)), (1.0, changes(a=None)))
    restored = upstream_directory.Snapshot({"a": A, "b": B}, 9, is_restored=True)
    state, effects = run((2.0, restored), state=state)
    assert (set(state.upstream_by_id), effects) == ({"b"}, [])
    state, effects = run((3.0, changes(10, a=A)), state=state)
    assert effects == [upstream_directory.Joined(A)], "it lives and has written again"


def test_word_of_a_server_whose_entry_has_expired_counts_when_it_is_listed_again():
    """Its entry had expired while it did not reach the store, and was back when it did."""
    said = upstream_directory.SaidLeaving("a", A.born_ms)
    state, _ = run((0.0, snapshot(A, B)), (1.0, changes(a=None)), (2.0, said), (3.0, changes(a=A)))
    assert state.upstream_by_id["a"].is_leaving
