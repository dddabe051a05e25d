"""Applies configuration and upstream changes from the source in a background thread."""

from __future__ import annotations

import dataclasses
import enum
import math
import threading
from typing import Final

import eliot

from carawaydoor.fleet import source_relay
from carawaydoor.operating import clocks, configuration_source, peer_evacuations
from carawaydoor.policy import (
    evacuation,
    source_position,
    source_reading,
    stream_ranking,
    upstream_directory,
)
from carawaydoor.serving import instance_state

# The source responds to a watch after this fraction of the stable window even if nothing has
# changed. The response confirms that the configuration is the newest. If the connection is dead,
# the watch times out RESPONSE_MARGIN_S later.
WATCH_WINDOW_SHARE: Final = 0.68
# Exceeds the 0.25 s that a slow source takes to respond.
RESPONSE_MARGIN_S: Final = 0.6
# Delay between a response with changes and the next watch, so that changes in quick succession
# share one response. Each change triggers a response to every instance, so the delay grows with the
# number of instances to limit the load on the source. Its maximum stays well below the 2 s in which
# an instance has to react to a leaving upstream.
MIN_WATCH_DELAY_S: Final = 0.25
WATCH_DELAY_S_PER_INSTANCE: Final = 0.01
MAX_WATCH_DELAY_S: Final = 0.8
# Applies instead of these where only a few instances of each failure domain watch the source.
READER_WATCH_DELAY_S: Final = 0.4
# Several configurations in one response that took longer follow each other faster than the link
# carries them.
SLOW_TRANSFER_S: Final = 0.2
# Length of a watch while the source does not respond: it only asks for changes that have been made.
OUTAGE_WATCH_S: Final = 0.001
# Part of the age up to which streams go on by a list, after which an instance that doesn't read the source asks
# for a newer one, and reads the source if nobody has one.
MAX_FOLLOWED_LIST_AGE_S: Final = 0.6 * stream_ranking.MAX_LIST_AGE_S
# Interval at which an instance that doesn't read the source checks whether it has to.
FOLLOW_INTERVAL_S: Final = 0.2
# Peers that are asked, one after the other, for what a source that does not respond would tell.
MAX_INFORMED_PEERS: Final = 2
# After this time behind peers of other failure domains an instance asks the readers of its own, which
# announce changes to it as well.
ASK_BEHIND_S: Final = 0.5
# Timeout of each page of a full read.
READ_TIMEOUT_S: Final = 1.0
RETRY_DELAY_S: Final = 0.25


class Way(enum.Enum):
    """How an instance received an update of the source."""

    READ = "read"
    WATCH = "watch"
    PEER = "peer"


def watch_delay_s(instance_count: int) -> float:
    """Return the delay in seconds between a response with changes and the next watch."""
    return min(
        MAX_WATCH_DELAY_S, max(MIN_WATCH_DELAY_S, WATCH_DELAY_S_PER_INSTANCE * instance_count)
    )


