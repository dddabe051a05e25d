"""Places a request: a decode slot, a link and a prefill upstream, from one scheduler."""

from __future__ import annotations

import contextlib
import dataclasses

import expression

from carawaydoor.coordination import (
    cluster_view,
    core_events,
    messages,
    pool_owner,
    prefix_affinity,
)
from carawaydoor.interface import errors, instance_context, request_exchange

MIN_RETRY_S = 0.2
ASK_MARGIN_S = 0.5
FULL_WEIGHT = 0.005


@dataclasses.dataclass(frozen=True, slots=True)
class Place:
    """Where a request runs.

    :ivar owner: instance that schedules the pool in its failure domain
    """

    lease_id: str
    pool: str
    failure_domain: str
    owner: str
    decode: cluster_view.Upstream
    prefill: cluster_view.Upstream


Placed = expression.Result[Place, errors.Refusal]


class Placement:
    """Asks the schedulers of a pool for places."""

    def __init__(self, context: instance_context.InstanceContext) -> None:
        self._context = context

    def place(
        self, exchange: request_exchange.Exchange, attempt: int, excluded: tuple[str, ...]
    ) -> Placed:
        """Return a place, at once where one is free, else after a bounded wait in a queue."""
        retry_after_s = MIN_RETRY_S
        reached = False
        for domain, wait_s in self._plan(exchange):
            if exchange.cancel.reason is not None:
                break
            answer = self._ask(exchange, domain, attempt, excluded, wait_s)
            if isinstance(answer, Place):
                return expression.Ok(answer)
            if isinstance(answer, messages.SlotRefused):
                reached = True
                retry_after_s = max(retry_after_s, answer.retry_after_s)
        if exchange.cancel.reason is not None:
            return expression.Error(
                request_exchange.refusal_of(exchange.cancel.reason, errors.Ran.NOT_RUN)
            )
        kind = errors.Kind.POOL_FULL if reached else errors.Kind.POOL_UNAVAILABLE
        return expression.Error(
            errors.Refusal(kind, "no place is free for this request", retry_after_s=retry_after_s)
        )

    def release(self, place: Place, upstream_failed: str = "") -> None:
        """Give a place back."""
        self._context.core.tell(core_events.LeaseDropped(place.lease_id))
        message = messages.ReleaseSlot(
            place.lease_id, place.pool, place.failure_domain, upstream_failed
        )
        self._context.peers.tell(place.owner, message)

    def finish_prefill(self, place: Place) -> None:
        """Give the prefill part of a place back."""
        message = messages.FinishPrefill(place.lease_id, place.pool, place.failure_domain)
        self._context.peers.tell(place.owner, message)

    def _plan(self, exchange: request_exchange.Exchange) -> list[tuple[str, float]]:
        """Return the failure domains to ask in turn, each with the wait allowed there."""
        domains = self._by_preference(exchange)
        wait_s = self._wait_s(exchange)
        at_once = [(each, 0.0) for each in domains]
        if not domains or wait_s <= 0.0:
            return at_once
        return [*at_once, (domains[0], wait_s)]

    def _by_preference(self, exchange: request_exchange.Exchange) -> list[str]:
        """Order failure domains at random, weighted by the free slots that were last heard of."""
        pool = exchange.route.pool if exchange.route and exchange.route.pool else ""
        slots: dict[str, int] = {}
        for each in self._context.upstreams(pool, cluster_view.Role.DECODE):
            slots[each.failure_domain] = slots.get(each.failure_domain, 0) + each.slots
        free = self._free_by_domain(pool)
        keyed: dict[str, float] = {}
        for domain, count in slots.items():
            weight = max(free.get(domain, 0), FULL_WEIGHT * count)
            keyed[domain] = self._context.random.random() ** (1.0 / weight)
        return sorted(keyed, key=lambda each: keyed[each], reverse=True)

    def _free_by_domain(self, pool: str) -> dict[str, int]:
        state = self._context.state()
        membership = state.membership
        own = pool_owner.pool_loads(state, self._context.clock.now_s())
        free: dict[str, int] = {}
        for load in own:
            if load.pool == pool:
                free[membership.failure_domain] = load.free_slots
        for key, peer in membership.peer_by_instance.items():
            instance = membership.view.instance_by_id.get(key)
            for load in peer.loads:
                if instance is not None and load.pool == pool:
                    free[instance.failure_domain] = load.free_slots
        return free

    def _wait_s(self, exchange: request_exchange.Exchange) -> float:
        """Return how long a request may wait for its place and still meet its first token."""
        if exchange.route is None or exchange.cost is None or exchange.model is None:
            return 0.0
        prefill_s = exchange.cost.prompt_tokens / exchange.model.prefill_tokens_per_s
        latest_s = exchange.received_s + exchange.route.first_token_s - prefill_s
        return latest_s - self._context.clock.now_s()

    def _ask(
        self,
        exchange: request_exchange.Exchange,
        domain: str,
        attempt: int,
        excluded: tuple[str, ...],
        wait_s: float,
    ) -> Place | messages.SlotRefused | None:
        pool = exchange.route.pool if exchange.route and exchange.route.pool else ""
        for owner in self._context.likely_owners(pool_owner.pool_resource(pool, domain)):
            message = self._message(exchange, pool, domain, attempt, excluded, wait_s)
            try:
                answer = self._context.ask(owner, message, wait_s + ASK_MARGIN_S)
            except errors.PeerRefusedError:
                continue
            except errors.PeerError:
                self._abandon(message, owner)
                continue
            if isinstance(answer, messages.SlotRefused):
                return answer
            if isinstance(answer, messages.SlotGranted):
                return self._take(message, owner, answer)
        return None

    def _message(
        self,
        exchange: request_exchange.Exchange,
        pool: str,
        domain: str,
        attempt: int,
        excluded: tuple[str, ...],
        wait_s: float,
    ) -> messages.AcquireSlot:
        completion, cost = exchange.completion, exchange.cost
        prompt = completion.prompt if completion else b""
        queued = "q" if wait_s > 0.0 else "n"
        return messages.AcquireSlot(
            f"{exchange.id}-{attempt}{queued}-{domain}",
            pool,
            domain,
            exchange.workspace_name,
            cost.prompt_tokens if cost else 0,
            prefix_affinity.digest_prefixes(prompt),
            wait_s,
            excluded,
            self._context.options.instance,
        )

    def _take(
        self, message: messages.AcquireSlot, owner: str, granted: messages.SlotGranted
    ) -> Place | messages.SlotRefused:
        lease = messages.HeldLease(
            message.lease_id,
            message.pool,
            message.failure_domain,
            message.workspace,
            granted.decode,
        )
        self._context.core.tell(core_events.LeaseTaken(lease))
        by_id = self._context.membership.view.upstream_by_id
        decode, prefill = by_id.get(granted.decode), by_id.get(granted.prefill)
        if decode is None or prefill is None:
            self._abandon(message, owner)
            return messages.SlotRefused(MIN_RETRY_S)
        return Place(message.lease_id, message.pool, message.failure_domain, owner, decode, prefill)

    def _abandon(self, message: messages.AcquireSlot, owner: str) -> None:
        self._context.core.tell(core_events.LeaseDropped(message.lease_id))
        released = messages.ReleaseSlot(message.lease_id, message.pool, message.failure_domain, "")
        with contextlib.suppress(errors.PeerError):
            self._context.peers.tell(owner, released)
