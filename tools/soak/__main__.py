"""``python -m tools.soak``: run the soak with one seed, or with fresh seeds for some minutes."""

from __future__ import annotations

import enum
import pathlib
import random
import sys
import tempfile
import threading
import time
from typing import Annotated, Final

import cyclopts

from tools.soak import callers, checks, faults, soak_environment

DEFAULT_SECONDS: Final = 20.0
CALLERS: Final = 12
LONGEST_LIST: Final = 20

app = cyclopts.App(name="soak", help=__doc__)


class ExitCode(enum.IntEnum):
    """What the exit code says."""

    KEPT = 0
    BROKEN = 1


def run_seed(seed: int, seconds: float, instances: int) -> list[str]:
    """Run one seed and return the broken promises."""
    directory = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    environment = soak_environment.SoakEnvironment(instances, directory)
    stopping = threading.Event()
    senders = [callers.Caller(environment, seed * 1000 + n, stopping) for n in range(CALLERS)]
    try:
        for instance in environment.instances:
            instance.start()
        broken = list(checks.settle(environment))
        for sender in senders:
            sender.start()
        injected = faults.Faults(environment, seed)
        injected.run(seconds)
        broken.extend(checks.settle(environment))
        time.sleep(2.0)
        stopping.set()
        for sender in senders:
            sender.join(2 * callers.PATIENCE_S)
        broken.extend(checks.held(environment))
        outcomes = [each for sender in senders for each in sender.outcomes]
        broken.extend(checks.judge(environment, outcomes))
    finally:
        environment.stop()
    whole = sum(each.status == 200 and each.is_whole for each in outcomes)
    print(f"seed {seed}: {len(outcomes)} requests, {whole} answered, {len(broken)} broken")
    if broken:
        print(f"  logs in {directory.name}; faults: {'; '.join(injected.applied)}")
        for each in broken[:LONGEST_LIST]:
            print(f"  {each}")
    return broken


@app.default
def soak(
    *,
    seed: Annotated[int | None, cyclopts.Parameter(help="Seed to run; fresh ones without.")] = None,
    minutes: Annotated[float, cyclopts.Parameter(help="How long to run fresh seeds.")] = 1.0,
    seconds: Annotated[float, cyclopts.Parameter(help="Faults of one seed.")] = DEFAULT_SECONDS,
    instances: Annotated[int, cyclopts.Parameter(help="Instances of one run.")] = 4,
) -> int:
    """Run the soak; exit with 1 where a promise was broken."""
    if seed is not None:
        return ExitCode.BROKEN if run_seed(seed, seconds, instances) else ExitCode.KEPT
    until_s = time.monotonic() + minutes * 60.0
    code = ExitCode.KEPT
    while time.monotonic() < until_s:
        if run_seed(random.randrange(1_000_000), seconds, instances):
            code = ExitCode.BROKEN
    return code


if __name__ == "__main__":
    sys.exit(app())
