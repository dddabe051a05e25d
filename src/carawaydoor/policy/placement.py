"""Chooses the upstreams of a request from what is known of their load and health."""

from __future__ import annotations

import dataclasses
import zlib
from collections.abc import Callable, Collection, Iterable
from typing import Final

from carawaydoor.policy import entities
from carawaydoor.policy import health as healths
from carawaydoor.policy import load as loads

# Work that an upstream of another failure domain has to be ahead by, as a share of its slots:
# bytes between domains are dear, but less than a late answer.
OTHER_DOMAIN_PENALTY: Final = 0.15
# How strongly a running share of failures counts against an upstream that is no suspect.
FAILURE_PENALTY: Final = 1.0
# Prompt tokens that an engine reads in a second before its own speed has been observed.
DEFAULT_READ_TOKENS_PER_S: Final = 40_000.0
# An engine of the decode stage reads prompts itself at half that speed.
DIRECT_READ_SHARE: Final = 0.5
# Spread of random choice for each second of staleness, as a part of an upstream's capacity or in
# seconds of its queue: what arrives unseen at one of many upstreams in that time.
SPREAD_PER_S: Final = 0.25
# Part of an engine's memory that is left free for each second of staleness.
UNSEEN_FILL_PER_S: Final = 0.08
# Part of an engine's memory that is filled by expectation: outputs differ from their estimates, and
# a prompt that was read for an engine that is full is read in vain.
FILL_SHARE: Final = 0.96
# Part of an engine's memory that has to stay free beside the copy of another engine's run.
BACKUP_RESERVE_SHARE: Final = 0.35
# Time in seconds that is given up for a prompt read in the domain of its decode engine.
OTHER_DOMAIN_READ_S: Final = 0.02


@dataclasses.dataclass(frozen=True, slots=True)
class PlacementContext:
    """What a placement is decided from.

    :ivar staleness_s: mean age in seconds of what is known of peers' work
    :ivar seed: differs for each placement, so that instances don't all choose the same upstream
    """

    now_s: float
    domain: str
    upstreams: tuple[entities.Upstream, ...]
    upstream_load: loads.Load
    upstream_health: healths.Health
    staleness_s: float = 0.0
    seed: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class GenerationPlacement:
    """The engines of a generation; the decode engine reads the prompt where ``prefill`` is None.

    :ivar prefill_wait_s: expected time in seconds until the prompt has been read
    """

    decode: entities.Upstream
    prefill: entities.Upstream | None
    prefill_wait_s: float


def choose_plain(
    view: PlacementContext, service: str, excluded: Collection[str] = ()
) -> entities.Upstream | None:
    """Return the least loaded upstream of a plain service, None where there is none."""
    candidates = _candidates(view, service, entities.Stage.NONE, excluded)
    return _best(view, candidates, lambda each: _plain_cost(view, each))


def choose_generation(
    view: PlacementContext,
    service: entities.Service,
    prompt: entities.Prompt,
    excluded: Collection[str] = (),
    reserve_share: float = 0.0,
) -> GenerationPlacement | None:
    """Return the engines of a generation, None where no engine can hold it.

    The decode engine is chosen first, by free memory: a prompt that was read and finds no memory
    is wasted. The prompt is read where that is done first.
    """
    decode = choose_decode(view, service, prompt, excluded, reserve_share)
    if decode is None:
        return None
    prefill = _best(
        view,
        _candidates(view, service.name, entities.Stage.PREFILL, excluded),
        lambda each: _read_cost_s(view, each, decode),
    )
    if prefill is None:
        return GenerationPlacement(decode, None, decode_engine_prefill_s(prompt))
    return GenerationPlacement(decode, prefill, prefill_wait_s(view.upstream_load, prefill, prompt))


def choose_decode(
    view: PlacementContext,
    service: entities.Service,
    prompt: entities.Prompt,
    excluded: Collection[str] = (),
    reserve_share: float = 0.0,
) -> entities.Upstream | None:
    """Return the decode engine with the most free memory, None where none can hold a request.

    :param reserve_share: part of an engine's memory that has to stay free beside the request
    """
    engine = service.engine_spec
    if engine is None:
        return None
    candidates = _candidates(view, service.name, entities.Stage.DECODE, excluded)
    trusted = [
        each
        for each in candidates
        if not healths.is_suspect(view.upstream_health, view.now_s, each.id)
    ]
    return _best(
        view,
        [
            each
            for each in trusted or candidates
            if _has_room(view, each, engine, prompt, reserve_share)
        ],
        lambda each: _decode_cost(view, each, engine),
    )


