"""A model server leaves while prompts of a burst still wait to be read for it."""

from __future__ import annotations

import os
import pathlib
import sys
import threading
import time
import traceback

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import stand_ins_2

# As many users come at once; each prompt takes a prefill server 90 ms.
STREAMS = 60
PROMPT_TOKENS = 5000
EVENTS = 24
GAP_MS = 200.0
# From the burst to the moment at which the store has accepted that the server is draining.
LEAVES_AFTER_S = 0.4
DRAIN_S = 2.0
# How much longer the server goes on before it exits.
LINGER_S = 2.0
ROUTE = {
    "name": "plan",
    "pathPrefix": "/plan/",
    "kind": "streaming",
    "timeoutMs": 14_000,
    "targetLatencyMs": 900,
    "targetGapMs": 300,
    "service": "model",
    "maxAttempts": 1,
    "allowResume": False,
    "sessionAffinity": True,
}


def run(record: stand_ins_2.Record, has_trouble: bool) -> int:
    """Play the case and return its exit status."""
    with stand_ins_2.Deployment(2) as deployment:
        deployment.configure([ROUTE])
        options = {"events": EVENTS, "gap_ms": GAP_MS}
        deployment.add_server("prefill-1", "model", "prefill", **options)
        servers = [
            deployment.add_server(f"decode-{name}", "model", "decode", **options) for name in "abc"
        ]
        deployment.start_routers()
        # Bounds count from here for machines that were started.
        time.sleep(4.0)
        record.write("both machines are ready and in touch")
        attempts: list[stand_ins_2.Attempt] = []

        def call(number: int) -> None:
            attempts.append(
                stand_ins_2.stream(
                    deployment.hosts[number % 2],
                    f"/plan/{number}",
                    f"request-{number}",
                    prompt_tokens=PROMPT_TOKENS,
                )
            )

        threads = [threading.Thread(target=call, args=(number,)) for number in range(STREAMS)]
        for each in threads:
            each.start()
        leaving, left_wall_s = servers[0], float("inf")
        time.sleep(LEAVES_AFTER_S)
        if has_trouble:
            leaving.register("draining")
            left_wall_s = time.time()
            record.write(f"the store has accepted that {leaving.name} is draining")
            time.sleep(DRAIN_S + LINGER_S)
            leaving.kill()
            record.write(f"{leaving.name} exits")
            deployment.store.remove(f"servers/{leaving.name}")
        for each in threads:
            each.join()
        late_by_request: dict[str, float] = {}
        for line in deployment.journal():
            record.write(f"server: {line}")
            after_s = float(str(line["at"])) - left_wall_s
            is_late = line["what"] == "run" and line["server"] == leaving.name and after_s > DRAIN_S
            if is_late:
                late_by_request[str(line["id"])] = after_s
        lost = 0
        for each in attempts:
            record.write(str(each))
            if each.id in late_by_request:
                lost += not each.is_complete
                record.write(
                    f"    LATE: reached {leaving.name} {late_by_request[each.id]:.3f} s after the "
                    f"acknowledgement, {'lost' if not each.is_complete else 'ended'}"
                )
        began = sum(bool(each.events) for each in attempts)
        if began < STREAMS // 2:
            raise stand_ins_2.SetupError(f"only {began} streams began")
        text = (
            f"{len(late_by_request)} of {STREAMS} requests reached the server later than "
            f"{DRAIN_S} s after it was draining; {lost} of them were lost"
        )
        record.write(text)
        print(text)
        return 1 if late_by_request else 0


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
