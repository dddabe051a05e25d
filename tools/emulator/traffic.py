"""Seeded callers: a steady rate of generations, with bursts."""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Iterator
from typing import Final

# Spread of the sizes of prompts and outputs, as the sigma of a log-normal distribution.
SIZE_SIGMA: Final = 0.6
# Smallest and largest size, as multiples of the mean.
SIZE_RANGE: Final = (0.2, 4.0)


@dataclasses.dataclass(frozen=True, slots=True)
class Traffic:
    """What callers send.

    :ivar per_s: requests a second outside bursts
    :ivar burst_s: start and end of each burst in seconds
    :ivar burst_factor: how many times the rate a burst has
    :ivar target_s: time in seconds within which the first event is on time
    :ivar patience_s: time in seconds that a caller waits in all
    :ivar late_share: part of its worth that a late answer has
    :ivar retries: how often a caller that was refused comes back
    """

    per_s: float
    duration_s: float = 30.0
    burst_s: tuple[tuple[float, float], ...] = ((6.0, 11.0), (17.0, 21.0))
    burst_factor: float = 2.0
    prompt_tokens: int = 4900
    output_tokens: int = 870
    target_s: float = 0.92
    patience_s: float = 14.3
    late_share: float = 0.2
    retries: int = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """One generation that a caller asks for.

    :ivar estimate_tokens: output that the caller expects; it differs from what is made
    :ivar worth: what an answer on time is worth, by its size
    """

    number: int
    sent_s: float
    prompt_tokens: int
    output_tokens: int
    estimate_tokens: int
    worth: float


def requests(traffic: Traffic, seed: int) -> Iterator[Request]:
    """Yield the requests of a run in the order of their arrival."""
    draw = random.Random(seed)
    now_s, number = 0.0, 0
    while True:
        in_burst = any(begin <= now_s < end for begin, end in traffic.burst_s)
        rate = traffic.per_s * (traffic.burst_factor if in_burst else 1.0)
        now_s += draw.expovariate(rate)
        if now_s >= traffic.duration_s:
            return
        prompt = _size(draw, traffic.prompt_tokens)
        output = _size(draw, traffic.output_tokens)
        estimate = max(1, int(output * draw.uniform(0.7, 1.3)))
        size = (prompt + 10 * output) / (traffic.prompt_tokens + 10 * traffic.output_tokens)
        number += 1
        yield Request(number, now_s, prompt, output, estimate, 0.3 + 0.7 * size)


def _size(draw: random.Random, mean: int) -> int:
    factor = draw.lognormvariate(-(SIZE_SIGMA**2) / 2, SIZE_SIGMA)
    return int(mean * min(max(factor, SIZE_RANGE[0]), SIZE_RANGE[1]))
