"""Upstreams of the project's own interface that send bytes without end are cut off."""

from __future__ import annotations

import time
from collections.abc import Iterator

import pytest

from carawaydoor.coordination import cluster_view
from carawaydoor.interface import errors, upstream_call
from tests.platform_side import fake_upstream
from tests.platform_side.fake_upstream import Behaviour

TIMEOUT_S = 0.5
REQUEST = upstream_call.UpstreamRequest("r", "GET", "/x", {}, b"")


@pytest.fixture
def upstream() -> Iterator[fake_upstream.FakeUpstream]:
    running = fake_upstream.FakeUpstream()
    yield running
    running.stop()


def target_of(upstream: fake_upstream.FakeUpstream) -> cluster_view.Upstream:
    role, presence = cluster_view.Role.PLAIN, cluster_view.Presence.LIVE
    return cluster_view.Upstream(
        "u", "a", "127.0.0.1", upstream.port, role, "bookings", 6, 0.0, presence
    )


@pytest.mark.parametrize(
    "behaviour",
    [
        Behaviour.ENDLESS_HEADER,
        Behaviour.ENDLESS_INTERIM_RESPONSES,
        Behaviour.ENDLESS_BODY,
        Behaviour.ENDLESS_CHUNK_SIZE,
        Behaviour.ENDLESS_TRAILERS,
    ],
)
def test_endless_response_is_an_error_in_time(
    upstream: fake_upstream.FakeUpstream, behaviour: Behaviour
) -> None:
    upstream.behaviours = [behaviour]
    started_s = time.monotonic()
    with pytest.raises(errors.UpstreamError):
        upstream_call.fetch(target_of(upstream), REQUEST, TIMEOUT_S)
    assert time.monotonic() - started_s < TIMEOUT_S + upstream_call.MAX_TRANSFER_S + 1.0
    assert upstream.received[0].caller_disconnected.wait(1.0)


@pytest.mark.parametrize("behaviour", [Behaviour.TRUNCATE, Behaviour.TRUNCATE_BEFORE_BODY])
def test_body_shorter_than_its_length_is_an_error(
    upstream: fake_upstream.FakeUpstream, behaviour: Behaviour
) -> None:
    """A connection that ended before the first byte of a body passed for an empty response."""
    upstream.behaviours = [behaviour]
    with pytest.raises(errors.UpstreamBrokenError):
        upstream_call.fetch(target_of(upstream), REQUEST, TIMEOUT_S)


def test_endless_stream_of_lines_is_an_error(
    upstream: fake_upstream.FakeUpstream, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(upstream_call, "MAX_STREAM_BYTES", 1_000_000)
    upstream.behaviours = [Behaviour.ENDLESS_EVENT]
    call = upstream_call.Call(target_of(upstream), TIMEOUT_S)
    call.send(REQUEST)
    with pytest.raises(errors.UpstreamBrokenError):
        for _ in call.lines():
            pass
    call.close()
