"""Chooses among upstreams of different speed while some choices of peers are not known.

If all instances chose the upstream that is expected to be the soonest, they would choose the same
few. Each instance therefore divides the unknown requests as if it placed them all, each where it ends
soonest, and draws one of them as its own.
"""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Iterable

from carawaydoor.policy import entities


@dataclasses.dataclass(frozen=True, slots=True)
class Option:
    """An upstream that may be chosen.

    :ivar cost: expected time until the end of the request there, with what makes it less welcome
    :ivar step: by how much one more request at the upstream raises that
    """

    upstream: entities.Upstream
    cost: float
    step: float


def choose(options: Iterable[Option], unseen: float, seed: int) -> entities.Upstream | None:
    """Return the upstream of the request, None if there is no option.

    :param unseen: number of requests that peers have probably placed without this instance knowing
    :param seed: differs for each choice
    """
    ordered = sorted(options, key=_cost)
    if not ordered:
        return None
    # Filling the cheapest options up to one level places all unknown requests.
    level, rate, places = ordered[0].cost, 0.0, 0.0
    used: list[Option] = []
    for each in ordered:
        if used and each.cost >= level:
            break
        used.append(each)
        rate += 1.0 / each.step
        places += each.cost / each.step
        level = (unseen + places) / rate
    weights = [max(0.0, (level - each.cost) / each.step) for each in used]
    if sum(weights) <= 0.0:
        return used[0].upstream
    return random.Random(seed).choices(used, weights)[0].upstream


def _cost(option: Option) -> tuple[float, str]:
    return option.cost, option.upstream.id
