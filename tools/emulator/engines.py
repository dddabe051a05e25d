"""Modelled engines: one kind reads prompts, the other generates within its memory."""

from __future__ import annotations

import dataclasses
from typing import Final

# Prompt tokens that an engine reads in a second, one prompt after another.
READ_TOKENS_PER_S: Final = 55_000.0
# Time in seconds in which a generating engine makes one token of every run.
STEP_S: Final = 0.0036
# Part of the reading speed at which a generating engine reads prompts itself.
DIRECT_READ_SHARE: Final = 0.5
# Time in seconds from a run's admission to its first event, beside the transfer.
FIRST_EVENT_S: Final = 0.03


@dataclasses.dataclass(slots=True)
class Run:
    """A generation at work, or the copy of one.

    :ivar output_tokens: tokens that it makes in all
    :ivar began_s: when the first of them was begun, in seconds
    """

    request: int
    prompt_tokens: int
    output_tokens: int
    began_s: float

    def memory_tokens(self, now_s: float) -> int:
        """Return the tokens that the run holds in an engine's memory."""
        made = max(0.0, now_s - self.began_s) / STEP_S
        return self.prompt_tokens + min(self.output_tokens, int(made))

    @property
    def ends_s(self) -> float:
        """When the last token is made, in seconds."""
        return self.began_s + self.output_tokens * STEP_S


class Reader:
    """An engine that reads prompts."""

    def __init__(self, name: str) -> None:
        self.name = name
        self._free_s = 0.0

    def read(self, now_s: float, tokens: int) -> float:
        """Take a prompt and return when it has been read, in seconds."""
        self._free_s = max(now_s, self._free_s) + tokens / READ_TOKENS_PER_S
        return self._free_s


class Generator:
    """An engine that generates; it rejects what its memory can't hold at the moment."""

    def __init__(self, name: str, memory_tokens: int, slots: int) -> None:
        self.name = name
        self.run_by_request: dict[int, Run] = {}
        self.copy_by_request: dict[int, Run] = {}
        self.is_lost = False
        self._memory_tokens = memory_tokens
        self._slots = slots

    def used_tokens(self, now_s: float) -> int:
        """Return the tokens held by runs and copies."""
        held = (*self.run_by_request.values(), *self.copy_by_request.values())
        return sum(each.memory_tokens(now_s) for each in held)

    def admit(self, now_s: float, run: Run) -> bool:
        """Take a run where it has a slot and its prompt fits; return whether it was taken."""
        used = self.used_tokens(now_s)
        if self.is_lost or len(self.run_by_request) >= self._slots:
            return False
        if used + run.prompt_tokens > self._memory_tokens:
            return False
        self.run_by_request[run.request] = run
        return True

    def end(self, request: int) -> None:
        """Free what a run or its copy holds."""
        self.run_by_request.pop(request, None)
        self.copy_by_request.pop(request, None)

    def preempt(self, now_s: float) -> list[Run]:
        """Push out the newest runs that no longer fit, and return them."""
        pushed: list[Run] = []
        while self.run_by_request and self.used_tokens(now_s) > self._memory_tokens:
            newest = max(self.run_by_request.values(), key=lambda each: each.began_s)
            self.end(newest.request)
            pushed.append(newest)
        return pushed
