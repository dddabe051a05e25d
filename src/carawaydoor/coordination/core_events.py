"""Events that the decision core consumes and effects that it returns."""

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

    :ivar reply_to: number to be repeated in the answer, None if no answer is wanted
    """

    message: messages.Message
    reply_to: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Ticked(Event):
    """The periodic timer fired."""


@dataclasses.dataclass(frozen=True, slots=True)
class ViewArrived(Event):
    """A view of instances and upstreams was read.

    :ivar asked_s: when the platform was asked, None if a peer sent the view
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
    """A configuration revision came into force."""

    revision: int
    catalog: catalog.Catalog


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseTaken(Event):
    """A request on this instance was granted the lease of a slot."""

    lease: messages.HeldLease


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseDropped(Event):
    """A request on this instance released its lease."""

    lease_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class DrainStarted(Event):
    """This instance drains before it exits; it stops acting as owner."""


@dataclasses.dataclass(frozen=True, slots=True)
class HandoverDue(Event):
    """The other instances know that this one is leaving, so it can hand over its state."""


@dataclasses.dataclass(frozen=True, slots=True)
class Effect:
    """Base of all effects."""


@dataclasses.dataclass(frozen=True, slots=True)
class Reply(Effect):
    """Answer the message that arrived with the number ``reply_to``."""

    reply_to: int
    message: messages.Message


@dataclasses.dataclass(frozen=True, slots=True)
class Send(Effect):
    """Send a message that needs no answer."""

    instance: str
    message: messages.Message


@dataclasses.dataclass(frozen=True, slots=True)
class Run(Effect):
    """Run a request at a plain upstream at most once.

    :ivar decided_s: time of the decision; ownership is not checked again, so a run that can't
        start within ``run_once_executor.MAX_START_DELAY_S`` after it is not started at all
    """

    message: messages.RunOnce
    partition: str
    reply_to: int | None
    decided_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class RunFinished(Event):
    """A run ended with an answer, without anything sent, or with an unknown outcome.

    :ivar answer: answer of the upstream, None if there was none
    :ivar not_sent: why nothing was sent to the upstream; None together with no answer means that
        the outcome is unknown
    """

    run: Run
    answer: messages.RunOnceAnswered | None = None
    not_sent: errors.Kind | None = None
