"""Failure domains stay evacuated as long as the operator wants it, whatever happens to the store."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from carawaydoor.policy import evacuation, placement
from tests.policy import builders

GRACE_S = evacuation.RESTORE_GRACE_S


def run(*messages):
    """Apply messages with their times; return the last state and all changes as text."""
    state, changes = evacuation.NONE, []
    for now_s, message in messages:
        state, effects = evacuation.step(state, now_s, message)
        changes += [f"{type(each).__name__} {each.evacuation.domain}" for each in effects]
    return state, changes


def read(*domains, is_restored=False):
    return evacuation.Snapshot(frozenset(domains), is_restored=is_restored)


def test_change_gives_and_takes_back():
    state, changes = run(
        (1.0, read()),
        (2.0, evacuation.Changes({"a": True, "b": True})),
        (3.0, evacuation.Changes({"a": True})),
        (4.0, evacuation.Changes({"b": False, "unknown": False})),
    )
    assert changes == ["Given a", "Given b", "TakenBack b"]
    assert state.by_domain["a"].since_s == 2.0, "repeating it does not renew its age"
    assert evacuation.was_active_since(state, 99.0)
    assert [each.id for each in evacuation.remaining(state, [builders.upstream("u")])] == []


def test_full_read_without_a_restore_is_the_whole_set():
    """An item without a lease does not expire in an outage, so one that is missing was removed."""
    state, changes = run((1.0, read("a", "b")), (9.0, read("b")))
    assert changes == ["Given a", "Given b", "TakenBack a"]
    assert list(state.by_domain) == ["b"]


def test_item_that_a_copy_lacks_is_kept_until_it_is_written_again():
    state, changes = run(
        (1.0, read("a")),
        (5.0, read(is_restored=True)),
        (5.5, read()),
        (5.6, evacuation.Tick()),
    )
    assert changes == ["Given a", "Kept a"]
    state, effects = evacuation.step(state, 6.0, evacuation.Changes({"a": True}))
    assert not effects
    state, effects = evacuation.step(state, 5.0 + GRACE_S, evacuation.Tick())
    assert list(state.by_domain) == ["a"] and not effects


def test_item_that_is_not_written_again_ends_with_the_grace_of_the_last_restore():
    messages = (
        (1.0, read("a")),
        (5.0, read(is_restored=True)),
        (6.0, read(is_restored=True)),
        (5.0 + GRACE_S, evacuation.Tick()),
    )
    _, changes = run(*messages)
    assert changes == ["Given a", "Kept a"]
    _, changes = run(*messages, (6.0 + GRACE_S, evacuation.Tick()))
    assert changes == ["Given a", "Kept a", "TakenBack a"]


def test_removal_in_the_new_era_counts_at_once():
    state, changes = run(
        (1.0, read()), (5.0, read("a", is_restored=True)), (5.1, evacuation.Changes({"a": False}))
    )
    assert changes == ["Given a", "TakenBack a"]
    assert evacuation.was_active_since(state, 5.1) and not evacuation.was_active_since(state, 5.2)


def test_unknown_failure_domain_is_named_once():
    state, _ = run((1.0, read("a", "x")))
    state, named = evacuation.note_unknown(state, {"a", "b"})
    assert named == ("x",)
    assert evacuation.note_unknown(state, {"a", "b"}) == (state, ())


def test_instances_spread_over_what_is_left():
    """Failure: all instances choose the emptiest upstream of the other failure domains at once."""
    state, _ = run((1.0, read("a")))
    upstreams = [
        builders.upstream(f"{domain}-{n}", domain=domain) for domain in "abc" for n in "123"
    ]
    left = evacuation.remaining(state, upstreams)
    chosen = [
        placement.choose_plain(
            placement.PlacementContext(
                1.0, "a", left, builders.load.EMPTY, {}, staleness_s=0.3, seed=seed
            ),
            "bookings",
        )
        for seed in range(200)
    ]
    assert {each.domain for each in chosen} == {"b", "c"}
    assert max(chosen.count(each) for each in left) < 200 / 3


def test_evacuation_that_peers_know_is_kept_by_an_instance_that_starts_on_a_copy():
    messages = (
        (1.0, read("b", is_restored=False)),
        (1.0, evacuation.HeardAtStart(frozenset("ab"))),
        (1.1, read("b")),
    )
    state, changes = run(*messages)
    assert changes == ["Given b", "Given a", "Kept a"]
    state, _ = evacuation.step(state, 1.0 + GRACE_S, evacuation.Tick())
    assert list(state.by_domain) == ["b"]


@given(
    st.lists(
        st.tuples(
            st.sampled_from(["give", "take", "copy", "restore", "read", "watch", "wait"]),
            st.sampled_from("abc"),
        ),
        max_size=40,
    )
)
def test_what_the_store_holds_is_evacuated_in_any_order_of_events(events):
    """Nothing that was known ends before the grace of a restore, but by a removal that was seen."""
    now_s, state = 0.0, evacuation.NONE
    held, copied, unseen = set(), set(), {}
    is_restored, known_until_s = False, {}
    for event, domain in [*events, ("read", "a"), ("wait", "a"), ("read", "a")]:
        now_s += GRACE_S + 0.1 if event == "wait" else 0.1
        match event:
            case "give":
                held.add(domain)
                unseen[domain] = True
            case "take":
                held.discard(domain)
                unseen[domain] = False
                known_until_s.pop(domain, None)
            case "copy":
                copied = set(held)
            case "restore":
                held, unseen, is_restored = set(copied), {}, True
            case "read" | "watch" if event == "read" or is_restored:
                # A watch that meets a restore is followed by a full read.
                if is_restored:
                    known_until_s = dict.fromkeys(state.by_domain, now_s + GRACE_S)
                state, _ = evacuation.step(state, now_s, read(*held, is_restored=is_restored))
                unseen, is_restored = {}, False
            case "watch":
                state, _ = evacuation.step(state, now_s, evacuation.Changes(unseen))
                unseen = {}
        state, _ = evacuation.step(state, now_s, evacuation.Tick())
        if not unseen and not is_restored:
            assert held <= state.by_domain.keys()
            kept = {key for key, until_s in known_until_s.items() if now_s < until_s}
            assert kept <= state.by_domain.keys()
    assert state.by_domain.keys() == held
