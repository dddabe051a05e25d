"""Upstreams become suspect or full by the outcomes of their calls."""

from __future__ import annotations

import pytest

from carawaydoor.policy import health

OUTCOME = health.Outcome


def health_after(*outcomes, now_s=0.0):
    state = {}
    for outcome in outcomes:
        state = health.record_outcome(state, now_s, "u", outcome)
    return state


@pytest.mark.parametrize(
    "outcomes, suspected",
    [
        ([OUTCOME.ANSWERED] * 5, False),
        ([OUTCOME.UNREACHABLE], True),
        ([OUTCOME.SILENT], True),
        ([OUTCOME.BROKEN], False),
        ([OUTCOME.BROKEN, OUTCOME.BROKEN], True),
        ([OUTCOME.FAILED], False),
        ([OUTCOME.FAILED] * 4, True),
        ([OUTCOME.UNREACHABLE, OUTCOME.ANSWERED], False),
        ([OUTCOME.OTHER_INCARNATION], True),
    ],
)
def test_outcomes_that_make_an_upstream_suspect(outcomes, suspected):
    assert health.is_suspect(health_after(*outcomes), 0.5, "u") is suspected


def test_suspect_is_tried_again_after_a_backoff_that_doubles():
    state = health_after(OUTCOME.UNREACHABLE)
    assert not health.is_suspect(state, 1.1, "u")
    state = health.record_outcome(state, 1.1, "u", OUTCOME.UNREACHABLE)
    assert health.is_suspect(state, 3.0, "u")
    assert not health.is_suspect(state, 3.2, "u")


def test_backoff_is_bounded():
    state, now_s = {}, 0.0
    for _ in range(10):
        state = health.record_outcome(state, now_s, "u", OUTCOME.UNREACHABLE)
        now_s = state["u"].suspect_until_s + 0.1
    assert state["u"].backoff_s == health.MAX_BACKOFF_S


def test_upstream_whose_address_has_another_server_stays_suspect():
    assert health.is_suspect(health_after(OUTCOME.OTHER_INCARNATION), 1e9, "u")


def test_engine_that_rejected_counts_as_full_for_a_short_time():
    state = health_after(OUTCOME.FULL)
    assert health.is_full(state, 0.1, "u")
    assert not health.is_full(state, health.ASSUMED_FULL_S + 0.1, "u")


def test_removed_upstream_is_not_suspect():
    assert not health.is_suspect(health.remove(health_after(OUTCOME.SILENT), "u"), 0.0, "u")
