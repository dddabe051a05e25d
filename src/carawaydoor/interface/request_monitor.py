"""Cancels requests whose caller disconnected, deadline passed or API key was withdrawn."""

from __future__ import annotations

import threading
from typing import Final

from carawaydoor.interface import authentication, instance_context, request_exchange
from carawaydoor.operating import task

CHECK_INTERVAL_S: Final = 0.1


class RequestMonitor(task.PeriodicTask):
    """Monitors every active request."""

    def __init__(self, context: instance_context.InstanceContext) -> None:
        super().__init__("supervisor", CHECK_INTERVAL_S)
        self._context = context
        self._exchange_by_id: dict[str, request_exchange.Exchange] = {}
        self._withdrawn_since_by_id: dict[str, float] = {}
        self._lock = threading.Lock()

    @property
    def active_request_count(self) -> int:
        """Number of active requests."""
        return len(self._exchange_by_id)

    def watch(self, exchange: request_exchange.Exchange) -> None:
        """Start monitoring a request."""
        with self._lock:
            self._exchange_by_id[exchange.id] = exchange

    def forget(self, exchange: request_exchange.Exchange) -> None:
        """Stop monitoring a request that has ended."""
        with self._lock:
            self._exchange_by_id.pop(exchange.id, None)
            self._withdrawn_since_by_id.pop(exchange.id, None)

    def run_iteration(self) -> None:
        """Check every active request and cancel it if there is a reason to."""
        now_s = self._context.clock.now_s()
        with self._lock:
            watched = list(self._exchange_by_id.values())
        for exchange in watched:
            reason = self._cancel_reason(exchange, now_s)
            if reason is not None:
                exchange.cancel_token.cancel(reason)

    def _cancel_reason(
        self, exchange: request_exchange.Exchange, now_s: float
    ) -> request_exchange.CancelReason | None:
        if exchange.inbound.is_disconnected():
            return request_exchange.CancelReason.CALLER_GONE
        if now_s > exchange.deadline_s:
            return request_exchange.CancelReason.DEADLINE
        if self._is_key_withdrawn(exchange, now_s):
            return request_exchange.CancelReason.KEY_WITHDRAWN
        return None

    def _is_key_withdrawn(self, exchange: request_exchange.Exchange, now_s: float) -> bool:
        """Return whether the API key was found withdrawn at least ``withdrawal_grace_s`` ago."""
        if not exchange.key_digest:
            return False
        if authentication.is_key_valid(self._context.configuration, exchange.key_digest):
            return False
        since_s = self._withdrawn_since_by_id.setdefault(exchange.id, now_s)
        return now_s - since_s >= self._context.options.withdrawal_grace_s
