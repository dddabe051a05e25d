"""Failures of real processes: what must always hold, seen by callers and upstreams."""

from __future__ import annotations

import http.client
import json
import threading
import time
from collections.abc import Iterator

import pytest

from standins import engine
from tests import caller
from tools import deployments, load_runner, local_cluster

ENOUGH_TOKENS = 8000
PROMPT = "hello " * 1500


@pytest.fixture
def running() -> Iterator[local_cluster.LocalCluster]:
    """A small deployment of its own for each test."""
    with local_cluster.LocalCluster(deployments.SMALL) as started:
        assert caller.eventually(
            lambda: caller.budget(started, "head-office") > ENOUGH_TOKENS
            and caller.budget(started, "rosario") > ENOUGH_TOKENS
        )
        yield started


def test_nothing_stays_held_when_callers_go(running: local_cluster.LocalCluster) -> None:
    """A caller that goes at any stage leaves no slot, KV cache, lease or request behind."""
    sender = caller.Caller(running)
    for wait_s in (0.0, 0.05, 0.2, 0.4, 0.6):
        connection = sender.stream(PROMPT, max_tokens=400)
        time.sleep(wait_s)
        connection.close()
    reading = sender.stream("short", max_tokens=400)
    reading.getresponse().readline()
    reading.sock.close() if reading.sock else reading.close()
    assert caller.eventually(lambda: caller.holds_nothing(running))


def test_withdrawn_key_stops_working(running: local_cluster.LocalCluster) -> None:
    """A withdrawn key stops within seconds, on new requests and on an open stream."""
    sender = caller.Caller(running, workspace="rosario")
    open_stream = sender.stream(max_tokens=400)
    response = open_stream.getresponse()
    assert response.status == 200
    response.readline()
    running.publish_configuration(withdrawn=("rosario",))
    assert caller.eventually(lambda: sender.send("GET", "/orders/1").problem == "key-withdrawn")
    rest = response.read()
    assert b"key-withdrawn" in rest
    assert b"[DONE]" not in rest
    assert caller.Caller(running, workspace="salta").send("GET", "/orders/1").status == 200
    assert caller.eventually(lambda: caller.holds_nothing(running))


def test_withdrawal_reaches_instances_cut_off_from_the_platform(
    running: local_cluster.LocalCluster,
) -> None:
    """A revision that one instance has seen comes in force at all; none goes back."""
    running.control("platform", stale=True)
    running.publish_configuration(withdrawn=("rosario",))
    sender = caller.Caller(running, workspace="rosario")
    time.sleep(1.0)
    assert sender.send("GET", "/orders/1").status == 200
    running.control("platform", stale=False)
    assert caller.eventually(lambda: sender.send("GET", "/orders/1").status == 401)


def test_restart_under_a_stale_platform_keeps_the_revision(
    running: local_cluster.LocalCluster,
) -> None:
    """An instance that starts while the platform shows an old revision serves the newest."""
    stale = (running.directory / "config" / "manifest.json").read_bytes()
    number = running.publish_configuration(withdrawn=("rosario",))
    assert caller.eventually(
        lambda: all(
            caller.status(running, each)["configuration_revision"] == number
            for each in running.ports_by_instance
        )
    )
    (running.directory / "config" / "manifest.json").write_bytes(stale)
    running.kill("oc-i2")
    running.start_instance("oc-i2")
    running.wait_ready(local_cluster.START_TIMEOUT_S)
    assert caller.status(running, "oc-i2")["configuration_revision"] == number
    sender = caller.Caller(running, "oc-i2", "rosario")
    assert sender.send("GET", "/orders/1").problem == "key-withdrawn"


def test_graceful_shutdown_cuts_off_no_request(running: local_cluster.LocalCluster) -> None:
    """An instance that is told to stop finishes its answers and refuses the rest truly."""
    sender = caller.Caller(running, "oc-i2")
    bodies: list[bytes] = []

    def read() -> None:
        response = sender.stream(max_tokens=60).getresponse()
        bodies.append(response.read())

    readers = [threading.Thread(target=read) for _ in range(8)]
    for each in readers:
        each.start()
    time.sleep(0.3)
    assert running.terminate("oc-i2") == 0
    for each in readers:
        each.join()
    assert [each.count(b'"text"') for each in bodies] == [60] * 8
    assert all(b"[DONE]" in each for each in bodies)
    assert caller.eventually(lambda: caller.Caller(running).complete().status == 200)
    assert caller.eventually(lambda: caller.engines_hold(running) == 0)


def test_instances_share_one_budget(running: local_cluster.LocalCluster) -> None:
    """What all instances admit together stays within the workspace's burst and rate."""
    tokens, seconds = 3000, 4.0
    limit = load_runner.limits(running.deployment)["rosario"]
    admitted: list[int] = []
    began_s = time.monotonic()

    def send(instance: str) -> None:
        sender = caller.Caller(running, instance, "rosario")
        while time.monotonic() < began_s + seconds:
            reply = sender.complete("x" * 4 * (tokens - 5), max_tokens=5)
            admitted.extend([tokens] * (reply.status == 200))

    senders = [threading.Thread(target=send, args=(each,)) for each in running.ports_by_instance]
    for each in senders:
        each.start()
    for each in senders:
        each.join()
    length_s = time.monotonic() - began_s
    assert ENOUGH_TOKENS <= sum(admitted) <= limit.burst + limit.rate_per_s * length_s


