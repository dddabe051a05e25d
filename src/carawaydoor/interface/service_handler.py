"""Serves requests to plain services: repeatable ones anywhere, others at most once."""

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
ASK_MARGIN_S = 1.0
RETRY_S = 1.0
KEY_HEADER = "Idempotency-Key"
NEXT_KEY_HEADER = "Idempotency-Key-Next"
REPLAYED_HEADER = "Idempotency-Replayed"
IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "PUT", "DELETE"})


class ServePlain(filters.Server):
    """Relays a repeatable request to a plain upstream."""

    def __init__(self, context: instance_context.InstanceContext) -> None:
        self._context = context

    def serve(self, exchange: request_exchange.Exchange) -> filters.Served:
        """Return the answer of the first upstream that gives one."""
        service = _service(self._context, exchange)
        if service is None:
            return expression.Error(_no_upstream())
        refusal = _no_upstream()
        targets = self._context.upstreams(service.name, cluster_view.Role.PLAIN)
        for number, target in enumerate(targets[:MAX_ATTEMPTS]):
            if number > 0 and refusal.ran is errors.Ran.UNKNOWN and not self._may_repeat(exchange):
                break
            try:
                answer = self._call(exchange, target, service, number)
            except errors.UpstreamError as error:
                refusal = self._refusal(exchange, target, error)
                continue
            return expression.Ok(_response(answer.status, answer.content_type, answer.body))
        return expression.Error(refusal)

    def _may_repeat(self, exchange: request_exchange.Exchange) -> bool:
        if exchange.cancel.reason is not None:
            return False
        if suspension.suspended(self._context, exchange) is not None:
            return False
        return exchange.inbound.method in IDEMPOTENT_METHODS and self._context.may_retry()

    def _call(
        self,
        exchange: request_exchange.Exchange,
        target: cluster_view.Upstream,
        service: config_objects.Service,
        number: int,
    ) -> upstream_call.Answer:
        started_s = self._context.clock.now_s()
        inbound = exchange.inbound
        path = f"{inbound.path}?{inbound.query}" if inbound.query else inbound.path
        headers = {"X-Workspace": exchange.workspace_name}
        if inbound.content_type:
            headers["Content-Type"] = inbound.content_type
        request = upstream_call.Request(
            f"{exchange.id}-{number}", inbound.method, path, headers, inbound.body
        )
        call = upstream_call.Call(target, service.timeout_s)
        with exchange.cancel.covers(call):
            status = call.send(request)
            answer = upstream_call.Answer(status, call.content_type, call.read())
        elapsed_s = self._context.clock.now_s() - started_s
        self._context.metrics.plain_seconds.record(elapsed_s, {"service": service.name})
        return answer

    def _refusal(
        self,
        exchange: request_exchange.Exchange,
        target: cluster_view.Upstream,
        error: errors.UpstreamError,
    ) -> errors.Refusal:
        labels = {"upstream": target.id, "error": type(error).__name__}
        self._context.metrics.upstream_failures.add(1, labels)
        if exchange.cancel.reason is not None:
            return request_exchange.refusal_of(exchange.cancel.reason, errors.Ran.UNKNOWN)
        if isinstance(error, errors.UpstreamBrokenError):
            suspension.strike(self._context, exchange, target.id)
        return refusal_of(error)


