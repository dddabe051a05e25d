"""Orders engines to change between the prefill and the decode stage, in a background thread."""

from __future__ import annotations

import threading
from typing import Final

import eliot

from carawaydoor.policy import entities, stage_balance
from carawaydoor.serving import connections, instance_state, protocol_adapter, sockets

OBSERVATION_INTERVAL_S: Final = 0.4
REQUEST_TIMEOUT_S: Final = 0.8


class StageBalancer:
    """Observes the load of each service's stages and sends the orders that are due.

    Every instance observes; only the leader of a stable fleet sends orders.
    """

    def __init__(
        self, instance: instance_state.InstanceState, adapter: protocol_adapter.ProtocolAdapter
    ) -> None:
        self._instance = instance
        self._adapter = adapter
        self._stop_requested = threading.Event()
        self._thread = threading.Thread(target=self._run, name="balancer", daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def _run(self) -> None:
        while not self._stop_requested.wait(OBSERVATION_INTERVAL_S):
            try:
                for order in self._instance.balance_stages():
                    self._send_order(order)
            except Exception:
                eliot.write_traceback()

    def _send_order(self, order: stage_balance.StageOrder) -> None:
        upstream = order.upstream
        if (
            self._instance.selector.turned_away.remaining_s(upstream) > 0.0
            or self._instance.upstream_limiter.limit_per_s(upstream) is not None
            or self._instance.evacuation.is_evacuated(upstream)
        ):
            # What it still takes is left to the callers.
            return
        revision = self._instance.directory.revision
        epoch = stage_balance.fencing_epoch(revision, self._instance.options.instance)
        outcome = protocol_adapter.OrderOutcome.UNANSWERED
        try:
            report = self._fetch_report(upstream)
            if report.is_busy or report.stage is not upstream.stage:
                outcome = protocol_adapter.OrderOutcome.NOT_NEEDED
            elif self._instance.may_issue_orders():
                request = self._adapter.encode_order(
                    upstream,
                    order.stage,
                    self._instance.options.instance,
                    epoch,
                    report.orders_accepted,
                )
                outcome = self._adapter.parse_order_outcome(
                    self._send_request(upstream, request)[0]
                )
        except (connections.UpstreamConnectionError, sockets.WaitAbortedError) as error:
            eliot.log_message(message_type="order_failed", upstream=upstream.id, detail=repr(error))
        if outcome is protocol_adapter.OrderOutcome.FENCED:
            self._instance.selector.pause_orders(upstream.service)
        if outcome in (
            protocol_adapter.OrderOutcome.ACCEPTED,
            protocol_adapter.OrderOutcome.UNANSWERED,
        ):
            self._instance.selector.pause(upstream.id)
        eliot.log_message(
            message_type="stage_ordered",
            upstream=upstream.id,
            service=upstream.service,
            stage=order.stage.value,
            epoch=epoch,
            reading=round(order.utilisation.prefill, 3),
            generating=round(order.utilisation.decode, 3),
            outcome=outcome.value,
        )

    def _fetch_report(self, upstream: entities.Upstream) -> protocol_adapter.EngineReport:
        _, content = self._send_request(upstream, self._adapter.encode_report_request(upstream))
        report = self._adapter.parse_report(content)
        if report is None:
            raise connections.MalformedResponseError("the engine's report is malformed")
        return report

    def _send_request(
        self, upstream: entities.Upstream, request: protocol_adapter.EncodedRequest
    ) -> tuple[int, bytes]:
        clock = self._instance.clock
        wait_limit = sockets.CallerWaitLimit(
            clock, clock.now_s() + REQUEST_TIMEOUT_S, lambda: False
        )
        connection = self._instance.connection_pool.acquire(upstream)
        try:
            response = connection.send(request, wait_limit)
            content = response.read()
        except (connections.UpstreamConnectionError, sockets.WaitAbortedError):
            connection.close()
            raise
        self._instance.connection_pool.release(connection, response)
        return response.status, content
