"""WSGI application with the readiness probe, metrics and status of an instance on the platform."""

from __future__ import annotations

import json
import math
import urllib.parse
from collections.abc import Iterable
from typing import Any, Final

from carawaydoor.fleet import origin_query, source_relay
from carawaydoor.operating import configuration_source
from carawaydoor.serving import instance_state

TEXT_CONTENT_TYPE: Final = "text/plain; version=0.0.4; charset=utf-8"
JSON_CONTENT_TYPE: Final = "application/json"
METRICS_PATH: Final = "/metrics"
STATUS_PATH: Final = "/status"


class ProbeApp:
    """Serves the readiness probe, ``/metrics`` and ``/status`` of one instance."""

    def __init__(self, instance: instance_state.InstanceState, readiness_path: str) -> None:
        self._instance = instance
        self._readiness_path = readiness_path

    def __call__(self, environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        """Serve one request."""
        path = environ["PATH_INFO"]
        if path == self._readiness_path:
            status = "200 OK" if self._instance.is_ready else "503 Service Unavailable"
            return _respond(start_response, status, TEXT_CONTENT_TYPE, b"")
        if path == METRICS_PATH:
            return _respond(
                start_response, "200 OK", TEXT_CONTENT_TYPE, self._instance.metrics.render()
            )
        if path == STATUS_PATH:
            content = json.dumps(status_document(self._instance)).encode()
            return _respond(start_response, "200 OK", JSON_CONTENT_TYPE, content)
        return _respond(start_response, "404 Not Found", TEXT_CONTENT_TYPE, b"")


class RelayApp:
    """Answers other instances: what the source holds, and where streams began."""

    def __init__(
        self,
        instance: instance_state.InstanceState,
        source: configuration_source.ConfigurationSource,
    ) -> None:
        self._instance = instance
        self._source = source
        self._changes_encoder = source_relay.ChangesEncoder()

    def __call__(self, environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        """Serve one request."""
        query = urllib.parse.parse_qs(environ.get("QUERY_STRING", ""))
        match environ["PATH_INFO"]:
            case source_relay.CHANGES_PATH:
                return self._send_changes(query, start_response)
            case source_relay.EVACUATIONS_PATH:
                return self._send_evacuations(start_response)
            case origin_query.ORIGIN_PATH:
                return self._send_origin(query.get("key", [""])[0], start_response)
            case _:
                return _respond(start_response, "404 Not Found", TEXT_CONTENT_TYPE, b"")

    def _send_origin(self, key: str, start_response: Any) -> Iterable[bytes]:
        origin = self._instance.streams.known(key)
        if origin is None:
            return _respond(start_response, "404 Not Found", TEXT_CONTENT_TYPE, b"")
        content = origin_query.encode(origin)
        return _respond(start_response, "200 OK", JSON_CONTENT_TYPE, content)

    def _send_evacuations(self, start_response: Any) -> Iterable[bytes]:
        # Taken before the content, which is then at least as new.
        revision = self._instance.source.revision
        if not revision:
            return _respond(start_response, "410 Gone", TEXT_CONTENT_TYPE, b"")
        domains = frozenset(self._instance.evacuation.current.by_domain)
        relayed = source_relay.RelayedEvacuations(domains, revision)
        content = source_relay.encode_evacuations(relayed)
        return _respond(start_response, "200 OK", JSON_CONTENT_TYPE, content)

    def _send_changes(self, query: dict[str, list[str]], start_response: Any) -> Iterable[bytes]:
        after = query.get("after", [""])[0]
        # Taken before the content, which is then at least as new as these proofs.
        proof_age_s = self._instance.proof_age_s()
        list_age_s = self._instance.source.reported_list_age_s()
        changes = self._source.changes_after(int(after)) if after.isdecimal() else None
        if changes is None or not math.isfinite(proof_age_s):
            return _respond(start_response, "410 Gone", TEXT_CONTENT_TYPE, b"")
        relayed = source_relay.RelayedChanges(
            changes, proof_age_s, self._instance.source.steady_s(), list_age_s
        )
        compresses = source_relay.COMPRESSED_PARAMETER in query
        content = self._changes_encoder.encode(relayed, compresses)
        self._instance.metrics.relayed_bytes.add(len(content), {})
        return _respond(start_response, "200 OK", JSON_CONTENT_TYPE, content)


def status_document(instance: instance_state.InstanceState) -> dict[str, Any]:
    """Return the status of an instance, with its view of the configuration and the upstreams."""
    now_s = instance.clock.now_s()
    configuration = instance.configuration
    failing_peers = instance.selector.failing_peers()
    return {
        "instance": instance.options.instance,
        "ready": instance.is_ready,
        "leaving": instance.is_draining,
        "requests_at_work": instance.active_requests,
        "request_bytes_held": instance.request_budget.held_bytes,
        "response_bytes_held": instance.connection_pool.budget.held_bytes,
        "configuration": {
            "version": configuration.version,
            "revision": configuration.revision,
            "proven_age_s": round(instance.proof_age_s(), 3),
            "behind_s": round(instance.source.configuration_behind_s(), 3),
        },
        "list_age_s": _finite(instance.source.list_age_s()),
        "behind_peers_s": round(instance.source.behind_s(), 3),
        "evacuated": [
            {
                "domain": each.domain,
                "age_s": round(now_s - each.since_s, 3),
                "origin": each.origin.value,
                "kept_s": (
                    None if each.kept_until_s is None else round(each.kept_until_s - now_s, 3)
                ),
            }
            for each in instance.evacuation.current.by_domain.values()
        ],
        "upstreams": [
            {
                "id": each.id,
                "service": each.service,
                "stage": each.stage.value,
                "domain": each.domain,
                "leaving": each.is_leaving,
                "requests": instance.selector.load.at(each.id).requests,
                "turned_away_s": round(instance.selector.turned_away.remaining_s(each), 3),
                "limit_per_s": instance.upstream_limiter.limit_per_s(each),
                "cold_limit_s": round(instance.cold_limits.remaining_s(each), 3),
                "next_request_s": _finite(instance.upstream_limiter.next_permit_s(each)),
                "fails_peers": each.id in failing_peers,
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


def _finite(seconds: float) -> float | None:
    """Return a time as JSON can hold it, None for an infinite one."""
    return round(seconds, 3) if math.isfinite(seconds) else None


def _respond(
    start_response: Any, status: str, content_type: str, content: bytes
) -> Iterable[bytes]:
    start_response(status, [("Content-Type", content_type), ("Content-Length", str(len(content)))])
    return [content]
