"""Client side of the engine protocol: prefill, decode and release of KV cache."""

from __future__ import annotations

import json
from collections.abc import Iterator
from typing import Any, Final

import pydantic

from carawaydoor.coordination import cluster_view
from carawaydoor.interface import completion_request, errors, stream_checks, upstream_call

HTTP_OK: Final = 200
DATA_PREFIX: Final = b"data: "
REQUEST_HEADERS: Final = {"Content-Type": "application/json", "Accept": "text/event-stream"}
COMPLETIONS_PATH: Final = "/v1/completions"
CHAT_PATH: Final = "/v1/chat/completions"
RELEASE_PATH: Final = "/v1/kv/release"
RELEASE_TIMEOUT_S: Final = 1.0


class TransferParams(pydantic.BaseModel):
    """Location of the KV cache that a prefill produced, from which the decode fetches it."""

    model_config = pydantic.ConfigDict(extra="allow")

    remote_engine_id: str
    remote_block_ids: tuple[int, ...]
    remote_host: str
    remote_port: int


class PrefillAnswer(pydantic.BaseModel):
    """Body of a prefill response."""

    model_config = pydantic.ConfigDict(extra="allow")

    kv_transfer_params: TransferParams
    error: None = None


def prefill(
    call: upstream_call.Call, request_id: str, completion: completion_request.CompletionRequest
) -> TransferParams:
    """Run the prefill of a prompt and return the location of its KV cache.

    :raises UpstreamError: if the engine returns no valid response
    """
    fields = {
        **completion.fields,
        "max_tokens": 1,
        "stream": False,
        "kv_transfer_params": {"do_remote_decode": True, "do_remote_prefill": False},
    }
    status = call.send(_request(request_id, completion, fields))
    body = call.read()
    if status != HTTP_OK:
        raise errors.UpstreamAnswerError(f"prefill returned status {status}", status)
    try:
        return PrefillAnswer.model_validate_json(body).kv_transfer_params
    except pydantic.ValidationError as error:
        raise errors.UpstreamAnswerError(
            "the prefill response does not match its schema"
        ) from error


def decode(
    call: upstream_call.Call,
    request_id: str,
    completion: completion_request.CompletionRequest,
    max_tokens: int,
    params: TransferParams,
) -> Iterator[stream_checks.Chunk]:
    """Run the decode and return its chunks; the iterator ends only after a complete response.

    :raises UpstreamError: if the response ends early or is invalid
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
    if status != HTTP_OK:
        raise errors.UpstreamAnswerError(f"decode returned status {status}", status)
    if not stream_checks.is_event_stream(call.content_type):
        raise errors.UpstreamAnswerError("decode did not return an event stream")
    check = stream_checks.StreamCheck(
        completion.is_chat, completion.choice_count, completion.delivered
    )
    chunks = _parse_stream(call, check)
    return stream_checks.refuse_repetition(chunks, completion.delivered.text)


def release_kv_cache(
    target: cluster_view.Upstream, request_id: str, params: TransferParams
) -> None:
    """Release KV cache that no decode will fetch.

    :raises UpstreamError: if the engine does not respond
    """
    body = json.dumps({"block_ids": list(params.remote_block_ids)}).encode()
    request = upstream_call.UpstreamRequest(request_id, "POST", RELEASE_PATH, REQUEST_HEADERS, body)
    upstream_call.fetch(target, request, RELEASE_TIMEOUT_S)


def _request(
    request_id: str, completion: completion_request.CompletionRequest, fields: dict[str, Any]
) -> upstream_call.UpstreamRequest:
    path = CHAT_PATH if completion.is_chat else COMPLETIONS_PATH
    body = json.dumps(fields).encode()
    return upstream_call.UpstreamRequest(request_id, "POST", path, REQUEST_HEADERS, body)


def _parse_stream(
    call: upstream_call.Call, check: stream_checks.StreamCheck
) -> Iterator[stream_checks.Chunk]:
    for raw in stream_checks.read_events(call.lines()):
        if raw == stream_checks.DONE_MARKER:
            check.end()
            return
        chunk = stream_checks.parse_chunk(raw)
        check.accept(chunk)
        yield chunk
    raise errors.UpstreamBrokenError(f"{call.target.id}: the stream ended early")
