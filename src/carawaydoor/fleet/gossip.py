"""Gossip protocol between instances: membership and peer reports, as a pure state machine.

Each report carries the sender's full state, so the next report makes up for a lost one.

A report also echoes the last clock reading that the sender received from each recipient. Since the
report was sent after that reading, the recipient counts ages from it, and a delay in the network or
in a suspended process can't make old information look fresh.
"""

from __future__ import annotations

import collections
import dataclasses
import math
from collections.abc import Mapping, Sequence
from typing import Final

from carawaydoor.fleet import report_effects, reports
from carawaydoor.policy import load

# Two rounds of reports, so that one may be lost.
RECENT_REPORT_S: Final = 0.55
# A peer without reports counts as silent after the minimum timeout or, in a large fleet, after a
# number of cycles, so that a few lost datagrams have no effect. In each cycle, an instance sends
# one report to every peer.
MIN_SILENCE_TIMEOUT_S: Final = 1.0
SILENCE_TIMEOUT_CYCLES: Final = 2.5
# What must be known sooner, as new work, is sent in work reports.
ROUND_INTERVAL_S: Final = 0.25
# Fraction of the peers that may be silent at a time in a fleet that counts as whole.
TOLERATED_SILENT_SHARE: Final = 0.05
# Period over which reports are counted to estimate how much of a large fleet is reachable.
RECENT_REPORTS_S: Final = 2.0
# Fraction of the expected peers below which the fleet counts as divided.
MIN_HEARD_SHARE: Final = 0.8
# Longer than a network partition or a restart lasts, because an instance that is cut off still
# consumes workspace caps.
PEER_EXPIRY_S: Final = 30.0
# The work of a peer without reports is discounted after this time, even if the peer does not count
# as silent yet: the end of a generation is reported at once, and few last longer.
MAX_WORK_TRUST_S: Final = 4.0
# Time over which that work is discounted linearly: engines go on with the requests of an instance
# that lost power until these end by themselves.
WORK_DECAY_S: Final = 5.0
# Average rate, and largest burst, of the small datagrams that announce changes of work: enough for
# one to each peer in a fleet of about 240.
WORK_DATAGRAMS_PER_S: Final = 240.0
# Limits the cost of a round of reports in large fleets.
FAN_OUT_PEERS: Final = 12
# Contacts are a large part of a report and new instances are rare, so a fleet with more contacts
# than fit in one report sends them only in one round per interval.
MAX_CONTACTS_PER_REPORT: Final = 12
CONTACT_INTERVAL_ROUNDS: Final = 4


@dataclasses.dataclass(frozen=True, slots=True)
class Peer:
    """Another instance.

    :ivar learned_s: when it was added, or last reported itself
    :ivar last_report_s: when its last report arrived, -inf before the first one
    :ivar report: the last report, None before the first one
    """

    contact: reports.Contact
    learned_s: float
    last_report_s: float
    report: reports.Report | None


@dataclasses.dataclass(frozen=True, slots=True)
class Membership:
    """Peers known to this instance.

    :ivar instance: name of this instance
    :ivar round_number: rounds of reports so far; selects the recipients of the next round
    :ivar last_change_s: when a peer last joined, left, restarted or reported after a silence
    :ivar work_credit_datagrams: work reports that could be sent at ``work_credit_updated_s``
    """

    instance: str
    peer_by_instance: Mapping[str, Peer]
    round_number: int = 0
    last_change_s: float = float("-inf")
    work_credit_datagrams: float = WORK_DATAGRAMS_PER_S
    work_credit_updated_s: float = float("-inf")


