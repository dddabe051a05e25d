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

from carawaydoor import release
from carawaydoor.coordination import (
    core_events,
    core_state,
    core_task,
    messages,
    ownership,
    trace,
)
from carawaydoor.interface import front, gateway, runner, supervisor
from carawaydoor.links import listener, peers
from carawaydoor.operating import (
    audit,
    clocks,
    daemon_metrics,
    daemon_settings,
    exit_codes,
    operator_app,
)
from carawaydoor.publishing import publication, publisher

TICK_S: Final = 0.1
SWITCH_INTERVAL_S: Final = 0.001
RUNNER_THREADS: Final = 16
OPERATOR_THREADS: Final = 4
LEAVE_NOTICE_S: Final = 0.6
DRAIN_POLL_S: Final = 0.05
MAX_DRAIN_S: Final = 120.0
BODY_LIMIT_FACTOR: Final = 4

app = cyclopts.App(name="carawaydoord", version=release.VERSION, help=__doc__)


class Daemon:
    """The tasks of one instance."""

    def __init__(self, options: daemon_settings.Options, clock: clocks.Clock) -> None:
        self._options = options
        self._clock = clock
        self._trail = audit.Trail(options.instance, clock)
        state = self._first_state()
        self._recorder = trace.open_recorder(options.trace_file, state.membership, state.secret)
        self._core = core_task.CoreTask(state, clock, self._recorder)
        self._peers = peers.Peers(options.instance, self._core)
        self._gateway = gateway.Gateway(
            options, clock, self._core, self._peers, daemon_metrics.Metrics(options.instance)
        )
        source = publisher.Platform(options.platform_host, options.platform_port, clock)
        self._supervisor = supervisor.Supervisor(self._gateway)
        self._runner = runner.Runner(self._gateway, RUNNER_THREADS)
        self._listener = listener.Listener(options.host, options.peer_port, self._receive)
        self._view_watch = publication.ViewWatch(self._gateway, source, self._trail)
        self._periodics = (
            core_task.Ticker(self._core, TICK_S),
            peers.Heartbeats(options.instance, self._core, self._peers, clock),
            self._view_watch,
            publication.ConfigurationWatch(self._gateway, source, self._trail, clock),
            self._supervisor,
        )
        self._operator_app = operator_app.OperatorApp(self._gateway, self._supervisor, self._trail)
        self._servers = (self._caller_server(), self._operator_server())

    def start(self) -> None:
        """Start every task."""
        self._core.set_effect_handler(self._perform)
        self._core.start()
        self._listener.start()
        for each in self._periodics:
            each.start()
        for server in self._servers:
            threading.Thread(target=server.run, name="http", daemon=True).start()
        self._trail.add(audit.Change.STARTED, detail=release.VERSION)

    def drain(self) -> None:
        """Finish the requests at work, hand over what this instance holds, and stop."""
        self._trail.add(audit.Change.DRAIN_STARTED)
        self._core.tell(core_events.DrainStarted())
        time.sleep(max(LEAVE_NOTICE_S, self._options.drain_grace_s))
        self._gateway.draining = True
        deadline_s = self._clock.now_s() + MAX_DRAIN_S
        while self._supervisor.count > 0 and self._clock.now_s() < deadline_s:
            time.sleep(DRAIN_POLL_S)
        self._runner.stop()
        self._core.tell(core_events.HandoverDue())
        self._core.stop()
        self._core.join(LEAVE_NOTICE_S)
        time.sleep(DRAIN_POLL_S)
        for each in self._periodics:
            each.stop()
        self._listener.stop()
        self._peers.stop()
        for server in self._servers:
            server.close()
        self._recorder.close()
        self._trail.add(audit.Change.STOPPED)

    def _first_state(self) -> core_state.CoreState:
        member = ownership.create(
            self._options.instance,
            secrets.token_hex(8),
            self._options.failure_domain,
            ownership.Timing(),
            self._clock.now_s(),
        )
        return core_state.create(member, secrets.token_bytes(32))

    def _caller_server(self) -> Any:
        return waitress.server.create_server(
            front.Front(self._gateway, self._supervisor),
            host=self._options.host,
            port=self._options.caller_port,
            threads=self._options.threads,
            channel_request_lookahead=1,
            connection_limit=4 * self._options.threads,
            max_request_header_size=BODY_LIMIT_FACTOR * self._options.max_header_bytes,
            max_request_body_size=BODY_LIMIT_FACTOR * self._options.max_body_bytes,
            send_bytes=1,
            ident=None,
            clear_untrusted_proxy_headers=True,
        )

    def _operator_server(self) -> Any:
        return waitress.server.create_server(
            self._operator_app,
            host=self._options.host,
            port=self._options.operator_port,
            threads=OPERATOR_THREADS,
            ident=None,
            clear_untrusted_proxy_headers=True,
        )

    def _receive(self, message: messages.Message, respond: listener.Respond | None) -> None:
        if respond is None:
            self._core.receive(message, None)
            return
        match message:
            case messages.FetchRevision():
                respond(publication.answer_fetch(self._gateway.configuration, message))
            case messages.FetchView():
                respond(messages.ViewFetched(self._view_watch.content))
            case _:
                self._core.receive(message, respond)

    def _perform(self, effect: core_events.Send | core_events.Run) -> None:
        match effect:
            case core_events.Send():
                self._peers.tell(effect.instance, effect.message)
            case core_events.Run():
                self._runner.start(effect)


@app.default
def run(
    settings_file: Annotated[
        pathlib.Path, cyclopts.Parameter(name="--settings", help="YAML file with the settings.")
    ],
) -> int:
    """Run one instance until it is told to stop by SIGTERM or SIGINT."""
    result = daemon_settings.read(settings_file)
    if result.is_error():
        for fault in result.error:
            print(fault, file=sys.stderr)
        return exit_codes.ExitCode.INVALID_SETTINGS
    options = result.ok
    if options.log_file:
        eliot.to_file(open(options.log_file, "a", encoding="utf-8"))  # noqa: SIM115
    sys.setswitchinterval(SWITCH_INTERVAL_S)
    stopping = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stopping.set())
    daemon = Daemon(options, clocks.SystemClock())
    daemon.start()
    stopping.wait()
    daemon.drain()
    return exit_codes.ExitCode.OK


def main() -> None:
    """Run the command line of the daemon."""
    sys.exit(app())
