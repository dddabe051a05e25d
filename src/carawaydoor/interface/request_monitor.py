"""Breaks off requests whose caller has gone, whose deadline passed or whose key was withdrawn."""

from __future__ import annotations

import threading
from typing import Final

from carawaydoor.interface import authentication, instance_context, request_exchange
from carawaydoor.operating import task

INTERVAL_S: Final = 0.1


class RequestMonitor(task.PeriodicTask):
    """Watches every request at work."""

    def __init__(self, context: instance_context.InstanceContext) -> None:
        super().__init__("supervisor", INTERVAL_S)
        self._context = context
        self._exchange_by_id: dict[str, request_exchange.Exchange] = {}
        self._withdrawn_since_by_id: dict[str, float] = {}
        self._lock = threading.Lock()

    @property
    def active_request_count(self) -> int:
        """The number of requests at work."""
        return len(self._exchange_by_id)

    def watch(self, exchange: request_exchange.Exchange) -> None:
        """Begin to watch a request."""
        with self._lock:
            self._exchange_by_id[exchange.id] = exchange

    def forget(self, exchange: request_exchange.Exchange) -> None:
        """Stop watching a request that has ended."""
        with self._lock:
            self._exchange_by_id.pop(exchange.id, None)
            self._withdrawn_since_by_id.pop(exchange.id, None)

    def run_iteration(self) -> None:
        """Check every request once."""
        now_s = self._context.clock.now_s()
        with self._lock:
            watched = list(self._exchange_by_id.values())
        for exchange in watched:
            reason = self._reason(exchange, now_s)
            if reason is not None:
                exchange.cancel.set(reason)

    def _reason(
        self, exchange: request_exchange.Exchange, now_s: float
    ) -> request_exchange.Cancellation | None:
        if exchange.inbound.is_gone():
            return request_exchange.Cancellation.CALLER_GONE
        if now_s > exchange.deadline_s:
            return request_exchange.Cancellation.DEADLINE
        if self._is_withdrawn(exchange, now_s):
            return request_exchange.Cancellation.KEY_WITHDRAWN
        return None

    def _is_withdrawn(self, exchange: request_exchange.Exchange, now_s: float) -> bool:
        if not exchange.key_digest:
            return False
        if authentication.is_valid(self._context.configuration, exchange.key_digest):
            return False
        since_s = self._withdrawn_since_by_id.setdefault(exchange.id, now_s)
        return now_s - since_s >= self._context.options.withdrawal_grace_s
