"""All machines are killed at once; clients take their streams up, and most of these must go on."""

from __future__ import annotations

import pathlib
import re
import signal
import sys
import threading
import time

import engines

import standins

MACHINES = 3
# Two servers of each software version.
VERSIONS = ("1.0", "1.0", "1.1", "1.1")
STREAMS = 24
PIECES = 72
STEP_S = 0.12
DOWN_S = 1.0
TIME_LIMIT_S = 14.0
# A machine is in touch once its processes have run for the stable window.
STABLE_WINDOW_S = 3.0
# Times after the break at which a client takes its stream up again, while that fails.
TRIES_AFTER_S = (0.5, 3.0, 6.5, 8.0)
NEW_STREAMS = 12

_EVENT = re.compile(rb"id: (\d+)\ndata: [^\n]*\n\n")


class Engine(engines.Engine):
    """A model server whose streams last for some seconds."""

    def pause_s(self, run: engines.Run, number: int) -> float:
        return STEP_S


def last_event(body: bytes) -> int:
    numbers = _EVENT.findall(body)
    return int(numbers[-1]) if numbers else 0


def play(folder: pathlib.Path, record: standins.Record, is_troubled: bool) -> list[str]:
    deployment = standins.Deployment(MACHINES, folder, record)
    decoders = []
    for number, version in enumerate(VERSIONS):
        engine = Engine(f"decode-{number}", f"zone-{'ab'[number % 2]}", "decode", record, PIECES)
        engine.version = version
        decoders.append(engine)
    prefill = engines.Engine("prefill-0", "zone-a", "prefill", record)
    for each in (*decoders, prefill):
        deployment.store.put(f"servers/{each.name}", each.entry())
    routes = [engines.stream_route("advice", resumable=True)]
    deployment.store.put("op/config", standins.configuration(1, routes, [engines.engine_service()]))
    is_cut = threading.Event()
    # Since when all machines are in touch and ready.
    in_touch_s = [float("inf")]
    taken_up: dict[str, bool] = {}
    new: list[bool] = []

    def send(machine: standins.Machine, limit_s: float, **headers: str) -> standins.Answer:
        client = standins.Client(machine, record, read_timeout_s=3.6)
        # Without the disruption, the clients lose their own channels at that time.
        answer = client.send(
            "POST",
            "/advice/1",
            {**engines.stream_headers(1200), **headers},
            b"x" * 1000,
            timeout_s=limit_s,
            give_up=lambda _: is_cut.is_set() and not headers and not is_troubled,
        )
        client.close()
        return answer

    def stream_and_take_up(number: int) -> None:
        sent_s = record.now_s()
        first = send(deployment.machines[number % MACHINES], TIME_LIMIT_S)
        last = last_event(first.body)
        if first.status != 200 or first.is_whole or last in (0, PIECES):
            return
        broken_s = record.now_s()
        for turn, after_s in enumerate(TRIES_AFTER_S):
            time.sleep(max(0.0, broken_s + after_s - record.now_s()))
            left_s = sent_s + TIME_LIMIT_S - record.now_s()
            is_counted = record.now_s() >= in_touch_s[0]
            resumption = {"Last-Event-Id": str(last), "Resumes": first.id}
            machine = deployment.machines[(number + turn + 1) % MACHINES]
            answer = send(machine, left_s, **resumption)
            went_on = answer.status == 200 and last_event(answer.body) > last
            if is_counted or went_on:
                taken_up[first.id] = taken_up.get(first.id, False) or went_on
            if went_on:
                return

    def begin_new(number: int) -> None:
        answer = send(deployment.machines[number % MACHINES], TIME_LIMIT_S, Accept="*/*")
        new.append(answer.status == 200 and last_event(answer.body) > 0)

    try:
        deployment.start()
        time.sleep(STABLE_WINDOW_S)
        threads = [
            threading.Thread(target=stream_and_take_up, args=(number,), daemon=True)
            for number in range(STREAMS)
        ]
        for each in threads:
            each.start()
        time.sleep(2.5)
        is_cut.set()
        if is_troubled:
            record.write("all machines are killed")
            for machine in deployment.machines:
                machine.signal(signal.SIGKILL)
            time.sleep(DOWN_S)
            for machine in deployment.machines:
                machine.stop()
                machine.start()
            record.write("all machines start again")
            started_s = record.now_s()
            deployment.wait_until_ready()
            in_touch_s[0] = max(started_s + STABLE_WINDOW_S, record.now_s())
        else:
            in_touch_s[0] = record.now_s()
        time.sleep(max(0.0, in_touch_s[0] - record.now_s()))
        later = [
            threading.Thread(target=begin_new, args=(number,), daemon=True)
            for number in range(NEW_STREAMS)
        ]
        for each in later:
            each.start()
        for each in (*threads, *later):
            each.join()
    finally:
        is_cut.set()
        deployment.stop()
    went_on, begun = sum(taken_up.values()), sum(new)
    text = (
        f"{went_on} of {len(taken_up)} streams that were taken up went on, "
        f"{begun} of {len(new)} new streams began"
    )
    record.write(text)
    if len(taken_up) < 12 or begun < len(new) / 2:
        raise standins.NotRunError(text)
    return [text] if went_on / len(taken_up) < begun / len(new) / 2 else []


if __name__ == "__main__":
    sys.exit(standins.run_case(pathlib.Path(__file__).parent, play))
