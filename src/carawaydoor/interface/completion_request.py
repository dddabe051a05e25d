"""Validation of completion requests and their cost in tokens."""

from __future__ import annotations

import dataclasses
import json
import math
from typing import Annotated, Any, Literal

import expression
import pydantic

from carawaydoor.interface import errors, stream_checks
from carawaydoor.publishing import config_objects

MAX_OUTPUT_TOKENS = 100_000


class ChatMessage(pydantic.BaseModel):
    """One message of a chat."""

    model_config = pydantic.ConfigDict(extra="allow")

    role: Literal["system", "user", "assistant", "tool"]
    content: str


class CompletionBody(pydantic.BaseModel):
    """Body of a completion or chat completion request."""

    model_config = pydantic.ConfigDict(extra="allow")

    model: Annotated[str, pydantic.StringConstraints(strict=True, max_length=128)]
    prompt: Annotated[str, pydantic.StringConstraints(strict=True)] | None = None
    messages: tuple[ChatMessage, ...] | None = None
    max_tokens: int | None = pydantic.Field(default=None, ge=1, le=MAX_OUTPUT_TOKENS, strict=True)
    stream: bool = pydantic.Field(default=False, strict=True)


@dataclasses.dataclass(frozen=True, slots=True)
class CompletionRequest:
    """A validated completion request.

    :ivar fields: the body as the caller sent it, to be forwarded to the engine
    :ivar prompt: text of the prompt, in UTF-8
    :ivar stream: whether the response is to be streamed
    :ivar delivered: part of the response that the caller has from an engine that failed
    """

    fields: dict[str, Any]
    model: str
    prompt: bytes
    is_chat: bool
    max_tokens: int | None
    stream: bool
    delivered: stream_checks.Delivered = dataclasses.field(default_factory=stream_checks.Delivered)

    @property
    def choice_count(self) -> int:
        """Number of choices that the caller asked for."""
        count = self.fields.get("n")
        return count if isinstance(count, int) and count > 1 else 1


@dataclasses.dataclass(frozen=True, slots=True)
class Cost:
    """Maximum number of tokens that a completion uses."""

    prompt_tokens: int
    output_tokens: int

    @property
    def total(self) -> int:
        """Prompt and output tokens together."""
        return self.prompt_tokens + self.output_tokens


def parse(body: bytes, is_chat: bool) -> expression.Result[CompletionRequest, errors.Refusal]:
    """Parse a request body, or return why it is refused."""
    try:
        fields = json.loads(body)
    except (ValueError, RecursionError):
        return expression.Error(errors.Refusal(errors.Kind.MALFORMED_BODY, "the body is not JSON"))
    if not isinstance(fields, dict):
        return expression.Error(
            errors.Refusal(errors.Kind.MALFORMED_BODY, "the body is not a JSON object")
        )
    try:
        validated = CompletionBody.model_validate(fields)
    except pydantic.ValidationError as error:
        first = error.errors()[0]
        field = ".".join(str(part) for part in first["loc"])
        detail = f"{field}: {first['msg']}"
        return expression.Error(errors.Refusal(errors.Kind.INVALID_FIELD, detail))
    return _completion(fields, validated, is_chat)


def max_cost(completion: CompletionRequest, model: config_objects.Model) -> Cost:
    """Return the maximum cost of a request, which is reserved from its workspace's budget."""
    prompt_tokens = max(1, math.ceil(len(completion.prompt) / model.bytes_per_token))
    return Cost(prompt_tokens, completion.max_tokens or model.default_max_tokens)


def _completion(
    fields: dict[str, Any], validated: CompletionBody, is_chat: bool
) -> expression.Result[CompletionRequest, errors.Refusal]:
    required_field = "messages" if is_chat else "prompt"
    if getattr(validated, required_field) is None:
        detail = f"{required_field}: field required"
        return expression.Error(errors.Refusal(errors.Kind.INVALID_FIELD, detail))
    if is_chat:
        text = "\n".join(each.content for each in validated.messages or ())
    else:
        text = validated.prompt or ""
    prompt = text.encode("utf-8", errors="replace")
    return expression.Ok(
        CompletionRequest(
            fields, validated.model, prompt, is_chat, validated.max_tokens, validated.stream
        )
    )
