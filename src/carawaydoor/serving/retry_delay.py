"""Reads the delay that a Retry-After header asks for."""

from __future__ import annotations

import email.utils
import math
from typing import Final

# A server that wants no requests for longer is replaced or has stated the delay by mistake.
MAX_DELAY_S: Final = 3600.0


class RetryDelayError(Exception):
    """The header states no usable delay."""


def parse(value: str, response_date: str, wall_s: float) -> float:
    """Return the delay in seconds, zero if none is asked for.

    A delay until a date is counted from the date of the response if it has one, since this machine's
    time of day may jump.

    :param value: a number of seconds or an HTTP date
    :param response_date: the Date header of the response, empty if it has none
    :param wall_s: this machine's time of day, in seconds since the Unix epoch
    :raises RetryDelayError: if the value is neither, or absurd
    """
    try:
        delay_s = float(value)
    except ValueError:
        until_s = _date_s(value)
        if until_s is None:
            raise RetryDelayError("neither seconds nor a date") from None
        sent_s = _date_s(response_date)
        delay_s = until_s - (wall_s if sent_s is None else sent_s)
    if not math.isfinite(delay_s) or delay_s > MAX_DELAY_S:
        raise RetryDelayError(f"not a delay of at most {MAX_DELAY_S:.0f} s")
    return max(0.0, delay_s)


def _date_s(text: str) -> float | None:
    try:
        return email.utils.parsedate_to_datetime(text).timestamp()
    except (ValueError, OverflowError):
        # Reported by the caller, which knows what the text is.
        return None
