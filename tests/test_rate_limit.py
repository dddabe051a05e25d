"""No workspace receives more than its rate and burst, whatever happens to the instances."""

from __future__ import annotations

from hypothesis import stateful
from hypothesis import strategies as st

from carawaydoor.coordination import budgets, core_events, messages, ownership
from tests import faults, simulation

RATE = simulation.WORKSPACE.rate_tokens_per_s
BURST = simulation.WORKSPACE.burst_tokens
EPSILON_TOKENS = 0.01


class RateLimit(faults.Faults):
    """Requests, settlements and faults in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.admissions: list[simulation.Admission] = []
        self.open: list[simulation.Admission] = []
        self.numbers = 0
        self.world.fill()

    @stateful.rule(
        entry=faults.instances,
        tokens=st.sampled_from([5.0, 50.0, 200.0, 750.0]),
        delay_s=st.sampled_from([0.0, 0.0, 0.5, 5.0]),
        times=st.integers(1, 8),
    )
    def request(self, entry: str, tokens: float, delay_s: float, times: int) -> None:
        """Send requests through an instance."""
        if not self.runs(entry):
            return
        for _ in range(times):
            self.numbers += 1
            admitted = simulation.reserve(self.world, entry, f"g{self.numbers}", tokens, delay_s)
            if admitted is not None:
                self.admissions.append(admitted)
                self.open.append(admitted)

    @stateful.rule(entry=faults.instances)
    def spend(self, entry: str) -> None:
        """Send requests through an instance until even a small one is refused."""
        for tokens in (200.0, 20.0, 2.0, 0.2):
            before = -1
            while before < len(self.admissions):
                before = len(self.admissions)
                self.request(entry, tokens, 0.0, 1)

    @stateful.rule(used=st.floats(0.0, 1.0), doubled=st.booleans())
    def settle(self, used: float, doubled: bool) -> None:
        """End the oldest open request; its unused tokens go back, perhaps twice."""
        if not self.open:
            return
        grant = self.open.pop(0)
        unused = grant.tokens * (1.0 - used)
        message = messages.SettleTokens(
            grant.grant_id, simulation.WORKSPACE.name, unused, grant.pooled, grant.incarnation
        )
        grant.tokens -= unused
        for _ in range(2 if doubled else 1):
            self.world.apply(grant.owner, core_events.Received(message))

    @stateful.invariant()
    def never_more_than_rate_and_burst(self) -> None:
        """Over any interval the tokens received stay within burst + rate * length.

        The level of a bucket that leaks at the rate exceeds the burst exactly where some interval
        that ends here has received more than that.
        """
        level = 0.0
        last_s = 0.0
        for each in sorted(self.admissions, key=lambda each: each.at_s):
            level = max(0.0, level - RATE * (each.at_s - last_s)) + each.tokens
            last_s = each.at_s
            assert level <= BURST + EPSILON_TOKENS, f"received {level} above rate and burst"


TestRateLimit = RateLimit.TestCase
TestRateLimit.settings = faults.SETTINGS


def test_requests_are_admitted_while_nothing_fails() -> None:
    """The bound is not kept by refusing everything."""
    world = simulation.World(ownership.Timing())
    world.advance(faults.WARM_UP_S)
    admitted = 0.0
    for number in range(200):
        world.advance(0.5)
        entry = sorted(simulation.INSTANCES)[number % len(simulation.INSTANCES)]
        admission = simulation.reserve(world, entry, f"g{number}", 4.5, 0.0)
        if admission is not None:
            admitted += admission.tokens
    assert admitted >= 0.95 * 200 * 4.5


def test_shares_add_up_to_the_limit() -> None:
    """All shares of a workspace together are its limit."""
    budget_split = simulation.CATALOG.budget_split
    scopes = [budgets.POOLED, *simulation.DOMAINS]
    limits = [budgets.share_limit(budget_split, budgets.Share("acme", each)) for each in scopes]
    assert sum(each.rate_per_s for each in limits if each) <= RATE + EPSILON_TOKENS
    assert sum(each.burst for each in limits if each) <= BURST + EPSILON_TOKENS


def test_pooled_share_outlives_its_domain() -> None:
    """When every instance of a domain has died, another domain holds the pooled share."""
    machine = RateLimit()
    for instance, domain in simulation.INSTANCES.items():
        if domain == simulation.INSTANCES["i1"]:
            machine.kill(instance)
    machine.advance(40.0)
    machine.request("i4", 200.0, 0.0, 1)
    assert [each.pooled for each in machine.admissions] == [True]
    machine.never_more_than_rate_and_burst()


def test_domain_that_is_cut_off_keeps_its_standing_share() -> None:
    """A domain cut off from the platform and the others serves what its own share allows."""
    machine = RateLimit()
    machine.cut_domains()
    for domain in simulation.DOMAINS:
        machine.platform(domain, False)
    machine.advance(5.0)
    machine.request("i1", 50.0, 0.0, 1)
    assert [each.pooled for each in machine.admissions] == [False]


def test_whole_burst_can_be_spent_through_one_instance() -> None:
    """Nothing of a workspace's burst is stranded in the shares of other domains."""
    machine = RateLimit()
    for _ in range(4):
        machine.spend("i1")
        machine.advance(0.5)
    assert sum(each.tokens for each in machine.admissions) >= 0.99 * BURST
