"""Hypothesis rules shared by the property tests: time passes, and faults occur."""

from __future__ import annotations

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from carawaydoor.coordination import core_events, ownership
from tests import simulation

WARM_UP_S = 4.0

instances = st.sampled_from(sorted(simulation.DOMAIN_BY_INSTANCE))
SETTINGS = hypothesis.settings(
    max_examples=60,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
    database=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)


class Faults(stateful.RuleBasedStateMachine):
    """A cluster in which faults occur at any time, several at once or repeatedly."""

    def __init__(self) -> None:
        super().__init__()
        self.cluster = simulation.Cluster(ownership.Timing())
        self.cluster.advance(WARM_UP_S)

    def runs(self, instance: str) -> bool:
        """Return whether an instance runs, that is neither stopped nor paused."""
        simulated = self.cluster.simulated_by_id[instance]
        return simulated.alive and not simulated.paused

    @stateful.rule(seconds=st.sampled_from([0.1, 0.5, 1.0, 2.0, 4.0, 10.0]))
    def advance(self, seconds: float) -> None:
        """Advance the clock."""
        self.cluster.advance(seconds)

    @stateful.rule(instance=instances)
    def kill(self, instance: str) -> None:
        """Stop an instance without a drain."""
        self.cluster.simulated_by_id[instance].alive = False

    @stateful.rule(instance=instances)
    def restart(self, instance: str) -> None:
        """Start a new incarnation of a stopped instance."""
        if not self.cluster.simulated_by_id[instance].alive:
            self.cluster.start_instance(instance)

    @stateful.rule(instance=instances)
    def pause(self, instance: str) -> None:
        """Pause an instance, as SIGSTOP does."""
        self.cluster.simulated_by_id[instance].paused = True

    @stateful.rule(instance=instances)
    def resume(self, instance: str) -> None:
        """Resume a paused instance."""
        self.cluster.resume(instance)

    @stateful.rule(one=instances, other=instances)
    def cut(self, one: str, other: str) -> None:
        """Cut the network between two instances."""
        if one != other:
            self.cluster.cut_links.add(frozenset((one, other)))

    @stateful.rule(instance=instances)
    def cut_off(self, instance: str) -> None:
        """Cut the network between one instance and all others."""
        for other in simulation.DOMAIN_BY_INSTANCE:
            self.cut(instance, other)

    @stateful.rule()
    def cut_domains(self) -> None:
        """Cut the network between the failure domains."""
        for one, domain in simulation.DOMAIN_BY_INSTANCE.items():
            for other, other_domain in simulation.DOMAIN_BY_INSTANCE.items():
                if domain != other_domain:
                    self.cluster.cut_links.add(frozenset((one, other)))

    @stateful.rule()
    def heal(self) -> None:
        """Restore the network."""
        self.cluster.cut_links.clear()

    @stateful.rule(domain=st.sampled_from(simulation.DOMAINS), sees=st.booleans())
    def platform(self, domain: str, sees: bool) -> None:
        """Cut a failure domain off from the platform, or reconnect it."""
        for each, instance_domain in simulation.DOMAIN_BY_INSTANCE.items():
            if instance_domain == domain:
                self.cluster.simulated_by_id[each].reaches_platform = sees

    @stateful.rule(instance=instances, sees=st.booleans())
    def platform_of_one(self, instance: str, sees: bool) -> None:
        """Cut one instance off from the platform, or reconnect it."""
        self.cluster.simulated_by_id[instance].reaches_platform = sees

    @stateful.rule(members=st.sets(instances, min_size=2))
    def publish(self, members: set[str]) -> None:
        """Publish a view with other instances, whether they run or not."""
        self.cluster.publish(members)

    @stateful.rule(instance=instances)
    def drain(self, instance: str) -> None:
        """Drain an instance, let it hand over and stop it."""
        simulated = self.cluster.simulated_by_id[instance]
        if not simulated.alive or simulated.paused:
            return
        self.cluster.apply(instance, core_events.DrainStarted())
        self.cluster.advance(0.75)
        self.cluster.apply(instance, core_events.HandoverDue())
        simulated.alive = False
