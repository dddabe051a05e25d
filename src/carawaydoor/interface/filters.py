"""The base of the filters that a request passes in turn."""

from __future__ import annotations

import abc

import expression

from carawaydoor.interface import errors, request_exchange

Passed = expression.Result[request_exchange.Exchange, errors.Refusal]
Served = expression.Result[request_exchange.Response, errors.Refusal]


class Filter(abc.ABC):
    """One stage of the way of a request."""

    @abc.abstractmethod
    def apply(self, exchange: request_exchange.Exchange) -> Passed:
        """Return the request for the next stage, or why it is refused."""


class Server(abc.ABC):
    """The last stage: it answers the request."""

    @abc.abstractmethod
    def serve(self, exchange: request_exchange.Exchange) -> Served:
        """Return the answer, or why the request is refused."""
