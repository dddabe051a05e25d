"""``python -m carawaydoor.platformd``: one instance of the router on the users' platform."""

from __future__ import annotations

import os
import pathlib
import signal
import sys
import threading
import time
from typing import Final

# A SIGHUP that arrives while the libraries below are being loaded must not end the process.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

import eliot

from carawaydoor import release
from carawaydoor.fleet import transport
from carawaydoor.operating import (
    allocator,
    clocks,
    exit_codes,
    logs,
    platform_metrics,
    platform_options,
    probe_app,
    source_watcher,
    stage_balancer,
)
from carawaydoor.platform import http_adapter, names, platform_settings, store_lists, store_source
from carawaydoor.serving import (
    caller_app,
    http_servers,
    instance_state,
    peer_app,
    request_limits,
    unread_refusals,
)

# Port of /metrics and /status; also named in deploy/system.toml.
METRICS_PORT: Final = 9464
EXPIRY_INTERVAL_S: Final = 0.2
# The settings file may also change without a SIGHUP.
SETTINGS_CHECK_INTERVAL_S: Final = 2.0
# Time after SIGTERM in which the load balancer may still send requests: two readiness probes, one
# second apart, and their answers.
DRAIN_NOTICE_S: Final = 2.6
# A draining instance exits after this much time without a request.
IDLE_BEFORE_EXIT_S: Final = 0.4
# Part of the grace period that is reserved for the exit of the process itself.
EXIT_RESERVE_S: Final = 0.5
LOG_FLUSH_TIMEOUT_S: Final = 0.3
# A request that was just read is seen by the second check at the latest.
MIN_IDLE_CHECKS: Final = 2
IDLE_CHECK_INTERVAL_S: Final = 0.02
# Maximum time for which a thread holds the interpreter lock while others wait for it.
SWITCH_INTERVAL_S: Final = 0.005


