"""A refusal counts only for the request that it answers.

Regression: a faulty upstream wrote an earlier refusal once more on a kept connection. Callers were told
that a request had not run which the upstream was running, or it was sent to a second upstream.
"""

from __future__ import annotations

import pytest

from carawaydoor.platform import names
from carawaydoor.policy import entities
from tests.platform_side import router_harness
from tests.platform_side.fake_upstream import Behaviour

NOT_RUN = {400, 408, 421, 429, 503}


@pytest.fixture
def harness():
    with router_harness.running() as running:
        yield running


def call(harness, request_id, path="/unsafe/x"):
    return harness.call(path, method="POST", headers={names.Header.REQUEST_ID: request_id}).read()


def runs(harness, request_id):
    return sum(
        each.behaviour is Behaviour.ANSWER and each.header(names.Header.REQUEST_ID) == request_id
        for upstream in harness.upstreams.values()
        for each in upstream.received
        if not each.header(names.Header.STAGE)
    )


@pytest.mark.parametrize("repeated", [Behaviour.REJECT_TWICE, Behaviour.MISDIRECT_TWICE])
@pytest.mark.parametrize("second_id", ["r-1", "r-2"], ids=["same id", "another id"])
def test_booking_is_not_said_to_be_not_run_because_of_an_earlier_refusal(
    harness, repeated, second_id
):
    upstream = harness.add_upstream("a")
    upstream.behaviours = [repeated]
    assert call(harness, "r-1").status in NOT_RUN
    harness.instance.selector.forget_health("a")
    response = call(harness, second_id)
    assert response.status not in NOT_RUN or runs(harness, second_id) == 0


@pytest.mark.parametrize("repeated", [Behaviour.REJECT_TWICE, Behaviour.MISDIRECT_TWICE])
@pytest.mark.parametrize("second_id", ["r-1", "r-2"], ids=["same id", "another id"])
def test_booking_does_not_run_twice_because_of_an_earlier_refusal(
    harness, repeated, second_id, monkeypatch
):
    monkeypatch.setattr(harness.instance, "may_retry", lambda *_: True)
    upstream = harness.add_upstream("a")
    upstream.behaviours = [repeated]
    call(harness, "r-1")
    harness.instance.selector.forget_health("a")
    harness.add_upstream("b")
    call(harness, second_id)
    assert runs(harness, second_id) <= 1


def test_stream_is_not_said_to_be_not_run_because_of_an_earlier_refusal(harness):
    """The same request is offered to an engine again that has rejected it."""
    engine = harness.add_upstream("d", entities.Stage.DECODE)
    engine.behaviours = [Behaviour.REJECT_TWICE]
    headers = {names.Header.REQUEST_ID: "r-1"}
    assert harness.stream(headers=headers).read().status == 503
    harness.instance.selector.forget_health("d")
    response = harness.stream(headers=headers).read()
    assert response.status not in NOT_RUN or runs(harness, "r-1") == 0


def test_wish_for_no_requests_counts_once(harness):
    """A Retry-After of an earlier refusal without an id is not one of the next request's."""
    upstream = harness.add_upstream("a")
    upstream.rejection_headers = {names.Header.RETRY_AFTER: "0.0"}
    upstream.behaviours = [Behaviour.REJECT_WITHOUT_REQUEST_ID_TWICE]
    call(harness, "r-1")
    entry = harness.instance.directory.upstream_by_id["a"]
    upstream.notice_headers = {names.Header.RETRY_AFTER: "30"}
    call(harness, "r-2")
    assert harness.instance.selector.turned_away.remaining_s(entry) == 0.0
