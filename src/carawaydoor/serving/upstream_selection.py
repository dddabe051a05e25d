"""Selects upstreams for requests by their load and health, and tracks both."""

from __future__ import annotations

import dataclasses
import random
import threading
from collections.abc import Callable, Collection, Iterable, Mapping
from typing import Final

import eliot

from carawaydoor.fleet import gossip
from carawaydoor.operating import clocks, platform_metrics
from carawaydoor.policy import (
    allowed_regions,
    entities,
    health,
    load,
    peer_evidence,
    placement,
    stage_balance,
    stream_ranking,
    stream_versions,
)
from carawaydoor.serving import (
    capacity_observer,
    peer_failures,
    reachability,
    turned_away,
    upstream_limiter,
)

# An engine that was ordered to change its stage is used again after this time, even if its entry
# still shows the old stage. The change takes about six seconds once running work has ended.
STAGE_CHANGE_PAUSE_S: Final = 15.0
# The sum of the peers' load is reused up to this age, which is less than the interval between the
# reports of a peer.
MAX_PEER_LOAD_AGE_S: Final = 0.03


class UpstreamSelector:
    """Holds the load and health of upstreams and applies placement decisions to them.

    :ivar load: active work at each upstream, sent by this instance and by its peers
    :ivar health: recent outcomes of calls to each upstream
    :ivar turned_away: upstreams that have asked for no requests for a while
    :ivar on_generations_changed: called after a generation was placed or has ended
    :ivar on_failure: called when an upstream has become suspect
    """

    def __init__(
        self,
        domain: str,
        clock: clocks.Clock,
        metrics: platform_metrics.Metrics,
        lock: threading.RLock,
        upstreams: Callable[[], Collection[entities.Upstream]],
        membership: Callable[[], gossip.Membership],
        requests_per_s: Callable[[str], float],
        limiter: upstream_limiter.UpstreamLimiter,
        reach: reachability.Reachability,
        region_by_domain: Callable[[], Mapping[str, str]],
        capacity: capacity_observer.CapacityObserver,
        noticed_leaving_ids: Callable[[], Collection[str]],
    ) -> None:
        self.load = load.EMPTY
        self.health: health.Health = {}
        self.on_generations_changed: Callable[[], None] = _do_nothing
        self.on_failure: Callable[[], None] = _do_nothing
        self.turned_away: Final = turned_away.TurnedAway(clock)
        self._domain = domain
        self._clock = clock
        self._metrics = metrics
        self._lock = lock
        self._request_ended = threading.Condition(lock)
        self._upstreams = upstreams
        self._membership = membership
        self._requests_per_s = requests_per_s
        self._limiter = limiter
        self._reach = reach
        self._region_by_domain = region_by_domain
        self._capacity = capacity
        self._noticed_leaving_ids = noticed_leaving_ids
        self._peer_load_summed_s = float("-inf")
        self._peer_failures = peer_failures.PeerFailures(domain)
        self._balance = stage_balance.Balance()
        self._paused_until_s_by_id: dict[str, float] = {}
        self._random = random.Random()

    def reserve_plain(
        self,
        service: str,
        excluded: frozenset[str],
        permits: upstream_limiter.RequestPermits,
        version: str | None = None,
        regions: allowed_regions.Regions = None,
    ) -> entities.Upstream | None:
        """Choose an upstream of a plain service and add the request to its load.

        :param version: software version at which a stream has to go on, None for any
        :param permits: holds the permit of the upstream afterwards, if it names a limit
        """
        with self._lock:
            while True:
                upstream = placement.choose_plain(
                    self._placement_context(service, may_try=True, regions=regions),
                    service,
                    excluded,
                    version,
                )
                if upstream is None:
                    return None
                # Another request may have taken the last permit meanwhile.
                if permits.hold(upstream):
                    self._add_load(upstream.id, load.Work(1))
                    return upstream

    def reserve_generation(
        self,
        service: entities.Service,
        prompt: entities.Prompt,
        excluded: frozenset[str],
        reserve_share: float,
        permits: upstream_limiter.RequestPermits,
        version: str | None = None,
        regions: allowed_regions.Regions = None,
    ) -> placement.GenerationPlacement | None:
        """Choose the engines of a generation and add the request to their load.

        :param version: software version at which a stream has to go on, None for any
        :param permits: holds the permits of the engines afterwards, if they name limits
        """
        with self._lock:
            while True:
                chosen = placement.choose_generation(
                    self._placement_context(service.name, may_try=True, regions=regions),
                    service,
                    prompt,
                    excluded,
                    reserve_share,
                    version,
                )
                if chosen is None:
                    return None
                if permits.hold(chosen.decode):
                    if chosen.prefill is None or permits.hold(chosen.prefill):
                        break
                    permits.give_back(chosen.decode)
            self._add_load(chosen.decode.id, load.Work(1, prompt.mean_kv_tokens))
            if chosen.prefill is not None:
                self._add_load(chosen.prefill.id, load.Work(1, prompt.tokens))
        self.on_generations_changed()
        return chosen

    def reserve_decode(
        self,
        service: entities.Service,
        prompt: entities.Prompt,
        excluded: frozenset[str],
        permits: upstream_limiter.RequestPermits,
        version: str | None = None,
        regions: allowed_regions.Regions = None,
    ) -> entities.Upstream | None:
        """Choose a decode engine for a prefilled prompt and add the request to its load.

        :param version: software version at which a stream has to go on, None for any
        :param permits: holds the permit of the engine afterwards, if it names a limit
        """
        with self._lock:
            while True:
                decode = placement.choose_decode(
                    self._placement_context(service.name, regions=regions),
                    service,
                    prompt,
                    excluded,
                    version=version,
                )
                if decode is None:
                    return None
                if permits.hold(decode):
                    self._add_load(decode.id, load.Work(1, prompt.mean_kv_tokens))
                    return decode

    def reserve_backup(
        self,
        service: entities.Service,
        prompt: entities.Prompt,
        decode: entities.Upstream,
        regions: allowed_regions.Regions = None,
    ) -> entities.Upstream | None:
        """Choose an engine for a copy of the KV cache and add the copy to its load.

        An engine that names a limit may not take the generation when it is needed.
        """
        with self._lock:
            context = self._placement_context(regions=regions)
            unlimited = tuple(
                each for each in context.upstreams if self._limiter.limit_per_s(each) is None
            )
            context = dataclasses.replace(context, upstreams=unlimited)
            backup = placement.choose_backup(context, service, prompt, decode)
            if backup is not None:
                self._add_load(backup.id, load.Work(0, prompt.mean_kv_tokens))
            return backup

    def release(self, upstream: str, work: load.Work) -> None:
        """Remove the work of a request that has ended from the load of an upstream."""
        with self._lock:
            self.load = load.step(self.load, load.Ended(upstream, work))
            self._request_ended.notify_all()

    def describe_load(self) -> dict[str, tuple[int, int]]:
        """Return the requests and tokens at each upstream that has work, for logs."""
        current = self.load
        works = {key: current.at(key) for key in {*current.own_by_id, *current.peers_by_id}}
        return {key: (work.requests, work.tokens) for key, work in works.items()}

    def wait_for_release(self, timeout_s: float) -> None:
        """Wait until work is released at any upstream.

        :param timeout_s: longest wait in seconds
        """
        with self._lock:
            self._request_ended.wait(timeout_s)

    def wake_waiting(self) -> None:
        """Wake those that wait until work is released, since it may be the turn of another one."""
        with self._lock:
            self._request_ended.notify_all()

    def turned_away_retry_s(
        self, service: str, stage: entities.Stage, regions: allowed_regions.Regions = None
    ) -> float | None:
        """Return when to retry if all upstreams of a service and stage want no requests.

        :return: delay in seconds, None if one of them takes requests or there is none
        """
        return self.turned_away.retry_after_s(self._staying_upstreams(service, stage, regions))

    def limited_retry_s(
        self, service: str, stage: entities.Stage, regions: allowed_regions.Regions = None
    ) -> float | None:
        """Return when to retry if the limits of upstreams leave none for a request now.

        :return: delay in seconds, None if an upstream takes requests or none names a limit
        """
        willing = self.turned_away.willing(self._staying_upstreams(service, stage, regions))
        if not willing or any(self._limiter.next_permit_s(each) <= 0.0 for each in willing):
            return None
        return self._limiter.retry_after_s(f"{service}/{stage.value}", willing)

    def next_permit_s(
        self, service: str, stage: entities.Stage, regions: allowed_regions.Regions = None
    ) -> float:
        """Return the seconds until this instance may send to an upstream of a service and stage."""
        willing = self.turned_away.willing(self._staying_upstreams(service, stage, regions))
        return min((self._limiter.next_permit_s(each) for each in willing), default=0.0)

    def _staying_upstreams(
        self, service: str, stage: entities.Stage, regions: allowed_regions.Regions
    ) -> tuple[entities.Upstream, ...]:
        return tuple(
            each
            for each in self._allowed_upstreams(regions)
            if each.service == service and each.stage is stage and not each.is_leaving
        )

    def begin_version(
        self, service: entities.Service, key: str, regions: allowed_regions.Regions = None
    ) -> str | None:
        """Return the software version at which a new stream has to begin, None for any.

        Upstreams are ranked as the source lists them, whatever this instance has learned of them besides.

        :param key: name of the stream
        """
        stage, noticed = entities.stage_of_streams(service), self._noticed_leaving_ids()
        return stream_ranking.begin_version(
            key,
            [
                dataclasses.replace(each, is_leaving=False) if each.id in noticed else each
                for each in self._allowed_upstreams(regions)
                if each.service == service.name and each.stage is stage
            ],
            self._clock.wall_s(),
        )

    def serves_version(
        self,
        service: str,
        version: str,
        excluded: Collection[str] = frozenset(),
        regions: allowed_regions.Regions = None,
    ) -> bool:
        """Return whether a stream of a software version can go on at any upstream."""
        return any(
            each.service == service
            and each.stage is not entities.Stage.PREFILL
            and not each.is_leaving
            and each.id not in excluded
            and stream_versions.matches(each, version)
            for each in self._allowed_upstreams(regions)
        )

    def record_outcome(self, upstream: entities.Upstream, outcome: health.Outcome) -> None:
        """Update the health of an upstream with the outcome of a call."""
        with self._lock:
            now_s = self._clock.now_s()
            was_suspect = health.is_suspect(self.health, now_s, upstream.id)
            self.health = health.record_outcome(self.health, now_s, upstream.id, outcome)
            is_suspect = health.is_suspect(self.health, now_s, upstream.id)
        self._reach.record_outcome(upstream, outcome)
        if is_suspect and not was_suspect:
            self.on_failure()
        self._metrics.upstream_calls.add(1, {"service": upstream.service, "outcome": outcome.value})
        if is_suspect != was_suspect:
            eliot.log_message(
                message_type="upstream_suspected" if is_suspect else "upstream_trusted",
                upstream=upstream.id,
                outcome=outcome.value,
            )

    def record_no_memory(self, upstream: entities.Upstream) -> None:
        """Treat an engine as full for a while, since it has refused to hold memory."""
        with self._lock:
            self.health = health.mark_full(self.health, self._clock.now_s(), upstream.id)

    def withdraw_rejections(self, upstreams: Collection[str]) -> None:
        """Use upstreams again whose rejections were not for lack of capacity."""
        with self._lock:
            self.health = health.withdraw_rejections(self.health, upstreams)

    def failures_to_report(self) -> tuple[peer_evidence.Failure, ...]:
        """Return the upstreams that have failed requests of this instance, to tell peers."""
        with self._lock:
            return peer_evidence.to_report(self.health, self._clock.now_s(), self._upstreams())

    def failing_peers(self) -> frozenset[str]:
        """Return the ids of the upstreams that have lately failed requests of peers."""
        return self._peer_failures.current(self._upstreams(), self.health)

    def forget_health(self, upstream: str) -> None:
        """Remove the health of an upstream that has left or changed its stage."""
        with self._lock:
            self.health = health.remove(self.health, upstream)

    def balance_stages(
        self, services: Iterable[entities.Service], may_issue_orders: bool
    ) -> list[stage_balance.StageOrder]:
        """Observe the stages of services and return the stage orders that are due.

        :param may_issue_orders: whether this instance is the one that issues orders
        """
        orders: list[stage_balance.StageOrder] = []
        with self._lock:
            context = self._placement_context()
            for service in services:
                self._balance = stage_balance.observe(
                    self._balance, context.now_s, service, context.upstreams, context.upstream_load
                )
                if not may_issue_orders:
                    continue
                self._balance, due = stage_balance.decide(
                    self._balance, context.now_s, service, context.upstreams, context.upstream_load
                )
                orders.extend(due)
        return orders

    def pause_orders(self, service: str) -> None:
        """Issue no orders for a service for a while, since another instance issues them."""
        with self._lock:
            self._balance = stage_balance.pause_after_refusal(
                self._balance, self._clock.now_s(), service
            )

    def pause(self, upstream: str, for_s: float = STAGE_CHANGE_PAUSE_S) -> None:
        """Stop using an engine that is changing its stage until its entry shows the new stage.

        :param for_s: longest pause in seconds
        """
        with self._lock:
            until_s = max(
                self._paused_until_s_by_id.get(upstream, 0.0), self._clock.now_s() + for_s
            )
            self._paused_until_s_by_id[upstream] = until_s

    def resume(self, upstream: str) -> None:
        """Use an engine again, since its entry shows the new stage."""
        with self._lock:
            self._paused_until_s_by_id.pop(upstream, None)

    def paused_s_by_upstream(self) -> Mapping[str, float]:
        """Return for how many more seconds each paused engine is paused."""
        with self._lock:
            now_s = self._clock.now_s()
            return {
                key: until_s - now_s
                for key, until_s in self._paused_until_s_by_id.items()
                if until_s > now_s
            }

    def generations_per_s(self, service: str) -> float:
        """Return the rate at which all instances place generations, zero for a lone instance."""
        return self._requests_per_s(service) if self._membership().peer_by_instance else 0.0

    def _placement_context(
        self,
        service: str = "",
        may_try: bool = False,
        regions: allowed_regions.Regions = None,
    ) -> placement.PlacementContext:
        """Return the input of a placement.

        :param service: the service if a request is placed
        :param may_try: whether the request may be the trial of an upstream that has failed peers
        """
        now_s = self._clock.now_s()
        membership = self._membership()
        if now_s - self._peer_load_summed_s >= MAX_PEER_LOAD_AGE_S:
            # Summed here and not on each report, as reports are far more frequent than placements.
            self._peer_load_summed_s = now_s
            peers_by_id = gossip.peer_work(membership, now_s)
            self.load = load.step(self.load, load.PeersReported(peers_by_id))
            self._peer_failures.update(membership, now_s)
        is_trial = may_try and self._peer_failures.is_trial_due(now_s)
        return placement.PlacementContext(
            now_s,
            self._domain,
            self._usable_upstreams(now_s, regions),
            self.load,
            self.health,
            gossip.staleness_s(membership, now_s),
            self._random.getrandbits(32),
            self.generations_per_s(service),
            self.turned_away.avoided(),
            frozenset() if is_trial else self.failing_peers(),
            self._capacity.capacities(service),
        )

    def _allowed_upstreams(self, regions: allowed_regions.Regions) -> Collection[entities.Upstream]:
        if regions is None:
            return self._upstreams()
        return allowed_regions.allowed(regions, self._region_by_domain(), self._upstreams())

    def _usable_upstreams(
        self, now_s: float, regions: allowed_regions.Regions
    ) -> tuple[entities.Upstream, ...]:
        willing = self._limiter.permitted(
            self.turned_away.willing(self._allowed_upstreams(regions))
        )
        if not self._paused_until_s_by_id:
            return willing
        self._paused_until_s_by_id = {
            key: until_s for key, until_s in self._paused_until_s_by_id.items() if until_s > now_s
        }
        paused = self._paused_until_s_by_id
        return tuple(each for each in willing if each.id not in paused)

    def _add_load(self, upstream: str, work: load.Work) -> None:
        self.load = load.step(self.load, load.Started(upstream, work))


def _do_nothing() -> None:
    """Do nothing, as the default callback."""
