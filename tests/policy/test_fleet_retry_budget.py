"""The retry budget bounds all instances together, and few instances may use most of it."""

from __future__ import annotations

import hypothesis.stateful
from hypothesis import settings
from hypothesis import strategies as st

from carawaydoor.policy import fleet_retry_budget

RULES = fleet_retry_budget.BudgetRules(ratio=0.2, slack=156.0, window_s=10.0)
SERVICE = "planner"


def running_budget(known=58, started_s=-100.0):
    return fleet_retry_budget.with_reachable_instances(
        fleet_retry_budget.create(RULES, started_s), known, known
    )


def take_all(state, now_s, limit=10_000):
    taken = 0
    while taken < limit:
        state, allowed = fleet_retry_budget.take(state, now_s, SERVICE)
        if not allowed:
            break
        taken += 1
    return state, taken


def test_one_instance_takes_more_than_an_equal_share_while_others_take_nothing():
    """All engines are full for two seconds, and a few of 58 instances get all rejections."""
    state, total = running_budget(), 0
    for step in range(10):
        state, taken = take_all(state, step * fleet_retry_budget.PEER_REPORT_LAG_S * 1.3)
        total += taken
    equal_share = RULES.slack * fleet_retry_budget.USABLE_SHARE / 58
    assert total > 8 * equal_share


def test_retries_of_peers_use_up_the_budget():
    state = fleet_retry_budget.merge_peer_totals(
        running_budget(), 0.0, "p", {SERVICE: 0.0}, {SERVICE: 0.0}
    )
    state = fleet_retry_budget.merge_peer_totals(state, 0.1, "p", {SERVICE: 0.0}, {SERVICE: 200.0})
    _, taken = take_all(state, 0.2)
    assert taken == 0


def test_requests_add_retries_to_the_budget():
    rules = fleet_retry_budget.BudgetRules(0.2, 0.0, 10.0)
    state = fleet_retry_budget.with_reachable_instances(
        fleet_retry_budget.create(rules, -100.0), 8, 8
    )
    assert not fleet_retry_budget.take(state, 0.0, SERVICE)[1]
    for _ in range(60):
        state = fleet_retry_budget.record_request(state, 0.0, SERVICE)
    assert fleet_retry_budget.take(state, 0.0, SERVICE)[1]


def test_small_budget_is_not_exceeded_by_one_retry_of_each_instance():
    """A burst at 23 instances: each took one retry before it knew of the others' 32."""
    rules = fleet_retry_budget.BudgetRules(0.2, 36.0, 10.0)
    state = fleet_retry_budget.with_reachable_instances(
        fleet_retry_budget.create(rules, -100.0), 23, 23
    )
    for _ in range(93):
        state = fleet_retry_budget.record_request(state, 0.0, SERVICE)
    allowed = rules.slack + rules.ratio * 93
    for known in range(40):
        before = fleet_retry_budget.merge_peer_totals(
            state, 0.0, "p", {SERVICE: 0.0}, {SERVICE: 0.0}
        )
        before = fleet_retry_budget.merge_peer_totals(
            before, 0.1, "p", {SERVICE: 0.0}, {SERVICE: float(known)}
        )
        taken = sum(take_all(before, 0.2)[1] for _ in range(23))
        assert known + taken <= allowed


def test_rejected_prefill_counts_as_a_retry():
    """Further arrivals count even if the upstream rejects them."""
    state, before = running_budget(), take_all(running_budget(), 0.0)[1]
    for _ in range(90):
        state = fleet_retry_budget.record(state, 0.0, SERVICE)
    assert take_all(state, 0.0)[1] < before


def test_instances_that_all_restart_stay_within_the_budget():
    """All instances are killed with the budget used up, and start again at once."""
    taken = 0
    for _ in range(58):
        state = fleet_retry_budget.with_reachable_instances(
            fleet_retry_budget.create(RULES, 0.0), 58, 58
        )
        taken += take_all(state, 0.0)[1]
    assert 0 < taken <= RULES.slack * (1.0 - fleet_retry_budget.USABLE_SHARE)


def test_services_have_budgets_of_their_own():
    state = running_budget()
    state, taken = take_all(state, 0.0)
    assert taken > 0
    assert fleet_retry_budget.take(state, 0.0, "another")[1]


