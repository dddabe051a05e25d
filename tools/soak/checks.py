"""Checks of the router's guarantees against what callers and upstreams recorded."""

from __future__ import annotations

import collections
import http.client
import time
from collections.abc import Iterator
from typing import Final

from carawaydoor.platform import names
from tests.platform_side import fake_upstream
from tools.soak import callers, partitions, quotas, soak_environment, streams

READY_TIMEOUT_S: Final = 15.0
# Allowed for a request that was sent before a bound and arrives after it.
IN_FLIGHT_ALLOWANCE_S: Final = 0.5
# A bound is checked only if no fault affected the instance for this long before.
UNDISTURBED_BEFORE_S: Final = 3.0
# An instance that no fault affects has read a request within this time.
MAX_READ_DELAY_S: Final = 0.2
# Requests that may reach an upstream after it has asked an instance for none: they were under way.
MAX_REQUESTS_AFTER_REJECTION: Final = 2
# A limit holds in each window of this length, from some time after an upstream first named it.
LIMIT_WINDOW_S: Final = 4.0
LIMIT_NOTICE_S: Final = 3.0
LIMIT_OVERSHOOT: Final = 1.5
LIMIT_SLACK_REQUESTS: Final = 5
_NOT_RUN_STATUSES: Final = frozenset({408, 421, 429, 503})
_NO_RUN_BEHAVIOURS: Final = frozenset(
    {
        fake_upstream.Behaviour.REJECT,
        fake_upstream.Behaviour.REJECT_TWICE,
        fake_upstream.Behaviour.MISDIRECT,
        fake_upstream.Behaviour.MISDIRECT_TWICE,
    }
)


def find_violations(
    environment: soak_environment.SoakEnvironment, outcomes: list[callers.Outcome]
) -> Iterator[str]:
    """Yield a description of each violated guarantee."""
    runs = collections.Counter(
        request.header(names.Header.REQUEST_ID)
        for upstream in environment.upstream_by_name.values()
        for request in upstream.received
        if not request.header(names.Header.STAGE)
        and not request.header(names.Header.LAST_EVENT_ID)
        and request.behaviour not in _NO_RUN_BEHAVIOURS
    )
    sent = {each.id for each in outcomes}
    for each in outcomes:
        run_count = runs[each.id]
        is_stream = each.is_stream
        if not each.path.startswith("/safe") and run_count > (2 if is_stream else 1):
            yield f"{each.id} {each.path} ran {run_count} times"
        if (
            each.is_complete
            and each.status in _NOT_RUN_STATUSES
            and run_count
            and not each.path.startswith("/safe")
        ):
            yield f"{each.id} {each.path} ran, but its caller received {each.status}"
        if each.is_complete and each.status == 200:
            # The content of streams is checked apart, also of those that broke off.
            is_right = is_stream or each.body in fake_upstream.plain_bodies(each.id)
            if not is_right or each.echoed_id != each.id:
                yield f"{each.id} {each.path} received a wrong answer: {each.body[:60]!r}"
        withdrawn_s = environment.withdrawn_s_by_key.get(each.key)
        if (
            withdrawn_s is not None
            and each.sent_s > withdrawn_s + soak_environment.KEY_WITHDRAWAL_BOUND_S
            and run_count
        ):
            late_s = each.sent_s - withdrawn_s
            yield f"{each.id} ran with a key withdrawn {late_s:.1f} s earlier"
    yield from _find_requests_aborted_by_shutdown(environment, outcomes)
    yield from _find_requests_to_drained_upstreams(environment, outcomes)
    yield from _find_requests_beyond_limits(environment, outcomes)
    yield from _find_requests_after_rejections(environment, outcomes)
    yield from partitions.find_badly_served(environment, outcomes)
    with_gap = streams.begun_with_gap(environment)
    yield from streams.find_faulty(outcomes, with_gap)
    yield from streams.find_joined(outcomes)
    yield from streams.find_badly_taken_up(outcomes, with_gap)
    yield from quotas.find_exceeded(environment)
    for upstream in environment.upstream_by_name.values():
        for request in upstream.received:
            if request.header(names.Header.KEY) is not None:
                yield f"upstream received the API key of {request.header(names.Header.REQUEST_ID)}"
            if request.header(names.Header.REQUEST_ID) not in sent:
                yield f"upstream received {request.header(names.Header.REQUEST_ID)}, never sent"


def _find_requests_aborted_by_shutdown(
    environment: soak_environment.SoakEnvironment, outcomes: list[callers.Outcome]
) -> Iterator[str]:
    """Yield requests that an instance had read and aborted while shutting down.

    Requests sent after the shutdown grace period don't count.
    """
    dependencies = {*environment.proxy_by_name, "store"}
    for each in outcomes:
        stopped_s = environment.fault_history.last_stop_s(each.instance, each.ended_s)
        if (
            each.is_complete
            or each.is_abandoned
            or stopped_s is None
            or each.sent_s > stopped_s + soak_environment.SHUTDOWN_GRACE_S
        ):
            continue
        was_read = each.ended_s - each.sent_s > MAX_READ_DELAY_S
        timed_out = each.ended_s - each.sent_s > callers.REQUEST_TIMEOUT_S - MAX_READ_DELAY_S
        undisturbed = environment.fault_history.is_undisturbed(
            {each.instance, *dependencies},
            min(stopped_s, each.sent_s) - UNDISTURBED_BEFORE_S,
            each.ended_s,
        )
        if undisturbed and was_read and not timed_out:
            yield (
                f"{each.id} {each.path} was aborted at {each.instance}, sent "
                f"{each.sent_s - stopped_s:+.2f} s from the shutdown signal, after "
                f"{each.ended_s - each.sent_s:.2f} s"
            )


