"""Stand-in for a model engine in the prefill or the decode role.

A prefill engine computes one prompt at a time and keeps its KV cache for less than a second. A
decode engine has a limited number of slots, fetches the KV cache over a link of limited rate, and
generates tokens in steps that take longer as its batch grows. Both cancel a request whose
connection closes, and report their load with a lag.

``/control`` injects faults: ``rubbish`` makes the responses to prefills malformed, ``crossed`` puts
the id of another request into the responses to decodes, ``half`` ends streams half way. A prompt
that contains ``CRASH_PROMPT`` ends the process.
"""

from __future__ import annotations

import argparse
import collections
import hashlib
import http.client
import itertools
import json
import math
import os
import re
import threading
import time
from collections.abc import Iterable, Iterator
from typing import Any

from standins import server

SERVER_THREADS = 96
KV_LIFETIME_S = 0.9
LOAD_REPORT_LAG_S = 0.5
MAX_LOAD_SAMPLES = 4096
CACHED_PIECE_BYTES = 4096
BYTES_PER_TOKEN = 4
CRASH_PROMPT = "crash the engine"
LAST_WORD = re.compile(r"w([0-9]+) \Z")


class EngineState:
    """Active requests, KV cache, counters and load samples of an engine."""

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.active: set[str] = set()
        self.kv_by_block: dict[int, tuple[float, int]] = {}
        self.counts: collections.Counter[str] = collections.Counter()
        self.load_samples: collections.deque[tuple[float, int]] = collections.deque(
            [(0.0, 0)], MAX_LOAD_SAMPLES
        )

    def record_load(self) -> None:
        """Record the number of active requests; the caller holds the lock."""
        self.load_samples.append((time.monotonic(), len(self.active)))

    def reported_load(self, now_s: float) -> int:
        """Return the number of active requests as of ``LOAD_REPORT_LAG_S`` ago."""
        with self.lock:
            known = [load for at_s, load in self.load_samples if now_s - at_s >= LOAD_REPORT_LAG_S]
        return known[-1] if known else 0

    def count(self, name: str, number: int = 1) -> None:
        """Add to a counter."""
        with self.lock:
            self.counts[name] += number


