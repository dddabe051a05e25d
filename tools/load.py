"""Sends a planned load to instances and records the outcome of each request.

Runs as a separate process that reads the plan and writes the outcomes as JSON.
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

MAX_SENDER_THREADS = 400
RESPONSE_TIMEOUT_S = 90.0
MAX_BOOKING_ATTEMPTS = 4
BOOKING_RETRY_DELAY_S = 0.2
BYTES_PER_TOKEN = 4
LOOPBACK = "127.0.0.1"


class Stream(pydantic.BaseModel):
    """Requests of one kind from one workspace.

    :ivar key: API key of the workspace
    :ivar kind: ``completion``, ``booking`` or ``status``
    :ivar rate_per_s: mean rate of a Poisson process
    :ivar prompt_tokens: smallest and largest prompt length
    :ivar max_tokens: smallest and largest ``max_tokens`` of a request
    :ivar shared_tokens: length of the prompt prefix that all requests have in common
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
    """A load to send.

    :ivar ports: caller ports of the instances
    """

    ports: tuple[int, ...]
    seed: int
    duration_s: float
    streams: tuple[Stream, ...]


class Outcome(pydantic.BaseModel):
    """The outcome of one request.

    :ivar at_s: planned time of the request since the start of the load
    :ivar cost_tokens: prompt length plus ``max_tokens``
    :ivar status: status of the last response, 0 without one
    :ivar problem: kind of the refusal or name of the connection error, empty on success
    :ivar ran: whether the request ran, as the refusal states it
    :ivar whole: whether the answer was successful and complete
    :ivar tokens: number of tokens received
    :ivar gap_p95_s: 95th percentile of the times between two tokens
    :ivar booking: name of the booking, unique over all requests
    :ivar tries: number of attempts
    """

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
class PlannedRequest:
    """A request of a plan.

    :ivar at_s: time since the start of the load at which it is sent
    :ivar number: position in its stream
    """

    at_s: float
    stream: Stream
    number: int
    prompt_tokens: int
    max_tokens: int


def plan_requests(plan: Plan) -> Iterator[PlannedRequest]:
    """Return all requests of a plan in the order of their times."""
    requests: list[PlannedRequest] = []
    for index, stream in enumerate(plan.streams):
        rng = random.Random(f"{plan.seed}-{index}")
        at_s = rng.expovariate(stream.rate_per_s)
        number = 0
        while at_s < plan.duration_s:
            prompt = rng.randint(*stream.prompt_tokens)
            requests.append(
                PlannedRequest(at_s, stream, number, prompt, rng.randint(*stream.max_tokens))
            )
            at_s += rng.expovariate(stream.rate_per_s)
            number += 1
    return iter(sorted(requests, key=lambda each: each.at_s))


def run(plan: Plan) -> list[Outcome]:
    """Send each request of a plan at its time and return the outcomes."""
    started_s = time.monotonic()
    pending: list[concurrent.futures.Future[Outcome]] = []
    with concurrent.futures.ThreadPoolExecutor(MAX_SENDER_THREADS) as executor:
        for index, request in enumerate(plan_requests(plan)):
            time.sleep(max(0.0, started_s + request.at_s - time.monotonic()))
            ports = [*plan.ports[index % len(plan.ports) :], *plan.ports]
            pending.append(executor.submit(_send_request, request, ports[: len(plan.ports)]))
        return [each.result() for each in pending]


def _send_request(request: PlannedRequest, ports: list[int]) -> Outcome:
    match request.stream.kind:
        case "completion":
            return _send_completion(request, ports)
        case "booking":
            return _send_booking(request, ports)
        case _:
            return _send_status_read(request, ports)


def _connect(ports: list[int]) -> http.client.HTTPConnection:
    """Connect to the first port that accepts, as a load balancer would.

    :raises ConnectionRefusedError: if all ports refuse
    """
    for port in ports:
        connection = http.client.HTTPConnection(LOOPBACK, port, timeout=RESPONSE_TIMEOUT_S)
        try:
            connection.connect()
        except ConnectionRefusedError:
            continue
        return connection
    raise ConnectionRefusedError("all instances refused the connection")


def _send_completion(request: PlannedRequest, ports: list[int]) -> Outcome:
    stream = request.stream
    outcome = Outcome(
        kind=stream.kind,
        workspace=stream.workspace,
        at_s=request.at_s,
        cost_tokens=request.prompt_tokens + request.max_tokens,
    )
    body = {
        "model": stream.model,
        "prompt": _prompt(request),
        "max_tokens": request.max_tokens,
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
    token_times_s: list[float] = []
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
            token_times_s.append(time.monotonic())
    outcome.tokens = len(token_times_s)
    if token_times_s:
        outcome.first_token_s = token_times_s[0] - started_s
    gaps_s = sorted(after - before for before, after in itertools.pairwise(token_times_s))
    if gaps_s:
        outcome.gap_p95_s = gaps_s[int(0.95 * (len(gaps_s) - 1))]


def _send_booking(request: PlannedRequest, ports: list[int]) -> Outcome:
    """Send a booking until a response states its outcome.

    After a connection error, 409 or 503 it is retried through the next instance with the same
    idempotency key.
    """
    stream = request.stream
    key = idempotency_keys.uuid7(time.time(), random.SystemRandom())
    booking = f"{stream.workspace}-{key}"
    headers = {**_headers(stream), "Idempotency-Key": key}
    outcome = Outcome(
        kind=stream.kind, workspace=stream.workspace, at_s=request.at_s, booking=booking
    )
    started_s = time.monotonic()
    for outcome.tries in range(1, MAX_BOOKING_ATTEMPTS + 1):
        try:
            connection = _connect(ports[outcome.tries - 1 :] + ports)
            connection.request("POST", stream.path, json.dumps({"booking": booking}), headers)
            response = connection.getresponse()
            content = response.read()
            connection.close()
        except (OSError, http.client.HTTPException) as error:
            outcome.problem = type(error).__name__
            time.sleep(BOOKING_RETRY_DELAY_S)
            continue
        outcome.status = response.status
        outcome.whole = response.status == 201
        if outcome.whole:
            outcome.problem = ""
            break
        _read_problem(content, outcome)
        if response.status not in (409, 503):
            break
        time.sleep(BOOKING_RETRY_DELAY_S)
    outcome.total_s = time.monotonic() - started_s
    return outcome


def _send_status_read(request: PlannedRequest, ports: list[int]) -> Outcome:
    stream = request.stream
    outcome = Outcome(kind=stream.kind, workspace=stream.workspace, at_s=request.at_s)
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


def _prompt(request: PlannedRequest) -> str:
    """Return a prompt that starts with the shared prefix of its stream."""
    stream = request.stream
    shared_tokens = min(stream.shared_tokens, request.prompt_tokens)
    prefix = f"{stream.workspace} ".ljust(BYTES_PER_TOKEN * shared_tokens, "s")[
        : BYTES_PER_TOKEN * shared_tokens
    ]
    suffix_bytes = BYTES_PER_TOKEN * (request.prompt_tokens - shared_tokens)
    return prefix + f"{request.number} ".ljust(suffix_bytes, "r")[:suffix_bytes]


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
