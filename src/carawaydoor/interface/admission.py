"""Admits a request if the token budget of its workspace allows it."""

from __future__ import annotations

import contextlib
import dataclasses

import expression

from carawaydoor.coordination import budgets, messages
from carawaydoor.interface import errors, filters, instance_context, request_exchange

GRANT_TIMEOUT_S = 0.75
UNAVAILABLE_RETRY_AFTER_S = 1.0
MAX_OWNER_SEARCHES = 4
OWNER_SEARCH_DELAY_S = 0.15


@dataclasses.dataclass(frozen=True, slots=True)
class TokenGrant:
    """A token grant and the instance that issued it."""

    owner: str
    message: messages.TokensGranted
    pooled: bool


GrantResult = expression.Result[TokenGrant, errors.Refusal]


class AdmissionFilter(filters.Filter):
    """Reserves the tokens of a request at the owner of its workspace's budget."""

    def __init__(self, context: instance_context.InstanceContext) -> None:
        self._context = context

    def apply(self, exchange: request_exchange.Exchange) -> filters.FilterResult:
        """Reserve the maximum cost; unused tokens are returned when the request ends."""
        if exchange.cost is None:
            return expression.Ok(exchange)
        result = self._reserve_pooled_or_domain(exchange)
        for _ in range(MAX_OWNER_SEARCHES - 1):
            if result.is_ok() or result.error.kind is not errors.Kind.BUDGET_UNAVAILABLE:
                break
            if exchange.cancel_token.wait(OWNER_SEARCH_DELAY_S):
                break
            result = self._reserve_pooled_or_domain(exchange)
        if result.is_error():
            return expression.Error(result.error)
        return self._wait_for_start(exchange, result.ok)

    def _reserve_pooled_or_domain(self, exchange: request_exchange.Exchange) -> GrantResult:
        """Reserve from the pooled share of the budget.

        If the owner of that share is unreachable, reserve from the share of this failure domain. A
        cost above the burst of that smaller share is refused as temporarily unavailable, since the
        pooled share may still grant it.
        """
        pooled = self._reserve_from_share(exchange, pooled=True)
        if pooled.is_ok() or pooled.error.kind is not errors.Kind.BUDGET_UNAVAILABLE:
            return pooled
        own_domain = self._reserve_from_share(exchange, pooled=False)
        if own_domain.is_error() and own_domain.error.kind is errors.Kind.BURST_EXCEEDED:
            return pooled
        return own_domain

    def _wait_for_start(
        self, exchange: request_exchange.Exchange, grant: TokenGrant
    ) -> filters.FilterResult:
        exchange.cleanup.callback(self._settle_grant, exchange, grant)
        if grant.message.start_in_s > 0.0 and exchange.cancel_token.wait(grant.message.start_in_s):
            reason = exchange.cancel_token.reason or request_exchange.CancelReason.CALLER_GONE
            return expression.Error(
                request_exchange.cancellation_refusal(reason, errors.Ran.NOT_RUN)
            )
        return expression.Ok(exchange)

    def _reserve_from_share(self, exchange: request_exchange.Exchange, pooled: bool) -> GrantResult:
        context = self._context
        scope = budgets.POOLED if pooled else context.options.failure_domain
        share = budgets.Share(exchange.workspace_name, scope)
        for owner in context.likely_owners(share.resource):
            result = self._ask_owner(exchange, owner, pooled)
            if result is not None:
                return result
        return expression.Error(
            errors.Refusal(
                errors.Kind.BUDGET_UNAVAILABLE,
                "the owner of this workspace's budget is unreachable",
                retry_after_s=UNAVAILABLE_RETRY_AFTER_S,
            )
        )

    def _ask_owner(
        self, exchange: request_exchange.Exchange, owner: str, pooled: bool
    ) -> GrantResult | None:
        """Return the reply of an instance, None if it gave no timely reply or is not the owner."""
        cost = exchange.cost
        if cost is None:
            return None
        tokens = float(cost.total)
        message = messages.ReserveTokens(
            exchange.id, exchange.workspace_name, tokens, tokens, pooled
        )
        asked_s = self._context.clock.now_s()
        with contextlib.suppress(errors.PeerError):
            reply = self._context.ask(owner, message, GRANT_TIMEOUT_S)
            is_late = self._context.clock.now_s() - asked_s > GRANT_TIMEOUT_S
            if isinstance(reply, messages.TokensGranted) and not is_late:
                return expression.Ok(TokenGrant(owner, reply, pooled))
            if isinstance(reply, messages.TokensRefused):
                return expression.Error(_rate_refusal(reply))
        return None

    def _settle_grant(self, exchange: request_exchange.Exchange, grant: TokenGrant) -> None:
        cost = exchange.cost
        if cost is None:
            return
        unused = float(cost.total - exchange.tokens_used)
        message = messages.SettleTokens(
            exchange.id,
            exchange.workspace_name,
            unused,
            grant.pooled,
            grant.message.incarnation,
        )
        self._context.peers.tell(grant.owner, message)
        self._context.metrics.tokens.add(
            exchange.tokens_used, {"workspace": exchange.workspace_name}
        )


def _rate_refusal(reply: messages.TokensRefused) -> errors.Refusal:
    if reply.retry_after_s < 0.0:
        return errors.Refusal(
            errors.Kind.BURST_EXCEEDED, "the request exceeds the burst of its workspace"
        )
    return errors.Refusal(
        errors.Kind.RATE_EXCEEDED,
        "the workspace has used up its token rate",
        retry_after_s=max(reply.retry_after_s, 0.05),
    )
