"""Runs at-most-once requests on plain upstreams for the decision core."""

from __future__ import annotations

import concurrent.futures
from typing import Final

from carawaydoor.coordination import cluster_view, core_events, messages
from carawaydoor.interface import errors, instance_context, upstream_call

# A run that could only start later is dropped: another owner may have run the request by then.
MAX_START_DELAY_S: Final = 0.5
MAX_CONNECT_ATTEMPTS: Final = 3


class RunOnceExecutor:
    """Runs requests on a thread pool and reports each outcome to the decision core."""

    def __init__(self, context: instance_context.InstanceContext, threads: int) -> None:
        self._context = context
        self._executor = concurrent.futures.ThreadPoolExecutor(threads, "runner")

    def start(self, run: core_events.Run) -> None:
        """Submit a request to the thread pool."""
        self._executor.submit(self._run_and_report, run)

    def stop(self) -> None:
        """Wait for the submitted requests to finish."""
        self._executor.shutdown(wait=True)

    def _run_and_report(self, run: core_events.Run) -> None:
        try:
            outcome = self._execute(run)
        except Exception:
            self._context.core.tell(core_events.RunFinished(run))
            raise
        self._context.core.tell(outcome)

    def _execute(self, run: core_events.Run) -> core_events.RunFinished:
        message = run.message
        service = self._context.catalog.service_by_name.get(message.service_name)
        timeout_s = service.timeout_s if service else 1.0
        targets = self._context.live_upstreams(message.service_name, cluster_view.Role.PLAIN)
        for target in targets[:MAX_CONNECT_ATTEMPTS]:
            if self._context.clock.now_s() - run.decided_s > MAX_START_DELAY_S:
                break
            try:
                response = upstream_call.fetch(target, _request(message), timeout_s)
            except errors.UpstreamUnreachableError:
                continue
            except errors.UpstreamError:
                return core_events.RunFinished(run)
            return core_events.RunFinished(
                run,
                messages.RunOnceAnswered(
                    response.status, response.content_type, response.body, False
                ),
            )
        return core_events.RunFinished(run, not_sent=errors.Kind.UPSTREAM_UNREACHABLE)


def _request(message: messages.RunOnce) -> upstream_call.UpstreamRequest:
    headers = {"X-Workspace": message.workspace, "Idempotency-Key": message.key}
    if message.content_type:
        headers["Content-Type"] = message.content_type
    return upstream_call.UpstreamRequest(
        message.key, message.method, message.path, headers, message.body
    )
