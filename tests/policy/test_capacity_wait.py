"""How long requests wait in a burst, and when refused callers retry."""

from __future__ import annotations

from carawaydoor.policy import capacity_wait

TARGET_S = 0.9


def arrival(late_s=0.0, deadline_s=14.0):
    return capacity_wait.Arrival(100.0, 100.0 - late_s, 100.0 + deadline_s, TARGET_S)


def test_request_on_time_waits_half_its_target_and_leaves_no_reserve():
    terms = capacity_wait.wait_terms(arrival(), 0.2)
    assert terms.until_s == 100.0 + TARGET_S / 2
    assert terms.reserve_share == 0.0


def test_long_prompt_waits_only_while_it_can_be_on_time():
    terms = capacity_wait.wait_terms(arrival(), 0.6)
    assert terms.until_s < 100.0 + 0.25


def test_late_request_waits_longer_and_leaves_a_reserve():
    terms = capacity_wait.wait_terms(arrival(late_s=4.0, deadline_s=10.0), 0.2)
    assert terms.until_s == 100.0 + capacity_wait.MAX_LATE_WAIT_S
    assert terms.reserve_share > 0.0


def test_late_request_does_not_wait_without_time_to_run():
    assert capacity_wait.wait_terms(arrival(late_s=9.0, deadline_s=5.0), 0.2).until_s <= 100.0


def test_callers_retry_after_a_burst_but_well_before_their_deadline():
    assert capacity_wait.retry_after_s(arrival(), 100.4) == capacity_wait.MAX_RETRY_AFTER_S
    delay_s = capacity_wait.retry_after_s(arrival(deadline_s=3.0), 100.0)
    assert delay_s < 1.0
    assert capacity_wait.retry_after_s(arrival(deadline_s=3.0), 104.0) == 0.0
