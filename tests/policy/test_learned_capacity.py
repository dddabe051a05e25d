"""Speeds of upstreams are learned, shared and used, and noise or a false value does no harm."""

from __future__ import annotations

import math

import pytest

from carawaydoor.fleet import codec, reports
from carawaydoor.operating import clocks, platform_metrics
from carawaydoor.policy import entities, learned_capacity, load, placement
from carawaydoor.serving import capacity_observer
from tests.policy import builders, capacity_model

PREFILL, CALL = capacity_model.PREFILL, capacity_model.CALL
UNEQUAL, EQUAL = (0.6, 1.0, 1.6), (1.0, 1.0, 1.0)
MEAN_PROMPT_TOKENS = 5200


def prefill_model(speeds, instances=20, utilisation=0.6, **options):
    # The share of 0.15 that is 2.5 times slower takes a fifth of the capacity.
    per_s = sum(speeds) * capacity_model.PREFILL_TOKENS_PER_S / MEAN_PROMPT_TOKENS
    return capacity_model.Model(
        PREFILL, speeds, instances=instances, per_s=per_s * utilisation / 1.225, **options
    )


def observer(clock=None, is_enabled=True):
    return capacity_observer.CapacityObserver(
        clock or clocks.ManualClock(), platform_metrics.Metrics("m"), is_enabled
    )


@pytest.mark.parametrize(("instances", "engines"), [(20, 6), (80, 24)])
def test_prompts_are_read_sooner_with_learned_speeds(instances, engines):
    """With equal speeds assumed, slow engines get as many prompts as fast ones."""
    means = []
    for learns in (False, True):
        model = prefill_model(UNEQUAL * (engines // 3), instances, learns=learns)
        model.run(6.0)
        means.append(capacity_model.mean(model.run(12.0)))
    assert means[1] < 0.9 * means[0]
    expected = [1.0 / 0.6, 1.0, 1.0 / 1.6]
    assert model.ratios()[:3] == pytest.approx(expected, rel=0.15)


def test_equal_speeds_change_no_choice():
    """Random differences between estimates must not send requests to the seemingly fastest engine."""
    learned, unlearned = (
        prefill_model(EQUAL * 2, learns=learns, seed=3) for learns in (True, False)
    )
    assert learned.run(20.0) == unlearned.run(20.0)


def test_report_with_capacities_is_read_and_an_older_one_says_nothing():
    entry = reports.SharedCapacity("u", 1, 1, 7, 3.0, 2.5e-5, 1.0, 0.4)
    shared = observer()
    assert shared.share() == ()
    assert _round_trip((entry,)) == (entry,)
    assert _round_trip(()) == ()


def _round_trip(capacities):
    report = reports.Report(
        reports.Contact("i", "h"), "a", 1, 1, 0.0, False, 1, 0.0, {}, {}, {}, (), (), {}, 0.0, {}, {},
        capacities=capacities,
    )  # fmt: skip
    return codec.decode(codec.encode(report)).capacities


@pytest.mark.parametrize(
    "change",
    [
        {"kind": 99}, {"unit_s": -1.0}, {"unit_s": math.nan}, {"unit_s": math.inf},
        {"weight": 1e9}, {"load": -3.0}, {"age_s": -1.0}, {"age_s": 1e9},
    ],
)  # fmt: skip
def test_absurd_entry_of_a_peer_is_ignored_on_its_own(change):
    values = {
        "upstream": "u", "born_ms": 1, "kind": 4, "number": 1, "load": 1.0, "unit_s": 0.03,
        "weight": 4.0, "age_s": 0.1,
    }  # fmt: skip
    clock, upstream = clocks.ManualClock(), builders.upstream("u")
    known = observer(clock)
    known.record_shared(upstream, "p", reports.SharedCapacity(**values))
    known.record_shared(upstream, "q", reports.SharedCapacity(**{**values, **change}))
    clock.advance(1.0)
    (capacity,) = known.capacities("bookings").by_kind[CALL].values()
    assert capacity.unit_s == 0.03 and capacity.weight < 4.0


def test_repeated_entry_counts_once():
    """A report repeats entries; counted again, few calls would look like many."""
    clock, upstream = clocks.ManualClock(), builders.upstream("u")
    sender, receiver = observer(clock), observer(clock)
    for _ in range(3):
        sender.observe(upstream, CALL, 1, 0.03)
    for _ in range(4):
        for each in sender.share():
            receiver.record_shared(upstream, "p", each)
        clock.advance(0.25)
    assert receiver.share() == (), "what peers observed is not passed on"
    (capacity,) = receiver.capacities("bookings").by_kind[CALL].values()
    assert capacity.weight <= 3.0


def test_prompt_goes_to_the_engine_that_ends_first():
    """A fast engine with a queue may end sooner than a slow one without."""
    slow, fast = builders.prefill("p"), builders.prefill("q")
    kind = learned_capacity.Kind.PREFILL_TOKEN
    capacities = learned_capacity.Capacities(
        {kind: {
            slow.incarnation: learned_capacity.Capacity(1e-4, 4.0, 6, 9.0, 0.0),
            fast.incarnation: learned_capacity.Capacity(1e-5, 0.4, 6, 9.0, 0.0),
        }},
        {kind: 2.5e-5},
        frozenset({kind}),
    )  # fmt: skip
    context = builders.context(slow, fast, builders.decode("d"), own={"q": load.Work(2, 10_000)})
    prompt = entities.Prompt(5000, 800, 800)
    choose = placement.choose_generation
    assert choose(context, builders.MODEL_SERVICE, prompt).prefill.id == "p"
    learned = placement.dataclasses.replace(context, capacities=capacities)
    chosen = choose(learned, builders.MODEL_SERVICE, prompt)
    assert chosen.prefill.id == "q" and chosen.prefill_wait_s == pytest.approx(0.15)
