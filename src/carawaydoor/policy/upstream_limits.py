"""Limits that upstreams name for the requests of all instances together.

Instances share no state, so a limit is divided among them without asking anybody: a few instances,
chosen by hashing, send an equal part of it each. Their number grows with the limit, so that what they
may send at once stays small beside it in a fleet of any size.
"""

from __future__ import annotations

import dataclasses
import itertools
import math
from collections.abc import Mapping, Set
from typing import Final

from carawaydoor.policy import entities, limit_sharing, rendezvous

# A server that takes more than this needs no limit; the figure is a mistake.
MAX_LIMIT_PER_S: Final = 1e6
# Permits are fractions; sums of these may miss a whole one by rounding.
ROUNDING_TOLERANCE: Final = 1e-9
# Statements of peers are dated by their age when they were sent. The assumed delay since then makes
# them look too old rather than too new beside an instance's own.
REPORT_DELAY_S: Final = 0.2
# Older statements of peers are ignored, since newer ones exist if the upstream is in use.
MAX_SHARED_AGE_S: Final = 30.0
# An upstream that names no limit any more is remembered until no peer can bring the limit back.
ENDED_LIMIT_RETENTION_S: Final = 2.0 * MAX_SHARED_AGE_S
# Changes are repeated to peers for this time, in case a report is lost.
RECENT_CHANGE_S: Final = 2.0


Fleet = limit_sharing.Fleet


class LimitError(Exception):
    """The text states no usable limit."""


def parse(text: str) -> float:
    """Return a limit in requests a second.

    :raises LimitError: if the text is not a number from zero to ``MAX_LIMIT_PER_S``
    """
    try:
        limit_per_s = float(text)
    except ValueError:
        raise LimitError("not a number") from None
    if not math.isfinite(limit_per_s) or not 0.0 <= limit_per_s <= MAX_LIMIT_PER_S:
        raise LimitError(f"not between 0 and {MAX_LIMIT_PER_S:.0f} requests a second")
    return limit_per_s


@dataclasses.dataclass(frozen=True, slots=True)
class Statement:
    """What an incarnation of an upstream has said about its limit.

    :ivar limit_per_s: requests a second from all instances together, None for no limit
    :ivar asked_s: when the request was sent whose response says so; a response to an earlier request
        may be older, even if it arrives later
    :ivar changed_s: when the limit last became another one
    :ivar is_own: whether this instance got the response itself, and not a peer
    """

    upstream_id: str
    born_ms: int
    limit_per_s: float | None
    asked_s: float
    changed_s: float = float("-inf")
    is_own: bool = True

    @property
    def incarnation(self) -> entities.Incarnation:
        """The incarnation that the statement is about."""
        return self.upstream_id, self.born_ms


@dataclasses.dataclass(frozen=True, slots=True)
class Permits:
    """Requests that this instance may send to an upstream.

    :ivar rank: place of this instance in the order of those that share the limit
    :ivar share_per_s: rate at which this instance may send, zero if it has no share
    """

    rank: int
    share_per_s: float
    level: float
    updated_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamLimits:
    """The newest statement of each incarnation that names a limit, or did so lately."""

    instance: str
    fleet: Fleet
    statement_by_incarnation: Mapping[entities.Incarnation, Statement] = dataclasses.field(
        default_factory=dict
    )
    permits_by_incarnation: Mapping[entities.Incarnation, Permits] = dataclasses.field(
        default_factory=dict
    )
    sharing: limit_sharing.Sharing = dataclasses.field(
        default_factory=limit_sharing.NamedLimitSharing
    )

    def limit_per_s(self, incarnation: entities.Incarnation) -> float | None:
        """Return the limit of an incarnation, None if it names none."""
        statement = self.statement_by_incarnation.get(incarnation)
        return None if statement is None else statement.limit_per_s


def create(instance: str, sharing: limit_sharing.Sharing | None = None) -> UpstreamLimits:
    """Return the limits known to an instance that starts.

    :param sharing: how limits are divided, None for limits that upstreams name
    """
    fleet = Fleet((instance,), 1.0, False, (instance,))
    return UpstreamLimits(instance, fleet, sharing=sharing or limit_sharing.NamedLimitSharing())


