"""Has upstreams cut, repeat and delay single responses, apart from the faults of a seed."""

from __future__ import annotations

import time
from typing import Final

from tests.platform_side import fake_upstream, stutter
from tools.soak import fault_history, soak_environment

# Of all responses of an upstream.
SHARE: Final = 0.06


def begin(environment: soak_environment.SoakEnvironment, seed: int) -> None:
    """Have all upstreams stutter until the end of the run."""
    for name, upstream in environment.upstream_by_name.items():
        upstream.stutter = stutter.StutterSource(f"{name} of {seed}", SHARE)
        upstream.names_requests = True
        upstream.pause_s = fake_upstream.SILENCE_S
    environment.fault_history.record_disturbance(
        fault_history.ALL_TARGETS, time.monotonic(), float("inf")
    )
