"""The priorities of requests at one instance."""

from __future__ import annotations

from collections.abc import Mapping

from carawaydoor.policy import entities, urgency
from carawaydoor.serving import http_exchange


class UrgencyState:
    """Knows which services have requests of more than one priority."""

    def __init__(self) -> None:
        self._priorities_by_service: Mapping[str, urgency.Priorities] = {}

    def adopt(self, configuration: entities.Configuration) -> None:
        """Use the priorities of a new configuration."""
        self._priorities_by_service = urgency.priorities_by_service(configuration)

    def priority_for_engines(self, exchange: http_exchange.HttpExchange) -> int | None:
        """Return the priority to tell engines, None if all requests of the service have the same."""
        route, service = exchange.route, exchange.service
        if route is None or service is None or service.name not in self._priorities_by_service:
            return None
        return urgency.engine_priority(urgency.priority_of(route, exchange.workspace))
