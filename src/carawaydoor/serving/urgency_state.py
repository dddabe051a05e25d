"""The priorities of requests at one instance, and the order of those that wait."""

from __future__ import annotations

import contextlib
from collections.abc import Callable, Mapping

from carawaydoor.policy import capacity_wait, entities, urgency
from carawaydoor.serving import generation_queue, http_exchange


class UrgencyState:
    """Knows which services have requests of more than one priority, and queues these requests."""

    def __init__(self) -> None:
        self._priorities_by_service: Mapping[str, urgency.Priorities] = {}
        self._queue = generation_queue.GenerationQueue()

    def adopt(self, configuration: entities.Configuration) -> None:
        """Use the priorities of a new configuration."""
        self._priorities_by_service = urgency.priorities_by_service(configuration)

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

    def turn(
        self,
        exchange: http_exchange.HttpExchange,
        prompt: entities.Prompt,
        terms: capacity_wait.WaitTerms,
        wake_waiting: Callable[[], None],
    ) -> contextlib.AbstractContextManager[generation_queue.Turn]:
        """Queue a generation until it has room or is refused.

        :param wake_waiting: wakes the generations that wait for work to end
        """
        priorities, service = self._priorities(exchange), exchange.service
        if not priorities or service is None:
            return contextlib.nullcontext(generation_queue.FreeTurn())
        priority = _priority(exchange)
        claim = capacity_wait.Claim(
            service.name,
            priority,
            urgency.rank(priorities, priority),
            terms.is_late,
            exchange.received_s,
            self._queue.next_number(),
            prompt.mean_kv_tokens,
            exchange.placement_version,
        )
        return generation_queue.RankedTurn(self._queue, claim, wake_waiting).queued()

    def _priorities(self, exchange: http_exchange.HttpExchange) -> urgency.Priorities:
        """Return the priorities of the service of a request, empty if there is only one."""
        service = exchange.service
        return () if service is None else self._priorities_by_service.get(service.name, ())


def _priority(exchange: http_exchange.HttpExchange) -> int:
    assert exchange.route is not None
    return urgency.priority_of(exchange.route, exchange.workspace)
