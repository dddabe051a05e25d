"""What an instance that was told to stop still begins, so that its exit cuts nothing off."""

from __future__ import annotations

from typing import Final

# Counted from the stop signal: the load balancer needs about two seconds to stop sending requests,
# and long streams need most of the grace period.
STREAM_ACCEPT_PERIOD_S: Final = 2.8
# Part of the grace period that the process needs to exit.
EXIT_RESERVE_S: Final = 1.0
# Less of a stream than this is not worth another upstream; the caller can take it up elsewhere.
MIN_CONTINUATION_S: Final = 2.0


def may_begin_stream(draining_for_s: float | None) -> bool:
    """Return whether a stream may begin.

    :param draining_for_s: time since the stop signal in seconds, None before it
    """
    return draining_for_s is None or draining_for_s <= STREAM_ACCEPT_PERIOD_S


def may_continue_stream(draining_for_s: float | None, grace_s: float) -> bool:
    """Return whether a stream that broke off may go on at another upstream.

    :param grace_s: time from the stop signal until the process is killed
    """
    if draining_for_s is None:
        return True
    return grace_s - draining_for_s >= EXIT_RESERVE_S + MIN_CONTINUATION_S


def may_begin_request(draining_for_s: float | None, grace_s: float, timeout_s: float) -> bool:
    """Return whether a request other than a stream may begin.

    :param timeout_s: longest time that it may take
    """
    return draining_for_s is None or grace_s - draining_for_s >= timeout_s + EXIT_RESERVE_S
