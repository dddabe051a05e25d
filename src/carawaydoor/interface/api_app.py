"""WSGI application that serves callers of the project's own interface."""

from __future__ import annotations

import contextlib
import http.client
import uuid
from collections.abc import Callable, Iterable
from typing import Any, Final

import eliot
import expression

from carawaydoor.interface import (
    admission,
    authentication,
    completion_filter,
    completion_handler,
    concurrency_limit,
    errors,
    filters,
    instance_context,
    problem_document,
    request_exchange,
    request_monitor,
    routing,
    service_handler,
    suspension,
    unread_refusals,
)
from carawaydoor.serving import response_body

Environ = dict[str, Any]
StartResponse = Callable[[str, list[tuple[str, str]]], object]

# Applies until a route is selected; the route then sets its own deadline.
DEFAULT_TIMEOUT_S: Final = 60.0


class ApiApp:
    """Passes each request through the filters and then to the handler of its route."""

    def __init__(
        self, context: instance_context.InstanceContext, monitor: request_monitor.RequestMonitor
    ) -> None:
        self._context = context
        self._request_monitor = monitor
        self._filters: tuple[filters.Filter, ...] = (
            routing.RouteFilter(context),
            authentication.AuthenticationFilter(context),
            completion_filter.CompletionFilter(context),
            suspension.SuspensionFilter(context),
            concurrency_limit.ConcurrencyFilter(context),
            admission.AdmissionFilter(context),
        )
        self._completion_handler = completion_handler.CompletionHandler(context)
        self._service_handler = service_handler.ServiceHandler(context)
        self._run_once_handler = service_handler.RunOnceHandler(context)

    def __call__(self, environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
        """Handle one request."""
        exchange = self._create_exchange(environ)
        self._request_monitor.watch(exchange)
        refusal: errors.Refusal | None = None
        try:
            result = self._handle(exchange, _total_header_bytes(environ))
            if result.is_error():
                refusal = result.error
        except Exception:
            eliot.write_traceback()
            refusal = errors.Refusal(
                errors.Kind.INTERNAL, "an internal error occurred", errors.Ran.UNKNOWN
            )
        if refusal is not None:
            response = problem_document.create_response(refusal, exchange.id)
            self._context.metrics.refusals.add(1, {"kind": refusal.kind.value})
        else:
            response = result.ok
        headers = [*response.headers, *self._extra_headers(exchange)]
        start_response(_status_line(response.status), headers)
        return response_body.ResponseBody(
            response.chunks, lambda: self._end_request(exchange, response.status)
        )

    def _handle(
        self, exchange: request_exchange.Exchange, header_bytes: int
    ) -> filters.HandlerResult:
        early_refusal = self._check_limits(exchange, header_bytes)
        if early_refusal is not None:
            return expression.Error(early_refusal)
        for request_filter in self._filters:
            filtered = request_filter.apply(exchange)
            if filtered.is_error():
                return expression.Error(filtered.error)
        return self._select_handler(exchange).serve(exchange)

    def _check_limits(
        self, exchange: request_exchange.Exchange, header_bytes: int
    ) -> errors.Refusal | None:
        options = self._context.options
        if self._context.draining:
            return errors.Refusal(
                errors.Kind.INSTANCE_LEAVING, "this instance is shutting down", retry_after_s=1.0
            )
        if header_bytes > options.max_header_bytes:
            return errors.Refusal(
                errors.Kind.HEADERS_TOO_LARGE,
                f"the headers exceed {options.max_header_bytes} bytes",
            )
        if len(exchange.inbound.body) > options.max_body_bytes:
            return errors.Refusal(
                errors.Kind.BODY_TOO_LARGE, f"the body exceeds {options.max_body_bytes} bytes"
            )
        return None

    def _select_handler(self, exchange: request_exchange.Exchange) -> filters.RequestHandler:
        route = exchange.route
        if route is not None and route.pool is not None:
            return self._completion_handler
        if route is not None and route.idempotent:
            return self._service_handler
        return self._run_once_handler

    def _create_exchange(self, environ: Environ) -> request_exchange.Exchange:
        now_s = self._context.clock.now_s()
        return request_exchange.Exchange(
            uuid.uuid4().hex,
            _parse_inbound(environ, self._context.options.max_body_bytes),
            now_s,
            now_s + DEFAULT_TIMEOUT_S,
            request_exchange.CancelToken(),
            contextlib.ExitStack(),
        )

    def _extra_headers(self, exchange: request_exchange.Exchange) -> list[tuple[str, str]]:
        headers = [(unread_refusals.REQUEST_ID_HEADER, exchange.id)]
        route, workspace = exchange.route, exchange.workspace
        if route is not None and route.service is not None and workspace is not None:
            new_key = self._context.issue_idempotency_key(workspace.name)
            headers.append((service_handler.NEXT_IDEMPOTENCY_KEY_HEADER, new_key))
        return headers

    def _end_request(self, exchange: request_exchange.Exchange, status: int) -> None:
        exchange.cleanup.close()
        self._request_monitor.forget(exchange)
        route = exchange.route.name if exchange.route else ""
        self._context.metrics.requests.add(1, {"route": route, "status": str(status)})


def _parse_inbound(environ: Environ, max_body_bytes: int) -> request_exchange.InboundRequest:
    body = environ["wsgi.input"].read(max_body_bytes + 1)
    return request_exchange.InboundRequest(
        environ["REQUEST_METHOD"],
        environ.get("PATH_INFO", "/"),
        environ.get("QUERY_STRING", ""),
        environ.get("HTTP_AUTHORIZATION"),
        environ.get("HTTP_IDEMPOTENCY_KEY"),
        environ.get("CONTENT_TYPE", ""),
        body,
        environ.get("waitress.client_disconnected", lambda: False),
    )


def _total_header_bytes(environ: Environ) -> int:
    return sum(
        len(key) + len(value)
        for key, value in environ.items()
        if key.startswith("HTTP_") and isinstance(value, str)
    )


def _status_line(status: int) -> str:
    return f"{status} {http.client.responses.get(status, 'Unassigned')}"
