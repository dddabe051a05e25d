"""Events and chunks of a streamed completion, and the rules for what may follow what.

A response that answers the right request may still not be the completion, or not the rest of it.
Whatever violates a rule ends the attempt before it reaches the caller.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable, Iterator
from typing import Any, Final

import pydantic

from carawaydoor.interface import errors

EVENT_STREAM_TYPE: Final = "text/event-stream"
DONE_MARKER: Final = b"[DONE]"
# An empty name is that of a comment or of the end of an event.
_FIELD_NAMES: Final = frozenset({b"", b"data", b"event", b"id", b"retry"})
_FAILED_FINISH_REASONS: Final = frozenset({"abort", "error"})
# A sound rest may begin with the same few characters as the text before it.
_MIN_REPEATED_CHARACTERS: Final = 6
_MAX_REPEATED_CHARACTERS: Final = 32
_DEFAULT_EVENT_NAMES: Final = frozenset({b"", b"message"})


class Delta(pydantic.BaseModel):
    """Part of the message of a chat completion."""

    model_config = pydantic.ConfigDict(extra="allow")

    content: str | None = None


class Choice(pydantic.BaseModel):
    """One choice of a streamed chunk.

    :ivar text: part of a completion
    :ivar delta: part of a chat completion
    :ivar message: a whole message, which only responses that are not streamed have
    """

    model_config = pydantic.ConfigDict(extra="allow")

    index: int = pydantic.Field(default=0, ge=0)
    text: str | None = None
    delta: Delta | None = None
    message: Any = None
    finish_reason: str | None = None

    @property
    def content(self) -> str:
        """Generated text of a completion or a chat completion, empty if there is none."""
        text = self.text
        if text is None and self.delta is not None:
            text = self.delta.content
        return text or ""


class Usage(pydantic.BaseModel):
    """Token usage as counted by the engine."""

    model_config = pydantic.ConfigDict(extra="allow")

    prompt_tokens: int = pydantic.Field(ge=0)
    completion_tokens: int = pydantic.Field(ge=0)


class ChunkBody(pydantic.BaseModel):
    """Body of one chunk of a streamed response."""

    model_config = pydantic.ConfigDict(extra="allow")

    id: str
    model: str | None = None
    choices: tuple[Choice, ...]
    usage: Usage | None = None
    error: Any = None


@dataclasses.dataclass(frozen=True, slots=True)
class Chunk:
    """One chunk of a streamed response.

    :ivar raw: the chunk as the engine sent it
    :ivar text: generated text of all choices, empty if the chunk has none
    :ivar model: model that the engine names, empty if it names none
    """

    raw: bytes
    id: str
    text: str
    finish_reason: str | None
    usage: Usage | None
    choices: tuple[Choice, ...] = ()
    model: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Delivered:
    """What the caller has of a stream that is to be continued.

    :ivar text: generated text
    :ivar model: model that the engine named, empty if it named none
    """

    text: str = ""
    model: str = ""


class StreamCheck:
    """Checks the chunks of one response against those before them.

    :param is_chat: whether the caller asked for a chat completion
    :param choice_count: number of choices that the caller asked for
    :param delivered: what the response has to continue
    """

    def __init__(self, is_chat: bool, choice_count: int, delivered: Delivered) -> None:
        self._is_chat = is_chat
        self._choice_count = choice_count
        # An engine that lost its state ends a continuation as one does that has nothing to add.
        self._needs_text = bool(delivered.text)
        self._model = delivered.model
        self._id: str | None = None
        self._finished_indexes: set[int] = set()

    def accept(self, chunk: Chunk) -> None:
        """Check the next chunk.

        :raises UpstreamAnswerError: if it can't follow the chunks before it
        """
        if self._id is None:
            self._id = chunk.id
        if chunk.id != self._id:
            raise errors.UpstreamAnswerError("the stream contains a chunk of another request")
        self._model = self._model or chunk.model
        if chunk.model and chunk.model != self._model:
            raise errors.UpstreamAnswerError("the stream contains a chunk of another model")
        self._needs_text = self._needs_text and not chunk.text
        if self._needs_text and chunk.finish_reason is not None:
            raise errors.UpstreamAnswerError("the continuation ended without text")
        for choice in chunk.choices:
            if choice.index >= self._choice_count:
                raise errors.UpstreamAnswerError("the stream contains a choice of another request")
            part_of_other_kind = choice.text if self._is_chat else choice.delta
            if part_of_other_kind is not None or choice.message is not None:
                raise errors.UpstreamAnswerError("the stream is that of another kind of request")
            if choice.index in self._finished_indexes and (choice.content or choice.finish_reason):
                raise errors.UpstreamAnswerError("the stream goes on after its finish reason")
            if choice.finish_reason:
                self._finished_indexes.add(choice.index)

    def end(self) -> None:
        """Check that the stream may end here.

        :raises UpstreamAnswerError: if the completion is not finished
        """
        if len(self._finished_indexes) < self._choice_count:
            raise errors.UpstreamAnswerError("the stream ended without a finish reason")


def is_event_stream(content_type: str) -> bool:
    """Return whether a content type, with or without parameters, is that of an event stream."""
    return content_type.partition(";")[0].strip().lower() == EVENT_STREAM_TYPE


def read_events(lines: Iterable[bytes]) -> Iterator[bytes]:
    """Yield the data of each event; an event that has no end is dropped.

    The end marker is yielded without waiting for the end of its event.

    :raises UpstreamAnswerError: if a line is malformed, or the event is not a chunk
    """
    data: bytes | None = None
    for line in lines:
        content = line.removesuffix(b"\n").removesuffix(b"\r")
        name, _, value = content.partition(b":")
        value = value.strip()
        if name == b"data" and value == DONE_MARKER and data is None:
            yield value
        elif not line.endswith(b"\n"):
            return
        elif b"\r" in content:
            # Ends a line for some readers of event streams.
            raise errors.UpstreamAnswerError("the stream contains a carriage return in a line")
        elif name not in _FIELD_NAMES:
            # Readers of event streams ignore such a line; from an engine it is another response.
            raise errors.UpstreamAnswerError("the stream contains a line that belongs to no event")
        elif name == b"data":
            if data is not None:
                raise errors.UpstreamAnswerError("an event contains several lines of data")
            data = value
        elif name == b"event" and value not in _DEFAULT_EVENT_NAMES:
            raise errors.UpstreamAnswerError("the stream contains an event of another type")
        elif not content and data is not None:
            yield data
            data = None


def refuse_repetition(chunks: Iterator[Chunk], delivered_text: str) -> Iterator[Chunk]:
    """Yield the chunks of a continuation unless it begins again at the start of the stream.

    Chunks are held back for as long as their text may be the beginning of the delivered one.

    :raises UpstreamAnswerError: if the continuation begins again
    """
    beginning = delivered_text[:_MAX_REPEATED_CHARACTERS]
    held: list[Chunk] = []
    text = ""
    if len(beginning.strip()) >= _MIN_REPEATED_CHARACTERS:
        for chunk in chunks:
            held.append(chunk)
            text += chunk.text
            if text.startswith(beginning):
                raise errors.UpstreamAnswerError("the continuation repeats the stream")
            if not beginning.startswith(text):
                break
    yield from held
    yield from chunks


def parse_chunk(raw: bytes) -> Chunk:
    """Parse and validate one chunk.

    :raises UpstreamAnswerError: if the chunk does not match its schema
    """
    try:
        body = ChunkBody.model_validate_json(raw)
    except pydantic.ValidationError as error:
        raise errors.UpstreamAnswerError("a chunk does not match its schema") from error
    if body.error is not None:
        raise errors.UpstreamAnswerError("a chunk contains an error")
    text, finish_reason = "", None
    for choice in body.choices:
        if choice.finish_reason in _FAILED_FINISH_REASONS:
            raise errors.UpstreamAnswerError("the engine gave up the completion")
        text += choice.content
        finish_reason = finish_reason or choice.finish_reason or None
    return Chunk(raw, body.id, text, finish_reason, body.usage, body.choices, body.model or "")
