"""What the pipe asks of the wire that it serves."""

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
    """A request to an upstream, ready to be written.

    :ivar headers: every header but the length of the body
    """

    method: str
    target: str
    headers: http_exchange.Headers
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamRequest:
    """How a request goes to an upstream.

    :ivar time_left_s: time in seconds after which the upstream gives up
    :ivar reads_prompt_only: whether the engine only reads the prompt and keeps its memory
    :ivar source: where the memory of the prompt lies that the engine fetches, else empty
    :ivar backup: engine that keeps a copy of the run's memory, None for no copy
    :ivar last_event_id: last event that the caller has, for a stream that goes on, else empty
    """

    upstream: entities.Upstream
    time_left_s: float
    prefill_only: bool = False
    kv_source: str = ""
    backup: entities.Upstream | None = None
    last_event_id: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class ResponseCheck:
    """What the headers of an answer say.

    :ivar is_genuine: whether the answer is the upstream's own and belongs to the request
    :ivar did_not_run: whether the upstream vouches that it has not run the request
    :ivar is_other_incarnation: whether another server has the address now
    """

    is_genuine: bool
    did_not_run: bool
    is_other_incarnation: bool


@dataclasses.dataclass(frozen=True, slots=True)
class PrefilledPrompt:
    """Memory of a prompt that an engine keeps for a decode engine."""

    kv_source: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class EngineReport:
    """What an engine says of itself, some hundred milliseconds old.

    :ivar orders_accepted: orders that it has accepted since its start
    :ivar kv_used: tokens in its memory that cannot yield
    """

    stage: entities.Stage
    is_busy: bool
    orders_accepted: int
    kv_used: int


class OrderOutcome(enum.Enum):
    """How an engine answered an order."""

    ACCEPTED = "accepted"
    NOT_NEEDED = "not_needed"
    CONFLICT = "conflict"
    FENCED = "fenced"
    REJECTED = "rejected"
    UNANSWERED = "unanswered"


class ProtocolAdapter(abc.ABC):
    """Translates between a wire and the types of the pipe."""

    @abc.abstractmethod
    def decode_request(
        self, environ: Mapping[str, Any]
    ) -> expression.Result[http_exchange.InboundRequest, refusals.Refusal]:
        """Return the request in a WSGI environment, or why it can't be read."""

    @abc.abstractmethod
    def encode_request(
        self, exchange: http_exchange.HttpExchange, send: UpstreamRequest
    ) -> EncodedRequest:
        """Return the call that sends a request to an upstream."""

    @abc.abstractmethod
    def check_response(
        self, exchange: http_exchange.HttpExchange, status: int, headers: Mapping[str, str]
    ) -> ResponseCheck:
        """Return what an answer of an upstream says; header names are in lower case."""

    @abc.abstractmethod
    def caller_headers(self, headers: http_exchange.Headers) -> http_exchange.Headers:
        """Return the headers of an upstream's answer that go to the caller."""

    @abc.abstractmethod
    def parse_prefill(self, upstream: entities.Upstream, content: bytes) -> PrefilledPrompt | None:
        """Return the memory that an engine keeps, None where its answer can't be read."""

    @abc.abstractmethod
    def backup_kv_source(self, backup: entities.Upstream, request_id: str) -> str:
        """Return where the copy of a run's memory lies."""

    @abc.abstractmethod
    def encode_release(self, upstream: entities.Upstream, kv_source: str) -> EncodedRequest:
        """Return the call that frees the memory of a prompt."""

    @abc.abstractmethod
    def encode_report_request(self, upstream: entities.Upstream) -> EncodedRequest:
        """Return the call that asks an engine for its report."""

    @abc.abstractmethod
    def parse_report(self, content: bytes) -> EngineReport | None:
        """Return what an engine says of itself, None where it can't be read."""

    @abc.abstractmethod
    def encode_order(
        self,
        upstream: entities.Upstream,
        stage: entities.Stage,
        holder: str,
        epoch: int,
        expected: int,
    ) -> EncodedRequest:
        """Return the call that orders an engine to change its stage.

        :param epoch: orders with a lower one than an engine has seen are outdated
        :param expected: orders that the engine has accepted so far; it refuses where that differs
        """

    @abc.abstractmethod
    def parse_order_outcome(self, status: int) -> OrderOutcome:
        """Return how an engine answered an order."""

    @abc.abstractmethod
    def refusal_headers(self, refusal: refusals.Refusal, request_id: str) -> http_exchange.Headers:
        """Return the headers of an answer of the router's own."""
