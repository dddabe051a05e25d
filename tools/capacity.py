"""Measures how processor time and memory grow with size, on one processor, for docs/CAPACITY.md.

Prints one line per measurement: what, size, microseconds, bytes.
"""

from __future__ import annotations

import dataclasses
import functools
import gc
import time
import tracemalloc
from collections.abc import Callable, Iterator, Sequence
from typing import Final

from thriftpy2 import utils as thrift_utils

from carawaydoor.coordination import (
    budgets,
    cluster_view,
    core_events,
    core_state,
    messages,
    ownership,
    pool_scheduler,
    state_machine,
    token_bucket,
)
from carawaydoor.interface import stream_checks
from carawaydoor.links import wire
from carawaydoor.publishing import catalog, config_objects, revisions

WORKSPACE_COUNTS: Final = (1_000, 5_000, 30_000)
INSTANCE_COUNTS: Final = (8, 100, 710)
LEASE_COUNTS: Final = (20, 100, 500)
TICK_WORKSPACE_COUNTS: Final = (100, 1_000, 3_000)
INSTANCES_PER_DOMAIN: Final = 23
REPEATS: Final = 200
START_S: Final = 100.0


@dataclasses.dataclass(frozen=True, slots=True)
class Measurement:
    """Processor time and memory of one operation.

    :ivar size: what the operation grows with, such as a number of instances
    """

    name: str
    size: int
    microseconds: float
    size_bytes: float = 0.0


def main() -> None:
    """Print all measurements."""
    print(f"{'what':<44}{'size':>8}{'us each':>12}{'bytes':>12}")
    for each in _measurements():
        print(
            f"{each.name:<44}{each.size:>8}{each.microseconds:>12.1f}{each.size_bytes:>12.0f}",
            flush=True,
        )


def _measurements() -> Iterator[Measurement]:
    yield from _measure_configuration()
    yield from _measure_buckets()
    yield from _measure_core_steps()
    yield from _measure_scheduler()
    yield from _measure_frames()
    yield from _measure_chunks()


def _time_us(action: Callable[[], object], repeats: int = REPEATS) -> float:
    action()
    gc.collect()
    started_s = time.process_time()
    for _ in range(repeats):
        action()
    return (time.process_time() - started_s) / repeats * 1e6


def _allocated_bytes(build: Callable[[], object]) -> float:
    gc.collect()
    tracemalloc.start()
    result = build()
    size_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del result
    return float(size_bytes)


def _config_objects(count: int) -> list[config_objects.AnyObject]:
    workspaces = [
        config_objects.Workspace(
            kind="workspace", name=f"w{number}", rate_tokens_per_s=900.0, burst_tokens=9000.0
        )
        for number in range(count)
    ]
    keys = [
        config_objects.Key(
            kind="key", name=f"k{number}", workspace=f"w{number}", sha256=f"{number:064x}"
        )
        for number in range(count)
    ]
    domain = config_objects.FailureDomain(kind="failure_domain", name="fd0", standing_share=0.02)
    return [domain, *workspaces, *keys]


def _measure_configuration() -> Iterator[Measurement]:
    for size in WORKSPACE_COUNTS:
        revision = revisions.build(1, _config_objects(size))
        load_us = _time_us(functools.partial(revisions.load, revision), 1)
        state = _allocated_bytes(functools.partial(revisions.load, revision))
        yield Measurement("configuration: load, and catalog state", size, load_us, state)
        manifest = len(revision.manifest_bytes)
        yield Measurement("configuration: manifest on the wire", size, 0.0, manifest)
        part = sum(map(len, revision.part_by_digest.values())) / len(revision.part_by_digest)
        yield Measurement("configuration: one part on the wire", size, 0.0, part)


def _measure_buckets() -> Iterator[Measurement]:
    for size in WORKSPACE_COUNTS:
        size_bytes = _allocated_bytes(functools.partial(_buckets, size))
        yield Measurement("budgets: state of the buckets held", size, 0.0, size_bytes)
        request = messages.ReserveTokens("g", "w1", 1.0, 1.0, True)
        share = budgets.Share("w1", budgets.POOLED)
        reserve = functools.partial(budgets.reserve, _buckets(size), 1.0, share, request, "n", 0.5)
        yield Measurement("budgets: one reservation", size, _time_us(reserve))


def _buckets(count: int) -> budgets.Budgets:
    limit = token_bucket.Limit(900.0, 9000.0)
    return budgets.Budgets(
        {
            budgets.Share(f"w{number}", budgets.POOLED): token_bucket.create(limit, 0.0)
            for number in range(count)
        }
    )


def _view(count: int) -> cluster_view.View:
    instances = {
        f"i{number}": cluster_view.Instance(
            f"i{number}",
            f"fd{number // INSTANCES_PER_DOMAIN}",
            "10.0.0.1",
            1,
            cluster_view.Presence.LIVE,
        )
        for number in range(count)
    }
    return cluster_view.View(1, instances, {})


def _core_state(count: int, workspaces: int = 100) -> core_state.CoreState:
    member = ownership.create("i0", "n0", "fd0", ownership.Timing(), START_S)
    state = core_state.create(member, b"secret")
    arrived = core_events.ViewArrived(_view(count), START_S)
    state, _ = state_machine.step(state, START_S, 0.0, arrived)
    built_catalog = catalog.build_unchecked(_config_objects(workspaces))
    state, _ = state_machine.step(state, START_S, 0.0, core_events.CatalogInForce(1, built_catalog))
    for number in range(1, count):
        state, _ = state_machine.step(
            state, START_S, 0.0, core_events.PeerHeard(START_S, _heartbeat(number))
        )
    return state


