"""Structured log lines on standard output, rate-limited and written without blocking callers."""

from __future__ import annotations

import json
import queue
import sys
import threading
from typing import Any, Final

import eliot

from carawaydoor.operating import clocks

# The queue fills while nothing reads standard output; further lines are dropped and counted.
MAX_QUEUED_LINES: Final = 2000
# Refill rate and capacity of the token bucket that limits the volume of the log.
MAX_LINES_PER_S: Final = 300.0
MAX_BURST_LINES: Final = 600.0
DROP_REPORT_INTERVAL_S: Final = 5.0


class LogWriter:
    """Queues log messages from any thread and writes them in a background thread."""

    def __init__(self, clock: clocks.Clock, instance: str) -> None:
        self._clock = clock
        self._instance = instance
        self._queue: queue.SimpleQueue[dict[str, Any] | None] = queue.SimpleQueue()
        self._tokens = MAX_BURST_LINES
        self._refilled_s = clock.now_s()
        self._dropped_lines = 0
        self._reported_s = clock.now_s()
        self._thread = threading.Thread(target=self._write_queued, name="log-writer", daemon=True)

    def start(self) -> None:
        """Register as destination of the log messages and start the thread."""
        eliot.add_destinations(self._enqueue)
        self._thread.start()

    def stop(self, timeout_s: float) -> None:
        """Write the queued lines and end the thread.

        :param timeout_s: maximum wait in seconds for the thread to end
        """
        self._queue.put(None)
        self._thread.join(timeout_s)

    def _enqueue(self, message: dict[str, Any]) -> None:
        """Queue a message, or drop it if the rate limit or the queue's limit is reached."""
        now_s = self._clock.now_s()
        refill = (now_s - self._refilled_s) * MAX_LINES_PER_S
        self._tokens = min(MAX_BURST_LINES, self._tokens + refill)
        self._refilled_s = now_s
        if self._tokens < 1.0 or self._queue.qsize() >= MAX_QUEUED_LINES:
            self._dropped_lines += 1
            return
        self._tokens -= 1.0
        self._queue.put({"at_s": round(now_s, 4), "instance": self._instance, **message})
        if self._dropped_lines and now_s - self._reported_s > DROP_REPORT_INTERVAL_S:
            count, self._dropped_lines, self._reported_s = (
                self._dropped_lines,
                0,
                now_s,
            )
            self._queue.put({"message_type": "log_lines_dropped", "count": count})

    def _write_queued(self) -> None:
        while (message := self._queue.get()) is not None:
            message.pop("task_uuid", None)
            message.pop("task_level", None)
            try:
                line = json.dumps(message, default=str)
            except (TypeError, RecursionError) as error:
                line = json.dumps({"message_type": "log_line_malformed", "detail": repr(error)})
            try:
                sys.stdout.write(line + "\n")
                sys.stdout.flush()
            except (OSError, ValueError):
                # Standard output is closed, so the error can't be reported anywhere.
                return
