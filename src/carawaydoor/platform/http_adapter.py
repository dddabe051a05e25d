"""Translates requests and answers on the platform's wire."""

from __future__ import annotations

import json
import math
from collections.abc import Iterator, Mapping
from typing import Any, Final

import expression

from carawaydoor.platform import names
from carawaydoor.policy import model
from carawaydoor.serving import http_exchange, protocol_adapter, refusals

_MS_PER_S: Final = 1000.0
_STAGE_PREFILL: Final = "prefill"
_MISDIRECTED: Final = 421
# Statuses that an upstream may send beside the header that says that it has not run a request.
_NOT_RUN_STATUSES: Final = frozenset({400, 408, 429, 503})
_OUTCOME_BY_ORDER_STATUS: Final = {
    200: protocol_adapter.OrderOutcome.NOT_NEEDED,
    202: protocol_adapter.OrderOutcome.ACCEPTED,
    409: protocol_adapter.OrderOutcome.CONFLICT,
    412: protocol_adapter.OrderOutcome.FENCED,
}
_PROBLEM_TYPE: Final = "application/problem+json"


class PlatformHttpAdapter(protocol_adapter.ProtocolAdapter):
    """The platform's wire."""

    def decode_request(
        self, environ: Mapping[str, Any]
    ) -> expression.Result[http_exchange.InboundRequest, refusals.Refusal]:
        """Return the request in a WSGI environment, or why it can't be read."""
        try:
            inbound = http_exchange.InboundRequest(
                id=_text(environ, names.Header.REQUEST_ID) or "",
                method=environ["REQUEST_METHOD"],
                target=_target(environ),
                host=environ.get("HTTP_HOST", ""),
                headers=tuple(_forwarded(environ)),
                body=environ["wsgi.input"].read(),
                key=_text(environ, names.Header.KEY),
                timeout_s=_seconds(environ, names.Header.TIME_LEFT_MS),
                prompt=_prompt(environ),
                last_event_id=_text(environ, names.Header.LAST_EVENT_ID) or "",
                is_gone=environ.get("waitress.client_disconnected", lambda: False),
            )
        except ValueError as error:
            return expression.Error(refusals.Refusal(refusals.Reason.MALFORMED, str(error)))
        return expression.Ok(inbound)

    def encode_request(
        self, exchange: http_exchange.HttpExchange, send: protocol_adapter.UpstreamRequest
    ) -> protocol_adapter.EncodedRequest:
        """Return the call that sends a request to an upstream."""
        inbound = exchange.inbound
        left_ms = max(1, int(send.time_left_s * _MS_PER_S))
        headers = [
            ("Host", inbound.host),
            *inbound.headers,
            (names.Header.TIME_LEFT_MS.value, str(left_ms)),
            (names.Header.EXPECT_INCARNATION.value, send.upstream.id),
        ]
        if exchange.workspace is not None:
            headers.append((names.Header.WORKSPACE.value, exchange.workspace.name))
        if send.prefill_only:
            headers.append((names.Header.STAGE.value, _STAGE_PREFILL))
        if send.kv_source:
            headers.append((names.Header.KV_SOURCE.value, send.kv_source))
        if send.backup is not None:
            headers.append((names.Header.KV_BACKUP.value, send.backup.address))
        if send.last_event_id:
            headers = [each for each in headers if each[0] != names.Header.LAST_EVENT_ID.value]
            headers.append((names.Header.LAST_EVENT_ID.value, send.last_event_id))
        return protocol_adapter.EncodedRequest(
            inbound.method, inbound.target, tuple(headers), inbound.body
        )

    def check_response(
        self, exchange: http_exchange.HttpExchange, status: int, headers: Mapping[str, str]
    ) -> protocol_adapter.ResponseCheck:
        """Return what an answer of an upstream says; header names are in lower case."""
        misdirected = status == _MISDIRECTED
        denied = names.Header.NOT_RUN.lower() in headers and status in _NOT_RUN_STATUSES
        echoed = headers.get(names.Header.REQUEST_ID.lower())
        belongs = echoed == exchange.inbound.id
        stamped = names.Header.STAMP.lower() in headers
        # Another server at the address need not know the request; everything else names it, and an
        # answer without a name may be an earlier request's that comes late.
        did_not_run = (misdirected and echoed is None) or (belongs and (misdirected or denied))
        return protocol_adapter.ResponseCheck(belongs and stamped, did_not_run, misdirected)

    def caller_headers(self, headers: http_exchange.Headers) -> http_exchange.Headers:
        """Return the headers of an upstream's answer that go to the caller."""
        return tuple(each for each in headers if each[0].lower() not in names.HOP_BY_HOP_HEADERS)

    def parse_prefill(
        self, upstream: model.Upstream, content: bytes
    ) -> protocol_adapter.PrefilledPrompt | None:
        """Return the memory that an engine keeps, None where its answer can't be read."""
        try:
            document = json.loads(content)
            handle, tokens = document["handle"], document["tokens"]
        except (ValueError, KeyError, TypeError):
            return None
        if not isinstance(handle, str) or not isinstance(tokens, int):
            return None
        return protocol_adapter.PrefilledPrompt(f"{upstream.address}/{handle}", tokens)

    def backup_kv_source(self, backup: model.Upstream, request_id: str) -> str:
        """Return where the copy of a run's memory lies."""
        return f"{backup.address}/{request_id}"

    def encode_release(
        self, upstream: model.Upstream, kv_source: str
    ) -> protocol_adapter.EncodedRequest:
        """Return the call that frees the memory of a prompt."""
        headers = (
            ("Host", upstream.address),
            (names.Header.EXPECT_INCARNATION.value, upstream.id),
        )
        path = names.HANDLE_PATH + kv_source.rpartition("/")[2]
        return protocol_adapter.EncodedRequest("DELETE", path, headers, b"")

    def encode_report_request(self, upstream: model.Upstream) -> protocol_adapter.EncodedRequest:
        """Return the call that asks an engine for its report."""
        return protocol_adapter.EncodedRequest(
            "GET", names.REPORT_PATH, (("Host", upstream.address),), b""
        )

    def parse_report(self, content: bytes) -> protocol_adapter.EngineReport | None:
        """Return what an engine says of itself, None where it can't be read."""
        try:
            document = json.loads(content)
            return protocol_adapter.EngineReport(
                model.Stage(document["stage"]),
                bool(document["busy"]),
                # In a report this counts orders; in the store's entries it counts heartbeats.
                int(document["sequenceNumber"]),
                int(document["kvUsed"]),
            )
        except (ValueError, KeyError, TypeError):
            return None

    def encode_order(
        self, upstream: model.Upstream, stage: model.Stage, holder: str, epoch: int, expected: int
    ) -> protocol_adapter.EncodedRequest:
        """Return the call that orders an engine to change its stage."""
        document = {
            "operation": "stage",
            "stage": stage.value,
            "holder": holder,
            "fencingToken": epoch,
            "expected": expected,
        }
        headers = (
            ("Host", upstream.address),
            ("Content-Type", "application/json"),
            (names.Header.EXPECT_INCARNATION.value, upstream.id),
        )
        return protocol_adapter.EncodedRequest(
            "POST", names.ORDER_PATH, headers, json.dumps(document).encode()
        )

    def parse_order_outcome(self, status: int) -> protocol_adapter.OrderOutcome:
        """Return how an engine answered an order."""
        return _OUTCOME_BY_ORDER_STATUS.get(status, protocol_adapter.OrderOutcome.REJECTED)

    def refusal_headers(self, refusal: refusals.Refusal, request_id: str) -> http_exchange.Headers:
        """Return the headers of an answer of the router's own."""
        headers = [("Content-Type", _PROBLEM_TYPE)]
        if request_id:
            headers.append((names.Header.REQUEST_ID.value, request_id))
        if refusal.retry_after_s is not None:
            headers.append((names.Header.RETRY_AFTER.value, f"{refusal.retry_after_s:.3f}"))
        return tuple(headers)


