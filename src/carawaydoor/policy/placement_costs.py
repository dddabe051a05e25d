"""What a placement knows, and the cost of each upstream by its load, health and failure domain."""

from __future__ import annotations

import dataclasses
import math
import random
from collections.abc import Callable, Collection, Iterable
from typing import Final

from carawaydoor.policy import entities, health, learned_capacity, load, stream_versions

# A plain upstream or decode engine of another failure domain is used only if it is less loaded by
# this fraction of its capacity: traffic between domains is expensive, but less so than lateness.
CROSS_DOMAIN_PENALTY_SHARE: Final = 0.15
# Weight of the failure rate in the cost of an upstream, as long as the upstream is not suspect.
FAILURE_RATE_WEIGHT: Final = 1.0
# Assumed failure rate of an upstream that has failed peers, if this instance's own calls tell no more.
PEER_FAILURE_RATE: Final = 1.0
# Random part of an upstream's cost per second of staleness, in the unit of the cost: a fraction of
# capacity, or seconds of a prefill queue. It is as large as the load that reaches one of many
# upstreams unseen in that time, and spreads the choices of instances that see each other late.
RANDOM_SPREAD_PER_S: Final = 0.25
# Fraction of a KV cache that is kept free for requests of peers, per second of staleness.
STALENESS_RESERVE_PER_S: Final = 0.08
# Time until peers know of a placement that is announced at once.
ANNOUNCEMENT_LAG_S: Final = 0.1
# Part of one request that is kept free at each decode engine for placements of peers that are not
# known yet, if several are expected.
UNSEEN_RESERVE_REQUESTS: Final = 0.5
# A generation's memory grows with its output, whose length is only estimated. The sum over several
# generations varies around its mean by this part of one output, times the root of their number.
GROWTH_SPREAD_SHARE: Final = 0.5
# Generations are placed up to this expected fill of a KV cache. Outputs may exceed their estimates,
# and a prefill is wasted if the decode engine is full when it ends.
MAX_KV_FILL_SHARE: Final = 0.96
# An upstream that turns peers away is used only if it is less loaded by this fraction of its capacity,
# or if the wait elsewhere is longer by this time.
AVOIDANCE_PENALTY_SHARE: Final = 0.5
AVOIDANCE_PENALTY_S: Final = 0.1
# An upstream with as many requests as it handles well is used only if the others cost as much more, in
# fractions of capacity or of the median upstream's time.
OVERLOAD_PENALTY_SHARE: Final = 1.0
# Longer wait that is accepted for a prefill in the failure domain of the decode engine.
CROSS_DOMAIN_PREFILL_PENALTY_S: Final = 0.02
# Longer wait that is accepted for a prefill by the software version of the decode engine. Another one
# may do it, since the KV cache of a prompt holds no event.
CROSS_VERSION_PREFILL_PENALTY_S: Final = 0.02


@dataclasses.dataclass(frozen=True, slots=True)
class PlacementContext:
    """The knowledge of an instance that a placement is based on.

    :ivar domain: failure domain of the instance
    :ivar staleness_s: mean age of what is known about the work of peers
    :ivar seed: differs for each placement, so that instances don't all choose the same upstream
    :ivar turning_peers_away: upstreams that reject requests of some peer for a while
    :ivar failing_peers: upstreams that have lately failed requests of some peer
    :ivar generations_per_s: rate at which all instances together place requests of the service
    :ivar capacities: what is known of the speeds of the service's upstreams
    """

    now_s: float
    domain: str
    upstreams: tuple[entities.Upstream, ...]
    upstream_load: load.Load
    upstream_health: health.Health
    staleness_s: float = 0.0
    seed: int = 0
    generations_per_s: float = 0.0
    turning_peers_away: frozenset[str] = frozenset()
    failing_peers: frozenset[str] = frozenset()
    capacities: learned_capacity.Capacities = learned_capacity.UNKNOWN

    @property
    def unseen_requests(self) -> float:
        """Return how many placements of peers are probably not known yet."""
        return self.generations_per_s * (ANNOUNCEMENT_LAG_S + self.staleness_s)

    @property
    def unseen_calls(self) -> float:
        """Return how many calls of peers are probably running that are not known."""
        call_s = self.capacities.median_s_by_kind.get(learned_capacity.Kind.CALL, 0.0)
        return self.generations_per_s * min(call_s, ANNOUNCEMENT_LAG_S + self.staleness_s)

    @property
    def unseen_share(self) -> float:
        """Return by how much to allow for unseen placements of peers, 0 to 1.

        While at most one is expected, the choice by known load is the best one.
        """
        return max(0.0, min(1.0, self.generations_per_s * ANNOUNCEMENT_LAG_S - 1.0))


def candidates(
    context: PlacementContext,
    service: str,
    stage: entities.Stage,
    excluded: Collection[str],
    version: str | None = None,
) -> list[entities.Upstream]:
    return [
        each
        for each in context.upstreams
        if each.service == service
        and each.stage is stage
        and not each.is_leaving
        and each.id not in excluded
        and stream_versions.matches(each, version)
    ]


