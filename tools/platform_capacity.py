"""Measures the slopes of the platform's path behind docs/CAPACITY.md, on one processor."""

from __future__ import annotations

import functools
import time
from collections.abc import Callable
from typing import Final

from carawaydoor.fleet import codec, gossip
from carawaydoor.policy import entities, load, placement, sliding_window, usage_caps

INSTANCES: Final = (8, 85, 710)
UPSTREAMS: Final = (10, 74, 1000, 12_000)
REPEATS: Final = 50
ENGINE: Final = entities.EngineSpec(128, 60_000, 18_432, 6.9e10, True, 0.5)
SERVICE: Final = entities.Service("s", 600, ENGINE)


def report(number: int, upstreams: int) -> gossip.Report:
    """Return a report of an instance with work at some upstreams."""
    contact = gossip.Contact(f"instance-{number:04}", f"10.0.{number // 250}.{number % 250}")
    return gossip.Report(
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


def timed(name: str, size: int, call: Callable[[], object], octets: int = 0) -> None:
    """Print the processor time of one call."""
    began_s = time.process_time()
    for _ in range(REPEATS):
        call()
    took_us = (time.process_time() - began_s) / REPEATS * 1e6
    print(f"{name:<44}{size:>8}{took_us:>12.1f}{octets:>12}", flush=True)


def main() -> None:
    """Measure every slope and print it."""
    print(f"{'what':<44}{'size':>8}{'us each':>12}{'bytes':>12}")
    for busy in (3, 20, 100):
        value = report(1, busy)
        content = codec.encode(value)
        timed("encode a report, by upstreams in it", busy, functools.partial(codec.encode, value))
        timed("decode a report", busy, functools.partial(codec.decode, content), len(content))
    for count in INSTANCES:
        state = gossip.Membership("m", {})
        for number in range(count):
            state, _ = gossip.apply_report(state, 1.0, report(number, 20))
        newer = report(1, 20)
        timed(
            "hear a report, by instances",
            count,
            functools.partial(gossip.apply_report, state, 1.0, newer),
        )
        timed("sum the peers' work", count, functools.partial(gossip.peer_work, state, 1.0))
    for count in UPSTREAMS:
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
        view = placement.PlacementContext(1.0, "a", upstreams, load.EMPTY, {})
        prompt = entities.Prompt(5000, 2000, 800)
        timed(
            "place a generation, by upstreams",
            count,
            functools.partial(placement.choose_generation, view, SERVICE, prompt),
        )
    workspace = entities.Workspace("w1", None, 1e9, 1e9, True, 1.0)
    for count in (20, 1000, 30_000):
        counts = sliding_window.WindowCounts(8.0, {f"w{n}": {0: 1.0} for n in range(count)})
        state_ = usage_caps.UsageCaps(usage_caps.CapRules(8.0, 0.25), 0.0, counts)
        timed(
            "admit a request, by workspaces",
            count,
            functools.partial(usage_caps.admit, state_, 1.0, workspace, 1.0),
        )


if __name__ == "__main__":
    main()
