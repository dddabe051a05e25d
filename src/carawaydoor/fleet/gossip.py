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
MIN_SILENCE_TIMEOUT_S: Final = 1.0
SILENCE_TIMEOUT_CYCLES: Final = 3.0
# Datagrams that one instance sends a second, and so receives, whatever the size of the fleet: at
# some 150 us each they stay within 1.6% of a core.
REPORT_DATAGRAMS_PER_S: Final = 90.0
# Time in seconds without a report after which a peer is forgotten: longer than a network
# partition or a restart takes, since an instance that is cut off still uses workspaces' caps.
PEER_EXPIRY_S: Final = 30.0
# Time in seconds over which the work of a silent peer is counted less and less: runs of an instance
# that lost power go on at their engines until they end by themselves.
WORK_DECAY_S: Final = 5.0
# Datagrams about work just begun that one instance sends a second on average, and at once: to each
# peer of a fleet of some sixty. They are small.
WORK_DATAGRAMS_PER_S: Final = 60.0
# Peers that one round of reports goes to, so that its cost does not grow with the fleet.
FAN_OUT_PEERS: Final = 12
# Contacts that one report passes on, and in a larger fleet only one round of so many: they are a
# good part of a report, and new instances are rare.
MAX_CONTACTS_PER_REPORT: Final = 12
CONTACT_INTERVAL_ROUNDS: Final = 4


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
    learned_s: float
    last_report_s: float
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
    round_number: int = 0
    last_change_s: float = float("-inf")
    work_credit_datagrams: float = WORK_DATAGRAMS_PER_S
    work_credit_updated_s: float = float("-inf")


@dataclasses.dataclass(frozen=True, slots=True)
class FreshnessProof:
    """A peer vouches that a revision was the newest at a time."""

    revision: int
    proven_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class PeerUsage:
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
class UpstreamPaused:
    """A peer has ordered an engine to change its stage."""

    upstream: str
    for_s: float


Effect = FreshnessProof | PeerUsage | PeerJoined | PeerLost | SharedStrike | UpstreamPaused


def apply_report(
    state: Membership, now_s: float, report: Report
) -> tuple[Membership, tuple[Effect, ...]]:
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
    elif _is_new(before, now_s - silence_timeout_s(state), report):
        effects.append(PeerJoined(report.contact, report.incarnation))
    for contact in report.contacts:
        if contact.instance != state.instance and contact.instance not in peers:
            peers[contact.instance] = Peer(contact, now_s, float("-inf"), None)
    effects.append(
        PeerUsage(
            f"{name}/{report.incarnation}",
            report.used_by_workspace,
            report.requests_by_service,
            report.repeats_by_service,
        )
    )
    effects.extend(report.strikes)
    effects.extend(UpstreamPaused(*each) for each in report.set_aside_s_by_upstream.items())
    echo_s = report.echo_by_instance.get(state.instance)
    if echo_s is not None and echo_s <= now_s:
        effects.append(FreshnessProof(report.revision, echo_s - report.proof_age_s))
    has_changed = any(isinstance(each, PeerJoined | PeerLost) for each in effects)
    last_change_s = now_s if has_changed else state.last_change_s
    after = dataclasses.replace(state, peer_by_instance=peers, last_change_s=last_change_s)
    return after, tuple(effects)


def apply_work_report(state: Membership, now_s: float, report: WorkReport) -> Membership:
    """Take what a peer has at work now, unless its return has yet to be noted from a whole report."""
    before = state.peer_by_instance.get(report.instance)
    if before is None or before.report is None:
        return state
    if before.last_report_s < now_s - silence_timeout_s(state):
        return state
    known = before.report
    if known.incarnation != report.incarnation or known.sequence >= report.sequence:
        return state
    newer = dataclasses.replace(
        known, sequence=report.sequence, work_by_upstream=report.work_by_upstream
    )
    peer = dataclasses.replace(before, report=newer, last_report_s=now_s)
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
    return max(1, min(FAN_OUT_PEERS, len(state.peer_by_instance))) / REPORT_DATAGRAMS_PER_S


def staleness_s(state: Membership, now_s: float) -> float:
    """Return the mean age in seconds of what is known of peers' work.

    It is half a turn through all peers, as far as they can't tell of new work at once: about as far
    as this instance can't.
    """
    peers = len(state.peer_by_instance)
    if peers == 0:
        return 0.0
    told_late = 1.0 - min(1.0, _work_datagrams(state, now_s) / peers)
    return peers / REPORT_DATAGRAMS_PER_S / 2.0 * told_late


def silence_timeout_s(state: Membership) -> float:
    """Return after how many seconds without a report a peer counts as silent."""
    return max(
        MIN_SILENCE_TIMEOUT_S,
        SILENCE_TIMEOUT_CYCLES * len(state.peer_by_instance) / REPORT_DATAGRAMS_PER_S,
    )


