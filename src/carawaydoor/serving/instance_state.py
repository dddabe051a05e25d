"""The state of one instance, shared by all its threads.

The decisions are pure functions of the policy package; this module applies them under a lock.
"""

from __future__ import annotations

import random
import secrets
import threading
from typing import Final

import eliot

from carawaydoor.fleet import codec, gossip, report_effects, reports, transport
from carawaydoor.operating import clocks, platform_metrics, platform_options
from carawaydoor.policy import (
    cold_upstreams,
    entities,
    fleet_retry_budget,
    freshness,
    source_position,
    stage_balance,
    stream_ranking,
    upstream_changes,
    upstream_directory,
    upstream_limits,
    usage_caps,
)
from carawaydoor.serving import (
    capacity_observer,
    cold_limits,
    connections,
    crash_guard,
    evacuation_state,
    reachability,
    request_budget,
    response_budget,
    source_state,
    stream_origins,
    stream_slots,
    upstream_eligibility,
    upstream_limiter,
    upstream_lists,
    upstream_selection,
    urgency_state,
)

# Changed usage is repeated in work reports for this time, in case one of them is lost.
RECENT_USAGE_S: Final = 2.0
# A caller whose timeout is a smaller part of the longest one on its route is assumed to be
# retrying; the timeouts of first attempts differ by some 15% either way.
MIN_FIRST_ATTEMPT_TIMEOUT_SHARE: Final = 0.7
# Longest wait of an instance that has started for the reports of its peers, a few rounds of them.
PEER_VERSION_WAIT_S: Final = 1.0
# Stands for the infinite age of a configuration that was never proven newest.
MAX_REPORTED_PROOF_AGE_S: Final = 1e6


