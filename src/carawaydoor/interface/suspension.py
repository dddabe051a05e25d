"""Refuses requests that repeatedly crashed upstreams."""

from __future__ import annotations

import concurrent.futures

import expression

from carawaydoor.coordination import cluster_view, core_events, messages
from carawaydoor.interface import errors, filters, instance_context, request_exchange
from carawaydoor.policy import strikes

BROADCAST_TIMEOUT_S = 0.3
STRIKE_PERIOD_S = 5.0


class SuspensionFilter(filters.Filter):
    """Refuses suspended requests."""

    def __init__(self, context: instance_context.InstanceContext) -> None:
        self._context = context

    def apply(self, exchange: request_exchange.Exchange) -> filters.FilterResult:
        """Set the fingerprint of the request, and refuse it if it is suspended."""
        inbound = exchange.inbound
        request_line = f"{inbound.method} {inbound.path}?{inbound.query}\n".encode()
        exchange.fingerprint = strikes.fingerprint(
            exchange.workspace_name, request_line + inbound.body
        )
        refusal = suspension_refusal(self._context, exchange)
        if refusal is not None:
            return expression.Error(refusal)
        return expression.Ok(exchange)


def suspension_refusal(
    context: instance_context.InstanceContext, exchange: request_exchange.Exchange
) -> errors.Refusal | None:
    """Return the refusal of a suspended request, None if the request is not suspended."""
    if not exchange.fingerprint:
        return None
    current_strikes = context.state().strikes
    remaining_s = strikes.suspended_for_s(
        current_strikes, context.clock.now_s(), exchange.fingerprint
    )
    if remaining_s <= 0.0:
        return None
    detail = "several upstreams failed while they ran this request"
    return errors.Refusal(errors.Kind.REQUEST_SUSPENDED, detail, retry_after_s=remaining_s)


def broadcast_strike(
    context: instance_context.InstanceContext, exchange: request_exchange.Exchange, upstream: str
) -> None:
    """Notify every live instance that an upstream failed while it ran a request.

    Several equal requests may be running on the upstream when it fails. They count as one strike,
    as they share a strike id, which consists of the upstream and the current period of
    ``STRIKE_PERIOD_S``.

    The call waits until all instances have acknowledged, but at most ``BROADCAST_TIMEOUT_S``: a
    caller may retry through another instance at once, and the strike must count there.
    """
    period = int(context.clock.wall_s() / STRIKE_PERIOD_S)
    message = messages.AddStrike(exchange.fingerprint, f"{upstream}@{period}")
    context.core.tell(core_events.Received(message))
    others = [
        each.id
        for each in context.membership.view.instance_by_id.values()
        if each.id != context.options.instance and each.presence is cluster_view.Presence.LIVE
    ]
    replies = [context.peers.ask(each, message) for each in others]
    concurrent.futures.wait(replies, BROADCAST_TIMEOUT_S)
