"""Which instance may act as the home of a resource, decided without shared state.

A resource belongs to a failure domain or to the whole fleet. Its candidates are ranked by
rendezvous hashing: the instances of its domain, or those of all domains, domain by domain. An
instance acts as home only while every better-ranked instance is proved stopped and its own lease
is fresh, and only after every earlier holder has surely stopped:

- the lease is fresh while the platform confirmed the view within ``lease_s``, or while all
  witnesses were heard within ``lease_s`` without a newer view; the witnesses are the other
  instances of the domain, or of the fleet for a resource of the fleet and for an instance that
  is alone in its domain;
- an instance is proved stopped while its address refused a connection within ``lease_s``;
- after a change of holder the new home waits ``takeover_s``, unless the earlier holder is proved
  stopped or has confirmed the newer view.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable, Iterator, Mapping

from carawaydoor.coordination import cluster_view, messages, rendezvous


@dataclasses.dataclass(frozen=True, slots=True)
class Timing:
    """Durations of the membership rules.

    :ivar lease_s: how long a confirmation or a refused connection counts
    :ivar takeover_s: how long a new home waits; longer than ``lease_s``
    """

    lease_s: float = 1.5
    takeover_s: float = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class Resource:
    """What one instance at a time is home of.

    :ivar failure_domain: domain to which it belongs, empty where it is the whole fleet's
    """

    name: str
    failure_domain: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class PeerState:
    """What is known of another instance; times are those of the question, not of the answer.

    :ivar heard_s: time of the newest exchange, None before the first
    :ivar refused_s: time of the newest refused connection, None after it was heard again
    """

    heard_s: float | None = None
    refused_s: float | None = None
    incarnation: str = ""
    view_revision: int = 0
    config_revision: int = 0
    leaving: bool = False
    loads: tuple[messages.PoolLoad, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Membership:
    """State of the membership rules at one instance.

    :ivar held_by_resource: when this instance became the first candidate for a resource
    :ivar confirmed_s: as of when the view is known to be the newest
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


def adopt(state: Membership, now_s: float, view: cluster_view.View) -> Membership:
    """Return the state under a newer view; an older one changes nothing."""
    if view.revision <= state.view.revision:
        return state
    horizon_s = now_s - state.timing.takeover_s
    recent = [(until_s, each) for until_s, each in state.previous_views if until_s > horizon_s]
    peers = {
        key: peer
        for key, peer in state.peer_by_instance.items()
        if key in view.instance_by_id or key in state.view.instance_by_id
    }
    return dataclasses.replace(
        state,
        view=view,
        previous_views=(*recent, (now_s, state.view)),
        peer_by_instance=peers,
    )


def confirm(state: Membership, asked_s: float) -> Membership:
    """Note that the platform, asked at a time, named the view in hand as the newest."""
    if state.confirmed_s is not None and asked_s <= state.confirmed_s:
        return state
    return dataclasses.replace(state, confirmed_s=asked_s)


