"""Serves completions: place, prefill, transfer, decode, relay."""

from __future__ import annotations

import contextlib
import dataclasses
import itertools
import json
from collections.abc import Iterator
from typing import Final

import expression

from carawaydoor.interface import (
    engine_protocol,
    errors,
    filters,
    instance_context,
    problem_document,
    request_exchange,
    slot_client,
    stream_resumption,
    suspension,
    upstream_call,
)

MAX_ATTEMPTS: Final = 2
IDLE_TIMEOUT_S: Final = 15.0
STREAM_HEADERS: Final = (("Content-Type", "text/event-stream"), ("Cache-Control", "no-store"))


@dataclasses.dataclass(slots=True)
class Attempt:
    """One attempt to run a request at a place.

    :ivar resources: frees what the attempt holds
    :ivar failed: upstream that is at work, to be blamed where the attempt fails
    :ivar has_failed: whether that upstream is to be avoided for a time
    """

    number: int
    place: slot_client.Place
    resources: contextlib.ExitStack
    failed: str = ""
    has_failed: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Begun:
    """An attempt whose first chunk has arrived."""

    attempt: Attempt
    chunks: Iterator[engine_protocol.Chunk]


@dataclasses.dataclass(frozen=True, slots=True)
class Failure:
    """An attempt that gave no answer.

    :ivar upstream: upstream to avoid in another attempt, empty where another one is no use
    """

    upstream: str
    refusal: errors.Refusal


Beginning = expression.Result[Begun, Failure]
Attempted = expression.Result[request_exchange.Response, Failure]


class ServeModel(filters.Server):
    """Runs a completion, once more on other upstreams where the first attempt failed early."""

    def __init__(self, context: instance_context.InstanceContext) -> None:
        self._context = context
        self._placement = slot_client.Placement(context)

    def serve(self, exchange: request_exchange.Exchange) -> filters.Served:
        """Return the answer of the engines, streamed or whole."""
        self._context.record_attempt()
        excluded: tuple[str, ...] = ()
        refusal = _upstream_failed()
        for number in range(MAX_ATTEMPTS):
            result = self._attempt(exchange, number, excluded)
            if result.is_ok():
                return expression.Ok(result.ok)
            refusal = result.error.refusal
            excluded = (*excluded, result.error.upstream)
            if not self._may_try_again(exchange, number, result.error.upstream):
                break
        return expression.Error(refusal)

    def _attempt(
        self, exchange: request_exchange.Exchange, number: int, excluded: tuple[str, ...]
    ) -> Attempted:
        begun = self._begin(exchange, number, excluded)
        if begun.is_error():
            return expression.Error(begun.error)
        if exchange.completion is not None and exchange.completion.stream:
            chunks = self._relay(exchange, begun.ok)
            return expression.Ok(request_exchange.Response(200, STREAM_HEADERS, chunks))
        return self._collect(exchange, begun.ok)

    def _may_try_again(self, exchange: request_exchange.Exchange, number: int, failed: str) -> bool:
        if not failed or number + 1 >= MAX_ATTEMPTS or exchange.cancel.reason is not None:
            return False
        if suspension.suspended(self._context, exchange) is not None:
            return False
        return self._context.may_retry()

    def _begin(
        self, exchange: request_exchange.Exchange, number: int, excluded: tuple[str, ...]
    ) -> Beginning:
        """Run an attempt up to its first chunk."""
        placed = self._placement.place(exchange, number, excluded)
        if placed.is_error():
            ran = errors.Ran.UNKNOWN if number > 0 else placed.error.ran
            return expression.Error(Failure("", dataclasses.replace(placed.error, ran=ran)))
        attempt = Attempt(number, placed.ok, contextlib.ExitStack())
        attempt.resources.callback(self._release, attempt)
        exchange.cleanup.callback(attempt.resources.close)
        try:
            chunks = self._run(exchange, attempt)
            first = next(chunks, None)
        except errors.UpstreamError as error:
            return expression.Error(self._fail(exchange, attempt, error))
        self._placement.finish_prefill(attempt.place)
        known = () if first is None else (first,)
        return expression.Ok(Begun(attempt, itertools.chain(known, chunks)))

    def _run(
        self, exchange: request_exchange.Exchange, attempt: Attempt
    ) -> Iterator[engine_protocol.Chunk]:
        completion, cost = exchange.completion, exchange.cost
        if completion is None or cost is None:
            raise errors.UpstreamAnswerError("the request carries no completion")
        request_id = f"{exchange.id}-{attempt.number}"
        attempt.failed = attempt.place.prefill.id
        prefill_call = upstream_call.Call(
            attempt.place.prefill, _timeout_s(exchange, self._context)
        )
        with exchange.cancel.covers(prefill_call):
            params = engine_protocol.prefill(prefill_call, request_id, completion)
        exchange.tokens_used = cost.prompt_tokens
        attempt.failed = attempt.place.decode.id
        decode_call = upstream_call.Call(attempt.place.decode, _timeout_s(exchange, self._context))
        attempt.resources.enter_context(exchange.cancel.covers(decode_call))
        fetched = False
        try:
            chunks = engine_protocol.decode(
                decode_call, request_id, completion, cost.output_tokens, params
            )
            first = next(chunks, None)
            fetched = True
        finally:
            used = "yes" if fetched else "no"
            self._context.metrics.prefills.add(1, {"used": used})
            if not fetched:
                self._free_cache(attempt, request_id, params)
        known = () if first is None else (first,)
        return itertools.chain(known, chunks)

    def _free_cache(
        self, attempt: Attempt, request_id: str, params: engine_protocol.TransferParams
    ) -> None:
        with contextlib.suppress(errors.UpstreamError):
            engine_protocol.release(attempt.place.prefill, request_id, params)

    def _relay(self, exchange: request_exchange.Exchange, begun: Begun) -> Iterator[bytes]:
        """Yield an answer chunk by chunk.

        An answer whose engine fails is continued by another one, once; where it can't be, it ends
        with an event that says so.
        """
        stream_id = ""
        progress = stream_resumption.Progress()
        current: Begun | None = begun
        while current is not None:
            try:
                for chunk in self._timed(exchange, current.chunks):
                    stream_id = stream_id or chunk.id
                    progress = stream_resumption.advance(progress, chunk)
                    raw = stream_resumption.renamed(chunk, stream_id, progress)
                    yield engine_protocol.DATA + raw + b"\n\n"
                current.attempt.resources.close()
                yield engine_protocol.DATA + engine_protocol.DONE + b"\n\n"
                return
            except errors.UpstreamError as error:
                failure = self._fail(exchange, current.attempt, error)
            current = self._resume(exchange, current.attempt, progress)
            progress = stream_resumption.restart(progress)
        self._context.metrics.refusals.add(1, {"kind": failure.refusal.kind.value})
        yield problem_document.event(failure.refusal, exchange.id)

    def _resume(
        self,
        exchange: request_exchange.Exchange,
        attempt: Attempt,
        progress: stream_resumption.Progress,
    ) -> Begun | None:
        """Continue an answer on other upstreams, where that is possible."""
        rest = stream_resumption.remainder(exchange, progress)
        if rest is None or not self._may_try_again(exchange, attempt.number, attempt.failed):
            return None
        exchange.completion, exchange.cost = rest
        begun = self._begin(exchange, attempt.number + 1, (attempt.failed,))
        return begun.ok if begun.is_ok() else None

    def _collect(self, exchange: request_exchange.Exchange, begun: Begun) -> Attempted:
        """Return an answer whole, once all of it has arrived."""
        try:
            chunks = list(self._timed(exchange, begun.chunks))
        except errors.UpstreamError as error:
            return expression.Error(self._fail(exchange, begun.attempt, error))
        begun.attempt.resources.close()
        return expression.Ok(_whole(exchange, chunks))

    def _timed(
        self, exchange: request_exchange.Exchange, chunks: Iterator[engine_protocol.Chunk]
    ) -> Iterator[engine_protocol.Chunk]:
        """Pass chunks on, measuring their times and counting their tokens."""
        instruments = self._context.metrics
        labels = {"workspace": exchange.workspace_name}
        last_s: float | None = None
        for chunk in chunks:
            now_s = self._context.clock.now_s()
            if chunk.text:
                exchange.tokens_used += 1
                if last_s is None:
                    instruments.first_token_seconds.record(now_s - exchange.received_s, labels)
                else:
                    instruments.token_gap_seconds.record(now_s - last_s, labels)
                last_s = now_s
            if chunk.usage is not None:
                exchange.tokens_used = chunk.usage.prompt_tokens + chunk.usage.completion_tokens
            yield chunk

    def _fail(
        self, exchange: request_exchange.Exchange, attempt: Attempt, error: errors.UpstreamError
    ) -> Failure:
        """Free an attempt that failed and return what is to be told of it."""
        if exchange.cancel.reason is not None:
            attempt.resources.close()
            refusal = request_exchange.refusal_of(exchange.cancel.reason, errors.Ran.UNKNOWN)
            return Failure("", refusal)
        attempt.has_failed = isinstance(
            error, errors.UpstreamBrokenError | errors.UpstreamUnreachableError
        )
        if isinstance(error, errors.UpstreamBrokenError):
            suspension.strike(self._context, exchange, attempt.failed)
        attempt.resources.close()
        labels = {"upstream": attempt.failed, "error": type(error).__name__}
        self._context.metrics.upstream_failures.add(1, labels)
        return Failure(attempt.failed, _refusal(error))

    def _release(self, attempt: Attempt) -> None:
        self._placement.release(attempt.place, attempt.failed if attempt.has_failed else "")


