"""Learns of evacuated failure domains from peers where the source can't tell of them."""

from __future__ import annotations

import threading
from typing import Final

import eliot

from carawaydoor.fleet import source_relay
from carawaydoor.operating import clocks
from carawaydoor.policy import evacuation, source_position
from carawaydoor.serving import instance_state

# Peers that are asked one after the other, if one gives no response.
MAX_PEERS: Final = 2
# Longest wait of an instance that has started for the first report of a peer, some rounds of them.
PEER_WAIT_S: Final = 1.0
PEER_POLL_INTERVAL_S: Final = 0.02
# Bounds the calls and the log lines while peers give no valid response, as those of earlier releases.
ASK_INTERVAL_S: Final = 1.0


class PeerEvacuations:
    """Asks peers which failure domains are evacuated."""

    def __init__(self, instance: instance_state.InstanceState, clock: clocks.Clock) -> None:
        self._instance = instance
        self._clock = clock
        self._wait_until_s = clock.now_s() + PEER_WAIT_S
        self._heard_revision = 0
        self._asked_s = float("-inf")

    def hear_during_outage(self, revision: int) -> None:
        """Apply what a peer knows that has read the source since this instance did.

        :param revision: position up to which this instance has read the source itself
        """
        if self._clock.now_s() - self._asked_s < ASK_INTERVAL_S:
            return
        known = max(revision, self._heard_revision)
        heard = self._ask(known)
        if heard is None or heard.revision <= known:
            return
        self._heard_revision = heard.revision
        self._instance.evacuation.apply(evacuation.Snapshot(heard.domains, evacuation.Origin.PEER))

    def hear_at_start(self, revision: int, stop_requested: threading.Event) -> None:
        """Apply what peers know, if the source may be a copy that lacks evacuations.

        An instance that has just started does not know when the last restore was.

        :param revision: position of the first read of the source
        """
        if not source_position.era_of(revision):
            return
        while self._instance.is_without_heard_peers() and self._clock.now_s() < self._wait_until_s:
            stop_requested.wait(PEER_POLL_INTERVAL_S)
        heard = self._ask(0)
        if heard is not None:
            self._instance.evacuation.apply(evacuation.HeardAtStart(heard.domains))

    def _ask(self, after: int) -> source_relay.RelayedEvacuations | None:
        hosts = self._instance.source.informed_hosts(after)[:MAX_PEERS]
        if hosts:
            self._asked_s = self._clock.now_s()
        for host in hosts:
            try:
                return source_relay.fetch_evacuations(host, self._instance.options.first_port)
            except source_relay.RelayError as error:
                eliot.log_message(message_type="relay_failed", peer=host, detail=str(error))
        return None
