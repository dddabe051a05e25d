"""Handles requests to plain services.

Requests on idempotent routes may run on any upstream and be retried; all others run at most once.
"""

from __future__ import annotations

import hashlib

import expression

from carawaydoor.coordination import cluster_view, idempotency, idempotency_owner, messages
from carawaydoor.interface import (
    errors,
    filters,
    instance_context,
    request_exchange,
    suspension,
    upstream_call,
)
from carawaydoor.publishing import config_objects

MAX_ATTEMPTS = 2
REPLY_MARGIN_S = 1.0
RETRY_AFTER_S = 1.0
IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"
NEXT_IDEMPOTENCY_KEY_HEADER = "Idempotency-Key-Next"
REPLAYED_HEADER = "Idempotency-Replayed"
IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "PUT", "DELETE"})


class ServiceHandler(filters.RequestHandler):
    """Forwards a request of an idempotent route to a plain upstream."""

    def __init__(self, context: instance_context.InstanceContext) -> None:
        self._context = context

    def serve(self, exchange: request_exchange.Exchange) -> filters.HandlerResult:
        """Return the response of the first upstream that gives one."""
        service = _find_service(self._context, exchange)
        if service is None:
            return expression.Error(_no_upstream_refusal())
        refusal = _no_upstream_refusal()
        targets = self._context.live_upstreams(service.name, cluster_view.Role.PLAIN)
        for attempt_number, target in enumerate(targets[:MAX_ATTEMPTS]):
            if (
                attempt_number > 0
                and refusal.ran is errors.Ran.UNKNOWN
                and not self._may_retry(exchange)
            ):
                break
            try:
                response = self._call_upstream(exchange, target, service, attempt_number)
            except errors.UpstreamError as error:
                refusal = self._record_failure(exchange, target, error)
                continue
            return expression.Ok(_response(response.status, response.content_type, response.body))
        return expression.Error(refusal)

    def _may_retry(self, exchange: request_exchange.Exchange) -> bool:
        if exchange.cancel_token.reason is not None:
            return False
        if suspension.suspension_refusal(self._context, exchange) is not None:
            return False
        return exchange.inbound.method in IDEMPOTENT_METHODS and self._context.take_retry()

    def _call_upstream(
        self,
        exchange: request_exchange.Exchange,
        target: cluster_view.Upstream,
        service: config_objects.Service,
        attempt_number: int,
    ) -> upstream_call.UpstreamResponse:
        started_s = self._context.clock.now_s()
        inbound = exchange.inbound
        path = f"{inbound.path}?{inbound.query}" if inbound.query else inbound.path
        headers = {"X-Workspace": exchange.workspace_name}
        if inbound.content_type:
            headers["Content-Type"] = inbound.content_type
        request = upstream_call.UpstreamRequest(
            f"{exchange.id}-{attempt_number}", inbound.method, path, headers, inbound.body
        )
        call = upstream_call.Call(target, service.timeout_s)
        with exchange.cancel_token.attach(call):
            status = call.send(request)
            response = upstream_call.UpstreamResponse(status, call.content_type, call.read())
        elapsed_s = self._context.clock.now_s() - started_s
        self._context.metrics.plain_seconds.record(elapsed_s, {"service": service.name})
        return response

    def _record_failure(
        self,
        exchange: request_exchange.Exchange,
        target: cluster_view.Upstream,
        error: errors.UpstreamError,
    ) -> errors.Refusal:
        labels = {"upstream": target.id, "error": type(error).__name__}
        self._context.metrics.upstream_failures.add(1, labels)
        if exchange.cancel_token.reason is not None:
            return request_exchange.cancellation_refusal(
                exchange.cancel_token.reason, errors.Ran.UNKNOWN
            )
        if isinstance(error, errors.UpstreamBrokenError):
            suspension.broadcast_strike(self._context, exchange, target.id)
        return upstream_refusal(error)


