"""Structured log lines on standard output: bounded in volume, never waited for."""

from __future__ import annotations

import json
import queue
import sys
import threading
from typing import Any, Final

import eliot

from carawaydoor.operating import clocks

# Lines that wait for a reader of standard output; more are dropped and counted.
MAX_WAITING: Final = 2000
# Lines a second that an instance writes for long, and lines that it may write at once.
LINES_PER_S: Final = 300.0
BURST_LINES: Final = 600.0
# Interval in seconds at which dropped lines are reported.
REPORT_S: Final = 5.0


class Sink:
    """Takes log messages from any thread and writes them in a thread of its own."""

    def __init__(self, clock: clocks.Clock, instance: str) -> None:
        self._clock = clock
        self._instance = instance
        self._waiting: queue.SimpleQueue[dict[str, Any] | None] = queue.SimpleQueue()
        self._allowance = BURST_LINES
        self._allowed_s = clock.now_s()
        self._dropped = 0
        self._reported_s = clock.now_s()
        self._thread = threading.Thread(target=self._write, name="log-writer", daemon=True)

    def start(self) -> None:
        """Begin to write."""
        eliot.add_destinations(self.take)
        self._thread.start()

    def stop(self, timeout_s: float) -> None:
        """Write what waits and end.

        :param timeout_s: longest wait in seconds
        """
        self._waiting.put(None)
        self._thread.join(timeout_s)

    def take(self, message: dict[str, Any]) -> None:
        """Queue a message, or drop it where too many came."""
        now_s = self._clock.now_s()
        refill = (now_s - self._allowed_s) * LINES_PER_S
        self._allowance = min(BURST_LINES, self._allowance + refill)
        self._allowed_s = now_s
        if self._allowance < 1.0 or self._waiting.qsize() >= MAX_WAITING:
            self._dropped += 1
            return
        self._allowance -= 1.0
        self._waiting.put({"at_s": round(now_s, 4), "instance": self._instance, **message})
        if self._dropped and now_s - self._reported_s > REPORT_S:
            dropped, self._dropped, self._reported_s = self._dropped, 0, now_s
            self._waiting.put({"message_type": "log_lines_dropped", "count": dropped})

    def _write(self) -> None:
        while (message := self._waiting.get()) is not None:
            message.pop("task_uuid", None)
            message.pop("task_level", None)
            try:
                sys.stdout.write(json.dumps(message, default=str) + "\n")
                sys.stdout.flush()
            except (OSError, ValueError):
                # Nobody reads standard output any more, so there is nowhere to report it.
                return
