"""Authenticates callers by their API keys."""

from __future__ import annotations

import hashlib
import re
from typing import Final

import expression

from carawaydoor.interface import errors, filters, instance_context, request_exchange
from carawaydoor.publishing import config_objects, configuration_state

BEARER_PATTERN: Final = re.compile(r"^Bearer ([\x21-\x7e]{8,512})$", re.IGNORECASE)


def digest_key(api_key: str) -> str:
    """Return the digest by which the configuration identifies an API key."""
    return hashlib.sha256(api_key.encode()).hexdigest()


class AuthenticationFilter(filters.Filter):
    """Checks the API key of a request and whether its workspace may use the route."""

    def __init__(self, context: instance_context.InstanceContext) -> None:
        self._context = context

    def apply(self, exchange: request_exchange.Exchange) -> filters.FilterResult:
        """Set the workspace of the request."""
        route = exchange.route
        if route is None or route.open_to_all:
            return expression.Ok(exchange)
        header = exchange.inbound.authorization
        if not header:
            return _refuse(errors.Kind.KEY_MISSING, "the request has no Authorization header")
        match = BEARER_PATTERN.match(header)
        if match is None:
            return _refuse(
                errors.Kind.KEY_MALFORMED, "the Authorization header is not a valid bearer token"
            )
        return self._check_key(exchange, route, digest_key(match.group(1)))

    def _check_key(
        self, exchange: request_exchange.Exchange, route: config_objects.Route, key_digest: str
    ) -> filters.FilterResult:
        configuration = self._context.configuration
        key = configuration.catalog.key_by_digest.get(key_digest)
        if key is None:
            return _refuse(errors.Kind.KEY_UNKNOWN, "no workspace has this API key")
        if key.withdrawn or key_digest in configuration_state.withdrawn_key_digests(configuration):
            return _refuse(errors.Kind.KEY_WITHDRAWN, "this API key was withdrawn")
        workspace = configuration.catalog.workspace_by_name[key.workspace]
        if route.workspaces and workspace.name not in route.workspaces:
            return _refuse(errors.Kind.ROUTE_FORBIDDEN, "this workspace may not use this route")
        age_s = self._context.clock.now_s() - self._context.configuration_as_of_s
        if workspace.max_config_age_s is not None and age_s > workspace.max_config_age_s:
            return _refuse(
                errors.Kind.CONFIGURATION_TOO_OLD,
                "the configuration was confirmed too long ago for this workspace",
                1.0,
            )
        exchange.workspace = workspace
        exchange.key_digest = key_digest
        return expression.Ok(exchange)


def is_key_valid(configuration: configuration_state.ConfigurationState, key_digest: str) -> bool:
    """Return whether a configuration has the key and does not withdraw it."""
    key = configuration.catalog.key_by_digest.get(key_digest)
    if key is None or key.withdrawn:
        return False
    return key_digest not in configuration_state.withdrawn_key_digests(configuration)


def _refuse(
    kind: errors.Kind, detail: str, retry_after_s: float | None = None
) -> filters.FilterResult:
    return expression.Error(errors.Refusal(kind, detail, retry_after_s=retry_after_s))
