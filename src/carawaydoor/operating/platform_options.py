"""Options of one instance, as its settings file states them."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Address:
    """An IPv4 address and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """Times within which an instance has to act, in seconds, and shares that it may use.

    :ivar withdrawal_s: from the acknowledgement of a withdrawn key to its last use anywhere
    :ivar grace_s: from the signal to stop until the process is killed
    :ivar retry_ratio: repeated sends to a service for each of its requests, all instances together
    :ivar retry_slack: repeated sends to a service beyond that ratio in one window
    :ivar retry_window_s: length of that window
    :ivar stable_window_s: time without disturbance after which the other bounds hold
    :ivar cap_window_s: window that workspaces' usage caps are counted in
    :ivar cap_overshoot: part beyond a cap that all instances together may admit
    """

    withdrawal_s: float
    grace_s: float
    retry_ratio: float
    retry_slack: float
    retry_window_s: float
    stable_window_s: float
    cap_window_s: float
    cap_overshoot: float


@dataclasses.dataclass(frozen=True, slots=True)
class Options:
    """Options of one instance.

    :ivar seeds: peer addresses of instances that may know others; may be stale
    :ivar first_port: first of the ports that are free for traffic between instances
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
