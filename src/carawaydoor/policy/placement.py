"""Chooses the upstreams of a request by their load, health and failure domain."""

from __future__ import annotations

import dataclasses
from collections.abc import Collection
from typing import Final

from carawaydoor.policy import (
    entities,
    health,
    learned_capacity,
    load,
    placement_costs,
    spread_choice,
)

PlacementContext = placement_costs.PlacementContext
ANNOUNCEMENT_LAG_S = placement_costs.ANNOUNCEMENT_LAG_S
MAX_KV_FILL_SHARE = placement_costs.MAX_KV_FILL_SHARE

# Assumed of every prefill engine as long as no speed has been observed.
PREFILL_TOKENS_PER_S: Final = 40_000.0
# A decode engine prefills a prompt at this fraction of a prefill engine's speed.
DECODE_ENGINE_PREFILL_SHARE: Final = 0.5
# Requests by which the fill of decode engines may differ for them to be chosen alike, if several
# placements of peers are not known yet.
SPREAD_REQUESTS: Final = 2.0
# Fraction of a KV cache that has to stay free beside the copy of another engine's generation. A copy
# can't be evicted, so it may only take room that no burst needs.
BACKUP_RESERVE_SHARE: Final = 0.7


@dataclasses.dataclass(frozen=True, slots=True)
class GenerationPlacement:
    """The engines of a generation.

    :ivar prefill: None if the decode engine does the prefill itself
    :ivar prefill_wait_s: expected time until the end of the prefill
    """

    decode: entities.Upstream
    prefill: entities.Upstream | None
    prefill_wait_s: float


def choose_plain(
    context: PlacementContext,
    service: str,
    excluded: Collection[str] = (),
    version: str | None = None,
) -> entities.Upstream | None:
    """Return the upstream of a plain service with the lowest cost, None if it has no upstream.

    :param version: software version at which a stream has to go on, None for any
    """
    candidates = placement_costs.candidates(
        context, service, entities.Stage.NONE, excluded, version
    )
    kind, capacities = learned_capacity.Kind.CALL, context.capacities
    if kind not in capacities.differing:
        return placement_costs.cheapest(
            context, candidates, lambda each: placement_costs.plain_cost(context, each)
        )
    options = []
    for each in placement_costs.trusted(context, candidates):
        ratio, concurrency = capacities.ratio(each, kind), capacities.concurrency(each, kind)
        requests = context.upstream_load.at(each.id).requests
        beyond = placement_costs.OVERLOAD_PENALTY_SHARE if requests >= concurrency else 0.0
        cost = (
            ratio * (1.0 + requests / concurrency) + beyond + placement_costs.penalty(context, each)
        )
        options.append(spread_choice.Option(each, cost, ratio / concurrency))
    return spread_choice.choose(options, context.unseen_calls, context.seed)


def choose_generation(
    context: PlacementContext,
    service: entities.Service,
    prompt: entities.Prompt,
    excluded: Collection[str] = (),
    reserve_share: float = 0.0,
    version: str | None = None,
) -> GenerationPlacement | None:
    """Return the engines of a generation, None if no decode engine has room for it.

    The decode engine is chosen first, by the room in its KV cache, since a prefill without room for
    its decode is wasted. The prefill engine is the one that is expected to end first.

    :param reserve_share: fraction of the decode engine's KV cache that has to stay free beside the
        request
    :param version: software version at which a stream has to go on, None for any
    """
    decode = choose_decode(context, service, prompt, excluded, reserve_share, version)
    if decode is None:
        return None
    prefill = _choose_prefill(
        context,
        placement_costs.candidates(context, service.name, entities.Stage.PREFILL, excluded),
        decode,
        prompt,
    )
    if prefill is None:
        return GenerationPlacement(
            decode, None, decode_engine_prefill_s(prompt, context.capacities)
        )
    return GenerationPlacement(
        decode,
        prefill,
        prefill_wait_s(context.upstream_load, prefill, prompt, context.capacities),
    )


