"""Upstreams that send bytes without end are cut off within limits of bytes and time.

Waits were limited only while no bytes were there, so a response that never paused outlasted every
deadline and filled the memory.
"""

from __future__ import annotations

import time

import pytest

from carawaydoor.policy import entities
from carawaydoor.serving import response_budget
from tests.platform_side import router_harness
from tests.platform_side.fake_upstream import Behaviour

PREFILL, DECODE = entities.Stage.PREFILL, entities.Stage.DECODE
ENDLESS = [
    Behaviour.ENDLESS_HEADER,
    Behaviour.ENDLESS_INTERIM_RESPONSES,
    Behaviour.ENDLESS_BODY,
    Behaviour.ENDLESS_CHUNK_SIZE,
    Behaviour.ENDLESS_TRAILERS,
]
ROUTE_TIMEOUT_S = 1.0
# By then bytes or a reset that follow a response have arrived.
ARRIVAL_S = 0.05


@pytest.fixture
def harness():
    with router_harness.running() as running:
        yield running


@pytest.mark.parametrize("behaviour", ENDLESS)
def test_endless_response_of_a_plain_service_ends_in_time(harness, behaviour):
    upstream = harness.add_upstream("s1")
    upstream.behaviours = [behaviour]
    started_s = time.monotonic()
    response = harness.call("/unsafe/x", method="POST").read()
    assert response.status in (502, 504), "the request may have run"
    assert time.monotonic() - started_s < ROUTE_TIMEOUT_S + 0.5
    assert upstream.received[0].caller_disconnected.wait(1.0)
    assert harness.is_idle()


@pytest.mark.parametrize("behaviour", ENDLESS)
def test_idempotent_request_gets_its_response_elsewhere(harness, behaviour):
    for name in ("s1", "s2"):
        harness.add_upstream(name).behaviours = [behaviour] if name == "s1" else []
    assert harness.call("/safe/x").read().body == b"answer"


@pytest.mark.parametrize("behaviour", [*ENDLESS, Behaviour.ENDLESS_EVENT])
def test_endless_stream_is_visibly_truncated(harness, behaviour):
    harness.add_upstream("p", PREFILL)
    decode = harness.add_upstream("d", DECODE)
    decode.behaviours = [behaviour]
    started_s = time.monotonic()
    response = harness.stream(timeout_ms=2000).read()
    assert response.status in (502, 504) or response.is_truncated
    assert time.monotonic() - started_s < 2.5
    assert decode.received[0].caller_disconnected.wait(1.0)
    assert harness.is_idle()


@pytest.mark.parametrize("behaviour", ENDLESS)
def test_endless_prefill_leaves_the_prompt_to_the_decode_engine(harness, behaviour):
    harness.add_upstream("p", PREFILL).behaviours = [behaviour]
    harness.add_upstream("d", DECODE)
    response = harness.stream().read()
    assert (response.status, response.is_truncated) == (200, False)


def test_bytes_beyond_the_declared_length_belong_to_no_response(harness):
    upstream = harness.add_upstream("s1")
    upstream.behaviours = [Behaviour.BEYOND_LENGTH]
    assert harness.call("/safe/x").read().body == b"answer"
    time.sleep(ARRIVAL_S)
    assert harness.call("/safe/x").read().body == b"answer"
    assert upstream.connections == 2
    assert upstream.received[0].caller_disconnected.wait(1.0)


def test_memory_for_one_endless_body_is_bounded():
    assert response_budget.MAX_RESPONSE_BYTES <= 8_000_000


def test_response_before_a_reset_connection_is_delivered(harness):
    """Regression: a reset after a complete response raised when the connection was to be kept.

    The caller got an internal error in place of its response, or the request stayed counted.
    """
    upstream = harness.add_upstream("s1")
    upstream.behaviours = [Behaviour.RESET_AFTER_ANSWER] * 20
    for _ in range(20):
        response = harness.call("/unsafe/x", method="POST").read()
        assert (response.status, response.body) == (200, b"answer")
        time.sleep(ARRIVAL_S)
    assert harness.is_idle()