class Engine:
    """WSGI application of one engine."""

    def __init__(self, options: argparse.Namespace) -> None:
        self._options = options
        self._state = EngineState()
        self._block_ids = itertools.count(1)
        self._compute_lock = threading.Lock()
        self._link_lock = threading.Lock()
        self._cached_prefixes: collections.OrderedDict[str, None] = collections.OrderedDict()
        self._fault = ""

    def __call__(
        self, environ: server.Environ, start_response: server.StartResponse
    ) -> Iterable[bytes]:
        """Serve one request."""
        path = environ["PATH_INFO"]
        body = environ["wsgi.input"].read()
        if path == "/control":
            return self._control(environ, body, start_response)
        if path == "/v1/load":
            report = {"active": self._state.reported_load(time.monotonic())}
            return server.reply(start_response, "200 OK", json.dumps(report).encode())
        fields = json.loads(body)
        if "HTTP_AUTHORIZATION" in environ:
            self._state.count("credentials_seen")
        if path == "/v1/kv/release":
            self._take_kv(fields["block_ids"], "released")
            return server.reply(start_response, "200 OK", b"{}")
        if path == "/v1/kv/fetch":
            found = self._take_kv(fields["block_ids"], "fetched")
            status = "200 OK" if found else "404 Not Found"
            return server.reply(start_response, status, b"{}")
        if CRASH_PROMPT in _prompt_text(fields):
            os._exit(1)
        if self._options.role == "prefill":
            return self._prefill(environ, fields, start_response)
        return self._decode(environ, fields, start_response)

    def _prefill(
        self, environ: server.Environ, fields: dict[str, Any], start_response: server.StartResponse
    ) -> Iterable[bytes]:
        request_id = environ.get("HTTP_X_REQUEST_ID", "")
        with self._track_active(request_id), self._compute_lock:
            if _is_disconnected(environ):
                self._state.count("prefills_cancelled")
                return []
            prompt = _prompt_text(fields)
            tokens = _token_count(prompt)
            uncached_tokens = max(1, tokens - self._cached_tokens(prompt))
            if not _sleep_while_connected(
                environ, uncached_tokens / self._options.prefill_tokens_per_s
            ):
                self._state.count("prefills_cancelled")
                return []
            self._state.count("prefills")
            self._state.count("prefill_tokens", uncached_tokens)
            block = next(self._block_ids)
            with self._state.lock:
                self._state.kv_by_block[block] = (time.monotonic() + KV_LIFETIME_S, tokens)
        answer = {
            "id": request_id,
            "choices": [{"index": 0, "text": "", "finish_reason": "length"}],
            "kv_transfer_params": {
                "remote_engine_id": self._options.id,
                "remote_block_ids": [block],
                "remote_host": "127.0.0.1",
                "remote_port": self._options.port,
            },
        }
        body = b"rubbish" if self._fault == "rubbish" else json.dumps(answer).encode()
        return server.reply(start_response, "200 OK", body, ("X-Request-Id", request_id))

    def _decode(
        self, environ: server.Environ, fields: dict[str, Any], start_response: server.StartResponse
    ) -> Iterable[bytes]:
        request_id = environ.get("HTTP_X_REQUEST_ID", "")
        with self._state.lock:
            if len(self._state.active) >= self._options.slots:
                self._state.counts["overbooked"] += 1
                return server.reply(start_response, "429 Too Many Requests", b"{}")
            self._state.active.add(request_id)
            self._state.record_load()
        is_started = False
        try:
            if not self._fetch(fields["kv_transfer_params"], _token_count(_prompt_text(fields))):
                return server.reply(start_response, "409 Conflict", b"{}")
            is_started = True
        finally:
            if not is_started:
                self._release_slot(request_id)
        echo = "another-request" if self._fault == "crossed" else request_id
        start_response("200 OK", [("Content-Type", "text/event-stream"), ("X-Request-Id", echo)])
        return DecodeStream(self, environ, fields, request_id)

    def events(
        self, environ: server.Environ, fields: dict[str, Any], request_id: str
    ) -> Iterator[bytes]:
        """Yield the events of a stream, one per decode step."""
        is_chat = "messages" in fields
        total = int(fields["max_tokens"])
        first_word = _next_word(_prompt_text(fields))
        for number in range(total):
            with self._state.lock:
                active_requests = len(self._state.active)
            step_s = self._options.step_s * (1.0 + self._options.batch_slope * active_requests)
            time.sleep(step_s)
            if _is_disconnected(environ):
                self._state.count("decodes_cancelled")
                return
            if self._fault == "half" and number == total // 2:
                return
            finish_reason = "length" if number == total - 1 else None
            yield _encode_event(request_id, is_chat, f"w{first_word + number} ", finish_reason)
        self._state.count("decodes")
        self._state.count("tokens", total)
        usage = {"prompt_tokens": _token_count(_prompt_text(fields)), "completion_tokens": total}
        final = {"id": request_id, "choices": [], "usage": usage}
        yield b"data: " + json.dumps(final).encode() + b"\n\n"
        yield b"data: [DONE]\n\n"

    def release_slot(self, request_id: str) -> None:
        """Release the slot of a request."""
        self._release_slot(request_id)

    def _fetch(self, params: dict[str, Any], tokens: int) -> bool:
        """Fetch KV cache from the prefill engine, delayed by the rate of the link."""
        with self._link_lock:
            time.sleep(tokens / self._options.link_tokens_per_s)
        connection = http.client.HTTPConnection(
            params["remote_host"], params["remote_port"], timeout=1.0
        )
        try:
            body = json.dumps({"block_ids": params["remote_block_ids"]})
            connection.request("POST", "/v1/kv/fetch", body)
            return connection.getresponse().status == 200
        except OSError:
            return False
        finally:
            connection.close()

    def _take_kv(self, block_ids: list[int], counter: str) -> bool:
        now_s = time.monotonic()
        with self._state.lock:
            found = [self._state.kv_by_block.pop(each, None) for each in block_ids]
            unexpired = [each for each in found if each is not None and each[0] > now_s]
            self._state.counts[counter] += len(unexpired)
        return len(unexpired) == len(block_ids)

    def _cached_tokens(self, prompt: str) -> int:
        """Return how many leading tokens of a prompt are cached, then cache all of its pieces."""
        digest = hashlib.blake2b(digest_size=8)
        content = prompt.encode()
        cached_pieces_found, still_cached = 0, True
        for start in range(0, len(content) - CACHED_PIECE_BYTES + 1, CACHED_PIECE_BYTES):
            digest.update(content[start : start + CACHED_PIECE_BYTES])
            name = digest.hexdigest()
            still_cached = still_cached and name in self._cached_prefixes
            cached_pieces_found += still_cached
            self._cached_prefixes[name] = None
            self._cached_prefixes.move_to_end(name)
        while len(self._cached_prefixes) > self._options.cached_pieces:
            self._cached_prefixes.popitem(last=False)
        return cached_pieces_found * CACHED_PIECE_BYTES // BYTES_PER_TOKEN

    def _track_active(self, request_id: str) -> ActiveRequest:
        return ActiveRequest(self, request_id, self._state)

    def _release_slot(self, request_id: str) -> None:
        with self._state.lock:
            self._state.active.discard(request_id)
            self._state.record_load()

    def _control(
        self, environ: server.Environ, body: bytes, start_response: server.StartResponse
    ) -> Iterable[bytes]:
        if environ["REQUEST_METHOD"] == "POST":
            self._fault = json.loads(body).get("fault", self._fault)
        now_s = time.monotonic()
        with self._state.lock:
            report = {
                "active": len(self._state.active),
                "kv_held": sum(1 for each in self._state.kv_by_block.values() if each[0] > now_s),
                "kv_expired": sum(
                    1 for each in self._state.kv_by_block.values() if each[0] <= now_s
                ),
                "counts": dict(self._state.counts),
            }
        return server.reply(start_response, "200 OK", json.dumps(report).encode())