def record(state: UpstreamLimits, now_s: float, *statements: Statement) -> UpstreamLimits:
    """Record statements of different incarnations, unless newer ones are known.

    An instance that has no share of a lower limit loses its permits, as in another fleet.
    """
    news = [each for each in statements if _is_news(state, each)]
    if not news:
        return state
    statement_by_incarnation = dict(state.statement_by_incarnation)
    permits = dict(state.permits_by_incarnation)
    for statement in news:
        incarnation = statement.incarnation
        known = state.statement_by_incarnation.get(incarnation)
        if known is not None and known.limit_per_s == statement.limit_per_s:
            changed_s = known.changed_s
        else:
            changed_s = now_s
            if statement.limit_per_s is None:
                permits.pop(incarnation, None)
            elif incarnation in permits:
                current = _updated(state, now_s, incarnation)
                permits[incarnation] = _with_rank(state, statement, current, current.rank)
            else:
                permits[incarnation] = _first_permits(state, now_s, statement)
        statement_by_incarnation[incarnation] = dataclasses.replace(statement, changed_s=changed_s)
    return dataclasses.replace(
        state,
        statement_by_incarnation=statement_by_incarnation,
        permits_by_incarnation=permits,
    )


def _is_news(state: UpstreamLimits, statement: Statement) -> bool:
    known = state.statement_by_incarnation.get(statement.incarnation)
    if known is None:
        return statement.limit_per_s is not None
    return statement.asked_s >= known.asked_s


def _first_permits(state: UpstreamLimits, now_s: float, statement: Statement) -> Permits:
    """Return permits that come up one after the other at the instances that share a limit."""
    rank = _rank(state, statement)
    level = rank / _sharing_instances(state, statement)
    return _with_rank(state, statement, Permits(rank, 0.0, level, now_s), rank)


def record_shared(
    state: UpstreamLimits,
    now_s: float,
    incarnation: entities.Incarnation,
    limit_per_s: float | None,
    age_s: float,
) -> UpstreamLimits:
    """Record a statement that a peer got, unless it is too old.

    :param age_s: age in seconds when the peer reported it
    """
    if not 0.0 <= age_s <= MAX_SHARED_AGE_S:
        return state
    asked_s = now_s - age_s - REPORT_DELAY_S
    statement = Statement(*incarnation, limit_per_s, asked_s, is_own=False)
    return record(state, now_s, statement)


def own_statements(
    state: UpstreamLimits, now_s: float, recent_only: bool = False
) -> tuple[Statement, ...]:
    """Return the statements to report to peers: those that this instance got itself.

    What peers reported is not passed on, since its age would be less certain each time.

    :param recent_only: whether to return only those whose limit changed lately
    """
    return tuple(
        each
        for each in state.statement_by_incarnation.values()
        if each.is_own
        and now_s - each.asked_s <= MAX_SHARED_AGE_S
        and (not recent_only or now_s - each.changed_s <= RECENT_CHANGE_S)
    )


def remove(state: UpstreamLimits, *incarnations: entities.Incarnation) -> UpstreamLimits:
    """Remove what is known of incarnations that have ended or have no limit any more."""
    known = state.statement_by_incarnation.keys() & set(incarnations)
    return _without(state, known) if known else state


def with_fleet(state: UpstreamLimits, now_s: float, fleet: Fleet) -> UpstreamLimits:
    """Return the limits as they are shared in a fleet, without ended ones that are long past.

    An instance that has lost its share loses its permits, since the instances that have it now have
    permits of their own.
    """
    past = {
        incarnation
        for incarnation, each in state.statement_by_incarnation.items()
        if each.limit_per_s is None and now_s - each.asked_s > ENDED_LIMIT_RETENTION_S
    }
    state = _without(state, past) if past else state
    if fleet == state.fleet:
        return state
    permits = _all_updated(state, now_s)
    has_other_ranks = state.sharing.ranked(fleet) != state.sharing.ranked(state.fleet)
    state = dataclasses.replace(state, fleet=fleet)
    for incarnation, each in permits.items():
        statement = state.statement_by_incarnation[incarnation]
        rank = _rank(state, statement) if has_other_ranks else each.rank
        permits[incarnation] = _with_rank(state, statement, each, rank)
    return dataclasses.replace(state, permits_by_incarnation=permits)


def take(
    state: UpstreamLimits, now_s: float, incarnation: entities.Incarnation
) -> tuple[UpstreamLimits, bool]:
    """Take the permit for one request; return False if there is none now."""
    if state.limit_per_s(incarnation) is None:
        return state, True
    current = _updated(state, now_s, incarnation)
    if current.level < 1.0 - ROUNDING_TOLERANCE:
        return state, False
    return _with_level(state, incarnation, current, current.level - 1.0), True


