"""What instances tell each other."""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping

from carawaydoor.policy import load, peer_evidence, strikes, urgency


@dataclasses.dataclass(frozen=True, slots=True)
class Contact:
    """Host at which an instance can be reached."""

    instance: str
    host: str


@dataclasses.dataclass(frozen=True, slots=True)
class SharedStrike:
    """A strike against a request, as reported by a peer.

    :ivar strike: ``at_s`` holds its age in seconds when it was reported
    """

    fingerprint: str
    strike: strikes.Strike


@dataclasses.dataclass(frozen=True, slots=True)
class SharedCrash:
    """A generation that had just begun when its engine crashed, as reported by a peer.

    :ivar engine: incarnation of the engine
    :ivar parts: digests of the shared parts of the prompt
    :ivar age_s: seconds between the crash and the report
    """

    engine: str
    request: str
    parts: tuple[str, ...]
    age_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class SoundPart:
    """A part of prompts that a peer has seen in a generation that went on.

    :ivar age_s: seconds between that and the report
    """

    part: str
    age_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class SoundRequest:
    """A request that a peer has seen to run without crashing its upstream.

    :ivar age_s: seconds between that and the report
    """

    fingerprint: str
    age_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class SharedLimit:
    """The limit of an upstream, as a response to a peer stated it.

    :ivar born_ms: start of the incarnation that said so
    :ivar limit_per_s: requests a second from all instances together, None for no limit
    :ivar age_s: seconds between the request that it responded to and the report
    """

    upstream: str
    born_ms: int
    limit_per_s: float | None
    age_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class SharedCapacity:
    """The time for a unit of work at an upstream, as the sender's own calls show it.

    :ivar born_ms: start of the incarnation
    :ivar kind: value of ``learned_capacity.Kind``
    :ivar number: tells the sender's entries for an upstream and kind apart
    :ivar load: requests at the upstream meanwhile
    :ivar unit_s: seconds for one unit of work
    :ivar weight: number of calls, less where the load was uncertain
    :ivar age_s: seconds between the calls and the report
    """

    upstream: str
    born_ms: int
    kind: int
    number: int
    load: float
    unit_s: float
    weight: float
    age_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class SharedOrigin:
    """Where a stream began.

    :ivar key: name of the stream
    :ivar version: software version of the upstream that began it, empty if unknown
    :ivar age_s: seconds between that and the report
    """

    key: str
    service: str
    version: str
    age_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class OriginReport:
    """Streams that the recipient should remember."""

    instance: str
    origins: tuple[SharedOrigin, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """Full state that an instance sends to its peers.

    :ivar domain: failure domain of the sender
    :ivar incarnation: random number of the process, since clocks may step back between two starts
    :ivar sequence: number of the report, rising within an incarnation
    :ivar sent_s: the sender's clock when it sent the report
    :ivar revision: revision of the sender's configuration
    :ivar proof_age_s: seconds since that revision was last known to be the newest
    :ivar used_by_workspace: tokens or requests charged to usage caps since the sender's start
    :ivar echo_by_instance: for each recipient, the newest ``sent_s`` that the sender got from it
    :ivar set_aside_s_by_upstream: for each engine that is changing its stage, the seconds for which
        no requests are to be sent to it
    :ivar source_steady_s: seconds for which the sender has been connected to its source without a
        break
    :ivar requests_by_service: requests received since the sender's start
    :ivar repeats_by_service: retries since the sender's start
    :ivar source_revision: revision of the source up to which the sender knows its content
    :ivar configuration_version: number that operators gave the sender's configuration
    :ivar sound_age_s_by_part: for parts of prompts that occur in crashes, the seconds since a
        generation with the part was seen to go on
    :ivar limits: limits of upstreams, as responses to the sender stated them
    :ivar turned_away_s_by_upstream: for each upstream that rejects requests of the sender, the seconds
        for which it asked to send none
    :ivar leaving_born_ms_by_upstream: start of the incarnations that have lately begun to leave
    :ivar failures: upstreams that the sender could not reach lately
    :ivar cut_off_services: services of which the sender reaches no upstream
    :ivar sound_age_s_by_request: for requests with strikes, the seconds since one last ran without
        crashing its upstream
    :ivar ranks_by_age: whether resumable streams begin at the version of their rank at the sender, with
        the ages of upstreams as weights; earlier releases don't say
    :ivar bounds_attempts: whether the sender bounds the attempts of a request that an instance passes
        on to it; earlier releases don't say
    :ivar reads_compressed: whether the sender reads compressed reports; earlier releases don't say
    :ivar demands: demand for decode memory of services whose requests differ in priority, None from
        earlier releases, which don't say
    :ivar capacities: how fast upstreams work, by the sender's own calls; empty if nothing is said
    :ivar link_mbps: bandwidth of the sender's link in megabits a second, zero if unknown; earlier
        releases don't say
    :ivar list_age_s: seconds since the source was last known to hold nothing after ``source_revision``,
        None from earlier releases, which don't say
    :ivar ranks_by_list: whether streams begin at the sender by a list of bounded age alone; earlier
        releases don't say
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
    source_revision: int = 0
    crashes: tuple[SharedCrash, ...] = ()
    sound_age_s_by_part: Mapping[str, float] = dataclasses.field(default_factory=dict)
    configuration_version: int = 0
    limits: tuple[SharedLimit, ...] = ()
    turned_away_s_by_upstream: Mapping[str, float] = dataclasses.field(default_factory=dict)
    leaving_born_ms_by_upstream: Mapping[str, int] = dataclasses.field(default_factory=dict)
    failures: tuple[peer_evidence.Failure, ...] = ()
    cut_off_services: tuple[str, ...] = ()
    sound_age_s_by_request: Mapping[str, float] = dataclasses.field(default_factory=dict)
    ranks_by_age: bool = False
    bounds_attempts: bool = False
    reads_compressed: bool = False
    demands: tuple[urgency.Demand, ...] | None = None
    capacities: tuple[SharedCapacity, ...] = ()
    link_mbps: float = 0.0
    list_age_s: float | None = None
    ranks_by_list: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class WorkReport:
    """What has to be known before the next full report.

    It is sent when generations begin or end, and when the sender has read a change of the source.

    :ivar work_by_upstream: all work in progress
    :ivar used_by_workspace: as in a full report, but only what has changed lately
    :ivar requests_by_service: likewise
    :ivar repeats_by_service: likewise
    :ivar source_revision: as in a full report
    :ivar limits: as in a full report, but only what has changed lately
    :ivar failures: as in a full report
    """

    instance: str
    incarnation: int
    sequence: int
    work_by_upstream: Mapping[str, load.Work]
    used_by_workspace: Mapping[str, float] = dataclasses.field(default_factory=dict)
    requests_by_service: Mapping[str, float] = dataclasses.field(default_factory=dict)
    repeats_by_service: Mapping[str, float] = dataclasses.field(default_factory=dict)
    source_revision: int = 0
    limits: tuple[SharedLimit, ...] = ()
    failures: tuple[peer_evidence.Failure, ...] = ()
