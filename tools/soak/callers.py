"""Callers that reuse a connection until the instance closes it."""

from __future__ import annotations

import contextlib
import dataclasses
import http.client
import random
import re
import threading
import time
import uuid
from typing import Final

from carawaydoor.platform import names
from tools.soak import soak_environment

REQUEST_TIMEOUT_S: Final = 4.0
MEAN_PAUSE_S: Final = 0.04
MAX_CHUNK_BYTES: Final = 65_536
SUCCESS: Final = 200
_EVENT_ID: Final = re.compile(rb"id: (\d+)\n[^\n]*\n\n")
_PATHS: Final = ("/safe/x", "/unsafe/x", "/unsafe/x", "/stream/x", "/resumable/x")
MAX_TAKE_UPS: Final = 3
# Callers lose their connection after a part of a stream that may be taken up.
ABANDONED_SHARE_PER_CHUNK: Final = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """The outcome of one request.

    :ivar status: status of the answer, 0 if no response headers arrived
    :ivar is_complete: whether the whole body arrived
    :ivar body: the part of the body that arrived
    :ivar echoed_id: request id in the answer
    :ivar resumes: id of the attempt that brought the first event, empty for a new request
    :ivar after_event: last event that the caller had before
    :ivar is_abandoned: whether the caller closed the connection before the end
    """

    id: str
    path: str
    key: str
    instance: str
    sent_s: float
    ended_s: float
    status: int
    is_complete: bool
    body: bytes
    echoed_id: str | None
    resumes: str = ""
    after_event: int = 0
    is_abandoned: bool = False

    @property
    def is_stream(self) -> bool:
        """Whether the answer is a stream of events."""
        return self.path.startswith(("/stream", "/resumable"))


class Caller(threading.Thread):
    """Sends one request at a time until ``stopping`` is set."""

    def __init__(
        self, environment: soak_environment.SoakEnvironment, seed: int, stopping: threading.Event
    ) -> None:
        super().__init__(daemon=True)
        self._environment = environment
        self._random = random.Random(seed)
        self._stopping = stopping
        self.outcomes: list[Outcome] = []

    def run(self) -> None:
        """Send requests and record their outcomes."""
        connection: http.client.HTTPConnection | None = None
        while not self._stopping.wait(self._random.uniform(0.0, MEAN_PAUSE_S * 2)):
            if connection is None or self._random.random() < 0.05:
                connection = self._connect()
            path, key = self._random.choice(_PATHS), self._random.choice(soak_environment.API_KEYS)
            outcome, keeps_open = self._send_request(connection, path, key)
            self.outcomes.append(outcome)
            if not keeps_open:
                connection.close()
                connection = None
            if path.startswith("/resumable"):
                self._take_up(outcome)

    def _connect(self) -> http.client.HTTPConnection:
        self._instance = self._random.choice(self._environment.instances)
        return http.client.HTTPConnection(
            self._instance.host, soak_environment.FRONTEND_PORT, timeout=REQUEST_TIMEOUT_S
        )

    def _take_up(self, first: Outcome) -> None:
        """Go on with a stream that broke off, at any instance and perhaps several times."""
        last_event = (0, *event_numbers(first))[-1]
        latest = first
        for _ in range(MAX_TAKE_UPS):
            is_over = last_event in (0, soak_environment.EVENTS_PER_STREAM)
            if is_over or (latest.is_complete and latest.status == SUCCESS):
                return
            connection = self._connect()
            latest, _ = self._send_request(connection, first.path, first.key, first.id, last_event)
            connection.close()
            self.outcomes.append(latest)
            last_event = (last_event, *event_numbers(latest))[-1]

    def _send_request(
        self,
        connection: http.client.HTTPConnection,
        path: str,
        key: str,
        resumes: str = "",
        after_event: int = 0,
    ) -> tuple[Outcome, bool]:
        request_id = uuid.UUID(int=self._random.getrandbits(128)).hex[:16]
        headers = {
            "Host": soak_environment.ROUTE_HOST,
            names.Header.REQUEST_ID: request_id,
            names.Header.KEY: key,
            names.Header.TIME_LEFT_MS: str(int(REQUEST_TIMEOUT_S * 1000)),
        }
        if path.startswith(("/stream", "/resumable")):
            headers[names.Header.TOKENS] = "3000,300"
        if resumes:
            headers[names.Header.RESUMES] = resumes
            headers[names.Header.LAST_EVENT_ID] = str(after_event)
        may_abandon, is_abandoned = path.startswith("/resumable") and not resumes, False
        sent_s, status, body, echoed_id, is_complete, keeps_open = (
            time.monotonic(),
            0,
            b"",
            None,
            False,
            False,
        )
        with contextlib.suppress(OSError, http.client.HTTPException):
            connection.request("GET" if path.startswith("/safe") else "POST", path, b"", headers)
            response = connection.getresponse()
            status, echoed_id = response.status, response.getheader(names.Header.REQUEST_ID)
            while not is_abandoned and (chunk := response.read1(MAX_CHUNK_BYTES)):
                body += chunk
                is_abandoned = may_abandon and self._random.random() < ABANDONED_SHARE_PER_CHUNK
            # read1 does not complain about the rest of a body with a length.
            is_complete = not response.length and not is_abandoned
            keeps_open = is_complete and not response.will_close
        ended_s = time.monotonic()
        outcome = Outcome(
            request_id,
            path,
            key,
            self._instance.name,
            sent_s,
            ended_s,
            status,
            is_complete,
            body,
            echoed_id,
            resumes,
            after_event,
            is_abandoned,
        )
        return outcome, keeps_open


def event_numbers(outcome: Outcome) -> list[int]:
    """Return the numbers of the complete events that a caller reads from an answer."""
    if outcome.status != SUCCESS:
        return []
    return [int(number) for number in _EVENT_ID.findall(outcome.body)]