def _timeout_s(
    exchange: request_exchange.Exchange, context: instance_context.InstanceContext
) -> float:
    return max(0.05, min(IDLE_TIMEOUT_S, exchange.deadline_s - context.clock.now_s()))


def _refusal(error: errors.UpstreamError) -> errors.Refusal:
    match error:
        case errors.UpstreamUnreachableError():
            return errors.Refusal(
                errors.Kind.UPSTREAM_UNREACHABLE,
                "no connection to the upstream",
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
                "the upstream did not answer in time",
                errors.Ran.UNKNOWN,
                1.0,
            )
        case _:
            return _upstream_failed()


def _upstream_failed() -> errors.Refusal:
    return errors.Refusal(
        errors.Kind.UPSTREAM_FAILED,
        "the upstream failed while it ran the request",
        errors.Ran.UNKNOWN,
        1.0,
    )


def _whole(
    exchange: request_exchange.Exchange, chunks: list[engine_protocol.Chunk]
) -> request_exchange.Response:
    """Return the chunks of an answer as one document."""
    text = "".join(each.text for each in chunks)
    finish = next((each.finish_reason for each in chunks if each.finish_reason), None)
    usage = next((each.usage for each in reversed(chunks) if each.usage), None)
    chat = exchange.completion is not None and exchange.completion.chat
    choice: dict[str, object] = {"index": 0, "finish_reason": finish}
    if chat:
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    document = {
        "id": chunks[0].id if chunks else exchange.id,
        "object": "chat.completion" if chat else "text_completion",
        "model": exchange.completion.model if exchange.completion else "",
        "choices": [choice],
        "usage": usage.model_dump() if usage else None,
    }
    body = json.dumps(document).encode()
    headers = (("Content-Type", "application/json"), ("Content-Length", str(len(body))))
    return request_exchange.Response(200, headers, iter([body]))
