"""Refuses requests that have brought down upstreams."""

from __future__ import annotations

import concurrent.futures

import expression

from carawaydoor.coordination import cluster_view, core_events, messages
from carawaydoor.interface import errors, filters, instance_context, request_exchange
from carawaydoor.policy import strikes

BROADCAST_TIMEOUT_S = 0.3
SAME_FAILURE_S = 5.0


class CheckStrikes(filters.Filter):
    """Refuses a request that is suspended."""

    def __init__(self, context: instance_context.InstanceContext) -> None:
        self._context = context

    def apply(self, exchange: request_exchange.Exchange) -> filters.Passed:
        """Pass a request that is not suspended."""
        inbound = exchange.inbound
        line = f"{inbound.method} {inbound.path}?{inbound.query}\n".encode()
        exchange.fingerprint = strikes.fingerprint(exchange.workspace_name, line + inbound.body)
        refusal = suspended(self._context, exchange)
        if refusal is not None:
            return expression.Error(refusal)
        return expression.Ok(exchange)


def suspended(
    context: instance_context.InstanceContext, exchange: request_exchange.Exchange
) -> errors.Refusal | None:
    """Return the refusal of a request that is suspended, else None."""
    if not exchange.fingerprint:
        return None
    known = context.state().strikes
    seconds = strikes.suspended_for_s(known, context.clock.now_s(), exchange.fingerprint)
    if seconds <= 0.0:
        return None
    detail = "upstreams failed each time they ran this request"
    return errors.Refusal(errors.Kind.REQUEST_SUSPENDED, detail, retry_after_s=seconds)


def strike(
    context: instance_context.InstanceContext, exchange: request_exchange.Exchange, upstream: str
) -> None:
    """Tell every reachable instance that an upstream failed while it ran a request.

    Equal requests that one upstream ran as it failed count as one strike. Returns when all have
    acknowledged, or after ``BROADCAST_TIMEOUT_S``: a caller that sends the request again through
    another instance must meet the strike there.
    """
    period = int(context.clock.wall_s() / SAME_FAILURE_S)
    message = messages.AddStrike(exchange.fingerprint, f"{upstream}@{period}")
    context.core.tell(core_events.Received(message))
    others = [
        each.id
        for each in context.membership.view.instance_by_id.values()
        if each.id != context.options.instance and each.presence is cluster_view.Presence.LIVE
    ]
    answers = [context.peers.ask(each, message) for each in others]
    concurrent.futures.wait(answers, BROADCAST_TIMEOUT_S)
