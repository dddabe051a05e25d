"""Policies to compare: the product's decisions, earlier versions of them, and simple ones."""

from __future__ import annotations

import abc
import dataclasses
from collections.abc import Callable
from typing import ClassVar

from carawaydoor.policy import capacity_wait, entities, placement


class Policy(abc.ABC):
    """Decides where a generation goes and how long it waits.

    :cvar moves_prompts: whether a prompt that an engine rejects goes to another engine
    :cvar keeps_copies: whether runs are copied to a second engine
    :cvar tells_work: whether instances tell each other of new work at once
    """

    name: ClassVar[str]
    moves_prompts: ClassVar[bool] = True
    keeps_copies: ClassVar[bool] = True
    tells_work: ClassVar[bool] = True

    def counted(self, prompt: entities.Prompt) -> entities.Prompt:
        """Return the prompt with the sizes that it is counted with."""
        return prompt

    def terms(self, arrival: capacity_wait.Arrival, read_s: float) -> capacity_wait.WaitTerms:
        """Return how long a request waits for room."""
        return capacity_wait.wait_terms(arrival, read_s)

    @abc.abstractmethod
    def choose(
        self,
        view: placement.PlacementContext,
        service: entities.Service,
        prompt: entities.Prompt,
        reserve_share: float,
    ) -> placement.GenerationPlacement | None:
        """Return the engines of a generation, None where it has to wait."""


class Product(Policy):
    """The decisions of the product as they are."""

    name = "product"

    def choose(
        self,
        view: placement.PlacementContext,
        service: entities.Service,
        prompt: entities.Prompt,
        reserve_share: float,
    ) -> placement.GenerationPlacement | None:
        """Choose as the product does."""
        return placement.choose_generation(view, service, prompt, (), reserve_share)


class WholeOutput(Product):
    """The version that counted the whole expected output against an engine's memory."""

    name = "whole output counted"

    def counted(self, prompt: entities.Prompt) -> entities.Prompt:
        """Return the prompt with an output that counts whole."""
        share = 1.0 / entities.MEAN_OUTPUT_SHARE
        return dataclasses.replace(
            prompt,
            max_output_tokens=int(prompt.max_output_tokens * share),
            expected_output_tokens=int(prompt.expected_output_tokens * share),
        )


class NoMove(Product):
    """The version in which a rejected prompt was read in vain."""

    name = "rejected prompts not moved"
    moves_prompts = False


class NoLateWait(Product):
    """The version that treated late requests like those on time."""

    name = "late requests not set back"

    def terms(self, arrival: capacity_wait.Arrival, read_s: float) -> capacity_wait.WaitTerms:
        """Return the terms of a request as if this were its first attempt."""
        first = dataclasses.replace(arrival, first_sent_s=arrival.received_s)
        return capacity_wait.wait_terms(first, read_s)


class NoCopies(Product):
    """The product without copies of runs."""

    name = "no copies of runs"
    keeps_copies = False


class RoundsOnly(Product):
    """The version in which instances told each other of work in rounds only."""

    name = "work told in rounds"
    tells_work = False


class LeastBusy(Policy):
    """Fewest requests as far as known, without regard to memory."""

    name = "least busy"
    moves_prompts = False
    keeps_copies = False

    def choose(
        self,
        view: placement.PlacementContext,
        service: entities.Service,
        prompt: entities.Prompt,
        reserve_share: float,
    ) -> placement.GenerationPlacement | None:
        """Choose the engines with the fewest requests."""

        def busy(each: entities.Upstream) -> tuple[int, str]:
            return view.upstream_load.at(each.id).requests, each.id

        return _pair(view, lambda engines: min(engines, key=busy))


class AtRandom(Policy):
    """Any engine."""

    name = "random"
    moves_prompts = False
    keeps_copies = False

    def choose(
        self,
        view: placement.PlacementContext,
        service: entities.Service,
        prompt: entities.Prompt,
        reserve_share: float,
    ) -> placement.GenerationPlacement | None:
        """Choose engines by the seed of the view."""
        return _pair(view, lambda engines: engines[view.seed % len(engines)])


ALL: tuple[type[Policy], ...] = (
    Product,
    WholeOutput,
    NoMove,
    NoLateWait,
    NoCopies,
    RoundsOnly,
    LeastBusy,
    AtRandom,
)


def _pair(
    view: placement.PlacementContext, choose: Callable[[list[entities.Upstream]], entities.Upstream]
) -> placement.GenerationPlacement | None:
    decode = [each for each in view.upstreams if each.stage is entities.Stage.DECODE]
    prefill = [each for each in view.upstreams if each.stage is entities.Stage.PREFILL]
    if not decode or not prefill:
        return None
    return placement.GenerationPlacement(choose(decode), choose(prefill), 0.0)
