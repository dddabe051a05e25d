"""What an attempt holds is given back on every way out, and a failed upstream is named."""

from __future__ import annotations

import contextlib
import json
from collections.abc import Iterator
from typing import Any

import expression
import pytest

from carawaydoor.coordination import cluster_view
from carawaydoor.interface import (
    completion_handler,
    completion_request,
    engine_protocol,
    errors,
    request_exchange,
    slot_client,
)
from carawaydoor.operating import clocks, metrics
from carawaydoor.policy import local_retry_budget

PARAMS = engine_protocol.TransferParams(
    remote_engine_id="p", remote_block_ids=(1,), remote_host="", remote_port=1
)


class InstanceContext:
    """The parts of a gateway that serving a model touches."""

    def __init__(self) -> None:
        self.clock = clocks.ManualClock()
        self.metrics = metrics.Metrics("test")
        self.budget = local_retry_budget.LocalRetryBudget(0.0)

    def record_attempt(self) -> None:
        """Count nothing."""

    def may_retry(self) -> bool:
        """Allow no retry."""
        return False


class Placement:
    """Gives one place and records its release."""

    def __init__(self) -> None:
        self.released: list[str] = []

    def place(self, *_: object) -> slot_client.Placed:
        """Return a place."""
        prefill, decode = (
            cluster_view.Upstream(
                role.value, "fd", "", 1, role, "pool", 1, 1.0, cluster_view.Presence.LIVE
            )
            for role in (cluster_view.Role.PREFILL, cluster_view.Role.DECODE)
        )
        return expression.Ok(slot_client.Place("lease", "pool", "fd", "home", decode, prefill))

    def release(self, _: slot_client.Place, upstream_failed: str) -> None:
        """Record a release."""
        self.released.append(upstream_failed)

    def finish_prefill(self, _: slot_client.Place) -> None:
        """Do nothing."""


def chunks(fail: bool) -> Iterator[engine_protocol.Chunk]:
    """Yield two chunks, and fail after them where told to."""
    for number in range(2):
        raw = json.dumps({"id": "a", "choices": [{"text": "w"}]}).encode()
        yield engine_protocol.Chunk(raw, "a", f"w{number}", None, None)
    if fail:
        raise errors.UpstreamBrokenError("gone")


def serve(
    monkeypatch: pytest.MonkeyPatch, fail: bool
) -> tuple[request_exchange.Exchange, request_exchange.Response, Placement]:
    """Serve one streamed completion."""
    monkeypatch.setattr(engine_protocol, "prefill", lambda *_: PARAMS)
    monkeypatch.setattr(engine_protocol, "decode", lambda *_: chunks(fail))
    monkeypatch.setattr(completion_handler.suspension, "strike", lambda *_: None)
    monkeypatch.setattr(completion_handler.suspension, "suspended", lambda *_: None)
    inbound = request_exchange.Inbound("POST", "/", "", None, None, "", b"", lambda: False)
    fields: dict[str, Any] = {"prompt": "x"}
    exchange = request_exchange.Exchange(
        "id", inbound, 0.0, 1e9, request_exchange.Cancel(), contextlib.ExitStack()
    )
    exchange.completion = completion_request.Completion(fields, "m", b"x", False, 2, True)
    exchange.cost = completion_request.Cost(1, 2)
    server = completion_handler.ServeModel(InstanceContext())  # type: ignore[arg-type]
    places = Placement()
    monkeypatch.setattr(server, "_placement", places)
    result = server.serve(exchange)
    return exchange, result.ok, places


def test_answer_that_is_never_read_is_given_back(monkeypatch: pytest.MonkeyPatch) -> None:
    """A caller that goes before the first chunk is taken leaves no lease behind."""
    exchange, response, places = serve(monkeypatch, fail=False)
    getattr(response.chunks, "close", lambda: None)()
    exchange.cleanup.close()
    assert places.released == [""]


def test_answer_that_is_read_is_given_back_once(monkeypatch: pytest.MonkeyPatch) -> None:
    """A whole answer gives its lease back before its last event, and only once."""
    exchange, response, places = serve(monkeypatch, fail=False)
    events = list(response.chunks)
    exchange.cleanup.close()
    assert events[-1] == b"data: [DONE]\n\n"
    assert places.released == [""]


def test_upstream_that_fails_in_mid_stream_is_named(monkeypatch: pytest.MonkeyPatch) -> None:
    """The scheduler learns which upstream failed, also after the first chunk."""
    exchange, response, places = serve(monkeypatch, fail=True)
    events = list(response.chunks)
    exchange.cleanup.close()
    assert b"upstream-failed" in events[-1]
    assert places.released == ["decode"]
