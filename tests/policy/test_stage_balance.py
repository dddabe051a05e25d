"""Engines change their stage only where it helps for long."""

from __future__ import annotations

from carawaydoor.policy import entities, load, stage_balance
from tests.policy import builders

READERS = tuple(builders.prefill(f"p{i}") for i in range(3))
GENERATORS = tuple(builders.decode(f"d{i}") for i in range(3))
ENGINES = READERS + GENERATORS
SERVICE = builders.GENERATING


def observed(reading, tokens, *, engines=ENGINES, seconds=10.0):
    """Return the balance after a steady load: busy readers, and tokens at each generator."""
    own = {each.id: load.Work(1, 5000) for each in READERS[:reading]}
    own.update({each.id: load.Work(5, tokens) for each in engines if each not in READERS})
    state, now_s = stage_balance.Balance(), 0.0
    while now_s <= seconds:
        state = stage_balance.observe(state, now_s, SERVICE, engines, load.Load(own, {}))
        now_s += 0.4
    return state, now_s, load.Load(own, {})


def decide(reading, tokens, **kwargs):
    engines = kwargs.get("engines", ENGINES)
    state, now_s, own = observed(reading, tokens, **kwargs)
    return stage_balance.decide(state, now_s, SERVICE, engines, own)


def test_idle_reader_generates_where_generation_is_full():
    """Answers six engines split three to three under prompts that keep a fifth of them busy."""
    state, order = decide(1, 40_000)
    assert [(each.stage, each.upstream.stage) for each in order] == [
        (entities.Stage.DECODE, entities.Stage.PREFILL)
    ]
    assert stage_balance.decide(state, 11.0, SERVICE, ENGINES, load.EMPTY)[1] == ()


def test_nothing_is_ordered_on_a_calm_day():
    assert decide(0, 10_000)[1] == ()


def test_nothing_is_ordered_where_both_stages_are_busy():
    assert decide(3, 55_000)[1] == ()


def test_nothing_is_ordered_before_the_load_was_observed():
    assert decide(1, 50_000, seconds=1.0)[1] == ()


def test_two_readers_remain():
    engines = READERS[:2] + GENERATORS
    assert decide(0, 55_000, engines=engines)[1] == ()


def test_generator_reads_where_readers_are_the_bottleneck():
    _, order = decide(3, 10_000)
    assert [each.stage for each in order] == [entities.Stage.PREFILL]


def test_several_engines_of_a_large_service_change_at_once():
    """Answers thirty engines split one to two: one order in twelve seconds is too few."""
    readers = tuple(builders.prefill(f"p{i:02}") for i in range(10))
    generators = tuple(builders.decode(f"d{i:02}") for i in range(20))
    engines = readers + generators
    own = {each.id: load.Work(1, 5000) for each in readers[:2]}
    own.update({each.id: load.Work(6, 36_000) for each in generators})
    state, now_s = stage_balance.Balance(), 0.0
    while now_s <= 10.0:
        state = stage_balance.observe(state, now_s, SERVICE, engines, load.Load(own, {}))
        now_s += 0.4
    _, orders = stage_balance.decide(state, now_s, SERVICE, engines, load.Load(own, {}))
    assert 2 <= len(orders) <= 4
    assert {each.upstream.id for each in orders}.isdisjoint({"p00", "p01"})


def test_epochs_grow_with_the_revision_and_differ_between_instances():
    assert stage_balance.fencing_epoch(8, "a") > stage_balance.fencing_epoch(7, "z")
    assert stage_balance.fencing_epoch(7, "a") != stage_balance.fencing_epoch(7, "b")


def test_refused_order_pauses():
    state, now_s, own = observed(1, 40_000)
    state = stage_balance.pause_after_refusal(state, now_s, SERVICE.name)
    assert stage_balance.decide(state, now_s + 30.0, SERVICE, ENGINES, own)[1] == ()
