"""Bounds the streams that an instance relays at the same time."""

from __future__ import annotations

import threading
from typing import Final

from carawaydoor.serving import http_exchange, refusals

# Each stream occupies a thread; fewer than the threads for callers, so that some remain for other
# requests.
MAX_CONCURRENT_STREAMS: Final = 56
# By then a short stream has usually ended and freed its slot.
BUSY_RETRY_AFTER_S: Final = 1.0


class StreamSlots:
    """The slots of one instance."""

    def __init__(self) -> None:
        self._slots = threading.BoundedSemaphore(MAX_CONCURRENT_STREAMS)

    def reserve(self, exchange: http_exchange.HttpExchange) -> refusals.Refusal | None:
        """Reserve a slot until the request ends; return a refusal if none is free."""
        if not self._slots.acquire(blocking=False):
            return refusals.Refusal(
                refusals.Reason.INSTANCE_BUSY,
                "this instance relays its maximum of streams",
                BUSY_RETRY_AFTER_S,
            )
        exchange.cleanup.callback(self._slots.release)
        return None
