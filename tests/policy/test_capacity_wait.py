"""How long requests wait in a burst, and when refused callers retry."""

from __future__ import annotations

import pytest

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


def test_more_urgent_requests_wait_for_as_long_as_they_can_be_on_time():
    terms = capacity_wait.wait_terms(arrival(), 0.2, is_urgent=True)
    assert terms.until_s == 100.0 + TARGET_S - 0.2 - capacity_wait.FIRST_STEP_S


def test_more_urgent_callers_return_first_but_not_in_the_middle_of_the_burst():
    shares = [capacity_wait.return_share(rank, 3) for rank in range(3)]
    assert shares == sorted(shares)
    assert (shares[0] > capacity_wait.MIN_RETURN_SHARE, shares[-1]) == (True, 1.0)


def claim(number, rank=0, is_late=False, received_s=100.0, version=None, service="planner"):
    return capacity_wait.Claim(service, rank, rank, is_late, received_s, number, 6000, version)


def test_claims_are_served_by_rank_then_punctuality_then_arrival():
    """Failure: whichever request ran first took the room that others had waited for."""
    ordered = [
        claim(5, 0, False, 101.0),
        claim(2, 0, True, 99.0),
        claim(4, 1, False, 100.0),
        claim(1, 1, False, 100.5),
        claim(3, 2, False, 90.0),
    ]
    for number, each in enumerate(ordered):
        assert capacity_wait.is_turn(each, ordered[number:])
        assert not capacity_wait.is_turn(each, ordered[: number + 1]) or number == 0


def test_claim_waits_only_for_those_that_could_use_the_same_engines():
    first = [claim(1, version="v1")]
    assert capacity_wait.is_turn(claim(2, 1, version="v2"), first)
    assert capacity_wait.is_turn(claim(2, 1), first)
    assert capacity_wait.is_turn(claim(2, 1, service="other"), [claim(1)])
    assert not capacity_wait.is_turn(claim(2, 1, version="v1"), first)
    assert not capacity_wait.is_turn(claim(2, 1, version="v1"), [claim(1)])


def test_prospect_is_worse_for_less_urgent_requests():
    prospects_s = [
        capacity_wait.prospect_s(100_000.0, more_urgent, ahead, 5000)
        for more_urgent, ahead in [(0.0, 0.0), (50_000.0, 20_000.0), (200_000.0, 20_000.0)]
    ]
    assert [each * capacity_wait.PROSPECT_MARGIN for each in prospects_s] == pytest.approx(
        [0.05, 0.5, 2.5]
    )


def test_nothing_is_refused_early_while_nothing_is_known_of_the_memory():
    assert capacity_wait.prospect_s(0.0, 0.0, 1e6, 5000) == 0.0


def test_mean_length_follows_generations():
    length = None
    for _ in range(100):
        length = capacity_wait.with_length(length, 5000, 1.0)
    assert abs(length.mean_s - 1.0) < 0.02
