"""Relays the events of a stream that a peer passes on, up to the first one that can't follow.

A peer may run an older version, or another process may have its address.
"""

from __future__ import annotations

from collections.abc import Generator, Iterator

import eliot

from carawaydoor.policy import stream_sequence
from carawaydoor.serving import (
    connections,
    event_reader,
    event_splitter,
    http_exchange,
    response_budget,
    sockets,
)


class PeerStream:
    """The response of a peer to a request on a streaming route."""

    def __init__(
        self,
        exchange: http_exchange.HttpExchange,
        peer: str,
        response: connections.UpstreamResponse,
        budget: response_budget.ResponseBudget,
    ) -> None:
        self._request_id = exchange.inbound.id
        self._peer = peer
        self._response = response
        self._head = event_splitter.head_of(response)
        self._splitter = event_splitter.EventSplitter(budget.reserve())
        exchange.cleanup.callback(self._splitter.close)
        self._sequence = stream_sequence.EventSequence(exchange.inbound.resumed_after)
        self._log = stream_sequence.SequenceLog()
        self._reader = event_reader.EventReader(self._splitter, self._sequence, self._log)

    def relay(self) -> Iterator[bytes] | None:
        """Return the events; after an error the caller sees a truncated response.

        The first chunk is awaited here, since the caller can still get a refusal before it.

        :return: None if the response is a failure or a document
        :raises WrongContinuationError: if it is not the rest of the stream that it was asked for
        :raises UpstreamConnectionError: if the stream breaks off before its first event
        :raises WaitAbortedError: if the deadline passes or the caller disconnects before it
        """
        try:
            self._reader.check_head(self._head)
        except event_reader.WrongContinuationError as error:
            self._record_broken(error)
            raise
        if not self._head.is_stream:
            return None
        events = self._events()
        return event_splitter.with_first(next(events, b""), events)

    def _events(self) -> Generator[bytes]:
        try:
            for chunk in self._response.chunks():
                batch = self._reader.read(chunk)
                if batch.content:
                    yield batch.content
                if batch.defect is not None:
                    raise event_reader.WrongContinuationError(batch.defect)
            incomplete_bytes = len(self._splitter.take_remainder())
            self._reader.check_end(self._response.framing, incomplete_bytes)
        except (connections.UpstreamConnectionError, sockets.WaitAbortedError) as error:
            self._record_broken(error)
            raise

    def _record_broken(self, error: Exception) -> None:
        eliot.log_message(
            message_type="peer_stream_broken",
            request=self._request_id,
            peer=self._peer,
            status=self._head.status,
            after_event=self._sequence.last_id,
            first_event=self._log.first_id,
            framing=self._response.framing.value,
            detail=repr(error),
        )
