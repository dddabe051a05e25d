"""Models of prefill engines and of decode engines with limited KV cache."""

from __future__ import annotations

import dataclasses
from typing import Final

PREFILL_TOKENS_PER_S: Final = 55_000.0
# A decode engine generates one token of every generation per step.
DECODE_STEP_S: Final = 0.0036
# Prefill speed of a decode engine relative to a prefill engine.
DECODE_ENGINE_PREFILL_RATIO: Final = 0.5
# Delay from admission to the first event; the KV cache transfer comes on top.
FIRST_EVENT_DELAY_S: Final = 0.03


@dataclasses.dataclass(slots=True)
class Generation:
    """A generation on a decode engine, or the backup of one on a second engine.

    :ivar request: number of the request
    :ivar output_tokens: length of the complete output
    :ivar started_s: simulated time at which decoding of the first token starts
    """

    request: int
    prompt_tokens: int
    output_tokens: int
    started_s: float

    def held_tokens(self, now_s: float) -> int:
        """Return the tokens that the generation holds in the engine's KV cache."""
        generated_tokens = max(0.0, now_s - self.started_s) / DECODE_STEP_S
        return self.prompt_tokens + min(self.output_tokens, int(generated_tokens))

    @property
    def ends_s(self) -> float:
        """Simulated time at which the last token is generated."""
        return self.started_s + self.output_tokens * DECODE_STEP_S


class PrefillEngine:
    """An engine that prefills one prompt at a time, in the order of arrival."""

    def __init__(self, name: str) -> None:
        self.name = name
        self._idle_from_s = 0.0

    def prefill(self, now_s: float, tokens: int) -> float:
        """Queue a prompt and return the simulated time at which its prefill ends."""
        self._idle_from_s = max(now_s, self._idle_from_s) + tokens / PREFILL_TOKENS_PER_S
        return self._idle_from_s


class DecodeEngine:
    """An engine that decodes; it rejects a generation whose prompt exceeds its free KV cache.

    :param kv_tokens: capacity of the KV cache
    :param slots: maximum number of concurrent generations
    """

    def __init__(self, name: str, kv_tokens: int, slots: int) -> None:
        self.name = name
        self.generation_by_request: dict[int, Generation] = {}
        self.backup_by_request: dict[int, Generation] = {}
        self.has_failed = False
        self._kv_tokens = kv_tokens
        self._slots = slots

    def used_tokens(self, now_s: float) -> int:
        """Return the tokens that generations and backups hold in the KV cache."""
        held = (*self.generation_by_request.values(), *self.backup_by_request.values())
        return sum(each.held_tokens(now_s) for each in held)

    def admit(self, now_s: float, generation: Generation) -> bool:
        """Accept a generation if a slot is free and its prompt fits; return whether accepted."""
        used = self.used_tokens(now_s)
        if self.has_failed or len(self.generation_by_request) >= self._slots:
            return False
        if used + generation.prompt_tokens > self._kv_tokens:
            return False
        self.generation_by_request[generation.request] = generation
        return True

    def end(self, request: int) -> None:
        """Free the KV cache of a generation or backup."""
        self.generation_by_request.pop(request, None)
        self.backup_by_request.pop(request, None)

    def preempt(self, now_s: float) -> list[Generation]:
        """Remove the newest generations until the rest fits, and return the removed ones."""
        preempted: list[Generation] = []
        while self.generation_by_request and self.used_tokens(now_s) > self._kv_tokens:
            newest = max(self.generation_by_request.values(), key=lambda each: each.started_s)
            self.end(newest.request)
            preempted.append(newest)
        return preempted
