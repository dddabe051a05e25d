"""Where requests are at work, and which upstreams may get new ones."""

from __future__ import annotations

import random
import threading
from collections.abc import Callable, Collection, Iterable, Mapping
from typing import Final

import eliot

from carawaydoor.fleet import gossip
from carawaydoor.operating import clocks, platform_metrics
from carawaydoor.policy import entities, health, load, placement, stage_balance

# Time in seconds after which an engine whose entry shows no new stage is used as before: a change
# takes about six seconds, and running work ends first.
PAUSE_S: Final = 15.0
# Age in seconds up to which the sum of the peers' work is used again: less than a round of reports.
PEER_LOAD_REUSE_S: Final = 0.03


class UpstreamSelector:
    """Holds load and health of the upstreams and applies the decisions on placement to them.

    :ivar load: work under way at each upstream
    :ivar health: how calls to each upstream ended lately
    :ivar on_begun: called when a generation was placed
    """

    def __init__(
        self,
        domain: str,
        clock: clocks.Clock,
        metrics: platform_metrics.Metrics,
        lock: threading.RLock,
        upstreams: Callable[[], Collection[entities.Upstream]],
        members: Callable[[], gossip.Membership],
    ) -> None:
        self.load = load.EMPTY
        self.health: health.Health = {}
        self.on_placed: Callable[[], None] = _do_nothing
        self._domain = domain
        self._clock = clock
        self._metrics = metrics
        self._lock = lock
        self._request_ended = threading.Condition(lock)
        self._upstreams = upstreams
        self._members = members
        self._peer_load_summed_s = float("-inf")
        self._balance = stage_balance.Balance()
        self._paused_until_s_by_id: dict[str, float] = {}
        self._random = random.Random()

    def reserve_plain(self, service: str, excluded: frozenset[str]) -> entities.Upstream | None:
        """Choose an upstream of a plain service and count the request there."""
        with self._lock:
            upstream = placement.choose_plain(self._view(), service, excluded)
            if upstream is not None:
                self._add_load(upstream.id, load.Work(1))
            return upstream

    def reserve_generation(
        self,
        service: entities.Service,
        prompt: entities.Prompt,
        excluded: frozenset[str],
        reserve_share: float,
    ) -> placement.GenerationPlacement | None:
        """Choose the engines of a generation and count the request at both."""
        with self._lock:
            chosen = placement.choose_generation(
                self._view(), service, prompt, excluded, reserve_share
            )
            if chosen is None:
                return None
            self._add_load(chosen.decode.id, load.Work(1, prompt.memory_tokens))
            if chosen.prefill is not None:
                self._add_load(chosen.prefill.id, load.Work(1, prompt.tokens))
        self.on_placed()
        return chosen

    def reserve_decode(
        self, service: entities.Service, prompt: entities.Prompt, excluded: frozenset[str]
    ) -> entities.Upstream | None:
        """Choose another decode engine for a prompt that was read, and count the request there."""
        with self._lock:
            decode = placement.choose_decode(self._view(), service, prompt, excluded)
            if decode is not None:
                self._add_load(decode.id, load.Work(1, prompt.memory_tokens))
            return decode

    def reserve_backup(
        self, service: entities.Service, prompt: entities.Prompt, decode: entities.Upstream
    ) -> entities.Upstream | None:
        """Choose an engine for a copy of a run's memory, and count that memory there."""
        with self._lock:
            backup = placement.choose_backup(self._view(), service, prompt, decode)
            if backup is not None:
                self._add_load(backup.id, load.Work(0, prompt.memory_tokens))
            return backup

    def release(self, upstream: str, work: load.Work) -> None:
        """Take a request that has ended off the load of an upstream."""
        with self._lock:
            self.load = load.step(self.load, load.Ended(upstream, work))
            self._request_ended.notify_all()

    def wait_for_release(self, timeout_s: float) -> None:
        """Wait until a request ends anywhere.

        :param timeout_s: longest wait in seconds
        """
        with self._lock:
            self._request_ended.wait(timeout_s)

    def record_outcome(self, upstream: entities.Upstream, outcome: health.Outcome) -> None:
        """Judge an upstream by how a call ended."""
        with self._lock:
            now_s = self._clock.now_s()
            was_suspect = health.is_suspect(self.health, now_s, upstream.id)
            self.health = health.record_outcome(self.health, now_s, upstream.id, outcome)
            is_suspect = health.is_suspect(self.health, now_s, upstream.id)
        self._metrics.upstream_calls.add(1, {"service": upstream.service, "outcome": outcome.value})
        if is_suspect != was_suspect:
            eliot.log_message(
                message_type="upstream_suspected" if is_suspect else "upstream_trusted",
                upstream=upstream.id,
                outcome=outcome.value,
            )

    def forget_health(self, upstream: str) -> None:
        """Forget how calls to an upstream ended that has gone or changed its stage."""
        with self._lock:
            self.health = health.remove(self.health, upstream)

    def balance_stages(
        self, services: Iterable[entities.Service], may_issue_orders: bool
    ) -> list[stage_balance.StageOrder]:
        """Observe the stages of services and return the orders that are due.

        :param may_order: whether this instance is the one that gives orders
        """
        orders: list[stage_balance.StageOrder] = []
        with self._lock:
            view = self._view()
            for service in services:
                self._balance = stage_balance.observe(
                    self._balance, view.now_s, service, view.upstreams, view.upstream_load
                )
                if not may_issue_orders:
                    continue
                self._balance, due = stage_balance.decide(
                    self._balance, view.now_s, service, view.upstreams, view.upstream_load
                )
                orders.extend(due)
        return orders

    def pause_orders(self, service: str) -> None:
        """Give no orders for a service for a while: another instance gives them."""
        with self._lock:
            self._balance = stage_balance.pause_after_refusal(
                self._balance, self._clock.now_s(), service
            )

    def pause(self, upstream: str, for_s: float = PAUSE_S) -> None:
        """Send an engine that changes its stage nothing until its entry shows the new one."""
        with self._lock:
            until_s = max(
                self._paused_until_s_by_id.get(upstream, 0.0), self._clock.now_s() + for_s
            )
            self._paused_until_s_by_id[upstream] = until_s

    def resume(self, upstream: str) -> None:
        """Use an engine again whose entry shows its new stage."""
        with self._lock:
            self._paused_until_s_by_id.pop(upstream, None)

    def paused_s_by_upstream(self) -> Mapping[str, float]:
        """Return for how many more seconds engines are set aside."""
        with self._lock:
            now_s = self._clock.now_s()
            return {
                key: until_s - now_s
                for key, until_s in self._paused_until_s_by_id.items()
                if until_s > now_s
            }

    def _view(self) -> placement.PlacementContext:
        now_s = self._clock.now_s()
        members = self._members()
        if now_s - self._peer_load_summed_s >= PEER_LOAD_REUSE_S:
            # Summed where it is used: reports come far more often than placements.
            self._peer_load_summed_s = now_s
            peers_by_id = gossip.peer_work(members, now_s)
            self.load = load.step(self.load, load.PeersReported(peers_by_id))
        return placement.PlacementContext(
            now_s,
            self._domain,
            self._usable_upstreams(now_s),
            self.load,
            self.health,
            gossip.staleness_s(members, now_s),
            self._random.getrandbits(32),
        )

    def _usable_upstreams(self, now_s: float) -> tuple[entities.Upstream, ...]:
        if not self._paused_until_s_by_id:
            return tuple(self._upstreams())
        self._paused_until_s_by_id = {
            key: until_s for key, until_s in self._paused_until_s_by_id.items() if until_s > now_s
        }
        paused = self._paused_until_s_by_id
        return tuple(each for each in self._upstreams() if each.id not in paused)

    def _add_load(self, upstream: str, work: load.Work) -> None:
        self.load = load.step(self.load, load.Started(upstream, work))


def _do_nothing() -> None:
    """Tell nobody."""
