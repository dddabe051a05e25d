"""Checks that no workspace gets more than its usage cap over all instances."""

from __future__ import annotations

import collections
from collections.abc import Iterator
from typing import Final

from carawaydoor.platform import names
from tests.platform_side import fake_upstream
from tools.soak import soak_environment

# Of the default settings.
WINDOW_S: Final = 8.0
OVERSHOOT: Final = 0.25
# Requests that instances admit before they know of each other's, and the burst of a restart.
SLACK_REQUESTS: Final = 60


def find_exceeded(environment: soak_environment.SoakEnvironment) -> Iterator[str]:
    """Yield workspaces of which more requests ran in some window than their cap allows."""
    rate, burst = soak_environment.CAPPED_RATE_PER_S, soak_environment.CAPPED_BURST
    allowed = (rate * WINDOW_S + burst) * (1.0 + OVERSHOOT) + SLACK_REQUESTS
    arrivals_s = sorted(
        request.at_s
        for upstream in environment.upstream_by_name.values()
        for request in upstream.received
        if request.header(names.Header.WORKSPACE) == environment.capped_workspace
        and not request.header(names.Header.STAGE)
        and request.behaviour is not fake_upstream.Behaviour.REJECT
    )
    window: collections.deque[float] = collections.deque()
    most = 0
    for at_s in arrivals_s:
        window.append(at_s)
        while window[0] < at_s - WINDOW_S:
            window.popleft()
        most = max(most, len(window))
    if environment.capped_workspace and most > allowed:
        yield f"{environment.capped_workspace} got {most} requests, {allowed:.0f} allowed"
