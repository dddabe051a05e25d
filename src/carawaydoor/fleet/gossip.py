"""Which other instances exist and what they reported, as a pure state machine.

Every instance sends whole reports, so that a lost one costs nothing but its age. A report carries
echoes of its receivers' clocks: it was sent later than the echoed time, however long it was held up
or its receiver was suspended, and ages are counted from there.
"""

from __future__ import annotations

import collections
import dataclasses
from collections.abc import Mapping
from typing import Final

from carawaydoor.policy import load, strikes

# Shortest time in seconds without a report after which a peer counts as silent, and the rounds
# of reports that it stands for in a large fleet: a few lost datagrams change nothing.
SILENT_S: Final = 1.0
SILENT_ROUNDS: Final = 3.0
# Datagrams that one instance sends a second, and so receives, whatever the size of the fleet: at
# some 150 us each they stay within 1.6% of a core.
DATAGRAMS_PER_S: Final = 90.0
# Time in seconds without a report after which a peer is forgotten: longer than a network
# partition or a restart takes, since an instance that is cut off still uses workspaces' caps.
FORGET_S: Final = 30.0
# Time in seconds over which the work of a silent peer is counted less and less: runs of an instance
# that lost power go on at their engines until they end by themselves.
WORK_LIFE_S: Final = 5.0
# Datagrams about work just begun that one instance sends a second on average, and at once: to each
# peer of a fleet of some sixty. They are small.
WORK_DATAGRAMS_PER_S: Final = 60.0
# Peers that one round of reports goes to, so that its cost does not grow with the fleet.
FAN_OUT: Final = 12
# Contacts that one report passes on, and in a larger fleet only one round of so many: they are a
# good part of a report, and new instances are rare.
MAX_CONTACTS: Final = 12
CONTACT_ROUNDS: Final = 4


@dataclasses.dataclass(frozen=True, slots=True)
class Contact:
    """Where an instance can be reached."""

    instance: str
    host: str


@dataclasses.dataclass(frozen=True, slots=True)
class SharedStrike:
    """A strike against a request, with its age in seconds when it was reported."""

    fingerprint: str
    strike: strikes.Strike


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """What one instance tells the others.

    :ivar incarnation: random number of the process; clocks may step back between two starts
    :ivar sent_s: the sender's clock
    :ivar revision: revision of its configuration
    :ivar proof_age_s: how long ago that revision was proven newest, in seconds
    :ivar used_by_workspace: tokens admitted since the sender's start
    :ivar echo_by_instance: the receivers' clocks as the sender last heard them
    :ivar set_aside_s_by_upstream: engines that change their stage, and for how many seconds more
        nothing is sent to them
    :ivar source_steady_s: for how many seconds the sender has had its source without a break
    :ivar requests_by_service: requests taken since the sender's start
    :ivar repeats_by_service: repeated sends since the sender's start
    """

    contact: Contact
    domain: str
    incarnation: int
    sequence: int
    sent_s: float
    is_leaving: bool
    revision: int
    proof_age_s: float
    work_by_upstream: Mapping[str, load.Work]
    used_by_workspace: Mapping[str, float]
    echo_by_instance: Mapping[str, float]
    contacts: tuple[Contact, ...]
    strikes: tuple[SharedStrike, ...]
    set_aside_s_by_upstream: Mapping[str, float]
    source_steady_s: float
    requests_by_service: Mapping[str, float]
    repeats_by_service: Mapping[str, float]


@dataclasses.dataclass(frozen=True, slots=True)
class WorkReport:
    """What one instance has at work, told as soon as there is more of it."""

    instance: str
    incarnation: int
    sequence: int
    work_by_upstream: Mapping[str, load.Work]


@dataclasses.dataclass(frozen=True, slots=True)
class Peer:
    """Another instance; ``report`` is None before it was heard."""

    contact: Contact
    known_s: float
    heard_s: float
    report: Report | None


@dataclasses.dataclass(frozen=True, slots=True)
class Membership:
    """The other instances.

    :ivar turn: rounds of reports so far; the peers take turns where a round can't reach all
    :ivar changed_s: when a peer last joined, left, or was heard again after a silence
    :ivar work_datagrams: datagrams about new work that may be sent at once
    :ivar work_told_s: when that was counted, in seconds
    """

    instance: str
    peer_by_instance: Mapping[str, Peer]
    turn: int = 0
    changed_s: float = float("-inf")
    work_datagrams: float = WORK_DATAGRAMS_PER_S
    work_told_s: float = float("-inf")


@dataclasses.dataclass(frozen=True, slots=True)
class Proof:
    """A peer vouches that a revision was the newest at a time."""

    revision: int
    proven_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Usage:
    """What a peer has counted since its start: admitted tokens, requests and repeated sends."""

    peer: str
    used_by_workspace: Mapping[str, float]
    requests_by_service: Mapping[str, float]
    repeats_by_service: Mapping[str, float]


