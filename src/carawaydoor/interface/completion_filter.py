"""Reads the body of a completion request and reckons its cost."""

from __future__ import annotations

import expression

from carawaydoor.interface import (
    completion_request,
    errors,
    filters,
    instance_context,
    request_exchange,
)

CHAT_PATH = "/chat/completions"


class ReadCompletion(filters.Filter):
    """Checks a completion request against the model that serves it."""

    def __init__(self, context: instance_context.InstanceContext) -> None:
        self._context = context

    def apply(self, exchange: request_exchange.Exchange) -> filters.Passed:
        """Set the completion, its model and its cost."""
        route = exchange.route
        if route is None or route.pool is None:
            return expression.Ok(exchange)
        chat = exchange.inbound.path.endswith(CHAT_PATH)
        parsed = completion_request.parse(exchange.inbound.body, chat)
        if parsed.is_error():
            return expression.Error(parsed.error)
        pool = self._context.catalog.pool_by_name[route.pool]
        if parsed.ok.model != pool.model:
            return expression.Error(
                errors.Refusal(errors.Kind.MODEL_UNKNOWN, "this route does not serve this model")
            )
        exchange.model = self._context.catalog.model_by_name[pool.model]
        exchange.completion = parsed.ok
        exchange.cost = completion_request.cost(parsed.ok, exchange.model)
        if exchange.cost.total > exchange.model.context_tokens:
            detail = f"{exchange.cost.total} tokens exceed {exchange.model.context_tokens}"
            return expression.Error(errors.Refusal(errors.Kind.PROMPT_TOO_LONG, detail))
        return expression.Ok(exchange)
