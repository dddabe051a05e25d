"""Streams whose events count from 0 are taken up after their first event, while two versions serve."""

from __future__ import annotations

import os
import pathlib
import signal
import sys
import threading
import time
import traceback

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import stand_ins_2

STREAMS = 24
PROMPT_TOKENS = 300
# Pause between two events; the sheets allow 300 ms.
GAP_MS = 290.0
EVENTS = 12
# A server sends its first event 60 ms after the request.
FIRST_EVENT_S = 0.12
LONGEST_START_S = 5.0
# More than two are a broken rule.
ALLOWED_MIXED = 2
ROUTE = {
    "name": "plan",
    "pathPrefix": "/plan/",
    "kind": "streaming",
    "timeoutMs": 14_000,
    "targetLatencyMs": 900,
    "targetGapMs": 300,
    "service": "model",
    "maxAttempts": 2,
    "allowResume": True,
    "sessionAffinity": True,
}


def call(
    deployment: stand_ins_2.Deployment,
    number: int,
    attempts: list[stand_ins_2.Attempt],
) -> None:
    """Follow one stream to its end; a broken one is taken up at the other machine, once."""
    first = stand_ins_2.stream(
        deployment.hosts[0], f"/plan/{number}", f"first-{number}", prompt_tokens=PROMPT_TOKENS
    )
    attempts.append(first)
    if first.is_complete or not first.events:
        return
    last_event = first.events[-1][0]
    attempts.append(
        stand_ins_2.stream(
            deployment.hosts[1],
            f"/plan/{number}",
            f"again-{number}",
            deadline_ms=13_000,
            last_event=last_event,
            resumes=first.id,
            prompt_tokens=PROMPT_TOKENS,
        )
    )


def run(record: stand_ins_2.Record, has_trouble: bool) -> int:
    """Play the case and return its exit status."""
    with stand_ins_2.Deployment(2) as deployment:
        deployment.configure([ROUTE])
        options = {"first_id": 0, "events": EVENTS, "gap_ms": GAP_MS}
        deployment.add_server("prefill-1", "model", "prefill", **options)
        for name, version in (("a", "v1"), ("b", "v1"), ("c", "v2"), ("d", "v2")):
            deployment.add_server(f"decode-{name}", "model", "decode", version=version, **options)
        deployment.start_routers()
        record.write("both machines are ready; versions v1 and v2 serve side by side")
        attempts_by_stream: list[list[stand_ins_2.Attempt]] = [[] for _ in range(STREAMS)]
        threads = [
            threading.Thread(target=call, args=(deployment, number, attempts))
            for number, attempts in enumerate(attempts_by_stream)
        ]
        for each in threads:
            each.start()
        until_s = time.monotonic() + LONGEST_START_S
        while time.monotonic() < until_s:
            runs = [each for each in deployment.journal() if each["what"] == "run"]
            if len(runs) >= STREAMS * 3 // 4:
                break
            time.sleep(0.01)
        time.sleep(FIRST_EVENT_S)
        if has_trouble:
            deployment.routers[0].signal(signal.SIGKILL)
            record.write(f"SIGKILL to {deployment.routers[0].name}")
        for each in threads:
            each.join()
        mixed = 0
        for attempts in attempts_by_stream:
            versions = {data.split(" ")[2] for each in attempts for _, data in each.events}
            mixed += len(versions) > 1
            for each in attempts:
                record.write(str(each))
                for event_id, data in each.events:
                    record.write(f"    event {event_id}: {data}")
            if len(versions) > 1:
                record.write(f"    MIXED: events of {sorted(versions)} in one stream")
        for line in deployment.journal():
            record.write(f"server: {line}")
        record.write(f"{mixed} of {STREAMS} streams hold events of two versions")
        begun = sum(bool(attempts and attempts[0].events) for attempts in attempts_by_stream)
        if begun < STREAMS // 2:
            raise stand_ins_2.SetupError(f"only {begun} streams began")
        print(f"{mixed} of {STREAMS} streams hold events of two versions")
        return 1 if mixed > ALLOWED_MIXED else 0


def main() -> int:
    """Run the case."""
    record = stand_ins_2.Record(pathlib.Path(__file__).with_name("record.txt"))
    try:
        return run(record, os.environ.get("TROUBLE") != "0")
    except Exception as error:
        record.write(traceback.format_exc())
        print(f"could not run: {error!r}", file=sys.stderr)
        return 2


if __name__ == "__main__":
    sys.exit(main())