def apply_report(
    state: Membership, now_s: float, report: reports.Report
) -> tuple[Membership, tuple[report_effects.Effect, ...]]:
    """Apply the full report of a peer, unless a newer one is known."""
    name = report.contact.instance
    if name == state.instance:
        return state, ()
    known_peer = state.peer_by_instance.get(name)
    if (
        known_peer is not None
        and known_peer.report is not None
        and _is_older(report, known_peer.report)
    ):
        return state, ()
    peers = dict(state.peer_by_instance)
    effects: list[report_effects.Effect] = []
    peers[name] = Peer(report.contact, now_s, now_s, report)
    if report.is_leaving:
        if known_peer is None or known_peer.report is None or not known_peer.report.is_leaving:
            effects.append(report_effects.PeerLost(report.contact, True))
    elif _is_new(known_peer, now_s - silence_timeout_s(state), report):
        effects.append(report_effects.PeerJoined(report.contact, report.incarnation))
    for contact in report.contacts:
        if contact.instance != state.instance and contact.instance not in peers:
            peers[contact.instance] = Peer(contact, now_s, float("-inf"), None)
    effects.append(_peer_usage(report))
    effects.extend(report.strikes)
    effects.extend(report.crashes)
    effects.extend(reports.SoundPart(*each) for each in report.sound_age_s_by_part.items())
    effects.extend(reports.SoundRequest(*each) for each in report.sound_age_s_by_request.items())
    effects.extend(report.limits)
    effects.extend(report_effects.PeerCapacity(name, each) for each in report.capacities)
    effects.extend(
        report_effects.UpstreamLeaving(*each) for each in report.leaving_born_ms_by_upstream.items()
    )
    effects.extend(
        report_effects.PeerTurnedAway(*each) for each in report.turned_away_s_by_upstream.items()
    )
    effects.extend(
        report_effects.UpstreamPaused(*each) for each in report.set_aside_s_by_upstream.items()
    )
    echo_s = report.echo_by_instance.get(state.instance)
    if echo_s is not None and echo_s <= now_s:
        effects.append(report_effects.FreshnessProof(report.revision, echo_s - report.proof_age_s))
        if report.list_age_s is not None:
            proven_s = echo_s - report.list_age_s
            effects.append(report_effects.ListProof(report.source_revision, proven_s))
    # In a large fleet some peer is always silent for a moment, since datagrams are lost.
    is_tolerated = (
        known_peer is not None
        and known_peer.report is not None
        and known_peer.report.incarnation == report.incarnation
        and _tolerated_silent_peers(len(peers) + 1) > 0
    )
    has_changed = any(
        isinstance(each, report_effects.PeerLost)
        or (isinstance(each, report_effects.PeerJoined) and not is_tolerated)
        for each in effects
    )
    last_change_s = now_s if has_changed else state.last_change_s
    new_state = dataclasses.replace(state, peer_by_instance=peers, last_change_s=last_change_s)
    return new_state, tuple(effects)


def apply_work_report(
    state: Membership, now_s: float, report: reports.WorkReport
) -> tuple[Membership, tuple[report_effects.Effect, ...]]:
    """Apply the work report of a peer.

    It is ignored if the peer is unknown or silent: only a full report makes a peer live again.
    """
    known_peer = state.peer_by_instance.get(report.instance)
    if known_peer is None or known_peer.report is None:
        return state, ()
    if known_peer.last_report_s < now_s - silence_timeout_s(state):
        return state, ()
    known = known_peer.report
    if known.incarnation != report.incarnation or known.sequence >= report.sequence:
        return state, ()
    new_report = dataclasses.replace(
        known,
        sequence=report.sequence,
        work_by_upstream=report.work_by_upstream,
        used_by_workspace={**known.used_by_workspace, **report.used_by_workspace},
        requests_by_service={**known.requests_by_service, **report.requests_by_service},
        repeats_by_service={**known.repeats_by_service, **report.repeats_by_service},
        source_revision=max(known.source_revision, report.source_revision),
        failures=report.failures,
    )
    new_peer = dataclasses.replace(known_peer, report=new_report, last_report_s=now_s)
    peers = {**state.peer_by_instance, report.instance: new_peer}
    usage = _peer_usage(new_report)
    return dataclasses.replace(state, peer_by_instance=peers), (usage, *report.limits)


