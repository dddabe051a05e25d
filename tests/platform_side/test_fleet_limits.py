"""All instances together keep to the limits that upstreams name."""

from __future__ import annotations

import threading
import time

import pytest

from carawaydoor.operating import clocks
from carawaydoor.platform import names
from carawaydoor.policy import entities
from tests.platform_side import harness_fleet

FLEET_SIZE = 8
WINDOW_S = 4.0
OVERSHOOT = 1.5
SLACK_REQUESTS = 5
# Time until the instances have to know a limit that was just named.
NOTICE_S = 3.0
REPORT_INTERVAL_S = 0.25


def most_in_a_window(times_s):
    """Return the largest number of times within a window."""
    return max(
        (sum(start <= each < start + WINDOW_S for each in times_s) for start in times_s), default=0
    )


def allowed_in_a_window(limit_per_s):
    return OVERSHOOT * limit_per_s * WINDOW_S + SLACK_REQUESTS


# Guards against more requests than an upstream's limit allows: nothing read the limit, so what it
# got did not change when it named one.
@pytest.mark.parametrize(
    "limit_by_name", [{"a": 2.3}, {"a": 2.3, "b": 1.6}, {"a": 1.6, "b": 1.6, "c": 0.5}]
)
def test_plain_upstreams_get_no_more_than_the_limits_they_name(limit_by_name):
    clock = clocks.ManualClock()
    with harness_fleet.running(FLEET_SIZE, clock) as fleet:
        upstreams = {name: fleet.add_upstream(name) for name in ("a", "b", "c")}
        arrivals_s = {name: [] for name in upstreams}
        for tick in range(800):
            if tick % 10 == 0:
                fleet.exchange_reports()
            if tick == 200:
                for name, limit in limit_by_name.items():
                    upstreams[name].notice_headers = {names.Header.LIMIT.value: str(limit)}
                named_s = clock.now_s()
            before = {name: len(each.received) for name, each in upstreams.items()}
            fleet.any_member().call("/safe/x").read()
            for name, each in upstreams.items():
                arrivals_s[name] += [clock.now_s()] * (len(each.received) - before[name])
            clock.advance(REPORT_INTERVAL_S / 10)
    for name, limit in limit_by_name.items():
        bound_s = [each for each in arrivals_s[name] if each >= named_s + NOTICE_S]
        assert most_in_a_window(bound_s) <= allowed_in_a_window(limit), name
        assert len(bound_s) > 0.5 * limit * (clock.now_s() - named_s - NOTICE_S), name


# Guards against the same for model engines, where a prompt is prefilled at one and goes on at another.
@pytest.mark.parametrize("stage", [entities.Stage.PREFILL, entities.Stage.DECODE])
def test_engines_get_no_more_than_the_limit_they_name(stage):
    limit_per_s, seconds = 1.0, NOTICE_S + WINDOW_S + 1.0
    with harness_fleet.running(FLEET_SIZE, clocks.SystemClock()) as fleet:
        limited = fleet.add_upstream("limited", stage)
        for number in range(2):
            fleet.add_upstream(f"p-{number}", entities.Stage.PREFILL)
            fleet.add_upstream(f"d-{number}", entities.Stage.DECODE)
        limited.notice_headers = {names.Header.LIMIT.value: str(limit_per_s)}
        started_s = time.monotonic()
        callers = [
            threading.Thread(target=call_repeatedly, args=(each, started_s + seconds))
            for each in fleet.members
        ]
        for each in callers:
            each.start()
        while time.monotonic() < started_s + seconds:
            fleet.exchange_reports()
            time.sleep(REPORT_INTERVAL_S)
        for each in callers:
            each.join()
    bound_s = [each.at_s for each in limited.received if each.at_s >= started_s + NOTICE_S]
    assert most_in_a_window(bound_s) <= allowed_in_a_window(limit_per_s)
    assert bound_s, "the limit is used"


def call_repeatedly(member, until_s):
    while time.monotonic() < until_s:
        member.stream(timeout_ms=1500).read()
