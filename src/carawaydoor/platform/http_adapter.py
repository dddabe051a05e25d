"""Translates requests and responses to and from the platform's HTTP protocol."""

from __future__ import annotations

import hashlib
import json
import math
from collections.abc import Iterator, Mapping
from typing import Any, Final

import eliot
import expression
import pydantic

from carawaydoor.platform import engine_documents, names
from carawaydoor.policy import entities
from carawaydoor.serving import http_exchange, protocol_adapter, refusals

_MS_PER_S: Final = 1000.0
_LEAVING: Final = "1"
_STAGE_PREFILL: Final = "prefill"
_MISDIRECTED_STATUS: Final = 421
_UNAVAILABLE_STATUS: Final = 503
# The header that says that a request was not run is trusted only with these statuses.
_NOT_RUN_STATUSES: Final = frozenset({400, 408, 429, 503})
_OUTCOME_BY_ORDER_STATUS: Final = {
    200: protocol_adapter.OrderOutcome.NOT_NEEDED,
    202: protocol_adapter.OrderOutcome.ACCEPTED,
    409: protocol_adapter.OrderOutcome.CONFLICT,
    412: protocol_adapter.OrderOutcome.FENCED,
}
_OUTCOME_BY_HOLD_STATUS: Final = {
    200: protocol_adapter.HoldOutcome.TAKEN,
    _MISDIRECTED_STATUS: protocol_adapter.HoldOutcome.MISDIRECTED,
    _UNAVAILABLE_STATUS: protocol_adapter.HoldOutcome.REFUSED,
}
_PART_DIGEST_BYTES: Final = 8
# Bounds what is kept of one prompt; the headers alone would allow hundreds of parts.
_MAX_SHARED_PARTS: Final = 32
# Standard headers for callers that begin like an upstream's notices to the router.
_FORWARDED_NOTICE_HEADERS: Final = frozenset({"server-timing"})
_MAX_TOKEN_DIGITS: Final = 9
# Positions of the source have 63 bits.
_MAX_POSITION_DIGITS: Final = 19
_PROBLEM_TYPE: Final = "application/problem+json"