def _peer_usage(report: reports.Report) -> report_effects.PeerUsage:
    return report_effects.PeerUsage(
        f"{report.contact.instance}/{report.incarnation}",
        report.used_by_workspace,
        report.requests_by_service,
        report.repeats_by_service,
    )


def expire(state: Membership, now_s: float) -> tuple[Membership, tuple[report_effects.Effect, ...]]:
    """Remove the peers that have been silent for too long or have left."""
    expired = [each for each in state.peer_by_instance.values() if _is_expired(each, now_s)]
    if not expired:
        return state, ()
    names = {each.contact.instance for each in expired}
    peers = {name: each for name, each in state.peer_by_instance.items() if name not in names}
    lost = tuple(
        report_effects.PeerLost(each.contact, False)
        for each in expired
        if each.report is not None and not each.report.is_leaving
    )
    return dataclasses.replace(state, peer_by_instance=peers), lost


def cycle_s(state: Membership) -> float:
    """Return the time in seconds in which an instance sends one report to every peer."""
    return math.ceil(len(state.peer_by_instance) / FAN_OUT_PEERS) * ROUND_INTERVAL_S


def staleness_s(state: Membership, now_s: float) -> float:
    """Return the mean age in seconds of the known work of peers.

    Work that peers can't announce at once is known after half a cycle of reports on average. The
    share of such work is estimated from this instance's own send credit.
    """
    peer_count = len(state.peer_by_instance)
    if peer_count == 0:
        return 0.0
    delayed_share = 1.0 - min(1.0, _work_credit(state, now_s) / peer_count)
    return cycle_s(state) / 2.0 * delayed_share


def silence_timeout_s(state: Membership) -> float:
    """Return the seconds without a report after which a peer counts as silent."""
    return max(MIN_SILENCE_TIMEOUT_S, SILENCE_TIMEOUT_CYCLES * cycle_s(state))


def next_recipients(state: Membership) -> tuple[Membership, tuple[reports.Contact, ...]]:
    """Return the recipients of the next round of reports, chosen in rotation."""
    contacts = [each.contact for each in state.peer_by_instance.values()]
    new_state = dataclasses.replace(state, round_number=state.round_number + 1)
    if len(contacts) <= FAN_OUT_PEERS:
        return new_state, tuple(contacts)
    first = state.round_number * FAN_OUT_PEERS % len(contacts)
    return new_state, tuple((contacts + contacts)[first : first + FAN_OUT_PEERS])


def next_work_recipients(
    state: Membership, now_s: float
) -> tuple[Membership, tuple[reports.Contact, ...]]:
    """Return the peers to send a work report to now, as many as the send credit allows."""
    contacts = [each.contact for each in state.peer_by_instance.values() if each.report is not None]
    credit = _work_credit(state, now_s)
    count = min(len(contacts), int(credit))
    first = state.round_number * FAN_OUT_PEERS % max(1, len(contacts))
    new_state = dataclasses.replace(
        state, work_credit_datagrams=credit - count, work_credit_updated_s=now_s
    )
    return new_state, tuple((contacts + contacts)[first : first + count])


def _work_credit(state: Membership, now_s: float) -> float:
    earned = max(0.0, now_s - state.work_credit_updated_s) * WORK_DATAGRAMS_PER_S
    return min(WORK_DATAGRAMS_PER_S, state.work_credit_datagrams + earned)


def clock_echoes(state: Membership, contacts: tuple[reports.Contact, ...]) -> dict[str, float]:
    """Return the clock readings in the last reports of some peers."""
    peers = (state.peer_by_instance.get(each.instance) for each in contacts)
    return {
        each.contact.instance: each.report.sent_s
        for each in peers
        if each is not None and each.report is not None
    }


