"""The state of one instance, shared by the filters; every change is a pure decision."""

from __future__ import annotations

import random
import secrets
import threading
from collections.abc import Mapping
from typing import Final

import eliot

from carawaydoor.fleet import membership
from carawaydoor.operating import clock as clocks
from carawaydoor.operating import options as optioning
from carawaydoor.operating import telemetry as telemetries
from carawaydoor.policy import (
    caps,
    directory,
    freshness,
    health,
    load,
    model,
    placement,
    retries,
    stages,
    strikes,
)
from carawaydoor.serving import connections

# Part of the retry budget that instances use, so that restarted ones don't exceed it.
RETRY_SHARE: Final = 0.6
# Instances that share the budget at least, before peers have been heard.
MIN_INSTANCES: Final = 8
# Age in seconds up to which a strike is reported to peers: some rounds of reports.
SHARED_STRIKE_S: Final = 2.0
# Strikes in one report.
MAX_SHARED_STRIKES: Final = 16
# Part of the longest patience of a route's callers that first attempts have at least: callers
# differ by some 15% either way.
FIRST_PATIENCE: Final = 0.7
# Time in seconds after which an engine whose entry shows no new stage is used as before: a change
# takes about six seconds, and running work ends first.
SET_ASIDE_S: Final = 15.0
# Age in seconds up to which the sum of the peers' work is used again: less than a round of reports.
LOAD_SUM_S: Final = 0.03
# Age in seconds that stands for a configuration that was never proven newest.
MAX_AGE_S: Final = 1e6


