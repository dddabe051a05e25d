"""``carawaydoord``: one instance of the router."""

from __future__ import annotations

import pathlib
import secrets
import signal
import sys
import threading
import time
from typing import Annotated, Any, Final

import cyclopts
import eliot
import waitress.server
import waitress.task

from carawaydoor import release
from carawaydoor.coordination import (
    core_events,
    core_state,
    core_task,
    messages,
    ownership,
    trace,
)
from carawaydoor.interface import (
    api_app,
    instance_context,
    request_monitor,
    run_once_executor,
    unread_refusals,
)
from carawaydoor.links import peer_client, peer_listener
from carawaydoor.operating import (
    audit,
    clocks,
    daemon_metrics,
    daemon_settings,
    exit_codes,
    operator_app,
)
from carawaydoor.publishing import platform_client, watchers
from carawaydoor.serving import bounded_channel, request_budget, request_limits

CORE_TICK_INTERVAL_S: Final = 0.1
# Maximum time for which a thread holds the interpreter lock while others wait for it.
SWITCH_INTERVAL_S: Final = 0.001
RUN_ONCE_THREADS: Final = 16
OPERATOR_THREADS: Final = 4
DRAIN_NOTICE_S: Final = 0.6
DRAIN_POLL_INTERVAL_S: Final = 0.05
DRAIN_TIMEOUT_S: Final = 120.0
# The application applies the configured limit to the headers alone, without the request line.
HEADER_LIMIT_FACTOR: Final = 4
# Connections of callers that wait or are kept open; a new one takes the place of an idle one.
CONNECTIONS_PER_THREAD: Final = 4
# Operators send no bodies.
MAX_OPERATOR_REQUEST_BYTES: Final = 16_384
_BYTES_PER_MB: Final = 1_000_000

app = cyclopts.App(name="carawaydoord", version=release.VERSION, help=__doc__)


