"""Limits concurrent model requests, so that threads remain for plain requests."""

from __future__ import annotations

import threading

import expression

from carawaydoor.interface import errors, filters, instance_context, request_exchange

RETRY_AFTER_S = 0.5


class ConcurrencyFilter(filters.Filter):
    """Refuses a model request if the maximum number is already in progress."""

    def __init__(self, context: instance_context.InstanceContext) -> None:
        self._permits = threading.BoundedSemaphore(context.options.max_model_requests)

    def apply(self, exchange: request_exchange.Exchange) -> filters.FilterResult:
        """Acquire a permit, which is released when the request ends."""
        if exchange.route is None or exchange.route.pool is None:
            return expression.Ok(exchange)
        if not self._permits.acquire(blocking=False):
            return expression.Error(
                errors.Refusal(
                    errors.Kind.INSTANCE_BUSY,
                    "this instance is serving its maximum number of model requests",
                    retry_after_s=RETRY_AFTER_S,
                )
            )
        exchange.cleanup.callback(self._permits.release)
        return expression.Ok(exchange)