def choose_backup(
    view: PlacementContext,
    service: entities.Service,
    prompt: entities.Prompt,
    decode: entities.Upstream,
) -> entities.Upstream | None:
    """Return the engine that keeps a copy of a run's memory, None where memory is scarce.

    A copy lets another engine go on with the run where the first is lost. It takes the memory of a
    run itself, so that it is kept only where enough stays free for new ones.
    """
    engine = service.engine_spec
    if engine is None or not engine.keeps_backups:
        return None
    candidates = _candidates(view, service.name, entities.Stage.DECODE, (decode.id,))
    roomy = [
        each
        for each in candidates
        if _has_room(view, each, engine, prompt, BACKUP_RESERVE_SHARE)
        and not healths.is_suspect(view.upstream_health, view.now_s, each.id)
    ]
    return _best(view, roomy, lambda each: _decode_cost(view, each, engine))


def prefill_wait_s(load: loads.Load, prefill: entities.Upstream, prompt: entities.Prompt) -> float:
    """Return the expected time in seconds until an engine has read a prompt."""
    queued = load.at(prefill.id).tokens
    return (queued + prompt.tokens) / DEFAULT_READ_TOKENS_PER_S


def decode_engine_prefill_s(prompt: entities.Prompt) -> float:
    """Return the time in seconds in which a decode engine reads a prompt itself."""
    return prompt.tokens / (DEFAULT_READ_TOKENS_PER_S * DIRECT_READ_SHARE)


def _candidates(
    view: PlacementContext, service: str, stage: entities.Stage, excluded: Collection[str]
) -> list[entities.Upstream]:
    return [
        each
        for each in view.upstreams
        if each.service == service
        and each.stage is stage
        and not each.is_leaving
        and each.id not in excluded
    ]


def _best(
    view: PlacementContext,
    candidates: Iterable[entities.Upstream],
    cost: Callable[[entities.Upstream], float],
) -> entities.Upstream | None:
    def key(each: entities.Upstream) -> tuple[bool, float, str]:
        suspect = healths.is_suspect(view.upstream_health, view.now_s, each.id)
        return suspect, cost(each) + _spread(view, each), each.id

    return min(candidates, key=key, default=None)


def _spread(view: PlacementContext, upstream: entities.Upstream) -> float:
    draw = zlib.crc32(upstream.id.encode(), view.seed) / 2**32
    return draw * SPREAD_PER_S * view.staleness_s


def _plain_cost(view: PlacementContext, upstream: entities.Upstream) -> float:
    occupied = view.upstream_load.at(upstream.id).requests / upstream.slots
    return occupied + _penalty(view, upstream)


def _decode_cost(
    view: PlacementContext, upstream: entities.Upstream, engine: entities.EngineSpec
) -> float:
    return view.upstream_load.at(upstream.id).tokens / engine.kv_tokens + _penalty(view, upstream)


def _read_cost_s(
    view: PlacementContext, prefill: entities.Upstream, decode: entities.Upstream
) -> float:
    queued_s = view.upstream_load.at(prefill.id).tokens / DEFAULT_READ_TOKENS_PER_S
    distance_s = 0.0 if prefill.domain == decode.domain else OTHER_DOMAIN_READ_S
    failures = FAILURE_PENALTY * healths.failure_share(view.upstream_health, prefill.id)
    return queued_s + distance_s + failures


def _penalty(view: PlacementContext, upstream: entities.Upstream) -> float:
    distance = 0.0 if upstream.domain == view.domain else OTHER_DOMAIN_PENALTY
    return distance + FAILURE_PENALTY * healths.failure_share(view.upstream_health, upstream.id)


def _has_room(
    view: PlacementContext,
    upstream: entities.Upstream,
    engine: entities.EngineSpec,
    prompt: entities.Prompt,
    reserve_share: float,
) -> bool:
    if healths.is_full(view.upstream_health, view.now_s, upstream.id):
        return False
    work = view.upstream_load.at(upstream.id)
    fill = FILL_SHARE - UNSEEN_FILL_PER_S * view.staleness_s - reserve_share
    room = engine.kv_tokens * fill
    fits = work.tokens + prompt.memory_tokens <= room
    return fits and work.requests < engine.slots
