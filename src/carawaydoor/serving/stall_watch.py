"""Decides when a stream that has fallen silent is offered to another upstream."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

import eliot

from carawaydoor.policy import entities
from carawaydoor.serving import http_exchange, sockets, upstream_client

# Longer than any pause of a stream that meets its targets. From then on the upstream is checked.
CHECK_AFTER_S: Final = 0.9
# Upstreams are near; one that does not respond in this time has failed.
CHECK_TIMEOUT_S: Final = 0.3
# A sound upstream may be silent for a second or so, as engines are that preempt a request. Callers
# abandon a stream after a pause of two seconds and more.
MAX_SOUND_SILENCE_S: Final = 2.2
# Two upstreams must not work on a stream for longer than 0.4 s. One that accepts it begins its
# response at once.
OFFER_OF_SILENT_TIMEOUT_S: Final = 0.3
# An upstream that does not respond does not notice a cancellation either.
OFFER_OF_FAILED_TIMEOUT_S: Final = 1.0
# Pause between two offers of a stream whose upstream has failed.
OFFER_INTERVAL_S: Final = 0.6


class StallWatch(sockets.SilenceHandler):
    """Watches the silences of one stream.

    :param offer: offers the stream to other upstreams for at most some seconds, and returns whether
        one has accepted it
    """

    def __init__(
        self,
        client: upstream_client.UpstreamClient,
        exchange: http_exchange.HttpExchange,
        upstream: entities.Upstream,
        offer: Callable[[float], bool],
    ) -> None:
        self._client = client
        self._exchange = exchange
        self._upstream = upstream
        self._offer = offer
        # None until it was checked in this silence.
        self._responds: bool | None = None
        self._was_offered = False

    def record_progress(self) -> None:
        """Forget what was found out, since the stream has gone on."""
        self._responds = None
        self._was_offered = False

    def next_check_s(self, silent_s: float) -> float:
        """Return after how many seconds of silence to call :meth:`replace`."""
        if self._responds is None:
            return CHECK_AFTER_S
        if not self._responds:
            return silent_s + OFFER_INTERVAL_S
        return float("inf") if self._was_offered else MAX_SOUND_SILENCE_S

    def replace(self, silent_s: float) -> bool:
        """Check the upstream, or offer the stream elsewhere; return whether it goes on there."""
        if self._responds is None:
            self._responds = self._client.responds(self._upstream, CHECK_TIMEOUT_S)
            eliot.log_message(
                message_type="stream_silent",
                request=self._exchange.inbound.id,
                upstream=self._upstream.id,
                silent_s=round(silent_s, 3),
                responds=self._responds,
            )
        if not self._responds:
            return self._offer(OFFER_OF_FAILED_TIMEOUT_S)
        if silent_s < MAX_SOUND_SILENCE_S:
            return False
        self._was_offered = True
        return self._offer(OFFER_OF_SILENT_TIMEOUT_S)
