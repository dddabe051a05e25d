"""Invalid requests and faulty upstreams lead to the documented refusals and leak no resources."""

from __future__ import annotations

import json
import pathlib

import pytest
import yaml

from tests import caller
from tools import local_cluster

CASES = yaml.safe_load(pathlib.Path(__file__).with_name("refusals.yaml").read_text())


@pytest.mark.parametrize("case", CASES, ids=lambda case: case["name"])
def test_invalid_request(running: local_cluster.LocalCluster, case: dict[str, object]) -> None:
    """An invalid request is refused as not run, with the expected kind, and holds no resources."""
    body = str(case.get("body", "")) * int(str(case.get("repeat", 1)))
    headers = {str(key): str(value) for key, value in dict(case.get("headers", {})).items()}
    sender = caller.Caller(running, workspace=str(case.get("workspace", "head-office")))
    response = sender.send(str(case["method"]), str(case["path"]), body.encode(), **headers)
    assert (response.status, response.problem) == (case["status"], case["problem"])
    assert response.ran == "not_run"
    assert caller.eventually(lambda: caller.is_idle(running))


def test_headers_over_the_limit(running: local_cluster.LocalCluster) -> None:
    """Headers over the size limit are refused with status 431."""
    response = caller.Caller(running).send("GET", "/orders/17", X_Padding="y" * 40_000)
    assert (response.status, response.problem) == (431, "headers-too-large")


@pytest.mark.parametrize("fault", ["rubbish", "crossed", "half"])
def test_invalid_engine_response(running: local_cluster.LocalCluster, fault: str) -> None:
    """An invalid response of an engine is never passed on to the caller."""
    engines = [each.id for each in running.deployment.upstreams if each.role != "plain"]
    for each in engines:
        running.control(each, fault=fault)
    try:
        response = caller.Caller(running).complete()
        streamed = caller.Caller(running).complete(stream=True)
    finally:
        for each in engines:
            running.control(each, fault="")
    assert response.status in (502, 503)
    assert response.ran == "unknown"
    assert b"[DONE]" not in streamed.body
    assert caller.eventually(lambda: caller.is_idle(running))
    assert caller.eventually(lambda: caller.Caller(running).complete("after").status == 200)


def test_crossed_response_of_a_plain_service(running: local_cluster.LocalCluster) -> None:
    """A response that belongs to another request is not passed on."""
    services = [each.id for each in running.deployment.upstreams if each.role == "plain"]
    for each in services:
        running.control(each, fault="crossed")
    try:
        response = caller.Caller(running).send("GET", "/orders/17")
    finally:
        for each in services:
            running.control(each, fault="")
    assert response.problem == "upstream-answer-invalid"


def test_complete_response(running: local_cluster.LocalCluster) -> None:
    """A response that is not streamed contains every token and the usage."""
    response = caller.Caller(running).complete(max_tokens=4)
    document = json.loads(response.body)
    assert document["choices"][0]["text"] == "w0 w1 w2 w3 "
    assert document["usage"]["completion_tokens"] == 4


def test_credentials_are_not_forwarded(running: local_cluster.LocalCluster) -> None:
    """Credentials of callers are never forwarded to upstreams."""
    sender = caller.Caller(running)
    sender.send("GET", "/orders/17", Cookie="session=1")
    sender.complete()
    sender.book("key-check", sender.request_idempotency_key())
    reports = [running.control(each) for each in running.port_by_upstream]
    seen = [
        each.get("credentials_seen", each.get("counts", {}).get("credentials_seen", 0))
        for each in reports
    ]
    assert sum(seen) == 0
