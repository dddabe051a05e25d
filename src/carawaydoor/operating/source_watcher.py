"""Keeps an instance up to date with its source, in a task of its own."""

from __future__ import annotations

import threading
from typing import Final

import eliot

from carawaydoor.operating import clocks, configuration_source
from carawaydoor.policy import directory
from carawaydoor.serving import instance_state

# Part of the time without disturbance after which an instance has to act within its bounds: the
# source holds a watch for so long without a change. Its answer proves the configuration newest, and
# a watch on a silent connection is noticed little later.
WATCH_SHARE: Final = 0.68
# Time in seconds that an answer may take beyond that: a slow source answers in a quarter second.
ANSWER_S: Final = 0.6
# Time in seconds between a change and the next watch: changes that come in quick succession share
# one answer. All instances are woken by each change and share what the source can answer, so that
# it grows with their number, up to well below the two seconds for a leaving upstream.
SETTLE_S: Final = 0.25
SETTLE_S_PER_INSTANCE: Final = 0.01
LONGEST_SETTLE_S: Final = 0.8
# Time in seconds for reading everything, page by page.
READ_S: Final = 1.0
# Time in seconds between tries while the source does not answer.
PAUSE_S: Final = 0.25


def watch_delay_s(instances: int) -> float:
    """Return the time in seconds between a change and the next watch in a fleet of some size."""
    return min(LONGEST_SETTLE_S, max(SETTLE_S, SETTLE_S_PER_INSTANCE * instances))


class SourceWatcher:
    """Reads the source once, then watches it."""

    def __init__(
        self,
        instance: instance_state.InstanceState,
        source: configuration_source.ConfigurationSource,
        clock: clocks.Clock,
    ) -> None:
        self._instance = instance
        self._source = source
        self._clock = clock
        # Nothing was read yet, so that the first answer counts as a return.
        self._away_since_s: float | None = clock.now_s()
        self._watch_s = WATCH_SHARE * instance.options.bounds.stable_window_s
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, name="source-watcher", daemon=True)

    def start(self) -> None:
        """Begin to read."""
        self._thread.start()

    def stop(self) -> None:
        """Ask the task to end."""
        self._stopped.set()

    def _run(self) -> None:
        after = 0
        while not self._stopped.is_set():
            try:
                after = self._watch(after) if after else self._read()
            except configuration_source.HistoryGoneError:
                eliot.log_message(message_type="source_history_gone", revision=after)
                after = 0
            except configuration_source.SourceError as error:
                self._lose(error)
                self._stopped.wait(PAUSE_S)
            except Exception:
                eliot.write_traceback()
                after = 0
                self._stopped.wait(PAUSE_S)

    def _read(self) -> int:
        asked_s = self._clock.now_s()
        news = self._source.read(READ_S)
        self._regain()
        self._take_configuration(news)
        listed = {key: each for key, each in news.upstream_by_id.items() if each is not None}
        self._instance.update_directory(directory.Listed(listed, news.revision))
        self._instance.confirm_revision(self._instance.configuration.revision, asked_s)
        self._count("read")
        return news.revision

    def _watch(self, after: int) -> int:
        asked_s = self._clock.now_s()
        news = self._source.watch(after, self._watch_s, self._watch_s + ANSWER_S)
        self._regain()
        is_quiet = not news.upstream_by_id and not news.configuration_revision
        self._take_configuration(news)
        if news.upstream_by_id:
            self._instance.update_directory(directory.Changed(news.upstream_by_id, news.revision))
        # A watch that ran its whole time without a change saw none until its end.
        ran_out = is_quiet and self._clock.now_s() - asked_s >= self._watch_s
        proven_s = asked_s + (self._watch_s if ran_out else 0.0)
        self._instance.confirm_revision(self._instance.configuration.revision, proven_s)
        self._count("watch")
        if not is_quiet:
            self._stopped.wait(watch_delay_s(len(self._instance.membership.peer_by_instance) + 1))
        return max(after, news.revision)

    def _take_configuration(self, news: configuration_source.SourceUpdate) -> None:
        if news.configuration is not None:
            self._instance.adopt(news.configuration)
        # One that can't be decoded may withdraw keys: what is in force is no longer the newest.
        self._instance.note_source_revision(news.configuration_revision)

    def _lose(self, error: configuration_source.SourceError) -> None:
        self._count("failed")
        if self._away_since_s is not None:
            return
        self._away_since_s = self._clock.now_s()
        self._instance.mark_source_lost()
        eliot.log_message(
            message_type="source_lost",
            detail=str(error),
            revision=self._instance.directory.revision,
            proof_age_s=round(self._instance.proof_age_s(), 3),
        )

    def _regain(self) -> None:
        if self._away_since_s is None:
            return
        away_s = self._clock.now_s() - self._away_since_s
        self._away_since_s = None
        self._instance.mark_source_regained(away_s)
        eliot.log_message(
            message_type="source_regained",
            away_s=round(away_s, 3),
            missing_entries_kept=self._instance.directory.grace_until_s > self._clock.now_s(),
        )

    def _count(self, outcome: str) -> None:
        self._instance.metrics.store_calls.add(1, {"outcome": outcome})
