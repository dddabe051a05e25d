"""Runs completions on the engines: prefill, KV cache transfer, decode, and the response."""

from __future__ import annotations

import contextlib
import dataclasses
import itertools
import json
from collections.abc import Iterator
from typing import Final

import expression

from carawaydoor.interface import (
    chat_message,
    engine_protocol,
    errors,
    filters,
    instance_context,
    problem_document,
    request_exchange,
    slot_client,
    stream_checks,
    stream_resumption,
    suspension,
    upstream_call,
)

MAX_ATTEMPTS: Final = 2
IDLE_TIMEOUT_S: Final = 15.0
STREAM_HEADERS: Final = (("Content-Type", "text/event-stream"), ("Cache-Control", "no-store"))


@dataclasses.dataclass(slots=True)
class Attempt:
    """One attempt to run a request on a leased slot.

    :ivar resources: releases what the attempt holds
    :ivar active_upstream: upstream now running the request, to which a failure is attributed
    :ivar upstream_failed: whether the scheduler is to avoid that upstream for a time
    """

    number: int
    slot: slot_client.LeasedSlot
    resources: contextlib.ExitStack
    active_upstream: str = ""
    upstream_failed: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class StartedAttempt:
    """An attempt whose first chunk has arrived."""

    attempt: Attempt
    chunks: Iterator[stream_checks.Chunk]


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptFailure:
    """An attempt that failed.

    :ivar failed_upstream: upstream to avoid in the next attempt, empty if a retry is pointless
    """

    failed_upstream: str
    refusal: errors.Refusal


StartResult = expression.Result[StartedAttempt, AttemptFailure]
AttemptResult = expression.Result[request_exchange.Response, AttemptFailure]


