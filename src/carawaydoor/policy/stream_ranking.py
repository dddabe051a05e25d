"""At which software version a stream begins, so that it can be found out again without memory.

While several versions serve, the id of a stream ranks the upstreams of its service by weighted
rendezvous hashing, and the stream begins at the version of the first one, at any upstream of it. Any
instance can rank the upstreams again later, as far as it knows which of them there were when the
stream began.

That is not known of upstreams that came while it can have begun. So their weight grows with their age:
soon after a release, few streams begin at the new version, and few ids change their rank at a time.
"""

from __future__ import annotations

import dataclasses
import heapq
import math
from collections.abc import Collection, Iterable, Mapping
from typing import Final

from carawaydoor.policy import entities, rendezvous, stream_versions, upstream_changes

# Part of the streams that begin at the version of their rank. The others go where there is room, which
# evens out the versions, and can't be taken up once no instance remembers them.
RANKED_SHARE: Final = 0.9
# Oldest list by which an instance begins streams, and goes on with them.
MAX_LIST_AGE_S: Final = 5.0
# The same for streams that begin on routes without keys, which a failure domain goes on to serve while it is
# cut off from the source. The source has to show the changes of as long a time before the stream.
MAX_OPEN_LIST_AGE_S: Final = 15.0
# The source may begin to drop its history a little early.
HISTORY_MARGIN_S: Final = 1.0
# Several times as long as callers go on with one stream, so that a small part of the ids changes its rank
# meanwhile.
FULL_WEIGHT_AGE_S: Final = 45.0
# One upstream in as many, the oldest ones, has the full weight at any age, so that none gets more than as many
# times its part of the streams.
FULL_WEIGHT_PARTS: Final = 3
# Upstreams that have just started have some weight, in case there are no others.
MIN_WEIGHT_AGE_S: Final = 1.0
# The wall clocks of the instance that begins a stream and of the one that infers where may differ by as
# much, with a step of one of them.
MAX_CLOCK_ERROR_S: Final = 3.0

