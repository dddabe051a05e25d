"""Documents in the fake store, and waiting for their effect."""

from __future__ import annotations

import pathlib
import time

import yaml

from carawaydoor.platform import names

CASES = yaml.safe_load(pathlib.Path(__file__).with_name("documents.yaml").read_text())
WAIT_TIMEOUT_S = 10.0


def put_server(store, number, **changes):
    entry = {**CASES["server"], "address": f"10.0.0.{number}:80", **changes}
    return store.put(f"{names.SERVERS_PREFIX}i-{number}", entry)


def wait_until(condition):
    deadline_s = time.monotonic() + WAIT_TIMEOUT_S
    while not condition():
        assert time.monotonic() < deadline_s, "the condition was not met in time"
        time.sleep(0.01)
