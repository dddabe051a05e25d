"""Callers that reuse a connection until the instance closes it."""

from __future__ import annotations

import contextlib
import dataclasses
import http.client
import random
import threading
import time
import uuid
from typing import Final

from carawaydoor.platform import names
from tools.soak import soak_environment

REQUEST_TIMEOUT_S: Final = 4.0
MEAN_PAUSE_S: Final = 0.04
_PATHS: Final = ("/safe/x", "/unsafe/x", "/unsafe/x", "/stream/x")


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """The outcome of one request.

    :ivar status: status of the answer, 0 if no response headers arrived
    :ivar is_complete: whether the whole body arrived
    :ivar echoed_id: request id in the answer
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
                self._instance = self._random.choice(self._environment.instances)
                connection = http.client.HTTPConnection(
                    self._instance.host, soak_environment.FRONTEND_PORT, timeout=REQUEST_TIMEOUT_S
                )
            outcome, keeps_open = self._send_request(connection)
            self.outcomes.append(outcome)
            if not keeps_open:
                connection.close()
                connection = None

    def _send_request(self, connection: http.client.HTTPConnection) -> tuple[Outcome, bool]:
        request_id = uuid.UUID(int=self._random.getrandbits(128)).hex[:16]
        path, key = self._random.choice(_PATHS), self._random.choice(soak_environment.API_KEYS)
        headers = {
            "Host": soak_environment.ROUTE_HOST,
            names.Header.REQUEST_ID: request_id,
            names.Header.KEY: key,
            names.Header.TIME_LEFT_MS: str(int(REQUEST_TIMEOUT_S * 1000)),
        }
        if path.startswith("/stream"):
            headers[names.Header.TOKENS] = "3000,300"
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
            body = response.read()
            is_complete = True
            keeps_open = not response.will_close
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
        )
        return outcome, keeps_open