def contacts_to_share(state: Membership) -> tuple[reports.Contact, ...]:
    """Return the contacts for the next report, chosen in rotation."""
    contacts = [each.contact for each in state.peer_by_instance.values() if each.report is not None]
    if len(contacts) <= MAX_CONTACTS_PER_REPORT:
        return tuple(contacts)
    if state.round_number % CONTACT_INTERVAL_ROUNDS:
        return ()
    first = state.round_number // CONTACT_INTERVAL_ROUNDS * MAX_CONTACTS_PER_REPORT % len(contacts)
    return tuple((contacts + contacts)[first : first + MAX_CONTACTS_PER_REPORT])


def peer_work(state: Membership, now_s: float) -> dict[str, load.Work]:
    """Return the sum of all peers' work by upstream, discounted for peers without reports."""
    requests: dict[str, float] = collections.defaultdict(float)
    tokens: dict[str, float] = collections.defaultdict(float)
    timeout_s = min(MAX_WORK_TRUST_S, silence_timeout_s(state))
    for peer in state.peer_by_instance.values():
        overdue_s = max(0.0, now_s - peer.last_report_s - timeout_s)
        if peer.report is None or overdue_s >= WORK_DECAY_S:
            continue
        weight = 1.0 - overdue_s / WORK_DECAY_S
        for upstream, work in peer.report.work_by_upstream.items():
            requests[upstream] += work.requests * weight
            tokens[upstream] += work.tokens * weight
    return {key: load.Work(round(requests[key]), round(tokens[key])) for key in requests}


def count_live_and_known(state: Membership, now_s: float) -> tuple[int, int]:
    """Return how many instances are live and how many are known, including this one."""
    peers = [each for each in state.peer_by_instance.values() if each.report is not None]
    live_since_s = now_s - silence_timeout_s(state)
    live = sum(each.last_report_s >= live_since_s for each in peers)
    return live + 1, len(peers) + 1


def sharing_instances(state: Membership, now_s: float, is_leaving: bool) -> tuple[str, ...]:
    """Return the names of the live instances that are not leaving, in the same order everywhere.

    :param is_leaving: whether this instance is leaving
    """
    live_since_s = now_s - silence_timeout_s(state)
    peers = (
        name
        for name, peer in state.peer_by_instance.items()
        if peer.report is not None
        and not peer.report.is_leaving
        and peer.last_report_s >= live_since_s
    )
    own = () if is_leaving else (state.instance,)
    return tuple(sorted((*peers, *own)))


def staying_instances(state: Membership, is_leaving: bool) -> tuple[str, ...]:
    """Return the names of the known instances that are not leaving, silent ones included.

    :param is_leaving: whether this instance is leaving
    """
    peers = (
        name
        for name, peer in state.peer_by_instance.items()
        if peer.report is not None and not peer.report.is_leaving
    )
    own = () if is_leaving else (state.instance,)
    return tuple(sorted((*peers, *own)))


def count_reachable(state: Membership, now_s: float) -> int:
    """Return how many instances are reachable by the latest reports, including this one.

    In a large fleet, a peer counts as silent only after seconds. A network partition shows sooner by
    the number of peers heard in a short time, compared with that expected of all live ones.
    """
    live, _ = count_live_and_known(state, now_s)
    cycle = cycle_s(state)
    if cycle <= RECENT_REPORTS_S:
        return live
    expected = (live - 1) * RECENT_REPORTS_S / cycle
    heard = sum(
        each.report is not None and each.last_report_s >= now_s - RECENT_REPORTS_S
        for each in state.peer_by_instance.values()
    )
    if heard >= expected * MIN_HEARD_SHARE:
        return live
    return max(heard, round((live - 1) * heard / expected)) + 1


def live_peers_in_domain(state: Membership, now_s: float, domain: str) -> tuple[Peer, ...]:
    """Return the peers of a failure domain that report and are not leaving."""
    return tuple(
        each
        for each in live_peers(state, now_s)
        if each.report is not None and each.report.domain == domain
    )


