"""Decides when an engine changes between reading prompts and generating.

Answers the load pattern of a fleet whose split does not fit its traffic: engines that read prompts
are idle while those that generate are full, or the reverse. A change takes an engine out for some
seconds, so it is ordered only where it helps for long, by one instance, and rarely.
"""

from __future__ import annotations

import dataclasses
import zlib
from collections.abc import Mapping
from typing import Final

from carawaydoor.policy import entities
from carawaydoor.policy import load as loads

# Time constant in seconds of the running utilisations: long enough to see past single prompts.
SMOOTHING_S: Final = 2.5
# Time in seconds that utilisations have to be observed for before they say anything.
OBSERVED_S: Final = 2.0
# Utilisation of the busier stage from which a change is worth its price.
BUSY_SHARE: Final = 0.4
# The busier stage has to get this much less busy.
IMPROVEMENT: Final = 0.85
# Part of a service's engines that change at once: they are out for some seconds.
MOST_SHARE: Final = 0.15
# Engines of each stage that remain, so that the loss of one leaves another.
MIN_ENGINES: Final = 2
# Time in seconds between two orders for a service: a change and its effect on the utilisations.
ORDER_INTERVAL_S: Final = 12.0
# Time in seconds for which the set of instances has to be whole and unchanged before its first
# member gives orders: leases and network partitions are shorter.
MEMBERSHIP_STEADY_S: Final = 6.0
# Time in seconds for which nothing is ordered after an engine refused an order as outdated.
FENCED_PAUSE_S: Final = 60.0
# An epoch holds a revision of the store above this many bits that tell instances apart.
INSTANCE_BITS: Final = 20


@dataclasses.dataclass(frozen=True, slots=True)
class Utilisation:
    """How busy the stages of a service are, 0 to 1 each, and since when that is observed."""

    prefill: float
    decode: float
    since_s: float
    at_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Balance:
    """What the decision rests on.

    :ivar quiet_until_s_by_service: when the next order for a service may be given, in seconds
    """

    utilisation_by_service: Mapping[str, Utilisation] = dataclasses.field(default_factory=dict)
    quiet_until_s_by_service: Mapping[str, float] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class StageOrder:
    """An engine is to change its stage."""

    upstream: entities.Upstream
    stage: entities.Stage
    utilisation: Utilisation


def observe(
    state: Balance,
    now_s: float,
    service: entities.Service,
    upstreams: tuple[entities.Upstream, ...],
    load: loads.Load,
) -> Balance:
    """Take the present load of a service into its running utilisations."""
    engine = service.engine_spec
    readers, generators = _by_stage(service, upstreams)
    if engine is None or not readers or not generators:
        return state
    reading = sum(load.at(each.id).requests > 0 for each in readers) / len(readers)
    tokens = sum(load.at(each.id).tokens for each in generators)
    generating = min(1.0, tokens / (engine.kv_tokens * len(generators)))
    before = state.utilisation_by_service.get(service.name)
    if before is None:
        after = Utilisation(reading, generating, now_s, now_s)
    else:
        weight = min(1.0, (now_s - before.at_s) / SMOOTHING_S)
        after = Utilisation(
            before.prefill + (reading - before.prefill) * weight,
            before.decode + (generating - before.decode) * weight,
            before.since_s,
            now_s,
        )
    utilisations = {**state.utilisation_by_service, service.name: after}
    return dataclasses.replace(state, utilisation_by_service=utilisations)


def decide(
    state: Balance,
    now_s: float,
    service: entities.Service,
    upstreams: tuple[entities.Upstream, ...],
    load: loads.Load,
) -> tuple[Balance, tuple[StageOrder, ...]]:
    """Return the orders that make a service's busier stage less busy, none where none do."""
    use = state.utilisation_by_service.get(service.name)
    if use is None or now_s - use.since_s < OBSERVED_S:
        return state, ()
    if now_s < state.quiet_until_s_by_service.get(service.name, 0.0):
        return state, ()
    readers, generators = _by_stage(service, upstreams)
    if use.decode > use.prefill:
        moved = _moved(use.decode, len(generators), use.prefill, len(readers))
        idle, stage = readers, entities.Stage.DECODE
    else:
        moved = _moved(use.prefill, len(readers), use.decode, len(generators))
        idle, stage = generators, entities.Stage.PREFILL
    if moved == 0:
        return state, ()
    orders = tuple(StageOrder(each, stage, use) for each in _idlest(idle, load)[:moved])
    return _quiet(state, service.name, now_s + ORDER_INTERVAL_S), orders


def pause_after_refusal(state: Balance, now_s: float, service: str) -> Balance:
    """Pause after an engine refused an order because another instance gave a later one."""
    return _quiet(state, service, now_s + FENCED_PAUSE_S)


def fencing_epoch(revision: int, instance: str) -> int:
    """Return a number that grows with the store's revision and differs between instances."""
    return (revision << INSTANCE_BITS) | (
        zlib.crc32(instance.encode()) & ((1 << INSTANCE_BITS) - 1)
    )


def _moved(busy: float, busy_engines: int, idle: float, idle_engines: int) -> int:
    """Return how many idle engines had better change to the busy stage."""
    if busy < BUSY_SHARE:
        return 0
    most = min(idle_engines - MIN_ENGINES, max(1, int((busy_engines + idle_engines) * MOST_SHARE)))
    best, best_use = 0, busy * IMPROVEMENT
    for moved in range(1, most + 1):
        use = max(
            busy * busy_engines / (busy_engines + moved),
            idle * idle_engines / (idle_engines - moved),
        )
        if use < best_use:
            best, best_use = moved, use
    return best


def _by_stage(
    service: entities.Service, upstreams: tuple[entities.Upstream, ...]
) -> tuple[list[entities.Upstream], list[entities.Upstream]]:
    present = [each for each in upstreams if each.service == service.name and not each.is_leaving]
    readers = [each for each in present if each.stage is entities.Stage.PREFILL]
    generators = [each for each in present if each.stage is entities.Stage.DECODE]
    return readers, generators


def _idlest(engines: list[entities.Upstream], load: loads.Load) -> list[entities.Upstream]:
    return sorted(engines, key=lambda each: (load.at(each.id).tokens, each.id))


def _quiet(state: Balance, service: str, until_s: float) -> Balance:
    quiet = {**state.quiet_until_s_by_service, service: until_s}
    return dataclasses.replace(state, quiet_until_s_by_service=quiet)