class InstanceState(transport.ReportHandler):
    """Holds the state of an instance and applies decisions to it, one at a time."""

    def __init__(
        self,
        options: platform_options.Options,
        clock: clocks.Clock,
        metrics: platform_metrics.Metrics,
    ) -> None:
        self.options = options
        self.clock = clock
        self.metrics = metrics
        budget = response_budget.ResponseBudget(response_budget.total_bytes(options.memory_bytes))
        self.connection_pool = connections.ConnectionPool(clock, budget)
        self.request_budget: Final = request_budget.RequestBudget(
            request_budget.total_bytes(options.memory_bytes)
        )
        self.configuration = entities.EMPTY_CONFIGURATION
        self.freshness = freshness.Freshness()
        self.directory = upstream_directory.EMPTY
        bounds = options.bounds
        now_s = clock.now_s()
        self._started_s: Final = now_s
        self.caps = usage_caps.create(
            usage_caps.CapRules(bounds.cap_window_s, bounds.cap_overshoot), now_s
        )
        self.retry_budget = fleet_retry_budget.create(
            fleet_retry_budget.BudgetRules(
                bounds.retry_ratio, bounds.retry_slack, bounds.retry_window_s
            ),
            now_s,
        )
        self.crash_guard: Final = crash_guard.CrashGuard(clock)
        self.upstream_limiter: Final = upstream_limiter.UpstreamLimiter(
            options.instance,
            clock,
            metrics,
            cold_upstreams.ColdSharing(bounds.cold_overshoot, bounds.cold_slack),
        )
        self.cold_limits: Final = cold_limits.ColdLimits(
            clock, metrics, self.upstream_limiter, lambda: self.configuration.service_by_name
        )
        self.capacity: Final = capacity_observer.CapacityObserver(
            clock, metrics, options.learns_capacity
        )
        # A version that a peer holds of an era before the one of the configuration here.
        self._version_lost_by_source = 0
        self.membership = gossip.Membership(options.instance, {})
        self.streams: Final = stream_origins.StreamOrigins(options, clock, lambda: self.membership)
        self.lists: Final = upstream_lists.ListReader(clock)
        self.stream_slots: Final = stream_slots.StreamSlots()
        self._incarnation = secrets.randbits(62)
        self._sequence = 0
        self.compresses_reports = False
        self.drain_started_s: float | None = None
        self._longest_timeout_s_by_route: dict[str, float] = {}
        self._usage_changed_s_by_workspace: dict[str, float] = {}
        self.active_requests = 0
        self._random = random.Random()
        self._lock = threading.RLock()
        self.source: Final = source_state.SourceState(
            options.instance,
            options.domain,
            options.link_mbps,
            clock,
            self._lock,
            lambda: self.membership,
            self.update_directory,
            lambda: self.configuration.revision,
        )
        self.source.on_list_gap = self.streams.record_list_gap
        self.evacuation: Final = evacuation_state.EvacuationState(
            clock, metrics, self._lock, self.connection_pool, lambda: self.directory
        )
        self.eligibility: Final = upstream_eligibility.UpstreamEligibility(
            clock,
            self.evacuation,
            lambda: self.directory,
            lambda: self.configuration,
            lambda: self.options,
        )
        self.reach: Final = reachability.Reachability(
            clock,
            self.connection_pool,
            lambda: self.evacuation.remaining().upstream_by_id.values(),
        )
        self.selector = upstream_selection.UpstreamSelector(
            options.domain,
            clock,
            metrics,
            self._lock,
            lambda: upstream_directory.usable(
                self.evacuation.remaining(),
                clock.now_s(),
                self.eligibility.last_use_s,
            ),
            lambda: self.membership,
            lambda service: fleet_retry_budget.requests_per_s(
                self.retry_budget, clock.now_s(), service
            ),
            self.upstream_limiter,
            self.reach,
            lambda: self.options.region_by_domain,
            self.capacity,
            lambda: self.directory.noticed_leaving_ids,
        )
        self.urgency: Final = urgency_state.UrgencyState(
            clock,
            metrics,
            lambda: self.membership,
            self.selector,
            lambda: self.directory.upstream_by_id.values(),
        )

    @property
    def is_draining(self) -> bool:
        """Whether this instance has been told to stop."""
        return self.drain_started_s is not None

    def draining_for_s(self, at_s: float) -> float | None:
        """Return for how long this instance had been stopping at a time, None if it had not.

        :param at_s: this instance's clock in seconds
        """
        return None if self.drain_started_s is None else at_s - self.drain_started_s

    @property
    def is_ready(self) -> bool:
        """Whether the load balancer should send callers to this instance."""
        if self.is_draining or self.configuration.revision == 0 or self.directory.revision == 0:
            return False
        return self.accepts_keys() and not self.is_far_behind() and not self._is_isolated()

    def is_far_behind(self) -> bool:
        """Return whether a newer configuration than that in force has been known for too long."""
        behind_s = self.source.configuration_behind_s()
        return freshness.is_far_behind(behind_s, self.options.bounds.configuration_s)

    def _is_isolated(self) -> bool:
        """Return whether neither upstreams nor peers that reach them can serve any request."""
        cut_off = self.reach.cut_off_services()
        if not cut_off or not cut_off >= self.configuration.service_by_name.keys():
            return False
        now_s = self.clock.now_s()
        return not any(gossip.peers_reaching(self.membership, now_s, each) for each in cut_off)

    def accepts_keys(self) -> bool:
        """Return whether the configuration is proven recent enough to accept keys."""
        if not self.configuration.has_workspaces:
            return True
        if self.configuration.version < self._version_lost_by_source or self._may_hold_a_copy():
            return False
        now_s, bounds = self.clock.now_s(), self.options.bounds
        return freshness.may_accept_keys(self.freshness, now_s, bounds.withdrawal_s)

    def _may_hold_a_copy(self) -> bool:
        """Return whether the configuration may be an old one, read from a store just restored.

        An instance that has just started does not know when the last restore was. Its peers do, so
        it hears them first.
        """
        now_s = self.clock.now_s()
        was_ever_restored = source_position.era_of(self.configuration.revision) > 0
        if not was_ever_restored or now_s - self._started_s >= PEER_VERSION_WAIT_S:
            return False
        peers = self.membership.peer_by_instance.values()
        return not peers or any(each.report is None for each in peers)

    def proof_age_s(self) -> float:
        """Return the time in seconds since the configuration was last proven newest."""
        return freshness.age_s(self.freshness, self.clock.now_s())

    def max_list_age_s(self, route: entities.Route) -> float:
        """Return the age in seconds of the oldest list by which streams of a route begin."""
        needs_key = self.configuration.has_workspaces and not route.is_open_to_all
        return stream_ranking.max_list_age_s(
            needs_key, route.timeout_s, self.options.store_history_s
        )

    def adopt(self, configuration: entities.Configuration) -> bool:
        """Replace the configuration by a newer one; return whether it was newer."""
        with self._lock:
            if configuration.revision <= self.configuration.revision:
                return False
            if configuration.version < self.configuration.version:
                # A store that was restored from a copy shows an earlier version for a moment.
                eliot.log_message(
                    message_type="configuration_not_adopted",
                    version=configuration.version,
                    era=source_position.era_of(configuration.revision),
                    version_in_force=self.configuration.version,
                )
                return False
            self.configuration = configuration
            self.urgency.adopt(configuration)
            for peer in self.membership.peer_by_instance.values():
                # Their reports may have arrived before this instance knew which era it reads.
                if peer.report is not None:
                    self._note_version_of_earlier_era(peer.report)
        eliot.log_message(
            message_type="configuration_adopted",
            version=configuration.version,
            revision=source_position.revision_of(configuration.revision),
            era=source_position.era_of(configuration.revision),
            routes=sum(len(each) for each in configuration.routes_by_host.values()),
            keys=len(configuration.workspace_by_key),
        )
        self.eligibility.record_configuration(configuration)
        return True

    def confirm_revision(self, revision: int, proven_s: float) -> None:
        """Record that no revision newer than this one existed at a given time."""
        with self._lock:
            self.freshness = freshness.record_proof(self.freshness, revision, proven_s)

    def note_source_revision(self, revision: int) -> None:
        """Record the revision that the source holds, even if its content could not be decoded."""
        with self._lock:
            self.freshness = freshness.record_revision(self.freshness, revision)

    def update_directory(self, message: upstream_directory.Message) -> None:
        """Apply a message about upstreams and act on the changes."""
        with self._lock:
            self.cold_limits.record_listed(message, self.directory.revision == 0)
            self.directory, effects = upstream_directory.step(
                self.directory, self.clock.now_s(), message
            )
            for effect in effects:
                self._apply_directory_effect(effect)
            if self.directory.revision:
                self.streams.record_listed()

    def changes_beside(self, current: stream_ranking.UpstreamList) -> upstream_changes.ChangeLog:
        """Return the changes that this instance has seen, with those that only a list shows."""
        with self._lock:
            before = self.directory.upstream_by_id
            return upstream_changes.compare(
                self.streams.changes,
                self.clock.now_s(),
                before,
                {each.upstream.id: each.upstream for each in current.listed},
            )

    def begin_request(self) -> None:
        """Count a request as active."""
        with self._lock:
            self.active_requests += 1

    def end_request(self) -> None:
        """Stop counting a request as active."""
        with self._lock:
            self.active_requests -= 1

    def random_fraction(self) -> float:
        """Return a random number of at least 0 and below 1."""
        return self._random.random()

    def first_sent_s(self, route: str, timeout_s: float | None, received_s: float) -> float:
        """Return the estimated time of a caller's first attempt.

        A retrying caller sends the remainder of its timeout. Since timeouts differ between callers,
        only one much shorter than the longest one on the route is treated as a remainder.

        :param timeout_s: time in seconds for which the caller still waits, None if unknown
        """
        if timeout_s is None:
            return received_s
        with self._lock:
            longest_s = max(self._longest_timeout_s_by_route.get(route, 0.0), timeout_s)
            self._longest_timeout_s_by_route[route] = longest_s
        return (
            received_s
            if timeout_s > longest_s * MIN_FIRST_ATTEMPT_TIMEOUT_SHARE
            else received_s - longest_s + timeout_s
        )

    def longest_timeout_s(self, route: entities.Route) -> float:
        """Return the longest time for which callers of a route wait, as far as it is known."""
        return max(route.timeout_s, self._longest_timeout_s_by_route.get(route.name, 0.0))

    def admit(
        self, workspace: entities.Workspace, amount: float
    ) -> usage_caps.Admitted | usage_caps.Exceeded:
        """Charge a request to the usage cap of its workspace."""
        with self._lock:
            now_s = self.clock.now_s()
            self.caps, admission = usage_caps.admit(self.caps, now_s, workspace, amount)
            self._usage_changed_s_by_workspace[workspace.name] = now_s
            return admission

    def refund(self, workspace: str, amount: float) -> None:
        """Refund the charge of a request that was not run to the usage cap of its workspace."""
        with self._lock:
            now_s = self.clock.now_s()
            self.caps = usage_caps.refund(self.caps, now_s, workspace, amount)
            self._usage_changed_s_by_workspace[workspace] = now_s

    def record_request(self, service: str) -> None:
        """Count a request for a service, which adds to its retry budget."""
        with self._lock:
            self.retry_budget = fleet_retry_budget.record_request(
                self.retry_budget, self.clock.now_s(), service
            )

    def may_retry(self, request: str, service: str) -> bool:
        """Take one retry from the budget of a service; return whether the budget allowed it."""
        with self._lock:
            now_s = self.clock.now_s()
            self.retry_budget, allowed = fleet_retry_budget.take(self.retry_budget, now_s, service)
            usage = fleet_retry_budget.usage(self.retry_budget, now_s, service)
        if not allowed:
            eliot.log_message(
                message_type="repeat_not_allowed",
                request=request,
                service=service,
                requests=usage.requests,
                repeats=usage.retries,
                own_recent=usage.own_recent,
                peers_heard=self.retry_budget.reachable_instances - 1,
            )
        return allowed

    def record_rejected_prefill(self, service: str) -> None:
        """Count a prefill call that its engine rejected; only an accepted one is not a retry."""
        with self._lock:
            self.retry_budget = fleet_retry_budget.record(
                self.retry_budget, self.clock.now_s(), service
            )

    def may_issue_orders(self) -> bool:
        """Return whether this instance is the leader that issues stage orders to engines."""
        with self._lock:
            now_s = self.clock.now_s()
            is_leader = gossip.is_leader(self.membership, now_s, stage_balance.MEMBERSHIP_STABLE_S)
            return (
                is_leader
                and not self.is_draining
                and self.proof_age_s() < stage_balance.MEMBERSHIP_STABLE_S
            )

    def balance_stages(self) -> list[stage_balance.StageOrder]:
        """Observe the stages of every service and return the stage orders that are due."""
        may_issue_orders = self.may_issue_orders()
        with self._lock:
            return self.selector.balance_stages(
                self.configuration.service_by_name.values(), may_issue_orders
            )

    def compose_report(self) -> tuple[reports.Report, list[str], float]:
        """Return the next report, its recipient hosts, and the seconds until the one after it."""
        with self._lock:
            now_s = self.clock.now_s()
            self.membership, contacts = gossip.next_recipients(self.membership)
            self._sequence += 1
            crash_evidence = self.crash_guard.share()
            report = reports.Report(
                contact=reports.Contact(self.options.instance, self.options.peer_host),
                domain=self.options.domain,
                incarnation=self._incarnation,
                sequence=self._sequence,
                sent_s=now_s,
                is_leaving=self.is_draining,
                revision=self.configuration.revision,
                proof_age_s=min(self.proof_age_s(), MAX_REPORTED_PROOF_AGE_S),
                work_by_upstream=self.selector.load.own_by_id,
                used_by_workspace=usage_caps.own_totals(self.caps),
                echo_by_instance=gossip.clock_echoes(self.membership, contacts),
                contacts=gossip.contacts_to_share(self.membership),
                strikes=crash_evidence.strikes,
                source_steady_s=self.source.steady_s(),
                requests_by_service=self.retry_budget.requests.own_totals_by_name,
                repeats_by_service=self.retry_budget.retries.own_totals_by_name,
                source_revision=self.source.revision,
                set_aside_s_by_upstream=self.selector.paused_s_by_upstream(),
                configuration_version=self.configuration.version,
                crashes=crash_evidence.crashes,
                sound_age_s_by_part=crash_evidence.sound_age_s_by_part,
                sound_age_s_by_request=crash_evidence.sound_age_s_by_request,
                ranks_by_age=True,
                ranks_by_list=True,
                list_age_s=self.source.reported_list_age_s(),
                bounds_attempts=True,
                reads_compressed=True,
                limits=self.upstream_limiter.share(),
                capacities=self.capacity.share(),
                turned_away_s_by_upstream=self.selector.turned_away.share(),
                leaving_born_ms_by_upstream=upstream_directory.lately_leaving(
                    self.directory, now_s
                ),
                failures=self.selector.failures_to_report(),
                cut_off_services=tuple(self.reach.cut_off_services()),
                demands=self.urgency.demands_to_report(),
                link_mbps=self.options.link_mbps,
            )
            hosts = [each.host for each in contacts]
            seeds = (each.host for each in self.options.seeds)
            if len(hosts) < gossip.FAN_OUT_PEERS:
                hosts.extend(host for host in seeds if host not in hosts)
        recipients = [host for host in hosts if host != self.options.peer_host]
        self.metrics.peer_datagrams.add(len(recipients), {"direction": "sent"})
        return report, recipients, gossip.ROUND_INTERVAL_S

    def compose_work_report(self, for_domain: bool = False) -> tuple[reports.WorkReport, list[str]]:
        """Return a report of the current work, and the hosts to send it to.

        :param for_domain: whether it goes to the peers of this failure domain only
        """
        with self._lock:
            now_s = self.clock.now_s()
            contacts: tuple[reports.Contact, ...]
            if for_domain:
                contacts = tuple(each.contact for each in self.source.domain_peers())
            else:
                self.membership, contacts = gossip.next_work_recipients(self.membership, now_s)
            self._sequence += 1
            report = reports.WorkReport(
                self.options.instance,
                self._incarnation,
                self._sequence,
                self.selector.load.own_by_id,
                self._recent_usage(now_s),
                self.retry_budget.requests.own_totals_by_name,
                self.retry_budget.retries.own_totals_by_name,
                self.source.revision,
                self.upstream_limiter.share(recent_only=True),
                self.selector.failures_to_report(),
            )
        self.metrics.peer_datagrams.add(len(contacts), {"direction": "sent"})
        return report, [each.host for each in contacts]

    def handle_report(self, report: codec.AnyReport) -> None:
        """Apply the report of a peer."""
        self.metrics.peer_datagrams.add(1, {"direction": "heard"})
        if isinstance(report, reports.OriginReport):
            for each in report.origins:
                self.streams.record_of_peer(each)
            return
        with self._lock:
            now_s = self.clock.now_s()
            match report:
                case reports.WorkReport():
                    self.membership, effects = gossip.apply_work_report(
                        self.membership, now_s, report
                    )
                case reports.Report():
                    self.membership, effects = gossip.apply_report(self.membership, now_s, report)
            for effect in effects:
                self._apply_gossip_effect(effect, now_s)
            if isinstance(report, reports.Report):
                self._note_version_of_earlier_era(report)
                self.source.note_peer_configuration(report.revision)
        self.source.note_peer_revision(report.source_revision)

    def _note_version_of_earlier_era(self, report: reports.Report) -> None:
        """Accept no keys while a peer holds a newer version that the source has lost.

        The configuration here was then read from a copy, and keys in it may have been withdrawn.
        """
        own_era = source_position.era_of(self.configuration.revision)
        if (
            source_position.era_of(report.revision) < own_era
            and max(self.configuration.version, self._version_lost_by_source)
            < report.configuration_version
        ):
            self._version_lost_by_source = report.configuration_version
            eliot.log_message(
                message_type="configuration_behind_peer",
                version=self.configuration.version,
                era=own_era,
                peer=report.contact.instance,
                peer_version=report.configuration_version,
            )

    def expire(self) -> None:
        """Apply the changes that result from the passing of time."""
        self.update_directory(upstream_directory.Tick())
        self.evacuation.expire()
        with self._lock:
            now_s = self.clock.now_s()
            self.membership, effects = gossip.expire(self.membership, now_s)
            for effect in effects:
                self._apply_gossip_effect(effect, now_s)
            reachable, known = gossip.count_live_and_known(self.membership, now_s)
            self.caps = usage_caps.with_reachable_instances(self.caps, reachable, known)
            reachable = gossip.count_reachable(self.membership, now_s)
            self.retry_budget = fleet_retry_budget.with_reachable_instances(
                self.retry_budget, reachable, known, now_s
            )
            self.upstream_limiter.set_fleet(self._limit_sharing_fleet(now_s, reachable, known))
            self.compresses_reports = gossip.all_read_compressed(self.membership)
        self.cold_limits.expire()
        self.connection_pool.close_expired()

    def _limit_sharing_fleet(
        self, now_s: float, reachable: int, known: int
    ) -> upstream_limits.Fleet:
        """Return the instances that share the limits of upstreams.

        :param reachable: instances whose reports arrive, including this one
        :param known: all known instances, including this one
        """
        if known == 1 and self._has_seeds_beside_itself():
            # It was cut off before any report arrived, or is the last one left.
            known = fleet_retry_budget.MIN_ASSUMED_INSTANCES
        return upstream_limits.Fleet(
            gossip.sharing_instances(self.membership, now_s, self.is_draining),
            min(1.0, reachable / known),
            fleet_retry_budget.is_settled(self.retry_budget, now_s),
            gossip.staying_instances(self.membership, self.is_draining),
        )

    def is_without_peers(self) -> bool:
        """Return whether this instance knows of no peer, though there should be some."""
        return self._has_seeds_beside_itself() and not self.membership.peer_by_instance

    def is_without_heard_peers(self) -> bool:
        """Return whether this instance has heard no peer, though there should be some."""
        peers = self.membership.peer_by_instance.values()
        if not peers:
            return self._has_seeds_beside_itself()
        return all(each.report is None for each in peers)

    def _has_seeds_beside_itself(self) -> bool:
        return any(each.host != self.options.peer_host for each in self.options.seeds)

    def _apply_gossip_effect(self, effect: report_effects.Effect, now_s: float) -> None:
        match effect:
            case report_effects.FreshnessProof(revision, proven_s):
                if revision == self.configuration.revision:
                    self.freshness = freshness.record_proof(self.freshness, revision, proven_s)
            case report_effects.ListProof(position, proven_s):
                self.source.record_list_of_peer(position, proven_s)
            case report_effects.PeerUsage(peer, used_by_workspace, requests, retries):
                self.caps = usage_caps.merge_peer_totals(self.caps, now_s, peer, used_by_workspace)
                self.retry_budget = fleet_retry_budget.merge_peer_totals(
                    self.retry_budget, now_s, peer, requests, retries
                )
            case report_effects.UpstreamPaused(upstream, for_s):
                if upstream in self.directory.upstream_by_id:
                    self.selector.pause(upstream, for_s)
            case report_effects.UpstreamLeaving(upstream, born_ms):
                self.update_directory(upstream_directory.SaidLeaving(upstream, born_ms))
            case report_effects.PeerTurnedAway(upstream, for_s):
                if upstream in self.directory.upstream_by_id:
                    self.selector.turned_away.record_of_peer(upstream, for_s)
            case reports.SharedStrike():
                self.crash_guard.apply_strike(effect)
            case reports.SharedCrash():
                self.crash_guard.apply_crash(effect)
            case reports.SoundPart(part, age_s):
                self.crash_guard.apply_sound_part(part, age_s)
            case reports.SoundRequest(fingerprint, age_s):
                self.crash_guard.apply_sound_request(fingerprint, age_s)
            case reports.SharedLimit():
                limited = self.directory.upstream_by_id.get(effect.upstream)
                if limited is not None and limited.born_ms == effect.born_ms:
                    self.upstream_limiter.record_shared(limited, effect)
            case report_effects.PeerCapacity(peer, shared):
                observed = self.directory.upstream_by_id.get(shared.upstream)
                if observed is not None and observed.born_ms == shared.born_ms:
                    self.capacity.record_shared(observed, peer, shared)
            case report_effects.PeerJoined(contact, incarnation):
                self._forget_earlier_incarnations(contact.instance, incarnation)
                self.streams.tell_started_peer(contact)
                eliot.log_message(
                    message_type="peer_joined", peer=contact.instance, incarnation=incarnation
                )
            case report_effects.PeerLost(contact, is_leaving):
                eliot.log_message(message_type="peer_lost", peer=contact.instance, left=is_leaving)

    def _recent_usage(self, now_s: float) -> dict[str, float]:
        """Return the usage totals that have changed lately, by workspace."""
        recent = {
            each: changed_s
            for each, changed_s in self._usage_changed_s_by_workspace.items()
            if now_s - changed_s < RECENT_USAGE_S
        }
        self._usage_changed_s_by_workspace = recent
        totals = usage_caps.own_totals(self.caps)
        return {each: totals[each] for each in recent if each in totals}

    def _forget_earlier_incarnations(self, peer: str, incarnation: int) -> None:
        """Remove the usage totals of a peer's earlier incarnations."""
        for key in tuple(self.caps.counts.totals_by_peer):
            if key.startswith(f"{peer}/") and key != f"{peer}/{incarnation}":
                self.caps = usage_caps.remove_peer(self.caps, key)
                self.retry_budget = fleet_retry_budget.remove_peer(self.retry_budget, key)

    def _apply_directory_effect(self, effect: upstream_directory.Effect) -> None:
        upstream = effect.upstream
        self.streams.record_change(upstream)
        match effect:
            case upstream_directory.Gone():
                self.connection_pool.close_idle(upstream)
                self.selector.forget_health(upstream.id)
                self.upstream_limiter.remove(upstream)
                self.capacity.remove(upstream)
                change = "upstream_gone"
            case upstream_directory.Leaving():
                self.connection_pool.close_idle(upstream)
                change = "upstream_leaving"
            case upstream_directory.Joined():
                self.reach.record_joined(upstream)
                change = "upstream_joined"
            case upstream_directory.StageChanged():
                self.selector.resume(upstream.id)
                self.selector.forget_health(upstream.id)
                change = "upstream_stage_changed"
        eliot.log_message(
            message_type=change,
            upstream=upstream.id,
            service=upstream.service,
            address=upstream.address,
            domain=upstream.domain,
            stage=upstream.stage.value,
            version=upstream.version,
            revision=self.directory.revision,
        )
