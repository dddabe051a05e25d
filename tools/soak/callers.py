"""Callers that keep their connections until the instance closes them."""

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

PATIENCE_S: Final = 4.0
PAUSE_S: Final = 0.04
_PATHS: Final = ("/safe/x", "/unsafe/x", "/unsafe/x", "/stream/x")


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """What a caller saw of one attempt; ``status`` is 0 where it got no whole answer."""

    id: str
    path: str
    key: str
    instance: str
    sent_s: float
    ended_s: float
    status: int
    is_whole: bool
    body: bytes
    echoed: str | None


class Caller(threading.Thread):
    """Sends requests one after the other until told to stop."""

    def __init__(
        self, environment: soak_environment.SoakEnvironment, seed: int, stopping: threading.Event
    ) -> None:
        super().__init__(daemon=True)
        self._environment = environment
        self._random = random.Random(seed)
        self._stopping = stopping
        self.outcomes: list[Outcome] = []

    def run(self) -> None:
        """Send requests."""
        connection: http.client.HTTPConnection | None = None
        while not self._stopping.wait(self._random.uniform(0.0, PAUSE_S * 2)):
            if connection is None or self._random.random() < 0.05:
                self._instance = self._random.choice(self._environment.instances)
                connection = http.client.HTTPConnection(
                    self._instance.host, soak_environment.FRONT_PORT, timeout=PATIENCE_S
                )
            outcome, keeps = self._attempt(connection)
            self.outcomes.append(outcome)
            if not keeps:
                connection.close()
                connection = None

    def _attempt(self, connection: http.client.HTTPConnection) -> tuple[Outcome, bool]:
        request_id = uuid.UUID(int=self._random.getrandbits(128)).hex[:16]
        path, key = self._random.choice(_PATHS), self._random.choice(soak_environment.KEYS)
        headers = {
            "Host": soak_environment.HOST,
            names.Header.REQUEST_ID: request_id,
            names.Header.KEY: key,
            names.Header.TIME_LEFT_MS: str(int(PATIENCE_S * 1000)),
        }
        if path.startswith("/stream"):
            headers[names.Header.TOKENS] = "3000,300"
        sent_s, status, body, echoed, is_whole, keeps = time.monotonic(), 0, b"", None, False, False
        with contextlib.suppress(OSError, http.client.HTTPException):
            connection.request("GET" if path.startswith("/safe") else "POST", path, b"", headers)
            response = connection.getresponse()
            status, echoed = response.status, response.getheader(names.Header.REQUEST_ID)
            body = response.read()
            is_whole = True
            keeps = not response.will_close
        ended_s = time.monotonic()
        outcome = Outcome(
            request_id,
            path,
            key,
            self._instance.name,
            sent_s,
            ended_s,
            status,
            is_whole,
            body,
            echoed,
        )
        return outcome, keeps
