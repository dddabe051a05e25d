"""Measures how the processor time of ``carawaydoor.platformd`` grows with size.

The results, from one processor, are for docs/CAPACITY.md.
"""

from __future__ import annotations

import dataclasses
import functools
import time
from collections.abc import Callable
from typing import Final

from carawaydoor.fleet import codec, gossip, reports
from carawaydoor.policy import (
    entities,
    load,
    placement,
    sliding_window,
    stream_versions,
    usage_caps,
)

INSTANCE_COUNTS: Final = (8, 85, 710)
UPSTREAM_COUNTS: Final = (10, 74, 1000, 12_000)
REPEATS: Final = 50
ENGINE_SPEC: Final = entities.EngineSpec(128, 60_000, 18_432, 6.9e10, True, 0.5)
SERVICE: Final = entities.Service("s", 600, ENGINE_SPEC)


def build_report(number: int, upstreams: int) -> reports.Report:
    """Return a report of an instance with work at ``upstreams`` upstreams."""
    contact = reports.Contact(f"instance-{number:04}", f"10.0.{number // 250}.{number % 250}")
    return reports.Report(
        contact=contact,
        domain="a",
        incarnation=number,
        sequence=1,
        sent_s=1.0,
        is_leaving=False,
        revision=7,
        proof_age_s=0.1,
        work_by_upstream={f"u{n}": load.Work(1, 5000) for n in range(upstreams)},
        used_by_workspace={f"w{n}": 1e6 for n in range(20)},
        echo_by_instance={f"instance-{n:04}": 1.0 for n in range(gossip.FAN_OUT_PEERS)},
        contacts=(contact,) * gossip.MAX_CONTACTS_PER_REPORT,
        strikes=(),
        set_aside_s_by_upstream={},
        source_steady_s=1.0,
        requests_by_service={"s1": 1e5, "s2": 1e5},
        repeats_by_service={"s1": 1e3, "s2": 1e3},
    )


def print_time(name: str, size: int, action: Callable[[], object], size_bytes: int = 0) -> None:
    """Print the mean processor time of one call."""
    started_s = time.process_time()
    for _ in range(REPEATS):
        action()
    took_us = (time.process_time() - started_s) / REPEATS * 1e6
    print(f"{name:<44}{size:>8}{took_us:>12.1f}{size_bytes:>12}", flush=True)


def main() -> None:
    """Print all measurements."""
    print(f"{'what':<44}{'size':>8}{'us each':>12}{'bytes':>12}")
    for upstream_count in (3, 20, 100):
        sample_report = build_report(1, upstream_count)
        content = codec.encode(sample_report)
        print_time(
            "encode a report, by upstreams in it",
            upstream_count,
            functools.partial(codec.encode, sample_report),
        )
        print_time(
            "decode a report",
            upstream_count,
            functools.partial(codec.decode, content),
            len(content),
        )
    for count in INSTANCE_COUNTS:
        membership = gossip.Membership("m", {})
        for number in range(count):
            membership, _ = gossip.apply_report(membership, 1.0, build_report(number, 20))
        # A report that is not newer than the last one would be dropped at once.
        newer = iter(
            dataclasses.replace(build_report(1, 20), sequence=number)
            for number in range(2, REPEATS + 2)
        )
        print_time(
            "hear a new report, by instances",
            count,
            lambda membership=membership, newer=newer: gossip.apply_report(  # type: ignore[misc]
                membership, 1.0, next(newer)
            ),
        )
        print_time(
            "sum the peers' work", count, functools.partial(gossip.peer_work, membership, 1.0)
        )
    shared = reports.SharedOrigin("0123456789abcdef", "service", "v1.2", 0.0)
    begun = reports.OriginReport("instance-0001", (shared,))
    begun_content = codec.encode(begun)
    print_time("encode where a stream began", 1, functools.partial(codec.encode, begun))
    print_time(
        "decode where a stream began",
        1,
        functools.partial(codec.decode, begun_content),
        len(begun_content),
    )
    for count in INSTANCE_COUNTS:
        domain_by_instance = {f"instance-{n:04}": f"d{n % 6}" for n in range(count)}
        keys = iter(f"stream-{n}" for n in range(REPEATS))
        print_time(
            "choose the holders of a stream, by instances",
            count,
            lambda each=domain_by_instance, keys=keys: stream_versions.holders(  # type: ignore[misc]
                next(keys), each
            ),
        )
    for count in UPSTREAM_COUNTS:
        upstreams = tuple(
            entities.Upstream(
                f"u{n}",
                "s",
                "10.0.0.1",
                n + 1,
                "a",
                16,
                entities.Stage.PREFILL if n % 3 == 0 else entities.Stage.DECODE,
                False,
                1,
            )
            for n in range(count)
        )
        context = placement.PlacementContext(1.0, "a", upstreams, load.EMPTY, {})
        prompt = entities.Prompt(5000, 2000, 800)
        print_time(
            "place a generation, by upstreams",
            count,
            functools.partial(placement.choose_generation, context, SERVICE, prompt),
        )
    workspace = entities.Workspace("w1", None, 1e9, 1e9, True, 1.0)
    for count in (20, 1000, 30_000):
        counts = sliding_window.WindowCounts(8.0, {f"w{n}": {0: 1.0} for n in range(count)})
        caps = usage_caps.UsageCaps(usage_caps.CapRules(8.0, 0.25), 0.0, counts)
        print_time(
            "admit a request, by workspaces",
            count,
            functools.partial(usage_caps.admit, caps, 1.0, workspace, 1.0),
        )


if __name__ == "__main__":
    main()
