"""Deployments of the demonstration, the benchmark and the tests."""

from __future__ import annotations

import dataclasses
import pathlib
from typing import Final

EXAMPLES: Final = pathlib.Path(__file__).resolve().parent.parent / "examples"


@dataclasses.dataclass(frozen=True, slots=True)
class Back:
    """An upstream, run as a stand-in process.

    :ivar role: ``prefill``, ``decode`` or ``plain``
    :ivar group: name of the pool or of the plain service that it belongs to
    """

    id: str
    failure_domain: str
    role: str
    group: str


@dataclasses.dataclass(frozen=True, slots=True)
class Deployment:
    """Instances and upstreams of an example, and what callers request from it.

    :ivar name: name of the example's directory
    :ivar instances: pairs of instance id and failure domain
    :ivar status_path: path of status reads
    :ivar booking_path: path of bookings, which need an idempotency key
    """

    name: str
    instances: tuple[tuple[str, str], ...]
    upstreams: tuple[Back, ...]
    model: str
    status_path: str
    booking_path: str
    workspaces: tuple[str, ...]
    key_prefix: str

    @property
    def config_directory(self) -> pathlib.Path:
        """Directory of the example's configuration objects."""
        return EXAMPLES / self.name

    def key(self, workspace: str) -> str:
        """Return the API key of a workspace."""
        return f"demo-{self.key_prefix}-{workspace}"


def _instances(prefix: str, domains: str, count: int) -> tuple[tuple[str, str], ...]:
    return tuple(
        (f"{prefix}-i{number + 1}", f"{prefix}-{domains[number % len(domains)]}")
        for number in range(count)
    )


ORDEN_CLARO: Final = Deployment(
    "orden-claro",
    _instances("oc", "abcd", 8),
    (
        Back("planning-1", "oc-a", "prefill", "planning"),
        Back("planning-2", "oc-b", "prefill", "planning"),
        Back("planning-3", "oc-a", "decode", "planning"),
        Back("planning-4", "oc-b", "decode", "planning"),
        Back("planning-5", "oc-c", "decode", "planning"),
        Back("planning-6", "oc-d", "decode", "planning"),
        Back("booking-1", "oc-a", "plain", "booking"),
        Back("booking-2", "oc-b", "plain", "booking"),
        Back("booking-3", "oc-c", "plain", "booking"),
        Back("booking-4", "oc-d", "plain", "booking"),
    ),
    "planning",
    "/orders/17",
    "/bookings",
    ("head-office", "rosario", "cordoba", "mendoza", "salta"),
    "oc",
)

BOEKENKAST: Final = Deployment(
    "boekenkast",
    _instances("bk", "abc", 7),
    (
        Back("summary-1", "bk-a", "prefill", "summary"),
        Back("summary-2", "bk-b", "prefill", "summary"),
        Back("summary-3", "bk-c", "prefill", "summary"),
        Back("summary-4", "bk-a", "decode", "summary"),
        Back("summary-5", "bk-b", "decode", "summary"),
        Back("summary-6", "bk-c", "decode", "summary"),
        Back("steward-1", "bk-a", "plain", "steward"),
        Back("steward-2", "bk-b", "plain", "steward"),
        Back("steward-3", "bk-c", "plain", "steward"),
    ),
    "summary",
    "/bookcases/17",
    "/pickups",
    ("gent", "brugge", "leuven", "kortrijk", "oostende"),
    "bk",
)

SMALL: Final = Deployment(
    "orden-claro",
    _instances("oc", "aab", 3),
    (
        Back("planning-1", "oc-a", "prefill", "planning"),
        Back("planning-2", "oc-b", "prefill", "planning"),
        Back("planning-3", "oc-a", "decode", "planning"),
        Back("planning-4", "oc-b", "decode", "planning"),
        Back("booking-1", "oc-a", "plain", "booking"),
        Back("booking-2", "oc-b", "plain", "booking"),
    ),
    "planning",
    "/orders/17",
    "/bookings",
    ("head-office", "rosario", "cordoba", "mendoza", "salta"),
    "oc",
)
