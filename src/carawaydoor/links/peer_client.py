"""Sends messages and heartbeats to the other instances, over one connection to each."""

from __future__ import annotations

import threading
from concurrent import futures
from typing import Final

from carawaydoor.coordination import cluster_view, core_events, core_task, messages, state_machine
from carawaydoor.interface import errors
from carawaydoor.links import peer_connection
from carawaydoor.operating import clocks, task

HEARTBEAT_INTERVAL_S: Final = 0.25
HEARTBEAT_TIMEOUT_S: Final = 3.0


class PeerClient:
    """Sends messages to instances of the view by their id."""

    def __init__(self, instance: str, core: core_task.CoreTask) -> None:
        self._instance = instance
        self._core = core
        self._connection_by_instance: dict[str, peer_connection.PeerConnection] = {}
        self._lock = threading.Lock()

    def ask(self, instance: str, message: messages.Message) -> futures.Future[messages.Message]:
        """Send a message to any instance, even this one, and return a future of its answer."""
        if instance == self._instance:
            return self._core.ask(message)
        answer: futures.Future[messages.Message] = futures.Future()
        connection = self._get_connection(instance)
        if connection is None:
            answer.set_exception(errors.PeerUnreachableError(f"{instance} is not in the view"))
        else:
            connection.post(peer_connection.OutgoingMessage(message, answer))
        return answer

    def tell(self, instance: str, message: messages.Message) -> None:
        """Send a message that needs no answer."""
        if instance == self._instance:
            self._core.tell(core_events.Received(message))
            return
        connection = self._get_connection(instance)
        if connection is not None:
            connection.post(peer_connection.OutgoingMessage(message, None))

    def retain(self, view: cluster_view.View) -> None:
        """Close the connections to instances that are not in a view."""
        with self._lock:
            removed = [
                each for each in self._connection_by_instance if each not in view.instance_by_id
            ]
            connections = [self._connection_by_instance.pop(each) for each in removed]
        for each in connections:
            each.stop()

    def reset(self, instance: str) -> None:
        """Abort the connection to an instance; the next message opens a new one."""
        with self._lock:
            aborted = self._connection_by_instance.pop(instance, None)
        if aborted is not None:
            aborted.abort()

    def stop(self) -> None:
        """Close all connections."""
        self.retain(cluster_view.EMPTY)

    def _get_connection(self, instance: str) -> peer_connection.PeerConnection | None:
        entry = self._core.state.membership.view.instance_by_id.get(instance)
        with self._lock:
            current = self._connection_by_instance.get(instance)
            if entry is None or (current and current.address == (entry.host, entry.peer_port)):
                return current
            if current is not None:
                current.stop()
            created = peer_connection.PeerConnection(entry.host, entry.peer_port)
            created.start()
            self._connection_by_instance[instance] = created
            return created


class HeartbeatTask(task.PeriodicTask):
    """Sends heartbeats to all other instances of the view and reports their answers to the core.

    A connection on which a heartbeat has no answer after ``HEARTBEAT_TIMEOUT_S`` is aborted, since
    TCP may take minutes to notice a network partition.
    """

    def __init__(
        self, instance: str, core: core_task.CoreTask, peers: PeerClient, clock: clocks.Clock
    ) -> None:
        super().__init__("heartbeats", HEARTBEAT_INTERVAL_S)
        self._instance = instance
        self._core = core
        self._peers = peers
        self._clock = clock
        self._sent_s_by_instance: dict[str, float] = {}

    def run_iteration(self) -> None:
        """Send a heartbeat to every peer that has answered the previous one."""
        view = self._core.state.membership.view
        self._peers.retain(view)
        now_s = self._clock.now_s()
        for peer in view.instance_by_id.values():
            sent_s = self._sent_s_by_instance.get(peer.id)
            if sent_s is not None and now_s - sent_s > HEARTBEAT_TIMEOUT_S:
                self._peers.reset(peer.id)
            elif sent_s is None and peer.id != self._instance:
                self._send_heartbeat(peer)

    def _send_heartbeat(self, peer: cluster_view.Instance) -> None:
        sent_s = self._clock.now_s()
        message = state_machine.build_heartbeat(self._core.state, sent_s, peer.failure_domain)
        self._sent_s_by_instance[peer.id] = sent_s
        answer = self._peers.ask(peer.id, message)
        answer.add_done_callback(lambda completed: self._handle_answer(peer.id, sent_s, completed))

    def _handle_answer(
        self, instance: str, sent_s: float, completed: futures.Future[messages.Message]
    ) -> None:
        self._sent_s_by_instance.pop(instance, None)
        error = completed.exception()
        if isinstance(error, errors.PeerRefusedError):
            self._core.tell(core_events.PeerRefused(instance, sent_s))
        elif error is None:
            answer = completed.result()
            if isinstance(answer, messages.Heartbeat):
                self._core.tell(core_events.PeerHeard(sent_s, answer))
