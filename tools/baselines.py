"""Baseline policies for the benchmark: simple routers in the place of the fleet's instances.

``round_robin`` sends requests to decode upstreams in turn and splits every rate equally over the
instances. ``least_busy`` does the same but picks the decode upstream on which this instance has
the fewest requests. Neither talks to other instances.
"""

from __future__ import annotations

import argparse
import collections
import itertools
import json
import pathlib
import threading
import time
import uuid
from collections.abc import Iterable, Iterator

from carawaydoor.homes import bucket
from carawaydoor.homes import view as views
from carawaydoor.interface import authentication, completion, engine, errors, upstream
from carawaydoor.publishing import catalog, documents
from standins import server

THREADS = 64
TIMEOUT_S = 15.0
POLICIES = ("round_robin", "least_busy")


class Baseline:
    """One instance of a baseline policy."""

    def __init__(self, options: argparse.Namespace) -> None:
        self._least_busy = options.policy == "least_busy"
        view = views.parse(options.view.read_bytes()).ok
        declared = documents.read_objects(options.config).ok
        self._catalog = catalog.build(declared).ok
        self._by_role: dict[views.Role, list[views.Upstream]] = collections.defaultdict(list)
        for each in view.upstream_by_id.values():
            self._by_role[each.role].append(each)
        self._turn = itertools.count(options.number)
        self._active: collections.Counter[str] = collections.Counter()
        self._lock = threading.Lock()
        part = 1.0 / len(view.instance_by_id)
        self._bucket_by_workspace = {
            name: bucket.create(
                bucket.Limit(limit.rate_per_s * part, limit.burst * part),
                time.monotonic(),
                limit.burst * part,
            )
            for name, limit in self._catalog.shares.limit_by_workspace.items()
        }

    def __call__(
        self, environ: server.Environ, start_response: server.StartResponse
    ) -> Iterable[bytes]:
        """Answer one request."""
        if environ["PATH_INFO"] == "/ready":
            return server.reply(start_response, "200 OK", b"ready")
        secret = environ.get("HTTP_AUTHORIZATION", "").removeprefix("Bearer ")
        key = self._catalog.key_by_digest.get(authentication.digest(secret))
        if key is None:
            return server.reply(start_response, "401 Unauthorized", b"{}")
        body = environ["wsgi.input"].read()
        if environ["PATH_INFO"].startswith("/v1/"):
            return self._complete(key.workspace, body, start_response)
        return self._relay_plain(environ, body, start_response)

    def _relay_plain(
        self, environ: server.Environ, body: bytes, start_response: server.StartResponse
    ) -> Iterable[bytes]:
        request = upstream.Request(
            uuid.uuid4().hex, environ["REQUEST_METHOD"], environ["PATH_INFO"], {}, body
        )
        for _ in range(2):
            try:
                answer = upstream.fetch(self._next(views.Role.PLAIN), request, TIMEOUT_S)
            except errors.UpstreamError:
                continue
            status = f"{answer.status} Answered"
            return server.reply(start_response, status, answer.body)
        return server.reply(start_response, "502 Bad Gateway", b"{}")

    def _complete(
        self, workspace: str, body: bytes, start_response: server.StartResponse
    ) -> Iterable[bytes]:
        parsed = completion.parse(body, False).ok
        model = next(iter(self._catalog.model_by_name.values()))
        cost = completion.cost(parsed, model)
        if not self._admit(workspace, cost.total):
            problem = json.dumps({"type": "rate-exceeded", "ran": "not_run"}).encode()
            return server.reply(start_response, "429 Too Many Requests", problem)
        request_id = uuid.uuid4().hex
        prefill = upstream.Call(self._next(views.Role.PREFILL), TIMEOUT_S)
        try:
            params = engine.prefill(prefill, request_id, parsed)
        except errors.UpstreamError:
            return server.reply(start_response, "502 Bad Gateway", b"{}")
        finally:
            prefill.close()
        call = upstream.Call(self._next(views.Role.DECODE), TIMEOUT_S)
        try:
            chunks = engine.decode(call, request_id, parsed, cost.output_tokens, params)
        except errors.UpstreamError:
            call.close()
            return server.reply(start_response, "503 Service Unavailable", b"{}")
        start_response("200 OK", [("Content-Type", "text/event-stream")])
        return self._relay(call, chunks)

    def _relay(self, call: upstream.Call, chunks: Iterator[engine.Chunk]) -> Iterator[bytes]:
        self._active[call.target.id] += 1
        try:
            for chunk in chunks:
                yield engine.DATA + chunk.raw + b"\n\n"
            yield engine.DATA + engine.DONE + b"\n\n"
        except errors.UpstreamError:
            return
        finally:
            self._active[call.target.id] -= 1
            call.close()

    def _admit(self, workspace: str, tokens: float) -> bool:
        with self._lock:
            after, result = bucket.reserve(
                self._bucket_by_workspace[workspace], time.monotonic(), "", tokens, 0.0, 0.0
            )
            self._bucket_by_workspace[workspace] = after
        return bool(result.is_ok())

    def _next(self, role: views.Role) -> views.Upstream:
        candidates = self._by_role[role]
        if self._least_busy and role is views.Role.DECODE:
            return min(candidates, key=lambda each: self._active[each.id])
        return candidates[next(self._turn) % len(candidates)]


def main() -> None:
    """Run one instance of a baseline."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--policy", choices=POLICIES, required=True)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--number", type=int, required=True)
    parser.add_argument("--view", type=pathlib.Path, required=True)
    parser.add_argument("--config", type=pathlib.Path, required=True)
    options = parser.parse_args()
    server.run(Baseline(options), options.port, THREADS)


if __name__ == "__main__":
    main()
