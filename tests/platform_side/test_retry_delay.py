"""Delays that upstreams ask for are read in both legal forms, and absurd ones are rejected."""

from __future__ import annotations

import email.utils

import pytest

from carawaydoor.serving import retry_delay

WALL_S = 1_800_000_000.0


def date(offset_s):
    return email.utils.formatdate(WALL_S + offset_s, usegmt=True)


@pytest.mark.parametrize(
    ("value", "sent", "delay_s"),
    [
        ("3", "", 3.0),
        ("0.25", "", 0.25),
        ("0", "", 0.0),
        ("-7", "", 0.0),
        (date(5.0), "", 5.0),
        (date(5.0), date(2.0), 3.0),
        (date(-5.0), "", 0.0),
        (date(5.0), "not a date", 5.0),
    ],
)
def test_delay(value, sent, delay_s):
    assert retry_delay.parse(value, sent, WALL_S) == pytest.approx(delay_s)


def test_date_is_not_compared_with_a_clock_that_has_jumped():
    assert retry_delay.parse(date(5.0), date(0.0), WALL_S + 900.0) == pytest.approx(5.0)


@pytest.mark.parametrize("value", ["", "soon", "nan", "inf", "1e300", "9" * 400, "3601", date(1e6)])
def test_meaningless_delay_is_an_error(value):
    with pytest.raises(retry_delay.RetryDelayError):
        retry_delay.parse(value, "", WALL_S)
