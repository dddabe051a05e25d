"""Draws faults from a seed and applies them, in series that overlap."""

from __future__ import annotations

import random
import signal
import threading
import time
from collections.abc import Callable
from typing import Final

from tests.platform_side import fake_store, fake_upstream
from tools.soak import fault_history, fault_proxy, soak_environment

LONGEST_S: Final = 4.0
GAP_S: Final = 0.8
# One seed of so many does planned work only.
PLANNED_EVERY: Final = 3


class Faults:
    """Applies one fault after the other until told to stop; each ends by itself."""

    def __init__(self, environment: soak_environment.SoakEnvironment, seed: int) -> None:
        self._environment = environment
        self._fault_history = environment.fault_history
        self._random = random.Random(seed)
        self._timers: list[threading.Timer] = []
        self.applied: list[str] = []
        planned: tuple[Callable[[float], str], ...] = (
            self._terminate,
            self._terminate,
            self._hang_up,
            self._withdraw,
            self._drain_upstream,
            self._reconfigure,
        )
        # Planned work alone, in series: only then is every cut request a broken promise.
        self._is_planned = seed % PLANNED_EVERY == 0
        unplanned: tuple[Callable[[float], str], ...] = (
            self._pause,
            self._kill,
            self._terminate,
            self._hang_up,
            self._harm_upstream,
            self._harm_store,
            self._store_trouble,
            self._bad_answers,
            self._withdraw,
            self._drain_upstream,
        )
        self._kinds = planned if self._is_planned else unplanned

    def run(self, seconds: float) -> None:
        """Apply faults for a time, then wait for the last to end."""
        until_s = time.monotonic() + seconds
        while time.monotonic() < until_s:
            lasting_s = self._random.uniform(0.3, LONGEST_S)
            self.applied.append(self._random.choice(self._kinds)(lasting_s))
            for instance in self._environment.instances:
                instance.restart_if_ended()
            time.sleep(self._random.uniform(0.1, GAP_S * 2))
        for timer in self._timers:
            timer.join()

    def _after(self, seconds: float, end: Callable[[], object]) -> None:
        timer = threading.Timer(seconds, end)
        timer.daemon = True
        timer.start()
        self._timers.append(timer)

    def _pause(self, lasting_s: float) -> str:
        instance = self._random.choice(self._environment.instances)
        instance.send(signal.SIGSTOP)
        self._fault_history.disturb(instance.name, time.monotonic(), lasting_s)
        self._after(lasting_s, lambda: instance.send(signal.SIGCONT))
        return f"pause {instance.name} {lasting_s:.1f}"

    def _kill(self, lasting_s: float) -> str:
        count = self._random.choice((1, 1, 1, len(self._environment.instances)))
        chosen = self._random.sample(self._environment.instances, count)
        for instance in chosen:
            instance.is_expected_to_end = True
            self._fault_history.disturb(instance.name, time.monotonic(), GAP_S * 2)
            instance.send(signal.SIGKILL)
        return f"kill {count}"

    def _terminate(self, lasting_s: float) -> str:
        instance = self._random.choice(self._environment.instances)
        instance.is_expected_to_end = True
        self._fault_history.stop(instance.name, time.monotonic())
        instance.send(signal.SIGTERM)
        return f"terminate {instance.name}"

    def _hang_up(self, lasting_s: float) -> str:
        instance = self._random.choice(self._environment.instances)
        instance.send(signal.SIGHUP)
        return f"hang up {instance.name}"

    def _harm_upstream(self, lasting_s: float) -> str:
        name = self._random.choice(sorted(self._environment.proxy_by_name))
        return self._harm(self._environment.proxy_by_name[name], name, lasting_s)

    def _harm_store(self, lasting_s: float) -> str:
        return self._harm(self._environment.store_proxy, "store", lasting_s)

    def _harm(self, target: fault_proxy.FaultProxy, name: str, lasting_s: float) -> str:
        mode = self._random.choice(tuple(fault_proxy.Mode))
        target.mode = mode
        self._fault_history.disturb(name, time.monotonic(), lasting_s)
        self._after(lasting_s, lambda: setattr(target, "mode", fault_proxy.Mode.PASS))
        return f"{mode.value} {name} {lasting_s:.1f}"

    def _store_trouble(self, lasting_s: float) -> str:
        if self._random.random() < 0.3:
            self._fault_history.disturb("store", time.monotonic(), 0.0)
            self._environment.store.drop_history()
            return "forget history"
        mode = self._random.choice(tuple(fake_store.Mode))
        self._environment.store.mode = mode
        self._fault_history.disturb("store", time.monotonic(), lasting_s)
        self._after(
            lasting_s, lambda: setattr(self._environment.store, "mode", fake_store.Mode.GOOD)
        )
        return f"store {mode.value} {lasting_s:.1f}"

    def _bad_answers(self, lasting_s: float) -> str:
        name = self._random.choice(sorted(self._environment.server_by_name))
        behaviours = self._random.choices(tuple(fake_upstream.Behaviour), k=4)
        self._environment.server_by_name[name].behaviours.extend(behaviours)
        # They are used up one a request, at a time that is not known.
        self._fault_history.disturb(fault_history.ALL, time.monotonic(), float("inf"))
        return f"bad answers {name}"

    def _reconfigure(self, lasting_s: float) -> str:
        self._environment.configure(self._environment.keys)
        return "configure"

    def _withdraw(self, lasting_s: float) -> str:
        if self._environment.withdrawn_s_by_key:
            return "withdrawn already"
        key = self._random.choice(soak_environment.KEYS)
        self._environment.configure(tuple(each for each in soak_environment.KEYS if each != key))
        return f"withdraw {key}"

    def _drain_upstream(self, lasting_s: float) -> str:
        if self._environment.draining_since_s_by_name:
            return "drained already"
        name, stage = self._random.choice((("s3", None), ("d3", "decode")))
        self._environment.publish(name, stage, "draining")
        return f"drain {name}"