@dataclasses.dataclass(frozen=True, slots=True)
class PeerJoined:
    """A peer is heard for the first time, or after a silence, or in a new incarnation."""

    contact: Contact
    incarnation: int


@dataclasses.dataclass(frozen=True, slots=True)
class PeerLost:
    """A peer has left or was not heard for too long."""

    contact: Contact
    is_leaving: bool


@dataclasses.dataclass(frozen=True, slots=True)
class SetAside:
    """A peer has ordered an engine to change its stage."""

    upstream: str
    for_s: float


Effect = Proof | Usage | PeerJoined | PeerLost | SharedStrike | SetAside


def hear(state: Membership, now_s: float, report: Report) -> tuple[Membership, tuple[Effect, ...]]:
    """Take the report of a peer."""
    name = report.contact.instance
    if name == state.instance:
        return state, ()
    before = state.peer_by_instance.get(name)
    if before is not None and before.report is not None and _is_older(report, before.report):
        return state, ()
    peers = dict(state.peer_by_instance)
    effects: list[Effect] = []
    peers[name] = Peer(report.contact, now_s, now_s, report)
    if report.is_leaving:
        if before is None or before.report is None or not before.report.is_leaving:
            effects.append(PeerLost(report.contact, True))
    elif _is_new(before, now_s - silent_after_s(state), report):
        effects.append(PeerJoined(report.contact, report.incarnation))
    for contact in report.contacts:
        if contact.instance != state.instance and contact.instance not in peers:
            peers[contact.instance] = Peer(contact, now_s, float("-inf"), None)
    effects.append(
        Usage(
            f"{name}/{report.incarnation}",
            report.used_by_workspace,
            report.requests_by_service,
            report.repeats_by_service,
        )
    )
    effects.extend(report.strikes)
    effects.extend(SetAside(*each) for each in report.set_aside_s_by_upstream.items())
    echo_s = report.echo_by_instance.get(state.instance)
    if echo_s is not None and echo_s <= now_s:
        effects.append(Proof(report.revision, echo_s - report.proof_age_s))
    has_changed = any(isinstance(each, PeerJoined | PeerLost) for each in effects)
    changed_s = now_s if has_changed else state.changed_s
    after = dataclasses.replace(state, peer_by_instance=peers, changed_s=changed_s)
    return after, tuple(effects)


def hear_work(state: Membership, now_s: float, report: WorkReport) -> Membership:
    """Take what a peer has at work now, unless its return has yet to be noted from a whole report."""
    before = state.peer_by_instance.get(report.instance)
    if before is None or before.report is None:
        return state
    if before.heard_s < now_s - silent_after_s(state):
        return state
    known = before.report
    if known.incarnation != report.incarnation or known.sequence >= report.sequence:
        return state
    newer = dataclasses.replace(
        known, sequence=report.sequence, work_by_upstream=report.work_by_upstream
    )
    peer = dataclasses.replace(before, report=newer, heard_s=now_s)
    peers = {**state.peer_by_instance, report.instance: peer}
    return dataclasses.replace(state, peer_by_instance=peers)


def expire(state: Membership, now_s: float) -> tuple[Membership, tuple[Effect, ...]]:
    """Forget the peers that were silent for long."""
    gone = [each for each in state.peer_by_instance.values() if _is_gone(each, now_s)]
    if not gone:
        return state, ()
    names = {each.contact.instance for each in gone}
    peers = {name: each for name, each in state.peer_by_instance.items() if name not in names}
    lost = tuple(
        PeerLost(each.contact, False)
        for each in gone
        if each.report is not None and not each.report.is_leaving
    )
    return dataclasses.replace(state, peer_by_instance=peers), lost


def round_interval_s(state: Membership) -> float:
    """Return the time in seconds between two rounds of reports."""
    return max(1, min(FAN_OUT, len(state.peer_by_instance))) / DATAGRAMS_PER_S


def staleness_s(state: Membership, now_s: float) -> float:
    """Return the mean age in seconds of what is known of peers' work.

    It is half a turn through all peers, as far as they can't tell of new work at once: about as far
    as this instance can't.
    """
    peers = len(state.peer_by_instance)
    if peers == 0:
        return 0.0
    told_late = 1.0 - min(1.0, _work_datagrams(state, now_s) / peers)
    return peers / DATAGRAMS_PER_S / 2.0 * told_late


def silent_after_s(state: Membership) -> float:
    """Return after how many seconds without a report a peer counts as silent."""
    return max(SILENT_S, SILENT_ROUNDS * len(state.peer_by_instance) / DATAGRAMS_PER_S)


