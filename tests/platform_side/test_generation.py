"""Generations are prefilled separately, relayed completely, and leave no resources held."""

from __future__ import annotations

import time

import pytest

from carawaydoor.operating import clocks
from carawaydoor.platform import names
from carawaydoor.policy import entities, health, load
from tests.platform_side import router_harness
from tests.platform_side.fake_upstream import Behaviour

# By then an instance knows the size of its fleet, and has more than one retry.
AFTER_START_S = 20.0

PREFILL, DECODE = entities.Stage.PREFILL, entities.Stage.DECODE


@pytest.fixture
def harness():
    with router_harness.running() as running:
        yield running


def events(first, last):
    return b"".join(b"id: %d\ndata: %d\n\n" % (n, n) for n in range(first, last + 1))


def test_prompt_is_prefilled_separately_and_the_stream_relayed(harness):
    prefill, decode = harness.add_upstream("p", PREFILL), harness.add_upstream("d", DECODE)
    response = harness.stream().read()
    assert (response.status, response.body, response.is_truncated) == (200, events(1, 5), False)
    assert prefill.received[0].header(names.Header.STAGE) == "prefill"
    kv_source = decode.received[0].header(names.Header.KV_SOURCE)
    assert kv_source == f"127.0.0.1:{prefill.port}/h1"
    assert harness.is_idle()


def test_connection_of_a_complete_stream_is_reused(harness):
    harness.add_upstream("p", PREFILL)
    decode = harness.add_upstream("d", DECODE)
    for _ in range(3):
        harness.stream().read()
    assert decode.connections == 1


@pytest.mark.parametrize(
    "behaviour", [Behaviour.REJECT, Behaviour.RESET, Behaviour.MALFORMED, Behaviour.FAIL]
)
def test_decode_engine_prefills_the_prompt_if_the_prefill_engine_fails(harness, behaviour):
    harness.add_upstream("p", PREFILL).behaviours = [behaviour]
    decode = harness.add_upstream("d", DECODE)
    assert harness.stream().read().body == events(1, 5)
    assert decode.received[0].header(names.Header.KV_SOURCE) is None


def test_kv_cache_of_another_request_is_not_decoded(harness):
    """A late second response of a prefill engine arrived where the next one was expected.

    It names the KV cache of another caller's prompt.
    """
    harness.add_upstream("p", PREFILL).behaviours = [Behaviour.OTHER_REQUEST_ID]
    decode = harness.add_upstream("d", DECODE)
    assert harness.stream().read().body == events(1, 5)
    assert decode.received[0].header(names.Header.KV_SOURCE) is None


def test_prefilled_prompt_is_decoded_elsewhere_if_the_first_engine_rejects(harness):
    """Regression: prefilled prompts were wasted when their decode engine rejected the request.

    An engine rejects a request if it is nearly full, or if another server has taken its address.
    """
    prefill = harness.add_upstream("p", PREFILL)
    decodes = [harness.add_upstream("d", DECODE), harness.add_upstream("e", DECODE)]
    decodes[0].behaviours = [Behaviour.REJECT]
    assert harness.stream().read().body == events(1, 5)
    assert len(prefill.received) == 1
    assert decodes[1].received[0].header(names.Header.KV_SOURCE)


@pytest.mark.parametrize("engines", [2, 4])
def test_generation_is_served_although_its_kv_cache_has_expired(engines):
    """Load pattern: KV caches of prefilled prompts expire at once for some seconds.

    Each decode engine rejected the request, since the cache that it named was gone. They passed for full,
    other requests were kept from them, and the caller was refused with all of them free.
    """
    clock = clocks.ManualClock()
    with router_harness.running(clock) as harness:
        prefill = harness.add_upstream("p", PREFILL)
        decodes = [harness.add_upstream(f"d-{number}", DECODE) for number in range(engines)]
        for each in decodes:
            each.kv_caches_have_expired = True
        clock.advance(AFTER_START_S)
        harness.instance.confirm_revision(1, clock.now_s())
        assert harness.stream().read().body == events(1, 5)
        received = [request for each in decodes for request in each.received]
        assert len(received) == 3
        assert sum(request.header(names.Header.KV_SOURCE) is None for request in received) == 1
        assert len(prefill.released_handles) == 1
        assert not any(is_full(harness, f"d-{number}") for number in range(engines))
        assert harness.is_idle()


def is_full(harness, upstream):
    return health.is_full(harness.instance.selector.health, harness.clock.now_s(), upstream)


