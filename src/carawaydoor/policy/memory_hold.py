"""Decides when a decode engine is asked to hold memory for a generation before its prompt is prefilled.

Load pattern: many instances place generations on engines that are nearly full, by reports that are
some hundred milliseconds old. An engine that is full when the prefill ends rejects the generation,
and the prefill is wasted. Only the engine itself knows whether it has room, so it is asked first.
"""

from __future__ import annotations

from typing import Final

from carawaydoor.policy import entities, load, placement

# Emptier engines take what the instances don't know of each other, so the call would gain nothing.
MIN_FILL_SHARE: Final = 0.5
# Generations that need more of a KV cache than this are large: with holds for all, the largest tenth of the
# prompts was served half as often as the others.
LARGE_SHARE: Final = 0.2
# Placements that are expected before peers know of one.
MIN_UNSEEN_PLACEMENTS: Final = 1.0
# Added to the expected time until the prompt is prefilled, for its transfer to the decode engine.
TTL_MARGIN_S: Final = 0.5


def is_worthwhile(
    engine_spec: entities.EngineSpec,
    prompt: entities.Prompt,
    work: load.Work,
    generations_per_s: float,
) -> bool:
    """Return whether an engine may be too full for one more generation without anybody knowing.

    While peers know of each placement before the next one, the known load is right, and memory that is
    held during a prefill only lacks the generations that run: in a fleet of six instances, twice as
    many were preempted. A large generation rarely finds as much memory free at any moment, so that it would
    be refused everywhere; without a hold, an engine queues it until others have ended.

    :param work: work of all instances at the engine, as far as this one knows it
    :param generations_per_s: rate at which all instances together place generations
    """
    if engine_spec.max_hold_s <= 0.0:
        return False
    if prompt.mean_kv_tokens > LARGE_SHARE * engine_spec.kv_tokens:
        return False
    if generations_per_s * placement.ANNOUNCEMENT_LAG_S <= MIN_UNSEEN_PLACEMENTS:
        return False
    return (
        work.tokens >= MIN_FILL_SHARE * engine_spec.kv_tokens
        or work.requests >= MIN_FILL_SHARE * engine_spec.slots
    )


def ttl_s(engine_spec: entities.EngineSpec, prefill_wait_s: float) -> float:
    """Return the time in seconds for which memory is held.

    :param prefill_wait_s: expected time until the prompt is prefilled
    """
    return min(engine_spec.max_hold_s, prefill_wait_s + TTL_MARGIN_S)
