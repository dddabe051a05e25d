"""WSGI application with the operator endpoints of ``carawaydoord``."""

from __future__ import annotations

import dataclasses
import json
from collections.abc import Callable, Iterable
from typing import Any

from carawaydoor.coordination import ownership, pool_owner, token_bucket
from carawaydoor.interface import instance_context, request_monitor
from carawaydoor.operating import audit
from carawaydoor.publishing import configuration_state

# A new instance owns no resource until its takeover delay is over, and reports itself ready this
# much later.
READY_MARGIN_S = 1.0

StartResponse = Callable[[str, list[tuple[str, str]]], object]


class OperatorApp:
    """Serves ``/live``, ``/ready``, ``/metrics``, ``/status`` and ``/audit``."""

    def __init__(
        self,
        context: instance_context.InstanceContext,
        monitor: request_monitor.RequestMonitor,
        audit_trail: audit.Trail,
    ) -> None:
        self._context = context
        self._request_monitor = monitor
        self._audit_trail = audit_trail
        self._handler_by_path: dict[str, Callable[[], tuple[str, str, bytes]]] = {
            "/live": self._live,
            "/ready": self._ready,
            "/metrics": self._metrics,
            "/status": self._status,
            "/audit": self._audit,
        }

    def __call__(self, environ: dict[str, Any], start_response: StartResponse) -> Iterable[bytes]:
        """Serve one request."""
        handler = self._handler_by_path.get(environ.get("PATH_INFO", ""))
        if handler is None:
            status, content_type, body = "404 Not Found", "text/plain", b"no such page\n"
        else:
            status, content_type, body = handler()
        start_response(status, [("Content-Type", content_type), ("Content-Length", str(len(body)))])
        return [body]

    def is_ready(self) -> bool:
        """Return whether this instance should receive requests from callers."""
        context = self._context
        if context.draining or context.membership.leaving:
            return False
        now_s = context.clock.now_s()
        membership = context.membership
        in_takeover_delay = (
            now_s - membership.started_s <= membership.timing.takeover_s + READY_MARGIN_S
        )
        return context.configuration.current is not None and not in_takeover_delay

    def _live(self) -> tuple[str, str, bytes]:
        return "200 OK", "text/plain", b"live\n"

    def _ready(self) -> tuple[str, str, bytes]:
        if self.is_ready():
            return "200 OK", "text/plain", b"ready\n"
        return "503 Service Unavailable", "text/plain", b"not ready\n"

    def _metrics(self) -> tuple[str, str, bytes]:
        return "200 OK", "text/plain; version=0.0.4", self._context.metrics.render()

    def _audit(self) -> tuple[str, str, bytes]:
        entries = [dataclasses.asdict(each) for each in self._audit_trail.entries()]
        return "200 OK", "application/json", json.dumps(entries).encode()

    def _status(self) -> tuple[str, str, bytes]:
        return "200 OK", "application/json", json.dumps(self._status_document()).encode()

    def _status_document(self) -> dict[str, Any]:
        context = self._context
        now_s = context.clock.now_s()
        state = context.state()
        membership = state.membership
        return {
            "instance": membership.instance,
            "incarnation": membership.incarnation,
            "failure_domain": membership.failure_domain,
            "ready": self.is_ready(),
            "leaving": membership.leaving,
            "configuration_revision": configuration_state.revision_number(context.configuration),
            "configuration_age_s": round(now_s - context.configuration_as_of_s, 3),
            "view_revision": membership.view.revision,
            "view_age_s": round(ownership.platform_age_s(membership, now_s), 3),
            "has_lease": ownership.has_lease(membership, now_s),
            "requests": self._request_monitor.active_request_count,
            "held_leases": len(state.held_lease_by_id),
            "owed_answers": context.core.pending_answer_count,
            "budgets": {
                each.resource.name: round(token_bucket.refill(held, now_s).level, 1)
                for each, held in state.budgets.bucket_by_share.items()
            },
            "pools": {
                each.pool: dataclasses.asdict(each) for each in pool_owner.pool_loads(state, now_s)
            },
            "key_partitions": len(state.tenure_by_partition),
            "stopped_peers": [
                each
                for each in membership.peer_by_instance
                if ownership.is_stopped(membership, now_s, each)
            ],
        }
