"""Rules that all property tests share: time passes and things fail."""

from __future__ import annotations

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from carawaydoor.coordination import core_events, ownership
from tests import simulation

WARM_UP_S = 4.0

instances = st.sampled_from(sorted(simulation.INSTANCES))
SETTINGS = hypothesis.settings(
    max_examples=60,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
    database=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)


class Faults(stateful.RuleBasedStateMachine):
    """A world in which anything may fail at any moment, together or twice."""

    def __init__(self) -> None:
        super().__init__()
        self.world = simulation.World(ownership.Timing())
        self.world.advance(WARM_UP_S)

    def runs(self, instance: str) -> bool:
        """Return whether an instance is able to act."""
        machine = self.world.machine_by_id[instance]
        return machine.alive and not machine.paused

    @stateful.rule(seconds=st.sampled_from([0.1, 0.5, 1.0, 2.0, 4.0, 10.0]))
    def advance(self, seconds: float) -> None:
        """Let time pass."""
        self.world.advance(seconds)

    @stateful.rule(instance=instances)
    def kill(self, instance: str) -> None:
        """End an instance at once."""
        self.world.machine_by_id[instance].alive = False

    @stateful.rule(instance=instances)
    def restart(self, instance: str) -> None:
        """Start a new incarnation of an instance that has ended."""
        if not self.world.machine_by_id[instance].alive:
            self.world.boot(instance)

    @stateful.rule(instance=instances)
    def pause(self, instance: str) -> None:
        """Stop an instance from running."""
        self.world.machine_by_id[instance].paused = True

    @stateful.rule(instance=instances)
    def resume(self, instance: str) -> None:
        """Let a paused instance run again."""
        self.world.resume(instance)

    @stateful.rule(one=instances, other=instances)
    def cut(self, one: str, other: str) -> None:
        """Cut the network between two instances."""
        if one != other:
            self.world.cuts.add(frozenset((one, other)))

    @stateful.rule(instance=instances)
    def cut_off(self, instance: str) -> None:
        """Cut one instance off from all others."""
        for other in simulation.INSTANCES:
            self.cut(instance, other)

    @stateful.rule()
    def cut_domains(self) -> None:
        """Cut the failure domains off from each other."""
        for one, domain in simulation.INSTANCES.items():
            for other, other_domain in simulation.INSTANCES.items():
                if domain != other_domain:
                    self.world.cuts.add(frozenset((one, other)))

    @stateful.rule()
    def heal(self) -> None:
        """Mend the network."""
        self.world.cuts.clear()

    @stateful.rule(domain=st.sampled_from(simulation.DOMAINS), sees=st.booleans())
    def platform(self, domain: str, sees: bool) -> None:
        """Cut a failure domain off from the platform, or mend that."""
        for each, instance_domain in simulation.INSTANCES.items():
            if instance_domain == domain:
                self.world.machine_by_id[each].sees_platform = sees

    @stateful.rule(instance=instances, sees=st.booleans())
    def platform_of_one(self, instance: str, sees: bool) -> None:
        """Cut one instance off from the platform, or mend that."""
        self.world.machine_by_id[instance].sees_platform = sees

    @stateful.rule(members=st.sets(instances, min_size=2))
    def publish(self, members: set[str]) -> None:
        """Publish another list of instances, right or wrong."""
        self.world.publish(members)

    @stateful.rule(instance=instances)
    def drain(self, instance: str) -> None:
        """Let an instance leave gracefully."""
        machine = self.world.machine_by_id[instance]
        if not machine.alive or machine.paused:
            return
        self.world.apply(instance, core_events.DrainStarted())
        self.world.advance(0.75)
        self.world.apply(instance, core_events.HandoverDue())
        machine.alive = False
