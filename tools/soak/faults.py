"""Draws a random sequence of faults from a seed and applies them; they may overlap."""

from __future__ import annotations

import random
import signal
import threading
import time
from collections.abc import Callable
from typing import Final

from tests.platform_side import fake_store, fake_upstream
from tools.soak import fault_history, fault_proxy, partition, soak_environment

MAX_FAULT_DURATION_S: Final = 4.0
MEAN_FAULT_GAP_S: Final = 0.8
# Added to the duration of a partition.
MIN_PARTITION_S: Final = 4.0
# Every third seed runs planned operations only.
SEEDS_PER_PLANNED_RUN: Final = 3
# Time until the operator and the upstreams have written to a restored store again.
MAX_REWRITE_DELAY_S: Final = 1.5
# An upstream that crashes would not come back.
_BAD_ANSWERS: Final = tuple(
    each for each in fake_upstream.Behaviour if each is not fake_upstream.Behaviour.CRASH_IN_STREAM
)


class FaultInjector:
    """Applies random faults, each for a limited time.

    :ivar applied: description of each fault so far
    """

    def __init__(self, environment: soak_environment.SoakEnvironment, seed: int) -> None:
        self._environment = environment
        self._fault_history = environment.fault_history
        self._random = random.Random(seed)
        self._timers: list[threading.Timer] = []
        self.applied: list[str] = []
        planned: tuple[Callable[[float], str], ...] = (
            self._terminate,
            self._terminate,
            self._reload,
            self._withdraw_key,
            self._drain_upstream,
            self._reconfigure,
        )
        # Without crashes and network faults, every aborted request is a violation.
        self._is_planned = seed % SEEDS_PER_PLANNED_RUN == 0
        unplanned: tuple[Callable[[float], str], ...] = (
            self._pause,
            self._kill,
            self._terminate,
            self._reload,
            self._break_upstream_connections,
            self._break_store_connections,
            self._inject_store_fault,
            self._restore_store,
            self._turn_requests_away,
            self._cut_off,
            self._cut_off,
            self._queue_bad_answers,
            self._withdraw_key,
            self._drain_upstream,
        )
        self._kinds = planned if self._is_planned else unplanned

    def run(self, seconds: float) -> None:
        """Apply faults for ``seconds``, then wait until all have ended."""
        deadline_s = time.monotonic() + seconds
        while time.monotonic() < deadline_s:
            duration_s = self._random.uniform(0.3, MAX_FAULT_DURATION_S)
            self.applied.append(self._random.choice(self._kinds)(duration_s))
            for instance in self._environment.instances:
                instance.restart_if_exited()
            time.sleep(self._random.uniform(0.1, MEAN_FAULT_GAP_S * 2))
        for timer in self._timers:
            timer.join()

    def _schedule(self, seconds: float, end: Callable[[], object]) -> None:
        timer = threading.Timer(seconds, end)
        timer.daemon = True
        timer.start()
        self._timers.append(timer)

    def _pause(self, duration_s: float) -> str:
        instance = self._random.choice(self._environment.instances)
        instance.send_signal(signal.SIGSTOP)
        self._fault_history.record_disturbance(instance.name, time.monotonic(), duration_s)
        self._schedule(duration_s, lambda: instance.send_signal(signal.SIGCONT))
        return f"pause {instance.name} {duration_s:.1f}"

    def _cut_off(self, duration_s: float) -> str:
        """Cut an instance off from all upstreams, for longer than it takes to find out."""
        instance = self._random.choice(self._environment.instances)
        is_silent = self._random.random() < 0.5
        began_s, for_s = time.monotonic(), MIN_PARTITION_S + duration_s
        ports = [each.port for each in self._environment.proxy_by_name.values()]
        instance.cut_off(ports, is_silent)
        self._environment.partitions.append(
            partition.Partition(instance.name, began_s, began_s + for_s)
        )
        self._schedule(for_s, instance.reconnect)
        return f"cut off {instance.name} {'silent' if is_silent else 'refused'} {for_s:.1f}"

    def _kill(self, duration_s: float) -> str:
        count = self._random.choice((1, 1, 1, len(self._environment.instances)))
        chosen = self._random.sample(self._environment.instances, count)
        for instance in chosen:
            instance.is_exit_expected = True
            self._fault_history.record_disturbance(
                instance.name, time.monotonic(), MEAN_FAULT_GAP_S * 2
            )
            instance.send_signal(signal.SIGKILL)
        return f"kill {count}"

    def _terminate(self, duration_s: float) -> str:
        instance = self._random.choice(self._environment.instances)
        instance.is_exit_expected = True
        self._fault_history.record_stop(instance.name, time.monotonic())
        instance.send_signal(signal.SIGTERM)
        return f"terminate {instance.name}"

    def _reload(self, duration_s: float) -> str:
        instance = self._random.choice(self._environment.instances)
        instance.send_signal(signal.SIGHUP)
        return f"hang up {instance.name}"

    def _break_upstream_connections(self, duration_s: float) -> str:
        name = self._random.choice(sorted(self._environment.proxy_by_name))
        return self._break_connections(self._environment.proxy_by_name[name], name, duration_s)

    def _break_store_connections(self, duration_s: float) -> str:
        return self._break_connections(self._environment.store_proxy, "store", duration_s)

    def _break_connections(
        self, target: fault_proxy.FaultProxy, name: str, duration_s: float
    ) -> str:
        mode = self._random.choice(tuple(fault_proxy.Mode))
        target.mode = mode
        self._fault_history.record_disturbance(name, time.monotonic(), duration_s)
        self._schedule(duration_s, lambda: setattr(target, "mode", fault_proxy.Mode.PASS))
        return f"{mode.value} {name} {duration_s:.1f}"

    def _inject_store_fault(self, duration_s: float) -> str:
        if self._random.random() < 0.3:
            self._fault_history.record_disturbance("store", time.monotonic(), 0.0)
            self._environment.store.drop_history()
            return "forget history"
        mode = self._random.choice(tuple(fake_store.Mode))
        self._environment.store.mode = mode
        self._fault_history.record_disturbance("store", time.monotonic(), duration_s)
        self._schedule(
            duration_s, lambda: setattr(self._environment.store, "mode", fake_store.Mode.GOOD)
        )
        return f"store {mode.value} {duration_s:.1f}"

    def _queue_bad_answers(self, duration_s: float) -> str:
        name = self._random.choice(sorted(self._environment.upstream_by_name))
        behaviours = self._random.choices(_BAD_ANSWERS, k=4)
        self._environment.upstream_by_name[name].behaviours.extend(behaviours)
        # Each of the next requests takes one behaviour, so the fault may end at any later time.
        self._fault_history.record_disturbance(
            fault_history.ALL_TARGETS, time.monotonic(), float("inf")
        )
        return f"bad answers {name}"

    def _restore_store(self, duration_s: float) -> str:
        """Restore the store from its last copy; the operator and the upstreams write again later."""
        delay_s = min(duration_s, MAX_REWRITE_DELAY_S)
        self._fault_history.record_disturbance("store", time.monotonic(), delay_s)
        self._environment.restore_store()
        self._schedule(delay_s, self._environment.write_again)
        return f"restore store, written again after {delay_s:.1f}"

    def _turn_requests_away(self, duration_s: float) -> str:
        name = self._random.choice(sorted(self._environment.upstream_by_name))
        self._environment.turn_requests_away(name, duration_s)
        return f"turn away {name} {duration_s:.1f}"

    def _reconfigure(self, duration_s: float) -> str:
        self._environment.publish_configuration(self._environment.configured_keys)
        return "configure"

    def _withdraw_key(self, duration_s: float) -> str:
        if self._environment.withdrawn_s_by_key:
            return "withdrawn already"
        key = self._random.choice(soak_environment.API_KEYS)
        self._environment.publish_configuration(
            tuple(each for each in soak_environment.API_KEYS if each != key)
        )
        return f"withdraw {key}"

    def _drain_upstream(self, duration_s: float) -> str:
        if self._environment.draining_since_s_by_name:
            return "drained already"
        name, stage = self._random.choice((("s3", None), ("d3", "decode")))
        self._environment.publish_upstream(name, stage, "draining")
        return f"drain {name}"
