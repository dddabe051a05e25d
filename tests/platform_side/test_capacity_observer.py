"""Calls of an instance are observed, reported and shown, and its reports stay readable and small."""

from __future__ import annotations

import time

import pytest
from thriftpy2.protocol.cybin import cybin
from thriftpy2.transport.memory import cymemory

from carawaydoor.fleet import codec, report_structs, transport
from carawaydoor.operating import clocks
from carawaydoor.platform import platform_settings
from carawaydoor.policy import entities, learned_capacity
from carawaydoor.serving import capacity_observer
from tests.platform_side import router_harness
from tests.policy import builders

Kind = learned_capacity.Kind


def kinds(harness):
    return {each.kind for each in harness.instance.compose_report()[0].capacities}


def add_all(harness):
    harness.add_upstream("p", entities.Stage.PREFILL)
    harness.add_upstream("d", entities.Stage.DECODE)
    harness.add_upstream("a")
    harness.stream().read()
    harness.call("/safe/x").read()


def test_calls_are_observed_reported_and_shown():
    """Without a call site, an instance would go on with the assumed speeds unnoticed."""
    with router_harness.running() as harness:
        add_all(harness)
        expected = {Kind.PREFILL_TOKEN, Kind.FIRST_EVENT, Kind.CALL}
        assert kinds(harness) == expected
        for _ in range(3):
            harness.call("/safe/x").read()
        time.sleep(capacity_observer.MERGE_INTERVAL_S)
        rendered = harness.instance.metrics.render().decode()
        assert 'carawaydoor_learned_seconds_per_unit{kind="call"' in rendered


def test_nothing_is_reported_if_it_is_switched_off():
    with router_harness.running(learns_capacity=False) as harness:
        add_all(harness)
        assert kinds(harness) == set()


def test_many_entries_take_turns_and_fit_into_a_datagram():
    """A report that does not fit is not sent at all."""
    clock = clocks.ManualClock()
    with router_harness.running(clock) as harness:
        capacity = harness.instance.capacity
        for number in range(2000):
            upstream = builders.upstream(f"upstream-{number:05}")
            capacity.observe(upstream, Kind.CALL, 1, 0.03)
        report = harness.instance.compose_report()[0]
        assert len(codec.encode(report)) < transport.MAX_DATAGRAM_BYTES / 4
        clock.advance(5.0)
        seen = {each.upstream for _ in range(500) for each in capacity.share()}
        assert len(seen) == 1000, "what is kept is bounded, and all have their turn"


def test_builds_without_the_field_and_with_it_read_each_other(monkeypatch):
    with router_harness.running() as harness:
        add_all(harness)
        new = harness.instance.compose_report()[0]
    content = codec.encode(new)
    spec = dict(report_structs.Report.thrift_spec)
    field = spec.pop(31)
    monkeypatch.setattr(report_structs.Report, "thrift_spec", spec)
    older = report_structs.Datagram()
    older.read(cybin.TCyBinaryProtocol(cymemory.TCyMemoryBuffer(content[4:])))
    assert older.report.instance == "m" and older.report.bounds_attempts is True
    without = codec.encode(new)
    monkeypatch.setattr(report_structs.Report, "thrift_spec", {**spec, 31: field})
    assert codec.decode(without).capacities == ()
    assert codec.decode(content).capacities == new.capacities


@pytest.mark.parametrize(("text", "expected"), [("", True), ("false", False), ('"no"', None)])
def test_setting_is_validated(tmp_path, text, expected):
    path = tmp_path / "settings.toml"
    setting = f"learnsCapacity = {text}\n" if text else ""
    path.write_text(setting + SETTINGS)
    result = platform_settings.read(path)
    if expected is None:
        assert "learnsCapacity" in result.error[0]
    else:
        assert result.ok.learns_capacity is expected


SETTINGS = """
nodeName = "a"
ipAddress = "10.1.0.25"
zone = "a"
internalPortRange = [7600, 7615]
listen = {frontend = "10.1.0.25:8221", ready = "10.1.0.25:8224"}
limits = {memoryMb = 150, fileDescriptors = 4100}
platform = {address = "10.200.1.7:8225"}
"""
