"""Has decode engines hold memory for generations whose prompts are not prefilled yet."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable
from typing import Final

import eliot

from carawaydoor.policy import entities
from carawaydoor.serving import (
    connections,
    http_exchange,
    instance_state,
    protocol_adapter,
    sockets,
)

# An engine responds without waiting for a slot, so a longer silence is a failure.
CALL_TIMEOUT_S: Final = 0.3


@dataclasses.dataclass(slots=True)
class Hold:
    """Memory that an engine holds for one generation.

    :ivar is_used: whether the generation was offered to the engine, which ends the hold
    """

    upstream: entities.Upstream
    id: str
    is_used: bool = False


class MemoryHolds:
    """Takes and releases the holds of one instance."""

    def __init__(
        self, instance: instance_state.InstanceState, adapter: protocol_adapter.ProtocolAdapter
    ) -> None:
        self._instance = instance
        self._adapter = adapter

    def take(
        self,
        exchange: http_exchange.HttpExchange,
        connection: connections.Connection,
        tokens: int,
        ttl_s: float,
    ) -> tuple[protocol_adapter.HoldOutcome, Hold | None]:
        """Ask an engine to hold memory; the hold is released at the end of the request if unused.

        :param connection: connection to the engine; it goes back to the pool if the engine refuses, and is
            closed if it can't be used again
        :param tokens: tokens that the generation takes up in the KV cache
        :param ttl_s: time in seconds after which the engine releases what was not used
        """
        upstream = connection.upstream
        request = self._adapter.encode_hold(upstream, tokens, ttl_s)
        try:
            response, content = self._call(connection, request, exchange.inbound.is_gone)
        except (connections.UpstreamConnectionError, sockets.WaitAbortedError) as error:
            self._record(
                exchange, upstream, protocol_adapter.HoldOutcome.FAILED, tokens, repr(error)
            )
            return protocol_adapter.HoldOutcome.FAILED, None
        outcome, hold_id = self._adapter.parse_hold(response.status, content)
        if outcome is protocol_adapter.HoldOutcome.REFUSED:
            self._instance.connection_pool.release(connection, response)
        elif response.max_idle_s is None:
            connection.close()
        self._record(exchange, upstream, outcome, tokens, f"status {response.status}")
        if outcome is not protocol_adapter.HoldOutcome.TAKEN:
            return outcome, None
        hold = Hold(upstream, hold_id)
        exchange.cleanup.callback(self._release_unused, hold)
        return outcome, hold

    def _release_unused(self, hold: Hold) -> None:
        """Release a hold; if this fails, its engine does so by itself when its time is over."""
        if hold.is_used:
            return
        hold.is_used = True
        if self._instance.upstream_limiter.limit_per_s(hold.upstream) is not None:
            # What the engine still takes is left to the callers.
            eliot.log_message(
                message_type="hold_not_released", upstream=hold.upstream.id, detail="limited"
            )
            return
        request = self._adapter.encode_hold_release(hold.upstream, hold.id)
        try:
            connection = self._instance.connection_pool.acquire(hold.upstream)
            response, _ = self._call(connection, request, lambda: False)
        except (connections.UpstreamConnectionError, sockets.WaitAbortedError) as error:
            eliot.log_message(
                message_type="hold_not_released", upstream=hold.upstream.id, detail=repr(error)
            )
            return
        self._instance.connection_pool.release(connection, response)

    def _call(
        self,
        connection: connections.Connection,
        request: protocol_adapter.EncodedRequest,
        is_gone: Callable[[], bool],
    ) -> tuple[connections.UpstreamResponse, bytes]:
        clock = self._instance.clock
        wait_limit = sockets.CallerWaitLimit(clock, clock.now_s() + CALL_TIMEOUT_S, is_gone)
        try:
            response = connection.send(request, wait_limit)
            return response, response.read()
        except (connections.UpstreamConnectionError, sockets.WaitAbortedError):
            connection.close()
            raise

    def _record(
        self,
        exchange: http_exchange.HttpExchange,
        upstream: entities.Upstream,
        outcome: protocol_adapter.HoldOutcome,
        tokens: int,
        detail: str,
    ) -> None:
        self._instance.metrics.memory_holds.add(
            1, {"service": upstream.service, "outcome": outcome.value}
        )
        if outcome is protocol_adapter.HoldOutcome.TAKEN:
            return
        eliot.log_message(
            message_type="hold_not_taken",
            request=exchange.inbound.id,
            upstream=upstream.id,
            outcome=outcome.value,
            tokens=tokens,
            known_load=dataclasses.astuple(self._instance.selector.load.at(upstream.id)),
            detail=detail,
        )