def live_peers(state: Membership, now_s: float) -> tuple[Peer, ...]:
    """Return the peers that report and are not leaving."""
    live_since_s = now_s - silence_timeout_s(state)
    return tuple(
        each
        for each in state.peer_by_instance.values()
        if each.report is not None
        and not each.report.is_leaving
        and each.last_report_s >= live_since_s
    )


def all_rank_streams(state: Membership) -> bool:
    """Return whether all peers have reported that streams begin by rank, by age and the list alone."""
    return all(
        each.report is not None and each.report.ranks_by_age and each.report.ranks_by_list
        for each in state.peer_by_instance.values()
    )


def all_bound_attempts(state: Membership) -> bool:
    """Return whether all peers have reported that they bound the attempts of passed-on requests."""
    return all(
        each.report is not None and each.report.bounds_attempts
        for each in state.peer_by_instance.values()
    )


def all_read_compressed(state: Membership) -> bool:
    """Return whether all peers have reported that they read compressed reports."""
    return all(
        each.report is not None and each.report.reads_compressed
        for each in state.peer_by_instance.values()
    )


def recently_heard(peers: Sequence[Peer], now_s: float) -> Sequence[Peer]:
    """Return the peers that have reported lately, or all of them if none has.

    A peer that is suspended or cut off still accepts connections, and counts as silent only later.
    """
    recent = [each for each in peers if now_s - each.last_report_s <= RECENT_REPORT_S]
    return recent or peers


def peers_reaching(state: Membership, now_s: float, service: str) -> tuple[Peer, ...]:
    """Return the live peers that stay and do not report to be cut off from a service."""
    live_since_s = now_s - silence_timeout_s(state)
    return tuple(
        each
        for each in state.peer_by_instance.values()
        if each.report is not None
        and not each.report.is_leaving
        and each.last_report_s >= live_since_s
        and service not in each.report.cut_off_services
    )


def longest_source_uptime_s(state: Membership, now_s: float) -> float:
    """Return the longest unbroken connection of a live peer to its source, in seconds."""
    live_since_s = now_s - silence_timeout_s(state)
    uptimes_s = (
        each.report.source_steady_s
        for each in state.peer_by_instance.values()
        if each.report is not None and each.last_report_s >= live_since_s
    )
    return max(uptimes_s, default=0.0)


def is_leader(state: Membership, now_s: float, stable_s: float) -> bool:
    """Return whether this instance is the leader of the fleet.

    The leader has the lowest name of the known instances that are not leaving, silent ones included.
    There is none while more than a few peers are silent, so that two parts of a divided fleet never
    have one each, while no peer is known or after a recent change in the fleet.

    :param stable_s: seconds for which the fleet must not have changed
    """
    live, known = count_live_and_known(state, now_s)
    if known - live > _tolerated_silent_peers(known) or known < 2:
        return False
    if now_s - state.last_change_s < stable_s:
        return False
    staying_peers = (
        name
        for name, peer in state.peer_by_instance.items()
        if peer.report is not None and not peer.report.is_leaving
    )
    return all(state.instance < name for name in staying_peers)


def _tolerated_silent_peers(known: int) -> int:
    """Return how many peers may be silent for a moment in a fleet that counts as whole."""
    return int(known * TOLERATED_SILENT_SHARE)


def _is_expired(peer: Peer, now_s: float) -> bool:
    has_left = peer.report is not None and peer.report.is_leaving
    expiry_s = WORK_DECAY_S if has_left else PEER_EXPIRY_S
    return max(peer.last_report_s, peer.learned_s) < now_s - expiry_s


def _is_older(report: reports.Report, known_report: reports.Report) -> bool:
    return (
        report.incarnation == known_report.incarnation and report.sequence <= known_report.sequence
    )


def _is_new(known_peer: Peer | None, live_since_s: float, report: reports.Report) -> bool:
    if known_peer is None or known_peer.report is None or known_peer.last_report_s < live_since_s:
        return True
    return known_peer.report.incarnation != report.incarnation