def test_prompt_is_not_prefilled_if_the_decode_engine_is_unreachable(harness):
    """Regression: prefills were wasted on decode engines that had gone.

    The router connected to the decode engine only after the prefill, and the engine refused the
    connection.
    """
    prefill = harness.add_upstream("p", PREFILL)
    harness.add_upstream("d", DECODE).stop()
    response = harness.stream(timeout_ms=1500).read()
    assert response.status == 503
    assert prefill.received == []
    assert harness.is_idle()


def test_kv_cache_that_no_engine_fetches_is_released(harness):
    prefill = harness.add_upstream("p", PREFILL)
    harness.add_upstream("d", DECODE).behaviours = [Behaviour.REJECT]
    response = harness.stream().read()
    assert response.status == 503
    assert float(response.headers["retry-after"]) > 0
    assert prefill.released_handles == ["h1"]


def test_broken_stream_is_visibly_truncated(harness):
    harness.add_upstream("p", PREFILL)
    harness.add_upstream("d", DECODE).behaviours = [Behaviour.BREAK_STREAM]
    response = harness.stream().read()
    assert response.is_truncated
    assert response.body == events(1, 2), "the incomplete event is not relayed"
    assert harness.is_idle()


@pytest.mark.parametrize("behaviour", [Behaviour.BREAK_STREAM, Behaviour.HANG_STREAM])
def test_stream_resumes_at_the_backup_engine(harness, behaviour):
    harness.add_upstream("p", PREFILL)
    first = harness.add_upstream("d", DECODE, events=6)
    second = harness.add_upstream("e", DECODE, events=6)
    first.behaviours = [behaviour]
    response = harness.stream().read()
    assert (response.body, response.is_truncated) == (events(1, 6), False)
    assert first.received[0].header(names.Header.KV_BACKUP) == f"127.0.0.1:{second.port}"
    resumed = second.received[0]
    assert resumed.header(names.Header.KV_SOURCE) == f"127.0.0.1:{second.port}/id-1"
    assert resumed.header(names.Header.LAST_EVENT_ID) == "2"
    assert harness.is_idle()


def test_failure_before_the_first_event_does_not_claim_that_nothing_ran(harness):
    harness.add_upstream("p", PREFILL)
    harness.add_upstream("d", DECODE).behaviours = [Behaviour.RESET]
    response = harness.stream().read()
    assert response.status == 502
    assert sum(len(each.runs) for each in harness.upstreams.values()) == 1


def test_caller_that_never_reads_holds_no_resources(harness):
    harness.add_upstream("p", PREFILL)
    decode = harness.add_upstream("d", DECODE)
    decode.behaviours = [Behaviour.HANG_STREAM]
    response = harness.stream()
    assert response.status == 200
    response.close()
    assert decode.received[0].caller_disconnected.wait(1.0)
    assert harness.is_idle()


def test_disconnect_during_prefill_starts_no_decode(harness):
    harness.add_upstream("p", PREFILL).behaviours = [Behaviour.HANG]
    decode = harness.add_upstream("d", DECODE)
    started_s = time.monotonic()
    harness.stream(is_gone=lambda: time.monotonic() - started_s > 0.2).read()
    assert decode.received == []
    assert harness.is_idle()


def test_burst_beyond_kv_capacity_is_refused_with_retry_after(harness):
    harness.add_upstream("p", PREFILL)
    harness.add_upstream("d", DECODE)
    harness.instance.selector.load = load.Load({"d": load.Work(10, 59_000)}, {})
    started_s = time.monotonic()
    response = harness.stream().read()
    assert response.status == 503
    assert float(response.headers["retry-after"]) > 0.5
    assert time.monotonic() - started_s < 2.0
    assert all(not each.received for each in harness.upstreams.values())


def test_streams_are_refused_late_in_a_drain():
    """Regression: a stream accepted 7.4 s after SIGTERM was truncated when the instance exited."""
    clock = clocks.ManualClock()
    with router_harness.running(clock) as harness:
        harness.add_upstream("p", PREFILL)
        harness.add_upstream("d", DECODE)
        harness.instance.drain_started_s = clock.now_s()
        clock.advance(2.9)
        assert harness.stream().read().status == 503


def test_refusal_for_lack_of_capacity_is_not_charged_to_the_cap(harness):
    """Regression: refused requests used up the cap, so that later retries were refused too."""
    small_workspace = entities.Workspace("w", None, 1000.0, 1000.0, True, 200.0)
    harness.configure(revision=2, workspace_by_key={router_harness.KEY: small_workspace})
    harness.add_upstream("p", PREFILL)
    harness.add_upstream("d", DECODE)
    full_load = load.Load({"d": load.Work(10, 59_000)}, {})
    for _ in range(2):
        harness.instance.selector.load = full_load
        assert harness.stream(timeout_ms=2000).read().status == 503
    harness.instance.selector.load = load.EMPTY
    assert harness.stream().read().status == 200