class PlatformHttpAdapter(protocol_adapter.ProtocolAdapter):
    """Adapter for the platform's HTTP protocol."""

    def decode_request(
        self, environ: Mapping[str, Any]
    ) -> expression.Result[http_exchange.InboundRequest, refusals.Refusal]:
        """Decode the request in a WSGI environment, or return a refusal if it is malformed."""
        try:
            inbound = http_exchange.InboundRequest(
                id=_header_text(environ, names.Header.REQUEST_ID) or "",
                method=environ["REQUEST_METHOD"],
                target=_request_target(environ),
                host=environ.get("HTTP_HOST", ""),
                headers=tuple(_forwarded_headers(environ)),
                body=environ["wsgi.input"].read(),
                key=_header_text(environ, names.Header.KEY),
                timeout_s=_header_seconds(environ, names.Header.TIME_LEFT_MS),
                prompt=_decode_prompt(environ),
                last_event_id=_header_text(environ, names.Header.LAST_EVENT_ID) or "",
                resumes=_header_text(environ, names.Header.RESUMES) or "",
                attempts_elsewhere=_header_count(environ, names.Header.ATTEMPTS_ELSEWHERE),
                configuration_position=_header_position(environ),
                is_gone=environ.get("waitress.client_disconnected", lambda: False),
            )
        except ValueError as error:
            return expression.Error(refusals.Refusal(refusals.Reason.MALFORMED, str(error)))
        return expression.Ok(inbound)

    def request_id(self, environ: Mapping[str, Any]) -> str:
        """Return the id of the request in a WSGI environment, empty for one without an id."""
        return _header_text(environ, names.Header.REQUEST_ID) or ""

    def encode_request(
        self, exchange: http_exchange.HttpExchange, request: protocol_adapter.UpstreamRequest
    ) -> protocol_adapter.EncodedRequest:
        """Encode a request to an upstream."""
        inbound = exchange.inbound
        remaining_ms = max(1, int(request.time_left_s * _MS_PER_S))
        headers = [
            ("Host", inbound.host),
            *inbound.headers,
            (names.Header.TIME_LEFT_MS.value, str(remaining_ms)),
            (names.Header.EXPECT_INCARNATION.value, request.upstream.id),
        ]
        if exchange.workspace is not None:
            headers.append((names.Header.WORKSPACE.value, exchange.workspace.name))
        if request.prefill_only:
            headers.append((names.Header.STAGE.value, _STAGE_PREFILL))
        if request.kv_source:
            headers.append((names.Header.KV_SOURCE.value, request.kv_source))
        if request.hold:
            headers.append((names.Header.HOLD.value, request.hold))
        if request.backup is not None:
            headers.append((names.Header.KV_BACKUP.value, request.backup.address))
        if exchange.engine_priority is not None:
            headers.append((names.Header.PRIORITY.value, str(exchange.engine_priority)))
        if request.last_event_id:
            headers = [each for each in headers if each[0] != names.Header.LAST_EVENT_ID.value]
            headers.append((names.Header.LAST_EVENT_ID.value, request.last_event_id))
        return protocol_adapter.EncodedRequest(
            inbound.method, inbound.target, tuple(headers), inbound.body, inbound.id
        )

    def encode_forwarded(
        self,
        exchange: http_exchange.HttpExchange,
        time_left_s: float,
        instance: str,
        attempts_elsewhere: int,
    ) -> protocol_adapter.EncodedRequest:
        """Encode a caller's request for another instance."""
        inbound = exchange.inbound
        headers = [
            ("Host", inbound.host),
            *inbound.headers,
            (names.Header.TIME_LEFT_MS.value, str(max(1, int(time_left_s * _MS_PER_S)))),
            (names.Header.FORWARDED_BY.value, instance),
            (names.Header.ATTEMPTS_ELSEWHERE.value, str(attempts_elsewhere)),
            (names.Header.CONFIGURATION_POSITION.value, str(exchange.revision)),
        ]
        if inbound.key is not None:
            headers.append((names.Header.KEY.value, inbound.key))
        return protocol_adapter.EncodedRequest(
            inbound.method, inbound.target, tuple(headers), inbound.body, inbound.id
        )

    def is_forwarded(self, environ: Mapping[str, Any]) -> bool:
        """Return whether another instance has passed a request on."""
        return _header_text(environ, names.Header.FORWARDED_BY) is not None

    def check_response(
        self,
        exchange: http_exchange.HttpExchange,
        status: int,
        headers: Mapping[str, str],
        is_first: bool,
    ) -> protocol_adapter.ResponseCheck:
        """Classify a response of an upstream.

        :param headers: headers of the response, with names in lower case
        :param is_first: whether the connection carried no earlier request
        """
        misdirected = status == _MISDIRECTED_STATUS
        says_not_run = names.Header.NOT_RUN.lower() in headers and status in _NOT_RUN_STATUSES
        echoed_id = headers.get(names.Header.REQUEST_ID.lower())
        matches_request = echoed_id == exchange.inbound.id
        has_stamp = names.Header.STAMP.lower() in headers
        # Only a 421 may lack the request's id, since it may come from another server that now has
        # the address. Any other response without it, and a 421 on a connection that was used before,
        # may be a late or repeated one to an earlier request.
        did_not_run = (misdirected and echoed_id is None and is_first) or (
            matches_request and (misdirected or says_not_run)
        )
        return protocol_adapter.ResponseCheck(
            matches_request and has_stamp,
            did_not_run,
            misdirected,
            echoed_id is not None and not matches_request,
        )

    def decode_notice(
        self, status: int, headers: Mapping[str, str], request_id: str, is_first: bool
    ) -> protocol_adapter.UpstreamNotice | None:
        """Decode what an upstream says about further requests.

        :param headers: headers of the response, with names in lower case
        :param request_id: id of the request that was sent, empty for one without an id
        :param is_first: whether the connection carried no earlier request
        """
        assumed_id = request_id if is_first else ""
        echoed_id = headers.get(names.Header.REQUEST_ID.lower(), assumed_id)
        if status == _MISDIRECTED_STATUS or echoed_id != request_id:
            # Sent by another server that now has the address, or in response to an earlier request.
            return None
        return protocol_adapter.UpstreamNotice(
            is_leaving=headers.get(names.Header.LEAVING.lower(), "").strip() == _LEAVING,
            retry_after=(
                headers.get(names.Header.RETRY_AFTER.lower(), "").strip()
                if status == _UNAVAILABLE_STATUS
                else ""
            ),
            date=headers.get("date", ""),
            limit=headers.get(names.Header.LIMIT.lower(), "").strip(),
            cold_ms=headers.get(names.Header.COLD_MS.lower(), "").strip(),
            unknown_headers=tuple(
                name
                for name in headers
                if name.startswith(names.UPSTREAM_NOTICE_PREFIX)
                and name not in names.UPSTREAM_NOTICE_HEADERS
                and name not in _FORWARDED_NOTICE_HEADERS
            ),
        )

    def caller_headers(self, headers: http_exchange.Headers) -> http_exchange.Headers:
        """Return the headers of an upstream's response that are passed on to the caller."""
        dropped = names.HOP_BY_HOP_HEADERS | names.UPSTREAM_NOTICE_HEADERS
        return tuple(each for each in headers if each[0].lower() not in dropped)

    def parse_prefill(
        self, upstream: entities.Upstream, content: bytes
    ) -> protocol_adapter.PrefilledPrompt | None:
        """Parse the response to a prefill request.

        :return: where the prompt's KV cache is kept, None if the response is malformed
        """
        try:
            return engine_documents.decode_prefilled(upstream, content)
        except pydantic.ValidationError:
            # The caller logs that the prompt was not read.
            return None

    def backup_kv_source(self, backup: entities.Upstream, request_id: str) -> str:
        """Return the location of the copy of a request's KV cache."""
        return f"{backup.address}/{request_id}"

    def encode_release(
        self, upstream: entities.Upstream, kv_source: str
    ) -> protocol_adapter.EncodedRequest:
        """Encode the request that frees the KV cache of a prompt."""
        headers = (
            ("Host", upstream.address),
            (names.Header.EXPECT_INCARNATION.value, upstream.id),
        )
        path = names.HANDLE_PATH + kv_source.rpartition("/")[2]
        return protocol_adapter.EncodedRequest("DELETE", path, headers, b"")

    def encode_hold(
        self, upstream: entities.Upstream, tokens: int, ttl_s: float
    ) -> protocol_adapter.EncodedRequest:
        """Encode the request that has an engine hold a slot and memory."""
        headers = (
            ("Host", upstream.address),
            ("Content-Type", "application/json"),
            (names.Header.EXPECT_INCARNATION.value, upstream.id),
        )
        document = {"tokens": tokens, "ttlMs": int(ttl_s * _MS_PER_S)}
        return protocol_adapter.EncodedRequest(
            "POST", names.HOLD_PATH, headers, json.dumps(document).encode()
        )

    def parse_hold(self, status: int, content: bytes) -> tuple[protocol_adapter.HoldOutcome, str]:
        """Return the outcome and the id of the held memory, which is empty if none is held."""
        outcome = _OUTCOME_BY_HOLD_STATUS.get(status, protocol_adapter.HoldOutcome.UNSUPPORTED)
        if outcome is not protocol_adapter.HoldOutcome.TAKEN:
            return outcome, ""
        try:
            return outcome, engine_documents.decode_hold(content)
        except pydantic.ValidationError as error:
            eliot.log_message(message_type="hold_malformed", detail=str(error)[:300])
            return protocol_adapter.HoldOutcome.UNSUPPORTED, ""

    def encode_hold_release(
        self, upstream: entities.Upstream, hold: str
    ) -> protocol_adapter.EncodedRequest:
        """Encode the request that releases held memory."""
        headers = (
            ("Host", upstream.address),
            (names.Header.EXPECT_INCARNATION.value, upstream.id),
        )
        return protocol_adapter.EncodedRequest(
            "DELETE", names.HOLD_RELEASE_PATH + hold, headers, b""
        )

    def encode_report_request(self, upstream: entities.Upstream) -> protocol_adapter.EncodedRequest:
        """Encode the request for the status report of an engine."""
        return protocol_adapter.EncodedRequest(
            "GET", names.REPORT_PATH, (("Host", upstream.address),), b""
        )

    def parse_report(self, content: bytes) -> protocol_adapter.EngineReport | None:
        """Parse the status report of an engine; return None if it is malformed."""
        try:
            return engine_documents.decode_report(content)
        except pydantic.ValidationError as error:
            eliot.log_message(message_type="engine_report_malformed", detail=str(error)[:300])
            return None

    def encode_order(
        self,
        upstream: entities.Upstream,
        stage: entities.Stage,
        holder: str,
        epoch: int,
        expected: int,
    ) -> protocol_adapter.EncodedRequest:
        """Encode the request that orders an engine to change its stage."""
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
        """Return the outcome of an order from the status of the response."""
        return _OUTCOME_BY_ORDER_STATUS.get(status, protocol_adapter.OrderOutcome.REJECTED)

    def refusal_headers(self, refusal: refusals.Refusal, request_id: str) -> http_exchange.Headers:
        """Return the headers of an error response of the router itself."""
        headers = [("Content-Type", _PROBLEM_TYPE)]
        if request_id:
            headers.append((names.Header.REQUEST_ID.value, request_id))
        if refusal.retry_after_s is not None:
            headers.append((names.Header.RETRY_AFTER.value, f"{refusal.retry_after_s:.3f}"))
        return tuple(headers)