def choose_decode(
    context: PlacementContext,
    service: entities.Service,
    prompt: entities.Prompt,
    excluded: Collection[str] = (),
    reserve_share: float = 0.0,
    version: str | None = None,
) -> entities.Upstream | None:
    """Return the decode engine with the emptiest KV cache, None if none has room for the request.

    :param reserve_share: fraction of the KV cache that has to stay free beside the request
    :param version: software version at which a stream has to go on, None for any
    """
    engine_spec = service.engine_spec
    if engine_spec is None:
        return None
    candidates = placement_costs.candidates(
        context, service.name, entities.Stage.DECODE, excluded, version
    )
    return placement_costs.cheapest(
        context,
        [
            each
            for each in placement_costs.trusted(context, candidates)
            if placement_costs.has_room(context, each, engine_spec, prompt, reserve_share)
        ],
        lambda each: placement_costs.decode_cost(context, each, engine_spec, prompt.mean_kv_tokens),
        # Engines whose fill differs by less than a few requests are as good as each other.
        SPREAD_REQUESTS * context.unseen_share * prompt.mean_kv_tokens / engine_spec.kv_tokens,
    )


def choose_backup(
    context: PlacementContext,
    service: entities.Service,
    prompt: entities.Prompt,
    decode: entities.Upstream,
) -> entities.Upstream | None:
    """Return the engine that keeps a copy of a generation's KV cache, None if room is scarce.

    If the decode engine fails, the engine with the copy continues the generation, so it has the same
    software version. A copy takes as much room as a generation, so it is made only if enough room is
    left for new generations.
    """
    engine_spec = service.engine_spec
    if engine_spec is None or not engine_spec.keeps_backups:
        return None
    candidates = placement_costs.candidates(
        context, service.name, entities.Stage.DECODE, (decode.id,), decode.version
    )
    with_room = [
        each
        for each in candidates
        if placement_costs.has_room(context, each, engine_spec, prompt, BACKUP_RESERVE_SHARE)
        and not health.is_suspect(context.upstream_health, context.now_s, each.id)
    ]
    return placement_costs.cheapest(
        context, with_room, lambda each: placement_costs.decode_cost(context, each, engine_spec)
    )


def prefill_wait_s(
    upstream_load: load.Load,
    prefill: entities.Upstream,
    prompt: entities.Prompt,
    capacities: learned_capacity.Capacities = learned_capacity.UNKNOWN,
) -> float:
    """Return the expected time until a prefill engine has processed its queue and a prompt."""
    tokens = upstream_load.at(prefill.id).tokens + prompt.tokens
    kind = learned_capacity.Kind.PREFILL_TOKEN
    return tokens * capacities.unit_s(prefill, kind, 1.0 / PREFILL_TOKENS_PER_S)


def decode_engine_prefill_s(
    prompt: entities.Prompt,
    capacities: learned_capacity.Capacities = learned_capacity.UNKNOWN,
) -> float:
    """Return the duration of a prefill on a decode engine."""
    token_s = capacities.median_s_by_kind.get(
        learned_capacity.Kind.PREFILL_TOKEN, 1.0 / PREFILL_TOKENS_PER_S
    )
    return prompt.tokens * token_s / DECODE_ENGINE_PREFILL_SHARE


def _choose_prefill(
    context: PlacementContext,
    candidates: Collection[entities.Upstream],
    decode: entities.Upstream,
    prompt: entities.Prompt,
) -> entities.Upstream | None:
    kind, capacities = learned_capacity.Kind.PREFILL_TOKEN, context.capacities
    if kind not in capacities.differing:
        return placement_costs.cheapest(
            context,
            candidates,
            lambda each: placement_costs.prefill_cost_s(
                context, each, decode, 1.0 / PREFILL_TOKENS_PER_S
            ),
        )
    options = []
    for each in placement_costs.trusted(context, candidates):
        token_s = capacities.unit_s(each, kind, 1.0 / PREFILL_TOKENS_PER_S)
        prompt_s = prompt.tokens * token_s
        cost_s = placement_costs.prefill_cost_s(context, each, decode, token_s) + prompt_s
        options.append(spread_choice.Option(each, cost_s, prompt_s))
    return spread_choice.choose(options, context.unseen_requests, context.seed)