class Daemon:
    """Creates, runs and stops the components of one instance."""

    def __init__(self, options: platform_options.Options, clock: clocks.Clock) -> None:
        self._options = options
        self._clock = clock
        self._settings_file_version: tuple[int, int] | None = None
        self._instance = instance_state.InstanceState(
            options, clock, platform_metrics.Metrics(options.instance)
        )
        source = store_source.StoreSource(options.store, clock)
        self._instance.lists.source = store_lists.StoreLists(
            options.store, options.store_history_s, source.configuration_created
        )
        self._source_watcher = source_watcher.SourceWatcher(self._instance, source, clock)
        self._transport = transport.UdpTransport(
            platform_options.Address(options.peer_host, options.first_port),
            self._instance,
            clock,
        )
        self._instance.selector.on_generations_changed = self._transport.announce_work
        self._instance.selector.on_failure = self._transport.announce_work
        self._instance.upstream_limiter.on_change = self._transport.announce_work
        self._instance.streams.on_origins = self._transport.send_origins
        self._instance.source.on_changed = self._transport.announce_source_change
        adapter = http_adapter.PlatformHttpAdapter()
        self._caller_server = http_servers.CallerServer(
            caller_app.CallerApp(self._instance, adapter),
            options,
            lambda: self._instance.is_draining,
            request_limits.RequestGuard(
                clock,
                self._instance.request_budget,
                unread_refusals.RefusalFormatter(adapter, self._instance.metrics.refusals),
                request_limits.LimitRecorder(clock, self._instance.metrics.request_limits),
            ),
        )
        self._stage_balancer = stage_balancer.StageBalancer(self._instance, adapter)
        metrics_address = platform_options.Address(options.ready.host, METRICS_PORT)
        self._operator_server = http_servers.OperatorServer(
            probe_app.ProbeApp(self._instance, names.READINESS_PATH),
            (options.ready, metrics_address),
        )
        self._caller_server.listen_to_peers(
            peer_app.PeerApp(
                adapter,
                caller_app.CallerApp(self._instance, adapter, is_for_peers=True),
                probe_app.RelayApp(self._instance, source),
            ),
            platform_options.Address(options.peer_host, options.first_port),
        )

    def start(self) -> None:
        """Start every component."""
        self._caller_server.start()
        self._operator_server.start()
        self._transport.start()
        self._source_watcher.start()
        self._stage_balancer.start()

    def run(self, stop_requested: threading.Event, reload_requested: threading.Event) -> None:
        """Expire state, apply new limits and reload the settings until a stop is requested."""
        limits = self._instance.configuration.limits
        settings_checked_s = self._clock.now_s()
        while not stop_requested.wait(EXPIRY_INTERVAL_S):
            try:
                self._instance.expire()
                if self._instance.configuration.limits != limits:
                    limits = self._instance.configuration.limits
                    self._caller_server.apply_limits(limits)
                now_s = self._clock.now_s()
                is_due = now_s - settings_checked_s >= SETTINGS_CHECK_INTERVAL_S
                if reload_requested.is_set() or is_due:
                    settings_checked_s = now_s
                    self._reload(reload_requested.is_set())
                    reload_requested.clear()
            except Exception:
                # An instance that can't expire old state still serves its callers.
                eliot.write_traceback()

    def drain(self) -> None:
        """Wait until the load balancer sends no more requests and those under way have ended."""
        drain_started_s = self._clock.now_s()
        self._instance.drain_started_s = drain_started_s
        eliot.log_message(
            message_type="drain_started", requests_at_work=self._instance.active_requests
        )
        deadline_s = drain_started_s + self._options.bounds.grace_s - EXIT_RESERVE_S
        idle_since_s = drain_started_s
        while (now_s := self._clock.now_s()) < deadline_s:
            if self._instance.active_requests > 0:
                idle_since_s = now_s
            if (
                now_s >= drain_started_s + DRAIN_NOTICE_S
                and now_s - idle_since_s >= IDLE_BEFORE_EXIT_S
            ):
                break
            time.sleep(EXPIRY_INTERVAL_S / 2)
            try:
                self._instance.expire()
            except Exception:
                # Requests under way must not be cut off by an error of the upkeep.
                eliot.write_traceback()
        eliot.log_message(message_type="stopped", requests_at_work=self._instance.active_requests)

    def close_callers(self) -> None:
        """Answer the requests that were sent before the drain ended, and read no more.

        Callers may send elsewhere what was not read when their connection closes.
        """
        drain_started_s = self._instance.drain_started_s or self._clock.now_s()
        deadline_s = drain_started_s + self._options.bounds.grace_s - EXIT_RESERVE_S
        self._caller_server.wait_until_read(deadline_s - self._clock.now_s())
        self._caller_server.stop_reading()
        idle_checks = 0
        while idle_checks < MIN_IDLE_CHECKS and self._clock.now_s() < deadline_s:
            time.sleep(IDLE_CHECK_INTERVAL_S)
            idle_checks = 0 if self._caller_server.has_unanswered() else idle_checks + 1
        eliot.log_message(
            message_type="callers_closed", unanswered=self._caller_server.has_unanswered()
        )

    def _reload(self, was_signalled: bool) -> None:
        path = platform_settings.path_from_environment()
        if path is None or (not was_signalled and self._is_unchanged(path)):
            return
        result = platform_settings.read(path)
        if result.is_error():
            eliot.log_message(message_type="reload_refused", faults=result.error)
            return
        changed = result.ok != self._instance.options
        self._instance.options = result.ok
        eliot.log_message(message_type="reloaded", changed=changed, was_asked=was_signalled)

    def _is_unchanged(self, path: pathlib.Path) -> bool:
        try:
            status = path.stat()
        except OSError as error:
            eliot.log_message(message_type="settings_not_found", detail=repr(error))
            return True
        file_version = (status.st_mtime_ns, status.st_size)
        is_unchanged = self._settings_file_version in (None, file_version)
        self._settings_file_version = file_version
        return is_unchanged


def main() -> int:
    """Run one instance until SIGTERM."""
    path = platform_settings.path_from_environment()
    if path is None:
        print(
            f"{names.SETTINGS_VARIABLE} must be set to the path of a settings file",
            file=sys.stderr,
        )
        return exit_codes.ExitCode.USAGE
    result = platform_settings.read(path)
    if result.is_error():
        for fault in result.error:
            print(fault, file=sys.stderr)
        return exit_codes.ExitCode.INVALID_SETTINGS
    clock = clocks.SystemClock()
    log_writer = logs.LogWriter(clock, result.ok.instance)
    log_writer.start()
    stop_requested, reload_requested = threading.Event(), threading.Event()
    signal.signal(signal.SIGTERM, lambda *_: stop_requested.set())
    signal.signal(signal.SIGINT, lambda *_: stop_requested.set())
    signal.signal(signal.SIGHUP, lambda *_: reload_requested.set())
    allocator.limit_arenas()
    sys.setswitchinterval(SWITCH_INTERVAL_S)
    daemon = Daemon(result.ok, clock)
    daemon.start()
    eliot.log_message(message_type="started", version=release.VERSION, process=os.getpid())
    daemon.run(stop_requested, reload_requested)
    daemon.drain()
    daemon.close_callers()
    log_writer.stop(LOG_FLUSH_TIMEOUT_S)
    # Skips the cleanup at interpreter exit: only idle connections of callers are left.
    os._exit(exit_codes.ExitCode.OK)


if __name__ == "__main__":
    sys.exit(main())
