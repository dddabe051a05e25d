"""Which upstream probably holds which cached prompt prefix, from late events with gaps."""

from __future__ import annotations

import dataclasses
import hashlib
from collections.abc import Mapping, Sequence

PIECE_TOKENS = 1024
MAX_PIECES = 32
MAX_PREFIXES_PER_UPSTREAM = 512
BYTES_PER_TOKEN = 4


@dataclasses.dataclass(frozen=True, slots=True)
class Affinity:
    """Prefix digests by upstream, least recently used first."""

    prefixes_by_upstream: Mapping[str, tuple[str, ...]]


EMPTY = Affinity({})


def digest_prefixes(prompt: bytes) -> tuple[str, ...]:
    """Return the digests of the leading whole pieces of a prompt, shortest first."""
    digest = hashlib.blake2b(digest_size=8)
    piece_bytes = PIECE_TOKENS * BYTES_PER_TOKEN
    prefixes: list[str] = []
    for start in range(0, min(len(prompt), MAX_PIECES * piece_bytes), piece_bytes):
        piece = prompt[start : start + piece_bytes]
        if len(piece) < piece_bytes:
            break
        digest.update(piece)
        prefixes.append(digest.hexdigest())
    return tuple(prefixes)


def note(state: Affinity, upstream: str, prefixes: Sequence[str]) -> Affinity:
    """Note that an upstream has computed the given prefixes."""
    before = state.prefixes_by_upstream.get(upstream, ())
    fresh = set(prefixes)
    merged = (*(each for each in before if each not in fresh), *prefixes)
    bounded = merged[-MAX_PREFIXES_PER_UPSTREAM:]
    return Affinity({**state.prefixes_by_upstream, upstream: bounded})


def forget(state: Affinity, upstream: str) -> Affinity:
    """Forget an upstream whose cache is gone."""
    kept = {key: value for key, value in state.prefixes_by_upstream.items() if key != upstream}
    return Affinity(kept)


def cached_tokens(state: Affinity, upstream: str, prefixes: Sequence[str]) -> int:
    """Return how many leading tokens of a prompt an upstream probably holds."""
    held = set(state.prefixes_by_upstream.get(upstream, ()))
    pieces = 0
    for prefix in prefixes:
        if prefix not in held:
            break
        pieces += 1
    return pieces * PIECE_TOKENS
