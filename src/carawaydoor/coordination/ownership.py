"""Decides, without shared storage, which instance owns a resource.

A resource belongs to one failure domain or to the whole fleet. Rendezvous hashing ranks its
candidates: the live instances of that domain, or those of all domains, one domain after another.
An instance acts as owner only while its lease is fresh and every candidate ranked above it is
proved stopped or is leaving. It starts only once no earlier owner can still act:

- The lease is fresh while the platform confirmed the view within ``lease_s``. Without the
  platform it is fresh while every required peer is proved stopped, or answered a heartbeat
  within ``lease_s`` and knew no newer view. The required peers are the other instances of the
  domain; for a resource of the whole fleet, and for an instance alone in its domain, they are all
  other instances.
- An instance is proved stopped while its address refused a connection within ``lease_s``.
- After a change of owner the new owner waits ``takeover_s``, unless the earlier one is proved
  stopped or has reported the newer view. After its own start an instance always waits.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable, Iterator, Mapping

from carawaydoor.coordination import cluster_view, messages
from carawaydoor.policy import rendezvous


@dataclasses.dataclass(frozen=True, slots=True)
class Timing:
    """Durations of the ownership rules.

    :ivar lease_s: how long a confirmed view or a refused connection counts as proof, in seconds
    :ivar takeover_s: how long a new owner waits before it acts, in seconds; longer than
        ``lease_s``, so that the lease of the earlier owner has expired
    """

    lease_s: float = 1.5
    takeover_s: float = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class Resource:
    """Something that at most one instance owns at any time.

    :ivar failure_domain: domain to which it belongs, empty for a resource of the whole fleet
    """

    name: str
    failure_domain: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class PeerState:
    """What this instance knows of another one.

    Times are those at which this instance asked, because the answer may have been delayed since
    the peer sent it.

    :ivar answered_s: time of the newest heartbeat that the peer answered, None before the first
    :ivar refused_s: time of the newest refused connection, None if the peer has answered since
    """

    answered_s: float | None = None
    refused_s: float | None = None
    incarnation: str = ""
    view_revision: int = 0
    config_revision: int = 0
    leaving: bool = False
    loads: tuple[messages.PoolLoad, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Membership:
    """What one instance knows of itself, its view and its peers.

    :ivar confirmed_s: latest time at which the view was known to be the newest, None before the
        first confirmation
    :ivar previous_views: each replaced view with the time at which it was replaced
    :ivar leaving: whether this instance drains and owns nothing any more
    """

    instance: str
    incarnation: str
    failure_domain: str
    timing: Timing
    started_s: float
    view: cluster_view.View
    confirmed_s: float | None
    peer_by_instance: Mapping[str, PeerState]
    previous_views: tuple[tuple[float, cluster_view.View], ...] = ()
    leaving: bool = False


def create(
    instance: str, incarnation: str, failure_domain: str, timing: Timing, now_s: float
) -> Membership:
    """Return the state of an instance that has just started."""
    return Membership(
        instance, incarnation, failure_domain, timing, now_s, cluster_view.EMPTY, None, {}
    )


def adopt_view(state: Membership, now_s: float, view: cluster_view.View) -> Membership:
    """Switch to a newer view; a view that is not newer changes nothing."""
    if view.revision <= state.view.revision:
        return state
    horizon_s = now_s - state.timing.takeover_s
    unexpired = [(until_s, each) for until_s, each in state.previous_views if until_s > horizon_s]
    peers = {
        key: peer
        for key, peer in state.peer_by_instance.items()
        if key in view.instance_by_id or key in state.view.instance_by_id
    }
    return dataclasses.replace(
        state,
        view=view,
        previous_views=(*unexpired, (now_s, state.view)),
        peer_by_instance=peers,
    )


def confirm_view(state: Membership, asked_s: float) -> Membership:
    """Record that the platform, asked at ``asked_s``, confirmed the current view as the newest."""
    if state.confirmed_s is not None and asked_s <= state.confirmed_s:
        return state
    return dataclasses.replace(state, confirmed_s=asked_s)


def record_exchange(state: Membership, asked_s: float, heartbeat: messages.Heartbeat) -> Membership:
    """Record the heartbeat with which a peer answered.

    :param asked_s: when this instance sent the heartbeat that the peer answered
    """
    peer = PeerState(
        asked_s,
        None,
        heartbeat.incarnation,
        heartbeat.view_revision,
        heartbeat.config_revision,
        heartbeat.leaving,
        heartbeat.loads,
    )
    after = _with_peer(state, heartbeat.instance, peer)
    same_view = heartbeat.view_revision == state.view.revision
    if same_view and heartbeat.platform_age_s >= 0.0:
        return confirm_view(after, asked_s - heartbeat.platform_age_s)
    return after


def record_heartbeat(state: Membership, heartbeat: messages.Heartbeat) -> Membership:
    """Record that a peer is leaving and which view it has, from a heartbeat that it sent.

    Both stay true however long the heartbeat was delayed. It does not prove that the peer still
    runs, so ``answered_s`` does not change.
    """
    peer = state.peer_by_instance.get(heartbeat.instance)
    if peer is None or peer.incarnation != heartbeat.incarnation:
        return state
    updated = dataclasses.replace(
        peer,
        leaving=peer.leaving or heartbeat.leaving,
        view_revision=max(peer.view_revision, heartbeat.view_revision),
    )
    return _with_peer(state, heartbeat.instance, updated)


def record_refused_connection(state: Membership, instance: str, asked_s: float) -> Membership:
    """Record that the address of an instance refused a connection."""
    peer = state.peer_by_instance.get(instance, PeerState())
    if peer.answered_s is not None and peer.answered_s > asked_s:
        return state
    return _with_peer(state, instance, dataclasses.replace(peer, refused_s=asked_s))


def start_leaving(state: Membership) -> Membership:
    """Mark this instance as leaving; from then on it owns nothing."""
    return dataclasses.replace(state, leaving=True)


def platform_age_s(state: Membership, now_s: float) -> float:
    """Return the age of the newest confirmation in seconds, -1 if there is none."""
    if state.confirmed_s is None:
        return -1.0
    return max(0.0, now_s - state.confirmed_s)


def candidates(view: cluster_view.View, resource: Resource) -> Iterator[str]:
    """Yield the instances that may own a resource, in order of preference."""
    domains: Iterable[str] = (resource.failure_domain,)
    if not resource.failure_domain:
        domains = rendezvous.rank(resource.name, view.live_by_domain)
    for domain in domains:
        yield from rendezvous.rank(resource.name, view.live_by_domain.get(domain, ()))


def reachable_candidates(state: Membership, now_s: float, resource: Resource) -> Iterator[str]:
    """Yield the candidates that are neither stopped nor leaving, in order of preference."""
    for each in candidates(state.view, resource):
        if not is_stopped(state, now_s, each) and not _is_leaving(state, each):
            yield each


def is_stopped(state: Membership, now_s: float, instance: str) -> bool:
    """Return whether a recently refused connection proves that an instance is stopped."""
    peer = state.peer_by_instance.get(instance)
    if peer is None or peer.refused_s is None:
        return False
    return now_s - peer.refused_s <= state.timing.lease_s


def has_lease(state: Membership, now_s: float, fleet_wide: bool = False) -> bool:
    """Return whether the lease of this instance is fresh.

    :param fleet_wide: whether the lease is for resources of the whole fleet
    """
    if state.leaving or state.instance not in state.view.instance_by_id:
        return False
    if state.confirmed_s is not None and now_s - state.confirmed_s <= state.timing.lease_s:
        return True
    required = _required_peers(state, fleet_wide)
    return bool(required) and all(
        _is_stopped_or_confirms_view(state, now_s, each) for each in required
    )


def reason_not_owner(
    state: Membership, now_s: float, resource: Resource
) -> messages.NotHomeReason | None:
    """Return why this instance may not act as owner of a resource, None if it may."""
    for better in candidates(state.view, resource):
        if better == state.instance:
            break
        if not _is_stopped_or_leaving(state, now_s, better):
            return messages.NotHomeReason.OTHER_OWNER
    else:
        return messages.NotHomeReason.OTHER_OWNER
    if not has_lease(state, now_s, fleet_wide=not resource.failure_domain):
        return messages.NotHomeReason.LEASE_EXPIRED
    if _takeover_pending(state, now_s, resource):
        return messages.NotHomeReason.TAKEOVER_PENDING
    return None


def _takeover_pending(state: Membership, now_s: float, resource: Resource) -> bool:
    if now_s - state.started_s <= state.timing.takeover_s:
        return True
    horizon_s = now_s - state.timing.takeover_s
    for until_s, view in state.previous_views:
        if until_s <= horizon_s:
            continue
        for earlier in candidates(view, resource):
            if earlier == state.instance:
                break
            if not _no_longer_owns(state, now_s, earlier):
                return True
        else:
            return True
    return False


def _no_longer_owns(state: Membership, now_s: float, instance: str) -> bool:
    if is_stopped(state, now_s, instance):
        return True
    peer = state.peer_by_instance.get(instance)
    return peer is not None and peer.view_revision >= state.view.revision


def _is_stopped_or_leaving(state: Membership, now_s: float, instance: str) -> bool:
    return is_stopped(state, now_s, instance) or _is_leaving(state, instance)


def _is_leaving(state: Membership, instance: str) -> bool:
    if instance == state.instance:
        return state.leaving
    peer = state.peer_by_instance.get(instance)
    return peer is not None and peer.leaving


def _is_stopped_or_confirms_view(state: Membership, now_s: float, instance: str) -> bool:
    if is_stopped(state, now_s, instance):
        return True
    peer = state.peer_by_instance.get(instance)
    if peer is None or peer.answered_s is None:
        return False
    fresh = now_s - peer.answered_s <= state.timing.lease_s
    return fresh and peer.view_revision <= state.view.revision


def _required_peers(state: Membership, fleet_wide: bool) -> list[str]:
    """Return the peers that must answer heartbeats while the platform does not answer."""
    others = [each for each in state.view.instance_by_id.values() if each.id != state.instance]
    same_domain = [each.id for each in others if each.failure_domain == state.failure_domain]
    if same_domain and not fleet_wide:
        return same_domain
    return [each.id for each in others]


def _with_peer(state: Membership, instance: str, peer: PeerState) -> Membership:
    return dataclasses.replace(state, peer_by_instance={**state.peer_by_instance, instance: peer})
