"""The application that the balancer and operators reach: readiness, metrics and beliefs."""

from __future__ import annotations

import json
from collections.abc import Iterable
from typing import Any, Final

from carawaydoor.serving import instance_state

_TEXT: Final = "text/plain; version=0.0.4; charset=utf-8"
_JSON: Final = "application/json"
METRICS_PATH: Final = "/metrics"
STATUS_PATH: Final = "/status"


class ProbeApp:
    """Answers questions about one instance."""

    def __init__(self, instance: instance_state.InstanceState, readiness_path: str) -> None:
        self._instance = instance
        self._readiness_path = readiness_path

    def __call__(self, environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        """Answer one question."""
        path = environ["PATH_INFO"]
        if path == self._readiness_path:
            status = "200 OK" if self._instance.is_ready else "503 Service Unavailable"
            return _answer(start_response, status, _TEXT, b"")
        if path == METRICS_PATH:
            return _answer(start_response, "200 OK", _TEXT, self._instance.metrics.render())
        if path == STATUS_PATH:
            content = json.dumps(describe(self._instance)).encode()
            return _answer(start_response, "200 OK", _JSON, content)
        return _answer(start_response, "404 Not Found", _TEXT, b"")


def describe(instance: instance_state.InstanceState) -> dict[str, Any]:
    """Return what an instance believes, with the age of each belief."""
    now_s = instance.clock.now_s()
    configuration = instance.configuration
    return {
        "instance": instance.options.instance,
        "ready": instance.is_ready,
        "leaving": instance.is_draining,
        "requests_at_work": instance.active_requests,
        "configuration": {
            "version": configuration.version,
            "revision": configuration.revision,
            "proven_age_s": round(instance.proof_age_s(), 3),
        },
        "upstreams": [
            {
                "id": each.id,
                "service": each.service,
                "stage": each.stage.value,
                "domain": each.domain,
                "leaving": each.is_leaving,
                "requests": instance.selector.load.at(each.id).requests,
                "suspect_for_s": max(
                    0.0,
                    (
                        round(record.suspect_until_s - now_s, 3)
                        if (record := instance.selector.health.get(each.id))
                        else 0.0
                    ),
                ),
            }
            for each in instance.directory.upstream_by_id.values()
        ],
    }


def _answer(start_response: Any, status: str, content_type: str, content: bytes) -> Iterable[bytes]:
    start_response(status, [("Content-Type", content_type), ("Content-Length", str(len(content)))])
    return [content]