def _environ_key(header: str) -> str:
    return "HTTP_" + header.upper().replace("-", "_")


def _header_text(environ: Mapping[str, Any], header: names.Header) -> str | None:
    value = environ.get(_environ_key(header))
    return value.strip() if isinstance(value, str) else None


def _request_target(environ: Mapping[str, Any]) -> str:
    target = str(environ.get("REQUEST_URI") or environ["PATH_INFO"])
    if not target.startswith("/"):
        raise ValueError("the request target is not a path")
    return target


def _forwarded_headers(environ: Mapping[str, Any]) -> Iterator[tuple[str, str]]:
    if environ.get("CONTENT_TYPE"):
        yield "Content-Type", environ["CONTENT_TYPE"]
    connection_headers = {
        each.strip().lower() for each in environ.get("HTTP_CONNECTION", "").split(",")
    }
    for environ_key, value in environ.items():
        if not environ_key.startswith("HTTP_"):
            continue
        name = environ_key[5:].replace("_", "-").title()
        lower_name = name.lower()
        if (
            lower_name in names.ROUTER_HEADERS
            or lower_name in names.HOP_BY_HOP_HEADERS
            or lower_name in connection_headers
        ):
            continue
        yield name, value


def _header_seconds(environ: Mapping[str, Any], header: names.Header) -> float | None:
    text = _header_text(environ, header)
    if text is None:
        return None
    seconds = float(text) / _MS_PER_S
    if not math.isfinite(seconds) or seconds < 0.0:
        raise ValueError(f"{header.value} must be a non-negative number of milliseconds")
    return seconds


