"""Parses the body of a completion request and computes its maximum cost in tokens."""

from __future__ import annotations

import expression

from carawaydoor.interface import (
    completion_request,
    errors,
    filters,
    instance_context,
    request_exchange,
)

CHAT_PATH_SUFFIX = "/chat/completions"


class CompletionFilter(filters.Filter):
    """Validates a completion request against the model of its route."""

    def __init__(self, context: instance_context.InstanceContext) -> None:
        self._context = context

    def apply(self, exchange: request_exchange.Exchange) -> filters.FilterResult:
        """Set the completion, the model and the cost of the request."""
        route = exchange.route
        if route is None or route.pool is None:
            return expression.Ok(exchange)
        is_chat = exchange.inbound.path.endswith(CHAT_PATH_SUFFIX)
        parsed = completion_request.parse(exchange.inbound.body, is_chat)
        if parsed.is_error():
            return expression.Error(parsed.error)
        pool = self._context.catalog.pool_by_name[route.pool]
        if parsed.ok.model != pool.model:
            return expression.Error(
                errors.Refusal(
                    errors.Kind.MODEL_UNKNOWN, "this route does not serve the requested model"
                )
            )
        exchange.model = self._context.catalog.model_by_name[pool.model]
        exchange.completion = parsed.ok
        exchange.cost = completion_request.max_cost(parsed.ok, exchange.model)
        if exchange.cost.total > exchange.model.context_tokens:
            detail = (
                f"{exchange.cost.total} tokens exceed the context length of "
                f"{exchange.model.context_tokens}"
            )
            return expression.Error(errors.Refusal(errors.Kind.PROMPT_TOO_LONG, detail))
        return expression.Ok(exchange)