def recipients(state: Membership) -> tuple[Membership, tuple[Contact, ...]]:
    """Return the peers that the next round of reports goes to."""
    contacts = [each.contact for each in state.peer_by_instance.values()]
    after = dataclasses.replace(state, turn=state.turn + 1)
    if len(contacts) <= FAN_OUT:
        return after, tuple(contacts)
    first = state.turn * FAN_OUT % len(contacts)
    return after, tuple((contacts + contacts)[first : first + FAN_OUT])


def work_recipients(state: Membership, now_s: float) -> tuple[Membership, tuple[Contact, ...]]:
    """Return the peers that are told of new work at once, in turn where not all can be."""
    contacts = [each.contact for each in state.peer_by_instance.values() if each.report is not None]
    left = _work_datagrams(state, now_s)
    count = min(len(contacts), int(left))
    first = state.turn * FAN_OUT % max(1, len(contacts))
    after = dataclasses.replace(state, work_datagrams=left - count, work_told_s=now_s)
    return after, tuple((contacts + contacts)[first : first + count])


def _work_datagrams(state: Membership, now_s: float) -> float:
    earned = max(0.0, now_s - state.work_told_s) * WORK_DATAGRAMS_PER_S
    return min(WORK_DATAGRAMS_PER_S, state.work_datagrams + earned)


def echoes(state: Membership, contacts: tuple[Contact, ...]) -> dict[str, float]:
    """Return the clocks of some peers as they were last heard."""
    peers = (state.peer_by_instance.get(each.instance) for each in contacts)
    return {
        each.contact.instance: each.report.sent_s
        for each in peers
        if each is not None and each.report is not None
    }


def some_contacts(state: Membership) -> tuple[Contact, ...]:
    """Return contacts to pass on, in turn."""
    heard = [each.contact for each in state.peer_by_instance.values() if each.report is not None]
    if len(heard) <= MAX_CONTACTS:
        return tuple(heard)
    if state.turn % CONTACT_ROUNDS:
        return ()
    first = state.turn // CONTACT_ROUNDS * MAX_CONTACTS % len(heard)
    return tuple((heard + heard)[first : first + MAX_CONTACTS])


def peer_work(state: Membership, now_s: float) -> dict[str, load.Work]:
    """Return the work of all peers by upstream, as far as it is recent."""
    requests: dict[str, float] = collections.defaultdict(float)
    tokens: dict[str, float] = collections.defaultdict(float)
    silent_after = silent_after_s(state)
    for peer in state.peer_by_instance.values():
        silent_s = max(0.0, now_s - peer.heard_s - silent_after)
        if peer.report is None or silent_s >= WORK_LIFE_S:
            continue
        part = 1.0 - silent_s / WORK_LIFE_S
        for upstream, work in peer.report.work_by_upstream.items():
            requests[upstream] += work.requests * part
            tokens[upstream] += work.tokens * part
    return {key: load.Work(round(requests[key]), round(tokens[key])) for key in requests}


def heard_and_known(state: Membership, now_s: float) -> tuple[int, int]:
    """Return how many instances are heard and how many are known, this one included."""
    peers = [each for each in state.peer_by_instance.values() if each.report is not None]
    since_s = now_s - silent_after_s(state)
    heard = sum(each.heard_s >= since_s for each in peers)
    return heard + 1, len(peers) + 1


def longest_steady_source_s(state: Membership, now_s: float) -> float:
    """Return for how many seconds a heard peer has had its source without a break, at most."""
    since_s = now_s - silent_after_s(state)
    steady = (
        each.report.source_steady_s
        for each in state.peer_by_instance.values()
        if each.report is not None and each.heard_s >= since_s
    )
    return max(steady, default=0.0)


def first_when_steady(state: Membership, now_s: float, steady_s: float) -> bool:
    """Return whether this instance is the first of a fleet that is whole and has not changed.

    :param steady_s: time in seconds for which nothing may have changed
    """
    heard, known = heard_and_known(state, now_s)
    if heard < known or known < 2 or now_s - state.changed_s < steady_s:
        return False
    staying = (
        name
        for name, peer in state.peer_by_instance.items()
        if peer.report is not None and not peer.report.is_leaving
    )
    return all(state.instance < name for name in staying)


def _is_gone(peer: Peer, now_s: float) -> bool:
    has_left = peer.report is not None and peer.report.is_leaving
    patience_s = WORK_LIFE_S if has_left else FORGET_S
    return max(peer.heard_s, peer.known_s) < now_s - patience_s


def _is_older(report: Report, before: Report) -> bool:
    return report.incarnation == before.incarnation and report.sequence <= before.sequence


def _is_new(before: Peer | None, silent_since_s: float, report: Report) -> bool:
    if before is None or before.report is None or before.heard_s < silent_since_s:
        return True
    return before.report.incarnation != report.incarnation