class Daemon:
    """Creates, runs and stops the components of one instance."""

    def __init__(self, options: daemon_settings.Options, clock: clocks.Clock) -> None:
        self._options = options
        self._clock = clock
        self._audit_trail = audit.Trail(options.instance, clock)
        state = self._initial_state()
        self._recorder = trace.open_recorder(options.trace_file, state.membership, state.secret)
        self._core = core_task.CoreTask(state, clock, self._recorder)
        self._peers = peer_client.PeerClient(options.instance, self._core)
        self._context = instance_context.InstanceContext(
            options, clock, self._core, self._peers, daemon_metrics.Metrics(options.instance)
        )
        client = platform_client.PlatformClient(options.platform_host, options.platform_port, clock)
        self._request_monitor = request_monitor.RequestMonitor(self._context)
        self._run_once_executor = run_once_executor.RunOnceExecutor(self._context, RUN_ONCE_THREADS)
        self._listener = peer_listener.PeerListener(
            options.host, options.peer_port, self._handle_message
        )
        self._view_watcher = watchers.ViewWatcher(self._context, client, self._audit_trail)
        self._periodic_tasks = (
            core_task.Ticker(self._core, CORE_TICK_INTERVAL_S),
            peer_client.HeartbeatTask(options.instance, self._core, self._peers, clock),
            self._view_watcher,
            watchers.ConfigurationWatcher(self._context, client, self._audit_trail, clock),
            self._request_monitor,
        )
        self._operator_app = operator_app.OperatorApp(
            self._context, self._request_monitor, self._audit_trail
        )
        self._servers = (self._create_caller_server(), self._create_operator_server())

    def start(self) -> None:
        """Start every component."""
        self._core.set_effect_handler(self._execute_effect)
        self._core.start()
        self._listener.start()
        for each in self._periodic_tasks:
            each.start()
        for server in self._servers:
            threading.Thread(target=server.run, name="http", daemon=True).start()
        self._audit_trail.add(audit.Change.STARTED, detail=release.VERSION)

    def drain(self) -> None:
        """Finish the requests under way, hand over this instance's resources, and stop."""
        self._audit_trail.add(audit.Change.DRAIN_STARTED)
        self._core.tell(core_events.DrainStarted())
        time.sleep(max(DRAIN_NOTICE_S, self._options.drain_grace_s))
        self._context.draining = True
        deadline_s = self._clock.now_s() + DRAIN_TIMEOUT_S
        while self._request_monitor.active_request_count > 0 and self._clock.now_s() < deadline_s:
            time.sleep(DRAIN_POLL_INTERVAL_S)
        self._run_once_executor.stop()
        self._core.tell(core_events.HandoverDue())
        self._core.stop()
        self._core.join(DRAIN_NOTICE_S)
        time.sleep(DRAIN_POLL_INTERVAL_S)
        for each in self._periodic_tasks:
            each.stop()
        self._listener.stop()
        self._peers.stop()
        for server in self._servers:
            server.close()
        self._recorder.close()
        self._audit_trail.add(audit.Change.STOPPED)

    def _initial_state(self) -> core_state.CoreState:
        member = ownership.create(
            self._options.instance,
            secrets.token_hex(8),
            self._options.failure_domain,
            ownership.Timing(),
            self._clock.now_s(),
        )
        return core_state.create(member, secrets.token_bytes(32))

    def _create_caller_server(self) -> Any:
        options, context = self._options, self._context
        # More than one whole body for each thread would only wait. Buffers have up to an eighth more room
        # than is used, so the process grows by more than this.
        total_bytes = min(
            request_budget.total_bytes(options.memory_mb * _BYTES_PER_MB),
            options.threads * options.max_body_bytes,
        )
        guard = request_limits.RequestGuard(
            context.clock,
            request_budget.RequestBudget(total_bytes),
            unread_refusals.RefusalFormatter(
                options.max_header_bytes, options.max_body_bytes, context.metrics.refusals
            ),
            request_limits.LimitRecorder(context.clock, context.metrics.request_limits),
        )
        guard.check_body_limit(options.max_body_bytes)
        dispatcher = waitress.task.ThreadedTaskDispatcher()
        dispatcher.set_thread_count(options.threads)
        server = bounded_channel.Server(
            api_app.ApiApp(context, self._request_monitor),
            guard,
            CONNECTIONS_PER_THREAD * options.threads,
            dispatcher,
            {},
            host=options.host,
            port=options.caller_port,
            channel_request_lookahead=1,
            asyncore_use_poll=True,
            send_bytes=1,
            ident=None,
            clear_untrusted_proxy_headers=True,
        )
        server.set_limits(
            HEADER_LIMIT_FACTOR * options.max_header_bytes,
            options.max_body_bytes,
            options.header_timeout_s,
        )
        return server

    def _create_operator_server(self) -> Any:
        return waitress.server.create_server(
            self._operator_app,
            host=self._options.host,
            port=self._options.operator_port,
            threads=OPERATOR_THREADS,
            max_request_header_size=MAX_OPERATOR_REQUEST_BYTES,
            max_request_body_size=MAX_OPERATOR_REQUEST_BYTES,
            ident=None,
            clear_untrusted_proxy_headers=True,
        )

    def _handle_message(
        self, message: messages.Message, reply: peer_listener.ReplyCallback | None
    ) -> None:
        if reply is None:
            self._core.receive(message, None)
            return
        match message:
            case messages.FetchRevision():
                reply(watchers.build_revision_answer(self._context.configuration, message))
            case messages.FetchView():
                reply(messages.ViewFetched(self._view_watcher.content))
            case _:
                self._core.receive(message, reply)

    def _execute_effect(self, effect: core_events.Send | core_events.Run) -> None:
        match effect:
            case core_events.Send():
                self._peers.tell(effect.instance, effect.message)
            case core_events.Run():
                self._run_once_executor.start(effect)


@app.default
def run(
    settings_file: Annotated[
        pathlib.Path, cyclopts.Parameter(name="--settings", help="YAML file with the settings.")
    ],
) -> int:
    """Run one instance until SIGTERM or SIGINT."""
    result = daemon_settings.read(settings_file)
    if result.is_error():
        for fault in result.error:
            print(fault, file=sys.stderr)
        return exit_codes.ExitCode.INVALID_SETTINGS
    options = result.ok
    if options.log_file:
        eliot.to_file(open(options.log_file, "a", encoding="utf-8"))  # noqa: SIM115
    sys.setswitchinterval(SWITCH_INTERVAL_S)
    stop_requested = threading.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signal_number, lambda *_: stop_requested.set())
    daemon = Daemon(options, clocks.SystemClock())
    daemon.start()
    stop_requested.wait()
    daemon.drain()
    return exit_codes.ExitCode.OK


def main() -> None:
    """Run the command line of the daemon."""
    sys.exit(app())
