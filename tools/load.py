"""Sends a planned load to the instances of a fleet and records every outcome.

Runs as a process of its own: reads a plan as JSON, writes the outcomes as JSON.
"""

from __future__ import annotations

import argparse
import concurrent.futures
import dataclasses
import http.client
import itertools
import json
import pathlib
import random
import sys
import time
from collections.abc import Iterator
from typing import Any

import pydantic

from tools import idempotency_keys

MAX_THREADS = 400
TIMEOUT_S = 90.0
BOOKING_TRIES = 4
BOOKING_PAUSE_S = 0.2
BYTES_PER_TOKEN = 4
LOOPBACK = "127.0.0.1"


class Stream(pydantic.BaseModel):
    """Requests of one kind of one workspace.

    ``shared_tokens`` is the length of the prompt's beginning that all requests have in common.
    """

    workspace: str
    key: str
    kind: str
    path: str
    model: str = ""
    rate_per_s: float
    prompt_tokens: tuple[int, int] = (100, 100)
    max_tokens: tuple[int, int] = (50, 50)
    shared_tokens: int = 0


class Plan(pydantic.BaseModel):
    """A load: where to, for how long, which requests."""

    ports: tuple[int, ...]
    seed: int
    duration_s: float
    streams: tuple[Stream, ...]


class Outcome(pydantic.BaseModel):
    """What became of one request; times are in seconds, ``at_s`` counts from the start."""

    kind: str
    workspace: str
    at_s: float
    cost_tokens: int = 0
    status: int = 0
    problem: str = ""
    ran: str = ""
    whole: bool = False
    tokens: int = 0
    first_token_s: float = 0.0
    gap_p95_s: float = 0.0
    total_s: float = 0.0
    booking: str = ""
    tries: int = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """One request that is due."""

    at_s: float
    stream: Stream
    number: int
    prompt_tokens: int
    max_tokens: int


def arrivals(plan: Plan) -> Iterator[Arrival]:
    """Return all requests of a plan by the time they are due."""
    due: list[Arrival] = []
    for index, stream in enumerate(plan.streams):
        chance = random.Random(f"{plan.seed}-{index}")
        at_s = chance.expovariate(stream.rate_per_s)
        number = 0
        while at_s < plan.duration_s:
            prompt = chance.randint(*stream.prompt_tokens)
            due.append(Arrival(at_s, stream, number, prompt, chance.randint(*stream.max_tokens)))
            at_s += chance.expovariate(stream.rate_per_s)
            number += 1
    return iter(sorted(due, key=lambda each: each.at_s))


def run(plan: Plan) -> list[Outcome]:
    """Send every request of a plan at its time and return the outcomes."""
    started_s = time.monotonic()
    pending: list[concurrent.futures.Future[Outcome]] = []
    with concurrent.futures.ThreadPoolExecutor(MAX_THREADS) as executor:
        for position, arrival in enumerate(arrivals(plan)):
            time.sleep(max(0.0, started_s + arrival.at_s - time.monotonic()))
            ports = [*plan.ports[position % len(plan.ports) :], *plan.ports]
            pending.append(executor.submit(_send, arrival, ports[: len(plan.ports)]))
        return [each.result() for each in pending]


def _send(arrival: Arrival, ports: list[int]) -> Outcome:
    match arrival.stream.kind:
        case "completion":
            return _complete(arrival, ports)
        case "booking":
            return _book(arrival, ports)
        case _:
            return _read_status(arrival, ports)


def _connect(ports: list[int]) -> http.client.HTTPConnection:
    """Connect to the first instance that listens, as a balancer would."""
    for port in ports:
        connection = http.client.HTTPConnection(LOOPBACK, port, timeout=TIMEOUT_S)
        try:
            connection.connect()
        except ConnectionRefusedError:
            continue
        return connection
    raise ConnectionRefusedError("no instance listens")


def _complete(arrival: Arrival, ports: list[int]) -> Outcome:
    stream = arrival.stream
    outcome = Outcome(
        kind=stream.kind,
        workspace=stream.workspace,
        at_s=arrival.at_s,
        cost_tokens=arrival.prompt_tokens + arrival.max_tokens,
    )
    body = {
        "model": stream.model,
        "prompt": _prompt(arrival),
        "max_tokens": arrival.max_tokens,
        "stream": True,
    }
    started_s = time.monotonic()
    try:
        connection = _connect(ports)
        connection.request("POST", stream.path, json.dumps(body), _headers(stream))
        response = connection.getresponse()
        outcome.status = response.status
        if response.status == 200:
            _read_stream(response, outcome, started_s)
        else:
            _read_problem(response.read(), outcome)
        connection.close()
    except (OSError, http.client.HTTPException) as error:
        outcome.problem = type(error).__name__
    outcome.total_s = time.monotonic() - started_s
    return outcome


