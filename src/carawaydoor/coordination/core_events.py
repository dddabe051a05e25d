"""Events that the decision core consumes and effects that it asks for."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable

from carawaydoor.coordination import cluster_view, messages, pool_scheduler
from carawaydoor.interface import errors
from carawaydoor.publishing import catalog

SchedulerAction = Callable[
    [pool_scheduler.Scheduler], tuple[pool_scheduler.Scheduler, list[pool_scheduler.Answer]]
]


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """Base of all events."""


@dataclasses.dataclass(frozen=True, slots=True)
class Received(Event):
    """A message arrived, from a peer or from a request on this instance.

    :ivar reply_to: names the place of the answer, None where none is wanted
    """

    message: messages.Message
    reply_to: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Ticked(Event):
    """Time has passed."""


@dataclasses.dataclass(frozen=True, slots=True)
class ViewArrived(Event):
    """A list of instances and upstreams was read.

    :ivar asked_s: when the platform was asked, None where a peer sent the list
    """

    view: cluster_view.View
    asked_s: float | None


@dataclasses.dataclass(frozen=True, slots=True)
class PeerHeard(Event):
    """A peer answered a heartbeat that was sent at ``asked_s``."""

    asked_s: float
    heartbeat: messages.Heartbeat


@dataclasses.dataclass(frozen=True, slots=True)
class PeerRefused(Event):
    """The address of a peer refused a connection that was tried at ``asked_s``."""

    instance: str
    asked_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class CatalogInForce(Event):
    """A configuration revision came in force."""

    revision: int
    catalog: catalog.Catalog


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseTaken(Event):
    """A request on this instance was granted a slot."""

    lease: messages.HeldLease


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseDropped(Event):
    """A request on this instance gave up its slot."""

    lease_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class DrainStarted(Event):
    """This instance is to leave: it stops acting as a home."""


@dataclasses.dataclass(frozen=True, slots=True)
class HandoverDue(Event):
    """The other instances know that this one leaves: it hands over what it held."""


@dataclasses.dataclass(frozen=True, slots=True)
class Effect:
    """Base of all effects."""


@dataclasses.dataclass(frozen=True, slots=True)
class Reply(Effect):
    """Answer the message that came with ``reply_to``."""

    reply_to: int
    message: messages.Message


@dataclasses.dataclass(frozen=True, slots=True)
class Send(Effect):
    """Send a message that needs no answer."""

    instance: str
    message: messages.Message


@dataclasses.dataclass(frozen=True, slots=True)
class Run(Effect):
    """Run a request at a plain upstream, at most once, soon after ``decided_s``."""

    message: messages.RunOnce
    partition: str
    reply_to: int | None
    decided_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class RunFinished(Event):
    """A run ended: with an answer, with nothing sent, or with an unknown outcome."""

    run: Run
    answer: messages.RunOnceAnswered | None = None
    not_sent: errors.Kind | None = None