class SourceWatcher:
    """Reads everything from the source, then watches it for changes."""

    def __init__(
        self,
        instance: instance_state.InstanceState,
        source: configuration_source.ConfigurationSource,
        clock: clocks.Clock,
    ) -> None:
        self._instance = instance
        self._source = source
        self._clock = clock
        self._peer_evacuations = peer_evacuations.PeerEvacuations(instance, clock)
        self._era: int | None = None
        # None while the source responds. The first read counts as the end of an outage.
        self._unreachable_since_s: float | None = clock.now_s()
        stable_window_s = instance.options.bounds.stable_window_s
        self._longest_watch_s = WATCH_WINDOW_SHARE * stable_window_s
        self._timing = source_reading.timing(stable_window_s)
        self._self_reading_behind_s = source_reading.self_reading_behind_s(
            instance.options.bounds.configuration_s
        )
        self._self_reading_until_s = float("-inf")
        self._stop_requested = threading.Event()
        self._thread = threading.Thread(target=self._run, name="source-watcher", daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Ask the thread to end."""
        self._stop_requested.set()

    def _run(self) -> None:
        revision = 0
        while not self._stop_requested.is_set():
            try:
                if not revision:
                    revision = self._read()
                elif self._reads_source():
                    revision = self._watch(revision)
                else:
                    revision = self._follow(revision)
            except configuration_source.HistoryGoneError:
                eliot.log_message(message_type="source_history_gone", revision=revision)
                revision = 0
            except configuration_source.SourceError as error:
                self._record_outage(error)
                self._hear_evacuations(revision)
                revision = self._fetch_from_informed(revision)
                self._stop_requested.wait(RETRY_DELAY_S)
            except Exception:
                eliot.write_traceback()
                revision = 0
                self._stop_requested.wait(RETRY_DELAY_S)

    def _hear_evacuations(self, revision: int) -> None:
        try:
            self._peer_evacuations.hear_during_outage(revision)
        except Exception:
            # What a peer says must not end the thread that reads the source.
            eliot.write_traceback()

    def _fetch_from_informed(self, revision: int) -> int:
        """Fetch from peers what they know beyond this instance, to which the source does not respond."""
        if not revision:
            return revision
        for host in self._instance.source.informed_hosts(revision)[:MAX_INFORMED_PEERS]:
            try:
                return self._fetch(host, revision)
            except source_relay.RelayError as error:
                eliot.log_message(message_type="relay_failed", peer=host, detail=str(error))
            except Exception:
                # What a peer says must not end the thread that reads the source.
                eliot.write_traceback()
        return revision

    def _reads_source(self) -> bool:
        if self._clock.now_s() < self._self_reading_until_s:
            return True
        return self._instance.options.instance in self._instance.source.readers()

    def _follow(self, revision: int) -> int:
        """Wait for news from the instances that read the source, and fetch what they have read."""
        self._instance.source.mark_unused()
        has_news = self._instance.source.wait_for_news(revision, FOLLOW_INTERVAL_S)
        is_proven = (
            self._instance.proof_age_s() < self._timing.proof_request_age_s
            and self._instance.source.list_age_s() < MAX_FOLLOWED_LIST_AGE_S
        )
        behind_s = self._instance.source.configuration_behind_s()
        if not has_news and is_proven and behind_s < ASK_BEHIND_S:
            return revision
        for number, host in enumerate(self._instance.source.reader_hosts(revision)):
            # A first reader may have a fresh proof. Several may be silent, one after the other.
            if number > 0 and self._is_overdue():
                break
            requested_s = self._clock.now_s()
            try:
                revision = self._fetch(host, revision)
            except source_relay.RelayError as error:
                eliot.log_message(
                    message_type="relay_failed",
                    peer=host,
                    detail=str(error),
                    took_s=round(self._clock.now_s() - requested_s, 3),
                    behind_s=round(self._instance.source.behind_s(), 3),
                )
                continue
            if not self._is_overdue():
                self._stop_requested.wait(FOLLOW_INTERVAL_S)
                return revision
        self._self_reading_until_s = self._clock.now_s() + source_reading.MIN_SELF_READING_S
        eliot.log_message(
            message_type="source_read_directly",
            revision=revision,
            proof_age_s=round(self._instance.proof_age_s(), 3),
            behind_s=round(self._instance.source.behind_s(), 3),
        )
        return revision

    def _is_overdue(self) -> bool:
        """Return whether this instance can no longer rely on others to follow the source."""
        return (
            self._instance.proof_age_s() >= self._timing.self_reading_age_s
            or self._instance.source.list_age_s() >= MAX_FOLLOWED_LIST_AGE_S
            or self._instance.source.configuration_behind_s() >= self._self_reading_behind_s
        )

    def _fetch(self, host: str, revision: int) -> int:
        requested_s = self._clock.now_s()
        relayed = source_relay.fetch(host, self._instance.options.first_port, revision, self._clock)
        transfer_s = self._clock.now_s() - requested_s
        update = self._source.take_over(dataclasses.replace(relayed.changes, transfer_s=transfer_s))
        is_recovering = relayed.steady_s < upstream_directory.REAPPEARANCE_GRACE_S
        if is_recovering and None in update.upstream_by_id.values():
            self._instance.source.mark_recovering()
        self._apply_evacuations(update, evacuation.Origin.PEER)
        self._apply_configuration(update, Way.PEER, host)
        if update.upstream_by_id:
            self._instance.update_directory(
                upstream_directory.Changes(update.upstream_by_id, update.revision)
            )
        self._instance.confirm_revision(
            self._instance.configuration.revision, requested_s - relayed.proof_age_s
        )
        self._count_store_call("relayed")
        self._instance.source.record_list(
            max(revision, update.revision), requested_s - self._relayed_list_age_s(relayed)
        )
        return self._instance.source.revision

    def _relayed_list_age_s(self, relayed: source_relay.RelayedChanges) -> float:
        """Return the age of what another instance told, which reads the source if it doesn't say."""
        if relayed.list_age_s is not None:
            return relayed.list_age_s
        is_reading = relayed.steady_s > 0.0
        return self._longest_watch_s + RESPONSE_MARGIN_S if is_reading else math.inf

    def _watch_times_s(self) -> tuple[float, float]:
        """Return how long a watch lasts, and the delay after one with changes, in seconds."""
        if self._unreachable_since_s is not None:
            # A source that does not respond must not hold up what peers know.
            return OUTAGE_WATCH_S, MIN_WATCH_DELAY_S
        if self._instance.source.has_followers():
            return self._timing.reader_watch_s, READER_WATCH_DELAY_S
        count = len(self._instance.membership.peer_by_instance) + 1
        return self._longest_watch_s, watch_delay_s(count)

    def _read(self) -> int:
        requested_s = self._clock.now_s()
        update = self._source.read(READ_TIMEOUT_S)
        self._record_recovery()
        is_first = self._era is None
        is_restored = self._record_restore(update.revision)
        # Before the rest, so that no request goes to an upstream that must not get any.
        evacuated = frozenset(update.is_evacuated_by_domain)
        self._instance.evacuation.apply(
            evacuation.Snapshot(evacuated, evacuation.Origin.STORE, is_restored)
        )
        if is_first:
            # If this fails, the next read finds the era known and goes on without peers.
            self._peer_evacuations.hear_at_start(update.revision, self._stop_requested)
        self._apply_configuration(update, Way.READ)
        upstream_by_id = {
            key: each for key, each in update.upstream_by_id.items() if each is not None
        }
        self._instance.update_directory(
            upstream_directory.Snapshot(upstream_by_id, update.revision, is_restored)
        )
        self._instance.confirm_revision(self._instance.configuration.revision, requested_s)
        self._count_store_call("read")
        self._instance.source.revision = update.revision
        self._instance.source.record_list(update.revision, requested_s)
        return update.revision

    def _watch(self, revision: int) -> int:
        watch_s, delay_s = self._watch_times_s()
        requested_s = self._clock.now_s()
        update = self._source.watch(revision, watch_s, watch_s + RESPONSE_MARGIN_S)
        self._record_recovery()
        self._instance.source.mark_used()
        is_unchanged = (
            not update.upstream_by_id
            and not update.configuration_revision
            and not update.is_evacuated_by_domain
        )
        self._apply_evacuations(update, evacuation.Origin.STORE)
        self._apply_configuration(update, Way.WATCH)
        if update.upstream_by_id:
            self._instance.update_directory(
                upstream_directory.Changes(update.upstream_by_id, update.revision)
            )
        # A watch without a change confirms the configuration up to the end of the watch.
        lasted_whole_watch = is_unchanged and self._clock.now_s() - requested_s >= watch_s
        confirmed_s = requested_s + (watch_s if lasted_whole_watch else 0.0)
        self._instance.confirm_revision(self._instance.configuration.revision, confirmed_s)
        self._count_store_call("watch")
        self._instance.source.record_list(max(revision, update.revision), confirmed_s)
        if not is_unchanged:
            if self._instance.source.has_followers():
                self._instance.source.on_changed()
            self._stop_requested.wait(delay_s)
        if update.configuration_count > 1 and update.transfer.transfer_s > SLOW_TRANSFER_S:
            # A watch delivers superseded configurations too, a read only the newest one.
            eliot.log_message(
                message_type="source_superseded",
                configurations=update.configuration_count,
                transfer_s=round(update.transfer.transfer_s, 3),
            )
            return 0
        return self._instance.source.revision

    def _apply_evacuations(
        self, update: configuration_source.SourceUpdate, origin: evacuation.Origin
    ) -> None:
        if update.is_evacuated_by_domain:
            changes = evacuation.Changes(update.is_evacuated_by_domain, origin)
            self._instance.evacuation.apply(changes)

    def _apply_configuration(
        self, update: configuration_source.SourceUpdate, way: Way, peer: str = ""
    ) -> None:
        if update.configuration_count:
            self._record_configuration(update, way, peer)
        if update.configuration is not None:
            self._instance.adopt(update.configuration)
        # A configuration that can't be decoded may withdraw keys, so the current one is outdated.
        self._instance.note_source_revision(update.configuration_revision)

    def _record_configuration(
        self, update: configuration_source.SourceUpdate, way: Way, peer: str
    ) -> None:
        behind_s = self._instance.source.behind_s()
        configuration, transfer = update.configuration, update.transfer
        eliot.log_message(
            message_type="configuration_received",
            version=configuration.version if configuration else None,
            revision=source_position.revision_of(update.configuration_revision),
            configurations=update.configuration_count,
            way=way.value,
            peer=peer,
            bytes=transfer.received_bytes,
            transfer_s=round(transfer.transfer_s, 4),
            decode_s=round(transfer.decode_s, 4),
            behind_s=round(behind_s, 3),
            requests_at_work=self._instance.active_requests,
        )
        self._instance.metrics.configuration_bytes.add(transfer.received_bytes, {"way": way.value})
        self._instance.metrics.configuration_delay_seconds.record(behind_s, {"way": way.value})

    def _record_outage(self, error: configuration_source.SourceError) -> None:
        self._count_store_call("failed")
        if self._unreachable_since_s is not None:
            return
        self._unreachable_since_s = self._clock.now_s()
        self._instance.source.mark_lost()
        eliot.log_message(
            message_type="source_lost",
            detail=str(error),
            revision=self._instance.directory.revision,
            proof_age_s=round(self._instance.proof_age_s(), 3),
        )

    def _record_recovery(self) -> None:
        if self._unreachable_since_s is None:
            return
        outage_s = self._clock.now_s() - self._unreachable_since_s
        self._unreachable_since_s = None
        self._instance.source.mark_regained(outage_s)
        eliot.log_message(
            message_type="source_regained",
            away_s=round(outage_s, 3),
            missing_entries_kept=self._instance.directory.grace_until_s > self._clock.now_s(),
        )

    def _record_restore(self, position: int) -> bool:
        """Keep upstreams whose entries a restored source lacks, until they have written again.

        :return: whether the source was restored since the last read
        """
        era, known_era = source_position.era_of(position), self._era
        self._era = era
        if known_era is None or era <= known_era:
            return False
        self._instance.source.mark_recovering()
        eliot.log_message(
            message_type="source_restored",
            era=era,
            known_era=known_era,
            revision=source_position.revision_of(position),
            version=self._instance.configuration.version,
        )
        return True

    def _count_store_call(self, outcome: str) -> None:
        self._instance.metrics.store_calls.add(1, {"outcome": outcome})
