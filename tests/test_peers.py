"""Connections to peers recover when a peer stops answering or reading."""

from __future__ import annotations

import socket
import threading
import time
from concurrent import futures

import pytest

from carawaydoor.coordination import (
    cluster_view,
    core_events,
    core_state,
    core_task,
    messages,
    ownership,
    trace,
)
from carawaydoor.interface import errors
from carawaydoor.links import peer_client, peer_connection
from carawaydoor.operating import clocks

ANSWER_TIMEOUT_S = 5.0


class UnansweredPeerClient(peer_client.PeerClient):
    """A client that records messages and resets; no peer answers."""

    def __init__(self, instance: str, core: core_task.CoreTask) -> None:
        super().__init__(instance, core)
        self.asked_instances: list[str] = []
        self.reset_instances: list[str] = []
        self.answers: list[futures.Future[messages.Message]] = []

    def ask(self, instance: str, message: messages.Message) -> futures.Future[messages.Message]:
        """Record the message and return a future that stays open."""
        self.asked_instances.append(instance)
        self.answers.append(futures.Future())
        return self.answers[-1]

    def reset(self, instance: str) -> None:
        """Record the reset and fail the pending answer, as a lost connection does."""
        self.reset_instances.append(instance)
        self.answers[-1].set_exception(errors.PeerUnreachableError("lost"))


def test_connection_without_heartbeat_answers_is_reset() -> None:
    """A connection is reset if a heartbeat has no answer; then another heartbeat is sent."""
    clock = clocks.ManualClock()
    member = ownership.create("a", "n", "fd", ownership.Timing(), clock.now_s())
    core = core_task.CoreTask(core_state.create(member, b""), clock, trace.NullRecorder())
    instance_by_id = {
        each: cluster_view.Instance(each, "fd", "", 1, cluster_view.Presence.LIVE) for each in "ab"
    }
    core.handle(
        (core_events.ViewArrived(cluster_view.View(1, instance_by_id, {}), clock.now_s()), None)
    )
    client = UnansweredPeerClient("a", core)
    heartbeats = peer_client.HeartbeatTask("a", core, client, clock)
    for _ in range(4):
        heartbeats.run_iteration()
        clock.advance(1.0)
    assert client.asked_instances == ["b"]
    clock.advance(1.0)
    heartbeats.run_iteration()
    assert client.reset_instances == ["b"]
    heartbeats.run_iteration()
    assert client.asked_instances == ["b", "b"]


def test_abort_fails_the_answers_of_a_blocked_connection() -> None:
    """Aborting a connection whose peer does not read fails the pending answers."""
    listener = socket.create_server(("127.0.0.1", 0))
    connection = peer_connection.PeerConnection("127.0.0.1", listener.getsockname()[1])
    connection.start()
    answer: peer_connection.AnswerFuture = peer_connection.AnswerFuture()
    large_message = messages.RevisionFetched(b"x" * 20_000_000, ())
    connection.post(peer_connection.OutgoingMessage(large_message, answer))
    accepted, _ = listener.accept()
    time.sleep(0.2)
    threading.Thread(target=connection.abort).start()
    with pytest.raises(errors.PeerUnreachableError):
        answer.result(ANSWER_TIMEOUT_S)
    accepted.close()
    listener.close()
