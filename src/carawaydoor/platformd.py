"""``python -m carawaydoor.platformd``: one instance of the router on the users' platform."""

from __future__ import annotations

import os
import pathlib
import signal
import sys
import threading
import time
from typing import Final

# A reload that is asked for while the libraries below are loaded must not end the process.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

import eliot

from carawaydoor import release
from carawaydoor.fleet import transport
from carawaydoor.operating import (
    clocks,
    exit_codes,
    logs,
    platform_metrics,
    platform_options,
    probe_app,
    source_watcher,
    stage_balancer,
)
from carawaydoor.platform import http_adapter, names, platform_settings, store_source
from carawaydoor.serving import caller_app, http_servers, instance_state

# Port for metrics and the operators' questions, named in deploy/system.toml too.
METRICS_PORT: Final = 9464
# Interval in seconds at which time-outs are looked for.
TICK_S: Final = 0.2
# Interval in seconds at which the settings file is looked at for a change without a signal.
SETTINGS_LOOK_S: Final = 2.0
# Time in seconds for which the balancer may still send callers after it was told to stop: two
# questions a second apart and their answers.
LEAVE_NOTICE_S: Final = 2.6
# Time in seconds without a request at work after which an instance that leaves ends.
QUIET_S: Final = 0.4
# Part of the grace time that is left for the end of the process itself.
STOP_RESERVE_S: Final = 0.5
LOG_FLUSH_S: Final = 0.3
# Longest time in seconds that one thread keeps the interpreter while others wait.
SWITCH_INTERVAL_S: Final = 0.005


class Daemon:
    """The tasks of one instance."""

    def __init__(self, settings_: platform_options.Options, clock: clocks.Clock) -> None:
        self._options = settings_
        self._clock = clock
        self._settings_written: tuple[int, int] | None = None
        self._instance = instance_state.InstanceState(
            settings_, clock, platform_metrics.Metrics(settings_.instance)
        )
        self._watcher = source_watcher.SourceWatcher(
            self._instance, store_source.StoreSource(settings_.store), clock
        )
        self._transport = transport.UdpTransport(
            platform_options.Address(settings_.peer_host, settings_.first_port),
            self._instance,
            clock,
        )
        self._instance.selector.on_placed = self._transport.announce_work
        adapter = http_adapter.PlatformHttpAdapter()
        self._callers = http_servers.CallerServer(
            caller_app.CallerApp(self._instance, adapter),
            settings_,
            lambda: self._instance.is_draining,
        )
        self._balancer = stage_balancer.StageBalancer(self._instance, adapter)
        metrics = platform_options.Address(settings_.ready.host, METRICS_PORT)
        self._operators = http_servers.OperatorServer(
            probe_app.ProbeApp(self._instance, names.READINESS_PATH), (settings_.ready, metrics)
        )

    def start(self) -> None:
        """Start every task."""
        self._callers.start()
        self._operators.start()
        self._transport.start()
        self._watcher.start()
        self._balancer.start()

    def run(self, stopping: threading.Event, reloading: threading.Event) -> None:
        """Look after time-outs until asked to stop."""
        limits = self._instance.configuration.limits
        looked_s = self._clock.now_s()
        while not stopping.wait(TICK_S):
            self._instance.expire()
            if self._instance.configuration.limits != limits:
                limits = self._instance.configuration.limits
                self._callers.apply_limits(limits)
            now_s = self._clock.now_s()
            if reloading.is_set() or now_s - looked_s >= SETTINGS_LOOK_S:
                # The file also changes without a signal.
                looked_s = now_s
                self._reload(reloading.is_set())
                reloading.clear()

    def drain(self) -> None:
        """Let the balancer turn away, finish the requests at work, and end."""
        began_s = self._clock.now_s()
        self._instance.drain_started_s = began_s
        eliot.log_message(
            message_type="drain_started", requests_at_work=self._instance.active_requests
        )
        until_s = began_s + self._options.bounds.grace_s - STOP_RESERVE_S
        quiet_since_s = began_s
        while (now_s := self._clock.now_s()) < until_s:
            if self._instance.active_requests > 0:
                quiet_since_s = now_s
            if now_s >= began_s + LEAVE_NOTICE_S and now_s - quiet_since_s >= QUIET_S:
                break
            time.sleep(TICK_S / 2)
            self._instance.expire()
        eliot.log_message(message_type="stopped", requests_at_work=self._instance.active_requests)

    def _reload(self, was_asked: bool) -> None:
        path = platform_settings.path_from_environment()
        if path is None or (not was_asked and self._is_unchanged(path)):
            return
        result = platform_settings.read(path)
        if result.is_error():
            eliot.log_message(message_type="reload_refused", faults=result.error)
            return
        changed = result.ok != self._instance.options
        self._instance.options = result.ok
        eliot.log_message(message_type="reloaded", changed=changed, was_asked=was_asked)

    def _is_unchanged(self, path: pathlib.Path) -> bool:
        try:
            status = path.stat()
        except OSError as error:
            eliot.log_message(message_type="settings_not_found", detail=repr(error))
            return True
        written = (status.st_mtime_ns, status.st_size)
        is_unchanged = self._settings_written in (None, written)
        self._settings_written = written
        return is_unchanged


def main() -> int:
    """Run one instance until SIGTERM."""
    path = platform_settings.path_from_environment()
    if path is None:
        print(f"{names.SETTINGS_VARIABLE} names no settings file", file=sys.stderr)
        return exit_codes.ExitCode.USAGE
    result = platform_settings.read(path)
    if result.is_error():
        for fault in result.error:
            print(fault, file=sys.stderr)
        return exit_codes.ExitCode.INVALID_SETTINGS
    clock = clocks.SystemClock()
    log_writer = logs.LogWriter(clock, result.ok.instance)
    log_writer.start()
    stopping, reloading = threading.Event(), threading.Event()
    signal.signal(signal.SIGTERM, lambda *_: stopping.set())
    signal.signal(signal.SIGINT, lambda *_: stopping.set())
    signal.signal(signal.SIGHUP, lambda *_: reloading.set())
    sys.setswitchinterval(SWITCH_INTERVAL_S)
    daemon = Daemon(result.ok, clock)
    daemon.start()
    eliot.log_message(message_type="started", version=release.VERSION, process=os.getpid())
    daemon.run(stopping, reloading)
    daemon.drain()
    log_writer.stop(LOG_FLUSH_S)
    # Idle connections of callers end with the process; nothing is left to finish.
    os._exit(exit_codes.ExitCode.OK)


if __name__ == "__main__":
    sys.exit(main())