def _heartbeat(number: int, leases: int = 0) -> messages.Heartbeat:
    domain = f"fd{number // INSTANCES_PER_DOMAIN}"
    held_leases = tuple(
        messages.HeldLease(f"{each:032x}-0n-fd0", "pool", "fd0", "w1", "engine-1")
        for each in range(leases)
    )
    return messages.Heartbeat(f"i{number}", f"n{number}", domain, 1, 1, 0.1, False, held_leases)


def _measure_core_steps() -> Iterator[Measurement]:
    heard = core_events.PeerHeard(START_S, _heartbeat(1))
    request = core_events.Received(_heartbeat(1), 1)
    for size in INSTANCE_COUNTS:
        state = _core_state(size)
        heard_us = _time_us(functools.partial(state_machine.step, state, START_S, 0.0, heard))
        yield Measurement("membership: one heartbeat heard, instances", size, heard_us)
        answer_us = _time_us(functools.partial(state_machine.step, state, START_S, 0.0, request))
        yield Measurement("membership: one heartbeat answered, instances", size, answer_us)
        yield Measurement("membership: one tick with sweep, instances", size, _tick_us(state))
        size_bytes = _allocated_bytes(functools.partial(_core_state, size))
        yield Measurement("membership: state, instances", size, 0.0, size_bytes)
    for size in TICK_WORKSPACE_COUNTS:
        tick_us = _tick_us(_core_state(INSTANCE_COUNTS[-1], size))
        yield Measurement("membership: one tick with sweep, workspaces", size, tick_us)


def _tick_us(state: core_state.CoreState) -> float:
    return _time_us(
        functools.partial(state_machine.step, state, START_S + 1.0, 0.0, core_events.Ticked()), 10
    )


def _measure_scheduler() -> Iterator[Measurement]:
    request = messages.AcquireSlot("new", "pool", "fd0", "w1", 500, (), 0.0, (), "i1")
    for size in LEASE_COUNTS:
        state = _scheduler_with(size)
        acquire_us = _time_us(functools.partial(pool_scheduler.acquire, state, 2.0, request, 1.0))
        yield Measurement("scheduler: one acquire, leases in use", size, acquire_us)
        release_us = _time_us(functools.partial(pool_scheduler.release, state, 2.0, "l1", ""))
        yield Measurement("scheduler: one release, leases in use", size, release_us)
        size_bytes = _allocated_bytes(functools.partial(_scheduler_with, size))
        yield Measurement("scheduler: state, leases in use", size, 0.0, size_bytes)


def _scheduler_with(leases: int) -> pool_scheduler.Scheduler:
    upstreams = [
        cluster_view.Upstream(
            f"{role.value}{n}", "fd0", "", 0, role, "pool", 20, 2e5, cluster_view.Presence.LIVE
        )
        for n in range(leases // 20 + 1)
        for role in (cluster_view.Role.PREFILL, cluster_view.Role.DECODE)
    ]
    state = pool_scheduler.create(
        pool_scheduler.PoolSettings("pool", "fd0", 2e4, 64), 0.0, upstreams
    )
    state, _ = pool_scheduler.tick(state, 1.0, True, frozenset())
    for number in range(leases):
        request = messages.AcquireSlot(
            f"l{number}", "pool", "fd0", "w1", 500, (), 0.0, (), f"i{number % 8}"
        )
        state, _ = pool_scheduler.acquire(state, 1.0, request, 1.0)
        state, _ = pool_scheduler.finish_prefill(state, 1.0, f"l{number}")
    return state


def _measure_frames() -> Iterator[Measurement]:
    samples: Sequence[tuple[str, int, messages.Message]] = (
        *(("frame: heartbeat, leases carried", n, _heartbeat(1, n)) for n in (0, 10, 100)),
        ("frame: reserve tokens", 1, messages.ReserveTokens("0" * 32, "w1", 1.0, 1.0, True)),
        ("frame: tokens granted", 1, messages.TokensGranted(0.0, "0" * 16)),
        (
            "frame: acquire slot, prefixes",
            8,
            messages.AcquireSlot("0" * 40, "pool", "fd0", "w1", 1, ("0" * 16,) * 8, 0.0, (), "i1"),
        ),
    )
    for name, size, message in samples:
        encode_us = _time_us(functools.partial(_encode, message))
        yield Measurement(name, size, encode_us, len(_encode(message)))


def _encode(message: messages.Message) -> bytes:
    encoded: bytes = thrift_utils.serialize(wire.to_thrift(wire.Frame(1, message)))
    return encoded


def _measure_chunks() -> Iterator[Measurement]:
    raw = (
        b'{"id": "0123456789abcdef0123456789abcdef-0", '
        b'"choices": [{"index": 0, "finish_reason": null, "text": "word "}]}'
    )
    for size in (100, 1_000, 10_000):
        check_us = _time_us(functools.partial(stream_checks.parse_chunk, raw), size)
        yield Measurement("relay: one chunk checked, chunks", size, check_us, len(raw))


if __name__ == "__main__":
    main()