class Fleet(hypothesis.stateful.RuleBasedStateMachine):
    """Instances take all retries they get, report to each other late, and are partitioned."""

    INSTANCES = 12
    RULES = fleet_retry_budget.BudgetRules(0.2, 40.0, 10.0)

    def __init__(self):
        super().__init__()
        self.now_s = 0.0
        self.states = [
            fleet_retry_budget.with_reachable_instances(
                fleet_retry_budget.create(self.RULES, -100.0), self.INSTANCES, self.INSTANCES
            )
            for _ in range(self.INSTANCES)
        ]
        self.partition_size = 0
        self.exchanged_s = 0.0
        self.exchange()
        self.retries = []
        self.requests = []

    def exchange(self):
        own = [(s.requests.own_totals_by_name, s.retries.own_totals_by_name) for s in self.states]
        for mine in range(self.INSTANCES):
            for other in range(self.INSTANCES):
                if mine != other and (mine < self.partition_size) == (other < self.partition_size):
                    self.states[mine] = fleet_retry_budget.merge_peer_totals(
                        self.states[mine], self.now_s, str(other), *own[other]
                    )
        self.exchanged_s = self.now_s

    @hypothesis.stateful.rule(step_s=st.floats(0.05, 0.9))
    def pass_time(self, step_s):
        self.now_s += step_s
        if self.now_s - self.exchanged_s > fleet_retry_budget.PEER_REPORT_LAG_S / 2:
            self.exchange()

    @hypothesis.stateful.rule(count=st.sampled_from([0, 3, 9]))
    def partition(self, count):
        """Partition the instances; the membership of each side notices it at once."""
        self.partition_size = count
        self.exchange()
        for index, state in enumerate(self.states):
            reachable = count if index < count else self.INSTANCES - count
            self.states[index] = fleet_retry_budget.with_reachable_instances(
                state, reachable, self.INSTANCES
            )

    @hypothesis.stateful.rule(index=st.integers(0, INSTANCES - 1), count=st.integers(1, 20))
    def ask(self, index, count):
        for _ in range(count):
            self.states[index] = fleet_retry_budget.record_request(
                self.states[index], self.now_s, SERVICE
            )
            self.requests.append(self.now_s)

    @hypothesis.stateful.rule()
    def all_repeat_at_once(self):
        for index in range(self.INSTANCES):
            self.states[index], taken = take_all(self.states[index], self.now_s)
            self.retries.extend([self.now_s] * taken)

    @hypothesis.stateful.rule(index=st.integers(0, INSTANCES - 1))
    def one_repeats(self, index):
        self.states[index], taken = take_all(self.states[index], self.now_s)
        self.retries.extend([self.now_s] * taken)

    @hypothesis.stateful.invariant()
    def within_the_budget(self):
        window_s = self.RULES.window_s
        start_s = self.now_s - window_s
        sent = sum(start_s < each for each in self.retries)
        # A request adds to the budget during its own window and the next.
        asked = sum(start_s - window_s < each for each in self.requests)
        assert sent <= self.RULES.ratio * asked + self.RULES.slack


TestFleet = Fleet.TestCase
TestFleet.settings = settings(max_examples=60, stateful_step_count=30, deadline=None)


def test_large_fleet_that_restarts_at_once_stays_within_the_budget():
    """All of 195 instances lost power, and found engines full before they had found each other.

    Each took a share for the few instances that it knew, so that together they sent more than the whole
    budget within seconds.
    """
    instances, known_after_s = 195, {0.0: 1, 0.4: 9, 0.8: 40, 1.2: 120, 1.6: 195}
    rules = fleet_retry_budget.BudgetRules(0.2, 430.0, 10.0)
    state = fleet_retry_budget.create(rules, 0.0)
    taken_by_one = 0
    for now_s, known in known_after_s.items():
        state = fleet_retry_budget.with_reachable_instances(state, known, known, now_s)
        for _ in range(4):
            state = fleet_retry_budget.record_request(state, now_s, SERVICE)
            state, allowed = fleet_retry_budget.take(state, now_s, SERVICE)
            taken_by_one += allowed
    assert taken_by_one * instances <= rules.slack


def test_instance_that_knows_its_fleet_takes_retries_again():
    state = fleet_retry_budget.create(RULES, 0.0)
    for now_s, known in ((0.1, 5), (0.5, 58), (0.9, 58)):
        state = fleet_retry_budget.with_reachable_instances(state, known, known, now_s)
    assert fleet_retry_budget.take(state, 2.0, SERVICE)[1]


def test_few_instances_that_join_a_running_fleet_stop_no_retries():
    state = running_budget(known=58, started_s=0.0)
    for now_s, known in ((3.0, 59), (3.2, 60)):
        state = fleet_retry_budget.with_reachable_instances(state, known, known, now_s)
    assert fleet_retry_budget.take(state, 3.3, SERVICE)[1]
