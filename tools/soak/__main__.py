"""``python -m tools.soak``: run the soak test with one seed, or random seeds for some minutes."""

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

from tools.soak import callers, checks, faults, limits, soak_environment, streams, stutters

DEFAULT_FAULT_DURATION_S: Final = 20.0
CALLER_COUNT: Final = 12
MAX_LISTED_VIOLATIONS: Final = 20

app = cyclopts.App(name="soak", help=__doc__)


class ExitCode(enum.IntEnum):
    """Exit codes of the soak test."""

    SUCCESS = 0
    VIOLATIONS_FOUND = 1


def run_seed(
    seed: int,
    seconds: float,
    instance_count: int,
    has_stutters: bool = False,
    has_stream_faults: bool = False,
) -> list[str]:
    """Run one seed and return the violations found."""
    directory = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    environment = soak_environment.SoakEnvironment(instance_count, directory)
    stopping = threading.Event()
    senders = [callers.Caller(environment, seed * 1000 + n, stopping) for n in range(CALLER_COUNT)]
    try:
        for instance in environment.instances:
            instance.start()
        violations = list(checks.wait_until_ready(environment))
        for sender in senders:
            sender.start()
        if has_stutters:
            environment.cap_workspace(soak_environment.API_KEYS[-1])
            stutters.begin(environment, seed)
        if has_stream_faults:
            stutters.begin_stream_faults(environment, seed)
        limits.LimitNamer(environment, seed).start()
        injector = faults.FaultInjector(environment, seed)
        injector.run(seconds)
        violations.extend(checks.wait_until_ready(environment))
        time.sleep(2.0)
        stopping.set()
        for sender in senders:
            sender.join(2 * callers.REQUEST_TIMEOUT_S)
        violations.extend(checks.find_leaks(environment))
        outcomes = [each for sender in senders for each in sender.outcomes]
        violations.extend(checks.find_violations(environment, outcomes))
    finally:
        environment.stop()
    complete = sum(each.status == 200 and each.is_complete for each in outcomes)
    print(f"seed {seed}: {len(outcomes)} requests, {complete} answered, {len(violations)} broken")
    print(f"  {streams.describe(outcomes)}; {streams.describe_continuations(environment)}")
    print(f"  {len(environment.partitions)} partitions")
    if violations:
        (directory / "violations.txt").write_text("\n".join(violations))
        print(f"  logs in {directory.name}; faults: {'; '.join(injector.applied)}")
        for each in violations[:MAX_LISTED_VIOLATIONS]:
            print(f"  {each}")
    return violations


@app.default
def soak(
    *,
    seed: Annotated[
        int | None, cyclopts.Parameter(help="Seed to run; random seeds if omitted.")
    ] = None,
    minutes: Annotated[float, cyclopts.Parameter(help="How long to run random seeds.")] = 1.0,
    seconds: Annotated[
        float, cyclopts.Parameter(help="How long faults are injected for each seed.")
    ] = DEFAULT_FAULT_DURATION_S,
    instances: Annotated[int, cyclopts.Parameter(help="Number of instances.")] = 4,
    stutter: Annotated[
        bool,
        cyclopts.Parameter(
            help="Have upstreams cut, repeat and delay single responses, and cap one workspace."
        ),
    ] = False,
    continuations: Annotated[
        bool,
        cyclopts.Parameter(help="Have engines break streams off and continue them wrongly."),
    ] = False,
) -> int:
    """Run the soak test; exit with 1 if a violation was found."""
    if seed is not None:
        violations = run_seed(seed, seconds, instances, stutter, continuations)
        return ExitCode.VIOLATIONS_FOUND if violations else ExitCode.SUCCESS
    deadline_s = time.monotonic() + minutes * 60.0
    exit_code = ExitCode.SUCCESS
    while time.monotonic() < deadline_s:
        if run_seed(random.randrange(1_000_000), seconds, instances, stutter, continuations):
            exit_code = ExitCode.VIOLATIONS_FOUND
    return exit_code


if __name__ == "__main__":
    sys.exit(app())