class RunOnceHandler(filters.RequestHandler):
    """Has the owner of the idempotency key run the request, at most once."""

    def __init__(self, context: instance_context.InstanceContext) -> None:
        self._context = context

    def serve(self, exchange: request_exchange.Exchange) -> filters.HandlerResult:
        """Return the response of the only run, either new or replayed."""
        service = _find_service(self._context, exchange)
        key = exchange.inbound.idempotency_key
        if service is None:
            return expression.Error(_no_upstream_refusal())
        if not key or len(key) > idempotency.MAX_KEY_CHARACTERS or not key.isprintable():
            return expression.Error(
                errors.Refusal(
                    errors.Kind.IDEMPOTENCY_KEY_MISSING,
                    f"send {IDEMPOTENCY_KEY_HEADER}; the response header "
                    f"{NEXT_IDEMPOTENCY_KEY_HEADER} contains a new key",
                )
            )
        message = _run_once_message(exchange, service, key)
        for owner in self._owner_candidates(key):
            result = self._run_at_owner(owner, message, service)
            if result is not None:
                return result
        return expression.Error(
            errors.Refusal(
                errors.Kind.IDEMPOTENCY_OWNER_UNREACHABLE,
                "the owner of this idempotency key does not reply",
                errors.Ran.UNKNOWN,
                RETRY_AFTER_S,
            )
        )

    def _owner_candidates(self, key: str) -> tuple[str, ...]:
        issued = idempotency.parse_issued(key)
        if issued is not None:
            return (issued.instance,)
        partition = idempotency_owner.key_partition(key)
        return self._context.likely_owners(idempotency_owner.key_resource(partition))

    def _run_at_owner(
        self, owner: str, message: messages.RunOnce, service: config_objects.Service
    ) -> filters.HandlerResult | None:
        """Return the outcome at an instance, None if it is not running or not the owner."""
        try:
            reply = self._context.ask(owner, message, service.timeout_s + REPLY_MARGIN_S)
        except errors.PeerRefusedError:
            return None
        except errors.PeerError:
            return expression.Error(run_once_refusal(errors.Kind.IDEMPOTENCY_OUTCOME_UNKNOWN))
        match reply:
            case messages.RunOnceAnswered():
                headers = ((REPLAYED_HEADER, str(reply.replayed).lower()),)
                return expression.Ok(
                    _response(reply.status, reply.content_type, reply.body, headers)
                )
            case messages.RunOnceRefused():
                return expression.Error(run_once_refusal(errors.Kind(reply.kind)))
            case _:
                return None


def run_once_refusal(kind: errors.Kind) -> errors.Refusal:
    """Return the refusal of an at-most-once request.

    A request whose key record was lost may have run before. The refusal therefore states that the
    request did not run only if the owner has the record of the key, or confirms that nothing was
    sent.
    """
    not_run = {errors.Kind.IDEMPOTENCY_KEY_REUSED, errors.Kind.UPSTREAM_UNREACHABLE}
    ran = errors.Ran.NOT_RUN if kind in not_run else errors.Ran.UNKNOWN
    retryable = {
        errors.Kind.IDEMPOTENCY_IN_PROGRESS,
        errors.Kind.INSTANCE_BUSY,
        errors.Kind.UPSTREAM_UNREACHABLE,
    }
    retry_after_s = RETRY_AFTER_S if kind in retryable else None
    return errors.Refusal(kind, kind.value.replace("-", " "), ran, retry_after_s)


def upstream_refusal(error: errors.UpstreamError) -> errors.Refusal:
    """Return the refusal for a failed call to an upstream."""
    match error:
        case errors.UpstreamUnreachableError():
            return _no_upstream_refusal()
        case errors.UpstreamTimeoutError():
            kind = errors.Kind.DEADLINE_EXCEEDED
        case errors.UpstreamAnswerError():
            kind = errors.Kind.UPSTREAM_ANSWER_INVALID
        case _:
            kind = errors.Kind.UPSTREAM_FAILED
    return errors.Refusal(kind, kind.value.replace("-", " "), errors.Ran.UNKNOWN, RETRY_AFTER_S)


def _find_service(
    context: instance_context.InstanceContext, exchange: request_exchange.Exchange
) -> config_objects.Service | None:
    if exchange.route is None or exchange.route.service is None:
        return None
    return context.catalog.service_by_name.get(exchange.route.service)


def _run_once_message(
    exchange: request_exchange.Exchange, service: config_objects.Service, key: str
) -> messages.RunOnce:
    inbound = exchange.inbound
    path = f"{inbound.path}?{inbound.query}" if inbound.query else inbound.path
    digest = hashlib.blake2b(f"{inbound.method} {path}\n".encode(), digest_size=16)
    digest.update(inbound.body)
    return messages.RunOnce(
        key,
        exchange.workspace_name,
        service.name,
        inbound.method,
        path,
        inbound.content_type,
        inbound.body,
        digest.hexdigest(),
    )


def _no_upstream_refusal() -> errors.Refusal:
    return errors.Refusal(
        errors.Kind.UPSTREAM_UNREACHABLE,
        "no upstream of this service is reachable",
        errors.Ran.NOT_RUN,
        RETRY_AFTER_S,
    )


def _response(
    status: int,
    content_type: str,
    body: bytes,
    headers: tuple[tuple[str, str], ...] = (),
) -> request_exchange.Response:
    all_headers = (("Content-Type", content_type), ("Content-Length", str(len(body))), *headers)
    return request_exchange.Response(status, all_headers, iter([body]))
