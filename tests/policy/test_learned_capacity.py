"""Speeds of upstreams are learned, shared and used, and noise or a false value does no harm."""

from __future__ import annotations

import dataclasses
import math

import pytest

from carawaydoor.fleet import codec, reports
from carawaydoor.operating import clocks, platform_metrics
from carawaydoor.policy import capacity_fit, entities, learned_capacity, load, placement
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
    learned = dataclasses.replace(context, capacities=capacities)
    chosen = choose(learned, builders.MODEL_SERVICE, prompt)
    assert chosen.prefill.id == "q" and chosen.prefill_wait_s == pytest.approx(0.15)


def test_slow_down_is_noticed_and_the_engine_comes_back():
    """An engine that slows down to a fifth delays all prompts that are sent there."""
    model = prefill_model(EQUAL * 8, 80, 0.5, seed=1)
    model.run(10.0)
    model.speed_by_id["u0"] = 0.2
    model.run(5.0)
    noticed = sum(model.ratios(each)[0] > 2.0 for each in range(80))
    assert noticed > 60
    model.speed_by_id["u0"] = 1.0
    model.run(40.0)
    assert model.ratios()[0] == pytest.approx(1.0, rel=0.25)


def test_restarted_engine_is_judged_anew():
    """An engine that restarts faster must not be kept from prompts by what it was before."""
    model = prefill_model(UNEQUAL * 2)
    model.run(8.0)
    model.restart(0, 1.6)
    assert model.ratios()[0] == 1.0
    model.run(8.0)
    assert model.ratios()[0] == pytest.approx(model.ratios()[2], rel=0.2)


def test_reports_lost_in_one_direction_leave_an_instance_its_own_estimates():
    """An instance that hears nobody must still not send everything to the slowest engine."""
    model = prefill_model(UNEQUAL, 8, lost=lambda sender, receiver: receiver == 0)
    model.run(30.0)
    slow, _, fast = model.ratios(0)
    assert fast < slow
    assert model.ratios(1) == pytest.approx([1.0 / 0.6, 1.0, 1.0 / 1.6], rel=0.25)


@pytest.mark.parametrize("unit_s", [1e-7, 0.1])
def test_lie_of_one_peer_moves_no_estimate(unit_s):
    clock, engine = clocks.ManualClock(), builders.prefill("p")
    known = observer(clock)
    for number in range(10):
        true = reports.SharedCapacity("p", 1, 1, number, 1.0, 2.5e-5, 1.0, 0.1)
        known.record_shared(engine, f"peer-{number}", true)
    known.record_shared(engine, "liar", reports.SharedCapacity("p", 1, 1, 1, 1.0, unit_s, 1.0, 0.1))
    (capacity,) = known.capacities("planner").by_kind[PREFILL].values()
    assert capacity.unit_s == 2.5e-5


def test_value_is_bounded_and_decays_to_the_median_of_its_service():
    def fit(unit_s, newest_s):
        return capacity_fit.Fit(unit_s, 6, 6, 20.0, 0.01, newest_s, -math.inf)

    fits = {CALL: {("a", 1): fit(1.0, 0.0), ("b", 1): fit(0.01, 0.0), ("c", 1): fit(0.01, 0.0)}}
    now, later = (learned_capacity.combine(fits, at_s) for at_s in (0.0, 40.0))
    assert now.by_kind[CALL][("a", 1)].ratio == learned_capacity.MAX_RATIO
    assert 1.0 < later.by_kind[CALL][("a", 1)].ratio < 1.4


def test_concurrency_beyond_which_calls_only_wait_is_found():
    """An upstream that is slow at half of its slots must not be filled up."""
    seen = [
        capacity_fit.Observation(load, 0.02 * max(1.0, load / 3), 1.0, 100.0 + load / 100)
        for load in range(1, 7)
        for _ in range(4)
    ]
    found = capacity_fit.fit(CALL, seen, 101.0, 6)
    assert found.concurrency == 3 and found.unit_s == pytest.approx(0.02)
    even = [capacity_fit.Observation(each.load, 0.02, 1.0, each.observed_s) for each in seen]
    assert capacity_fit.fit(CALL, even, 101.0, 6).concurrency == 6


def test_plain_calls_end_sooner_with_learned_speeds():
    means = []
    for learns in (False, True):
        model = capacity_model.Model(
            CALL, UNEQUAL, per_s=0.5 * 3.2 * capacity_model.SLOTS / 0.0367, learns=learns
        )
        model.run(4.0)
        means.append(capacity_model.mean(model.run(6.0)))
    assert means[1] < 0.9 * means[0]


def test_full_upstream_is_still_used_if_all_are_full():
    """The learned concurrency must never refuse a call."""
    upstreams = (builders.upstream("a"), builders.upstream("b"))
    capacities = learned_capacity.Capacities(
        {CALL: {
            each.incarnation: learned_capacity.Capacity(0.02, ratio, 2, 20.0, 0.0)
            for each, ratio in zip(upstreams, (0.5, 2.0), strict=True)
        }},
        {CALL: 0.02},
        frozenset({CALL}),
    )  # fmt: skip
    full = {each.id: load.Work(6) for each in upstreams}
    context = dataclasses.replace(builders.context(*upstreams, own=full), capacities=capacities)
    assert placement.choose_plain(context, "bookings").id == "a"


def test_generation_goes_to_the_engine_whose_load_ends_sooner():
    slow, fast = builders.decode("d"), builders.decode("e")
    event = learned_capacity.Kind.EVENT
    capacities = learned_capacity.Capacities(
        {event: {
            slow.incarnation: learned_capacity.Capacity(0.02, 1.6, 128, 20.0, 0.0),
            fast.incarnation: learned_capacity.Capacity(0.01, 0.8, 128, 20.0, 0.0),
        }},
        {event: 0.0125},
        frozenset({event}),
    )  # fmt: skip
    context = builders.context(slow, fast, own={"e": load.Work(1, 3000)})
    prompt = entities.Prompt(5000, 800, 800)
    assert placement.choose_decode(context, builders.MODEL_SERVICE, prompt).id == "d"
    learned = dataclasses.replace(context, capacities=capacities)
    assert placement.choose_decode(learned, builders.MODEL_SERVICE, prompt).id == "e"


def test_nothing_is_observed_if_it_is_switched_off():
    known, upstream = observer(is_enabled=False), builders.upstream("u")
    known.observe(upstream, CALL, 1, 0.03)
    assert known.share() == () and known.capacities("bookings") is learned_capacity.UNKNOWN
