"""The interface between the request path and the HTTP protocol of a platform."""

from __future__ import annotations

import abc
import dataclasses
import enum
from collections.abc import Mapping
from typing import Any

import expression

from carawaydoor.policy import entities
from carawaydoor.serving import http_exchange, refusals


@dataclasses.dataclass(frozen=True, slots=True)
class EncodedRequest:
    """An HTTP request in the form in which it is written to an upstream.

    :ivar headers: all headers except ``Content-Length``
    :ivar request_id: id of the request, empty for one without an id
    """

    method: str
    target: str
    headers: http_exchange.Headers
    body: bytes
    request_id: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamRequest:
    """Parameters of one attempt to send a request to an upstream.

    :ivar time_left_s: time in seconds after which the upstream should give up
    :ivar prefill_only: whether the engine computes the KV cache of the prompt and stops there
    :ivar kv_source: location from which the engine fetches the KV cache, empty for none
    :ivar backup: engine that keeps a copy of the KV cache, None for no copy
    :ivar last_event_id: id of the event after which a stream is resumed, empty for a new stream
    :ivar hold: id of the memory that the engine holds for the request, empty for none
    :ivar goes_on_from_copy: whether a stream that broke off goes on from the copy of its KV cache there
    """

    upstream: entities.Upstream
    time_left_s: float
    prefill_only: bool = False
    kv_source: str = ""
    backup: entities.Upstream | None = None
    last_event_id: str = ""
    hold: str = ""
    goes_on_from_copy: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ResponseCheck:
    """What the status and headers of an upstream's response mean.

    :ivar is_genuine: whether the upstream itself sent the response, and to this request
    :ivar did_not_run: whether the upstream guarantees that it has not run the request
    :ivar is_other_incarnation: whether another server now listens at the address
    :ivar is_of_other_request: whether it says that it responds to another request
    """

    is_genuine: bool
    did_not_run: bool
    is_other_incarnation: bool
    is_of_other_request: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamNotice:
    """What an upstream says in the headers of a response about further requests.

    :ivar is_leaving: whether it is about to stop
    :ivar retry_after: how long it wants no requests from this instance, as stated; empty if it does
        not say
    :ivar date: when it sent the response, as stated
    :ivar limit: requests a second that it takes from all instances together, as stated; empty if it
        names no limit
    :ivar unknown_headers: names of headers that seem to be notices of another kind
    :ivar cold_ms: milliseconds for which it is still cold, as stated; empty if it does not say
    """

    is_leaving: bool = False
    retry_after: str = ""
    date: str = ""
    limit: str = ""
    unknown_headers: tuple[str, ...] = ()
    cold_ms: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class PrefilledPrompt:
    """Location and length of the KV cache that a prefill engine keeps for a decode engine."""

    kv_source: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class EngineReport:
    """State that an engine reports of itself; it may be some hundred milliseconds old.

    :ivar orders_accepted: number of stage orders that the engine accepted since its start
    :ivar kv_used: tokens in the KV cache that cannot be evicted
    """

    stage: entities.Stage
    is_busy: bool
    orders_accepted: int
    kv_used: int


class HoldOutcome(enum.Enum):
    """How an engine responded when it was asked to hold memory.

    ``REFUSED`` says that the engine has no room; ``UNSUPPORTED`` says nothing about it.
    """

    NOT_NEEDED = "not_needed"
    TAKEN = "taken"
    REFUSED = "refused"
    UNSUPPORTED = "unsupported"
    MISDIRECTED = "misdirected"
    FAILED = "failed"


class OrderOutcome(enum.Enum):
    """How an engine responded to a stage order."""

    ACCEPTED = "accepted"
    NOT_NEEDED = "not_needed"
    CONFLICT = "conflict"
    FENCED = "fenced"
    REJECTED = "rejected"
    UNANSWERED = "unanswered"


