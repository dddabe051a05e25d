"""Forwards requests to plain services; only idempotent ones may run more than once."""

from __future__ import annotations

import contextlib
from typing import Final

import expression

from carawaydoor.policy import entities
from carawaydoor.serving import (
    connections,
    continuation_targets,
    event_splitter,
    http_exchange,
    instance_state,
    protocol_adapter,
    refusals,
    request_filters,
    stream_beginning,
    stream_relay,
    upstream_client,
)

# Share of the remaining time after which an attempt of an idempotent request is abandoned for a
# retry; a fast upstream can still respond in the rest.
ATTEMPT_TIMEOUT_SHARE: Final = 0.5
# Several service times, after which a full upstream has usually freed capacity.
RETRY_AFTER_S: Final = 0.25


class PlainHandler(request_filters.RequestHandler):
    """Forwards a request to an upstream of a plain service."""

    def __init__(
        self,
        instance: instance_state.InstanceState,
        client: upstream_client.UpstreamClient,
        adapter: protocol_adapter.ProtocolAdapter,
    ) -> None:
        super().__init__(instance)
        self._client = client
        self._adapter = adapter

    def handle(self, exchange: http_exchange.HttpExchange) -> request_filters.HandlerResult:
        """Return the response of the first upstream that gives an acceptable one.

        If all attempts fail, a response with a failure status is preferred over a refusal.
        """
        route, service = exchange.route, exchange.service
        assert route is not None and service is not None
        if route.kind.is_stream:
            busy = self._instance.stream_slots.reserve(exchange)
            if busy is not None:
                return expression.Error(busy)
        excluded: set[str] = set()
        refusal = refusals.Refusal(
            refusals.Reason.NO_UPSTREAM, f"service {service.name} has no upstream", RETRY_AFTER_S
        )
        last_response: http_exchange.Response | None = None
        while exchange.attempts < exchange.max_attempts:
            is_retry = exchange.attempts > 0
            if is_retry and not self._instance.may_retry(exchange.inbound.id, service.name):
                break
            stream_beginning.choose_version(self._instance, exchange)
            upstream = self._instance.selector.reserve_plain(
                service.name,
                frozenset(excluded),
                exchange.permits,
                exchange.placement_version,
                exchange.allowed_regions,
            )
            if upstream is None:
                break
            excluded.add(upstream.id)
            try:
                response = self._attempt(exchange, route, service, upstream)
            except upstream_client.CallError as error:
                if refusal.did_not_run:
                    # A later attempt does not undo an earlier one that may have run.
                    refusal = refusal_for(error, upstream)
                if error.failure.was_not_sent:
                    exchange.permits.give_back(upstream)
                    if self._instance.reach.is_cut_off(service.name):
                        break
                else:
                    exchange.attempts += 1
                if not self._may_retry(route, error):
                    break
                continue
            exchange.attempts += 1
            last_response = response
            if response.status < upstream_client.MIN_FAILURE_STATUS or route.kind.forbids_rerun:
                break
        if last_response is not None:
            return expression.Ok(last_response)
        regions = exchange.allowed_regions
        turned_away_s = self._instance.selector.turned_away_retry_s(
            service.name, entities.Stage.NONE, regions
        )
        if refusal.did_not_run and turned_away_s is not None:
            detail = f"all upstreams of service {service.name} turn requests away"
            refusal = refusals.Refusal(refusals.Reason.TURNED_AWAY, detail, turned_away_s)
        limited_s = self._instance.selector.limited_retry_s(
            service.name, entities.Stage.NONE, regions
        )
        if refusal.did_not_run and limited_s is not None:
            detail = f"the limits of the upstreams of service {service.name} leave none"
            refusal = refusals.Refusal(refusals.Reason.LIMITED, detail, limited_s)
        if refusal.did_not_run:
            refusal = (
                self._instance.eligibility.refusal(exchange, entities.Stage.NONE)
                or stream_beginning.unreachable_refusal(self._instance, exchange)
                or refusal
            )
        return expression.Error(refusal)

    def _attempt(
        self,
        exchange: http_exchange.HttpExchange,
        route: entities.Route,
        service: entities.Service,
        upstream: entities.Upstream,
    ) -> http_exchange.Response:
        """Return the response of an upstream to which the request was added as load.

        :raises CallError: if it gives none that is whole, or a stream without any event
        """
        with contextlib.ExitStack() as reservation:
            reservation.callback(
                self._instance.selector.release, upstream.id, continuation_targets.ONE_REQUEST
            )
            requests = self._instance.selector.load.at(upstream.id).requests
            opened = self._send(exchange, route, upstream)
            if not (route.kind.is_stream and _is_relayed(exchange, opened)):
                whole = self._read(exchange, upstream, opened)
                if whole.status < upstream_client.MIN_FAILURE_STATUS:
                    self._instance.capacity.observe_call(
                        upstream, requests, opened.response.requested_s
                    )
                return whole
            response = self._relay(exchange, service, upstream, opened)
            exchange.cleanup.push(reservation.pop_all())
            return response

    def _send(
        self,
        exchange: http_exchange.HttpExchange,
        route: entities.Route,
        upstream: entities.Upstream,
    ) -> upstream_client.OpenResponse:
        now_s = self._instance.clock.now_s()
        left_s = exchange.deadline_s - now_s
        attempt_deadline_s = None
        if not route.kind.forbids_rerun and exchange.attempts + 1 < exchange.max_attempts:
            attempt_deadline_s = now_s + left_s * ATTEMPT_TIMEOUT_SHARE
        request = protocol_adapter.UpstreamRequest(upstream, left_s)
        return self._client.send(exchange, request, attempt_deadline_s)

    def _read(
        self,
        exchange: http_exchange.HttpExchange,
        upstream: entities.Upstream,
        opened: upstream_client.OpenResponse,
    ) -> http_exchange.Response:
        body = self._client.read_body(exchange, upstream, opened)
        response = opened.response
        if response.framing is connections.Framing.CONNECTION_END:
            self._client.crash_checks.check_survival_later(exchange, upstream)
        else:
            self._instance.crash_guard.record_sound(exchange.fingerprint)
        return http_exchange.Response(
            response.status,
            response.reason,
            response.headers,
            body,
            body.length,
            upstream.id,
        )

    def _relay(
        self,
        exchange: http_exchange.HttpExchange,
        service: entities.Service,
        upstream: entities.Upstream,
        opened: upstream_client.OpenResponse,
    ) -> http_exchange.Response:
        targets = continuation_targets.PlainTargets(self._instance.selector, service)
        relay = stream_relay.StreamRelay(
            self._instance, self._client, self._adapter, exchange, targets
        )
        chunks = relay.relay(upstream, opened)
        response = relay.response or opened.response
        return http_exchange.Response(
            response.status, response.reason, response.headers, chunks, None, upstream.id
        )

    def _may_retry(self, route: entities.Route, error: upstream_client.CallError) -> bool:
        if error.failure is upstream_client.Failure.CALLER_GONE:
            return False
        return error.failure.did_not_run or not route.kind.forbids_rerun


