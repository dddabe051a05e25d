"""Engines are asked for memory when they may be full, and for as much as a generation needs."""

from __future__ import annotations

import dataclasses

import pytest

from carawaydoor.policy import entities, load, memory_hold
from tests.policy import builders

ENGINE_SPEC = dataclasses.replace(builders.ENGINE_SPEC, max_hold_s=2.0)
PROMPT = entities.Prompt(5000, 800, 800)


@pytest.mark.parametrize(
    ("work", "is_worthwhile"),
    [
        (load.Work(3, 20_000), False),
        (load.Work(6, 35_000), True),
        (load.Work(70, 20_000), True),
    ],
)
def test_memory_is_asked_for_once_half_of_an_engine_is_used(work, is_worthwhile):
    assert memory_hold.is_worthwhile(ENGINE_SPEC, PROMPT, work, 60.0) is is_worthwhile
    assert not memory_hold.is_worthwhile(builders.ENGINE_SPEC, PROMPT, work, 60.0)
    assert not memory_hold.is_worthwhile(ENGINE_SPEC, PROMPT, work, 6.0)


@pytest.mark.parametrize(("prefill_wait_s", "ttl_s"), [(0.1, 0.6), (5.0, 2.0)])
def test_hold_ends_soon_after_the_expected_prefill(prefill_wait_s, ttl_s):
    assert memory_hold.ttl_s(ENGINE_SPEC, prefill_wait_s) == pytest.approx(ttl_s)


def test_large_generation_waits_in_the_queue_of_an_engine():
    """Failure: 0.33 of the largest tenth of a kind of request were served, and 0.69 of all."""
    large = entities.Prompt(13_000, 800, 800)
    assert not memory_hold.is_worthwhile(ENGINE_SPEC, large, load.Work(6, 35_000), 60.0)
