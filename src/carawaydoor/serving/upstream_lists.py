"""Reads lists of upstreams for requests that need a newer one than the instance has."""

from __future__ import annotations

import threading
from typing import Final

from carawaydoor.operating import clocks, configuration_source
from carawaydoor.policy import stream_ranking

# The caller waits for the list.
READ_TIMEOUT_S: Final = 0.3
# Interval between attempts to read the past, which takes several calls to the source.
PAST_RETRY_INTERVAL_S: Final = 1.0


class ListReader:
    """Shares each reading of the source among the requests that wait for one.

    :ivar source: where the lists are read
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self.source: configuration_source.UpstreamLists = configuration_source.NoLists()
        self._clock = clock
        self._lock = threading.Lock()
        self._list_read_s = float("-inf")
        self._list: stream_ranking.UpstreamList | configuration_source.SourceError | None = None
        self._past_read_s = float("-inf")
        self._past: stream_ranking.PastChanges | configuration_source.SourceError | None = None

    def current(self, since_s: float) -> stream_ranking.UpstreamList:
        """Return a list that was asked for at a time in seconds or later.

        :raises SourceError: if the source gave none
        """
        with self._lock:
            if self._list is None or self._list_read_s < since_s:
                self._list_read_s = self._clock.now_s()
                try:
                    self._list = self.source.read_list(READ_TIMEOUT_S)
                except configuration_source.SourceError as error:
                    self._list = error
            result = self._list
        if isinstance(result, configuration_source.SourceError):
            raise result
        return result

    def past(self, since_s: float) -> stream_ranking.PastChanges:
        """Return the changes that the source still knew when it was asked at a time in seconds or later.

        :raises SourceError: if the source did not say
        """
        with self._lock:
            now_s = self._clock.now_s()
            is_due = now_s - self._past_read_s >= PAST_RETRY_INTERVAL_S
            is_outdated = self._past_read_s < since_s
            if self._past is None or is_outdated or (isinstance(self._past, Exception) and is_due):
                self._past_read_s = now_s
                try:
                    self._past = self.source.read_past(now_s, READ_TIMEOUT_S)
                except configuration_source.SourceError as error:
                    self._past = error
            result = self._past
        if isinstance(result, configuration_source.SourceError):
            raise result
        return result
