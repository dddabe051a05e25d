"""The priorities of requests at one instance, their demand for decode memory, and their order."""

from __future__ import annotations

import contextlib
import dataclasses
import math
import random
import threading
from collections.abc import Callable, Collection, Iterator, Mapping
from typing import Final

import eliot

from carawaydoor.fleet import gossip, peer_demand
from carawaydoor.operating import clocks, platform_metrics
from carawaydoor.policy import capacity_wait, entities, health, urgency
from carawaydoor.serving import (
    demand_counter,
    generation_queue,
    http_exchange,
    sockets,
    upstream_selection,
)

# What peers report is summed again after this time: often enough beside reports that are a second old,
# and rare beside requests.
MAX_VIEW_AGE_S: Final = 0.25
# Shorter means are taken for errors; no generation begins and ends as fast.
MIN_GENERATION_S: Final = 0.1
# A change of the reserves is logged at most once in this time.
MIN_LOG_INTERVAL_S: Final = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class _View:
    """What an instance knows of the demand for the decode memory of a service.

    :ivar elsewhere: demand at all peers, by rank
    :ivar fleet: demand at all instances, by rank
    :ivar freed_per_s: tokens a second that all generations together free
    :ivar reserves: part of each KV cache that a rank leaves free for more urgent ones, by rank
    :ivar promoted: part of the requests that is treated as the most urgent rank, by rank
    """

    at_s: float
    elsewhere: tuple[urgency.Demand, ...]
    fleet: tuple[urgency.Demand, ...]
    freed_per_s: float
    reserves: tuple[float, ...]
    promoted: tuple[float, ...]

    @property
    def is_in_force(self) -> bool:
        """Whether requests are served differently by their rank beside their order."""
        return any(self.reserves) or any(self.promoted)


