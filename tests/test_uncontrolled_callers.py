"""Callers whose requests have no end exhaust neither memory nor descriptors of ``carawaydoord``.

Regression: bodies were bounded one by one, at four times the configured size, and not together.
"""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from tests import caller
from tests.platform_side import crowd
from tools import deployments, local_cluster

MAX_BODY_BYTES = 1_000_000
THREADS = 8
# One more than the connections that an instance with so many threads accepts.
CALLERS = 4 * THREADS + 1
# Beyond the memory of an idle instance: a whole body for each thread, and the buffers of the rest.
MAX_GROWTH_BYTES = (THREADS + 6) * MAX_BODY_BYTES
MAX_DESCRIPTORS = 100
INSTANCE = "oc-i1"
# No bound of a test: only ends the call of an instance that never answers.
CALL_TIMEOUT_S = 15.0


def create_head(running: local_cluster.LocalCluster) -> bytes:
    key = running.deployment.key("head-office")
    return f"POST /orders/17 HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer {key}\r\n".encode()


CASES = {
    "whole": lambda head: crowd.announced(head, MAX_BODY_BYTES - 1, MAX_BODY_BYTES - 2, 65_536),
    "large-chunks": lambda head: crowd.chunked(head, MAX_BODY_BYTES - 70_000, 65_536),
    "small-chunks": lambda head: crowd.chunked(head, MAX_BODY_BYTES - 70_000, 64),
    "over-announced": lambda head: crowd.announced(head, 3_900_000, 3_800_000, 65_536),
    "over-sent": lambda head: crowd.chunked(head, 8_000_000, 65_536),
    "heads": lambda head: crowd.endless_head(head, 20_000),
}


@pytest.fixture(scope="module")
def limited() -> Iterator[local_cluster.LocalCluster]:
    settings = {"threads": THREADS, "max_model_requests": 4, "max_body_bytes": MAX_BODY_BYTES}
    with local_cluster.LocalCluster(deployments.SMALL, instance_settings=settings) as started:
        yield started


@pytest.mark.parametrize("kind", CASES)
def test_callers_exhaust_nothing(limited: local_cluster.LocalCluster, kind: str) -> None:
    limited.kill(INSTANCE)
    limited.start_instance(INSTANCE)
    limited.wait_ready(20.0)
    process = limited.process_by_name[INSTANCE]
    address = (local_cluster.LOOPBACK, limited.ports_by_instance[INSTANCE].caller)
    head = create_head(limited)
    crowd.check(
        process,
        [(address, CASES[kind](head)) for _ in range(CALLERS)],
        crowd.resident_bytes(process.pid) + MAX_GROWTH_BYTES,
        MAX_DESCRIPTORS,
        lambda: call(limited),
    )


def call(running: local_cluster.LocalCluster) -> int:
    """Send an ordinary request and return the status of its response, 0 for none."""
    try:
        return (
            caller.Caller(running, INSTANCE, timeout_s=CALL_TIMEOUT_S)
            .send("GET", "/orders/17")
            .status
        )
    except OSError:
        return 0
