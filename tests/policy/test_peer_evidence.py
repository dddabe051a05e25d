"""Evidence of peers about failed upstreams.

Load pattern: one of several engines stops answering while a large fleet sends to it. Each instance had to
lose a request to it, and did so anew after each backoff, although others had found out before.
"""

from __future__ import annotations

import dataclasses

import pytest

from carawaydoor.policy import entities, health, load, peer_evidence, placement
from tests.policy import builders

NOW_S = 100.0
ENGINES = tuple(builders.decode(f"d{number}") for number in range(4))
UNREACHABLE, ANSWERED = health.Outcome.UNREACHABLE, health.Outcome.ANSWERED


def health_after(*calls, now_s=NOW_S):
    """Return the health after calls, each an upstream's id and an outcome."""
    known: health.Health = {}
    for upstream, outcome in calls:
        known = health.record_outcome(known, now_s, upstream, outcome)
    return known


def reported(*calls, after_s=0.0):
    return peer_evidence.to_report(health_after(*calls), NOW_S + after_s, ENGINES)


def test_suspect_upstream_is_reported_for_longer_than_its_backoff():
    """Trials renew the evidence; if it lapsed, all instances would try the upstream at once."""
    (failure,) = reported(("d1", UNREACHABLE), after_s=1.4)
    assert failure.incarnation == ("d1", 1)
    assert failure.age_s == pytest.approx(1.4)
    assert failure.for_s == pytest.approx(health.MIN_BACKOFF_S + peer_evidence.TRIAL_MARGIN_S - 1.4)
    assert reported(("d1", UNREACHABLE), after_s=4.1) == ()


@pytest.mark.parametrize("outcome", [health.Outcome.FULL, health.Outcome.SILENT])
def test_upstream_that_may_only_be_overloaded_is_not_reported(outcome):
    """Peers would all leave it for the others, which would be overloaded next."""
    assert health.is_suspect(health_after(*[("d1", outcome)] * 4), NOW_S, "d1")
    assert reported(*[("d1", outcome)] * 4) == ()


@pytest.mark.parametrize("response", [ANSWERED, health.Outcome.FULL, health.Outcome.FAILED])
def test_upstream_that_responds_again_is_not_reported(response):
    assert reported(("d1", UNREACHABLE), ("d1", response)) == ()


@pytest.mark.parametrize(("failing", "count"), [(1, 1), (2, 2), (3, 0), (4, 0)])
def test_instance_for_which_most_upstreams_fail_reports_none(failing, count):
    """Its own network has probably failed."""
    assert len(reported(*[(f"d{number}", UNREACHABLE) for number in range(failing)])) == count


def combined(*failures, domains=("a", "a"), after_s=0.0):
    """Return the evidence for an instance in domain ``a``, one failure reported by each domain."""
    reports = [(domain, NOW_S, [each]) for domain, each in zip(domains, failures, strict=False)]
    return peer_evidence.combine(reports, "a", NOW_S + after_s)


def test_evidence_ends_with_its_time_and_never_counts_for_long():
    failure = peer_evidence.Failure("d1", 1, 0.2, 1.5)
    assert combined(failure, after_s=1.4) == {("d1", 1): NOW_S - 0.2}
    assert combined(failure, after_s=1.5) == {}
    endless = dataclasses.replace(failure, for_s=1e9)
    assert combined(endless, after_s=peer_evidence.MAX_TRUST_S) == {}


def test_latest_failure_among_peers_counts():
    earlier, later = (peer_evidence.Failure("d1", 1, age_s, 2.0) for age_s in (0.9, 0.1))
    assert combined(later, earlier) == {("d1", 1): NOW_S - 0.1}


@pytest.mark.parametrize(
    ("domains", "counts"),
    [(("a",), True), (("b",), False), (("b", "b"), False), (("b", "c"), True)],
)
def test_evidence_of_one_other_domain_counts_only_if_confirmed(domains, counts):
    """The network between that domain and the upstream may have failed."""
    failure = peer_evidence.Failure("d1", 1, 0.1, 2.0)
    assert bool(combined(failure, failure, domains=domains)) is counts


@pytest.mark.parametrize("instances", [1, 8, 710])
def test_trials_of_a_fleet_are_as_frequent_at_any_size(instances):
    draws = [(number + 0.5) / 100 for number in range(100)]
    waits_s = [peer_evidence.next_trial_s(NOW_S, each, instances) - NOW_S for each in draws]
    mean_rate_per_s = instances / (sum(waits_s) / len(waits_s))
    assert mean_rate_per_s == pytest.approx(1.0 / peer_evidence.TRIAL_INTERVAL_S)


@pytest.mark.parametrize(("failed_s", "expected"), [(NOW_S - 1, set()), (NOW_S + 1, {"d1"})])
def test_own_answer_outweighs_earlier_failures_at_peers(failed_s, expected):
    own = health_after(("d1", ANSWERED))
    assert peer_evidence.outweighing({("d1", 1): failed_s}, own) == expected


@pytest.mark.parametrize(("others_fill", "expected"), [(0.3, "d1"), (0.8, "d1"), (0.95, "d0")])
def test_engine_that_fails_peers_is_used_only_if_the_others_have_no_room(others_fill, expected):
    """It is the emptiest one, as its requests fail, and would attract all further ones."""
    tokens = int(others_fill * builders.ENGINE_SPEC.kv_tokens)
    base = builders.context(*ENGINES[:2], peers={"d1": load.Work(1, tokens)})
    context = dataclasses.replace(base, failing_peers=frozenset({"d0"}))
    prompt = entities.Prompt(4000, 100, 100)
    chosen = placement.choose_generation(context, builders.MODEL_SERVICE, prompt)
    assert chosen is not None and chosen.decode.id == expected