class UrgencyState:
    """Knows which services have requests of more than one priority, and queues these requests."""

    def __init__(
        self,
        clock: clocks.Clock,
        metrics: platform_metrics.Metrics,
        membership: Callable[[], gossip.Membership],
        selector: upstream_selection.UpstreamSelector,
        upstreams: Callable[[], Collection[entities.Upstream]],
    ) -> None:
        self.queue = generation_queue.GenerationQueue()
        self.counter = demand_counter.DemandCounter()
        self._clock = clock
        self._metrics = metrics
        self._membership = membership
        self._selector = selector
        self._upstreams = upstreams
        self._lock = threading.Lock()
        self._priorities_by_service: Mapping[str, urgency.Priorities] = {}
        self._length_by_service: dict[str, capacity_wait.GenerationLength] = {}
        # Requests that are older than the configuration still have ranks by the earlier one.
        self._view_by_ranks: dict[tuple[str, urgency.Priorities], _View] = {}
        # Whether reserves were in force when that was last logged, and when.
        self._change_by_service: dict[str, tuple[bool, float]] = {}
        self._random = random.Random()

    def adopt(self, configuration: entities.Configuration) -> None:
        """Use the priorities of a new configuration."""
        priorities = urgency.priorities_by_service(configuration)
        with self._lock:
            self._priorities_by_service = priorities
            self._view_by_ranks = {}

    def priority_for_engines(self, exchange: http_exchange.HttpExchange) -> int | None:
        """Return the priority to tell engines, None if all requests of the service have the same."""
        if not self._priorities(exchange):
            return None
        return urgency.engine_priority(_priority(exchange))

    def is_urgent(self, exchange: http_exchange.HttpExchange) -> bool:
        """Return whether the service of a request has less urgent ones."""
        priorities = self._priorities(exchange)
        return bool(priorities) and _priority(exchange) < priorities[-1]

    def return_share(self, exchange: http_exchange.HttpExchange) -> float:
        """Return the part of the longest retry delay that the caller is told if it is refused."""
        priorities = self._priorities(exchange)
        if not priorities:
            return 1.0
        rank = urgency.rank(priorities, _priority(exchange))
        return capacity_wait.return_share(rank, len(priorities))

    def demands_to_report(self) -> tuple[urgency.Demand, ...]:
        """Return the demand at this instance, to tell peers."""
        return urgency.to_report(self._own_demands())

    def turn(
        self,
        exchange: http_exchange.HttpExchange,
        prompt: entities.Prompt,
        terms: capacity_wait.WaitTerms,
    ) -> contextlib.AbstractContextManager[generation_queue.Turn]:
        """Queue a generation until it has room or is refused."""
        priorities, service = self._priorities(exchange), exchange.service
        if not priorities or service is None:
            return contextlib.nullcontext(generation_queue.FreeTurn(terms))
        priority = _priority(exchange)
        rank = urgency.rank(priorities, priority)
        is_promoted = self._random.random() < self._view(service, priorities).promoted[rank]
        claim = capacity_wait.Claim(
            service.name,
            priority,
            0 if is_promoted else rank,
            terms.is_late,
            exchange.received_s,
            self.queue.next_number(),
            prompt.mean_kv_tokens,
            exchange.placement_version,
        )
        return RankedTurn(self, exchange, service, priorities, claim, terms).queued()

    def reserve_share(
        self,
        service: entities.Service,
        priorities: urgency.Priorities,
        claim: capacity_wait.Claim,
        late_share: float,
    ) -> float:
        """Return the part of a KV cache that has to stay free beside a request.

        :param late_share: what the request leaves free because it is late, zero if it is not
        """
        return urgency.reserve_of(self._view(service, priorities).reserves, claim.rank, late_share)

    def prospect_s(
        self,
        service: entities.Service,
        priorities: urgency.Priorities,
        claim: capacity_wait.Claim,
    ) -> float:
        """Return the time in seconds after which room is expected, zero if that is unknown.

        Of the requests of the same rank that wait elsewhere, half are taken to be served before.
        """
        view = self._view(service, priorities)
        more_urgent = view.fleet[: claim.rank]
        elsewhere = view.elsewhere[: claim.rank + 1]
        ahead = sum(each.waiting_tokens for each in elsewhere)
        if len(elsewhere) > claim.rank:
            ahead -= elsewhere[claim.rank].waiting_tokens / 2.0
        return capacity_wait.prospect_s(
            view.freed_per_s,
            sum(each.kept_per_s for each in more_urgent),
            ahead + capacity_wait.tokens_ahead(claim, self.queue.waiting()),
            claim.tokens,
        )

    def wake_waiting(self) -> None:
        """Wake the generations that wait for room."""
        self._selector.wake_waiting()

    def count(self, claim: capacity_wait.Claim, event: demand_counter.Event) -> None:
        """Count what happens to a generation."""
        self.counter.record(claim, event, self._clock.now_s())

    def record_outcome(
        self, claim: capacity_wait.Claim, rank: int, received_s: float, outcome: str
    ) -> None:
        """Count how the search for room ended in the metrics.

        :param rank: rank of the request's own priority
        """
        labels = {
            "service": claim.service,
            "rank": str(rank),
            "promoted": str(claim.rank < rank).lower(),
            "outcome": outcome,
        }
        self._metrics.ranked_generations.add(1, labels)
        self._metrics.room_wait_seconds.record(self._clock.now_s() - received_s, labels)

    def record_end_later(
        self, exchange: http_exchange.HttpExchange, claim: capacity_wait.Claim
    ) -> None:
        """Measure the length of a placed generation when it ends."""
        exchange.cleanup.callback(self._record_end, exchange, claim, self._clock.now_s())

    def _record_end(
        self, exchange: http_exchange.HttpExchange, claim: capacity_wait.Claim, placed_s: float
    ) -> None:
        if exchange.required_version is None:
            # It had no event, so that its length says nothing.
            return
        duration_s = self._clock.now_s() - placed_s
        with self._lock:
            self._length_by_service[claim.service] = capacity_wait.with_length(
                self._length_by_service.get(claim.service), claim.tokens, duration_s
            )

    def _own_demands(self) -> tuple[urgency.Demand, ...]:
        return self.counter.demands(self.queue.waiting(), self._clock.now_s())

    def _view(self, service: entities.Service, priorities: urgency.Priorities) -> _View:
        now_s = self._clock.now_s()
        view = self._view_by_ranks.get((service.name, priorities))
        if view is None or now_s - view.at_s >= MAX_VIEW_AGE_S:
            view = self._compute_view(service, priorities, now_s)
            with self._lock:
                self._view_by_ranks[service.name, priorities] = view
            self._log_change(service, view)
        return view

    def _compute_view(
        self, service: entities.Service, priorities: urgency.Priorities, now_s: float
    ) -> _View:
        of_peers = peer_demand.total(self._membership(), now_s)
        fleet = urgency.by_rank(service.name, priorities, (*of_peers, *self._own_demands()))
        memory_tokens, used_tokens = self._memory(service, now_s)
        length = self._length_by_service.get(service.name)
        mean_s = capacity_wait.DEFAULT_GENERATION_S if length is None else length.mean_s
        return _View(
            now_s,
            urgency.by_rank(service.name, priorities, of_peers),
            fleet,
            # By Little's law.
            used_tokens / max(mean_s, MIN_GENERATION_S),
            urgency.reserve_shares(fleet, memory_tokens),
            urgency.promoted_shares(fleet),
        )

    def _memory(self, service: entities.Service, now_s: float) -> tuple[int, int]:
        """Return the size of the KV caches of all decode engines of a service, and what is in use."""
        spec = service.engine_spec
        kv_tokens = 0 if spec is None else spec.kv_tokens
        upstream_load, upstream_health = self._selector.load, self._selector.health
        engines = [
            each.id
            for each in self._upstreams()
            if each.service == service.name and each.stage is entities.Stage.DECODE
        ]
        used = sum(
            (
                kv_tokens
                if health.is_full(upstream_health, now_s, each)
                else min(kv_tokens, upstream_load.at(each).tokens)
            )
            for each in engines
        )
        return kv_tokens * len(engines), used

    def _log_change(self, service: entities.Service, view: _View) -> None:
        """Log when reserves or promotions come into force and when all have ended."""
        with self._lock:
            was_in_force, changed_s = self._change_by_service.get(service.name, (False, -math.inf))
            if view.is_in_force == was_in_force or view.at_s - changed_s < MIN_LOG_INTERVAL_S:
                return
            self._change_by_service[service.name] = view.is_in_force, view.at_s
        eliot.log_message(
            message_type="memory_reserve_changed",
            service=service.name,
            reserves=[round(each, 4) for each in view.reserves],
            promoted=[round(each, 4) for each in view.promoted],
            demand=[[round(amount) for amount in each.amounts] for each in view.fleet],
            of_peers=[round(each.arrived_per_s) for each in view.elsewhere],
            freed_per_s=round(view.freed_per_s),
        )

    def _priorities(self, exchange: http_exchange.HttpExchange) -> urgency.Priorities:
        """Return the priorities of the service of a request, empty if there is only one."""
        service = exchange.service
        return () if service is None else self._priorities_by_service.get(service.name, ())


