"""A configuration is checked before it is sent, by the rules of the instance, and without secrets.

Guards against a check that differs from what instances accept, and against entries without effect.
"""

from __future__ import annotations

import copy
import json
import pathlib
import tempfile

import hypothesis
import pytest
import yaml
from hypothesis import strategies as st

from carawaydoor import cli
from carawaydoor.platform import store_documents
from carawaydoor.publishing import configuration_report, findings

SECRET = "secret-key-1"
MEMORY_BYTES = 88_000_000
ROUTE = {"host": "a.example", "pathPrefix": "/a/", "kind": "safe", "service": "s"}
SOUND = {
    "version": 1,
    "routes": [
        {**ROUTE, "timeoutMs": 1000, "targetLatencyMs": 200},
        {**ROUTE, "pathPrefix": "/b/", "kind": "streaming", "service": "t"},
    ],
    "services": [{"name": "s"}, {"name": "t"}],
    "tenants": [
        {"name": "v", "apiKeys": [SECRET], "ratePerS": 1.0, "burst": 2.0},
        {"name": "w", "apiKeys": ["secret-key-2"]},
    ],
}
REMOVED = object()


def changed(document, path, value):
    result = copy.deepcopy(document)
    target = result
    *parents, last = path
    for part in parents:
        target = target[part]
    if value is REMOVED:
        del target[last]
    else:
        target[last] = value
    return result


def create(document, before=None):
    with tempfile.TemporaryDirectory() as directory:
        paths = [pathlib.Path(directory, name) for name in ("new.json", "before.json")]
        paths[0].write_text(json.dumps(document))
        paths[1].write_text(json.dumps(before))
        in_force = paths[1] if before else None
        return configuration_report.create(paths[0], in_force, MEMORY_BYTES, 8.0)


def test_sound_configuration_has_no_findings():
    assert create(SOUND, SOUND) == configuration_report.Report((), (), 6)


BREAKS = [
    (("version",), "one"),
    (("routes",), REMOVED),
    (("routes", 1, "kind"), "other"),
    (("routes", 0, "timeoutMs"), -1),
    (("routes", 0, "host"), REMOVED),
    (("services", 1, "name"), 5),
    (("tenants", 0, "apiKeys"), [7]),
    (("tenants", 1, "ratePerS"), "many"),
]


@hypothesis.given(st.lists(st.sampled_from(BREAKS), min_size=1, unique_by=lambda each: each[0][0]))
def test_every_mutation_that_breaks_a_configuration_is_named(breaks):
    document = SOUND
    for path, value in breaks:
        document = changed(document, path, value)
    with pytest.raises(store_documents.DocumentError):
        store_documents.decode_configuration(json.dumps(document).encode(), 1)
    found = create(document).found
    assert {each.kind for each in found} == {findings.FindingKind.INVALID}
    for path, _ in breaks:
        expected = ".".join(str(part) for part in path)
        assert any(each.path.startswith(expected) for each in found)


NAMES = st.sampled_from(["", "a", "b", "a:80", "/a", "/a?", SECRET])
NUMBERS = st.sampled_from([0, 1, 5, 1000, 10**7])
ROUTES = st.fixed_dictionaries(
    {"host": NAMES, "pathPrefix": NAMES, "kind": st.sampled_from(["safe", "unsafe", "streaming"])},
    optional={
        "service": NAMES,
        "timeoutMs": NUMBERS,
        "targetLatencyMs": NUMBERS,
        "targetGapMs": NUMBERS,
        "priority": st.integers(-3, 3),
        "trafficSplit": st.lists(st.fixed_dictionaries({"service": NAMES, "weight": NUMBERS})),
    },
)
TENANTS = st.fixed_dictionaries(
    {"name": st.sampled_from(["v", "w"])},
    optional={
        "apiKeys": st.lists(st.sampled_from(["", "secret-x", "secret-y"])),
        "unit": st.sampled_from(["tokens", "requests", "other"]),
        "ratePerS": NUMBERS,
        "burst": NUMBERS,
        "uncachedTokens": NUMBERS,
    },
)
DOCUMENTS = st.fixed_dictionaries(
    {
        "version": NUMBERS,
        "routes": st.lists(ROUTES, max_size=5),
        "services": st.lists(st.fixed_dictionaries({"name": NAMES}), max_size=4),
    },
    optional={
        "tenants": st.none() | st.lists(TENANTS, max_size=4),
        "limits": st.fixed_dictionaries({"maxBodyBytes": NUMBERS, "maxHeaderBytes": NUMBERS}),
    },
)


