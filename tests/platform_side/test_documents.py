"""Configuration, server entries and settings as the platform writes them."""

from __future__ import annotations

import json
import pathlib
import subprocess
import sys

import pytest
import yaml
from hypothesis import given
from hypothesis import strategies as st

from carawaydoor.platform import platform_settings, store_documents
from carawaydoor.policy import entities

CASES = yaml.safe_load(pathlib.Path(__file__).with_name("documents.yaml").read_text())


def with_changes(base, changes):
    result = {**base, **(changes or {})}
    return {key: value for key, value in result.items() if value != "REMOVED"}


@pytest.mark.parametrize("case", CASES["servers"], ids=lambda case: case["name"])
def test_server_entry(case):
    content = (
        case.get("content", "").encode()
        or json.dumps(with_changes(CASES["server"], case.get("change"))).encode()
    )
    if "fault" in case:
        with pytest.raises(store_documents.DocumentError, match=case["fault"]):
            store_documents.decode_server("i-1", content)
        return
    upstream = store_documents.decode_server("i-1", content)
    for field, expected in case["expect"].items():
        value = getattr(upstream, field)
        assert (value.value if isinstance(value, entities.Stage) else value) == expected


@given(st.binary(max_size=200))
def test_rubbish_is_no_entry(content):
    with pytest.raises(store_documents.DocumentError):
        store_documents.decode_server("i-1", content)


@pytest.mark.parametrize("case", CASES["configurations"], ids=lambda case: case["name"])
def test_configuration(case):
    document = with_changes(CASES["configuration"], case.get("change"))
    content = json.dumps(document).encode()
    if "fault" in case:
        with pytest.raises(store_documents.DocumentError, match=case["fault"]):
            store_documents.decode_configuration(content, 3)
        return
    configuration = store_documents.decode_configuration(content, 3)
    routes = configuration.routes_by_host["a.example"]
    assert [each.path_prefix for each in routes] == case["prefixes"]
    assert [each.kind.value for each in routes] == case["route_kinds"]
    assert sorted(configuration.workspace_by_key) == case["keys"]
    assert configuration.has_workspaces is case["has_workspaces"]


def test_configuration_is_converted_to_internal_units():
    content = json.dumps(CASES["configuration"]).encode()
    configuration = store_documents.decode_configuration(content, 3)
    route = configuration.routes_by_host["a.example"][0]
    assert (route.timeout_s, route.target_s, route.target_gap_s) == (14.0, 0.9, 0.3)
    engine = configuration.service_by_name["planner"].engine_spec
    assert engine is not None
    assert (engine.link_bytes_per_s, engine.handle_ttl_s) == (68.75e9, 0.5)
    assert configuration.limits == entities.Limits(16384, 4194304, 3.0, 15.0)
    assert configuration.workspace_by_key["k1"].tokens_per_s == 47000.0


@pytest.mark.parametrize("case", CASES["settings"], ids=lambda case: case["name"])
def test_settings(case, tmp_path):
    path = tmp_path / "settings.toml"
    text = CASES["settings_text"]
    for old, new in (case.get("replace") or {}).items():
        assert old in text
        text = text.replace(old, new)
    path.write_text(text)
    result = platform_settings.read(path)
    if "fault" in case:
        assert result.is_error()
        assert any(case["fault"] in fault for fault in result.error), result.error
        return
    assert result.is_ok(), result.error
    assert str(result.ok.front) == "10.1.0.25:8221"
    assert result.ok.bounds.withdrawal_s == 5.0
    assert result.ok.bounds.grace_s == 8.0
    assert [str(each) for each in result.ok.seeds] == ["10.1.0.25:8229", "10.2.0.17:8229"]


def test_missing_settings_file_is_a_fault(tmp_path):
    assert platform_settings.read(tmp_path / "none.toml").is_error()


def test_daemon_prints_every_fault_and_exits_with_code_3(tmp_path):
    path = tmp_path / "settings.toml"
    path.write_text("nodeName = ''\n")
    run = subprocess.run(
        [sys.executable, "-m", "carawaydoor.platformd"],
        env={"CARAWAYDOOR_SETTINGS": str(path), "PYTHONPATH": "src"},
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    assert run.returncode == 3
    assert "nodeName" in run.stderr
    assert "listen" in run.stderr


def test_sighup_during_imports_does_not_end_the_process():
    """A SIGHUP during the imports ended a process that had just been restarted."""
    program = """
import os, signal, sys

class HangUp:
    def find_spec(self, name, path=None, target=None):
        if name == "eliot":
            os.kill(os.getpid(), signal.SIGHUP)

sys.meta_path.insert(0, HangUp())
import carawaydoor.platformd
print("alive")
"""
    run = subprocess.run(
        [sys.executable, "-c", program],
        env={"PYTHONPATH": "src"},
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    assert (run.returncode, run.stdout) == (0, "alive\n")
