"""Remembers where streams began, tells the instances that remember them too, and asks these.

A caller may take a stream up again at any instance, after the one that began it has ended. That is
why others are told of a stream before its caller gets the first event.
"""

from __future__ import annotations

import collections
import concurrent.futures
import dataclasses
import threading
from collections.abc import Callable, Iterable
from typing import Final

import eliot

from carawaydoor.fleet import gossip, origin_query, reports
from carawaydoor.operating import clocks, platform_options
from carawaydoor.policy import entities, stream_versions, upstream_changes

# Longer than callers go on with one stream.
MAX_AGE_S: Final = 60.0
# Bounds the memory, at about 200 bytes each.
MAX_ORIGINS: Final = 32_768
# Origins in one datagram to an instance that has started.
MAX_ORIGINS_PER_REPORT: Final = 200
# Clocks of two machines may differ by as much.
CLOCK_TOLERANCE_S: Final = 0.5
QUERY_THREADS: Final = 8
SendCallback = Callable[[reports.OriginReport, Iterable[str]], None]


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """What instances know of a stream.

    :ivar origin: None if that is not known
    :ivar is_complete: whether all that may be known was found out
    """

    origin: stream_versions.Origin | None
    is_complete: bool


@dataclasses.dataclass(frozen=True, slots=True)
class _Begun:
    """A stream that began at an upstream of this instance.

    :ivar began_s: by the system's clock, in seconds since the Unix epoch
    """

    key: str
    upstream: entities.Upstream
    began_s: float

    def may_be_of(self, successor: entities.Upstream) -> bool:
        """Return whether a later incarnation of the upstream may have written the first event.

        :param successor: may be an earlier one, if the store shows a former entry again
        """
        is_later = not successor.born_ms or successor.born_ms >= self.upstream.born_ms
        return (
            self.upstream.id == successor.id
            and self.upstream.version != successor.version
            and is_later
            and self.began_s >= successor.born_ms / 1000.0 - CLOCK_TOLERANCE_S
        )