# Keeps the weight of upstreams that have just come low for longer than one that grows evenly.
_WEIGHT_EXPONENT: Final = 1.75
_HASHES: Final = 1 << 64
# Fits into the mantissa of a float.
_HASH_BITS: Final = 52
_SHARE_NAME: Final = "ranked"
# Candidates with the highest scores, which the others are compared with.
_MAX_LEADERS: Final = 16
_MS_PER_S: Final = 1000.0


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
    :ivar created_by_id: positions at which the first of these entries were created, as far as known
    :ivar has_evacuations: whether failure domains were evacuated, or ceased to be
    """

    after: int
    since_s: float
    upstreams_by_id: Mapping[str, tuple[entities.Upstream | None, ...]]
    created_by_id: Mapping[str, int] = dataclasses.field(default_factory=dict)
    has_evacuations: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Window:
    """The time in which a stream began.

    :ivar since_s: earliest time in seconds, by the clock of the change log
    :ivar since_wall_s: the same time in seconds since the Unix epoch
    :ivar until_wall_s: latest time in seconds since the Unix epoch
    :ivar list_age_s: age in seconds of the oldest list by which the stream can have begun
    """

    since_s: float
    since_wall_s: float
    until_wall_s: float
    list_age_s: float = MAX_LIST_AGE_S

    @property
    def listed_since_s(self) -> float:
        """Time in seconds of the oldest list by which the stream can have been placed."""
        return self.since_s - self.list_age_s

    def wall_s(self, at_s: float) -> float:
        """Return a time of the change log in seconds since the Unix epoch, as late as it may be."""
        return self.since_wall_s + at_s - self.since_s + MAX_CLOCK_ERROR_S

    def distinct_born_s(self, born_s: float) -> float:
        """Return the start of an upstream, the same for all that had the full weight all the time."""
        return max(born_s, self.since_wall_s - MAX_CLOCK_ERROR_S - FULL_WEIGHT_AGE_S)


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """An upstream that may have been ranked when a stream began.

    :ivar versions: versions that it may have had, None if these are not known
    :ivar is_certain: whether it was ranked all the time
    :ivar oldest_born_s: start of the oldest incarnation that may have been ranked, in seconds since the
        Unix epoch
    :ivar newest_born_s: start of the newest one
    :ivar created: position of the source at which its entry was created if it has not changed since,
        zero otherwise
    """

    id: str
    versions: frozenset[str] | None
    is_certain: bool
    oldest_born_s: float = 0.0
    newest_born_s: float = 0.0
    created: int = 0

    def is_listed_with(self, other: Candidate) -> bool:
        """Return whether each list with another candidate has this one too.

        Lists follow the positions of the source.
        """
        is_earlier = self.newest_born_s <= other.oldest_born_s
        return self.is_certain or (is_earlier and 0 < self.created < other.created)


@dataclasses.dataclass(frozen=True, slots=True)
class Inference:
    """What is known of the version at which a stream began.

    :ivar version: None if it is not certain
    :ivar possible: ids of the upstreams that may have been ranked first
    """

    version: str | None
    possible: tuple[str, ...]


def max_list_age_s(needs_key: bool, timeout_s: float, history_s: float) -> float:
    """Return the age in seconds of the oldest list by which streams of a route begin, at any instance.

    :param needs_key: whether requests of the route need a key
    :param timeout_s: timeout of the route in seconds
    :param history_s: time in seconds for which the source keeps changes
    """
    if needs_key:
        return MAX_LIST_AGE_S
    longest_s = timeout_s * (1.0 + stream_versions.AGE_MARGIN_SHARE)
    shown_s = history_s - longest_s - HISTORY_MARGIN_S
    return min(MAX_OPEN_LIST_AGE_S, max(MAX_LIST_AGE_S, shown_s))


def is_ranked(key: str) -> bool:
    """Return whether a stream begins at the version of its rank.

    :param key: name of the stream
    """
    return rendezvous.weight(_SHARE_NAME, key) < RANKED_SHARE * _HASHES


def begin_version(key: str, upstreams: Collection[entities.Upstream], wall_s: float) -> str | None:
    """Return the version at which a new stream has to begin, None if it may begin at any.

    :param key: name of the stream
    :param upstreams: upstreams of its service at which streams can begin
    :param wall_s: now, in seconds since the Unix epoch
    """
    staying = [each for each in upstreams if not each.is_leaving]
    if len({each.version for each in staying}) < 2 or not is_ranked(key):
        return None
    reference_s = _reference_born_s(_born_s(each) for each in staying)
    first = max(
        staying,
        key=lambda each: (_score(key, each.id, _born_s(each), wall_s, reference_s), each.id),
    )
    # A stream of an upstream without a version can go on nowhere else, so it may begin anywhere.
    return first.version or None


def infer(key: str, candidates: Collection[Candidate], window: Window) -> Inference:
    """Return at which version a stream began, as far as that is certain.

    :param key: name of the stream, empty if it is not known
    :param candidates: all upstreams at which it may have begun
    """
    possible = tuple(candidates)
    if key and is_ranked(key):
        leaders = heapq.nlargest(
            _MAX_LEADERS,
            candidates,
            key=lambda each: _score(key, each.id, each.newest_born_s, window.until_wall_s),
        )
        possible = tuple(
            each for each in candidates if _may_be_first(key, each, leaders, candidates, window)
        )
    ids = tuple(each.id for each in possible)
    versions: set[str] = set()
    for each in possible:
        if each.versions is None:
            return Inference(None, ids)
        versions |= each.versions
    version = versions.pop() if len(versions) == 1 else stream_versions.UNKNOWN_VERSION
    return Inference(version or None, ids)


def _may_be_first(
    key: str,
    candidate: Candidate,
    leaders: Collection[Candidate],
    candidates: Collection[Candidate],
    window: Window,
) -> bool:
    """Return whether no leader was ranked before a candidate whenever that was ranked.

    Between the times at which one of two weights begins or ceases to grow, their ratio only rises or only
    falls, and likewise over the reference start of the lists.
    """
    listed = [each for each in leaders if each is not candidate and each.is_listed_with(candidate)]
    unit_score, born_s = _unit_score(key, candidate.id), window.distinct_born_s(
        candidate.oldest_born_s
    )
    if any(
        window.distinct_born_s(each.newest_born_s) <= born_s
        and _unit_score(key, each.id) > unit_score
        for each in listed
    ):
        return False
    since_s = max(window.since_wall_s, born_s) - MAX_CLOCK_ERROR_S
    until_s = max(since_s, window.until_wall_s + MAX_CLOCK_ERROR_S)
    references_s = 0.0, _latest_reference_born_s(candidate, candidates)
    for each in listed:
        turns_s = (
            start_s + age_s
            for start_s in (each.newest_born_s, candidate.oldest_born_s)
            for age_s in (MIN_WEIGHT_AGE_S, FULL_WEIGHT_AGE_S)
        )
        times_s = {since_s, until_s, *(turn_s for turn_s in turns_s if since_s < turn_s < until_s)}
        if all(
            _score(key, each.id, each.newest_born_s, at_s, reference_s)
            > _score(key, candidate.id, candidate.oldest_born_s, at_s, reference_s)
            for at_s in times_s
            for reference_s in references_s
        ):
            return False
    return True


def _latest_reference_born_s(listed: Candidate, candidates: Collection[Candidate]) -> float:
    """Return the latest reference start of the lists that may have a candidate."""
    certain = [each for each in candidates if each is listed or each.is_listed_with(listed)]
    certain_ids = {each.id for each in certain}
    starts_s = sorted(each.newest_born_s for each in certain)
    others_s = sorted(each.newest_born_s for each in candidates if each.id not in certain_ids)
    latest_s = _reference_born_s(starts_s)
    while others_s and others_s[-1] > latest_s:
        # One more upstream that is newer than the reference makes it later, or leaves it.
        starts_s.append(others_s.pop())
        latest_s = max(latest_s, _reference_born_s(starts_s))
    return latest_s


def _reference_born_s(starts_s: Iterable[float]) -> float:
    """Return the start of the newest upstream with the full weight, whatever its age."""
    in_order = sorted(starts_s)
    return in_order[(len(in_order) - 1) // FULL_WEIGHT_PARTS]


def _score(key: str, upstream: str, born_s: float, at_s: float, reference_s: float = 0.0) -> float:
    """Return the score by which an upstream is ranked, the highest first.

    :param reference_s: start of the newest upstream that has the full weight whatever its age
    """
    age_s = at_s - max(born_s, reference_s)
    counted_s = min(max(age_s, MIN_WEIGHT_AGE_S), FULL_WEIGHT_AGE_S)
    return math.pow(counted_s, _WEIGHT_EXPONENT) * _unit_score(key, upstream)


def _unit_score(key: str, upstream: str) -> float:
    """Return the score of an upstream with a weight of one, by weighted rendezvous hashing."""
    drawn = rendezvous.weight(key, upstream) >> (64 - _HASH_BITS)
    return -1.0 / math.log((drawn + 0.5) / (1 << _HASH_BITS))


def _born_s(upstream: entities.Upstream) -> float:
    return upstream.born_ms / _MS_PER_S


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
    changed_by_id = _changed(service, current, log, past, window)
    found = []
    for listed in current.listed:
        upstream = listed.upstream
        changed = changed_by_id.pop(upstream.id, None)
        if upstream.service != service or not (upstream.stage is stage or changed is not None):
            continue
        is_new = not _is_older(listed, current, window)
        is_replaced = is_new and past is not None and 0 < listed.created <= past.after
        seen = (changed or _Changed()).with_entry(upstream)
        if is_replaced:
            seen = seen.with_unknown(_born_s(upstream))
        is_steady = not (upstream.is_leaving or is_replaced or changed is not None)
        found.append(
            Candidate(
                upstream.id,
                seen.versions,
                is_steady and not is_new,
                *seen.born_range_s,
                listed.created if is_steady else 0,
            )
        )
    found.extend(
        Candidate(key, each.versions, False, *each.born_range_s)
        for key, each in changed_by_id.items()
    )
    return tuple(found)


@dataclasses.dataclass(frozen=True, slots=True)
class _Changed:
    """What an upstream that has changed lately was.

    :ivar versions: None where not all are known
    :ivar born_s: starts of its incarnations, in seconds since the Unix epoch; those that are not known
        are not newer than the newest of them
    """

    versions: frozenset[str] | None = frozenset()
    born_s: frozenset[float] = frozenset()

    @property
    def born_range_s(self) -> tuple[float, float]:
        """Starts of the oldest incarnation, zero if that is not known, and of the newest one."""
        oldest_s = 0.0 if self.versions is None else min(self.born_s)
        return oldest_s, max(self.born_s)

    def with_entry(self, upstream: entities.Upstream) -> _Changed:
        """Return the same with one more entry."""
        versions = None if self.versions is None else self.versions | {upstream.version}
        return _Changed(versions, self.born_s | {_born_s(upstream)})

    def with_unknown(self, until_s: float) -> _Changed:
        """Return the same with entries that are not known.

        :param until_s: when these had been written, in seconds since the Unix epoch
        """
        return _Changed(None, self.born_s | {until_s})


def _is_older(listed: ListedUpstream, current: UpstreamList, window: Window) -> bool:
    """Return whether every instance listed an upstream before the stream can have begun."""
    if 0 < listed.created < current.configuration_created:
        return True
    return _is_born_before(listed.upstream, window)


def _is_born_before(upstream: entities.Upstream, window: Window) -> bool:
    certain_s = window.since_wall_s - window.list_age_s - MAX_CLOCK_ERROR_S
    return 0.0 < _born_s(upstream) <= certain_s


def _changed(
    service: str,
    current: UpstreamList,
    log: upstream_changes.ChangeLog,
    past: PastChanges | None,
    window: Window,
) -> dict[str, _Changed]:
    """Return the upstreams that have changed lately."""
    changed_by_id: dict[str, _Changed] = {}
    for change in upstream_changes.since(log, window.listed_since_s):
        if change.upstream.service == service:
            known = changed_by_id.get(change.upstream.id, _Changed())
            changed_by_id[change.upstream.id] = known.with_entry(change.upstream)
    if past is None:
        return changed_by_id
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
        changed = changed_by_id.get(key, _Changed())
        for each in entries:
            changed = changed if each is None else changed.with_entry(each)
        if _may_lack_entries(key, entries, listed is not None, past, window):
            changed = changed.with_unknown(window.wall_s(past.since_s))
        changed_by_id[key] = changed
    return changed_by_id


def _may_lack_entries(
    key: str,
    entries: tuple[entities.Upstream | None, ...],
    is_listed: bool,
    past: PastChanges,
    window: Window,
) -> bool:
    """Return whether an upstream may have had another entry before those that were written."""
    first = entries[0]
    if first is None:
        return True
    is_creation = past.created_by_id.get(key, 0) > past.after
    return not (is_creation or is_listed or _is_born_before(first, window))
