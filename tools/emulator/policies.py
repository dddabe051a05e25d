"""Policies to compare: the router's own, variants of it without one feature, and baselines.

Most variants are the behaviour of the router before the feature was added.
"""

from __future__ import annotations

import abc
import dataclasses
from collections.abc import Callable
from typing import ClassVar

from carawaydoor.policy import capacity_wait, entities, placement


class Policy(abc.ABC):
    """Chooses the engines of a generation and how long it waits for capacity.

    :cvar name: value of ``--policy`` and name in the report
    :cvar retries_rejected_prompts: whether a generation rejected by a decode engine is offered to
        another one
    :cvar keeps_backups: whether the KV cache of a generation is copied to a second engine
    :cvar announces_work: whether instances report new work to each other at once
    """

    name: ClassVar[str]
    retries_rejected_prompts: ClassVar[bool] = True
    keeps_backups: ClassVar[bool] = True
    announces_work: ClassVar[bool] = True

    def with_estimated_sizes(self, prompt: entities.Prompt) -> entities.Prompt:
        """Return the prompt with the sizes that placement reserves for it."""
        return prompt

    def wait_terms(
        self, arrival: capacity_wait.Arrival, prefill_s: float
    ) -> capacity_wait.WaitTerms:
        """Return how long a request waits and which capacity it may take."""
        return capacity_wait.wait_terms(arrival, prefill_s)

    @abc.abstractmethod
    def choose(
        self,
        context: placement.PlacementContext,
        service: entities.Service,
        prompt: entities.Prompt,
        reserve_share: float,
    ) -> placement.GenerationPlacement | None:
        """Return the engines of a generation, or None if it has to wait for capacity."""


class RouterPolicy(Policy):
    """The policy of the router."""

    name = "product"

    def choose(
        self,
        context: placement.PlacementContext,
        service: entities.Service,
        prompt: entities.Prompt,
        reserve_share: float,
    ) -> placement.GenerationPlacement | None:
        """Choose engines as the router does."""
        return placement.choose_generation(context, service, prompt, (), reserve_share)


class FullOutputReservation(RouterPolicy):
    """Reserves KV cache for the whole expected output instead of its mean share."""

    name = "whole output counted"

    def with_estimated_sizes(self, prompt: entities.Prompt) -> entities.Prompt:
        """Return the prompt with output sizes that undo the mean output share."""
        share = 1.0 / entities.MEAN_OUTPUT_SHARE
        return dataclasses.replace(
            prompt,
            max_output_tokens=int(prompt.max_output_tokens * share),
            expected_output_tokens=int(prompt.expected_output_tokens * share),
        )


class NoRejectionRetry(RouterPolicy):
    """Refuses a generation that a decode engine rejects, so that its prefill is wasted."""

    name = "rejected prompts not moved"
    retries_rejected_prompts = False


class NoLateRequestPenalty(RouterPolicy):
    """Treats retries of a late request like first attempts."""

    name = "late requests not set back"

    def wait_terms(
        self, arrival: capacity_wait.Arrival, prefill_s: float
    ) -> capacity_wait.WaitTerms:
        """Return the terms of a first attempt received now."""
        first = dataclasses.replace(arrival, first_sent_s=arrival.received_s)
        return capacity_wait.wait_terms(first, prefill_s)


class NoBackups(RouterPolicy):
    """Keeps no backup of a generation."""

    name = "no copies of runs"
    keeps_backups = False


class PeriodicReportsOnly(RouterPolicy):
    """Reports new work to peers in the periodic reports only."""

    name = "work told in rounds"
    announces_work = False


class LeastRequests(Policy):
    """Chooses the engines with the fewest known requests, regardless of KV cache."""

    name = "least busy"
    retries_rejected_prompts = False
    keeps_backups = False

    def choose(
        self,
        context: placement.PlacementContext,
        service: entities.Service,
        prompt: entities.Prompt,
        reserve_share: float,
    ) -> placement.GenerationPlacement | None:
        """Choose the engines with the fewest requests."""

        def requests_then_id(each: entities.Upstream) -> tuple[int, str]:
            return context.upstream_load.at(each.id).requests, each.id

        return _choose_engines(context, lambda engines: min(engines, key=requests_then_id))


class RandomChoice(Policy):
    """Chooses engines at random."""

    name = "random"
    retries_rejected_prompts = False
    keeps_backups = False

    def choose(
        self,
        context: placement.PlacementContext,
        service: entities.Service,
        prompt: entities.Prompt,
        reserve_share: float,
    ) -> placement.GenerationPlacement | None:
        """Choose engines by the seed of the placement context."""
        return _choose_engines(context, lambda engines: engines[context.seed % len(engines)])


ALL_POLICIES: tuple[type[Policy], ...] = (
    RouterPolicy,
    FullOutputReservation,
    NoRejectionRetry,
    NoLateRequestPenalty,
    NoBackups,
    PeriodicReportsOnly,
    LeastRequests,
    RandomChoice,
)


def _choose_engines(
    context: placement.PlacementContext,
    choose: Callable[[list[entities.Upstream]], entities.Upstream],
) -> placement.GenerationPlacement | None:
    decode = [each for each in context.upstreams if each.stage is entities.Stage.DECODE]
    prefill = [each for each in context.upstreams if each.stage is entities.Stage.PREFILL]
    if not decode or not prefill:
        return None
    return placement.GenerationPlacement(choose(decode), choose(prefill), 0.0)
