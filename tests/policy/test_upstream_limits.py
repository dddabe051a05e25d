"""Limits that upstreams name are read, and hold for as long as the newest response says so."""

from __future__ import annotations

import pytest

from carawaydoor.policy import upstream_limits

UPSTREAM = ("u", 1)


def statement(limit_per_s, asked_s, born_ms=1):
    return upstream_limits.Statement("u", born_ms, limit_per_s, asked_s)


def recorded(*statements):
    state = upstream_limits.create("i-0")
    for each in statements:
        state = upstream_limits.record(state, each.asked_s, each)
    return state


@pytest.mark.parametrize("text", ["", "soon", "-1", "nan", "inf", "-inf", "1e300", "9" * 400])
def test_unusable_limit_is_reported(text):
    with pytest.raises(upstream_limits.LimitError):
        upstream_limits.parse(text)


@pytest.mark.parametrize(("text", "limit_per_s"), [("2.3", 2.3), ("0", 0.0), ("-0", 0.0), ("4", 4)])
def test_limit_is_a_decimal_number(text, limit_per_s):
    assert upstream_limits.parse(text) == limit_per_s


def test_newest_statement_counts():
    state = recorded(statement(2.0, 10.0), statement(3.0, 11.0), statement(None, 12.0))
    assert state.limit_per_s(UPSTREAM) is None
    assert recorded(statement(2.0, 10.0), statement(0.5, 11.0)).limit_per_s(UPSTREAM) == 0.5


def test_late_response_to_an_earlier_request_does_not_bring_an_older_limit_back():
    state = recorded(statement(2.0, 10.0), statement(None, 12.0), statement(2.0, 11.0))
    assert state.limit_per_s(UPSTREAM) is None


def test_new_incarnation_does_not_inherit_a_limit():
    assert recorded(statement(2.0, 10.0)).limit_per_s(("u", 2)) is None


def test_upstream_that_has_ended_is_forgotten():
    state = upstream_limits.remove(recorded(statement(2.0, 10.0)), UPSTREAM)
    assert state.statement_by_incarnation == {}
