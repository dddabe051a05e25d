"""Continues a streamed completion whose engine failed: the rest is asked of another engine."""

from __future__ import annotations

import dataclasses
import json
from typing import Any

from carawaydoor.interface import completion_request, engine_protocol, request_exchange


@dataclasses.dataclass(frozen=True, slots=True)
class Progress:
    """How far an answer has come.

    :ivar text: text since the engine at work began
    :ivar tokens: tokens since the engine at work began
    :ivar earlier_tokens: tokens made by engines that failed before
    """

    text: str = ""
    tokens: int = 0
    earlier_tokens: int = 0


def advance(progress: Progress, chunk: engine_protocol.Chunk) -> Progress:
    """Return the progress after another chunk."""
    if not chunk.text:
        return progress
    return dataclasses.replace(
        progress, text=progress.text + chunk.text, tokens=progress.tokens + 1
    )


def restart(progress: Progress) -> Progress:
    """Return the progress at the start of the next engine."""
    return Progress(earlier_tokens=progress.earlier_tokens + progress.tokens)


def remainder(
    exchange: request_exchange.Exchange, progress: Progress
) -> tuple[completion_request.Completion, completion_request.Cost] | None:
    """Return the request for the rest of an answer, None where it can't be asked for.

    The text so far becomes part of the prompt, which only plain completions allow.
    """
    completion, cost = exchange.completion, exchange.cost
    if completion is None or cost is None or completion.chat:
        return None
    left = cost.output_tokens - progress.tokens
    if left <= 0:
        return None
    prompt = completion.prompt.decode("utf-8", errors="replace") + progress.text
    fields = {**completion.fields, "prompt": prompt}
    rest = dataclasses.replace(completion, fields=fields, prompt=prompt.encode(), max_tokens=left)
    return rest, completion_request.Cost(cost.prompt_tokens + progress.tokens, left)


def renamed(chunk: engine_protocol.Chunk, stream_id: str, progress: Progress) -> bytes:
    """Return a chunk under the id and with the usage of the whole answer."""
    if chunk.id == stream_id and not progress.earlier_tokens:
        return chunk.raw
    document: dict[str, Any] = {**json.loads(chunk.raw), "id": stream_id}
    if chunk.usage is not None:
        total = chunk.usage.completion_tokens + progress.earlier_tokens
        prompt = chunk.usage.prompt_tokens - progress.earlier_tokens
        document["usage"] = {"prompt_tokens": prompt, "completion_tokens": total}
    return json.dumps(document).encode()
