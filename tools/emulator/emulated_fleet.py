"""Modelled instances that tell each other of their work as the product's instances do."""

from __future__ import annotations

import dataclasses
from typing import Final

from carawaydoor.fleet import gossip
from carawaydoor.policy import entities, fleet_retry_budget, health, load, placement

# Time in seconds that instances were up before the first request.
UPTIME_S: Final = 60.0
DOMAIN: Final = "a"


@dataclasses.dataclass(slots=True)
class Instance:
    """What one instance believes."""

    name: str
    own: load.Load
    health: health.Health
    repeats: fleet_retry_budget.FleetRetryBudget
    members: gossip.Membership
    sequence: int = 0


class EmulatedFleet:
    """All instances; reports arrive at once."""

    def __init__(self, count: int, rules: fleet_retry_budget.BudgetRules, tells_work: bool) -> None:
        self._tells_work = tells_work
        budget = fleet_retry_budget.with_reachable_instances(
            fleet_retry_budget.create(rules, -UPTIME_S), count, count
        )
        self._instance_by_name = {
            name: Instance(name, load.EMPTY, {}, budget, gossip.Membership(name, {}))
            for name in (f"i-{number}" for number in range(count))
        }
        for receiver in self.instances:
            for sender in self.instances:
                self._hear(receiver, self._full_report(sender, 0.0), 0.0)

    @property
    def instances(self) -> list[Instance]:
        """Every instance."""
        return list(self._instance_by_name.values())

    def report(self, sender: Instance, now_s: float) -> float:
        """Send a round of reports and return the time in seconds to the next."""
        sender.members, contacts = gossip.next_recipients(sender.members)
        report = self._full_report(sender, now_s)
        for contact in contacts:
            self._hear(self._instance_by_name[contact.instance], report, now_s)
        return gossip.round_interval_s(sender.members)

    def tell_work(self, sender: Instance, now_s: float) -> None:
        """Tell of work that has just begun, where instances do so."""
        if not self._tells_work:
            return
        sender.members, contacts = gossip.next_work_recipients(sender.members, now_s)
        sender.sequence += 1
        work = sender.own.own_by_id
        report = gossip.WorkReport(sender.name, 1, sender.sequence, work)
        for contact in contacts:
            receiver = self._instance_by_name[contact.instance]
            receiver.members = gossip.apply_work_report(receiver.members, now_s, report)

    def view(
        self, instance: Instance, now_s: float, upstreams: tuple[entities.Upstream, ...], seed: int
    ) -> placement.PlacementContext:
        """Return what an instance decides from."""
        staleness_s = len(instance.members.peer_by_instance) / gossip.REPORT_DATAGRAMS_PER_S / 2.0
        if self._tells_work:
            staleness_s = gossip.staleness_s(instance.members, now_s)
        peers_by_id = gossip.peer_work(instance.members, now_s)
        known = load.Load(instance.own.own_by_id, peers_by_id)
        return placement.PlacementContext(
            now_s, DOMAIN, upstreams, known, instance.health, staleness_s, seed
        )

    def _full_report(self, sender: Instance, now_s: float) -> gossip.Report:
        sender.sequence += 1
        return gossip.Report(
            contact=gossip.Contact(sender.name, sender.name),
            domain=DOMAIN,
            incarnation=1,
            sequence=sender.sequence,
            sent_s=now_s,
            is_leaving=False,
            revision=1,
            proof_age_s=0.0,
            work_by_upstream=sender.own.own_by_id,
            used_by_workspace={},
            echo_by_instance={},
            contacts=(),
            strikes=(),
            set_aside_s_by_upstream={},
            source_steady_s=UPTIME_S,
            requests_by_service=sender.repeats.requests.own_totals_by_name,
            repeats_by_service=sender.repeats.retries.own_totals_by_name,
        )

    def _hear(self, receiver: Instance, report: gossip.Report, now_s: float) -> None:
        receiver.members, effects = gossip.apply_report(receiver.members, now_s, report)
        for effect in effects:
            if isinstance(effect, gossip.PeerUsage):
                receiver.repeats = fleet_retry_budget.merge_peer_totals(
                    receiver.repeats,
                    now_s,
                    effect.peer,
                    effect.requests_by_service,
                    effect.repeats_by_service,
                )
