"""Stand-in of a model engine in the prefill or the decode role.

A prefill computes one prompt after the other; its KV cache lives for under a second. A decode
engine has slots, fetches the KV cache over a link of limited rate, and makes tokens in steps
that take longer as its batch fills. It cancels a request whose connection closes, and reports its
load with a lag.
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
import threading
import time
from collections.abc import Iterable, Iterator
from typing import Any

from standins import server

THREADS = 96
KV_LIFE_S = 0.9
LOAD_LAG_S = 0.5
MAX_LOAD_SAMPLES = 4096
PIECE_BYTES = 4096
BYTES_PER_TOKEN = 4
CRASH_PROMPT = "crash the engine"


class Ledger:
    """What the engine holds and what it has done."""

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.active: set[str] = set()
        self.kv: dict[int, tuple[float, int]] = {}
        self.counts: collections.Counter[str] = collections.Counter()
        self.loads: collections.deque[tuple[float, int]] = collections.deque(
            [(0.0, 0)], MAX_LOAD_SAMPLES
        )

    def note_load(self) -> None:
        """Note the number of requests at work; the caller holds the lock."""
        self.loads.append((time.monotonic(), len(self.active)))

    def reported_load(self, now_s: float) -> int:
        """Return the number of requests at work as it was ``LOAD_LAG_S`` ago."""
        with self.lock:
            known = [load for at_s, load in self.loads if now_s - at_s >= LOAD_LAG_S]
        return known[-1] if known else 0

    def count(self, name: str, number: int = 1) -> None:
        """Add to a counter."""
        with self.lock:
            self.counts[name] += number


class Engine:
    """One engine."""

    def __init__(self, options: argparse.Namespace) -> None:
        self._options = options
        self._ledger = Ledger()
        self._blocks = itertools.count(1)
        self._compute = threading.Lock()
        self._link = threading.Lock()
        self._prefixes: collections.OrderedDict[str, None] = collections.OrderedDict()
        self._fault = ""

    def __call__(
        self, environ: server.Environ, start_response: server.StartResponse
    ) -> Iterable[bytes]:
        """Answer one request."""
        path = environ["PATH_INFO"]
        body = environ["wsgi.input"].read()
        if path == "/control":
            return self._control(environ, body, start_response)
        if path == "/v1/load":
            report = {"active": self._ledger.reported_load(time.monotonic())}
            return server.reply(start_response, "200 OK", json.dumps(report).encode())
        fields = json.loads(body)
        if "HTTP_AUTHORIZATION" in environ:
            self._ledger.count("credentials_seen")
        if path == "/v1/kv/release":
            self._free(fields["block_ids"], "released")
            return server.reply(start_response, "200 OK", b"{}")
        if path == "/v1/kv/fetch":
            found = self._free(fields["block_ids"], "fetched")
            status = "200 OK" if found else "404 Not Found"
            return server.reply(start_response, status, b"{}")
        if CRASH_PROMPT in _prompt(fields):
            os._exit(1)
        if self._options.role == "prefill":
            return self._prefill(environ, fields, start_response)
        return self._decode(environ, fields, start_response)

    def _prefill(
        self, environ: server.Environ, fields: dict[str, Any], start_response: server.StartResponse
    ) -> Iterable[bytes]:
        request_id = environ.get("HTTP_X_REQUEST_ID", "")
        with self._held(request_id), self._compute:
            if _is_gone(environ):
                self._ledger.count("prefills_cancelled")
                return []
            prompt = _prompt(fields)
            tokens = _tokens(prompt)
            compute = max(1, tokens - self._cached_tokens(prompt))
            if not _pause(environ, compute / self._options.prefill_tokens_per_s):
                self._ledger.count("prefills_cancelled")
                return []
            self._ledger.count("prefills")
            self._ledger.count("prefill_tokens", compute)
            block = next(self._blocks)
            with self._ledger.lock:
                self._ledger.kv[block] = (time.monotonic() + KV_LIFE_S, tokens)
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
        with self._ledger.lock:
            if len(self._ledger.active) >= self._options.slots:
                self._ledger.counts["overbooked"] += 1
                return server.reply(start_response, "429 Too Many Requests", b"{}")
            self._ledger.active.add(request_id)
            self._ledger.note_load()
        started = False
        try:
            if not self._fetch(fields["kv_transfer_params"], _tokens(_prompt(fields))):
                return server.reply(start_response, "409 Conflict", b"{}")
            started = True
        finally:
            if not started:
                self._drop(request_id)
        echo = "another-request" if self._fault == "crossed" else request_id
        start_response("200 OK", [("Content-Type", "text/event-stream"), ("X-Request-Id", echo)])
        return Stream(self, environ, fields, request_id)

    def chunks(
        self, environ: server.Environ, fields: dict[str, Any], request_id: str
    ) -> Iterator[bytes]:
        """Yield the events of an answer, one a decode step."""
        chat = "messages" in fields
        total = int(fields["max_tokens"])
        for number in range(total):
            with self._ledger.lock:
                batch = len(self._ledger.active)
            step_s = self._options.step_s * (1.0 + self._options.batch_slope * batch)
            time.sleep(step_s)
            if _is_gone(environ):
                self._ledger.count("decodes_cancelled")
                return
            if self._fault == "half" and number == total // 2:
                return
            finish = "length" if number == total - 1 else None
            yield _event(request_id, chat, f"w{number} ", finish)
        self._ledger.count("decodes")
        self._ledger.count("tokens", total)
        usage = {"prompt_tokens": _tokens(_prompt(fields)), "completion_tokens": total}
        final = {"id": request_id, "choices": [], "usage": usage}
        yield b"data: " + json.dumps(final).encode() + b"\n\n"
        yield b"data: [DONE]\n\n"

    def drop(self, request_id: str) -> None:
        """Free the slot of a request."""
        self._drop(request_id)

    def _fetch(self, params: dict[str, Any], tokens: int) -> bool:
        """Fetch KV cache from its prefill engine over the link."""
        with self._link:
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

    def _free(self, block_ids: list[int], how: str) -> bool:
        now_s = time.monotonic()
        with self._ledger.lock:
            found = [self._ledger.kv.pop(each, None) for each in block_ids]
            alive = [each for each in found if each is not None and each[0] > now_s]
            self._ledger.counts[how] += len(alive)
        return len(alive) == len(block_ids)

    def _cached_tokens(self, prompt: str) -> int:
        """Return the cached leading tokens of a prompt, and cache all of its pieces."""
        digest = hashlib.blake2b(digest_size=8)
        raw = prompt.encode()
        hits, hitting = 0, True
        for start in range(0, len(raw) - PIECE_BYTES + 1, PIECE_BYTES):
            digest.update(raw[start : start + PIECE_BYTES])
            name = digest.hexdigest()
            hitting = hitting and name in self._prefixes
            hits += hitting
            self._prefixes[name] = None
            self._prefixes.move_to_end(name)
        while len(self._prefixes) > self._options.cached_pieces:
            self._prefixes.popitem(last=False)
        return hits * PIECE_BYTES // BYTES_PER_TOKEN

    def _held(self, request_id: str) -> Held:
        return Held(self, request_id, self._ledger)

    def _drop(self, request_id: str) -> None:
        with self._ledger.lock:
            self._ledger.active.discard(request_id)
            self._ledger.note_load()

    def _control(
        self, environ: server.Environ, body: bytes, start_response: server.StartResponse
    ) -> Iterable[bytes]:
        if environ["REQUEST_METHOD"] == "POST":
            self._fault = json.loads(body).get("fault", self._fault)
        now_s = time.monotonic()
        with self._ledger.lock:
            report = {
                "active": len(self._ledger.active),
                "kv_held": sum(1 for each in self._ledger.kv.values() if each[0] > now_s),
                "kv_expired": sum(1 for each in self._ledger.kv.values() if each[0] <= now_s),
                "counts": dict(self._ledger.counts),
            }
        return server.reply(start_response, "200 OK", json.dumps(report).encode())


class Held:
    """Counts a prefill as active while it runs."""

    def __init__(self, engine: Engine, request_id: str, ledger: Ledger) -> None:
        self._engine = engine
        self._request_id = request_id
        self._ledger = ledger

    def __enter__(self) -> None:
        with self._ledger.lock:
            self._ledger.active.add(self._request_id)
            self._ledger.note_load()

    def __exit__(self, *_: object) -> None:
        self._engine.drop(self._request_id)


class Stream:
    """The body of a decode; frees the slot when it is sent or given up."""

    def __init__(
        self, engine: Engine, environ: server.Environ, fields: dict[str, Any], request_id: str
    ) -> None:
        self._engine = engine
        self._request_id = request_id
        self._chunks = engine.chunks(environ, fields, request_id)

    def __iter__(self) -> Iterator[bytes]:
        return self._chunks

    def close(self) -> None:
        """Free the slot."""
        self._engine.drop(self._request_id)


def _event(request_id: str, chat: bool, text: str, finish: str | None) -> bytes:
    choice: dict[str, Any] = {"index": 0, "finish_reason": finish}
    if chat:
        choice["delta"] = {"content": text}
    else:
        choice["text"] = text
    return b"data: " + json.dumps({"id": request_id, "choices": [choice]}).encode() + b"\n\n"


def _prompt(fields: dict[str, Any]) -> str:
    if "messages" in fields:
        return "\n".join(str(each.get("content", "")) for each in fields["messages"])
    return str(fields.get("prompt", ""))


def _tokens(prompt: str) -> int:
    return max(1, math.ceil(len(prompt.encode()) / BYTES_PER_TOKEN))


def _is_gone(environ: server.Environ) -> bool:
    gone = environ.get("waitress.client_disconnected")
    return bool(gone is not None and gone())


def _pause(environ: server.Environ, seconds: float) -> bool:
    """Sleep in short steps; return False as soon as the caller has gone."""
    until_s = time.monotonic() + seconds
    while (left_s := until_s - time.monotonic()) > 0.0:
        if _is_gone(environ):
            return False
        time.sleep(min(left_s, 0.05))
    return True


def main() -> None:
    """Run the stand-in."""
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
    server.run(Engine(options), options.port, THREADS)


if __name__ == "__main__":
    main()
