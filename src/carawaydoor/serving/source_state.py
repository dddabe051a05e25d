"""What an instance knows about the source, and about the peers that read it for its domain."""

from __future__ import annotations

import math
import threading
import time
from collections.abc import Callable
from typing import Final

from carawaydoor.fleet import gossip
from carawaydoor.operating import clocks
from carawaydoor.policy import (
    source_lag,
    source_position,
    source_reading,
    stream_ranking,
    upstream_directory,
)

CURRENT_CHECK_INTERVAL_S: Final = 0.05


class SourceState:
    """The connection of an instance to its source of configuration and upstreams.

    :ivar revision: position up to which this instance knows the content of the source
    :ivar on_list_gap: called when changes may have been missed, since the list was too old before
    :ivar on_changed: called when this instance has read a change that others of its domain wait for
    """

    def __init__(
        self,
        instance: str,
        domain: str,
        link_mbps: float,
        clock: clocks.Clock,
        lock: threading.RLock,
        membership: Callable[[], gossip.Membership],
        update_directory: Callable[[upstream_directory.Message], None],
        configuration_position: Callable[[], int],
    ) -> None:
        self.revision = 0
        self.on_changed: Callable[[], None] = _do_nothing
        self.on_list_gap: Callable[[], None] = _do_nothing
        self._list_proven_s = float("-inf")
        self._instance = instance
        self._domain = domain
        self._link_mbps = link_mbps
        self._clock = clock
        self._lock = lock
        self._membership = membership
        self._update_directory = update_directory
        self._configuration_position = configuration_position
        self._reachable_since_s: float | None = None
        self._has_news = threading.Event()
        self._lag = source_lag.Lag()
        self._configuration_lag = source_lag.Lag()

    def mark_lost(self) -> None:
        """Record that the source does not respond."""
        self._reachable_since_s = None
        self._update_directory(upstream_directory.StoreUnavailable())

    def mark_regained(self, away_s: float) -> None:
        """Record that the source responds again.

        If it served peers all the time, it was up, and the entries now missing have really left.

        :param away_s: seconds for which the source did not respond to this instance
        """
        with self._lock:
            now_s = self._clock.now_s()
            self._reachable_since_s = now_s
            uptime_s = gossip.longest_source_uptime_s(self._membership(), now_s)
        self._update_directory(upstream_directory.StoreRecovered(served_peers=uptime_s > away_s))

    def mark_unused(self) -> None:
        """Record that this instance does not read the source itself, but follows those that do."""
        self._reachable_since_s = None

    def mark_used(self) -> None:
        """Record that the source has responded to this instance."""
        if self._reachable_since_s is None:
            self._reachable_since_s = self._clock.now_s()

    def mark_recovering(self) -> None:
        """Record that the instance from which changes were fetched has just regained the source."""
        self._update_directory(upstream_directory.StoreUnavailable())
        self._update_directory(upstream_directory.StoreRecovered())

    def steady_s(self) -> float:
        """Return for how many seconds this instance has reached the source without a break."""
        since_s = self._reachable_since_s
        return 0.0 if since_s is None else self._clock.now_s() - since_s

    def record_list(self, position: int, proven_s: float) -> None:
        """Record that the list of upstreams was updated.

        :param position: position up to which the content of the source is known
        :param proven_s: time in seconds at which the source held nothing that is missing here
        """
        with self._lock:
            has_gap = proven_s - self._list_proven_s > stream_ranking.MAX_LIST_AGE_S
            self.revision = max(self.revision, position)
            self._list_proven_s = max(self._list_proven_s, proven_s)
        if has_gap:
            self.on_list_gap()

    def record_list_of_peer(self, position: int, proven_s: float) -> None:
        """Record that a peer knew the source up to a position, after which it held nothing."""
        with self._lock:
            is_same_era = source_position.era_of(position) == source_position.era_of(self.revision)
            if is_same_era and 0 < position <= self.revision:
                self._list_proven_s = max(self._list_proven_s, proven_s)

    def list_age_s(self) -> float:
        """Return for how many seconds the source may have held changes of upstreams unknown here."""
        return self._clock.now_s() - self._list_proven_s

    def reported_list_age_s(self) -> float | None:
        """Return the same for other instances, None before the first list."""
        age_s = self.list_age_s()
        return max(0.0, age_s) if math.isfinite(age_s) else None

    def is_list_current(self) -> bool:
        """Return whether no peer knows the source beyond what this instance does, and that is not old."""
        return self.behind_s() <= 0.0 and self.list_age_s() <= stream_ranking.MAX_LIST_AGE_S

    def wait_until_current(self, timeout_s: float) -> bool:
        """Wait until the list of upstreams is current; return whether it is.

        :param timeout_s: longest wait in seconds
        """
        waited_s = 0.0
        while not self.is_list_current():
            if waited_s >= timeout_s:
                return False
            time.sleep(CURRENT_CHECK_INTERVAL_S)
            waited_s += CURRENT_CHECK_INTERVAL_S
        return True

    def readers(self) -> tuple[str, ...]:
        """Return the instances that read the source for this failure domain."""
        return source_reading.readers(self._candidates())

    def _candidates(self) -> tuple[source_reading.Candidate, ...]:
        own = source_reading.Candidate(self._instance, self.steady_s() > 0.0, self._link_mbps)
        others = (
            source_reading.Candidate(
                each.contact.instance, each.report.source_steady_s > 0.0, each.report.link_mbps
            )
            for each in self.domain_peers()
            if each.report is not None
        )
        return own, *others

    def reader_hosts(self, after: int) -> tuple[str, ...]:
        """Return the hosts of the other instances that read the source for this failure domain.

        They are in the order in which this instance asks them. A reader that has lost the source still
        responds, so those that know it beyond a position come first.
        """
        peer_by_instance = {each.contact.instance: each for each in self.domain_peers()}
        candidates = self._candidates()
        readers = source_reading.readers(candidates)
        ordered = source_reading.order_for(
            self._instance, (each for each in candidates if each.instance in readers)
        )
        peers = [peer_by_instance[each] for each in ordered if each in peer_by_instance]
        peers.sort(key=lambda each: each.report is None or each.report.source_revision <= after)
        return tuple(each.contact.host for each in peers)

    def informed_hosts(self, after: int) -> tuple[str, ...]:
        """Return the hosts of live peers that know the source beyond a position, newest first."""
        peers = gossip.live_peers(self._membership(), self._clock.now_s())
        informed = [
            (each.report.source_revision, each.report.domain == self._domain, each.contact.host)
            for each in peers
            if each.report is not None and each.report.source_revision > after
        ]
        return tuple(host for _, _, host in sorted(informed, reverse=True))

    def has_followers(self) -> bool:
        """Return whether instances of this failure domain rely on others to read the source."""
        return source_reading.has_followers(len(self.domain_peers()) + 1)

    def note_peer_revision(self, revision: int) -> None:
        """Record up to which position a peer knows the content of the source."""
        with self._lock:
            self._lag = source_lag.record_peer(
                self._lag, self._clock.now_s(), self.revision, revision
            )
        if revision > self.revision:
            self._has_news.set()

    def note_peer_configuration(self, position: int) -> None:
        """Record the position of the configuration that is in force at a peer."""
        with self._lock:
            self._configuration_lag = source_lag.record_peer(
                self._configuration_lag,
                self._clock.now_s(),
                self._known_configuration_position(),
                position,
            )

    def lacks_configuration(self) -> bool:
        """Return whether a peer has a configuration that this instance lacks."""
        return self._current_configuration_lag().oldest is not None

    def configuration_behind_s(self) -> float:
        """Return for how many seconds a configuration has been known that this instance lacks."""
        return source_lag.behind_s(self._current_configuration_lag(), self._clock.now_s())

    def _current_configuration_lag(self) -> source_lag.Lag:
        with self._lock:
            self._configuration_lag = source_lag.record_own(
                self._configuration_lag, self._known_configuration_position()
            )
            return self._configuration_lag

    def _known_configuration_position(self) -> int:
        return max(self.revision, self._configuration_position())

    def behind_s(self) -> float:
        """Return for how many seconds peers have known more of the source than this instance."""
        with self._lock:
            self._lag = source_lag.record_own(self._lag, self.revision)
            return source_lag.behind_s(self._lag, self._clock.now_s())

    def wait_for_news(self, revision: int, timeout_s: float) -> bool:
        """Wait until a peer of this failure domain knows a newer revision of the source.

        :param timeout_s: longest wait in seconds
        """
        if self._has_news.wait(timeout_s):
            self._has_news.clear()
        return any(
            each.report is not None and each.report.source_revision > revision
            for each in self.domain_peers()
        )

    def domain_peers(self) -> tuple[gossip.Peer, ...]:
        """Return the peers of this failure domain that report and are not leaving."""
        return gossip.live_peers_in_domain(self._membership(), self._clock.now_s(), self._domain)


def _do_nothing() -> None:
    """Do nothing, as the default callback."""