def next_recipients(state: Membership) -> tuple[Membership, tuple[Contact, ...]]:
    """Return the peers that the next round of reports goes to."""
    contacts = [each.contact for each in state.peer_by_instance.values()]
    after = dataclasses.replace(state, round_number=state.round_number + 1)
    if len(contacts) <= FAN_OUT_PEERS:
        return after, tuple(contacts)
    first = state.round_number * FAN_OUT_PEERS % len(contacts)
    return after, tuple((contacts + contacts)[first : first + FAN_OUT_PEERS])


def next_work_recipients(state: Membership, now_s: float) -> tuple[Membership, tuple[Contact, ...]]:
    """Return the peers that are told of new work at once, in turn where not all can be."""
    contacts = [each.contact for each in state.peer_by_instance.values() if each.report is not None]
    left = _work_datagrams(state, now_s)
    count = min(len(contacts), int(left))
    first = state.round_number * FAN_OUT_PEERS % max(1, len(contacts))
    after = dataclasses.replace(
        state, work_credit_datagrams=left - count, work_credit_updated_s=now_s
    )
    return after, tuple((contacts + contacts)[first : first + count])


def _work_datagrams(state: Membership, now_s: float) -> float:
    earned = max(0.0, now_s - state.work_credit_updated_s) * WORK_DATAGRAMS_PER_S
    return min(WORK_DATAGRAMS_PER_S, state.work_credit_datagrams + earned)


def clock_echoes(state: Membership, contacts: tuple[Contact, ...]) -> dict[str, float]:
    """Return the clocks of some peers as they were last heard."""
    peers = (state.peer_by_instance.get(each.instance) for each in contacts)
    return {
        each.contact.instance: each.report.sent_s
        for each in peers
        if each is not None and each.report is not None
    }


def contacts_to_share(state: Membership) -> tuple[Contact, ...]:
    """Return contacts to pass on, in turn."""
    heard = [each.contact for each in state.peer_by_instance.values() if each.report is not None]
    if len(heard) <= MAX_CONTACTS_PER_REPORT:
        return tuple(heard)
    if state.round_number % CONTACT_INTERVAL_ROUNDS:
        return ()
    first = state.round_number // CONTACT_INTERVAL_ROUNDS * MAX_CONTACTS_PER_REPORT % len(heard)
    return tuple((heard + heard)[first : first + MAX_CONTACTS_PER_REPORT])


def peer_work(state: Membership, now_s: float) -> dict[str, load.Work]:
    """Return the work of all peers by upstream, as far as it is recent."""
    requests: dict[str, float] = collections.defaultdict(float)
    tokens: dict[str, float] = collections.defaultdict(float)
    silent_after = silence_timeout_s(state)
    for peer in state.peer_by_instance.values():
        silent_s = max(0.0, now_s - peer.last_report_s - silent_after)
        if peer.report is None or silent_s >= WORK_DECAY_S:
            continue
        part = 1.0 - silent_s / WORK_DECAY_S
        for upstream, work in peer.report.work_by_upstream.items():
            requests[upstream] += work.requests * part
            tokens[upstream] += work.tokens * part
    return {key: load.Work(round(requests[key]), round(tokens[key])) for key in requests}


def count_live_and_known(state: Membership, now_s: float) -> tuple[int, int]:
    """Return how many instances are heard and how many are known, this one included."""
    peers = [each for each in state.peer_by_instance.values() if each.report is not None]
    since_s = now_s - silence_timeout_s(state)
    heard = sum(each.last_report_s >= since_s for each in peers)
    return heard + 1, len(peers) + 1


def longest_source_uptime_s(state: Membership, now_s: float) -> float:
    """Return for how many seconds a heard peer has had its source without a break, at most."""
    since_s = now_s - silence_timeout_s(state)
    steady = (
        each.report.source_steady_s
        for each in state.peer_by_instance.values()
        if each.report is not None and each.last_report_s >= since_s
    )
    return max(steady, default=0.0)


def is_leader(state: Membership, now_s: float, steady_s: float) -> bool:
    """Return whether this instance is the first of a fleet that is whole and has not changed.

    :param steady_s: time in seconds for which nothing may have changed
    """
    heard, known = count_live_and_known(state, now_s)
    if heard < known or known < 2 or now_s - state.last_change_s < steady_s:
        return False
    staying = (
        name
        for name, peer in state.peer_by_instance.items()
        if peer.report is not None and not peer.report.is_leaving
    )
    return all(state.instance < name for name in staying)


def _is_gone(peer: Peer, now_s: float) -> bool:
    has_left = peer.report is not None and peer.report.is_leaving
    patience_s = WORK_DECAY_S if has_left else PEER_EXPIRY_S
    return max(peer.last_report_s, peer.learned_s) < now_s - patience_s


def _is_older(report: Report, before: Report) -> bool:
    return report.incarnation == before.incarnation and report.sequence <= before.sequence


def _is_new(before: Peer | None, silent_since_s: float, report: Report) -> bool:
    if before is None or before.report is None or before.last_report_s < silent_since_s:
        return True
    return before.report.incarnation != report.incarnation