class CompletionHandler(filters.RequestHandler):
    """Runs a completion, with one retry if it fails before anything is sent to the caller."""

    def __init__(self, context: instance_context.InstanceContext) -> None:
        self._context = context
        self._slot_client = slot_client.SlotClient(context)

    def serve(self, exchange: request_exchange.Exchange) -> filters.HandlerResult:
        """Run the request and return its response, streamed or as one document."""
        self._context.record_attempt()
        excluded: tuple[str, ...] = ()
        refusal = _upstream_failed_refusal()
        for attempt_number in range(MAX_ATTEMPTS):
            result = self._attempt(exchange, attempt_number, excluded)
            if result.is_ok():
                return expression.Ok(result.ok)
            refusal = result.error.refusal
            excluded = (*excluded, result.error.failed_upstream)
            if not self._may_retry(exchange, attempt_number, result.error.failed_upstream):
                break
        return expression.Error(refusal)

    def _attempt(
        self, exchange: request_exchange.Exchange, attempt_number: int, excluded: tuple[str, ...]
    ) -> AttemptResult:
        started = self._start(exchange, attempt_number, excluded)
        if started.is_error():
            return expression.Error(started.error)
        if exchange.completion is not None and exchange.completion.stream:
            chunks = self._stream(exchange, started.ok)
            return expression.Ok(request_exchange.Response(200, STREAM_HEADERS, chunks))
        return self._collect(exchange, started.ok)

    def _may_retry(
        self, exchange: request_exchange.Exchange, attempt_number: int, failed_upstream: str
    ) -> bool:
        if (
            not failed_upstream
            or attempt_number + 1 >= MAX_ATTEMPTS
            or exchange.cancel_token.reason is not None
        ):
            return False
        if suspension.suspension_refusal(self._context, exchange) is not None:
            return False
        return self._context.take_retry()

    def _start(
        self, exchange: request_exchange.Exchange, attempt_number: int, excluded: tuple[str, ...]
    ) -> StartResult:
        """Run an attempt until its first chunk arrives."""
        leased = self._slot_client.acquire(exchange, attempt_number, excluded)
        if leased.is_error():
            ran = errors.Ran.UNKNOWN if attempt_number > 0 else leased.error.ran
            return expression.Error(AttemptFailure("", dataclasses.replace(leased.error, ran=ran)))
        attempt = Attempt(attempt_number, leased.ok, contextlib.ExitStack())
        attempt.resources.callback(self._release_slot, attempt)
        exchange.cleanup.callback(attempt.resources.close)
        try:
            chunks = self._run_engines(exchange, attempt)
            first = next(chunks, None)
        except errors.UpstreamError as error:
            return expression.Error(self._end_failed_attempt(exchange, attempt, error))
        self._slot_client.finish_prefill(attempt.slot)
        leading = () if first is None else (first,)
        return expression.Ok(StartedAttempt(attempt, itertools.chain(leading, chunks)))

    def _run_engines(
        self, exchange: request_exchange.Exchange, attempt: Attempt
    ) -> Iterator[stream_checks.Chunk]:
        completion, cost = exchange.completion, exchange.cost
        if completion is None or cost is None:
            raise errors.UpstreamAnswerError("the request has no completion body")
        request_id = f"{exchange.id}-{attempt.number}"
        attempt.active_upstream = attempt.slot.prefill.id
        prefill_call = upstream_call.Call(attempt.slot.prefill, _timeout_s(exchange, self._context))
        with exchange.cancel_token.attach(prefill_call):
            params = engine_protocol.prefill(prefill_call, request_id, completion)
        exchange.tokens_used = cost.prompt_tokens
        attempt.active_upstream = attempt.slot.decode.id
        decode_call = upstream_call.Call(attempt.slot.decode, _timeout_s(exchange, self._context))
        attempt.resources.enter_context(exchange.cancel_token.attach(decode_call))
        decode_started = False
        try:
            chunks = engine_protocol.decode(
                decode_call, request_id, completion, cost.output_tokens, params
            )
            first = next(chunks, None)
            decode_started = True
        finally:
            used = "yes" if decode_started else "no"
            self._context.metrics.prefills.add(1, {"used": used})
            if not decode_started:
                self._free_kv_cache(attempt, request_id, params)
        leading = () if first is None else (first,)
        return itertools.chain(leading, chunks)

    def _free_kv_cache(
        self, attempt: Attempt, request_id: str, params: engine_protocol.TransferParams
    ) -> None:
        with contextlib.suppress(errors.UpstreamError):
            engine_protocol.release_kv_cache(attempt.slot.prefill, request_id, params)

    def _stream(
        self, exchange: request_exchange.Exchange, started: StartedAttempt
    ) -> Iterator[bytes]:
        """Yield the server-sent events of a response.

        If the engine fails, another one continues the response, once. If that is impossible, the
        stream ends with an event that carries the refusal. The lease is released before the last
        event, so that its release does not depend on the caller reading that event.
        """
        stream_id: str | None = None
        progress = stream_resumption.Progress()
        current: StartedAttempt | None = started
        while current is not None:
            try:
                for chunk in self._measure(exchange, current.chunks):
                    if stream_id is None:
                        stream_id = chunk.id
                    progress = stream_resumption.advance(progress, chunk)
                    raw = stream_resumption.rewrite_chunk(chunk, stream_id, progress)
                    yield engine_protocol.DATA_PREFIX + raw + b"\n\n"
                current.attempt.resources.close()
                yield engine_protocol.DATA_PREFIX + stream_checks.DONE_MARKER + b"\n\n"
                return
            except errors.UpstreamError as error:
                failure = self._end_failed_attempt(exchange, current.attempt, error)
            current = self._resume(exchange, current.attempt, progress)
            progress = stream_resumption.restart(progress)
        self._context.metrics.refusals.add(1, {"kind": failure.refusal.kind.value})
        yield problem_document.create_event(failure.refusal, exchange.id)

    def _resume(
        self,
        exchange: request_exchange.Exchange,
        attempt: Attempt,
        progress: stream_resumption.Progress,
    ) -> StartedAttempt | None:
        """Start the rest of a response on other upstreams; return None if that is impossible."""
        remaining_request = stream_resumption.remaining_request(exchange, progress)
        if remaining_request is None or not self._may_retry(
            exchange, attempt.number, attempt.active_upstream
        ):
            return None
        exchange.completion, exchange.cost = remaining_request
        started = self._start(exchange, attempt.number + 1, (attempt.active_upstream,))
        return started.ok if started.is_ok() else None

    def _collect(
        self, exchange: request_exchange.Exchange, started: StartedAttempt
    ) -> AttemptResult:
        """Read the whole response and return it as one document."""
        try:
            chunks = list(self._measure(exchange, started.chunks))
        except errors.UpstreamError as error:
            return expression.Error(self._end_failed_attempt(exchange, started.attempt, error))
        started.attempt.resources.close()
        return expression.Ok(_complete_response(exchange, chunks))

    def _measure(
        self, exchange: request_exchange.Exchange, chunks: Iterator[stream_checks.Chunk]
    ) -> Iterator[stream_checks.Chunk]:
        """Yield the chunks unchanged while recording their latencies and counting their tokens."""
        metrics = self._context.metrics
        labels = {"workspace": exchange.workspace_name}
        last_s: float | None = None
        for chunk in chunks:
            now_s = self._context.clock.now_s()
            if chunk.text:
                exchange.tokens_used += 1
                if last_s is None:
                    metrics.first_token_seconds.record(now_s - exchange.received_s, labels)
                else:
                    metrics.token_gap_seconds.record(now_s - last_s, labels)
                last_s = now_s
            if chunk.usage is not None:
                exchange.tokens_used = chunk.usage.prompt_tokens + chunk.usage.completion_tokens
            yield chunk

    def _end_failed_attempt(
        self, exchange: request_exchange.Exchange, attempt: Attempt, error: errors.UpstreamError
    ) -> AttemptFailure:
        """Release a failed attempt, record the failure and return it."""
        if exchange.cancel_token.reason is not None:
            attempt.resources.close()
            refusal = request_exchange.cancellation_refusal(
                exchange.cancel_token.reason, errors.Ran.UNKNOWN
            )
            return AttemptFailure("", refusal)
        attempt.upstream_failed = isinstance(
            error, errors.UpstreamBrokenError | errors.UpstreamUnreachableError
        )
        if isinstance(error, errors.UpstreamBrokenError):
            suspension.broadcast_strike(self._context, exchange, attempt.active_upstream)
        attempt.resources.close()
        labels = {"upstream": attempt.active_upstream, "error": type(error).__name__}
        self._context.metrics.upstream_failures.add(1, labels)
        return AttemptFailure(attempt.active_upstream, _upstream_refusal(error))

    def _release_slot(self, attempt: Attempt) -> None:
        self._slot_client.release(
            attempt.slot, attempt.active_upstream if attempt.upstream_failed else ""
        )