def give_back(
    state: UpstreamLimits, now_s: float, incarnation: entities.Incarnation
) -> UpstreamLimits:
    """Return the permit of a request that was not sent."""
    if state.limit_per_s(incarnation) is None:
        return state
    current = _updated(state, now_s, incarnation)
    return _with_level(state, incarnation, current, current.level + 1.0)


def next_permit_s(state: UpstreamLimits, now_s: float, incarnation: entities.Incarnation) -> float:
    """Return the seconds until this instance may send a request, infinite if it has no share."""
    statement = state.statement_by_incarnation.get(incarnation)
    if statement is None or statement.limit_per_s is None:
        return 0.0
    current = _updated(state, now_s, incarnation)
    missing = 1.0 - ROUNDING_TOLERANCE - current.level
    if missing <= 0.0:
        return 0.0
    return missing / current.share_per_s if current.share_per_s else math.inf


def instance_rate_per_s(state: UpstreamLimits, incarnation: entities.Incarnation) -> float:
    """Return the mean rate at which an instance of the fleet may send to a limited upstream."""
    statement = state.statement_by_incarnation.get(incarnation)
    if statement is None or statement.limit_per_s is None:
        return math.inf
    instances = len(state.sharing.ranked(state.fleet))
    return _usable_per_s(state, statement) / max(1, instances)


def _without(state: UpstreamLimits, incarnations: Set[entities.Incarnation]) -> UpstreamLimits:
    return dataclasses.replace(
        state,
        statement_by_incarnation={
            key: each
            for key, each in state.statement_by_incarnation.items()
            if key not in incarnations
        },
        permits_by_incarnation={
            key: each
            for key, each in state.permits_by_incarnation.items()
            if key not in incarnations
        },
    )


def _with_level(
    state: UpstreamLimits, incarnation: entities.Incarnation, current: Permits, level: float
) -> UpstreamLimits:
    permits = {
        **state.permits_by_incarnation,
        incarnation: dataclasses.replace(current, level=level),
    }
    return dataclasses.replace(state, permits_by_incarnation=permits)


def _all_updated(state: UpstreamLimits, now_s: float) -> dict[entities.Incarnation, Permits]:
    return {each: _updated(state, now_s, each) for each in state.permits_by_incarnation}


def _updated(state: UpstreamLimits, now_s: float, incarnation: entities.Incarnation) -> Permits:
    """Return the permits for an upstream with those that have come up since the last change."""
    before = state.permits_by_incarnation[incarnation]
    gained = before.share_per_s * max(0.0, now_s - before.updated_s)
    most = state.sharing.max_saved(before.share_per_s)
    level = min(most, before.level + gained)
    return Permits(before.rank, before.share_per_s, level, now_s)


def _with_rank(state: UpstreamLimits, statement: Statement, permits: Permits, rank: int) -> Permits:
    """Return permits that have just been updated as they hold at a rank and for a statement."""
    share_per_s = _share_per_s(state, statement, rank)
    level = permits.level if share_per_s > 0.0 else 0.0
    return Permits(rank, share_per_s, level, permits.updated_s)


def _usable_per_s(state: UpstreamLimits, statement: Statement) -> float:
    assert statement.limit_per_s is not None
    return state.sharing.usable_per_s(statement.limit_per_s, state.fleet)


def _sharing_instances(state: UpstreamLimits, statement: Statement) -> int:
    assert statement.limit_per_s is not None
    return state.sharing.instance_count(statement.limit_per_s, state.fleet)


def _share_per_s(state: UpstreamLimits, statement: Statement, rank: int) -> float:
    """Return the rate at which this instance may send, zero if it has no share."""
    sharing = _sharing_instances(state, statement)
    if not state.fleet.is_settled or rank >= sharing:
        return 0.0
    return _usable_per_s(state, statement) / sharing


def _rank(state: UpstreamLimits, statement: Statement) -> int:
    """Return how many instances come before this one in the order for an upstream."""
    names = state.sharing.ranked(state.fleet)
    if state.instance not in names:
        return len(names)
    name = f"{statement.upstream_id}/{statement.born_ms}"
    own = rendezvous.weight(name, state.instance), state.instance
    preceding = (each for each in names if (rendezvous.weight(name, each), each) > own)
    # Ranks beyond the last instance that may share a limit need not be distinguished.
    most = state.sharing.max_instances()
    return sum(1 for _ in itertools.islice(preceding, None if math.isinf(most) else int(most)))
