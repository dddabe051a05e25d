"""Validated options of an instance on the platform, read from its settings file."""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping


@dataclasses.dataclass(frozen=True, slots=True)
class Address:
    """An IPv4 address and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """Deadlines in seconds and limits that the platform sets for an instance.

    :ivar withdrawal_s: maximum time from the acknowledgement of a key's withdrawal to its last use
        at any instance
    :ivar grace_s: time from SIGTERM until the platform kills the process
    :ivar retry_ratio: retries to a service allowed per request to it, over all instances
    :ivar retry_slack: retries to a service allowed per window in addition to that ratio
    :ivar retry_window_s: length of the window in which retries and requests are counted
    :ivar stable_window_s: time without a disturbance after which the instance has to meet its
        bounds
    :ivar cap_window_s: length of the window in which the usage of a workspace is counted
    :ivar drain_s: time from an upstream's notice that it leaves until no request may be sent there
    :ivar cap_overshoot: fraction by which all instances together may exceed a workspace's cap
    :ivar cold_overshoot: multiple of the requests that a cold upstream handles in a second which all
        instances together may send in one
    :ivar cold_slack: requests that they may send in a second in addition to that multiple
    :ivar configuration_s: time from the acknowledgement of a configuration until it has to be in
        force at all instances
    """

    withdrawal_s: float
    grace_s: float
    retry_ratio: float
    retry_slack: float
    retry_window_s: float
    stable_window_s: float
    cap_window_s: float
    cap_overshoot: float
    drain_s: float
    cold_overshoot: float = 1.5
    cold_slack: float = 5.0
    configuration_s: float = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Options:
    """Options of one instance.

    :ivar domain: failure domain of the instance
    :ivar front: address that accepts callers
    :ivar ready: address that answers the readiness probe
    :ivar peer_host: address of this instance for datagrams from peers
    :ivar first_port: first port of the range reserved for traffic between instances
    :ivar seeds: addresses of peers to contact first; some may no longer exist
    :ivar store: address of the platform's store
    :ivar max_descriptors: limit of open file descriptors
    :ivar memory_bytes: limit of the memory of the process
    :ivar store_history_s: time in seconds for which the store keeps changes
    :ivar region: region of the instance, empty if unknown
    :ivar region_by_domain: region of each failure domain, as far as they are known
    :ivar link_mbps: bandwidth of the machine's link in megabits a second, zero if unknown
    :ivar learns_capacity: whether the speeds of upstreams are learned; without it they count as equal
    """

    instance: str
    domain: str
    front: Address
    ready: Address
    peer_host: str
    first_port: int
    seeds: tuple[Address, ...]
    store: Address
    bounds: Bounds
    max_descriptors: int
    memory_bytes: int = 300_000_000
    store_history_s: float = 0.0
    region: str = ""
    region_by_domain: Mapping[str, str] = dataclasses.field(default_factory=dict)
    learns_capacity: bool = True
    link_mbps: float = 0.0
