"""State and clients that the filters and handlers of one instance share."""

from __future__ import annotations

import concurrent.futures
import dataclasses
import itertools
import random
import threading

from carawaydoor.coordination import (
    cluster_view,
    core_events,
    core_state,
    core_task,
    idempotency,
    messages,
    ownership,
)
from carawaydoor.interface import errors
from carawaydoor.links import peer_client
from carawaydoor.operating import clocks, daemon_metrics, daemon_settings
from carawaydoor.policy import local_retry_budget
from carawaydoor.publishing import catalog, configuration_state

REPLY_TIMEOUT_S = 1.0
MAX_OWNERS_ASKED = 2


@dataclasses.dataclass(slots=True)
class InstanceContext:
    """Shared state and clients of one instance.

    :ivar configuration: the configuration in force, replaced as a whole
    :ivar configuration_as_of_s: time in seconds at which the platform or a peer last confirmed the
        configuration
    """

    options: daemon_settings.Options
    clock: clocks.Clock
    core: core_task.CoreTask
    peers: peer_client.PeerClient
    metrics: daemon_metrics.Metrics
    configuration: configuration_state.ConfigurationState = configuration_state.EMPTY
    configuration_as_of_s: float = 0.0
    draining: bool = False
    random: random.Random = dataclasses.field(default_factory=random.Random)
    retry_budget: local_retry_budget.LocalRetryBudget = dataclasses.field(
        default_factory=local_retry_budget.LocalRetryBudget
    )
    lock: threading.Lock = dataclasses.field(default_factory=threading.Lock)
    issued_key_count: int = 0

    @property
    def catalog(self) -> catalog.Catalog:
        """Catalog of the configuration in force."""
        return self.configuration.catalog

    @property
    def membership(self) -> ownership.Membership:
        """Current members of the fleet, as this instance knows them."""
        return self.core.state.membership

    def likely_owners(self, resource: ownership.Resource) -> tuple[str, ...]:
        """Return the likely owner of a resource and the next candidate, in this order."""
        now_s = self.clock.now_s()
        ranked = ownership.reachable_candidates(self.membership, now_s, resource)
        return tuple(itertools.islice(ranked, MAX_OWNERS_ASKED))

    def ask(
        self, instance: str, message: messages.Message, timeout_s: float = REPLY_TIMEOUT_S
    ) -> messages.Message:
        """Send a message to an instance and return its reply.

        :raises PeerError: if no reply arrives within ``timeout_s`` seconds
        """
        asked_s = self.clock.now_s()
        reply = self.peers.ask(instance, message)
        try:
            return reply.result(timeout_s)
        except errors.PeerRefusedError:
            self.core.tell(core_events.PeerRefused(instance, asked_s))
            raise
        except concurrent.futures.TimeoutError as error:
            reply.cancel()
            raise errors.PeerUnreachableError(f"{instance} did not reply in time") from error

    def take_retry(self) -> bool:
        """Take one retry from the retry budget, and return whether the budget allowed it."""
        with self.lock:
            self.retry_budget, allowed = local_retry_budget.take(self.retry_budget)
        self.metrics.retries.add(1, {"allowed": str(allowed).lower()})
        return allowed

    def record_attempt(self) -> None:
        """Record a first attempt, which adds a fraction of a retry to the budget."""
        with self.lock:
            self.retry_budget = local_retry_budget.record_attempt(self.retry_budget)

    def issue_idempotency_key(self, workspace: str) -> str:
        """Return a new idempotency key; only this incarnation may run requests with it."""
        with self.lock:
            self.issued_key_count += 1
            sequence = self.issued_key_count
        nonce = idempotency.make_nonce(self.clock.now_s(), sequence)
        incarnation = self.membership.incarnation
        secret = self.core.state.secret
        return idempotency.issue(self.options.instance, incarnation, nonce, workspace, secret)

    def live_upstreams(self, group: str, role: cluster_view.Role) -> list[cluster_view.Upstream]:
        """Return the live upstreams of a group, those in this failure domain first.

        The order is otherwise random.
        """
        matching = [
            each
            for each in self.membership.view.upstream_by_id.values()
            if each.group == group
            and each.role is role
            and each.presence is cluster_view.Presence.LIVE
        ]
        self.random.shuffle(matching)
        return sorted(matching, key=lambda each: each.failure_domain != self.options.failure_domain)

    def state(self) -> core_state.CoreState:
        """Return the current state of the decision core."""
        return self.core.state