def _header_count(environ: Mapping[str, Any], header: names.Header) -> int:
    text = _header_text(environ, header) or ""
    return int(text) if _is_token_count(text) else 0


def _header_position(environ: Mapping[str, Any]) -> int:
    text = _header_text(environ, names.Header.CONFIGURATION_POSITION) or ""
    return int(text) if text.isdecimal() and len(text) <= _MAX_POSITION_DIGITS else 0


def _decode_prompt(environ: Mapping[str, Any]) -> entities.Prompt | None:
    text = _header_text(environ, names.Header.TOKENS)
    if text is None:
        return None
    counts = text.split(",")
    if len(counts) != 2 or not all(_is_token_count(count.strip()) for count in counts):
        raise ValueError(
            f"{names.Header.TOKENS.value} must be two whole numbers separated by a comma"
        )
    prompt_tokens, max_output_tokens = (int(count) for count in counts)
    estimate = _header_text(environ, names.Header.OUTPUT_ESTIMATE) or ""
    expected_output_tokens = int(estimate) if _is_token_count(estimate) else max_output_tokens
    shared_parts = _decode_shared_parts(_header_text(environ, names.Header.PROMPT_PARTS) or "")
    return entities.Prompt(prompt_tokens, max_output_tokens, expected_output_tokens, shared_parts)


def _is_token_count(text: str) -> bool:
    return text.isdecimal() and len(text) <= _MAX_TOKEN_DIGITS


def _decode_shared_parts(text: str) -> tuple[str, ...]:
    """Return the digests of all parts but the last, which belongs to this prompt alone."""
    ids = [each.partition(":")[0].strip() for each in text.split(",")]
    return tuple(
        hashlib.blake2b(each.encode(), digest_size=_PART_DIGEST_BYTES).hexdigest()
        for each in ids[:-1][:_MAX_SHARED_PARTS]
        if each
    )
