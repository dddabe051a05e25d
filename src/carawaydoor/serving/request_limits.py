"""What bounds the requests that a server receives, and what is recorded when a limit takes effect."""

from __future__ import annotations

import abc
import dataclasses
import enum
import http
import threading
from collections.abc import Mapping
from typing import Final

import eliot

from carawaydoor.operating import clocks, metrics_exporter
from carawaydoor.serving import request_budget

# Lines of each limit are that far apart at least; each says how often the limit took effect since.
LOG_INTERVAL_S: Final = 5.0
# Stopped requests give up their places after a fraction of this.
RETRY_AFTER_S: Final = 1.0


class Limit(enum.Enum):
    """Why a request was not received, or its connection was closed."""

    HEAD_SIZE = "head-size"
    HEAD_TIME = "head-time"
    BODY_SIZE = "body-size"
    BODY_FRAMING = "body-framing"
    MEMORY = "memory"
    STOPPED = "stopped"
    CONNECTIONS = "connections"


# A request that was not received has not run and never will.
STATUS_BY_LIMIT: Final = {
    Limit.HEAD_SIZE: http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
    Limit.HEAD_TIME: http.HTTPStatus.REQUEST_TIMEOUT,
    Limit.BODY_SIZE: http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    Limit.BODY_FRAMING: http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    Limit.MEMORY: http.HTTPStatus.SERVICE_UNAVAILABLE,
    Limit.STOPPED: http.HTTPStatus.SERVICE_UNAVAILABLE,
    Limit.CONNECTIONS: http.HTTPStatus.SERVICE_UNAVAILABLE,
}


@dataclasses.dataclass(frozen=True, slots=True)
class RefusalResponse:
    """The response to a request that was not received.

    :ivar status: status code and reason phrase
    """

    status: str
    headers: tuple[tuple[str, str], ...]
    content: bytes


class RefusalFormatter(abc.ABC):
    """Creates the responses to requests that were not received, in the form of an interface."""

    @abc.abstractmethod
    def format(self, limit: Limit, headers: Mapping[str, str]) -> RefusalResponse:
        """Return the response to a request.

        :param headers: headers by name in upper case, with underscores
        """


class BareFormatter(RefusalFormatter):
    """Creates responses without a body."""

    def format(self, limit: Limit, headers: Mapping[str, str]) -> RefusalResponse:
        """Return the response to a request."""
        status = STATUS_BY_LIMIT[limit]
        return RefusalResponse(f"{int(status)} {status.phrase}", (), b"")


class LimitRecorder:
    """Counts how often limits take effect, and logs it with a bounded volume."""

    def __init__(self, clock: clocks.Clock, counter: metrics_exporter.Counter) -> None:
        self._clock = clock
        self._counter = counter
        self._logged_s_by_limit: dict[Limit, float] = {}
        self._count_by_limit: dict[Limit, int] = {}
        self._lock = threading.Lock()

    def record(self, limit: Limit, held_bytes: int, connections: int) -> None:
        """Record that a limit took effect.

        :param held_bytes: what all requests hold
        :param connections: open connections of the listener
        """
        self._counter.add(1, {"limit": limit.value})
        now_s = self._clock.now_s()
        with self._lock:
            count = self._count_by_limit.get(limit, 0) + 1
            logged_s = self._logged_s_by_limit.get(limit)
            is_due = logged_s is None or now_s - logged_s >= LOG_INTERVAL_S
            self._count_by_limit[limit] = 0 if is_due else count
            if is_due:
                self._logged_s_by_limit[limit] = now_s
        if is_due:
            eliot.log_message(
                message_type="request_limit_applied",
                limit=limit.value,
                count=count,
                held_bytes=held_bytes,
                connections=connections,
            )


@dataclasses.dataclass(frozen=True, slots=True)
class RequestGuard:
    """What all listeners of an instance share to bound their requests."""

    clock: clocks.Clock
    budget: request_budget.RequestBudget
    formatter: RefusalFormatter
    recorder: LimitRecorder

    def check_body_limit(self, max_body_bytes: int) -> None:
        """Log a configuration that allows bodies for which there is not enough memory."""
        if max_body_bytes > self.budget.max_body_bytes:
            eliot.log_message(
                message_type="body_limit_beyond_memory",
                max_body_bytes=max_body_bytes,
                largest_held_bytes=self.budget.max_body_bytes,
            )


def create_guard(memory_bytes: int) -> RequestGuard:
    """Return a guard whose refusals have no body and are counted nowhere.

    :param memory_bytes: limit of the memory of the process
    """
    clock = clocks.SystemClock()
    counter = metrics_exporter.Counter("request_limits", "")
    budget = request_budget.RequestBudget(request_budget.total_bytes(memory_bytes))
    return RequestGuard(clock, budget, BareFormatter(), LimitRecorder(clock, counter))
