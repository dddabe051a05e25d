"""Traces replay to the recorded effects and contain no confidential data."""

from __future__ import annotations

import io
import pathlib

import pytest

from carawaydoor import cli
from carawaydoor.coordination import idempotency, replay, token_bucket, trace
from carawaydoor.operating import exit_codes
from tests import simulation, test_at_most_once

TRACES = sorted((pathlib.Path(__file__).parent / "traces").glob("*.jsonl"))
BODY = test_at_most_once.BODY


def _recorded(out: io.StringIO) -> simulation.Cluster:
    """Run requests and bookings, kill an instance, and record the steps of another one."""
    machine = test_at_most_once.AtMostOnce()
    recorded = "i2"
    machine.cluster.record(recorded, out)
    machine.advance(6.0)
    for number in range(10):
        simulation.reserve(machine.cluster, "i3", f"g{number}", 5.0, 0.0)
        machine.book_with_time(0.0)
        machine.book_with_issued_key(recorded)
        for which in range(2):
            machine.send("i3", which)
            machine.run_one(0, "done")
            machine.send("i4", which)
        machine.advance(0.5)
        if number == 5:
            machine.kill("i1")
    return machine.cluster


def test_recorded_run_replays(tmp_path: pathlib.Path) -> None:
    """Every step of a recorded instance replays to the recorded effects."""
    out = io.StringIO()
    cluster = _recorded(out)
    path = tmp_path / "trace.jsonl"
    path.write_text(out.getvalue())
    result = replay.run(path)
    assert result.is_ok(), result
    assert result.ok > 100
    secret = cluster.simulated_by_id["i2"].state.secret
    assert secret.hex() not in out.getvalue()
    assert BODY.hex() not in out.getvalue()


@pytest.mark.parametrize("path", TRACES, ids=lambda path: path.stem)
def test_kept_trace_replays(path: pathlib.Path) -> None:
    """A stored trace, recorded when a fault was found, replays to its effects."""
    assert cli.replay_trace(path) == exit_codes.ExitCode.OK


def test_other_outcome_is_reported(tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """Replay reports a decision core whose effects differ from the recorded ones."""
    out = io.StringIO()
    _recorded(out)
    path = tmp_path / "trace.jsonl"
    path.write_text(out.getvalue())
    create = token_bucket.create
    monkeypatch.setattr(
        token_bucket, "create", lambda limit, now_s, level=0.0: create(limit, now_s, limit.burst)
    )
    monkeypatch.setattr(idempotency, "check_first_use", lambda *_: None)
    assert cli.replay_trace(path) == exit_codes.ExitCode.OUTCOME_DIFFERS


def test_redaction() -> None:
    """Bodies are removed, issued keys are signed again, and forged keys stay invalid."""
    key = idempotency.issue("i1", "n1", "5-1", "acme", b"secret")
    message = simulation.messages.RunOnce(key, "acme", "booking", "POST", "/b", "", BODY, "op")
    redacted = trace.redact(message, b"secret")
    issued = idempotency.parse_issued(redacted.key)
    assert redacted.body == b""
    assert issued is not None
    assert idempotency.is_genuine(issued, "acme", trace.REPLAY_SECRET)
    forged = idempotency.parse_issued(trace.redact(message, b"another").key)
    assert forged is not None
    assert not idempotency.is_genuine(forged, "acme", trace.REPLAY_SECRET)
