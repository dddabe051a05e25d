"""Leases a decode slot, link capacity and a prefill upstream from a pool scheduler."""

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

MIN_RETRY_AFTER_S = 0.2
REPLY_MARGIN_S = 0.5
# A failure domain that reported no free slot is still asked, but usually after the others.
MIN_WEIGHT_PER_SLOT = 0.005


@dataclasses.dataclass(frozen=True, slots=True)
class LeasedSlot:
    """A leased decode slot with the prefill upstream that feeds it.

    :ivar owner: instance that schedules the pool in this failure domain
    """

    lease_id: str
    pool: str
    failure_domain: str
    owner: str
    decode: cluster_view.Upstream
    prefill: cluster_view.Upstream


AcquireResult = expression.Result[LeasedSlot, errors.Refusal]


class SlotClient:
    """Acquires and releases slots at the schedulers of a pool."""

    def __init__(self, context: instance_context.InstanceContext) -> None:
        self._context = context

    def acquire(
        self, exchange: request_exchange.Exchange, attempt_number: int, excluded: tuple[str, ...]
    ) -> AcquireResult:
        """Lease a slot.

        Every failure domain is first asked for a slot that is free now. If none has one, the
        request waits in the queue of one domain, for as long as it can still meet the route's
        target for the first token.
        """
        retry_after_s = MIN_RETRY_AFTER_S
        has_reply = False
        for domain, wait_s in self._domains_to_ask(exchange):
            if exchange.cancel_token.reason is not None:
                break
            result = self._acquire_in_domain(exchange, domain, attempt_number, excluded, wait_s)
            if isinstance(result, LeasedSlot):
                return expression.Ok(result)
            if isinstance(result, messages.SlotRefused):
                has_reply = True
                retry_after_s = max(retry_after_s, result.retry_after_s)
        if exchange.cancel_token.reason is not None:
            return expression.Error(
                request_exchange.cancellation_refusal(
                    exchange.cancel_token.reason, errors.Ran.NOT_RUN
                )
            )
        kind = errors.Kind.POOL_FULL if has_reply else errors.Kind.POOL_UNAVAILABLE
        return expression.Error(
            errors.Refusal(kind, "no slot is free for this request", retry_after_s=retry_after_s)
        )

    def release(self, slot: LeasedSlot, upstream_failed: str = "") -> None:
        """Release a slot.

        :param upstream_failed: upstream that failed and that the scheduler avoids for a time,
            empty if none did
        """
        self._context.core.tell(core_events.LeaseDropped(slot.lease_id))
        message = messages.ReleaseSlot(
            slot.lease_id, slot.pool, slot.failure_domain, upstream_failed
        )
        self._context.peers.tell(slot.owner, message)

    def finish_prefill(self, slot: LeasedSlot) -> None:
        """Release the prefill upstream and the link; the decode slot stays leased."""
        message = messages.FinishPrefill(slot.lease_id, slot.pool, slot.failure_domain)
        self._context.peers.tell(slot.owner, message)

    def _domains_to_ask(self, exchange: request_exchange.Exchange) -> list[tuple[str, float]]:
        """Return the failure domains to ask, in order, each with the maximum queueing time."""
        domains = self._order_domains(exchange)
        wait_s = self._max_wait_s(exchange)
        without_wait = [(each, 0.0) for each in domains]
        if not domains or wait_s <= 0.0:
            return without_wait
        return [*without_wait, (domains[0], wait_s)]

    def _order_domains(self, exchange: request_exchange.Exchange) -> list[str]:
        """Order failure domains at random, weighted by the free slots that they last reported."""
        pool = exchange.route.pool if exchange.route and exchange.route.pool else ""
        slots_by_domain: dict[str, int] = {}
        for each in self._context.live_upstreams(pool, cluster_view.Role.DECODE):
            slots_by_domain[each.failure_domain] = (
                slots_by_domain.get(each.failure_domain, 0) + each.slots
            )
        free_by_domain = self._free_slots_by_domain(pool)
        sort_key_by_domain: dict[str, float] = {}
        for domain, count in slots_by_domain.items():
            weight = max(free_by_domain.get(domain, 0), MIN_WEIGHT_PER_SLOT * count)
            # Weighted sampling without replacement, by Efraimidis and Spirakis.
            sort_key_by_domain[domain] = self._context.random.random() ** (1.0 / weight)
        return sorted(sort_key_by_domain, key=lambda each: sort_key_by_domain[each], reverse=True)

    def _free_slots_by_domain(self, pool: str) -> dict[str, int]:
        state = self._context.state()
        membership = state.membership
        own_loads = pool_owner.pool_loads(state, self._context.clock.now_s())
        free_by_domain: dict[str, int] = {}
        for load in own_loads:
            if load.pool == pool:
                free_by_domain[membership.failure_domain] = load.free_slots
        for instance_id, peer in membership.peer_by_instance.items():
            instance = membership.view.instance_by_id.get(instance_id)
            for load in peer.loads:
                if instance is not None and load.pool == pool:
                    free_by_domain[instance.failure_domain] = load.free_slots
        return free_by_domain

    def _max_wait_s(self, exchange: request_exchange.Exchange) -> float:
        """Return how long a request may queue and still meet the target for its first token."""
        if exchange.route is None or exchange.cost is None or exchange.model is None:
            return 0.0
        prefill_s = exchange.cost.prompt_tokens / exchange.model.prefill_tokens_per_s
        latest_s = exchange.received_s + exchange.route.first_token_s - prefill_s
        return latest_s - self._context.clock.now_s()

    def _acquire_in_domain(
        self,
        exchange: request_exchange.Exchange,
        domain: str,
        attempt_number: int,
        excluded: tuple[str, ...],
        wait_s: float,
    ) -> LeasedSlot | messages.SlotRefused | None:
        pool = exchange.route.pool if exchange.route and exchange.route.pool else ""
        for owner in self._context.likely_owners(pool_owner.pool_resource(pool, domain)):
            message = self._acquire_message(
                exchange, pool, domain, attempt_number, excluded, wait_s
            )
            try:
                reply = self._context.ask(owner, message, wait_s + REPLY_MARGIN_S)
            except errors.PeerRefusedError:
                continue
            except errors.PeerError:
                self._abandon_lease(message, owner)
                continue
            if isinstance(reply, messages.SlotRefused):
                return reply
            if isinstance(reply, messages.SlotGranted):
                return self._accept_grant(message, owner, reply)
        return None

    def _acquire_message(
        self,
        exchange: request_exchange.Exchange,
        pool: str,
        domain: str,
        attempt_number: int,
        excluded: tuple[str, ...],
        wait_s: float,
    ) -> messages.AcquireSlot:
        completion, cost = exchange.completion, exchange.cost
        prompt = completion.prompt if completion else b""
        # A domain may be asked twice, without and with queueing, so the lease ids must differ.
        queue_mark = "q" if wait_s > 0.0 else "n"
        return messages.AcquireSlot(
            f"{exchange.id}-{attempt_number}{queue_mark}-{domain}",
            pool,
            domain,
            exchange.workspace_name,
            cost.prompt_tokens if cost else 0,
            prefix_affinity.digest_prefixes(prompt),
            wait_s,
            excluded,
            self._context.options.instance,
        )

    def _accept_grant(
        self, message: messages.AcquireSlot, owner: str, grant: messages.SlotGranted
    ) -> LeasedSlot | messages.SlotRefused:
        lease = messages.HeldLease(
            message.lease_id,
            message.pool,
            message.failure_domain,
            message.workspace,
            grant.decode,
        )
        self._context.core.tell(core_events.LeaseTaken(lease))
        by_id = self._context.membership.view.upstream_by_id
        decode, prefill = by_id.get(grant.decode), by_id.get(grant.prefill)
        if decode is None or prefill is None:
            self._abandon_lease(message, owner)
            return messages.SlotRefused(MIN_RETRY_AFTER_S)
        return LeasedSlot(
            message.lease_id, message.pool, message.failure_domain, owner, decode, prefill
        )

    def _abandon_lease(self, message: messages.AcquireSlot, owner: str) -> None:
        self._context.core.tell(core_events.LeaseDropped(message.lease_id))
        release = messages.ReleaseSlot(message.lease_id, message.pool, message.failure_domain, "")
        with contextlib.suppress(errors.PeerError):
            self._context.peers.tell(owner, release)
