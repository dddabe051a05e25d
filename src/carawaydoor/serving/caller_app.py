"""The WSGI application that serves callers."""

from __future__ import annotations

import contextlib
import http.client
import json
from collections.abc import Callable, Iterable
from typing import Any, Final

import eliot
import expression

from carawaydoor.policy import entities
from carawaydoor.serving import (
    generation_handler,
    http_exchange,
    instance_state,
    peer_forwarding,
    plain_handler,
    protocol_adapter,
    refusals,
    request_filters,
    response_body,
    stream_resumption,
    upstream_client,
    upstream_limiter,
)

Environ = dict[str, Any]
StartResponse = Callable[[str, list[tuple[str, str]]], object]

# Applies until the route of the request, which sets the deadline, is known.
DEFAULT_CALLER_TIMEOUT_S: Final = 30.0
# By then the links may be back: they are probed twice a second.
CUT_OFF_RETRY_AFTER_S: Final = 1.0


class CallerApp:
    """Passes each request through the filters to the handler that produces the response.

    :param is_for_peers: whether the requests come from peers, which have counted and charged them
    """

    def __init__(
        self,
        instance: instance_state.InstanceState,
        adapter: protocol_adapter.ProtocolAdapter,
        is_for_peers: bool = False,
    ) -> None:
        self._instance = instance
        self._adapter = adapter
        self._is_for_peers = is_for_peers
        self._forwarder = peer_forwarding.PeerForwarder(instance, adapter)
        client = upstream_client.UpstreamClient(instance, adapter)
        filters: tuple[request_filters.Filter, ...] = (
            request_filters.RouteFilter(instance),
            request_filters.DrainFilter(instance),
            request_filters.AuthenticationFilter(instance),
            stream_resumption.ResumptionFilter(instance),
            request_filters.SuspensionFilter(instance),
        )
        self._filters = (
            filters if is_for_peers else (*filters, request_filters.AdmissionFilter(instance))
        )
        self._plain_handler = plain_handler.PlainHandler(instance, client, adapter)
        self._generation_handler = generation_handler.GenerationHandler(instance, client, adapter)

    def __call__(self, environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
        """Serve one request."""
        decoded = self._adapter.decode_request(environ)
        if decoded.is_error():
            return self._refuse(decoded.error, None, start_response)
        now_s = self._instance.clock.now_s()
        permits = upstream_limiter.RequestPermits(self._instance.upstream_limiter)
        exchange = http_exchange.HttpExchange(
            decoded.ok, now_s, now_s + DEFAULT_CALLER_TIMEOUT_S, contextlib.ExitStack(), permits
        )
        exchange.is_forwarded = self._is_for_peers
        exchange.find_regions = self._instance.eligibility.regions
        exchange.cleanup.callback(permits.close)
        self._instance.begin_request()
        try:
            return self._respond(exchange, start_response)
        except BaseException:
            # The HTTP server gets no body, at whose end this would be done.
            self._end_request(exchange)
            raise

    def _respond(
        self, exchange: http_exchange.HttpExchange, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Handle a request and return the body of the response."""
        try:
            result = self._filter_and_handle(exchange)
        except Exception:
            eliot.write_traceback()
            result = request_filters.internal_error()
        if result.is_error():
            return self._refuse(result.error, exchange, start_response)
        response = result.ok
        headers = list(self._adapter.caller_headers(response.headers))
        if response.length is not None:
            headers.append(("Content-Length", str(response.length)))
        self._start_response(start_response, response.status, response.reason, headers)
        first_byte_s = self._instance.clock.now_s() - exchange.received_s
        route = exchange.route.name if exchange.route else ""
        self._instance.metrics.first_byte_seconds.record(first_byte_s, {"route": route})
        return response_body.ResponseBody(
            response.chunks, lambda: self._complete(exchange, response)
        )

    def _filter_and_handle(
        self, exchange: http_exchange.HttpExchange
    ) -> request_filters.HandlerResult:
        for each in self._filters:
            filtered = each.apply(exchange)
            if filtered.is_error():
                return expression.Error(filtered.error)
        if not exchange.is_forwarded and exchange.service is not None:
            self._instance.record_request(exchange.service.name)
        if self._is_cut_off(exchange):
            return self._handle_without_upstreams(exchange)
        route = exchange.route
        handler: request_filters.RequestHandler = self._plain_handler
        if route is not None and _is_generation(route, exchange.service):
            handler = self._generation_handler
        result = handler.handle(exchange)
        if (
            result.is_error()
            and result.error.did_not_run
            and exchange.attempts == 0
            and exchange.unreachable_upstreams
        ):
            return self._handle_without_upstreams(exchange, result.error)
        return result

    def _is_cut_off(self, exchange: http_exchange.HttpExchange) -> bool:
        service = exchange.service
        return service is not None and self._instance.reach.is_cut_off(service.name)

    def _handle_without_upstreams(
        self, exchange: http_exchange.HttpExchange, refusal: refusals.Refusal | None = None
    ) -> request_filters.HandlerResult:
        """Have a peer serve a request that was sent to no upstream, or refuse it.

        :param refusal: what is known without the peers, None for a service that can't be reached
        """
        if not exchange.is_forwarded:
            forwarded = self._forwarder.forward(exchange)
            if forwarded is not None:
                return forwarded
        if refusal is None or self._is_cut_off(exchange):
            refusal = refusals.Refusal(
                refusals.Reason.CUT_OFF,
                "no upstream of the service can be reached, and no peer that does",
                CUT_OFF_RETRY_AFTER_S,
            )
        return expression.Error(refusal)

    def _refuse(
        self,
        refusal: refusals.Refusal,
        exchange: http_exchange.HttpExchange | None,
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        self._instance.metrics.refusals.add(1, {"reason": refusal.reason.value})
        request_id = exchange.inbound.id if exchange else ""
        problem = {"type": refusal.reason.value, "status": refusal.status, "id": request_id}
        content = json.dumps(problem).encode()
        headers = list(self._adapter.refusal_headers(refusal, request_id))
        headers.append(("Content-Length", str(len(content))))
        self._start_response(start_response, refusal.status, "", headers)
        if exchange is None:
            return [content]
        if refusal.did_not_run and exchange.admitted_amount > 0.0:
            self._instance.refund(exchange.workspace_name, exchange.admitted_amount)
        self._log(exchange, int(refusal.status), refusal=refusal)
        # Cleanup, such as releasing a KV cache, must not delay the response.
        return response_body.ResponseBody(iter([content]), lambda: self._end_request(exchange))

    def _complete(
        self, exchange: http_exchange.HttpExchange, response: http_exchange.Response
    ) -> None:
        self._log(exchange, response.status, upstream=response.upstream)
        self._end_request(exchange)

    def _end_request(self, exchange: http_exchange.HttpExchange) -> None:
        try:
            exchange.cleanup.close()
        except Exception:
            # The caller has its response; a failed cleanup must not keep the request counted.
            eliot.write_traceback()
        finally:
            self._instance.end_request()

    def _log(
        self,
        exchange: http_exchange.HttpExchange,
        status: int,
        upstream: str = "",
        refusal: refusals.Refusal | None = None,
    ) -> None:
        took_s = self._instance.clock.now_s() - exchange.received_s
        route = exchange.route.name if exchange.route else ""
        eliot.log_message(
            message_type="request_ended",
            request=exchange.inbound.id,
            route=route,
            workspace=exchange.workspace_name,
            revision=exchange.revision,
            proof_age_s=round(self._instance.proof_age_s(), 3),
            behind_s=round(self._instance.source.configuration_behind_s(), 3),
            list_age_s=round(self._instance.source.list_age_s(), 3),
            list_behind_s=round(self._instance.source.behind_s(), 3),
            attempts=exchange.attempts,
            upstream=upstream,
            status=status,
            reason=refusal.reason.value if refusal else "",
            detail=refusal.detail if refusal else "",
            retry_after_s=refusal.retry_after_s if refusal else None,
            took_s=round(took_s, 4),
            caller_gone=exchange.inbound.is_gone(),
        )
        labels = {"route": route, "status": str(status)}
        self._instance.metrics.requests.add(1, labels)
        self._instance.metrics.answer_seconds.record(took_s, {"route": route})

    def _start_response(
        self,
        start_response: StartResponse,
        status: int,
        reason: str,
        headers: list[tuple[str, str]],
    ) -> None:
        phrase = reason or http.client.responses.get(status, "Unassigned")
        start_response(f"{int(status)} {phrase}", headers)


def _is_generation(route: entities.Route, service: entities.Service | None) -> bool:
    return route.kind.is_stream and service is not None and service.engine_spec is not None