def _timeout_s(
    exchange: request_exchange.Exchange, context: instance_context.InstanceContext
) -> float:
    return max(0.05, min(IDLE_TIMEOUT_S, exchange.deadline_s - context.clock.now_s()))


def _upstream_refusal(error: errors.UpstreamError) -> errors.Refusal:
    match error:
        case errors.UpstreamUnreachableError():
            return errors.Refusal(
                errors.Kind.UPSTREAM_UNREACHABLE,
                "could not connect to the upstream",
                errors.Ran.UNKNOWN,
                1.0,
            )
        case errors.UpstreamAnswerError():
            return errors.Refusal(
                errors.Kind.UPSTREAM_ANSWER_INVALID, str(error), errors.Ran.UNKNOWN, 1.0
            )
        case errors.UpstreamTimeoutError():
            return errors.Refusal(
                errors.Kind.DEADLINE_EXCEEDED,
                "the upstream did not respond in time",
                errors.Ran.UNKNOWN,
                1.0,
            )
        case _:
            return _upstream_failed_refusal()


def _upstream_failed_refusal() -> errors.Refusal:
    return errors.Refusal(
        errors.Kind.UPSTREAM_FAILED,
        "the upstream failed while it ran the request",
        errors.Ran.UNKNOWN,
        1.0,
    )


def _complete_response(
    exchange: request_exchange.Exchange, chunks: list[stream_checks.Chunk]
) -> request_exchange.Response:
    """Return the chunks of a response as one document."""
    usage = next((each.usage for each in reversed(chunks) if each.usage), None)
    completion = exchange.completion
    is_chat = completion is not None and completion.is_chat
    choice_count = completion.choice_count if completion is not None else 1
    document = {
        "id": chunks[0].id if chunks else exchange.id,
        "object": "chat.completion" if is_chat else "text_completion",
        "model": completion.model if completion is not None else "",
        "choices": [_complete_choice(index, chunks, is_chat) for index in range(choice_count)],
        "usage": usage.model_dump() if usage else None,
    }
    body = json.dumps(document).encode()
    headers = (("Content-Type", "application/json"), ("Content-Length", str(len(body))))
    return request_exchange.Response(200, headers, iter([body]))


def _complete_choice(
    index: int, chunks: list[stream_checks.Chunk], is_chat: bool
) -> dict[str, object]:
    """Return one choice, joined from its parts in the chunks."""
    parts = [part for each in chunks for part in each.choices if part.index == index]
    finish_reason = next((each.finish_reason for each in parts if each.finish_reason), None)
    choice: dict[str, object] = {"index": index, "finish_reason": finish_reason}
    if is_chat:
        choice["message"] = chat_message.join(each.delta for each in parts if each.delta)
    else:
        choice["text"] = "".join(each.content for each in parts)
    return choice
