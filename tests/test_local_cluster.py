"""Control of child processes by the local deployment."""

from __future__ import annotations

import os
import pathlib
import signal
import subprocess
import sys
import time
from collections.abc import Iterator

import pytest

from tools import local_cluster

STOPPED = "T"
THREADED_PROGRAM = """
import threading, time

def work():
    while True:
        sum(range(500))
        time.sleep(0.0005)

for _ in range(32):
    threading.Thread(target=work, daemon=True).start()
print("started", flush=True)
threading.Event().wait()
"""


@pytest.fixture
def threaded() -> Iterator[subprocess.Popen[bytes]]:
    """A process with many threads that run briefly and often."""
    process = subprocess.Popen([sys.executable, "-c", THREADED_PROGRAM], stdout=subprocess.PIPE)
    assert process.stdout is not None
    process.stdout.readline()
    yield process
    process.send_signal(signal.SIGCONT)
    process.kill()
    process.communicate()


def thread_states(process_id: int) -> list[str]:
    """Return the state letter of each thread of a process, as ``/proc`` has it."""
    tasks = pathlib.Path(f"/proc/{process_id}/task")
    texts = [(tasks / each / "stat").read_text() for each in os.listdir(tasks)]
    return [each.rpartition(")")[2].split()[0] for each in texts]


def test_no_thread_of_a_paused_process_runs(threaded: subprocess.Popen[bytes]) -> None:
    """A paused process answers nothing.

    The threads of a process that gets SIGSTOP stop one after the other as they are scheduled, up
    to 60 ms later on a busy machine. An upstream could answer a request after it was paused.
    """
    for _ in range(50):
        local_cluster.pause_process(threaded)
        assert set(thread_states(threaded.pid)) == {STOPPED}
        threaded.send_signal(signal.SIGCONT)


@pytest.mark.parametrize("delay_s", [0.0, 0.2])
def test_process_that_has_exited_can_be_paused(
    threaded: subprocess.Popen[bytes], delay_s: float
) -> None:
    """A process that exits on its own does not block whoever pauses it.

    After the delay the signal's own check reaps it, and there was no child left to wait for.
    """
    os.kill(threaded.pid, signal.SIGKILL)
    time.sleep(delay_s)
    local_cluster.pause_process(threaded)
    assert threaded.wait() == -signal.SIGKILL
