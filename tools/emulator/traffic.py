"""Random traffic from a seed: generation requests at a steady rate with bursts."""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Iterator
from typing import Final

# Prompt and output sizes are log-normal with this sigma.
SIZE_SIGMA: Final = 0.6
# Sizes are clamped to these multiples of the mean.
SIZE_RANGE_FACTORS: Final = (0.2, 4.0)


@dataclasses.dataclass(frozen=True, slots=True)
class Traffic:
    """Parameters of the requests that callers send.

    :ivar requests_per_s: mean rate outside bursts
    :ivar burst_spans_s: start and end of each burst
    :ivar burst_factor: rate in a burst relative to the rate outside
    :ivar prompt_tokens: mean prompt length
    :ivar output_tokens: mean output length
    :ivar first_event_target_s: an answer is on time if its first event arrives within this time
    :ivar caller_timeout_s: time from the first attempt until the caller gives up
    :ivar late_worth_share: fraction of the worth that a late answer earns
    :ivar max_retries: retries of a refused request
    """

    requests_per_s: float
    duration_s: float = 30.0
    burst_spans_s: tuple[tuple[float, float], ...] = ((6.0, 11.0), (17.0, 21.0))
    burst_factor: float = 2.0
    prompt_tokens: int = 4900
    output_tokens: int = 870
    first_event_target_s: float = 0.92
    caller_timeout_s: float = 14.3
    late_worth_share: float = 0.2
    max_retries: int = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """One generation request.

    :ivar output_tokens: actual length of the output
    :ivar estimated_output_tokens: length that placement is told, within 30 % of the actual one
    :ivar worth: value of an answer on time, which grows with prompt and output length
    """

    number: int
    sent_s: float
    prompt_tokens: int
    output_tokens: int
    estimated_output_tokens: int
    worth: float


def generate_requests(traffic: Traffic, seed: int) -> Iterator[Request]:
    """Yield the first attempts of all requests in the order of their arrival."""
    rng = random.Random(seed)
    now_s, number = 0.0, 0
    while True:
        in_burst = any(begin <= now_s < end for begin, end in traffic.burst_spans_s)
        rate = traffic.requests_per_s * (traffic.burst_factor if in_burst else 1.0)
        now_s += rng.expovariate(rate)
        if now_s >= traffic.duration_s:
            return
        prompt = _size(rng, traffic.prompt_tokens)
        output = _size(rng, traffic.output_tokens)
        estimate = max(1, int(output * rng.uniform(0.7, 1.3)))
        size = (prompt + 10 * output) / (traffic.prompt_tokens + 10 * traffic.output_tokens)
        number += 1
        yield Request(number, now_s, prompt, output, estimate, 0.3 + 0.7 * size)


def _size(rng: random.Random, mean: int) -> int:
    # The mean of this distribution is 1 before sizes are clamped.
    factor = rng.lognormvariate(-(SIZE_SIGMA**2) / 2, SIZE_SIGMA)
    return int(mean * min(max(factor, SIZE_RANGE_FACTORS[0]), SIZE_RANGE_FACTORS[1]))