class StreamOrigins:
    """The origins that this instance remembers, and the changes of upstreams.

    :ivar on_origins: called with a report and the hosts of the peers that should remember it
    """

    def __init__(
        self,
        options: platform_options.Options,
        clock: clocks.Clock,
        membership: Callable[[], gossip.Membership],
    ) -> None:
        self.on_origins: SendCallback = _send_nothing
        self.changes = upstream_changes.ChangeLog()
        self._options = options
        self._clock = clock
        self._membership = membership
        self._lock = threading.Lock()
        self._recorded_by_key: collections.OrderedDict[
            str, tuple[stream_versions.Origin, float]
        ] = collections.OrderedDict()
        self._begun: collections.deque[_Begun] = collections.deque(maxlen=MAX_ORIGINS)
        self._executor: concurrent.futures.ThreadPoolExecutor | None = None

    def record_begun(self, key: str, upstream: entities.Upstream) -> None:
        """Remember a stream whose first event has arrived, and tell the instances that should."""
        began = _Begun(key, upstream, self._clock.wall_s())
        with self._lock:
            oldest_s = began.began_s - MAX_AGE_S
            while self._begun and self._begun[0].began_s < oldest_s:
                self._begun.popleft()
            self._begun.append(began)
        self._share(key, stream_versions.Origin(upstream.service, upstream.version))

    def _share(self, key: str, origin: stream_versions.Origin) -> None:
        self._record(key, origin, self._clock.now_s())
        shared = reports.SharedOrigin(key, origin.service, origin.version, 0.0)
        hosts = [each.host for each in self._holder_contacts(key)]
        if hosts:
            self.on_origins(reports.OriginReport(self._options.instance, (shared,)), hosts)

    def record_of_peer(self, shared: reports.SharedOrigin) -> None:
        """Remember a stream that began at a peer."""
        origin = stream_versions.Origin(shared.service, shared.version)
        self._record(shared.key, origin, self._clock.now_s() - shared.age_s)

    def known(self, key: str) -> stream_versions.Origin | None:
        """Return where a stream began, as far as this instance remembers it."""
        with self._lock:
            recorded = self._recorded_by_key.get(key)
        if recorded is None or recorded[1] < self._clock.now_s() - MAX_AGE_S:
            return None
        return recorded[0]

    def ask_peers(self, key: str) -> Answer:
        """Ask the other instances that should remember a stream; return the first that does."""
        contacts = self._holder_contacts(key)
        if not contacts:
            return Answer(None, False)
        answers = [
            self._query_threads().submit(
                origin_query.fetch, each.host, self._options.first_port, key
            )
            for each in contacts
        ]
        is_complete = True
        for answer in concurrent.futures.as_completed(answers):
            try:
                origin = answer.result()
            except origin_query.QueryError as error:
                is_complete = False
                eliot.log_message(message_type="origin_query_failed", key=key, detail=str(error))
                continue
            if origin is not None:
                self._record(key, origin, self._clock.now_s())
                return Answer(origin, True)
        return Answer(None, is_complete)

    def tell_started_peer(self, contact: reports.Contact) -> None:
        """Tell an instance that has started of the streams that it should remember."""
        now_s = self._clock.now_s()
        with self._lock:
            recorded = tuple(self._recorded_by_key.items())
        shared = [
            reports.SharedOrigin(key, origin.service, origin.version, now_s - began_s)
            for key, (origin, began_s) in recorded
            if began_s >= now_s - MAX_AGE_S and contact.instance in self._holders(key)
        ]
        for first in range(0, len(shared), MAX_ORIGINS_PER_REPORT):
            part = tuple(shared[first : first + MAX_ORIGINS_PER_REPORT])
            self.on_origins(reports.OriginReport(self._options.instance, part), (contact.host,))

    def record_listed(self) -> None:
        """Record that the list of upstreams has been read, so that its changes are known now."""
        self.changes = upstream_changes.start(self.changes, self._clock.now_s())

    def record_list_gap(self) -> None:
        """Record that changes of upstreams before now may have been missed."""
        self.changes = upstream_changes.forget(self.changes, self._clock.now_s())

    def record_change(self, upstream: entities.Upstream) -> None:
        """Record a change of an upstream, which may have begun streams before or begins some now.

        An upstream may take requests before its entry says that it has started again. A stream that
        began there since is of either version.
        """
        now_s = self._clock.now_s()
        change = upstream_changes.Change(now_s, upstream)
        self.changes = upstream_changes.record(self.changes, change, now_s - MAX_AGE_S)
        with self._lock:
            doubtful = [each for each in self._begun if each.may_be_of(upstream)]
        for each in doubtful:
            self._share(each.key, stream_versions.Origin(upstream.service, upstream.version))

    def _record(self, key: str, origin: stream_versions.Origin, began_s: float) -> None:
        with self._lock:
            recorded = self._recorded_by_key.pop(key, None)
            known = recorded[0] if recorded else None
            self._recorded_by_key[key] = stream_versions.merge(known, origin), began_s
            oldest_s = self._clock.now_s() - MAX_AGE_S
            while self._recorded_by_key:
                first, (_, first_s) = next(iter(self._recorded_by_key.items()))
                if len(self._recorded_by_key) <= MAX_ORIGINS and first_s >= oldest_s:
                    break
                del self._recorded_by_key[first]

    def _holders(self, key: str) -> tuple[str, ...]:
        peers = self._membership().peer_by_instance
        domain_by_instance = {
            name: each.report.domain for name, each in peers.items() if each.report is not None
        }
        domain_by_instance[self._options.instance] = self._options.domain
        return stream_versions.holders(key, domain_by_instance)

    def _holder_contacts(self, key: str) -> tuple[reports.Contact, ...]:
        peers = self._membership().peer_by_instance
        return tuple(peers[each].contact for each in self._holders(key) if each in peers)

    def _query_threads(self) -> concurrent.futures.ThreadPoolExecutor:
        with self._lock:
            if self._executor is None:
                self._executor = concurrent.futures.ThreadPoolExecutor(
                    QUERY_THREADS, thread_name_prefix="origin-query"
                )
            return self._executor


def _send_nothing(_: reports.OriginReport, __: Iterable[str]) -> None:
    """Send nothing, as the default callback."""
