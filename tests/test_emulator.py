"""Tests of the emulator: KV cache limits, reproducible results and differences of policies."""

from __future__ import annotations

import dataclasses

import pytest

from tools import experiment
from tools.emulator import engines, policies, simulation, traffic

FEW_INSTANCES = simulation.Deployment(instances=5, prefill_engines=2, decode_engines=3)
MANY_INSTANCES = simulation.Deployment(
    instances=40, prefill_engines=5, decode_engines=6, kv_tokens=45_000
)


def simulate(deployment, policy, load, seed=1, burst_factor=2.0, duration_s=12.0):
    default_traffic = traffic.Traffic(requests_per_s=1.0)
    requests_per_s = load * experiment.max_requests_per_s(deployment, default_traffic)
    offered = dataclasses.replace(
        default_traffic,
        requests_per_s=requests_per_s,
        burst_factor=burst_factor,
        duration_s=duration_s,
    )
    simulated = simulation.Simulation(deployment, offered, policy(), seed)
    return simulated, simulated.run()


def test_decode_engine_rejects_what_does_not_fit_and_preempts_the_newest():
    engine = engines.DecodeEngine("d", 1000, 8)
    assert engine.admit(0.0, engines.Generation(1, 600, 300, 0.0))
    assert not engine.admit(0.0, engines.Generation(2, 500, 10, 0.0))
    assert engine.admit(0.1, engines.Generation(3, 350, 300, 0.1))
    assert [each.request for each in engine.preempt(0.5)] == [3]
    engine.end(1)
    assert engine.used_tokens(9.0) == 0


def test_prefill_engine_prefills_one_prompt_at_a_time():
    engine = engines.PrefillEngine("p")
    prefill_s = engine.prefill(1.0, 5500) - 1.0
    assert engine.prefill(1.0, 5500) == pytest.approx(1.0 + 2 * prefill_s)


@pytest.mark.parametrize("policy", policies.ALL_POLICIES, ids=lambda each: each.name)
def test_every_request_ends_and_releases_its_resources(policy):
    deployment = dataclasses.replace(FEW_INSTANCES, failure_at_s=5.0)
    simulated, result = simulate(deployment, policy, 0.9)
    ended = result.on_time + result.late + result.refused + result.failed
    assert ended == result.requests > 50
    assert simulated.is_idle()


def test_same_seed_gives_the_same_result():
    assert (
        simulate(FEW_INSTANCES, policies.RouterPolicy, 0.8)[1]
        == simulate(FEW_INSTANCES, policies.RouterPolicy, 0.8)[1]
    )
    assert (
        simulate(FEW_INSTANCES, policies.RouterPolicy, 0.8)[1]
        != simulate(FEW_INSTANCES, policies.RouterPolicy, 0.8, seed=2)[1]
    )


def test_router_policy_has_more_goodput_than_baselines_in_a_burst():
    """Bursts of twice the rate fill the engines' KV cache."""
    router = simulate(FEW_INSTANCES, policies.RouterPolicy, 0.8)[1]
    for baseline in (policies.LeastRequests, policies.RandomChoice):
        other = simulate(FEW_INSTANCES, baseline, 0.8)[1]
        assert router.goodput > other.goodput
        assert router.read_in_vain < other.read_in_vain


def test_announcing_work_raises_goodput_of_many_instances():
    """In a burst, 40 instances that do not announce work overload engines.

    Each learns of the others' work too late.
    """
    announced = [
        simulate(MANY_INSTANCES, policies.RouterPolicy, 0.5, seed, duration_s=9.0)[1]
        for seed in (1, 2)
    ]
    periodic = [
        simulate(MANY_INSTANCES, policies.PeriodicReportsOnly, 0.5, seed, duration_s=9.0)[1]
        for seed in (1, 2)
    ]
    assert sum(r.rejections for r in announced) < sum(r.rejections for r in periodic)
    assert sum(r.goodput for r in announced) > sum(r.goodput for r in periodic)


def test_experiment_reports_and_plots_every_row(tmp_path):
    scenario = experiment.Scenario("few", FEW_INSTANCES, 1.0)
    rows = experiment.compare(
        [scenario], [policies.RouterPolicy, policies.RandomChoice], [0.5], [1], 2
    )
    assert [(row.policy, row.load) for row in rows] == [("product", 0.5), ("random", 0.5)]
    assert "| few | product | 0.5 |" in experiment.describe(rows)
    experiment.plot(rows, tmp_path / "goodput.png")
    assert (tmp_path / "goodput.png").stat().st_size > 0
