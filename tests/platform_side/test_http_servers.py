"""Threads for callers are started when they are needed."""

from __future__ import annotations

import threading
import time

from carawaydoor.serving import http_servers


class BlockingTask:
    """A task that occupies its thread until it is released."""

    def __init__(self, release):
        self.started = threading.Event()
        self._release = release

    def service(self):
        self.started.set()
        self._release.wait(10.0)

    def cancel(self):
        """Do nothing: a task that was not started has nothing to release."""


def test_few_threads_stand_until_requests_come():
    """At 195 instances 72 standing threads each were more than the machine allows."""
    dispatcher = http_servers.GrowingDispatcher(4, 72)
    assert len(dispatcher.threads) == 4
    dispatcher.shutdown()


def test_every_task_of_a_burst_gets_a_thread_up_to_the_limit():
    dispatcher = http_servers.GrowingDispatcher(2, 6)
    release = threading.Event()
    tasks = [BlockingTask(release) for _ in range(9)]
    for each in tasks:
        dispatcher.add_task(each)
    assert all(each.started.wait(5.0) for each in tasks[:6])
    assert len(dispatcher.threads) == 6
    assert not any(each.started.is_set() for each in tasks[6:])
    release.set()
    assert all(each.started.wait(5.0) for each in tasks[6:])
    dispatcher.shutdown()


def test_idle_threads_are_used_before_new_ones_start():
    dispatcher = http_servers.GrowingDispatcher(2, 6)
    for _ in range(20):
        release = threading.Event()
        release.set()
        task = BlockingTask(release)
        dispatcher.add_task(task)
        assert task.started.wait(5.0)
        time.sleep(0.01)
    assert len(dispatcher.threads) <= 3
    dispatcher.shutdown()