def test_leaving_upstream_gets_nothing_new(running: local_cluster.LocalCluster) -> None:
    """An upstream that is published as leaving gets no new work after a few seconds."""
    running.mark_leaving("planning-3")
    running.mark_leaving("booking-1")
    time.sleep(2.0)
    before = running.control("planning-3")["counts"].get("decodes", 0)
    reads = running.control("booking-1")["reads"]
    sender = caller.Caller(running)
    assert all(sender.complete().status == 200 for _ in range(6))
    assert all(sender.send("GET", "/orders/1").status == 200 for _ in range(6))
    assert running.control("planning-3")["counts"].get("decodes", 0) == before
    assert running.control("booking-1")["reads"] == reads


def test_request_that_kills_takes_down_two_upstreams_at_most() -> None:
    """A request that crashes upstreams, sent again through all instances, is suspended."""
    problems: list[str] = []
    with local_cluster.LocalCluster(deployments.BOEKENKAST) as running:
        assert caller.eventually(lambda: caller.budget(running, "gent") > ENOUGH_TOKENS)
        for instance in running.ports_by_instance:
            sender = caller.Caller(running, instance, "gent")
            problems.append(sender.complete(engine.CRASH_PROMPT, model="summary").problem)
        down = [name for name, each in running.process_by_name.items() if each.poll() is not None]
    assert len(down) == 2
    assert problems[-1] == "request-suspended"


def test_booking_repeated_after_its_home_died_runs_once(
    running: local_cluster.LocalCluster,
) -> None:
    """A booking whose instance dies while it runs is not run again elsewhere."""
    for each in ("booking-1", "booking-2"):
        running.control(each, delay_s=1.0)
    key = caller.Caller(running, "oc-i1").fresh_key()
    errors: list[Exception] = []

    def book() -> None:
        try:
            caller.Caller(running, "oc-i2").book("once", key)
        except (OSError, http.client.HTTPException) as error:
            errors.append(error)

    first = threading.Thread(target=book)
    first.start()
    time.sleep(0.3)
    running.kill("oc-i1")
    first.join()
    again = caller.Caller(running, "oc-i3").book("once", key)
    assert (again.ran, again.status) != ("not_run", 200)
    assert again.ran == "unknown"
    runs = [running.control(each)["runs"].get("once", 0) for each in ("booking-1", "booking-2")]
    assert sum(runs) == 1


def test_booking_is_replayed_through_every_instance(running: local_cluster.LocalCluster) -> None:
    """A repeated booking gets the first answer, through whichever instance it comes."""
    key = caller.Caller(running, "oc-i1").fresh_key()
    replies = [
        caller.Caller(running, each).book("twice", key) for each in ("oc-i1", "oc-i2", "oc-i3")
    ]
    assert [each.status for each in replies] == [201, 201, 201]
    assert len({json.loads(each.body)["number"] for each in replies}) == 1
    other = caller.Caller(running).book("other", key)
    assert other.problem == "idempotency-key-reused"
    stranger = caller.Caller(running, workspace="salta").book("twice", key)
    assert stranger.problem == "idempotency-key-unverifiable"


def test_engine_death_ends_streams_truly(running: local_cluster.LocalCluster) -> None:
    """A stream whose engine dies ends with a refusal, never as if it were whole."""
    streams = [caller.Caller(running).stream(max_tokens=300) for _ in range(4)]
    responses = [each.getresponse() for each in streams]
    assert [each.status for each in responses] == [200] * 4
    for each in responses:
        each.readline()
    running.kill("planning-3")
    running.kill("planning-4")
    bodies = [each.read() for each in responses]
    assert all(b"upstream-failed" in each and b"[DONE]" not in each for each in bodies)


def test_streams_outlive_one_engine(running: local_cluster.LocalCluster) -> None:
    """A stream whose engine dies goes on at another one, under one id and with true usage."""
    streams = [caller.Caller(running).stream(f"prompt {n}", max_tokens=120) for n in range(6)]
    responses = [each.getresponse() for each in streams]
    assert [each.status for each in responses] == [200] * 6
    for each in responses:
        each.readline()
    running.kill("planning-3")
    for each in responses:
        body = each.read()
        events = [json.loads(line[6:]) for line in body.split(b"\n\n") if b'"id"' in line]
        texts = [event for event in events if event["choices"]]
        assert body.endswith(b"data: [DONE]\n\n")
        assert len({event["id"] for event in events}) == 1
        assert len(texts) == 119, "one event was read before"
        assert events[-1]["usage"]["completion_tokens"] == 120
    assert caller.eventually(lambda: caller.engines_hold(running) == 0)


def test_platform_outage_stops_nothing(running: local_cluster.LocalCluster) -> None:
    """While the platform is down for all, every instance goes on serving."""
    running.control("platform", down=True)
    time.sleep(4.0)
    for each in running.ports_by_instance:
        assert caller.Caller(running, each).complete().status == 200
        assert caller.Caller(running, each).send("GET", "/orders/1").status == 200


def test_upstreams_that_never_answer(running: local_cluster.LocalCluster) -> None:
    """Silent upstreams end in typed refusals, and nothing stays held once they run again."""
    silent = [each.id for each in running.deployment.upstreams if each.role != "decode"]
    for each in silent:
        running.pause(each)
    replies: dict[str, caller.Reply] = {}

    def send(name: str) -> None:
        sender = caller.Caller(running)
        if name == "status":
            replies[name] = sender.send("GET", "/orders/1")
        else:
            replies[name] = sender.complete("silence")

    senders = [threading.Thread(target=send, args=(name,)) for name in ("status", "model")]
    for sender in senders:
        sender.start()
    for sender in senders:
        sender.join()
    for each in silent:
        running.resume(each)
    assert replies["status"].problem == "deadline-exceeded"
    assert replies["status"].ran == "unknown"
    assert replies["model"].status in (503, 504)
    assert replies["model"].ran == "unknown"
    assert caller.eventually(lambda: caller.holds_nothing(running))