def hear(state: Membership, asked_s: float, heartbeat: messages.Heartbeat) -> Membership:
    """Note an exchange with another instance.

    :param asked_s: when the exchange began, which is no later than the peer's answer
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
        return confirm(after, asked_s - heartbeat.platform_age_s)
    return after


def be_told(state: Membership, heartbeat: messages.Heartbeat) -> Membership:
    """Note what a heartbeat says for good, whenever it was sent: leaving, and a newer view."""
    peer = state.peer_by_instance.get(heartbeat.instance)
    if peer is None or peer.incarnation != heartbeat.incarnation:
        return state
    told = dataclasses.replace(
        peer,
        leaving=peer.leaving or heartbeat.leaving,
        view_revision=max(peer.view_revision, heartbeat.view_revision),
    )
    return _with_peer(state, heartbeat.instance, told)


def refuse(state: Membership, instance: str, asked_s: float) -> Membership:
    """Note that the address of an instance refused a connection."""
    peer = state.peer_by_instance.get(instance, PeerState())
    if peer.heard_s is not None and peer.heard_s > asked_s:
        return state
    return _with_peer(state, instance, dataclasses.replace(peer, refused_s=asked_s))


def leave(state: Membership) -> Membership:
    """Return the state of an instance that no longer acts as home of anything."""
    return dataclasses.replace(state, leaving=True)


def platform_age_s(state: Membership, now_s: float) -> float:
    """Return the age of the newest confirmation in seconds, negative where there is none."""
    if state.confirmed_s is None:
        return -1.0
    return max(0.0, now_s - state.confirmed_s)


def candidates(view: cluster_view.View, resource: Resource) -> Iterator[str]:
    """Yield the instances that may hold a resource, best first."""
    domains: Iterable[str] = (resource.failure_domain,)
    if not resource.failure_domain:
        domains = rendezvous.rank(resource.name, view.live_by_domain)
    for domain in domains:
        yield from rendezvous.rank(resource.name, view.live_by_domain.get(domain, ()))


def reachable_candidates(state: Membership, now_s: float, resource: Resource) -> Iterator[str]:
    """Yield the candidates less those known to be stopped or leaving, best first."""
    for each in candidates(state.view, resource):
        if not is_stopped(state, now_s, each) and not _is_leaving(state, each):
            yield each


def is_stopped(state: Membership, now_s: float, instance: str) -> bool:
    """Return whether an instance is proved stopped by a recently refused connection."""
    peer = state.peer_by_instance.get(instance)
    if peer is None or peer.refused_s is None:
        return False
    return now_s - peer.refused_s <= state.timing.lease_s


def has_lease(state: Membership, now_s: float, fleet_wide: bool = False) -> bool:
    """Return whether this instance may still act under its view.

    :param fleet_wide: whether it is to act for the whole fleet, not only for its domain
    """
    if state.leaving or state.instance not in state.view.instance_by_id:
        return False
    if state.confirmed_s is not None and now_s - state.confirmed_s <= state.timing.lease_s:
        return True
    witnesses = _witnesses(state, fleet_wide)
    return bool(witnesses) and all(_vouches(state, now_s, each) for each in witnesses)


def reason_not_owner(
    state: Membership, now_s: float, resource: Resource
) -> messages.NotHomeReason | None:
    """Return None where this instance may act as home of a resource, else why it may not."""
    for better in candidates(state.view, resource):
        if better == state.instance:
            break
        if not _has_yielded(state, now_s, better):
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
        for holder in candidates(view, resource):
            if holder == state.instance:
                break
            if not _has_moved_on(state, now_s, holder):
                return True
        else:
            return True
    return False


def _has_moved_on(state: Membership, now_s: float, holder: str) -> bool:
    if is_stopped(state, now_s, holder):
        return True
    peer = state.peer_by_instance.get(holder)
    return peer is not None and peer.view_revision >= state.view.revision


def _has_yielded(state: Membership, now_s: float, instance: str) -> bool:
    return is_stopped(state, now_s, instance) or _is_leaving(state, instance)


def _is_leaving(state: Membership, instance: str) -> bool:
    if instance == state.instance:
        return state.leaving
    peer = state.peer_by_instance.get(instance)
    return peer is not None and peer.leaving


def _vouches(state: Membership, now_s: float, instance: str) -> bool:
    if is_stopped(state, now_s, instance):
        return True
    peer = state.peer_by_instance.get(instance)
    if peer is None or peer.heard_s is None:
        return False
    fresh = now_s - peer.heard_s <= state.timing.lease_s
    return fresh and peer.view_revision <= state.view.revision


def _witnesses(state: Membership, fleet_wide: bool) -> list[str]:
    """Return the instances that must be heard where the platform is not."""
    others = [each for each in state.view.instance_by_id.values() if each.id != state.instance]
    near = [each.id for each in others if each.failure_domain == state.failure_domain]
    if near and not fleet_wide:
        return near
    return [each.id for each in others]


def _with_peer(state: Membership, instance: str, peer: PeerState) -> Membership:
    return dataclasses.replace(state, peer_by_instance={**state.peer_by_instance, instance: peer})