def _environ_name(header: str) -> str:
    return "HTTP_" + header.upper().replace("-", "_")


def _text(environ: Mapping[str, Any], header: names.Header) -> str | None:
    value = environ.get(_environ_name(header))
    return value.strip() if isinstance(value, str) else None


def _target(environ: Mapping[str, Any]) -> str:
    target = str(environ.get("REQUEST_URI") or environ["PATH_INFO"])
    if not target.startswith("/"):
        raise ValueError("the request target is not a path")
    return target


def _forwarded(environ: Mapping[str, Any]) -> Iterator[tuple[str, str]]:
    if environ.get("CONTENT_TYPE"):
        yield "Content-Type", environ["CONTENT_TYPE"]
    listed = {each.strip().lower() for each in environ.get("HTTP_CONNECTION", "").split(",")}
    for key, value in environ.items():
        if not key.startswith("HTTP_"):
            continue
        name = key[5:].replace("_", "-").title()
        lower = name.lower()
        if lower in names.OWN_HEADERS or lower in names.HOP_BY_HOP_HEADERS or lower in listed:
            continue
        yield name, value


def _seconds(environ: Mapping[str, Any], header: names.Header) -> float | None:
    text = _text(environ, header)
    if text is None:
        return None
    seconds = float(text) / _MS_PER_S
    if not math.isfinite(seconds) or seconds < 0.0:
        raise ValueError(f"{header.value} is not a number of milliseconds")
    return seconds


def _prompt(environ: Mapping[str, Any]) -> model.Prompt | None:
    text = _text(environ, names.Header.TOKENS)
    if text is None:
        return None
    parts = text.split(",")
    if len(parts) != 2 or not all(part.strip().isdecimal() for part in parts):
        raise ValueError(f"{names.Header.TOKENS.value} is not two numbers")
    tokens, most = (int(part) for part in parts)
    estimate = _text(environ, names.Header.OUTPUT_ESTIMATE) or ""
    expected = int(estimate) if estimate.isdecimal() else most
    return model.Prompt(tokens, most, expected)
