"""No workspace gets more tokens than its rate and burst allow, whatever happens to instances."""

from __future__ import annotations

from hypothesis import stateful
from hypothesis import strategies as st

from carawaydoor.coordination import budgets, core_events, messages, ownership
from tests import faults, simulation

RATE_TOKENS_PER_S = simulation.WORKSPACE.rate_tokens_per_s
BURST_TOKENS = simulation.WORKSPACE.burst_tokens
EPSILON_TOKENS = 0.01


class RateLimit(faults.Faults):
    """Requests, settlements and faults in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.grants: list[simulation.GrantedTokens] = []
        self.open_grants: list[simulation.GrantedTokens] = []
        self.request_count = 0
        self.cluster.fill_buckets()

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
            self.request_count += 1
            admitted = simulation.reserve(
                self.cluster, entry, f"g{self.request_count}", tokens, delay_s
            )
            if admitted is not None:
                self.grants.append(admitted)
                self.open_grants.append(admitted)

    @stateful.rule(entry=faults.instances)
    def spend(self, entry: str) -> None:
        """Send requests through an instance until even the smallest one is refused."""
        for tokens in (200.0, 20.0, 2.0, 0.2):
            before = -1
            while before < len(self.grants):
                before = len(self.grants)
                self.request(entry, tokens, 0.0, 1)

    @stateful.rule(used=st.floats(0.0, 1.0), doubled=st.booleans())
    def settle(self, used: float, doubled: bool) -> None:
        """End the oldest open request; its unused tokens are returned, optionally twice."""
        if not self.open_grants:
            return
        grant = self.open_grants.pop(0)
        unused = grant.tokens * (1.0 - used)
        message = messages.SettleTokens(
            grant.grant_id, simulation.WORKSPACE.name, unused, grant.pooled, grant.incarnation
        )
        grant.tokens -= unused
        for _ in range(2 if doubled else 1):
            self.cluster.apply(grant.owner, core_events.Received(message))

    @stateful.invariant()
    def never_more_than_rate_and_burst(self) -> None:
        """Over any interval the granted tokens stay within burst + rate * length.

        The level of a leaky bucket, which drains at the rate, exceeds the burst exactly if more
        was granted in some interval that ends at that time.
        """
        level = 0.0
        previous_s = 0.0
        for each in sorted(self.grants, key=lambda each: each.at_s):
            level = max(0.0, level - RATE_TOKENS_PER_S * (each.at_s - previous_s)) + each.tokens
            previous_s = each.at_s
            assert level <= BURST_TOKENS + EPSILON_TOKENS, f"received {level} above rate and burst"


TestRateLimit = RateLimit.TestCase
TestRateLimit.settings = faults.SETTINGS


def test_requests_are_admitted_while_nothing_fails() -> None:
    """Requests are admitted when no fault occurs; refusing everything would meet the bound too."""
    cluster = simulation.Cluster(ownership.Timing())
    cluster.advance(faults.WARM_UP_S)
    admitted = 0.0
    for number in range(200):
        cluster.advance(0.5)
        entry = sorted(simulation.DOMAIN_BY_INSTANCE)[number % len(simulation.DOMAIN_BY_INSTANCE)]
        granted = simulation.reserve(cluster, entry, f"g{number}", 4.5, 0.0)
        if granted is not None:
            admitted += granted.tokens
    assert admitted >= 0.95 * 200 * 4.5


def test_shares_add_up_to_the_limit() -> None:
    """The shares of a workspace add up to no more than its limit."""
    budget_split = simulation.CATALOG.budget_split
    scopes = [budgets.POOLED, *simulation.DOMAINS]
    limits = [budgets.share_limit(budget_split, budgets.Share("acme", each)) for each in scopes]
    assert sum(each.rate_per_s for each in limits if each) <= RATE_TOKENS_PER_S + EPSILON_TOKENS
    assert sum(each.burst for each in limits if each) <= BURST_TOKENS + EPSILON_TOKENS


def test_pooled_share_outlives_its_domain() -> None:
    """If all instances of a failure domain die, the pooled share gets an owner in another one."""
    machine = RateLimit()
    for instance, domain in simulation.DOMAIN_BY_INSTANCE.items():
        if domain == simulation.DOMAIN_BY_INSTANCE["i1"]:
            machine.kill(instance)
    machine.advance(40.0)
    machine.request("i4", 200.0, 0.0, 1)
    assert [each.pooled for each in machine.grants] == [True]
    machine.never_more_than_rate_and_burst()


def test_domain_that_is_cut_off_keeps_its_standing_share() -> None:
    """A domain cut off from the platform and the other domains grants its standing share."""
    machine = RateLimit()
    machine.cut_domains()
    for domain in simulation.DOMAINS:
        machine.platform(domain, False)
    machine.advance(5.0)
    machine.request("i1", 50.0, 0.0, 1)
    assert [each.pooled for each in machine.grants] == [False]


def test_whole_burst_can_be_spent_through_one_instance() -> None:
    """The whole burst can be used, so no tokens stay unusable in the shares of other domains."""
    machine = RateLimit()
    for _ in range(4):
        machine.spend("i1")
        machine.advance(0.5)
    assert sum(each.tokens for each in machine.grants) >= 0.99 * BURST_TOKENS