def _is_relayed(exchange: http_exchange.HttpExchange, opened: upstream_client.OpenResponse) -> bool:
    """Return whether the relay handles a response on a streaming route, and checks it."""
    head = event_splitter.head_of(opened.response)
    is_taken_up = bool(exchange.inbound.resumed_after)
    return head.is_stream or (is_taken_up and not head.is_unsuccessful)


def refusal_for(error: upstream_client.CallError, upstream: entities.Upstream) -> refusals.Refusal:
    """Return the refusal for a failed attempt.

    Its status promises that the request did not run only if that is certain.
    """
    match error.failure:
        case (
            upstream_client.Failure.NOT_SENT
            | upstream_client.Failure.MISDIRECTED
            | upstream_client.Failure.LEFT
        ):
            reason = refusals.Reason.NO_UPSTREAM
        case upstream_client.Failure.LIMITED:
            reason = refusals.Reason.LIMITED
        case upstream_client.Failure.EVACUATED:
            reason = refusals.Reason.EVACUATED
        case upstream_client.Failure.NOT_ALLOWED:
            reason = refusals.Reason.REGION_NOT_ALLOWED
        case upstream_client.Failure.REJECTED | upstream_client.Failure.TURNED_AWAY:
            reason = refusals.Reason.UPSTREAM_FULL
        case upstream_client.Failure.SILENT:
            reason = refusals.Reason.UPSTREAM_SILENT
        case upstream_client.Failure.CALLER_GONE:
            reason = refusals.Reason.CALLER_GONE
        case _:
            reason = refusals.Reason.UPSTREAM_FAILED
    retry_after_s = RETRY_AFTER_S if error.failure.did_not_run else None
    return refusals.Refusal(reason, f"{upstream.id}: {error}", retry_after_s)