class RankedTurn(generation_queue.Turn):
    """The turn of a generation by the order of its claim."""

    def __init__(
        self,
        state: UrgencyState,
        exchange: http_exchange.HttpExchange,
        service: entities.Service,
        priorities: urgency.Priorities,
        claim: capacity_wait.Claim,
        terms: capacity_wait.WaitTerms,
    ) -> None:
        self.rank: int = urgency.rank(priorities, claim.priority)
        self._priorities = priorities
        self._state = state
        self._exchange = exchange
        self._service = service
        self._claim = claim
        self._terms = terms
        self._was_short = False

    @contextlib.contextmanager
    def queued(self) -> Iterator[generation_queue.Turn]:
        """Keep the claim in the queue until the generation has room or is refused."""
        self._state.count(self._claim, demand_counter.Event.ARRIVED)
        self._state.queue.add(self._claim)
        try:
            yield self
        finally:
            self.record_room()

    @property
    def retry_interval_s(self) -> float:
        """A short time if this generation is the next; otherwise, it is woken when it is."""
        if self.is_next():
            return generation_queue.RETRY_INTERVAL_S
        return sockets.CALLER_POLL_INTERVAL_S

    def is_next(self) -> bool:
        """Return whether no other claim for the same engines comes first."""
        return capacity_wait.is_turn(self._claim, self._state.queue.waiting())

    def reserve_share(self) -> float:
        """Return the reserve for more urgent ranks, or for requests that can be on time."""
        return self._state.reserve_share(
            self._service, self._priorities, self._claim, self._terms.reserve_share
        )

    def prospect_s(self) -> float:
        """Return the expected time by the demand at all instances."""
        return self._state.prospect_s(self._service, self._priorities, self._claim)

    def record_room(self) -> None:
        """Remove the claim and wake those behind it."""
        if self._state.queue.remove(self._claim):
            self._state.wake_waiting()

    def record_room_lost(self) -> None:
        """Put the claim back at its place."""
        self._state.queue.add(self._claim)

    def record_no_room(self) -> None:
        """Count the first time."""
        if not self._was_short:
            self._was_short = True
            self._state.count(self._claim, demand_counter.Event.SHORT)

    def record_placed(self) -> None:
        """Count the generation as placed and have its length measured."""
        outcome = "placed_after_wait" if self._was_short else "placed"
        self._state.record_outcome(self._claim, self.rank, self._exchange.received_s, outcome)
        self._state.record_end_later(self._exchange, self._claim)

    def record_refused(self) -> None:
        """Count the generation as refused unless its caller has gone."""
        if not self._exchange.inbound.is_gone():
            self._state.count(self._claim, demand_counter.Event.REFUSED)
            self._state.record_outcome(self._claim, self.rank, self._exchange.received_s, "refused")


def _priority(exchange: http_exchange.HttpExchange) -> int:
    assert exchange.route is not None
    return urgency.priority_of(exchange.route, exchange.workspace)