def _find_requests_to_drained_upstreams(
    environment: soak_environment.SoakEnvironment, outcomes: list[callers.Outcome]
) -> Iterator[str]:
    """Yield requests sent to an upstream after every instance had to know that it drains."""
    instance_by_id = {each.id: each.instance for each in outcomes}
    for name, draining_since_s in environment.draining_since_s_by_name.items():
        for request in environment.upstream_by_name[name].received:
            instance = instance_by_id.get(request.header(names.Header.REQUEST_ID) or "", "")
            late_s = request.at_s - draining_since_s
            if late_s <= soak_environment.DRAIN_BOUND_S + IN_FLIGHT_ALLOWANCE_S:
                continue
            undisturbed_from_s = (
                request.at_s
                - soak_environment.DRAIN_BOUND_S
                - IN_FLIGHT_ALLOWANCE_S
                - UNDISTURBED_BEFORE_S
            )
            if environment.fault_history.is_undisturbed(
                {instance, name, "store"}, undisturbed_from_s, request.at_s
            ):
                yield f"{name} received a request of {instance} {late_s:.1f} s after drain start"


def _find_requests_after_rejections(
    environment: soak_environment.SoakEnvironment, outcomes: list[callers.Outcome]
) -> Iterator[str]:
    """Yield upstreams that got requests of an instance after they had asked it to send none for a while."""
    instance_by_id = {each.id: each.instance for each in outcomes}
    for name, upstream in environment.upstream_by_name.items():
        received = [
            (instance_by_id.get(each.header(names.Header.REQUEST_ID) or "", ""), each)
            for each in upstream.received
        ]
        for instance, rejected in received:
            from_s = rejected.at_s + IN_FLIGHT_ALLOWANCE_S
            until_s = rejected.at_s + rejected.retry_after_s
            count = sum(
                sender == instance and from_s < each.at_s < until_s for sender, each in received
            )
            # A fault at the upstream's connections may have kept the rejection from the instance.
            if count > MAX_REQUESTS_AFTER_REJECTION and environment.fault_history.is_undisturbed(
                {instance, name}, rejected.at_s - UNDISTURBED_BEFORE_S, until_s
            ):
                yield (
                    f"{name} received {count} requests of {instance} in the "
                    f"{rejected.retry_after_s:.1f} s for which it wanted none"
                )


def _find_requests_beyond_limits(
    environment: soak_environment.SoakEnvironment, outcomes: list[callers.Outcome]
) -> Iterator[str]:
    """Yield limits that instances without a disturbance did not keep together.

    Prefills of a request count as well, since each is a request to an engine.
    """
    instance_by_id = {each.id: each.instance for each in outcomes}
    for name, limit in environment.limit_by_name.items():
        bound_s = [
            request.at_s
            for request in environment.upstream_by_name[name].received
            if request.at_s >= limit.since_s + LIMIT_NOTICE_S
            and environment.fault_history.is_undisturbed(
                {instance_by_id.get(request.header(names.Header.REQUEST_ID) or "", ""), name},
                request.at_s - UNDISTURBED_BEFORE_S,
                request.at_s,
            )
        ]
        allowed = LIMIT_OVERSHOOT * limit.per_s * LIMIT_WINDOW_S + LIMIT_SLACK_REQUESTS
        most = max(
            (
                sum(from_s <= each < from_s + LIMIT_WINDOW_S for each in bound_s)
                for from_s in bound_s
            ),
            default=0,
        )
        if most > allowed:
            yield f"{name} with a limit of {limit.per_s} a second got {most} requests in 4 s"


def wait_until_ready(environment: soak_environment.SoakEnvironment) -> Iterator[str]:
    """Wait until all instances are ready and yield those that are not in time."""
    deadline_s = time.monotonic() + READY_TIMEOUT_S
    waiting = list(environment.instances)
    while waiting and time.monotonic() < deadline_s:
        for instance in environment.instances:
            instance.restart_if_exited()
        waiting = [each for each in waiting if not each.is_ready()]
        time.sleep(0.1)
    for instance in waiting:
        yield f"{instance.name} is not ready after {READY_TIMEOUT_S:.0f} s without new faults"


def find_leaks(environment: soak_environment.SoakEnvironment) -> Iterator[str]:
    """Wait until no request can be pending, then yield leaked requests and unexpected exits."""
    time.sleep(callers.REQUEST_TIMEOUT_S + IN_FLIGHT_ALLOWANCE_S)
    for instance in environment.instances:
        instance.restart_if_exited()
    for instance in environment.instances:
        try:
            status = instance.status()
        except (OSError, http.client.HTTPException) as error:
            yield f"{instance.name} returns no status: {error!r}"
            continue
        if status["requests_at_work"]:
            yield f"{instance.name} holds {status['requests_at_work']} requests"
        if instance.unexpected_exits:
            yield f"{instance.name} exited unexpectedly {instance.unexpected_exits} times"
