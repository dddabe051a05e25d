"""Observes how fast a decode engine writes a stream."""

from __future__ import annotations

from carawaydoor.policy import entities, learned_capacity
from carawaydoor.serving import instance_state, upstream_client


class StreamSpeed:
    """Observes one stream of one engine, some events at a time.

    :param opened: response with the stream
    """

    def __init__(
        self,
        instance: instance_state.InstanceState,
        upstream: entities.Upstream,
        opened: upstream_client.OpenResponse,
    ) -> None:
        self._instance = instance
        self._upstream = upstream
        self._observed_s = opened.response.requested_s
        self._observed_events: int | None = None

    def record(self, now_s: float, events: int) -> None:
        """Record that events have arrived; other upstreams than decode engines are not observed.

        :param events: number of complete events of the stream so far
        """
        upstream, capacity = self._upstream, self._instance.capacity
        if upstream.stage is not entities.Stage.DECODE:
            return
        requests = self._instance.selector.load.at(upstream.id).requests
        took_s = now_s - self._observed_s
        if self._observed_events is None:
            kind = learned_capacity.Kind.FIRST_EVENT
            capacity.observe(upstream, kind, max(1, requests), took_s)
        elif not capacity.observe_events(
            upstream, requests, events - self._observed_events, took_s
        ):
            return
        self._observed_s, self._observed_events = now_s, events
