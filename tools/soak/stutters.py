"""Has upstreams fail single responses, apart from the faults of a seed."""

from __future__ import annotations

import random
import threading
import time
from typing import Final

from carawaydoor.platform import names
from tests.platform_side import fake_upstream, stutter
from tools.soak import fault_history, soak_environment

# Of all responses of an upstream.
SHARE: Final = 0.06
BREAK_SHARE: Final = 0.3
WRONG_CONTINUATION_SHARE: Final = 0.5
_BREAKS: Final = (
    fake_upstream.Behaviour.BREAK_STREAM,
    fake_upstream.Behaviour.BREAK_BETWEEN_EVENTS,
    fake_upstream.Behaviour.CLOSE_INSIDE_EVENT,
    fake_upstream.Behaviour.BREAK_FAILURE,
)
# Sorted, so that a seed draws the same ones in each process.
WRONG_CONTINUATIONS: Final = sorted(fake_upstream.WRONG_CONTINUATIONS, key=lambda each: each.value)


class StreamFaultSource:
    """Draws from a seed which streams an engine breaks off or continues wrongly."""

    def __init__(self, seed: str) -> None:
        self._random = random.Random(seed)
        self._lock = threading.Lock()

    def draw(self, received: fake_upstream.ReceivedRequest) -> fake_upstream.Behaviour:
        """Return how a request is handled."""
        if received.header(names.Header.STAGE) or not received.header(names.Header.TOKENS):
            return fake_upstream.Behaviour.ANSWER
        with self._lock:
            break_at = self._random.randint(2, soak_environment.EVENTS_PER_STREAM)
            is_broken = self._random.random() < BREAK_SHARE
            is_wrong = self._random.random() < WRONG_CONTINUATION_SHARE
            broken, wrong = self._random.choice(_BREAKS), self._random.choice(WRONG_CONTINUATIONS)
        if is_wrong and received.is_continuation:
            return wrong
        received.failing_event = break_at
        return broken if is_broken else fake_upstream.Behaviour.ANSWER


def begin(environment: soak_environment.SoakEnvironment, seed: int) -> None:
    """Have all upstreams cut, repeat and delay responses until the end of the run."""
    for name, upstream in environment.upstream_by_name.items():
        upstream.stutter = stutter.StutterSource(f"{name} of {seed}", SHARE)
        upstream.names_requests = True
        upstream.pause_s = fake_upstream.SILENCE_S
    _record_disturbance(environment)


def begin_stream_faults(environment: soak_environment.SoakEnvironment, seed: int) -> None:
    """Have all engines break streams off and continue them wrongly until the end of the run."""
    for name, upstream in environment.upstream_by_name.items():
        upstream.choose_behaviour = StreamFaultSource(f"streams of {name} of {seed}").draw
    _record_disturbance(environment)


def _record_disturbance(environment: soak_environment.SoakEnvironment) -> None:
    environment.fault_history.record_disturbance(
        fault_history.ALL_TARGETS, time.monotonic(), float("inf")
    )
