"""Remembers when requests last ran at an upstream without crashing it."""

from __future__ import annotations

import collections
from collections.abc import Iterable
from typing import Final

# The least recent ones are forgotten.
MAX_REQUESTS: Final = 2048


class SoundRequests:
    """The last sound run by fingerprint of the request; not thread-safe."""

    def __init__(self) -> None:
        self._last_s_by_fingerprint: collections.OrderedDict[str, float] = collections.OrderedDict()

    def record(self, fingerprint: str, at_s: float) -> None:
        """Record that a run had not crashed its upstream by a time in seconds."""
        known_s = self._last_s_by_fingerprint.pop(fingerprint, at_s)
        self._last_s_by_fingerprint[fingerprint] = max(at_s, known_s)
        if len(self._last_s_by_fingerprint) > MAX_REQUESTS:
            self._last_s_by_fingerprint.popitem(last=False)

    def last_s(self, fingerprint: str) -> float | None:
        """Return the time in seconds of the last sound run, None if none is known."""
        return self._last_s_by_fingerprint.get(fingerprint)

    def known(self, fingerprints: Iterable[str]) -> dict[str, float]:
        """Return the last sound runs of those of the requests that have one."""
        known = self._last_s_by_fingerprint
        return {each: known[each] for each in fingerprints if each in known}
