"""Base classes of threads: message handlers and periodic tasks."""

from __future__ import annotations

import abc
import queue
import threading
from typing import Generic, TypeVar

import eliot

M = TypeVar("M")


class MailboxTask(abc.ABC, Generic[M]):
    """A thread that owns its state and handles the messages in its mailbox one at a time."""

    def __init__(self, name: str) -> None:
        self._mailbox: queue.SimpleQueue[M | None] = queue.SimpleQueue()
        self._thread = threading.Thread(target=self._loop, name=name, daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def post(self, message: M) -> None:
        """Queue a message for the thread."""
        self._mailbox.put(message)

    def stop(self) -> None:
        """Ask the thread to end after the messages that are already queued."""
        self._mailbox.put(None)

    def join(self, timeout_s: float) -> None:
        """Wait for the thread to end.

        :param timeout_s: maximum wait in seconds
        """
        self._thread.join(timeout_s)

    @abc.abstractmethod
    def handle(self, message: M) -> None:
        """Handle one message."""

    def close(self) -> None:
        """Release the resources of the task; called in its thread when it ends."""

    def _loop(self) -> None:
        while (message := self._mailbox.get()) is not None:
            try:
                self.handle(message)
            except Exception:
                eliot.write_traceback()
        self.close()


class PeriodicTask(abc.ABC):
    """A thread that runs its action at a fixed interval."""

    def __init__(self, name: str, interval_s: float) -> None:
        self._interval_s = interval_s
        self._stop_requested = threading.Event()
        self._thread = threading.Thread(target=self._loop, name=name, daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Ask the thread to end."""
        self._stop_requested.set()

    @property
    def is_stopped(self) -> bool:
        """Whether the thread was asked to end."""
        return self._stop_requested.is_set()

    @abc.abstractmethod
    def run_iteration(self) -> None:
        """Run the action once."""

    def _loop(self) -> None:
        while not self._stop_requested.wait(self._interval_s):
            try:
                self.run_iteration()
            except Exception:
                eliot.write_traceback()
