"""Estimates which prompt prefixes the KV cache of each upstream holds.

A scheduler records the prefixes that it sends to an upstream. It sees neither evictions nor the
prefixes that other schedulers send, so an estimate may be too high or too low.
"""

from __future__ import annotations

import dataclasses
import hashlib
from collections.abc import Mapping, Sequence

BLOCK_TOKENS = 1024
MAX_BLOCKS = 32
MAX_PREFIXES_PER_UPSTREAM = 512
ESTIMATED_BYTES_PER_TOKEN = 4


@dataclasses.dataclass(frozen=True, slots=True)
class Affinity:
    """Prefix digests of each upstream, least recently used first."""

    prefixes_by_upstream: Mapping[str, tuple[str, ...]]


EMPTY = Affinity({})


def digest_prefixes(prompt: bytes) -> tuple[str, ...]:
    """Return the digests of the leading whole blocks of a prompt, shortest first."""
    digest = hashlib.blake2b(digest_size=8)
    block_bytes = BLOCK_TOKENS * ESTIMATED_BYTES_PER_TOKEN
    prefixes: list[str] = []
    for start in range(0, min(len(prompt), MAX_BLOCKS * block_bytes), block_bytes):
        block = prompt[start : start + block_bytes]
        if len(block) < block_bytes:
            break
        digest.update(block)
        prefixes.append(digest.hexdigest())
    return tuple(prefixes)


def record_prefixes(state: Affinity, upstream: str, prefixes: Sequence[str]) -> Affinity:
    """Record that an upstream computes the given prefixes."""
    before = state.prefixes_by_upstream.get(upstream, ())
    fresh = set(prefixes)
    merged = (*(each for each in before if each not in fresh), *prefixes)
    bounded = merged[-MAX_PREFIXES_PER_UPSTREAM:]
    return Affinity({**state.prefixes_by_upstream, upstream: bounded})


def forget_upstream(state: Affinity, upstream: str) -> Affinity:
    """Remove an upstream whose cache is lost."""
    kept = {key: value for key, value in state.prefixes_by_upstream.items() if key != upstream}
    return Affinity(kept)


def cached_tokens(state: Affinity, upstream: str, prefixes: Sequence[str]) -> int:
    """Return how many leading tokens of a prompt an upstream has probably cached."""
    held = set(state.prefixes_by_upstream.get(upstream, ()))
    blocks = 0
    for prefix in prefixes:
        if prefix not in held:
            break
        blocks += 1
    return blocks * BLOCK_TOKENS
