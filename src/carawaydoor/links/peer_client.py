"""Reaches the other instances: one link each, and heartbeats to all of them."""

from __future__ import annotations

import threading
from concurrent import futures
from typing import Final

from carawaydoor.coordination import cluster_view, core_events, core_task, messages, state_machine
from carawaydoor.interface import errors
from carawaydoor.links import peer_connection
from carawaydoor.operating import clocks, task

HEARTBEAT_S: Final = 0.25
STUCK_S: Final = 3.0


class PeerClient:
    """The links to the other instances, by instance id."""

    def __init__(self, instance: str, core: core_task.CoreTask) -> None:
        self._instance = instance
        self._core = core
        self._link_by_instance: dict[str, peer_connection.PeerConnection] = {}
        self._lock = threading.Lock()

    def ask(self, instance: str, message: messages.Message) -> futures.Future[messages.Message]:
        """Send a message to an instance, this one included, and return its answer to come."""
        if instance == self._instance:
            return self._core.ask(message)
        answer: futures.Future[messages.Message] = futures.Future()
        target = self._link(instance)
        if target is None:
            answer.set_exception(errors.PeerUnreachableError(f"{instance} is not in the view"))
        else:
            target.post(peer_connection.OutgoingMessage(message, answer))
        return answer

    def tell(self, instance: str, message: messages.Message) -> None:
        """Send a message that needs no answer."""
        if instance == self._instance:
            self._core.tell(core_events.Received(message))
            return
        target = self._link(instance)
        if target is not None:
            target.post(peer_connection.OutgoingMessage(message, None))

    def retain(self, view: cluster_view.View) -> None:
        """Close the links to instances that are not in a view."""
        with self._lock:
            gone = [each for each in self._link_by_instance if each not in view.instance_by_id]
            closed = [self._link_by_instance.pop(each) for each in gone]
        for each in closed:
            each.stop()

    def reset(self, instance: str) -> None:
        """Break the link to an instance off; the next message connects anew."""
        with self._lock:
            broken = self._link_by_instance.pop(instance, None)
        if broken is not None:
            broken.abort()

    def stop(self) -> None:
        """Close all links."""
        self.retain(cluster_view.EMPTY)

    def _link(self, instance: str) -> peer_connection.PeerConnection | None:
        entry = self._core.state.membership.view.instance_by_id.get(instance)
        with self._lock:
            current = self._link_by_instance.get(instance)
            if entry is None or (current and current.address == (entry.host, entry.peer_port)):
                return current
            if current is not None:
                current.stop()
            created = peer_connection.PeerConnection(entry.host, entry.peer_port)
            created.start()
            self._link_by_instance[instance] = created
            return created


class HeartbeatTask(task.PeriodicTask):
    """Exchanges heartbeats with every other instance of the view.

    A connection on which a heartbeat stays unanswered for ``STUCK_S`` is broken off: after a
    network partition TCP would go on waiting for minutes.
    """

    def __init__(
        self, instance: str, core: core_task.CoreTask, peers: PeerClient, clock: clocks.Clock
    ) -> None:
        super().__init__("heartbeats", HEARTBEAT_S)
        self._instance = instance
        self._core = core
        self._peers = peers
        self._clock = clock
        self._asked_s_by_instance: dict[str, float] = {}

    def run_iteration(self) -> None:
        """Send one heartbeat to every peer that has answered the one before."""
        view = self._core.state.membership.view
        self._peers.retain(view)
        now_s = self._clock.now_s()
        for entry in view.instance_by_id.values():
            asked_s = self._asked_s_by_instance.get(entry.id)
            if asked_s is not None and now_s - asked_s > STUCK_S:
                self._peers.reset(entry.id)
            elif asked_s is None and entry.id != self._instance:
                self._send(entry)

    def _send(self, entry: cluster_view.Instance) -> None:
        asked_s = self._clock.now_s()
        message = state_machine.build_heartbeat(self._core.state, asked_s, entry.failure_domain)
        self._asked_s_by_instance[entry.id] = asked_s
        answer = self._peers.ask(entry.id, message)
        answer.add_done_callback(lambda done: self._conclude(entry.id, asked_s, done))

    def _conclude(
        self, instance: str, asked_s: float, done: futures.Future[messages.Message]
    ) -> None:
        self._asked_s_by_instance.pop(instance, None)
        error = done.exception()
        if isinstance(error, errors.PeerRefusedError):
            self._core.tell(core_events.PeerRefused(instance, asked_s))
        elif error is None:
            answer = done.result()
            if isinstance(answer, messages.Heartbeat):
                self._core.tell(core_events.PeerHeard(asked_s, answer))
