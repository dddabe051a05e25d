"""Usage caps bound the usage of all instances together, and admit all that is within them."""

from __future__ import annotations

import hypothesis.stateful
from hypothesis import settings
from hypothesis import strategies as st

from carawaydoor.policy import entities, sliding_window, usage_caps

RULES = usage_caps.CapRules(window_s=8.0, overshoot=0.25)
WORKSPACE = entities.Workspace("w", None, 1000.0, 1000.0, True, 200.0)
LIMIT = 9000.0


def running_caps(started_s=-100.0):
    return usage_caps.create(RULES, started_s)


def admit(state, now_s, amount, workspace=WORKSPACE):
    state, verdict = usage_caps.admit(state, now_s, workspace, amount)
    return state, isinstance(verdict, usage_caps.Admitted), verdict


def test_burst_within_the_window_is_admitted():
    """Guards against a token bucket of the burst size, which refused what the window allows."""
    state = running_caps()
    for _ in range(9):
        state, admitted, _ = admit(state, 0.0, 1000.0)
        assert admitted
    _, admitted, verdict = admit(state, 0.0, 1000.0)
    assert not admitted
    assert 7.5 <= verdict.retry_after_s <= 8.5


def test_request_is_admitted_after_the_stated_delay():
    state = running_caps()
    for at_s in range(9):
        state, _, _ = admit(state, at_s * 0.5, 1000.0)
    state, admitted, verdict = admit(state, 4.5, 1000.0)
    assert not admitted
    _, admitted, _ = admit(state, 4.5 + verdict.retry_after_s, 1000.0)
    assert admitted


def test_request_larger_than_the_limit_is_admitted_by_an_empty_window():
    _, admitted, _ = admit(running_caps(), 0.0, 50_000.0)
    assert admitted


def test_usage_of_peers_counts():
    state = usage_caps.merge_peer_totals(running_caps(), 0.0, "p", {"w": 500.0})
    state = usage_caps.merge_peer_totals(state, 0.1, "p", {"w": 8500.0})
    _, admitted, _ = admit(state, 0.2, 1500.0)
    assert not admitted


def test_first_totals_of_a_peer_are_not_counted():
    state = usage_caps.merge_peer_totals(running_caps(), 0.0, "p", {"w": 1e9})
    _, admitted, _ = admit(state, 0.1, 1000.0)
    assert admitted


def test_limit_leaves_out_the_refill_before_the_start():
    state = running_caps(started_s=0.0)
    state, admitted, _ = admit(state, 1.0, 2000.0)
    assert admitted
    _, admitted, _ = admit(state, 1.0, 1000.0)
    assert not admitted


def test_lowered_cap_does_not_lock_a_workspace_out():
    state = running_caps()
    for at_s in range(8):
        state, _, _ = admit(state, float(at_s), 1000.0)
    lowered = entities.Workspace("w", None, 100.0, 100.0, True, 200.0)
    _, admitted, _ = admit(state, 8.0, 90.0, lowered)
    assert admitted


def test_refunded_tokens_can_be_used_again():
    state = running_caps()
    state, _, _ = admit(state, 0.0, 9000.0)
    state = usage_caps.refund(state, 0.1, "w", 9000.0)
    _, admitted, _ = admit(state, 0.2, 9000.0)
    assert admitted


def test_workspace_without_a_cap_is_always_admitted():
    uncapped = entities.Workspace("w", None, 0.0, 0.0, True, 200.0)
    _, admitted, _ = admit(running_caps(), 0.0, 1e12, uncapped)
    assert admitted


def test_cost_is_tokens_or_one_request():
    prompt = entities.Prompt(100, 50, 20)
    assert usage_caps.cost(WORKSPACE, prompt) == 150.0
    assert usage_caps.cost(WORKSPACE, None) == 200.0
    by_request = entities.Workspace("w", None, 5.0, 5.0, False, 200.0)
    assert usage_caps.cost(by_request, prompt) == 1.0


class Fleet(hypothesis.stateful.RuleBasedStateMachine):
    """Whatever the partitions, all instances admit at most twice the cap and its overshoot."""

    INSTANCES = 4

    def __init__(self):
        super().__init__()
        self.now_s = 0.0
        self.states = [running_caps() for _ in range(self.INSTANCES)]
        self.is_partitioned = False
        self.admitted = []

    @hypothesis.stateful.rule(seconds=st.floats(0.0, 2.0))
    def wait(self, seconds):
        self.now_s += seconds
        self.exchange()

    @hypothesis.stateful.rule(is_cut=st.booleans())
    def cut(self, is_cut):
        self.is_partitioned = is_cut
        reachable = self.INSTANCES // 2 if is_cut else self.INSTANCES
        self.states = [
            usage_caps.with_reachable_instances(each, reachable, self.INSTANCES)
            for each in self.states
        ]
        self.exchange()

    @hypothesis.stateful.rule(instance=st.integers(0, INSTANCES - 1), amount=st.floats(1.0, 1500.0))
    def request(self, instance, amount):
        self.states[instance], admitted, _ = admit(self.states[instance], self.now_s, amount)
        if admitted:
            self.admitted.append((self.now_s, amount))
        self.exchange()

    def exchange(self):
        totals = [usage_caps.own_totals(each) for each in self.states]
        for mine in range(self.INSTANCES):
            for other in range(self.INSTANCES):
                apart = mine % 2 != other % 2
                if mine != other and not (self.is_partitioned and apart):
                    self.states[mine] = usage_caps.merge_peer_totals(
                        self.states[mine], self.now_s, str(other), totals[other]
                    )

    @hypothesis.stateful.invariant()
    def window_holds(self):
        start_s = self.now_s - RULES.window_s
        used = sum(
            amount for at_s, amount in self.admitted if at_s > start_s + sliding_window.INTERVAL_S
        )
        # Both sides of a new partition may use their share of a window that was already full.
        assert used <= LIMIT * (1.0 + RULES.overshoot) * 2.0
        if not self.is_partitioned and all(each.usable_share == 1.0 for each in self.states):
            recent = [a for at_s, a in self.admitted if at_s > start_s + sliding_window.INTERVAL_S]
            assert not recent or used - max(recent) <= LIMIT * (1.0 + RULES.overshoot) * 2.0


TestFleet = Fleet.TestCase
TestFleet.settings = settings(max_examples=60, stateful_step_count=40, deadline=None)
