"""Where work goes."""

from __future__ import annotations

import dataclasses

from carawaydoor.policy import entities, health, load, placement
from tests.policy import builders
from tests.policy.builders import decode, prefill, upstream, view

PROMPT = entities.Prompt(5000, 2000, 800)
WORK = load.Work


def generation(the_view, **kwargs):
    return placement.choose_generation(the_view, builders.GENERATING, PROMPT, **kwargs)


def test_plain_goes_to_the_least_loaded():
    chosen = placement.choose_plain(
        view(upstream("a"), upstream("b"), own={"a": WORK(3)}), "bookings"
    )
    assert chosen.id == "b"


def test_work_of_peers_counts():
    chosen = placement.choose_plain(
        view(upstream("a"), upstream("b"), own={"b": WORK(1)}, peers={"a": WORK(5)}), "bookings"
    )
    assert chosen.id == "b"


def test_own_domain_is_preferred_until_it_is_busier():
    near, far = upstream("n", domain="a"), upstream("f", domain="b")
    assert placement.choose_plain(view(near, far), "bookings").id == "n"
    assert placement.choose_plain(view(near, far, own={"n": WORK(2)}), "bookings").id == "f"


def test_leaving_and_foreign_upstreams_get_nothing():
    leaving = dataclasses.replace(upstream("a"), is_leaving=True)
    other = upstream("b", service="other")
    assert placement.choose_plain(view(leaving, other), "bookings") is None


def test_suspect_gets_a_plain_request_only_where_no_other_is_left():
    state = health.record_outcome({}, 100.0, "a", health.Outcome.UNREACHABLE)
    both = view(upstream("a"), upstream("b"), own={"b": WORK(6)}, health=state)
    assert placement.choose_plain(both, "bookings").id == "b"
    assert placement.choose_plain(view(upstream("a"), health=state), "bookings").id == "a"


def test_generation_goes_where_memory_is_free():
    chosen = generation(view(decode("d"), decode("e"), prefill("p"), own={"d": WORK(9, 50_000)}))
    assert (chosen.decode.id, chosen.prefill.id) == ("e", "p")


def test_no_generation_without_memory():
    """Answers the burst beyond the engines' memory: a read prompt without room is wasted."""
    full = view(decode("d"), prefill("p"), own={"d": WORK(10, 56_000)})
    assert generation(full) is None


def test_fill_leaves_room_for_outputs_beyond_their_estimates():
    brim = int(builders.ENGINE.kv_tokens * placement.MAX_KV_FILL_SHARE) - PROMPT.memory_tokens
    assert generation(view(decode("d"), prefill("p"), own={"d": WORK(9, brim)})) is not None
    assert generation(view(decode("d"), prefill("p"), own={"d": WORK(9, brim + 1)})) is None


def test_engine_that_rejected_is_left_alone_for_a_moment():
    """Answers instances that are cut off: the load they can't see still rejects."""
    state = health.record_outcome({}, 100.0, "d", health.Outcome.FULL)
    assert generation(view(decode("d"), prefill("p"), health=state)) is None
    later = view(decode("d"), prefill("p"), health=state, now_s=101.0)
    assert generation(later) is not None


def test_suspect_engine_does_not_decode_while_a_trusted_one_exists():
    state = health.record_outcome({}, 100.0, "d", health.Outcome.UNREACHABLE)
    crowded = view(
        decode("d"), decode("e"), prefill("p"), own={"e": WORK(10, 56_000)}, health=state
    )
    assert generation(crowded) is None


def test_late_request_leaves_a_reserve():
    """Answers callers that come back into a burst: they take only room to spare."""
    nearly = view(decode("d"), prefill("p"), own={"d": WORK(8, 50_000)})
    assert generation(nearly) is not None
    assert generation(nearly, reserve_share=0.12) is None


def test_prompt_is_read_where_the_queue_is_short():
    chosen = generation(view(decode("d"), prefill("p"), prefill("q"), own={"p": WORK(2, 10_000)}))
    assert chosen.prefill.id == "q"


def test_decode_engine_reads_the_prompt_where_no_reader_is_left():
    chosen = generation(view(decode("d")))
    assert chosen.prefill is None


def test_copy_is_kept_only_where_memory_is_plenty():
    first = decode("d")
    roomy = view(first, decode("e"))
    assert placement.choose_backup(roomy, builders.GENERATING, PROMPT, first).id == "e"
    busy = view(first, decode("e"), own={"e": WORK(6, 36_000)})
    assert placement.choose_backup(busy, builders.GENERATING, PROMPT, first) is None


def test_excluded_engines_are_not_chosen():
    chosen = generation(view(decode("d"), decode("e"), prefill("p")), excluded={"d"})
    assert chosen.decode.id == "e"


def test_instances_spread_over_equal_upstreams_where_they_see_each_other_late():
    """Answers herding at 58 instances: all chose the engine that looked emptiest to all."""
    engines = [decode(f"d{i}") for i in range(8)]
    chosen = set()
    for seed in range(40):
        stale = dataclasses.replace(view(*engines, prefill("p")), staleness_s=0.4, seed=seed)
        chosen.add(generation(stale).decode.id)
    assert len(chosen) == 8


def test_clearly_fuller_upstream_is_avoided_however_stale_the_view():
    busy = view(decode("d"), decode("e"), prefill("p"), own={"d": WORK(7, 40_000)})
    for seed in range(40):
        stale = dataclasses.replace(busy, staleness_s=0.4, seed=seed)
        assert generation(stale).decode.id == "e"


def test_more_memory_stays_free_where_the_view_is_stale():
    nearly = view(decode("d"), prefill("p"), own={"d": WORK(9, 51_000)})
    assert generation(nearly) is not None
    assert generation(dataclasses.replace(nearly, staleness_s=1.0)) is None
