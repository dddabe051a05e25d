"""The emulator: engines keep to their memory, runs repeat, and loads tell policies apart."""

from __future__ import annotations

import dataclasses

import pytest

from tools import experiment
from tools.emulator import engines, policies, simulation, traffic

FEW = simulation.Deployment(instances=5, readers=2, generators=3)
MANY = simulation.Deployment(instances=40, readers=5, generators=6, memory_tokens=45_000)


def play(deployment, policy, load, seed=1, burst_factor=2.0, duration_s=12.0):
    sample = traffic.Traffic(per_s=1.0)
    per_s = load * experiment.best_per_s(deployment, sample)
    offered = dataclasses.replace(
        sample, per_s=per_s, burst_factor=burst_factor, duration_s=duration_s
    )
    running = simulation.Simulation(deployment, offered, policy(), seed)
    return running, running.run()


def test_engine_rejects_what_does_not_fit_and_pushes_out_the_newest():
    engine = engines.Generator("d", 1000, 8)
    assert engine.admit(0.0, engines.Run(1, 600, 300, 0.0))
    assert not engine.admit(0.0, engines.Run(2, 500, 10, 0.0))
    assert engine.admit(0.1, engines.Run(3, 350, 300, 0.1))
    assert [each.request for each in engine.preempt(0.5)] == [3]
    engine.end(1)
    assert engine.used_tokens(9.0) == 0


def test_reader_reads_one_prompt_after_another():
    reader = engines.Reader("p")
    once_s = reader.read(1.0, 5500) - 1.0
    assert reader.read(1.0, 5500) == pytest.approx(1.0 + 2 * once_s)


@pytest.mark.parametrize("policy", policies.ALL, ids=lambda each: each.name)
def test_every_request_ends_and_gives_back_what_it_held(policy):
    deployment = dataclasses.replace(FEW, lost_s=5.0)
    running, result = play(deployment, policy, 0.9)
    ended = result.on_time + result.late + result.refused + result.failed
    assert ended == result.requests > 50
    assert running.is_idle()


def test_same_seed_same_result():
    assert play(FEW, policies.Product, 0.8)[1] == play(FEW, policies.Product, 0.8)[1]
    assert play(FEW, policies.Product, 0.8)[1] != play(FEW, policies.Product, 0.8, seed=2)[1]


def test_product_earns_more_than_simple_policies_in_a_burst():
    """Load: bursts of twice the rate that fill the engines' memory."""
    ours = play(FEW, policies.Product, 0.8)[1]
    for simple in (policies.LeastBusy, policies.AtRandom):
        other = play(FEW, simple, 0.8)[1]
        assert ours.goodput > other.goodput
        assert ours.read_in_vain < other.read_in_vain


def test_many_instances_waste_less_where_new_work_is_told_at_once():
    """Load: a burst met by 40 instances that each know of the others' work with a lag."""
    told = [play(MANY, policies.Product, 0.5, seed, duration_s=9.0)[1] for seed in (1, 2)]
    rounds = [play(MANY, policies.RoundsOnly, 0.5, seed, duration_s=9.0)[1] for seed in (1, 2)]
    assert sum(r.rejections for r in told) < sum(r.rejections for r in rounds)
    assert sum(r.goodput for r in told) > sum(r.goodput for r in rounds)


def test_experiment_reports_every_row_and_draws_them(tmp_path):
    scenario = experiment.Scenario("few", FEW, 1.0)
    rows = experiment.compare([scenario], [policies.Product, policies.AtRandom], [0.5], [1], 2)
    assert [(row.policy, row.load) for row in rows] == [("product", 0.5), ("random", 0.5)]
    assert "| few | product | 0.5 |" in experiment.describe(rows)
    experiment.plot(rows, tmp_path / "goodput.png")
    assert (tmp_path / "goodput.png").stat().st_size > 0