class ServeOnce(filters.Server):
    """Has the owner of the request's idempotency key run it, at most once."""

    def __init__(self, context: instance_context.InstanceContext) -> None:
        self._context = context

    def serve(self, exchange: request_exchange.Exchange) -> filters.Served:
        """Return the answer of the one run, fresh or replayed."""
        service = _service(self._context, exchange)
        key = exchange.inbound.idempotency_key
        if service is None:
            return expression.Error(_no_upstream())
        if not key or len(key) > idempotency.MAX_KEY_CHARACTERS or not key.isprintable():
            return expression.Error(
                errors.Refusal(
                    errors.Kind.IDEMPOTENCY_KEY_MISSING,
                    f"send {KEY_HEADER}; {NEXT_KEY_HEADER} offers a fresh one",
                )
            )
        message = _run_once(exchange, service, key)
        for owner in self._owners(key):
            answer = self._ask(owner, message, service)
            if answer is not None:
                return answer
        return expression.Error(
            errors.Refusal(
                errors.Kind.IDEMPOTENCY_OWNER_UNREACHABLE,
                "the instance that can run this key does not answer",
                errors.Ran.UNKNOWN,
                RETRY_S,
            )
        )

    def _owners(self, key: str) -> tuple[str, ...]:
        issued = idempotency.parse_issued(key)
        if issued is not None:
            return (issued.instance,)
        partition = idempotency_owner.key_partition(key)
        return self._context.likely_owners(idempotency_owner.key_resource(partition))

    def _ask(
        self, owner: str, message: messages.RunOnce, service: config_objects.Service
    ) -> filters.Served | None:
        """Return the outcome at an instance, None if it is not the owner."""
        try:
            answer = self._context.ask(owner, message, service.timeout_s + ASK_MARGIN_S)
        except errors.PeerRefusedError:
            return None
        except errors.PeerError:
            return expression.Error(run_once_refusal(errors.Kind.IDEMPOTENCY_OUTCOME_UNKNOWN))
        match answer:
            case messages.RunOnceAnswered():
                headers = ((REPLAYED_HEADER, str(answer.replayed).lower()),)
                return expression.Ok(
                    _response(answer.status, answer.content_type, answer.body, headers)
                )
            case messages.RunOnceRefused():
                return expression.Error(run_once_refusal(errors.Kind(answer.kind)))
            case _:
                return None


def run_once_refusal(kind: errors.Kind) -> errors.Refusal:
    """Return the refusal of a request that runs at most once.

    A repeat of a key whose record is lost may have run before. Only where the owner remembers the
    key, or vouches that nothing was sent, the refusal says that the request did not run.
    """
    not_run = {errors.Kind.IDEMPOTENCY_KEY_REUSED, errors.Kind.UPSTREAM_UNREACHABLE}
    ran = errors.Ran.NOT_RUN if kind in not_run else errors.Ran.UNKNOWN
    retryable = {
        errors.Kind.IDEMPOTENCY_IN_PROGRESS,
        errors.Kind.INSTANCE_BUSY,
        errors.Kind.UPSTREAM_UNREACHABLE,
    }
    retry_after_s = RETRY_S if kind in retryable else None
    return errors.Refusal(kind, kind.value.replace("-", " "), ran, retry_after_s)


def refusal_of(error: errors.UpstreamError) -> errors.Refusal:
    """Return the refusal that tells of a failed call."""
    match error:
        case errors.UpstreamUnreachableError():
            return _no_upstream()
        case errors.UpstreamTimeoutError():
            kind = errors.Kind.DEADLINE_EXCEEDED
        case errors.UpstreamAnswerError():
            kind = errors.Kind.UPSTREAM_ANSWER_INVALID
        case _:
            kind = errors.Kind.UPSTREAM_FAILED
    return errors.Refusal(kind, kind.value.replace("-", " "), errors.Ran.UNKNOWN, RETRY_S)


def _service(
    context: instance_context.InstanceContext, exchange: request_exchange.Exchange
) -> config_objects.Service | None:
    if exchange.route is None or exchange.route.service is None:
        return None
    return context.catalog.service_by_name.get(exchange.route.service)


def _run_once(
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


def _no_upstream() -> errors.Refusal:
    return errors.Refusal(
        errors.Kind.UPSTREAM_UNREACHABLE,
        "no upstream of this service can be reached",
        errors.Ran.NOT_RUN,
        RETRY_S,
    )


def _response(
    status: int,
    content_type: str,
    body: bytes,
    headers: tuple[tuple[str, str], ...] = (),
) -> request_exchange.Response:
    every = (("Content-Type", content_type), ("Content-Length", str(len(body))), *headers)
    return request_exchange.Response(status, every, iter([body]))
