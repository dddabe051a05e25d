"""At which software version a stream begins, so that it can be found out again without memory.

While several versions serve, the id of a stream ranks the upstreams of its service by rendezvous
hashing, and the stream begins at the version of the first one, at any upstream of it. Any instance can
rank the upstreams again later, as far as it knows which of them there were when the stream began.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Collection, Iterable, Mapping
from typing import Final

from carawaydoor.policy import entities, rendezvous, stream_versions, upstream_changes

# Part of the streams that begin at the version of their rank. The others go where there is room, which
# evens out the versions, and can't be taken up once no instance remembers them.
RANKED_SHARE: Final = 0.9
# Oldest list by which an instance places streams; with an older one it refuses requests with keys.
MAX_LIST_AGE_S: Final = 5.0

_WEIGHTS: Final = 1 << 64
_SHARE_NAME: Final = "ranked"


@dataclasses.dataclass(frozen=True, slots=True)
class ListedUpstream:
    """An upstream in a list that was read from the source.

    :ivar created: position of the source at which its entry was created, zero if unknown
    """

    upstream: entities.Upstream
    created: int


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamList:
    """All upstreams that the source lists.

    :ivar configuration_created: position of the source at which the first configuration was written,
        before which no request was served; zero if unknown
    """

    listed: tuple[ListedUpstream, ...]
    configuration_created: int


@dataclasses.dataclass(frozen=True, slots=True)
class PastChanges:
    """What the source still knows of changes before this instance had its first list.

    :ivar after: position of the source after which all changes are known
    :ivar since_s: time in seconds from which on all changes are known
    :ivar upstreams_by_id: the entries that were written, in order; None for a removal
    """

    after: int
    since_s: float
    upstreams_by_id: Mapping[str, tuple[entities.Upstream | None, ...]]


@dataclasses.dataclass(frozen=True, slots=True)
class Window:
    """The time in which a stream began.

    :ivar since_s: earliest time in seconds, by the clock of the change log
    :ivar since_wall_s: the same time in seconds since the Unix epoch
    """

    since_s: float
    since_wall_s: float

    @property
    def listed_since_s(self) -> float:
        """Time in seconds of the oldest list by which the stream can have been placed."""
        return self.since_s - MAX_LIST_AGE_S


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """An upstream that may have been ranked when a stream began.

    :ivar versions: versions that it may have had, None if these are not known
    :ivar is_certain: whether it was ranked all the time
    """

    id: str
    versions: frozenset[str] | None
    is_certain: bool


def is_ranked(key: str) -> bool:
    """Return whether a stream begins at the version of its rank.

    :param key: name of the stream
    """
    return rendezvous.weight(_SHARE_NAME, key) < RANKED_SHARE * _WEIGHTS


def begin_version(key: str, upstreams: Collection[entities.Upstream]) -> str | None:
    """Return the version at which a new stream has to begin, None if it may begin at any.

    :param key: name of the stream
    :param upstreams: upstreams of its service at which streams can begin
    """
    staying = [each for each in upstreams if not each.is_leaving]
    if len({each.version for each in staying}) < 2 or not is_ranked(key):
        return None
    first = max(staying, key=lambda each: (rendezvous.weight(key, each.id), each.id))
    # A stream of an upstream without a version can go on nowhere else, so it may begin anywhere.
    return first.version or None


def begun_version(key: str, candidates: Iterable[Candidate]) -> str | None:
    """Return the version at which a stream began, None if that is not certain.

    :param key: name of the stream, empty if it is not known
    :param candidates: all upstreams at which it may have begun
    """
    ranked = sorted(
        candidates, key=lambda each: (rendezvous.weight(key, each.id), each.id), reverse=True
    )
    possible: set[str] = set()
    for each in ranked:
        if each.versions is None:
            return None
        possible |= each.versions
        if len(possible) > 1:
            return None
        if each.is_certain and key and is_ranked(key):
            break
    version = next(iter(possible), stream_versions.UNKNOWN_VERSION)
    return version or None


def candidates(
    service: str,
    stage: entities.Stage,
    current: UpstreamList,
    log: upstream_changes.ChangeLog,
    past: PastChanges | None,
    window: Window,
) -> tuple[Candidate, ...] | None:
    """Return the upstreams of a service that may have been ranked when a stream began.

    :param stage: stage of the upstreams at which streams begin
    :param current: a list that is younger than the request that takes the stream up
    :param past: None if the log reaches back far enough
    :return: None if the changes since the stream began are not known
    """
    known_since_s = log.known_since_s if past is None else min(past.since_s, log.known_since_s)
    if known_since_s > window.listed_since_s:
        return None
    versions_by_id = _changed_versions(service, current, log, past, window)
    found = []
    for listed in current.listed:
        upstream = listed.upstream
        has_changed = upstream.id in versions_by_id
        earlier = versions_by_id.pop(upstream.id, frozenset())
        if upstream.service != service or not (upstream.stage is stage or has_changed):
            continue
        is_new = not _is_older(listed, current, window)
        is_replaced = is_new and past is not None and 0 < listed.created <= past.after
        versions = None if earlier is None or is_replaced else earlier | {upstream.version}
        is_certain = not (upstream.is_leaving or is_new or has_changed)
        found.append(Candidate(upstream.id, versions, is_certain))
    found.extend(Candidate(key, versions, False) for key, versions in versions_by_id.items())
    return tuple(found)


def _is_older(listed: ListedUpstream, current: UpstreamList, window: Window) -> bool:
    """Return whether every instance listed an upstream before the stream can have begun."""
    if 0 < listed.created < current.configuration_created:
        return True
    return _is_born_before(listed.upstream, window)


def _is_born_before(upstream: entities.Upstream, window: Window) -> bool:
    born_s = upstream.born_ms / 1000.0
    return 0.0 < born_s <= window.since_wall_s - MAX_LIST_AGE_S


def _changed_versions(
    service: str,
    current: UpstreamList,
    log: upstream_changes.ChangeLog,
    past: PastChanges | None,
    window: Window,
) -> dict[str, frozenset[str] | None]:
    """Return the versions of the upstreams that have changed lately, None where not all are known."""
    versions_by_id: dict[str, frozenset[str] | None] = {}
    for change in upstream_changes.since(log, window.listed_since_s):
        if change.upstream.service == service:
            known = versions_by_id.get(change.upstream.id) or frozenset()
            versions_by_id[change.upstream.id] = known | {change.upstream.version}
    if past is None:
        return versions_by_id
    listed_by_id = {each.upstream.id: each for each in current.listed}
    for key, entries in past.upstreams_by_id.items():
        listed = listed_by_id.get(key)
        upstream = None if listed is None else listed.upstream
        services = {each.service for each in (*entries, upstream) if each is not None}
        if services and service not in services:
            continue
        is_whole = listed is not None and listed.created > past.after
        if is_whole and all(each == upstream for each in entries):
            # Unchanged since it was created.
            continue
        written = _written_versions(entries, listed is not None, window)
        seen = versions_by_id.get(key, frozenset())
        versions_by_id[key] = None if written is None or seen is None else written | seen
    return versions_by_id


def _written_versions(
    entries: tuple[entities.Upstream | None, ...], is_listed: bool, window: Window
) -> frozenset[str] | None:
    """Return the versions of entries that were written; None if another one may have been before."""
    first = entries[0]
    if first is None or not (is_listed or _is_born_before(first, window)):
        return None
    return frozenset(each.version for each in entries if each is not None)
