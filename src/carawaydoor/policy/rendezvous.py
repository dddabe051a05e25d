"""Rendezvous hashing: all instances rank the candidates for a name in the same order."""

from __future__ import annotations

import functools
from collections.abc import Iterable
from typing import Final

import xxhash

MAX_CACHED_RANKINGS: Final = 65_536


def rank(name: str, candidates: Iterable[str]) -> tuple[str, ...]:
    """Return the candidates for a name in order of preference.

    :param name: name of the resource
    :param candidates: ids of the possible owners
    """
    return _rank(name, tuple(candidates))


@functools.lru_cache(maxsize=MAX_CACHED_RANKINGS)
def _rank(name: str, candidates: tuple[str, ...]) -> tuple[str, ...]:
    return tuple(sorted(candidates, key=lambda each: (weight(name, each), each), reverse=True))


def weight(name: str, candidate: str) -> int:
    """Return the weight of a candidate for a name as an unsigned 64-bit integer."""
    value: int = xxhash.xxh3_64_intdigest(f"{name}\x00{candidate}".encode())
    return value
