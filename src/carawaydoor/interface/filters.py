"""Base classes of the request filters and request handlers."""

from __future__ import annotations

import abc

import expression

from carawaydoor.interface import errors, request_exchange

FilterResult = expression.Result[request_exchange.Exchange, errors.Refusal]
HandlerResult = expression.Result[request_exchange.Response, errors.Refusal]


class Filter(abc.ABC):
    """One step of request processing before the handler."""

    @abc.abstractmethod
    def apply(self, exchange: request_exchange.Exchange) -> FilterResult:
        """Return the exchange for the next filter, or the refusal of the request."""


class RequestHandler(abc.ABC):
    """Final step of request processing, which produces the response."""

    @abc.abstractmethod
    def serve(self, exchange: request_exchange.Exchange) -> HandlerResult:
        """Return the response, or the refusal of the request."""
