"""Measures what real instances of ``carawaydoor.platformd`` cost without callers.

Prints, by number of instances, processor time until ready, and while idle the core used, in all and
by thread, the calls to the store, the datagrams and the resident memory of one instance.
"""

from __future__ import annotations

import argparse
import collections
import os
import pathlib
import re
import tempfile
import time
import urllib.request
from typing import Final

from tools.soak import soak_environment

INSTANCE_COUNTS: Final = (4, 20, 60)
IDLE_S: Final = 8.0
SETTLE_S: Final = 4.0
READY_TIMEOUT_S: Final = 120.0
CLOCK_TICKS_PER_S: Final = os.sysconf("SC_CLK_TCK")
BYTES_PER_MB: Final = 1_000_000
_DATAGRAMS: Final = re.compile(r'peer_datagrams_total\{direction="heard".*\} ([\d.]+)')


def _processor_s(path: pathlib.Path) -> float:
    """Return the processor time of a process or thread, from its ``stat`` file."""
    fields = path.read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


def _processor_s_by_thread(process_id: int) -> dict[str, float]:
    seconds_by_name: dict[str, float] = collections.defaultdict(float)
    for number, task in enumerate(sorted(pathlib.Path(f"/proc/{process_id}/task").iterdir())):
        # Threads have no names of their own in the kernel, so they are told apart by order of start.
        seconds_by_name[f"thread {number}"] += _processor_s(task / "stat")
    return seconds_by_name


def _resident_mb(process_id: int) -> float:
    pages = int(pathlib.Path(f"/proc/{process_id}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / BYTES_PER_MB


def _heard_datagrams(host: str) -> float:
    url = f"http://{host}:{soak_environment.METRICS_PORT}/metrics"
    with urllib.request.urlopen(url, timeout=10.0) as response:
        found = _DATAGRAMS.search(response.read().decode())
    return float(found.group(1)) if found else 0.0


def measure(instance_count: int) -> None:
    """Run instances without callers and print what each costs on average."""
    with tempfile.TemporaryDirectory() as directory:
        environment = soak_environment.SoakEnvironment(instance_count, pathlib.Path(directory))
        try:
            _measure_environment(environment)
        finally:
            environment.stop()


def _measure_environment(environment: soak_environment.SoakEnvironment) -> None:
    for each in environment.instances:
        each.start()
    deadline_s = time.monotonic() + READY_TIMEOUT_S
    while not all(each.is_ready() for each in environment.instances):
        if time.monotonic() > deadline_s:
            raise TimeoutError("the instances did not become ready")
        time.sleep(0.1)
    process_ids = [each.process.pid for each in environment.instances if each.process is not None]
    count = len(process_ids)
    stats = [pathlib.Path(f"/proc/{each}/stat") for each in process_ids]
    ready_s = sum(_processor_s(each) for each in stats) / count
    time.sleep(SETTLE_S)
    before_s, calls_before = sum(_processor_s(each) for each in stats), environment.store.calls
    threads_before = _processor_s_by_thread(process_ids[0])
    time.sleep(IDLE_S)
    idle_share = (sum(_processor_s(each) for each in stats) - before_s) / count / IDLE_S
    calls_per_s = (environment.store.calls - calls_before) / IDLE_S
    threads = _processor_s_by_thread(process_ids[0])
    busiest = sorted(
        ((seconds - threads_before.get(name, 0.0)) / IDLE_S, name)
        for name, seconds in threads.items()
    )[-3:]
    first = environment.instances[0]
    heard = _heard_datagrams(first.host)
    time.sleep(IDLE_S / 4)
    heard_per_s = (_heard_datagrams(first.host) - heard) / (IDLE_S / 4)
    resident_mb = sum(_resident_mb(each) for each in process_ids) / count
    print(
        f"{count:>3} instances: {ready_s:.2f} s of processor time until ready, "
        f"{idle_share:.2%} of a core idle, {calls_per_s:.1f} calls to the store a second in all, "
        f"{heard_per_s:.0f} datagrams heard a second, {resident_mb:.0f} MB resident; busiest threads: "
        + ", ".join(f"{name} {share:.2%}" for share, name in reversed(busiest)),
        flush=True,
    )


def main() -> None:
    """Measure fleets of several sizes."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--instances", type=int, nargs="+", default=INSTANCE_COUNTS)
    for count in parser.parse_args().instances:
        measure(count)


if __name__ == "__main__":
    main()
