"""Emulated instances that exchange the reports of :mod:`carawaydoor.fleet.gossip`."""

from __future__ import annotations

import dataclasses
from typing import Final

from carawaydoor.fleet import gossip, report_effects, reports
from carawaydoor.policy import entities, fleet_retry_budget, health, load, placement

# How long the instances have been running when the first request arrives.
UPTIME_S: Final = 60.0
FAILURE_DOMAIN: Final = "a"


@dataclasses.dataclass(slots=True)
class Instance:
    """State of one instance, including what it has learned from its peers."""

    name: str
    own_load: load.Load
    health: health.Health
    retry_budget: fleet_retry_budget.FleetRetryBudget
    membership: gossip.Membership
    sequence: int = 0


class EmulatedFleet:
    """All instances; reports are delivered without delay or loss.

    :param announces_work: whether an instance reports new work at once, not only in its rounds
    """

    def __init__(
        self, count: int, rules: fleet_retry_budget.BudgetRules, announces_work: bool
    ) -> None:
        self._announces_work = announces_work
        budget = fleet_retry_budget.with_reachable_instances(
            fleet_retry_budget.create(rules, -UPTIME_S), count, count
        )
        self._instance_by_name = {
            name: Instance(name, load.EMPTY, {}, budget, gossip.Membership(name, {}))
            for name in (f"i-{number}" for number in range(count))
        }
        for receiver in self.instances:
            for sender in self.instances:
                self._receive(receiver, self._report(sender, 0.0), 0.0)

    @property
    def instances(self) -> list[Instance]:
        """All instances in the order of their creation."""
        return list(self._instance_by_name.values())

    def send_reports(self, sender: Instance, now_s: float) -> float:
        """Send one round of reports and return the seconds until the next round."""
        sender.membership, contacts = gossip.next_recipients(sender.membership)
        report = self._report(sender, now_s)
        for contact in contacts:
            self._receive(self._instance_by_name[contact.instance], report, now_s)
        return gossip.ROUND_INTERVAL_S

    def announce_work(self, sender: Instance, now_s: float) -> None:
        """Report newly started work to some peers, if the fleet announces work."""
        if not self._announces_work:
            return
        sender.membership, contacts = gossip.next_work_recipients(sender.membership, now_s)
        sender.sequence += 1
        work = sender.own_load.own_by_id
        report = reports.WorkReport(sender.name, 1, sender.sequence, work)
        for contact in contacts:
            receiver = self._instance_by_name[contact.instance]
            receiver.membership, _ = gossip.apply_work_report(receiver.membership, now_s, report)

    def placement_context(
        self, instance: Instance, now_s: float, upstreams: tuple[entities.Upstream, ...], seed: int
    ) -> placement.PlacementContext:
        """Return the input of an instance's placement decision."""
        # Without announcements, work is known after half a cycle of reports on average.
        staleness_s = gossip.cycle_s(instance.membership) / 2.0
        if self._announces_work:
            staleness_s = gossip.staleness_s(instance.membership, now_s)
        peers_by_id = gossip.peer_work(instance.membership, now_s)
        fleet_load = load.Load(instance.own_load.own_by_id, peers_by_id)
        return placement.PlacementContext(
            now_s, FAILURE_DOMAIN, upstreams, fleet_load, instance.health, staleness_s, seed
        )

    def _report(self, sender: Instance, now_s: float) -> reports.Report:
        sender.sequence += 1
        return reports.Report(
            contact=reports.Contact(sender.name, sender.name),
            domain=FAILURE_DOMAIN,
            incarnation=1,
            sequence=sender.sequence,
            sent_s=now_s,
            is_leaving=False,
            revision=1,
            proof_age_s=0.0,
            work_by_upstream=sender.own_load.own_by_id,
            used_by_workspace={},
            echo_by_instance={},
            contacts=(),
            strikes=(),
            set_aside_s_by_upstream={},
            source_steady_s=UPTIME_S,
            requests_by_service=sender.retry_budget.requests.own_totals_by_name,
            repeats_by_service=sender.retry_budget.retries.own_totals_by_name,
        )

    def _receive(self, receiver: Instance, report: reports.Report, now_s: float) -> None:
        receiver.membership, effects = gossip.apply_report(receiver.membership, now_s, report)
        for effect in effects:
            if isinstance(effect, report_effects.PeerUsage):
                receiver.retry_budget = fleet_retry_budget.merge_peer_totals(
                    receiver.retry_budget,
                    now_s,
                    effect.peer,
                    effect.requests_by_service,
                    effect.repeats_by_service,
                )
