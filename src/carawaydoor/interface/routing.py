"""Selects the route of a request by path and method."""

from __future__ import annotations

import expression

from carawaydoor.interface import errors, filters, instance_context, request_exchange
from carawaydoor.publishing import config_objects


class RouteFilter(filters.Filter):
    """Selects the route with the longest matching path prefix."""

    def __init__(self, context: instance_context.InstanceContext) -> None:
        self._context = context

    def apply(self, exchange: request_exchange.Exchange) -> filters.FilterResult:
        """Set the route and the deadline of the request."""
        if self._context.configuration.current is None:
            return expression.Error(
                errors.Refusal(
                    errors.Kind.NOT_CONFIGURED, "no configuration is in force", retry_after_s=1.0
                )
            )
        path = exchange.inbound.path
        matching = [each for each in self._context.catalog.routes if _matches(each, path)]
        if not matching:
            return expression.Error(
                errors.Refusal(errors.Kind.ROUTE_UNKNOWN, "no route matches this path")
            )
        allowed = [each for each in matching if exchange.inbound.method in each.methods]
        if not allowed:
            return expression.Error(
                errors.Refusal(
                    errors.Kind.METHOD_NOT_ALLOWED, "no route at this path allows this method"
                )
            )
        exchange.route = allowed[0]
        exchange.deadline_s = exchange.received_s + allowed[0].deadline_s
        return expression.Ok(exchange)


def _matches(route: config_objects.Route, path: str) -> bool:
    base = route.path.rstrip("/")
    return path == route.path or path == base or path.startswith(f"{base}/")