class Instance:
    """Holds what an instance believes and applies the decisions to it, one at a time."""

    def __init__(
        self,
        options: optioning.Options,
        clock: clocks.Clock,
        telemetry: telemetries.Telemetry,
    ) -> None:
        self.options = options
        self.clock = clock
        self.telemetry = telemetry
        self.pool = connections.Pool(clock)
        self.configuration = model.EMPTY
        self.freshness = freshness.Freshness()
        self.directory = directory.EMPTY
        self.load = load.EMPTY
        self.health: health.Health = {}
        bounds = options.bounds
        self.caps = caps.Caps(caps.Rules(bounds.cap_window_s, bounds.cap_overshoot), clock.now_s())
        self.strikes = strikes.EMPTY
        self.budget_by_service: Mapping[str, retries.RetryBudget] = {}
        self._source_since_s: float | None = None
        self._load_summed_s = float("-inf")
        self.balance_state = stages.Balance()
        self._set_aside_until_s_by_id: dict[str, float] = {}
        self.membership = membership.Membership(options.instance, {})
        self._incarnation = secrets.randbits(62)
        self._sequence = 0
        self.drain_began_s: float | None = None
        self._full_patience_s_by_route: dict[str, float] = {}
        self.requests_at_work = 0
        self._random = random.Random()
        self._lock = threading.RLock()
        self._room = threading.Condition(self._lock)

    @property
    def is_draining(self) -> bool:
        """Whether this instance was told to stop."""
        return self.drain_began_s is not None

    @property
    def is_ready(self) -> bool:
        """Whether the balancer should send callers here."""
        if self.is_draining or self.configuration.revision == 0 or self.directory.revision == 0:
            return False
        return self.trusts_keys()

    def trusts_keys(self) -> bool:
        """Return whether the configuration is proven fresh enough to accept keys."""
        if not self.configuration.has_workspaces:
            return True
        now_s, bounds = self.clock.now_s(), self.options.bounds
        return freshness.allows_keys(self.freshness, now_s, bounds.withdrawal_s)

    def proof_age_s(self) -> float:
        """Return how long ago the configuration was proven newest, in seconds."""
        return freshness.age_s(self.freshness, self.clock.now_s())

    def adopt(self, configuration: model.Configuration) -> bool:
        """Put a configuration in force unless a newer one is; return whether it was."""
        with self._lock:
            if configuration.revision <= self.configuration.revision:
                return False
            self.configuration = configuration
        eliot.log_message(
            message_type="configuration_adopted",
            version=configuration.version,
            revision=configuration.revision,
            routes=sum(len(each) for each in configuration.routes_by_host.values()),
            keys=len(configuration.workspace_by_key),
        )
        return True

    def prove(self, revision: int, proven_s: float) -> None:
        """Take a proof that nothing newer than a revision existed at a time."""
        with self._lock:
            self.freshness = freshness.prove(self.freshness, revision, proven_s)

    def supersede(self, revision: int) -> None:
        """Take note that the source holds a configuration, whether it could be decoded or not."""
        with self._lock:
            self.freshness = freshness.supersede(self.freshness, revision)

    def update_directory(self, message: directory.Message) -> None:
        """Apply news about upstreams and act on what has changed."""
        with self._lock:
            self.directory, effects = directory.step(self.directory, self.clock.now_s(), message)
            for effect in effects:
                self._follow(effect)

    def enter(self) -> None:
        """Count a request that begins."""
        with self._lock:
            self.requests_at_work += 1

    def leave(self) -> None:
        """Count a request that has ended."""
        with self._lock:
            self.requests_at_work -= 1

    def lose_source(self) -> None:
        """Note that the source does not answer."""
        self._source_since_s = None
        self.update_directory(directory.StoreLost())

    def regain_source(self, away_s: float) -> None:
        """Note that the source answers, after it did not for some seconds.

        A source that served peers all the while was up: what is missing from it now has left.
        """
        with self._lock:
            now_s = self.clock.now_s()
            self._source_since_s = now_s
            steady_s = membership.longest_steady_source_s(self.membership, now_s)
        self.update_directory(directory.StoreReturned(served_others=steady_s > away_s))

    def draw(self) -> float:
        """Return a random number from 0 to 1."""
        return self._random.random()

    def begin_plain(self, service: str, excluded: frozenset[str]) -> model.Upstream | None:
        """Choose an upstream of a plain service and count the request there."""
        with self._lock:
            upstream = placement.choose_plain(self._view(), service, excluded)
            if upstream is not None:
                self.load = load.step(self.load, load.Begun(upstream.id, load.Work(1)))
            return upstream

    def begin_generation(
        self,
        service: model.Service,
        prompt: model.Prompt,
        excluded: frozenset[str],
        reserve_share: float,
    ) -> placement.Generation | None:
        """Choose the engines of a generation and count the request at both."""
        with self._lock:
            chosen = placement.choose_generation(
                self._view(), service, prompt, excluded, reserve_share
            )
            if chosen is None:
                return None
            self._begin(chosen.decode.id, load.Work(1, prompt.memory_tokens))
            if chosen.prefill is not None:
                self._begin(chosen.prefill.id, load.Work(1, prompt.tokens))
            return chosen

    def begin_decode(
        self, service: model.Service, prompt: model.Prompt, excluded: frozenset[str]
    ) -> model.Upstream | None:
        """Choose another decode engine for a prompt that was read, and count the request there."""
        with self._lock:
            decode = placement.choose_decode(self._view(), service, prompt, excluded)
            if decode is not None:
                self._begin(decode.id, load.Work(1, prompt.memory_tokens))
            return decode

    def begin_backup(
        self, service: model.Service, prompt: model.Prompt, decode: model.Upstream
    ) -> model.Upstream | None:
        """Choose an engine for a copy of a run's memory, and count that memory there."""
        with self._lock:
            backup = placement.choose_backup(self._view(), service, prompt, decode)
            if backup is not None:
                self._begin(backup.id, load.Work(0, prompt.memory_tokens))
            return backup

    def end(self, upstream: str, work: load.Work) -> None:
        """Take a request that has ended off the load of an upstream."""
        with self._lock:
            self.load = load.step(self.load, load.Ended(upstream, work))
            self._room.notify_all()

    def first_sent_s(self, route: str, patience_s: float | None, received_s: float) -> float:
        """Return when a caller sent its first attempt, judged by what is left of its patience.

        Callers differ in patience, so only one that has much less than others has tried before.

        :param patience_s: time in seconds that the caller still waits, None where it does not say
        """
        if patience_s is None:
            return received_s
        with self._lock:
            full_s = max(self._full_patience_s_by_route.get(route, 0.0), patience_s)
            self._full_patience_s_by_route[route] = full_s
        return (
            received_s if patience_s > full_s * FIRST_PATIENCE else received_s - full_s + patience_s
        )

    def wait_for_room(self, timeout_s: float) -> None:
        """Wait until a request ends anywhere.

        :param timeout_s: longest wait in seconds
        """
        with self._lock:
            self._room.wait(timeout_s)

    def record(self, upstream: model.Upstream, outcome: health.Outcome) -> None:
        """Judge an upstream by how a call ended."""
        with self._lock:
            now_s = self.clock.now_s()
            was_suspect = health.is_suspect(self.health, now_s, upstream.id)
            self.health = health.record(self.health, now_s, upstream.id, outcome)
            is_suspect = health.is_suspect(self.health, now_s, upstream.id)
        self.telemetry.calls.add(1, {"service": upstream.service, "outcome": outcome.value})
        if is_suspect != was_suspect:
            eliot.log_message(
                message_type="upstream_suspected" if is_suspect else "upstream_trusted",
                upstream=upstream.id,
                outcome=outcome.value,
            )

    def admit(self, workspace: model.Workspace, amount: float) -> caps.Admitted | caps.Exceeded:
        """Charge a request to its workspace's cap."""
        with self._lock:
            self.caps, verdict = caps.admit(self.caps, self.clock.now_s(), workspace, amount)
            return verdict

    def give_back(self, workspace: str, amount: float) -> None:
        """Return to a workspace's cap what a request took that ran nowhere."""
        with self._lock:
            self.caps = caps.give_back(self.caps, self.clock.now_s(), workspace, amount)

    def record_attempt(self, service: str) -> None:
        """Count a first send to a service, which earns a part of a retry."""
        with self._lock:
            budget = retries.record_attempt(self._budget(service))
            self.budget_by_service = {**self.budget_by_service, service: budget}

    def may_retry(self, service: str) -> bool:
        """Take one repeated send from this instance's part of the budget of a service."""
        with self._lock:
            budget, allowed = retries.take(self._budget(service))
            self.budget_by_service = {**self.budget_by_service, service: budget}
            return allowed

    def strike(self, fingerprint: str, upstream: model.Upstream) -> None:
        """Note that an upstream crashed while it ran a request."""
        now_s = self.clock.now_s()
        with self._lock:
            self.strikes = strikes.add(self.strikes, now_s, fingerprint, upstream.id)
        eliot.log_message(
            message_type="request_struck", fingerprint=fingerprint, upstream=upstream.id
        )

    def suspended_for_s(self, fingerprint: str) -> float:
        """Return for how many seconds a request is suspended, zero where it is not."""
        return strikes.suspended_for_s(self.strikes, self.clock.now_s(), fingerprint)

    def may_order(self) -> bool:
        """Return whether this instance is the one that gives engines orders."""
        with self._lock:
            now_s = self.clock.now_s()
            first = membership.first_when_steady(self.membership, now_s, stages.STEADY_S)
            return first and not self.is_draining and self.proof_age_s() < stages.STEADY_S

    def balance(self) -> list[stages.Order]:
        """Observe the stages of every service and return the orders that are due."""
        orders: list[stages.Order] = []
        may_order = self.may_order()
        with self._lock:
            view = self._view()
            for service in self.configuration.service_by_name.values():
                self.balance_state = stages.observe(
                    self.balance_state, view.now_s, service, view.upstreams, view.load
                )
                if not may_order:
                    continue
                self.balance_state, due = stages.decide(
                    self.balance_state, view.now_s, service, view.upstreams, view.load
                )
                orders.extend(due)
        return orders

    def pause_orders(self, service: str) -> None:
        """Give no orders for a service for a while: another instance gives them."""
        with self._lock:
            self.balance_state = stages.refused(self.balance_state, self.clock.now_s(), service)

    def set_aside(self, upstream: model.Upstream) -> None:
        """Send an engine that changes its stage nothing until its entry shows the new one."""
        with self._lock:
            self._set_aside_until_s_by_id[upstream.id] = self.clock.now_s() + SET_ASIDE_S

    def compose_report(self) -> tuple[membership.Report, list[str], float]:
        """Return the next report, its hosts, and the time in seconds to the one after it."""
        with self._lock:
            now_s = self.clock.now_s()
            self.membership, contacts = membership.recipients(self.membership)
            self._sequence += 1
            report = membership.Report(
                contact=membership.Contact(self.options.instance, self.options.peer_host),
                domain=self.options.domain,
                incarnation=self._incarnation,
                sequence=self._sequence,
                sent_s=now_s,
                is_leaving=self.is_draining,
                revision=self.configuration.revision,
                proof_age_s=min(self.proof_age_s(), MAX_AGE_S),
                work_by_upstream=self.load.own_by_id,
                used_by_workspace=caps.own_used(self.caps),
                echo_by_instance=membership.echoes(self.membership, contacts),
                contacts=membership.some_contacts(self.membership),
                strikes=self._recent_strikes(now_s),
                source_steady_s=(
                    0.0 if self._source_since_s is None else now_s - self._source_since_s
                ),
                set_aside_s_by_upstream={
                    key: until_s - now_s
                    for key, until_s in self._set_aside_until_s_by_id.items()
                    if until_s > now_s
                },
            )
            hosts = [each.host for each in contacts]
            seeds = (each.host for each in self.options.seeds)
            if len(hosts) < membership.FAN_OUT:
                hosts.extend(host for host in seeds if host not in hosts)
            interval_s = membership.round_interval_s(self.membership)
        others = [host for host in hosts if host != self.options.peer_host]
        self.telemetry.datagrams.add(len(others), {"direction": "sent"})
        return report, others, interval_s

    def hear(self, report: membership.Report) -> None:
        """Take the report of a peer."""
        self.telemetry.datagrams.add(1, {"direction": "heard"})
        with self._lock:
            now_s = self.clock.now_s()
            self.membership, effects = membership.hear(self.membership, now_s, report)
            for effect in effects:
                self._apply(effect, now_s)

    def expire(self) -> None:
        """Apply what follows from time alone."""
        self.update_directory(directory.Tick())
        with self._lock:
            now_s = self.clock.now_s()
            self.membership, effects = membership.expire(self.membership, now_s)
            for effect in effects:
                self._apply(effect, now_s)
            heard, known = membership.heard_and_known(self.membership, now_s)
            self.caps = caps.with_share(self.caps, heard, known)
        self.pool.close_expired()

    def _apply(self, effect: membership.Effect, now_s: float) -> None:
        match effect:
            case membership.Proof(revision, proven_s):
                if revision == self.configuration.revision:
                    self.freshness = freshness.prove(self.freshness, revision, proven_s)
            case membership.Usage(peer, used_by_workspace):
                self.caps = caps.hear(self.caps, now_s, peer, used_by_workspace)
            case membership.SetAside(key, for_s):
                known_s = self._set_aside_until_s_by_id.get(key, 0.0)
                if key in self.directory.upstream_by_id:
                    self._set_aside_until_s_by_id[key] = max(known_s, now_s + for_s)
            case membership.SharedStrike(fingerprint, strike):
                self.strikes = strikes.add(
                    self.strikes, now_s - strike.at_s, fingerprint, strike.id
                )
            case membership.PeerJoined(contact, incarnation):
                self._forget_usage(contact.instance, incarnation)
                eliot.log_message(
                    message_type="peer_joined", peer=contact.instance, incarnation=incarnation
                )
            case membership.PeerLost(contact, is_leaving):
                eliot.log_message(message_type="peer_lost", peer=contact.instance, left=is_leaving)

    def _forget_usage(self, peer: str, incarnation: int) -> None:
        """Forget the totals of a peer's earlier incarnations."""
        for key in tuple(self.caps.used_by_peer):
            if key.startswith(f"{peer}/") and key != f"{peer}/{incarnation}":
                self.caps = caps.forget(self.caps, key)

    def _recent_strikes(self, now_s: float) -> tuple[membership.SharedStrike, ...]:
        return tuple(
            membership.SharedStrike(fingerprint, strikes.Strike(strike.id, now_s - strike.at_s))
            for fingerprint, known in self.strikes.strikes_by_fingerprint.items()
            for strike in known
            if now_s - strike.at_s < SHARED_STRIKE_S
        )[-MAX_SHARED_STRIKES:]

    def _view(self) -> placement.View:
        now_s = self.clock.now_s()
        if now_s - self._load_summed_s >= LOAD_SUM_S:
            # Summed where it is used: reports come far more often than placements.
            self._load_summed_s = now_s
            peers_by_id = membership.peer_work(self.membership, now_s)
            self.load = load.step(self.load, load.Reported(peers_by_id))
        return placement.View(
            now_s,
            self.options.domain,
            self._usable_upstreams(),
            self.load,
            self.health,
            membership.staleness_s(self.membership),
            self._random.getrandbits(32),
        )

    def _usable_upstreams(self) -> tuple[model.Upstream, ...]:
        upstreams = self.directory.upstream_by_id.values()
        if not self._set_aside_until_s_by_id:
            return tuple(upstreams)
        now_s = self.clock.now_s()
        aside = {
            key: until_s
            for key, until_s in self._set_aside_until_s_by_id.items()
            if until_s > now_s
        }
        self._set_aside_until_s_by_id = aside
        return tuple(each for each in upstreams if each.id not in aside)

    def _begin(self, upstream: str, work: load.Work) -> None:
        self.load = load.step(self.load, load.Begun(upstream, work))

    def _budget(self, service: str) -> retries.RetryBudget:
        budget = self.budget_by_service.get(service)
        if budget is not None:
            return budget
        bounds = self.options.bounds
        return retries.create(
            bounds.retry_ratio * RETRY_SHARE,
            bounds.retry_slack
            * RETRY_SHARE
            / max(MIN_INSTANCES, len(self.membership.peer_by_instance) + 1),
        )

    def _follow(self, effect: directory.Effect) -> None:
        upstream = effect.upstream
        match effect:
            case directory.Gone():
                self.pool.drop(upstream)
                self.health = health.forget(self.health, upstream.id)
                change = "upstream_gone"
            case directory.Leaving():
                self.pool.drop(upstream)
                change = "upstream_leaving"
            case directory.Joined():
                change = "upstream_joined"
            case directory.StageChanged():
                self._set_aside_until_s_by_id.pop(upstream.id, None)
                self.health = health.forget(self.health, upstream.id)
                change = "upstream_stage_changed"
        eliot.log_message(
            message_type=change,
            upstream=upstream.id,
            service=upstream.service,
            address=upstream.address,
            domain=upstream.domain,
            stage=upstream.stage.value,
            revision=self.directory.revision,
        )
