"""Upstreams come, leave, lapse and reappear."""

from __future__ import annotations

import dataclasses

from hypothesis import given
from hypothesis import strategies as st

from carawaydoor.policy import upstream_directory
from tests.policy import builders

A, B = builders.upstream("a"), builders.upstream("b")


def listed(*upstreams, revision=1):
    return upstream_directory.Snapshot({each.id: each for each in upstreams}, revision)


def changed(revision=2, **by_id):
    return upstream_directory.Changes(by_id, revision)


def run(*steps, state=upstream_directory.EMPTY):
    effects = []
    for now_s, message in steps:
        state, produced = upstream_directory.step(state, now_s, message)
        effects.extend(produced)
    return state, effects


def test_removed_entry_is_gone_at_once_while_the_store_is_steady():
    state, effects = run((0.0, listed(A, B)), (1.0, changed(a=None)))
    assert set(state.upstream_by_id) == {"b"}
    assert effects[-1] == upstream_directory.Gone(A)


def test_entry_that_lapsed_while_the_store_was_away_is_kept_until_it_reappears():
    state, effects = run(
        (0.0, listed(A, B)),
        (1.0, upstream_directory.StoreUnavailable()),
        (5.0, upstream_directory.StoreRecovered()),
        (5.0, listed(B)),
        (6.0, changed(a=A)),
        (9.0, upstream_directory.Tick()),
    )
    assert set(state.upstream_by_id) == {"a", "b"}
    assert upstream_directory.Gone(A) not in effects


def test_entry_still_missing_two_seconds_after_the_return_is_gone():
    state, effects = run(
        (0.0, listed(A, B)),
        (1.0, upstream_directory.StoreUnavailable()),
        (5.0, upstream_directory.StoreRecovered()),
        (5.0, listed(B)),
        (7.0, upstream_directory.Tick()),
    )
    assert set(state.upstream_by_id) == {"b"}
    assert effects[-1] == upstream_directory.Gone(A)


def test_entry_missing_from_a_store_that_served_others_is_gone_at_once():
    """Found by scale-2: an instance cut off alone sent to a server that had left, for 2.2 s."""
    state, effects = run(
        (0.0, listed(A, B)),
        (1.0, upstream_directory.StoreUnavailable()),
        (5.0, upstream_directory.StoreRecovered(served_peers=True)),
        (5.0, listed(B)),
    )
    assert set(state.upstream_by_id) == {"b"}
    assert effects[-1] == upstream_directory.Gone(A)


def test_entry_missing_after_a_lost_history_alone_is_gone_at_once():
    state, _ = run((0.0, listed(A, B)), (1.0, listed(B)))
    assert set(state.upstream_by_id) == {"b"}


def test_server_that_starts_again_under_its_id_is_gone_and_joined():
    again = dataclasses.replace(A, born_ms=9)
    _, effects = run((0.0, listed(A)), (1.0, changed(a=again)))
    assert effects == [
        upstream_directory.Joined(A),
        upstream_directory.Gone(A),
        upstream_directory.Joined(again),
    ]


def test_server_whose_address_another_has_taken_is_gone():
    """Found by scale-2: requests went to the old id at the address and were misdirected."""
    other = builders.upstream("c", address=A.address, born_ms=9)
    state, effects = run((0.0, listed(A)), (1.0, changed(c=other)))
    assert set(state.upstream_by_id) == {"c"}
    assert effects[-1] == upstream_directory.Gone(A)


def test_leaving_and_changed_stage_are_told():
    leaving = dataclasses.replace(A, is_leaving=True)
    _, effects = run((0.0, listed(A)), (1.0, changed(a=leaving)))
    assert effects[-1] == upstream_directory.Leaving(leaving)
    reader = builders.prefill("p")
    turned = dataclasses.replace(reader, stage=builders.decode("p").stage)
    _, effects = run((0.0, listed(reader)), (1.0, changed(p=turned)))
    assert effects[-1] == upstream_directory.StageChanged(turned)


MESSAGES = st.one_of(
    st.just(upstream_directory.StoreUnavailable()),
    st.just(upstream_directory.StoreRecovered()),
    st.just(upstream_directory.Tick()),
    st.sets(st.sampled_from("ab")).map(
        lambda names: listed(*(each for each in (A, B) if each.id in names))
    ),
    st.sampled_from("ab").map(lambda name: changed(**{name: None})),
    st.sampled_from((A, B)).map(lambda each: changed(**{each.id: each})),
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
