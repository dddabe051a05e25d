"""The filters that a request passes in order, and the interface of the final handler."""

from __future__ import annotations

import abc
from typing import Final

import expression

from carawaydoor.policy import drain, routes, strikes, usage_caps
from carawaydoor.serving import http_exchange, instance_state, refusals

FilterResult = expression.Result[http_exchange.HttpExchange, refusals.Refusal]
HandlerResult = expression.Result[http_exchange.Response, refusals.Refusal]

# By then an instance that just started, or that reconnects to its source, is usually ready.
NOT_READY_RETRY_AFTER_S: Final = 0.5
# Short, since a retry on a new connection reaches another instance.
DRAINING_RETRY_AFTER_S: Final = 0.05


class Filter(abc.ABC):
    """One step in the processing of a request."""

    def __init__(self, instance: instance_state.InstanceState) -> None:
        self._instance = instance

    @abc.abstractmethod
    def apply(self, exchange: http_exchange.HttpExchange) -> FilterResult:
        """Return the request for the next filter, or a refusal."""


class RequestHandler(abc.ABC):
    """The step after the filters, which produces the response."""

    def __init__(self, instance: instance_state.InstanceState) -> None:
        self._instance = instance

    @abc.abstractmethod
    def handle(self, exchange: http_exchange.HttpExchange) -> HandlerResult:
        """Return the response, or a refusal."""


class RouteFilter(Filter):
    """Sets the route, the service and the deadline of a request."""

    def apply(self, exchange: http_exchange.HttpExchange) -> FilterResult:
        """Find the route by host and longest path prefix."""
        configuration = self._instance.configuration
        if configuration.revision == 0:
            return _refuse(
                refusals.Reason.NOT_CONFIGURED,
                "no configuration has been loaded yet",
                NOT_READY_RETRY_AFTER_S,
            )
        exchange.revision = configuration.revision
        inbound = exchange.inbound
        if exchange.is_forwarded and configuration.revision < inbound.configuration_position:
            return _refuse(
                refusals.Reason.CONFIGURATION_BEHIND,
                "the instance that passed the request on has a newer configuration",
                NOT_READY_RETRY_AFTER_S,
            )
        if self._instance.is_far_behind():
            return _behind()
        route = routes.match(configuration, inbound.host, inbound.path)
        if route is None:
            if self._instance.source.lacks_configuration():
                return _behind()
            if not self._instance.accepts_keys():
                return _refuse(
                    refusals.Reason.CONFIGURATION_STALE,
                    "no route matches, and the configuration may be outdated",
                    NOT_READY_RETRY_AFTER_S,
                )
            return _refuse(refusals.Reason.ROUTE_UNKNOWN, "no route matches this host and path")
        exchange.route = route
        exchange.deadline_s = exchange.received_s + min(
            route.timeout_s, inbound.timeout_s or route.timeout_s
        )
        name = routes.choose_service(route, self._instance.random_fraction())
        exchange.service = configuration.service_by_name.get(name) if name else None
        if exchange.service is None:
            return _refuse(
                refusals.Reason.NO_UPSTREAM,
                "the route has no configured service",
                NOT_READY_RETRY_AFTER_S,
            )
        return expression.Ok(exchange)


class DrainFilter(Filter):
    """Refuses requests that might not finish before a draining instance exits."""

    def apply(self, exchange: http_exchange.HttpExchange) -> FilterResult:
        """Pass a request that has enough time to finish."""
        route = exchange.route
        if route is None:
            return expression.Ok(exchange)
        draining_for_s = self._instance.draining_for_s(exchange.received_s)
        if route.kind.is_stream:
            may_begin = drain.may_begin_stream(draining_for_s)
        else:
            grace_s = self._instance.options.bounds.grace_s
            may_begin = drain.may_begin_request(draining_for_s, grace_s, route.timeout_s)
        return expression.Ok(exchange) if may_begin else expression.Error(leaving_refusal())


