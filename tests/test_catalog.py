"""The checks of configuration sets and settings files report every fault and its position."""

from __future__ import annotations

import pathlib

import pytest
import yaml

from carawaydoor import cli
from carawaydoor.operating import daemon_settings, exit_codes

CASES = yaml.safe_load(pathlib.Path(__file__).with_name("catalog.yaml").read_text())


@pytest.mark.parametrize("case", CASES["sets"], ids=lambda case: case["name"])
def test_faulty_configuration_set(
    case: dict[str, str], tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """Each fault is reported with file, line and field, and nothing is built."""
    (tmp_path / "set.yaml").write_text(case["text"])
    assert cli.check(tmp_path) == exit_codes.ExitCode.FAULTS_FOUND
    reported = capsys.readouterr().err.replace(str(tmp_path), "")
    for fault in case["faults"]:
        assert fault in reported
    assert len(reported.splitlines()) == len(case["faults"])
    assert cli.build(tmp_path, out=tmp_path / "out") == exit_codes.ExitCode.FAULTS_FOUND
    assert not (tmp_path / "out").exists()


@pytest.mark.parametrize("case", CASES["settings"], ids=lambda case: case["name"])
def test_faulty_settings(case: dict[str, str], tmp_path: pathlib.Path) -> None:
    """Each fault of a settings file is reported with file, line and field."""
    path = tmp_path / "settings.yaml"
    path.write_text(case["text"])
    result = daemon_settings.read(path)
    assert result.is_error()
    reported = [str(each).replace(str(tmp_path), "") for each in result.error]
    for fault in case["faults"]:
        assert any(fault in each for each in reported), reported


def test_build_increments_the_revision(tmp_path: pathlib.Path) -> None:
    """Each build writes the next revision, and a revision that is not higher is refused."""
    source = pathlib.Path(__file__).parent.parent / "examples" / "orden-claro"
    assert cli.build(source, out=tmp_path) == exit_codes.ExitCode.OK
    assert cli.build(source, out=tmp_path) == exit_codes.ExitCode.OK
    assert cli.build(source, out=tmp_path, revision=2) == exit_codes.ExitCode.USAGE
    assert '"revision": 2' in (tmp_path / "manifest.json").read_text()


def test_example_settings_are_valid() -> None:
    """The settings file of the example in the README has no faults."""
    path = pathlib.Path(__file__).parent.parent / "examples" / "one-instance" / "settings.yml"
    assert daemon_settings.read(path).is_ok()