class ActiveRequest:
    """Context manager that counts a prefill as active while it runs."""

    def __init__(self, engine: Engine, request_id: str, state: EngineState) -> None:
        self._engine = engine
        self._request_id = request_id
        self._state = state

    def __enter__(self) -> None:
        with self._state.lock:
            self._state.active.add(self._request_id)
            self._state.record_load()

    def __exit__(self, *_: object) -> None:
        self._engine.release_slot(self._request_id)


class DecodeStream:
    """Body of a decode response; releases the slot when it is sent or abandoned."""

    def __init__(
        self, engine: Engine, environ: server.Environ, fields: dict[str, Any], request_id: str
    ) -> None:
        self._engine = engine
        self._request_id = request_id
        self._events = engine.events(environ, fields, request_id)

    def __iter__(self) -> Iterator[bytes]:
        return self._events

    def close(self) -> None:
        """Release the slot; called by the WSGI server."""
        self._engine.release_slot(self._request_id)


def _encode_event(request_id: str, is_chat: bool, text: str, finish_reason: str | None) -> bytes:
    choice: dict[str, Any] = {"index": 0, "finish_reason": finish_reason}
    if is_chat:
        choice["delta"] = {"content": text}
    else:
        choice["text"] = text
    return b"data: " + json.dumps({"id": request_id, "choices": [choice]}).encode() + b"\n\n"


def _next_word(prompt: str) -> int:
    """Return the number of the word that follows those at the end of a prompt."""
    last_word = LAST_WORD.search(prompt)
    return int(last_word.group(1)) + 1 if last_word is not None else 0


def _prompt_text(fields: dict[str, Any]) -> str:
    if "messages" in fields:
        return "\n".join(str(each.get("content", "")) for each in fields["messages"])
    return str(fields.get("prompt", ""))


def _token_count(prompt: str) -> int:
    return max(1, math.ceil(len(prompt.encode()) / BYTES_PER_TOKEN))


def _is_disconnected(environ: server.Environ) -> bool:
    is_disconnected = environ.get("waitress.client_disconnected")
    return bool(is_disconnected is not None and is_disconnected())


def _sleep_while_connected(environ: server.Environ, seconds: float) -> bool:
    """Sleep, but return False as soon as the caller disconnects."""
    deadline_s = time.monotonic() + seconds
    while (left_s := deadline_s - time.monotonic()) > 0.0:
        if _is_disconnected(environ):
            return False
        time.sleep(min(left_s, 0.05))
    return True


def main() -> None:
    """Run the stand-in for an engine."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--id", required=True)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--role", choices=("prefill", "decode"), required=True)
    parser.add_argument("--slots", type=int, default=20)
    parser.add_argument("--step-s", type=float, default=0.02)
    parser.add_argument("--batch-slope", type=float, default=0.05)
    parser.add_argument("--prefill-tokens-per-s", type=float, default=20_000.0)
    parser.add_argument("--link-tokens-per-s", type=float, default=200_000.0)
    parser.add_argument("--cached-pieces", type=int, default=256)
    options = parser.parse_args()
    server.run(Engine(options), options.port, SERVER_THREADS)


if __name__ == "__main__":
    main()