class ProtocolAdapter(abc.ABC):
    """Translates between the HTTP messages of a platform and the types of the request path."""

    @abc.abstractmethod
    def decode_request(
        self, environ: Mapping[str, Any]
    ) -> expression.Result[http_exchange.InboundRequest, refusals.Refusal]:
        """Return the request in a WSGI environment, or a refusal if it is malformed."""

    @abc.abstractmethod
    def request_id(self, environ: Mapping[str, Any]) -> str:
        """Return the id of the request in a WSGI environment, empty for one without an id."""

    @abc.abstractmethod
    def encode_request(
        self, exchange: http_exchange.HttpExchange, request: UpstreamRequest
    ) -> EncodedRequest:
        """Return the HTTP request for one attempt at an upstream."""

    @abc.abstractmethod
    def encode_forwarded(
        self,
        exchange: http_exchange.HttpExchange,
        time_left_s: float,
        instance: str,
        attempts_elsewhere: int,
    ) -> EncodedRequest:
        """Return a caller's request as it is passed on to another instance.

        :param time_left_s: time in seconds for which the caller still waits
        :param instance: this instance
        :param attempts_elsewhere: attempts that further instances may have made or may make
        """

    @abc.abstractmethod
    def is_forwarded(self, environ: Mapping[str, Any]) -> bool:
        """Return whether another instance has passed the request in a WSGI environment on."""

    @abc.abstractmethod
    def check_response(
        self,
        exchange: http_exchange.HttpExchange,
        status: int,
        headers: Mapping[str, str],
        is_first: bool,
    ) -> ResponseCheck:
        """Return what an upstream's response means; header names are in lower case.

        :param is_first: whether the connection carried no earlier request, to which this could respond
        """

    @abc.abstractmethod
    def decode_notice(
        self, status: int, headers: Mapping[str, str], request_id: str, is_first: bool
    ) -> UpstreamNotice | None:
        """Return what an upstream says about further requests; header names are in lower case.

        :param request_id: id of the request that was sent, empty for one without an id
        :param is_first: whether the connection carried no earlier request
        :return: None if the response is another server's, or a late one to an earlier request
        """

    @abc.abstractmethod
    def caller_headers(self, headers: http_exchange.Headers) -> http_exchange.Headers:
        """Return the headers of an upstream's response that are forwarded to the caller."""

    @abc.abstractmethod
    def parse_prefill(self, upstream: entities.Upstream, content: bytes) -> PrefilledPrompt | None:
        """Return where an engine keeps a prefilled KV cache, None if its response is malformed."""

    @abc.abstractmethod
    def backup_kv_source(self, backup: entities.Upstream, request_id: str) -> str:
        """Return the location of the copy of a generation's KV cache."""

    @abc.abstractmethod
    def encode_release(self, upstream: entities.Upstream, kv_source: str) -> EncodedRequest:
        """Return the HTTP request that releases the KV cache of a prompt."""

    @abc.abstractmethod
    def encode_hold(self, upstream: entities.Upstream, tokens: int, ttl_s: float) -> EncodedRequest:
        """Return the HTTP request that has an engine hold a slot and memory for a request.

        :param tokens: tokens that the request takes up in the KV cache
        :param ttl_s: time in seconds after which the engine releases what no request has used
        """

    @abc.abstractmethod
    def parse_hold(self, status: int, content: bytes) -> tuple[HoldOutcome, str]:
        """Return the outcome and the id of the held memory, which is empty if none is held."""

    @abc.abstractmethod
    def encode_hold_release(self, upstream: entities.Upstream, hold: str) -> EncodedRequest:
        """Return the HTTP request that releases held memory."""

    @abc.abstractmethod
    def encode_report_request(self, upstream: entities.Upstream) -> EncodedRequest:
        """Return the HTTP request for an engine's report."""

    @abc.abstractmethod
    def parse_report(self, content: bytes) -> EngineReport | None:
        """Return the report of an engine, None if it is malformed."""

    @abc.abstractmethod
    def encode_order(
        self,
        upstream: entities.Upstream,
        stage: entities.Stage,
        holder: str,
        epoch: int,
        expected: int,
    ) -> EncodedRequest:
        """Return the HTTP request that orders an engine to change its stage.

        :param holder: id of the instance that issues the order
        :param epoch: fencing epoch; an engine rejects epochs lower than the highest it has seen
        :param expected: number of orders accepted so far; the engine rejects the order if its own
            number differs
        """

    @abc.abstractmethod
    def parse_order_outcome(self, status: int) -> OrderOutcome:
        """Return the outcome of a stage order from the status of the response."""

    @abc.abstractmethod
    def refusal_headers(self, refusal: refusals.Refusal, request_id: str) -> http_exchange.Headers:
        """Return the headers of a response that refuses a request."""
