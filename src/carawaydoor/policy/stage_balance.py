"""Decides when engines change between prefill and decode.

If the split of a service's engines does not fit its traffic, engines of one stage are idle while
those of the other are full. A changing engine serves nothing for some seconds, so changes are
ordered by one instance only, rarely, and only if the imbalance is large and lasting.
"""

from __future__ import annotations

import dataclasses
import math
import zlib
from collections.abc import Mapping
from typing import Final

from carawaydoor.policy import entities, load

# Long enough to smooth out single prompts.
SMOOTHING_TIME_CONSTANT_S: Final = 2.5
# The utilisation of a service is not meaningful until it has had traffic for this time: prompts keep
# prefill engines busy at once, but decode engines fill up over the length of a generation.
MIN_TRAFFIC_S: Final = 6.0
# Below this utilisation of the busier stage, a change costs more than it gains.
MIN_BUSY_UTILISATION: Final = 0.4
# Part of the square root of the number of prefill engines that has to be idle for prompts not to wait, by
# the square-root staffing rule: nearly none of 24 engines, but half of four.
IDLE_ENGINES_PER_ROOT: Final = 1.0
# After a change, the busier stage must be below this fraction of its present utilisation.
REQUIRED_UTILISATION_RATIO: Final = 0.85
# Fraction of a service's engines that may change at once, since they serve nothing meanwhile.
MAX_MOVED_SHARE: Final = 0.15
# With two decode engines left, the loss of one leaves another. Without a prefill engine, decode
# engines prefill prompts themselves.
MIN_ENGINES_BY_STAGE: Final = {entities.Stage.PREFILL: 1, entities.Stage.DECODE: 2}
# Time between two orders for a service: the change takes place and shows in the utilisation.
ORDER_INTERVAL_S: Final = 12.0
# The set of instances must be complete and unchanged for this time before its leader gives orders.
# A lease or a network partition does not last as long.
MEMBERSHIP_STABLE_S: Final = 6.0
# Time without orders after an engine has refused one because of an outdated fencing epoch.
PAUSE_AFTER_REFUSAL_S: Final = 60.0
# The low bits of a fencing epoch tell instances apart; the store's revision is in the bits above.
EPOCH_INSTANCE_BITS: Final = 20


@dataclasses.dataclass(frozen=True, slots=True)
class Utilisation:
    """Moving averages of the utilisation of a service's stages, 0 to 1.

    :ivar traffic_since_s: time of the first observation since which the service has had work
    :ivar updated_s: time of the latest observation
    """

    prefill: float
    decode: float
    traffic_since_s: float
    updated_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Balance:
    """Observations and orders so far.

    :ivar next_order_s_by_service: earliest time of the next order
    """

    utilisation_by_service: Mapping[str, Utilisation] = dataclasses.field(default_factory=dict)
    next_order_s_by_service: Mapping[str, float] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class StageOrder:
    """An order to an engine to change to another stage.

    :ivar utilisation: the utilisation that the order is based on
    """

    upstream: entities.Upstream
    stage: entities.Stage
    utilisation: Utilisation


def observe(
    state: Balance,
    now_s: float,
    service: entities.Service,
    upstreams: tuple[entities.Upstream, ...],
    upstream_load: load.Load,
) -> Balance:
    """Update the utilisation of a service with its present load."""
    engine_spec = service.engine_spec
    prefill_engines, decode_engines = _engines_by_stage(service, upstreams)
    if engine_spec is None or not prefill_engines or not decode_engines:
        return state
    prefill = sum(upstream_load.at(each.id).requests > 0 for each in prefill_engines) / len(
        prefill_engines
    )
    tokens = sum(upstream_load.at(each.id).tokens for each in decode_engines)
    decode = min(1.0, tokens / (engine_spec.kv_tokens * len(decode_engines)))
    before = state.utilisation_by_service.get(service.name)
    if before is None:
        after = Utilisation(prefill, decode, now_s, now_s)
    else:
        weight = min(1.0, (now_s - before.updated_s) / SMOOTHING_TIME_CONSTANT_S)
        after = Utilisation(
            before.prefill + (prefill - before.prefill) * weight,
            before.decode + (decode - before.decode) * weight,
            before.traffic_since_s if prefill > 0.0 or decode > 0.0 else now_s,
            now_s,
        )
    utilisations = {**state.utilisation_by_service, service.name: after}
    return dataclasses.replace(state, utilisation_by_service=utilisations)


