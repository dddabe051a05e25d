"""The promises, judged by what callers and upstreams saw."""

from __future__ import annotations

import collections
import http.client
import time
from collections.abc import Iterator
from typing import Final

from carawaydoor.platform import names
from tests.platform_side import fake_upstream
from tools.soak import callers, soak_environment

READY_WITHIN_S: Final = 15.0
# A request that is under way at the bound has this long to arrive.
ON_THE_WAY_S: Final = 0.5
# Time without disturbance after which an instance has to keep its bounds.
STEADY_S: Final = 3.0
# A request has been read this long after its sending.
READ_S: Final = 0.2
_NOT_RUN: Final = frozenset({408, 421, 429, 503})
_NO_RUN_BEHAVIOURS: Final = frozenset(
    {fake_upstream.Behaviour.REJECT, fake_upstream.Behaviour.MISDIRECT}
)


def stream() -> bytes:
    """Return the whole stream of an engine."""
    return b"".join(b"id: %d\ndata: %d\n\n" % (n, n) for n in range(1, soak_environment.EVENTS + 1))


def judge(
    environment: soak_environment.SoakEnvironment, outcomes: list[callers.Outcome]
) -> Iterator[str]:
    """Yield each broken promise."""
    runs = collections.Counter(
        seen.header(names.Header.REQUEST_ID)
        for server in environment.server_by_name.values()
        for seen in server.received
        if not seen.header(names.Header.STAGE)
        and not seen.header(names.Header.LAST_EVENT_ID)
        and seen.behaviour not in _NO_RUN_BEHAVIOURS
    )
    sent = {each.id for each in outcomes}
    for each in outcomes:
        ran = runs[each.id]
        continues = each.path.startswith("/stream")
        if not each.path.startswith("/safe") and ran > (2 if continues else 1):
            yield f"{each.id} {each.path} ran {ran} times"
        if each.is_whole and each.status in _NOT_RUN and ran and not each.path.startswith("/safe"):
            yield f"{each.id} {each.path} ran, and its caller was told {each.status}"
        if each.is_whole and each.status == 200:
            # Upstreams that misbehave answer generations like plain requests, stamped and whole.
            expected = (stream(), b"answer") if continues else (b"answer",)
            if each.body not in expected or each.echoed != each.id:
                yield f"{each.id} {each.path} got another answer: {each.body[:60]!r}"
        withdrawn_s = environment.withdrawn_s_by_key.get(each.key)
        if (
            withdrawn_s is not None
            and each.sent_s > withdrawn_s + soak_environment.WITHDRAWAL_S
            and ran
        ):
            late_s = each.sent_s - withdrawn_s
            yield f"{each.id} ran with a key that was withdrawn {late_s:.1f} s before"
    yield from _cut_by_a_stop(environment, outcomes)
    yield from _sent_to_leaving(environment, outcomes)
    for server in environment.server_by_name.values():
        for seen in server.received:
            if seen.header(names.Header.KEY) is not None:
                yield f"an upstream saw the key of {seen.header(names.Header.REQUEST_ID)}"
            if seen.header(names.Header.REQUEST_ID) not in sent:
                yield f"an upstream got {seen.header(names.Header.REQUEST_ID)}, which nobody sent"


def _cut_by_a_stop(
    environment: soak_environment.SoakEnvironment, outcomes: list[callers.Outcome]
) -> Iterator[str]:
    """Yield requests that an instance had read and cut since it was told to stop."""
    upstreams = {*environment.proxy_by_name, "store"}
    for each in outcomes:
        stopped_s = environment.fault_history.last_stop_s(each.instance, each.ended_s)
        if each.is_whole or stopped_s is None or each.sent_s > stopped_s + soak_environment.GRACE_S:
            continue
        was_read = each.ended_s - each.sent_s > READ_S
        gave_up = each.ended_s - each.sent_s > callers.PATIENCE_S - READ_S
        calm = environment.fault_history.is_calm(
            {each.instance, *upstreams}, min(stopped_s, each.sent_s) - STEADY_S, each.ended_s
        )
        if calm and was_read and not gave_up:
            yield (
                f"{each.id} {each.path} was cut at {each.instance}, sent "
                f"{each.sent_s - stopped_s:+.2f} s from the signal to stop, after "
                f"{each.ended_s - each.sent_s:.2f} s"
            )


def _sent_to_leaving(
    environment: soak_environment.SoakEnvironment, outcomes: list[callers.Outcome]
) -> Iterator[str]:
    """Yield requests that reached an upstream long after all could know that it leaves."""
    instance_by_id = {each.id: each.instance for each in outcomes}
    for name, since_s in environment.draining_since_s_by_name.items():
        for seen in environment.server_by_name[name].received:
            instance = instance_by_id.get(seen.header(names.Header.REQUEST_ID) or "", "")
            late_s = seen.at_s - since_s
            if late_s <= soak_environment.DRAIN_S + ON_THE_WAY_S:
                continue
            began_s = seen.at_s - soak_environment.DRAIN_S - ON_THE_WAY_S - STEADY_S
            if environment.fault_history.is_calm({instance, name, "store"}, began_s, seen.at_s):
                yield f"{name} got a request of {instance} {late_s:.1f} s after it began to leave"


def settle(environment: soak_environment.SoakEnvironment) -> Iterator[str]:
    """Wait for the fleet after the faults and yield what does not come back."""
    until_s = time.monotonic() + READY_WITHIN_S
    waiting = list(environment.instances)
    while waiting and time.monotonic() < until_s:
        for instance in environment.instances:
            instance.restart_if_ended()
        waiting = [each for each in waiting if not each.is_ready()]
        time.sleep(0.1)
    for instance in waiting:
        yield f"{instance.name} is not ready {READY_WITHIN_S:.0f} s after the faults"


def held(environment: soak_environment.SoakEnvironment) -> Iterator[str]:
    """Yield what instances still hold once no request is under way."""
    time.sleep(callers.PATIENCE_S + ON_THE_WAY_S)
    for instance in environment.instances:
        instance.restart_if_ended()
    for instance in environment.instances:
        try:
            status = instance.status()
        except (OSError, http.client.HTTPException) as error:
            yield f"{instance.name} does not tell its status: {error!r}"
            continue
        if status["requests_at_work"]:
            yield f"{instance.name} holds {status['requests_at_work']} requests"
        if instance.ended_by_itself:
            yield f"{instance.name} ended by itself {instance.ended_by_itself} times"