def _read_stream(response: http.client.HTTPResponse, outcome: Outcome, started_s: float) -> None:
    times: list[float] = []
    while line := response.readline():
        if not line.startswith(b"data: "):
            continue
        if line.startswith(b"data: [DONE]"):
            outcome.whole = True
            break
        event = json.loads(line[6:])
        if "error" in event:
            outcome.problem = event["error"]["type"].rpartition(":")[2]
            outcome.ran = event["error"]["ran"]
        elif event["choices"] and event["choices"][0].get("text"):
            times.append(time.monotonic())
    outcome.tokens = len(times)
    if times:
        outcome.first_token_s = times[0] - started_s
    gaps = sorted(after - before for before, after in itertools.pairwise(times))
    if gaps:
        outcome.gap_p95_s = gaps[int(0.95 * (len(gaps) - 1))]


def _book(arrival: Arrival, ports: list[int]) -> Outcome:
    """Book with one key, again through other instances until an answer says what became of it."""
    stream = arrival.stream
    key = idempotency_keys.uuid7(time.time(), random.SystemRandom())
    booking = f"{stream.workspace}-{key}"
    headers = {**_headers(stream), "Idempotency-Key": key}
    outcome = Outcome(
        kind=stream.kind, workspace=stream.workspace, at_s=arrival.at_s, booking=booking
    )
    started_s = time.monotonic()
    for outcome.tries in range(1, BOOKING_TRIES + 1):
        try:
            connection = _connect(ports[outcome.tries - 1 :] + ports)
            connection.request("POST", stream.path, json.dumps({"booking": booking}), headers)
            response = connection.getresponse()
            content = response.read()
            connection.close()
        except (OSError, http.client.HTTPException) as error:
            outcome.problem = type(error).__name__
            time.sleep(BOOKING_PAUSE_S)
            continue
        outcome.status = response.status
        outcome.whole = response.status == 201
        if outcome.whole:
            outcome.problem = ""
            break
        _read_problem(content, outcome)
        if response.status not in (409, 503):
            break
        time.sleep(BOOKING_PAUSE_S)
    outcome.total_s = time.monotonic() - started_s
    return outcome


def _read_status(arrival: Arrival, ports: list[int]) -> Outcome:
    stream = arrival.stream
    outcome = Outcome(kind=stream.kind, workspace=stream.workspace, at_s=arrival.at_s)
    started_s = time.monotonic()
    try:
        connection = _connect(ports)
        connection.request("GET", stream.path, headers=_headers(stream))
        response = connection.getresponse()
        content = response.read()
        outcome.status = response.status
        outcome.whole = response.status == 200
        if not outcome.whole:
            _read_problem(content, outcome)
        connection.close()
    except (OSError, http.client.HTTPException) as error:
        outcome.problem = type(error).__name__
    outcome.total_s = time.monotonic() - started_s
    return outcome


def _read_problem(content: bytes, outcome: Outcome) -> None:
    try:
        document: dict[str, Any] = json.loads(content)
    except ValueError:
        outcome.problem = "not-a-problem-document"
        return
    outcome.problem = str(document.get("type", "")).rpartition(":")[2]
    outcome.ran = str(document.get("ran", ""))


def _headers(stream: Stream) -> dict[str, str]:
    return {"Authorization": f"Bearer {stream.key}", "Content-Type": "application/json"}


def _prompt(arrival: Arrival) -> str:
    """Return a prompt whose beginning all requests of the workspace share."""
    stream = arrival.stream
    shared = min(stream.shared_tokens, arrival.prompt_tokens)
    start = f"{stream.workspace} ".ljust(BYTES_PER_TOKEN * shared, "s")[: BYTES_PER_TOKEN * shared]
    rest = BYTES_PER_TOKEN * (arrival.prompt_tokens - shared)
    return start + f"{arrival.number} ".ljust(rest, "r")[:rest]


def main() -> None:
    """Run a plan."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--plan", type=pathlib.Path, required=True)
    parser.add_argument("--out", type=pathlib.Path, required=True)
    options = parser.parse_args()
    sys.setswitchinterval(0.001)
    outcomes = run(Plan.model_validate_json(options.plan.read_bytes()))
    options.out.write_text(json.dumps([each.model_dump() for each in outcomes]))


if __name__ == "__main__":
    main()
