"""Admits a request into the budget of its workspace."""

from __future__ import annotations

import contextlib
import dataclasses

import expression

from carawaydoor.coordination import budgets, messages
from carawaydoor.interface import errors, filters, instance_context, request_exchange

GRANT_TIMEOUT_S = 0.75
UNAVAILABLE_RETRY_S = 1.0
MAX_SEARCHES = 4
SEARCH_PAUSE_S = 0.15


@dataclasses.dataclass(frozen=True, slots=True)
class Granted:
    """A grant with the instance that made it."""

    owner: str
    message: messages.TokensGranted
    pooled: bool


Granting = expression.Result[Granted, errors.Refusal]


class Admit(filters.Filter):
    """Reserves the tokens of a request at the owner of the budget."""

    def __init__(self, context: instance_context.InstanceContext) -> None:
        self._context = context

    def apply(self, exchange: request_exchange.Exchange) -> filters.Passed:
        """Reserve the whole cost; what is not used goes back when the request ends."""
        if exchange.cost is None:
            return expression.Ok(exchange)
        result = self._reserve_any(exchange)
        for _ in range(MAX_SEARCHES - 1):
            if result.is_ok() or result.error.kind is not errors.Kind.BUDGET_UNAVAILABLE:
                break
            if exchange.cancel.wait(SEARCH_PAUSE_S):
                break
            result = self._reserve_any(exchange)
        if result.is_error():
            return expression.Error(result.error)
        return self._start(exchange, result.ok)

    def _reserve_any(self, exchange: request_exchange.Exchange) -> Granting:
        """Reserve from the pooled share; where it can't be reached, from that of this domain."""
        pooled = self._reserve(exchange, pooled=True)
        if pooled.is_ok() or pooled.error.kind is not errors.Kind.BUDGET_UNAVAILABLE:
            return pooled
        standing = self._reserve(exchange, pooled=False)
        if standing.is_error() and standing.error.kind is errors.Kind.BURST_EXCEEDED:
            return pooled
        return standing

    def _start(self, exchange: request_exchange.Exchange, granted: Granted) -> filters.Passed:
        exchange.cleanup.callback(self._settle, exchange, granted)
        if granted.message.start_in_s > 0.0 and exchange.cancel.wait(granted.message.start_in_s):
            reason = exchange.cancel.reason or request_exchange.Cancellation.CALLER_GONE
            return expression.Error(request_exchange.refusal_of(reason, errors.Ran.NOT_RUN))
        return expression.Ok(exchange)

    def _reserve(self, exchange: request_exchange.Exchange, pooled: bool) -> Granting:
        context = self._context
        scope = budgets.POOLED if pooled else context.options.failure_domain
        share = budgets.Share(exchange.workspace_name, scope)
        for owner in context.likely_owners(share.resource):
            result = self._ask(exchange, owner, pooled)
            if result is not None:
                return result
        return expression.Error(
            errors.Refusal(
                errors.Kind.BUDGET_UNAVAILABLE,
                "the budget of this workspace can't be reached",
                retry_after_s=UNAVAILABLE_RETRY_S,
            )
        )

    def _ask(
        self, exchange: request_exchange.Exchange, owner: str, pooled: bool
    ) -> Granting | None:
        """Return the answer of an instance, None if it is not the owner."""
        cost = exchange.cost
        if cost is None:
            return None
        tokens = float(cost.total)
        message = messages.ReserveTokens(
            exchange.id, exchange.workspace_name, tokens, tokens, pooled
        )
        asked_s = self._context.clock.now_s()
        with contextlib.suppress(errors.PeerError):
            answer = self._context.ask(owner, message, GRANT_TIMEOUT_S)
            late = self._context.clock.now_s() - asked_s > GRANT_TIMEOUT_S
            if isinstance(answer, messages.TokensGranted) and not late:
                return expression.Ok(Granted(owner, answer, pooled))
            if isinstance(answer, messages.TokensRefused):
                return expression.Error(_refusal(answer))
        return None

    def _settle(self, exchange: request_exchange.Exchange, granted: Granted) -> None:
        cost = exchange.cost
        if cost is None:
            return
        unused = float(cost.total - exchange.tokens_used)
        message = messages.SettleTokens(
            exchange.id,
            exchange.workspace_name,
            unused,
            granted.pooled,
            granted.message.incarnation,
        )
        self._context.peers.tell(granted.owner, message)
        self._context.metrics.tokens.add(
            exchange.tokens_used, {"workspace": exchange.workspace_name}
        )


def _refusal(answer: messages.TokensRefused) -> errors.Refusal:
    if answer.retry_after_s < 0.0:
        return errors.Refusal(
            errors.Kind.BURST_EXCEEDED, "the request is larger than the burst of its workspace"
        )
    return errors.Refusal(
        errors.Kind.RATE_EXCEEDED,
        "the workspace has used its rate",
        retry_after_s=max(answer.retry_after_s, 0.05),
    )
