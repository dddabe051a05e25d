"""All machines are killed shortly after two of the model servers were replaced by a newer version."""

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
NEW_STREAMS = 12
EVENTS = 40
GAP_MS = 290.0
# Between two servers that are replaced; as in the release of the site file.
RELEASE_GAP_S = 1.0
DRAIN_S = 2.0
# Machines that are killed are started again so much later.
DOWN_S = 1.0
# stableWindowMs, after which a machine is in touch, and a little more.
STABLE_S = 3.2
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


def release(record: stand_ins_2.Record, deployment: stand_ins_2.Deployment) -> None:
    """Replace two decode servers one after the other: the new one starts first, the old one drains."""
    old_servers = [each for each in deployment.servers if each.name.startswith("decode-")][:2]

    def drain(server: stand_ins_2.Server) -> None:
        server.register("draining")
        # It goes on until its streams have ended, and exits.
        time.sleep(DRAIN_S + 1.0)
        deployment.store.remove(f"servers/{server.name}")
        server.kill()

    for old in old_servers:
        name = old.name.replace("decode-", "newer-")
        options = {"version": "v2", "events": EVENTS, "gap_ms": GAP_MS}
        deployment.add_server(name, "model", "decode", **options)
        threading.Thread(target=drain, args=(old,), daemon=True).start()
        record.write(f"{name} with v2 serves, {old.name} with v1 drains")
        time.sleep(RELEASE_GAP_S)


def send(
    deployment: stand_ins_2.Deployment, names: list[str], earlier: list[stand_ins_2.Attempt]
) -> list[stand_ins_2.Attempt]:
    """Send requests at once to both machines, one for each name; return the attempts in order.

    :param earlier: attempts that are taken up, none for new streams
    """
    attempts: list[stand_ins_2.Attempt | None] = [None] * len(names)

    def call(number: int) -> None:
        again = earlier[number] if earlier else None
        attempts[number] = stand_ins_2.stream(
            deployment.hosts[number % 2],
            f"/plan/{names[number]}",
            names[number],
            deadline_ms=7_000 if again else 14_000,
            last_event=again.events[-1][0] if again else "",
            resumes=again.id if again else "",
            prompt_tokens=300,
        )

    threads = [threading.Thread(target=call, args=(number,)) for number in range(len(names))]
    for each in threads:
        each.start()
    for each in threads:
        each.join()
    return [each for each in attempts if each is not None]


def run(record: stand_ins_2.Record, has_trouble: bool) -> int:
    """Play the case and return its exit status."""
    with stand_ins_2.Deployment(2) as deployment:
        deployment.configure([ROUTE])
        options = {"events": EVENTS, "gap_ms": GAP_MS}
        deployment.add_server("prefill-1", "model", "prefill", version="v2", **options)
        for name in "abcd":
            deployment.add_server(f"decode-{name}", "model", "decode", version="v1", **options)
        deployment.start_routers()
        record.write("both machines are ready; the decode servers have v1")
        time.sleep(4.0)
        release(record, deployment)
        first: list[stand_ins_2.Attempt] = []
        names = [f"first-{number}" for number in range(STREAMS)]
        sender = threading.Thread(target=lambda: first.extend(send(deployment, names, [])))
        sender.start()
        time.sleep(1.5)
        killed_s = time.monotonic()
        if has_trouble:
            for each in deployment.routers:
                each.signal(signal.SIGKILL)
            record.write("SIGKILL to all machines")
            sender.join()
            time.sleep(max(0.0, killed_s + DOWN_S - time.monotonic()))
            for each in deployment.routers:
                each.kill()
                each.start()
            for each in deployment.routers:
                each.wait_until_ready()
            record.write("all machines are ready again")
            time.sleep(STABLE_S)
        else:
            sender.join()
            for each in first:
                # As if the client had lost its channel after the first events.
                del each.events[5:]
        begun = [each for each in first if each.events]
        record.write(f"{len(begun)} streams had begun; their clients take them up")
        if len(begun) < 12:
            raise stand_ins_2.SetupError(f"only {len(begun)} streams began")
        again = send(deployment, [each.id.replace("first", "again") for each in begun], begun)
        new = send(deployment, [f"new-{number}" for number in range(NEW_STREAMS)], [])
        for each in (*first, *again, *new):
            record.write(str(each))
        for line in deployment.journal():
            record.write(f"server: {line}")
        goes_on = sum(bool(each.events) for each in again) / len(again)
        begins = sum(bool(each.events) for each in new) / len(new)
        versions = {data.split(" ")[2] for each in begun for _, data in each.events}
        text = (
            f"of {len(again)} streams taken up (begun at {', '.join(sorted(versions))}) {goes_on:.2f} "
            f"go on, of {len(new)} new ones {begins:.2f} begin"
        )
        record.write(text)
        print(text)
        return 1 if goes_on < begins / 2 else 0


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
