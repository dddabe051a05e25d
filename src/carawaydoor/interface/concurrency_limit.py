"""Bounds the model requests at work at once, so that threads are left for plain requests."""

from __future__ import annotations

import threading

import expression

from carawaydoor.interface import errors, filters, instance_context, request_exchange

RETRY_S = 0.5


class LimitModelRequests(filters.Filter):
    """Refuses a model request at once where too many are at work."""

    def __init__(self, context: instance_context.InstanceContext) -> None:
        self._free = threading.BoundedSemaphore(context.options.max_model_requests)

    def apply(self, exchange: request_exchange.Exchange) -> filters.Passed:
        """Take a place that the request gives back when it ends."""
        if exchange.route is None or exchange.route.pool is None:
            return expression.Ok(exchange)
        if not self._free.acquire(blocking=False):
            return expression.Error(
                errors.Refusal(
                    errors.Kind.INSTANCE_BUSY,
                    "this instance serves as many model requests as it may",
                    retry_after_s=RETRY_S,
                )
            )
        exchange.cleanup.callback(self._free.release)
        return expression.Ok(exchange)
