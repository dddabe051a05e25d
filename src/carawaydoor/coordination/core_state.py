"""State of the decision core of one instance, and helpers that its parts share."""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping

from carawaydoor.coordination import (
    budgets,
    core_events,
    idempotency,
    messages,
    ownership,
    pool_scheduler,
)
from carawaydoor.policy import strikes
from carawaydoor.publishing import catalog

Step = tuple["CoreState", list[core_events.Effect]]


@dataclasses.dataclass(frozen=True, slots=True)
class Tenure:
    """How long a partition of idempotency keys has been owned without a gap.

    :ivar since_s: start of the tenure, including the tenures of earlier owners that handed over
        their records
    :ivar acting_since_s: when this instance itself became the owner
    """

    since_s: float
    acting_since_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class CoreState:
    """State of the decision core of one instance.

    :ivar secret: signs the idempotency keys that this instance issues
    :ivar reply_to_by_lease: reply numbers of the queued requests for a slot
    :ivar held_lease_by_id: slots leased by requests on this instance, from any scheduler
    :ivar reconciled_s: when owned resources were last compared with the ownership rules
    :ivar pull_sent_s_by_workspace: when the owners of standing shares were last asked to move their
        tokens to the pooled share
    """

    membership: ownership.Membership
    secret: bytes
    catalog: catalog.Catalog
    config_revision: int = 0
    budget_split: budgets.BudgetSplit = dataclasses.field(
        default_factory=lambda: budgets.BudgetSplit({}, {})
    )
    budgets: budgets.Budgets = budgets.EMPTY
    scheduler_by_pool: Mapping[str, pool_scheduler.Scheduler] = dataclasses.field(
        default_factory=dict
    )
    reply_to_by_lease: Mapping[str, int] = dataclasses.field(default_factory=dict)
    held_lease_by_id: Mapping[str, messages.HeldLease] = dataclasses.field(default_factory=dict)
    tenure_by_partition: Mapping[str, Tenure] = dataclasses.field(default_factory=dict)
    record_table_by_partition: Mapping[str, idempotency.RecordTable] = dataclasses.field(
        default_factory=dict
    )
    strikes: strikes.Strikes = strikes.EMPTY
    reconciled_s: float = 0.0
    pull_sent_s_by_workspace: Mapping[str, float] = dataclasses.field(default_factory=dict)


def create(
    membership: ownership.Membership,
    secret: bytes,
    initial_catalog: catalog.Catalog = catalog.EMPTY,
) -> CoreState:
    """Return the state of an instance that has just started."""
    return CoreState(membership, secret, initial_catalog)


def reply(reply_to: int | None, message: messages.Message) -> list[core_events.Effect]:
    """Return the effect that answers a message, none if no answer is wanted."""
    return [] if reply_to is None else [core_events.Reply(reply_to, message)]


def reply_not_owner(
    state: CoreState, reason: messages.NotHomeReason, reply_to: int | None
) -> list[core_events.Effect]:
    """Return the effect that answers why this instance is not the owner."""
    answer = messages.NotHome(int(reason), state.membership.view.revision)
    return reply(reply_to, answer)


def owns(state: CoreState, now_s: float, resource: ownership.Resource) -> bool:
    """Return whether this instance may act as owner of a resource."""
    return ownership.reason_not_owner(state.membership, now_s, resource) is None


def next_owner(state: CoreState, now_s: float, resource: ownership.Resource) -> str | None:
    """Return the instance that owns a resource after this one has left, None if there is none."""
    membership = state.membership
    ranked = ownership.reachable_candidates(membership, now_s, resource)
    return next((each for each in ranked if each != membership.instance), None)