def cheapest(
    context: PlacementContext,
    candidates: Iterable[entities.Upstream],
    cost: Callable[[entities.Upstream], float],
    spread: float = 0.0,
) -> entities.Upstream | None:
    """Return the candidate with the lowest cost.

    :param spread: largest random part of the cost, beside the one for staleness
    """

    width = spread + RANDOM_SPREAD_PER_S * context.staleness_s
    draws = random.Random(context.seed)

    def key(each: entities.Upstream) -> tuple[bool, float, str]:
        suspect = health.is_suspect(context.upstream_health, context.now_s, each.id)
        return suspect, cost(each) + width * draws.random(), each.id

    return min(candidates, key=key, default=None)


def plain_cost(context: PlacementContext, upstream: entities.Upstream) -> float:
    occupied = context.upstream_load.at(upstream.id).requests / upstream.slots
    return occupied + penalty(context, upstream)


def decode_cost(
    context: PlacementContext,
    upstream: entities.Upstream,
    engine_spec: entities.EngineSpec,
    own_tokens: int = 0,
) -> float:
    """Return the cost of a decode engine by its fill and, if speeds differ, by how long that lasts.

    :param own_tokens: tokens of the request itself, which also last longer at a slower engine
    """
    work, kind = context.upstream_load.at(upstream.id), learned_capacity.Kind.EVENT
    if kind not in context.capacities.differing:
        return work.tokens / engine_spec.kv_tokens + penalty(context, upstream)
    ratio = context.capacities.ratio(upstream, kind)
    is_beyond = work.requests >= context.capacities.concurrency(upstream, kind)
    fill = (work.tokens + own_tokens) / engine_spec.kv_tokens
    overload = OVERLOAD_PENALTY_SHARE if is_beyond else 0.0
    return fill * ratio + overload + penalty(context, upstream)


def trusted(
    context: PlacementContext, candidates: Collection[entities.Upstream]
) -> Collection[entities.Upstream]:
    """Return the candidates that are not suspect, or all if there are no others."""
    trusted = [
        each
        for each in candidates
        if not health.is_suspect(context.upstream_health, context.now_s, each.id)
    ]
    return trusted or candidates


def prefill_cost_s(
    context: PlacementContext,
    prefill: entities.Upstream,
    decode: entities.Upstream,
    token_s: float,
) -> float:
    """Return the cost of the queue at a prefill engine, without the prompt itself.

    :param token_s: time in which the engine processes a token
    """
    queued_s = context.upstream_load.at(prefill.id).tokens * token_s
    domain_cost_s = 0.0 if prefill.domain == decode.domain else CROSS_DOMAIN_PREFILL_PENALTY_S
    failure_cost_s = FAILURE_RATE_WEIGHT * failure_rate(context, prefill)
    avoidance_cost_s = AVOIDANCE_PENALTY_S if prefill.id in context.turning_peers_away else 0.0
    version_cost_s = 0.0 if prefill.version == decode.version else CROSS_VERSION_PREFILL_PENALTY_S
    return queued_s + domain_cost_s + failure_cost_s + avoidance_cost_s + version_cost_s


def penalty(context: PlacementContext, upstream: entities.Upstream) -> float:
    domain_cost = 0.0 if upstream.domain == context.domain else CROSS_DOMAIN_PENALTY_SHARE
    avoidance_cost = AVOIDANCE_PENALTY_SHARE if upstream.id in context.turning_peers_away else 0.0
    failure_cost = FAILURE_RATE_WEIGHT * failure_rate(context, upstream)
    return domain_cost + failure_cost + avoidance_cost


def failure_rate(context: PlacementContext, upstream: entities.Upstream) -> float:
    """Return the failure rate that is expected of an upstream, 0 to 1."""
    own = health.failure_rate(context.upstream_health, upstream.id)
    return max(own, PEER_FAILURE_RATE) if upstream.id in context.failing_peers else own


def has_room(
    context: PlacementContext,
    upstream: entities.Upstream,
    engine_spec: entities.EngineSpec,
    prompt: entities.Prompt,
    reserve_share: float,
) -> bool:
    if health.is_full(context.upstream_health, context.now_s, upstream.id):
        return False
    work = context.upstream_load.at(upstream.id)
    fill_limit = MAX_KV_FILL_SHARE - STALENESS_RESERVE_PER_S * context.staleness_s - reserve_share
    output = min(prompt.max_output_tokens, prompt.expected_output_tokens)
    growth = GROWTH_SPREAD_SHARE * output * math.sqrt(work.requests + 1)
    unseen = UNSEEN_RESERVE_REQUESTS * context.unseen_share * prompt.mean_kv_tokens
    room = min(engine_spec.kv_tokens * fill_limit, engine_spec.kv_tokens - growth) - unseen
    fits = work.tokens + prompt.mean_kv_tokens <= room
    return fits and work.requests < engine_spec.slots
