"""The protocol of model engines: prefill, decode, release of KV cache."""

from __future__ import annotations

import dataclasses
import json
from collections.abc import Iterator
from typing import Any, Final

import pydantic

from carawaydoor.coordination import cluster_view
from carawaydoor.interface import completion_request, errors, upstream_call

OK: Final = 200
DATA: Final = b"data: "
DONE: Final = b"[DONE]"
JSON_HEADERS: Final = {"Content-Type": "application/json", "Accept": "text/event-stream"}
COMPLETIONS_PATH: Final = "/v1/completions"
CHAT_PATH: Final = "/v1/chat/completions"
RELEASE_PATH: Final = "/v1/kv/release"
RELEASE_TIMEOUT_S: Final = 1.0


class TransferParams(pydantic.BaseModel):
    """Names the KV cache that a prefill left, for the decode that fetches it."""

    model_config = pydantic.ConfigDict(extra="allow")

    remote_engine_id: str
    remote_block_ids: tuple[int, ...]
    remote_host: str
    remote_port: int


class PrefillAnswer(pydantic.BaseModel):
    """Answer of a prefill."""

    model_config = pydantic.ConfigDict(extra="allow")

    kv_transfer_params: TransferParams


class Choice(pydantic.BaseModel):
    """One choice of a streamed chunk."""

    model_config = pydantic.ConfigDict(extra="allow")

    text: str | None = None
    delta: dict[str, Any] | None = None
    finish_reason: str | None = None


class Usage(pydantic.BaseModel):
    """Tokens used, as the engine counts them."""

    model_config = pydantic.ConfigDict(extra="allow")

    prompt_tokens: int = pydantic.Field(ge=0)
    completion_tokens: int = pydantic.Field(ge=0)


class ChunkBody(pydantic.BaseModel):
    """One chunk of a streamed answer."""

    model_config = pydantic.ConfigDict(extra="allow")

    id: str
    choices: tuple[Choice, ...]
    usage: Usage | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Chunk:
    """One chunk of a streamed answer.

    :ivar raw: the chunk as sent
    :ivar text: text of the chunk, empty where it carries none
    """

    raw: bytes
    id: str
    text: str
    finish_reason: str | None
    usage: Usage | None


def prefill(
    call: upstream_call.Call, request_id: str, completion: completion_request.Completion
) -> TransferParams:
    """Run a prompt and return where its KV cache lies.

    :raises UpstreamError: where the engine gives no usable answer
    """
    fields = {
        **completion.fields,
        "max_tokens": 1,
        "stream": False,
        "kv_transfer_params": {"do_remote_decode": True, "do_remote_prefill": False},
    }
    status = call.send(_request(request_id, completion, fields))
    body = call.read()
    if status != OK:
        raise errors.UpstreamAnswerError(f"prefill answered {status}", status)
    try:
        return PrefillAnswer.model_validate_json(body).kv_transfer_params
    except pydantic.ValidationError as error:
        raise errors.UpstreamAnswerError("prefill answer does not follow its model") from error


def decode(
    call: upstream_call.Call,
    request_id: str,
    completion: completion_request.Completion,
    max_tokens: int,
    params: TransferParams,
) -> Iterator[Chunk]:
    """Yield the chunks of an answer; the iterator ends only after a whole answer.

    :raises UpstreamError: where the answer breaks off or is not usable
    """
    transfer = {
        **params.model_dump(),
        "do_remote_prefill": True,
        "do_remote_decode": False,
    }
    fields = {
        **completion.fields,
        "max_tokens": max_tokens,
        "stream": True,
        "stream_options": {"include_usage": True},
        "kv_transfer_params": transfer,
    }
    status = call.send(_request(request_id, completion, fields))
    if status != OK:
        raise errors.UpstreamAnswerError(f"decode answered {status}", status)
    if not call.content_type.startswith("text/event-stream"):
        raise errors.UpstreamAnswerError("decode did not answer with a stream")
    return _chunks(call)


def release(target: cluster_view.Upstream, request_id: str, params: TransferParams) -> None:
    """Free KV cache that no decode will fetch.

    :raises UpstreamError: where the engine does not answer
    """
    body = json.dumps({"block_ids": list(params.remote_block_ids)}).encode()
    request = upstream_call.Request(request_id, "POST", RELEASE_PATH, JSON_HEADERS, body)
    upstream_call.fetch(target, request, RELEASE_TIMEOUT_S)


def _request(
    request_id: str, completion: completion_request.Completion, fields: dict[str, Any]
) -> upstream_call.Request:
    path = CHAT_PATH if completion.chat else COMPLETIONS_PATH
    body = json.dumps(fields).encode()
    return upstream_call.Request(request_id, "POST", path, JSON_HEADERS, body)


def _chunks(call: upstream_call.Call) -> Iterator[Chunk]:
    first_id = ""
    finished = False
    for line in call.lines():
        if not line.startswith(DATA):
            continue
        raw = line[len(DATA) :].strip()
        if raw == DONE:
            if not finished:
                raise errors.UpstreamAnswerError("the stream ended without a finish reason")
            return
        chunk = parse_chunk(raw)
        first_id = first_id or chunk.id
        if chunk.id != first_id:
            raise errors.UpstreamAnswerError("the stream carries another request's chunk")
        finished = finished or chunk.finish_reason is not None
        yield chunk
    raise errors.UpstreamBrokenError(f"{call.target.id}: the stream ended early")


def parse_chunk(raw: bytes) -> Chunk:
    """Return a chunk in its parts.

    :raises UpstreamAnswerError: where it does not follow its model
    """
    try:
        body = ChunkBody.model_validate_json(raw)
    except pydantic.ValidationError as error:
        raise errors.UpstreamAnswerError("a chunk does not follow its model") from error
    if not body.choices:
        return Chunk(raw, body.id, "", None, body.usage)
    choice = body.choices[0]
    text = choice.text
    if text is None and choice.delta is not None:
        text = choice.delta.get("content")
    return Chunk(raw, body.id, text or "", choice.finish_reason, body.usage)
