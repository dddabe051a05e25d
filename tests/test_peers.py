"""Links to peers recover from connections that hang."""

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

PATIENCE_S = 5.0


class SilentPeers(peer_client.PeerClient):
    """Peers that never answer."""

    def __init__(self, instance: str, owner: core_task.CoreTask) -> None:
        super().__init__(instance, owner)
        self.asked: list[str] = []
        self.broken: list[str] = []
        self.answers: list[futures.Future[messages.Message]] = []

    def ask(self, instance: str, message: messages.Message) -> futures.Future[messages.Message]:
        """Record the question."""
        self.asked.append(instance)
        self.answers.append(futures.Future())
        return self.answers[-1]

    def reset(self, instance: str) -> None:
        """Record the reset, and fail the open question as a lost connection does."""
        self.broken.append(instance)
        self.answers[-1].set_exception(errors.PeerUnreachableError("lost"))


def test_hanging_connection_is_broken_off() -> None:
    """A heartbeat that stays unanswered has its connection broken off, and is sent again."""
    clock = clocks.ManualClock()
    member = ownership.create("a", "n", "fd", ownership.Timing(), clock.now_s())
    owner = core_task.CoreTask(core_state.create(member, b""), clock, trace.NullRecorder())
    listed = {
        each: cluster_view.Instance(each, "fd", "", 1, cluster_view.Presence.LIVE) for each in "ab"
    }
    owner.handle((core_events.ViewArrived(cluster_view.View(1, listed, {}), clock.now_s()), None))
    silent = SilentPeers("a", owner)
    heartbeats = peer_client.HeartbeatTask("a", owner, silent, clock)
    for _ in range(4):
        heartbeats.run_iteration()
        clock.advance(1.0)
    assert silent.asked == ["b"]
    clock.advance(1.0)
    heartbeats.run_iteration()
    assert silent.broken == ["b"]
    heartbeats.run_iteration()
    assert silent.asked == ["b", "b"]


def test_link_that_can_not_write_is_aborted() -> None:
    """A link whose peer takes nothing ends its open questions when it is aborted."""
    listener = socket.create_server(("127.0.0.1", 0))
    blocked = peer_connection.PeerConnection("127.0.0.1", listener.getsockname()[1])
    blocked.start()
    answer: peer_connection.AnswerFuture = peer_connection.AnswerFuture()
    filling = messages.RevisionFetched(b"x" * 20_000_000, ())
    blocked.post(peer_connection.OutgoingMessage(filling, answer))
    accepted, _ = listener.accept()
    time.sleep(0.2)
    threading.Thread(target=blocked.abort).start()
    with pytest.raises(errors.PeerUnreachableError):
        answer.result(PATIENCE_S)
    accepted.close()
    listener.close()
