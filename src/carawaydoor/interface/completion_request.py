"""Completion requests of callers, checked at the border, and their cost in tokens."""

from __future__ import annotations

import dataclasses
import json
import math
from typing import Annotated, Any, Literal

import expression
import pydantic

from carawaydoor.interface import errors
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
class Completion:
    """A completion request.

    :ivar fields: the body as sent, for the upstream
    :ivar prompt: text of the prompt in bytes
    :ivar stream: whether the caller wants the answer token by token
    """

    fields: dict[str, Any]
    model: str
    prompt: bytes
    chat: bool
    max_tokens: int | None
    stream: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Cost:
    """Tokens that a completion takes at most."""

    prompt_tokens: int
    output_tokens: int

    @property
    def total(self) -> int:
        """All tokens."""
        return self.prompt_tokens + self.output_tokens


def parse(body: bytes, chat: bool) -> expression.Result[Completion, errors.Refusal]:
    """Return the request in a body, or why it is refused."""
    try:
        fields = json.loads(body)
    except (ValueError, RecursionError):
        return expression.Error(errors.Refusal(errors.Kind.MALFORMED_BODY, "the body is not JSON"))
    if not isinstance(fields, dict):
        return expression.Error(
            errors.Refusal(errors.Kind.MALFORMED_BODY, "the body is not a JSON object")
        )
    try:
        checked = CompletionBody.model_validate(fields)
    except pydantic.ValidationError as error:
        first = error.errors()[0]
        field = ".".join(str(part) for part in first["loc"])
        detail = f"{field}: {first['msg']}"
        return expression.Error(errors.Refusal(errors.Kind.INVALID_FIELD, detail))
    return _completion(fields, checked, chat)


def cost(completion: Completion, model: config_objects.Model) -> Cost:
    """Return the tokens that a request takes at most of its workspace's budget."""
    prompt_tokens = max(1, math.ceil(len(completion.prompt) / model.bytes_per_token))
    return Cost(prompt_tokens, completion.max_tokens or model.default_max_tokens)


def _completion(
    fields: dict[str, Any], checked: CompletionBody, chat: bool
) -> expression.Result[Completion, errors.Refusal]:
    wanted = "messages" if chat else "prompt"
    if getattr(checked, wanted) is None:
        detail = f"{wanted}: field required"
        return expression.Error(errors.Refusal(errors.Kind.INVALID_FIELD, detail))
    if chat:
        text = "\n".join(each.content for each in checked.messages or ())
    else:
        text = checked.prompt or ""
    prompt = text.encode("utf-8", errors="replace")
    return expression.Ok(
        Completion(fields, checked.model, prompt, chat, checked.max_tokens, checked.stream)
    )
