"""The soak's checks find planted faults, and excuse what the pages excuse."""

from __future__ import annotations

import types

import pytest

from carawaydoor.platform import names
from tests.platform_side import fake_upstream
from tools.soak import callers, checks, fault_history, soak_environment


def outcome(**changes):
    values = {
        "id": "r1",
        "path": "/unsafe/x",
        "key": "key-a",
        "instance": "i0",
        "sent_s": 100.0,
        "ended_s": 101.0,
        "status": 0,
        "is_whole": False,
        "body": b"",
        "echoed": None,
    }
    return callers.Outcome(**{**values, **changes})


def seen(at_s, request="r1"):
    headers = {names.Header.REQUEST_ID.lower(): request}
    return fake_upstream.ReceivedRequest("POST", "/unsafe/x", headers, b"", at_s=at_s)


@pytest.fixture
def played():
    """A run of one instance that was told to stop at 99 s and one upstream that left at 50 s."""
    record = fault_history.FaultHistory()
    record.stop("i0", 99.0)
    return types.SimpleNamespace(
        fault_history=record,
        server_by_name={"s1": types.SimpleNamespace(received=[])},
        proxy_by_name={"s1": None},
        draining_since_s_by_name={"s1": 50.0},
        withdrawn_s_by_key={"key-b": 10.0},
    )


def test_cut_after_a_signal_to_stop_is_found(played):
    (found,) = checks.judge(played, [outcome()])
    assert "was cut at i0" in found


@pytest.mark.parametrize(
    "changes",
    [
        {"is_whole": True, "status": 502},
        {"ended_s": 100.1},
        {"ended_s": 100.0 + callers.PATIENCE_S},
        {"instance": "i1"},
        {"sent_s": 99.5 + soak_environment.GRACE_S, "ended_s": 100.5 + soak_environment.GRACE_S},
        {"sent_s": 97.0, "ended_s": 98.0},
    ],
)
def test_what_is_no_cut_by_a_stop_is_not_judged_as_one(played, changes):
    assert not list(checks.judge(played, [outcome(**changes)]))


@pytest.mark.parametrize("target", ["i0", "s1", "store", fault_history.ALL])
def test_cut_beside_a_disturbance_is_excused(played, target):
    played.fault_history.disturb(target, 97.0, 0.5)
    assert not list(checks.judge(played, [outcome()]))


def test_request_to_an_upstream_that_left_is_found_and_a_prompt_one_is_not(played):
    upstream = played.server_by_name["s1"]
    whole = outcome(is_whole=True, status=502)
    upstream.received = [seen(50.0 + soak_environment.DRAIN_S)]
    assert not list(checks.judge(played, [whole]))
    upstream.received = [seen(50.0 + soak_environment.DRAIN_S + 1.0)]
    (found,) = checks.judge(played, [whole])
    assert "after it began to leave" in found
    played.fault_history.disturb("store", 49.0, 0.5)
    assert not list(checks.judge(played, [whole]))


def test_run_of_a_request_that_was_called_not_run_is_found(played):
    played.server_by_name["s1"].received = [seen(40.0)]
    found = list(checks.judge(played, [outcome(is_whole=True, status=503, instance="i1")]))
    assert found == ["r1 /unsafe/x ran, and its caller was told 503"]


def test_run_with_a_withdrawn_key_is_found(played):
    played.server_by_name["s1"].received = [seen(40.0)]
    late = outcome(key="key-b", is_whole=True, status=502, instance="i1", sent_s=39.0)
    (found,) = checks.judge(played, [late])
    assert "withdrawn 29.0 s before" in found