def decide(
    state: Balance,
    now_s: float,
    service: entities.Service,
    upstreams: tuple[entities.Upstream, ...],
    upstream_load: load.Load,
) -> tuple[Balance, tuple[StageOrder, ...]]:
    """Return the orders that relieve the busier stage of a service, which may be none."""
    utilisation = state.utilisation_by_service.get(service.name)
    if utilisation is None or now_s - utilisation.traffic_since_s < MIN_TRAFFIC_S:
        return state, ()
    if now_s < state.next_order_s_by_service.get(service.name, 0.0):
        return state, ()
    prefill_engines, decode_engines = _engines_by_stage(service, upstreams)
    if utilisation.decode > utilisation.prefill:
        moved = _engines_to_move(
            utilisation.decode,
            len(decode_engines),
            utilisation.prefill,
            len(prefill_engines),
            MIN_ENGINES_BY_STAGE[entities.Stage.PREFILL],
        )
        candidates, stage = prefill_engines, entities.Stage.DECODE
    elif not _prompts_wait(utilisation.prefill, len(prefill_engines)):
        return state, ()
    else:
        moved = _engines_to_move(
            utilisation.prefill,
            len(prefill_engines),
            utilisation.decode,
            len(decode_engines),
            MIN_ENGINES_BY_STAGE[entities.Stage.DECODE],
        )
        candidates, stage = decode_engines, entities.Stage.PREFILL
    if moved == 0:
        return state, ()
    orders = tuple(
        StageOrder(each, stage, utilisation)
        for each in _least_loaded(candidates, upstream_load)[:moved]
    )
    return _with_next_order_at(state, service.name, now_s + ORDER_INTERVAL_S), orders


def pause_after_refusal(state: Balance, now_s: float, service: str) -> Balance:
    """Pause orders after an engine refused one because it had a later order of another instance."""
    return _with_next_order_at(state, service, now_s + PAUSE_AFTER_REFUSAL_S)


def fencing_epoch(revision: int, instance: str) -> int:
    """Return a number that grows with the store's revision and differs between instances."""
    return (revision << EPOCH_INSTANCE_BITS) | (
        zlib.crc32(instance.encode()) & ((1 << EPOCH_INSTANCE_BITS) - 1)
    )


def _engines_to_move(
    busy: float, busy_engines: int, idle: float, idle_engines: int, min_idle_engines: int
) -> int:
    """Return the number of engines to move from the less busy stage to the busier one.

    :param busy: utilisation of the busier stage
    :param idle: utilisation of the less busy stage
    :param min_idle_engines: engines that have to remain in the less busy stage
    """
    if busy < MIN_BUSY_UTILISATION:
        return 0
    limit = min(
        idle_engines - min_idle_engines,
        max(1, int((busy_engines + idle_engines) * MAX_MOVED_SHARE)),
    )
    best, best_utilisation = 0, busy * REQUIRED_UTILISATION_RATIO
    for moved in range(1, limit + 1):
        utilisation = max(
            busy * busy_engines / (busy_engines + moved),
            idle * idle_engines / (idle_engines - moved),
        )
        if utilisation < best_utilisation:
            best, best_utilisation = moved, utilisation
    return best


def _prompts_wait(utilisation: float, engines: int) -> bool:
    """Return whether prompts wait for prefill engines, of which some are idle.

    In a large service, prefill engines that are busy for three quarters of the time delay nothing. In a
    burst they are busy at once, while decode engines fill up over the length of a generation, so that the
    balance of the two moved decode engines to prefill when their memory was about to be short.
    """
    return (1.0 - utilisation) * engines < IDLE_ENGINES_PER_ROOT * math.sqrt(engines)


def _engines_by_stage(
    service: entities.Service, upstreams: tuple[entities.Upstream, ...]
) -> tuple[list[entities.Upstream], list[entities.Upstream]]:
    """Return the prefill engines and the decode engines of a service that are not leaving."""
    present = [each for each in upstreams if each.service == service.name and not each.is_leaving]
    prefill_engines = [each for each in present if each.stage is entities.Stage.PREFILL]
    decode_engines = [each for each in present if each.stage is entities.Stage.DECODE]
    return prefill_engines, decode_engines


def _least_loaded(
    engines: list[entities.Upstream], upstream_load: load.Load
) -> list[entities.Upstream]:
    return sorted(engines, key=lambda each: (upstream_load.at(each.id).tokens, each.id))


def _with_next_order_at(state: Balance, service: str, at_s: float) -> Balance:
    next_orders = {**state.next_order_s_by_service, service: at_s}
    return dataclasses.replace(state, next_order_s_by_service=next_orders)
