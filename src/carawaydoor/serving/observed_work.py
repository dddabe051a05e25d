"""What an instance keeps of the work of upstreams: own observations and entries of peers."""

from __future__ import annotations

import collections
import dataclasses
import itertools
from typing import Final

from carawaydoor.policy import capacity_fit, entities, learned_capacity, load

# Own batches, and observations in one, that are kept of one kind of work at an upstream.
MAX_OWN_BATCHES: Final = 16
MAX_BATCH_OBSERVATIONS: Final = 8


@dataclasses.dataclass(slots=True)
class Batch:
    """Own observations that are reported together.

    :ivar number: tells the batches of an instance apart
    """

    number: int
    started_s: float
    observations: list[capacity_fit.Observation]


@dataclasses.dataclass(frozen=True, slots=True)
class PrefillCall:
    """A prefill call that has not ended.

    :ivar queued: known work of other requests at the engine when it was sent
    """

    upstream: entities.Upstream
    prompt_tokens: int
    queued: load.Work
    sent_s: float

    def observation(self, now_s: float) -> capacity_fit.Observation:
        """Return what the call would show if it ended now."""
        unit_s = capacity_fit.prefill_unit_s(
            self.prompt_tokens, self.queued.tokens, now_s - self.sent_s
        )
        weight = capacity_fit.prefill_weight(self.prompt_tokens)
        return capacity_fit.Observation(max(1, self.queued.requests + 1), unit_s, weight, now_s)


@dataclasses.dataclass(slots=True)
class Work:
    """What is known of one kind of work at an upstream.

    :ivar entry_by_batch: entries of peers by peer and number, in the order of arrival
    :ivar is_dirty: whether there are observations that ``fit`` doesn't contain
    """

    own: collections.deque[Batch] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=MAX_OWN_BATCHES)
    )
    entry_by_batch: dict[tuple[str, int], capacity_fit.Observation] = dataclasses.field(
        default_factory=dict
    )
    fit: learned_capacity.Fit | None = None
    is_dirty: bool = False
    fitted_s: float = float("-inf")
    logged_unit_s: float = 0.0
    logged_s: float = float("-inf")

    def observations(self) -> list[capacity_fit.Observation]:
        """Return own observations and the entries of peers."""
        own = itertools.chain.from_iterable(each.observations for each in self.own)
        return [*own, *self.entry_by_batch.values()]


@dataclasses.dataclass(slots=True)
class Service:
    work_by_key: dict[tuple[entities.Incarnation, learned_capacity.Kind], Work] = dataclasses.field(
        default_factory=dict
    )
    capacities: learned_capacity.Capacities = learned_capacity.UNKNOWN
    merged_s: float = float("-inf")
