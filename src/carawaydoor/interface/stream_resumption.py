"""Continues a streamed completion on another engine after the first engine failed."""

from __future__ import annotations

import dataclasses
import json
from typing import Any, Final

from carawaydoor.interface import completion_request, request_exchange, stream_checks

# With any other field the rest may differ from what the first engine would have sent: 'echo' begins
# it with the prompt, 'logprobs' counts offsets from its start, 'response_format' begins a document.
_CONTINUABLE_FIELDS: Final = frozenset(
    {
        "frequency_penalty",
        "logit_bias",
        "max_tokens",
        "min_p",
        "model",
        "presence_penalty",
        "prompt",
        "repetition_penalty",
        "seed",
        "stop",
        "stream",
        "stream_options",
        "temperature",
        "top_k",
        "top_p",
        "user",
    }
)
_DEFAULTS_BY_FIELD: Final[dict[str, Any]] = {"best_of": 1, "echo": False, "n": 1}


@dataclasses.dataclass(frozen=True, slots=True)
class Progress:
    """Progress of a streamed response.

    :ivar text: text from the current engine
    :ivar tokens: number of tokens from the current engine
    :ivar earlier_tokens: number of tokens from engines that failed
    :ivar is_finished: whether the caller has a finish reason
    :ivar model: model that the engines name, empty if they name none
    """

    text: str = ""
    tokens: int = 0
    earlier_tokens: int = 0
    is_finished: bool = False
    model: str = ""


def advance(progress: Progress, chunk: stream_checks.Chunk) -> Progress:
    """Return the progress after the given chunk."""
    return dataclasses.replace(
        progress,
        text=progress.text + chunk.text,
        tokens=progress.tokens + bool(chunk.text),
        is_finished=progress.is_finished or chunk.finish_reason is not None,
        model=progress.model or chunk.model,
    )


def restart(progress: Progress) -> Progress:
    """Return the progress when the next engine starts."""
    return Progress(earlier_tokens=progress.earlier_tokens + progress.tokens, model=progress.model)


def remaining_request(
    exchange: request_exchange.Exchange, progress: Progress
) -> tuple[completion_request.CompletionRequest, completion_request.Cost] | None:
    """Return the request for the rest of a response, None if it can't be continued.

    The text generated so far is appended to the prompt, which chat completions do not allow.
    """
    completion, cost = exchange.completion, exchange.cost
    if completion is None or cost is None or completion.is_chat or progress.is_finished:
        return None
    if not all(_is_continuable(name, value) for name, value in completion.fields.items()):
        return None
    remaining_tokens = cost.output_tokens - progress.tokens
    if remaining_tokens <= 0:
        return None
    prompt = completion.prompt.decode("utf-8", errors="replace") + progress.text
    fields = {**completion.fields, "prompt": prompt}
    delivered = stream_checks.Delivered(completion.delivered.text + progress.text, progress.model)
    rest = dataclasses.replace(
        completion,
        fields=fields,
        prompt=prompt.encode(),
        max_tokens=remaining_tokens,
        delivered=delivered,
    )
    return rest, completion_request.Cost(cost.prompt_tokens + progress.tokens, remaining_tokens)


def _is_continuable(name: str, value: object) -> bool:
    return name in _CONTINUABLE_FIELDS or value is None or value == _DEFAULTS_BY_FIELD.get(name)


def rewrite_chunk(chunk: stream_checks.Chunk, stream_id: str, progress: Progress) -> bytes:
    """Return a chunk with the id and the usage of the whole response."""
    if chunk.id == stream_id and not progress.earlier_tokens:
        return chunk.raw
    document: dict[str, Any] = {**json.loads(chunk.raw), "id": stream_id}
    if chunk.usage is not None:
        total = chunk.usage.completion_tokens + progress.earlier_tokens
        # The engine may count the text so far as fewer tokens than it was generated in.
        prompt = max(0, chunk.usage.prompt_tokens - progress.earlier_tokens)
        document["usage"] = {"prompt_tokens": prompt, "completion_tokens": total}
    return json.dumps(document).encode()
