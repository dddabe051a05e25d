"""A limit that an upstream names is read from each of its responses."""

from __future__ import annotations

import pytest

from carawaydoor.operating import clocks
from carawaydoor.platform import names
from tests.platform_side import router_harness
from tests.platform_side.fake_upstream import Behaviour

LIMIT = names.Header.LIMIT.value


@pytest.fixture
def harness():
    with router_harness.running(clocks.ManualClock()) as running:
        yield running


def limit_per_s(harness, name):
    upstream = harness.instance.directory.upstream_by_id[name]
    return harness.instance.upstream_limiter.limit_per_s(upstream)


@pytest.mark.parametrize("behaviour", [Behaviour.ANSWER, Behaviour.FAIL, Behaviour.REJECT])
def test_any_response_names_a_limit(harness, behaviour):
    upstream = harness.add_upstream("a")
    upstream.notice_headers = {LIMIT: "2.3"}
    upstream.behaviours = [behaviour]
    harness.call("/safe/x").read()
    assert limit_per_s(harness, "a") == 2.3


@pytest.mark.parametrize("text", ["", "soon", "-1", "nan", "inf", "1e300"])
def test_unusable_limit_leaves_the_former_one_in_force(harness, text):
    upstream = harness.add_upstream("a")
    upstream.notice_headers = {LIMIT: "2.3"}
    harness.call("/safe/x").read()
    upstream.notice_headers = {LIMIT: text or "?"}
    harness.call("/safe/x").read()
    assert limit_per_s(harness, "a") == 2.3


@pytest.mark.parametrize("behaviour", [Behaviour.MISDIRECT, Behaviour.OTHER_REQUEST_ID])
def test_limit_in_a_response_to_another_request_is_ignored(harness, behaviour):
    """It is another server's, or one that was named earlier and arrives late."""
    upstream = harness.add_upstream("a")
    upstream.notice_headers = {LIMIT: "2.3"}
    upstream.behaviours = [behaviour]
    harness.call("/unsafe/x", method="POST").read()
    assert limit_per_s(harness, "a") is None


def test_limit_is_not_forwarded_to_the_caller(harness):
    harness.add_upstream("a").notice_headers = {LIMIT: "2.3"}
    assert LIMIT.lower() not in harness.call("/safe/x").read().headers


def test_notice_of_an_unknown_kind_is_logged_once(harness, monkeypatch):
    """A header that the router did not know went unnoticed until the users reported it."""
    logged = []
    monkeypatch.setattr("eliot.log_message", lambda **fields: logged.append(fields))
    harness.add_upstream("a").notice_headers = {"Server-Mood": "low", "Server-Timing": "db;dur=5"}
    for _ in range(3):
        harness.call("/safe/x").read()
    unknown = [each for each in logged if each["message_type"] == "upstream_notice_unknown"]
    assert [each["header"] for each in unknown] == ["server-mood"]