class AuthenticationFilter(Filter):
    """Sets the workspace that the caller's key belongs to."""

    def apply(self, exchange: http_exchange.HttpExchange) -> FilterResult:
        """Look up the key in a configuration that is proven recent enough."""
        configuration = self._instance.configuration
        route, key = exchange.route, exchange.inbound.key
        if not configuration.has_workspaces:
            return expression.Ok(exchange)
        workspace = configuration.workspace_by_key.get(key) if key else None
        if route is not None and route.is_open_to_all:
            return expression.Ok(exchange)
        if not self._instance.accepts_keys():
            return _refuse(
                refusals.Reason.CONFIGURATION_STALE,
                "the configuration is too old to rule out that the key was withdrawn",
                NOT_READY_RETRY_AFTER_S,
            )
        if workspace is None and self._instance.source.lacks_configuration():
            return _behind()
        if not key:
            return _refuse(refusals.Reason.KEY_MISSING, "the request has no key")
        if workspace is None:
            return _refuse(refusals.Reason.KEY_UNKNOWN, "the key is unknown")
        exchange.workspace = workspace
        return expression.Ok(exchange)


class SuspensionFilter(Filter):
    """Refuses a request during which upstreams have crashed."""

    def apply(self, exchange: http_exchange.HttpExchange) -> FilterResult:
        """Pass a request that is not suspended."""
        inbound = exchange.inbound
        request_line = f"{inbound.method} {inbound.target}\n".encode()
        exchange.fingerprint = strikes.fingerprint(
            exchange.workspace_name, request_line, inbound.body
        )
        suspended_s = self._instance.crash_guard.suspended_for_s(
            exchange.fingerprint, exchange.shared_parts
        )
        if suspended_s > 0.0:
            return _refuse(
                refusals.Reason.SUSPENDED,
                "upstreams crashed while running this request, or others with a part of its prompt",
                suspended_s,
            )
        return expression.Ok(exchange)


class AdmissionFilter(Filter):
    """Charges a request to the usage cap of its workspace."""

    def apply(self, exchange: http_exchange.HttpExchange) -> FilterResult:
        """Pass a request that fits into the cap."""
        workspace = exchange.workspace
        if workspace is None:
            return expression.Ok(exchange)
        amount = usage_caps.cost(workspace, exchange.inbound.prompt)
        match self._instance.admit(workspace, amount):
            case usage_caps.Exceeded(used, limit, retry_after_s):
                detail = (
                    f"{amount:.0f} would exceed the cap: {used:.0f} of {limit:.0f} used in the "
                    f"window, {self._instance.caps.usable_share:.2f} of the cap usable"
                )
                return _refuse(refusals.Reason.CAP_EXCEEDED, detail, retry_after_s)
            case usage_caps.Admitted():
                exchange.admitted_amount = amount
                return expression.Ok(exchange)


def _refuse(
    reason: refusals.Reason, detail: str, retry_after_s: float | None = None
) -> expression.Result[http_exchange.HttpExchange, refusals.Refusal]:
    return expression.Error(refusals.Refusal(reason, detail, retry_after_s))


def _behind() -> expression.Result[http_exchange.HttpExchange, refusals.Refusal]:
    return _refuse(
        refusals.Reason.CONFIGURATION_BEHIND,
        "a peer has a newer configuration, which this instance lacks",
        NOT_READY_RETRY_AFTER_S,
    )


def leaving_refusal() -> refusals.Refusal:
    """Return the refusal of a request that the exit of this instance might cut off."""
    return refusals.Refusal(
        refusals.Reason.INSTANCE_LEAVING, "this instance is leaving", DRAINING_RETRY_AFTER_S
    )


def internal_error() -> HandlerResult:
    """Return the refusal of a request that caused an error in the router."""
    return expression.Error(refusals.Refusal(refusals.Reason.INTERNAL, "internal error"))