@hypothesis.settings(max_examples=60)
@hypothesis.given(DOCUMENTS, DOCUMENTS)
def test_accepted_configuration_passes_without_errors(before, after):
    store_documents.decode_configuration(json.dumps(after).encode(), 1)
    report = create(after, before)
    assert findings.FindingKind.INVALID not in {each.kind for each in report.found}
    printed = json.dumps(findings.to_document(report.found, report.differences))
    assert "secret-x" not in printed and "secret-y" not in printed
    assert create(after, after).differences == ()


@pytest.mark.parametrize(
    ("path", "value", "expected"),
    [
        (("routes", 1, "pathPrefix"), "/a/", "routes.1"),
        (("routes", 1, "pathPrefix"), "a/", "routes.1.pathPrefix"),
        (("routes", 1, "host"), "a:80", "routes.1.host"),
        (("routes", 1, "service"), REMOVED, "routes.1"),
        (("routes", 1, "service"), "x", "services.1"),
        (("routes", 0, "targetLatencyMs"), 2000, "routes.0.targetLatencyMs"),
        (("routes", 1), {**SOUND["routes"][0], "pathPrefix": "/c", "priority": 1}, "routes.1.pri"),
        (("tenants", 1, "apiKeys"), [SECRET], "tenants.1.apiKeys.0"),
        (("tenants", 1, "apiKeys"), [], "tenants.1.apiKeys"),
        (("tenants", 1, "name"), "v", "tenants.1.name"),
        (("tenants", 0, "unit"), "bytes", "tenants.0.unit"),
        (
            ("tenants", 0),
            {**SOUND["tenants"][0], "ratePerS": 0.01, "burst": 0.1},
            "tenants.0.burst",
        ),
        (("limits",), {"maxBodyBytes": 20_000_000}, "limits.maxBodyBytes"),
    ],
)
def test_entry_without_effect_is_named(path, value, expected):
    found = create(changed(SOUND, path, value)).found
    assert any(each.path.startswith(expected) for each in found), found
    assert SECRET not in "".join(map(str, found))


@pytest.mark.parametrize(
    ("path", "value", "expected"),
    [
        (("routes", 1), REMOVED, "route a.example/b/: removed: its callers get"),
        (("routes", 0, "timeoutMs"), 500, "timeoutMs from 1000.0 to 500.0"),
        (("tenants", 1), REMOVED, "workspace w: removed: callers with its keys get 401"),
        (("tenants", 0, "apiKeys"), ["secret-3"], "1 of its keys are withdrawn"),
        (("tenants",), None, "tenants: removed: every caller is served"),
    ],
)
def test_difference_names_entry_and_effect(path, value, expected):
    differences = [str(each) for each in create(changed(SOUND, path, value), SOUND).differences]
    assert any(expected in each for each in differences), differences
    assert "secret" not in "".join(differences)


def test_exit_codes_and_forms(tmp_path, capsys):
    path = tmp_path / "config.json"
    path.write_text(json.dumps(SOUND))
    assert cli.check(path, as_json=True) == 0
    assert json.loads(capsys.readouterr().out) == {"findings": [], "differences": []}
    path.write_text(json.dumps(changed(SOUND, ("tenants", 1, "apiKeys"), [SECRET])))
    assert cli.check(path, as_json=True) == 1
    printed = capsys.readouterr().out
    assert json.loads(printed)["findings"][0]["path"] == "tenants.1.apiKeys.0"
    assert SECRET not in printed
    path.write_text('{"version": 1, "routes": [' + SECRET)
    assert [cli.check(path), cli.check(tmp_path / "none")] == [2, 2]
    assert cli.check(path, in_force=tmp_path) == 2
    assert SECRET not in capsys.readouterr().err


def test_directory_is_compared_by_object(tmp_path, capsys):
    for name, share in (("before", 0.05), ("after", 0.06)):
        (tmp_path / name).mkdir()
        objects = [{"kind": "failure_domain", "name": "a", "standing_share": share}]
        if name == "after":
            objects.append({"kind": "service", "name": "s"})
        (tmp_path / name / "set.yaml").write_text(yaml.safe_dump_all(objects))
    assert cli.check(tmp_path / "after", in_force=tmp_path / "before") == 1
    printed = capsys.readouterr()
    assert "nothing refers to service 's'" in printed.err
    assert "failure_domain a: changed: standing_share from 0.05 to 0.06" in printed.out
