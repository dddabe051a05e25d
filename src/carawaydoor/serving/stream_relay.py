"""Relays a stream to its caller, and goes on with it at another engine where one is lost."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Final

import eliot

from carawaydoor.policy import entities, health
from carawaydoor.serving import (
    connections,
    event_splitter,
    http_exchange,
    instance_state,
    protocol_adapter,
    sockets,
    upstream_client,
)

# Time in seconds without an event after which a run that has a copy goes on there: beyond any
# pause that is on time, and well before callers give a stream up.
SILENT_STREAM_S: Final = 1.2


class StreamRelay:
    """Relays one stream."""

    def __init__(
        self,
        instance: instance_state.InstanceState,
        caller: upstream_client.UpstreamClient,
        adapter: protocol_adapter.ProtocolAdapter,
        exchange: http_exchange.HttpExchange,
    ) -> None:
        self._instance = instance
        self._caller = caller
        self._adapter = adapter
        self._exchange = exchange
        self._splitter = event_splitter.EventSplitter(exchange.inbound.last_event_id)

    def relay(
        self,
        decode: entities.Upstream,
        begun: upstream_client.OpenResponse,
        backup: entities.Upstream | None,
    ) -> Iterator[bytes]:
        """Yield the pieces of a stream; an error cuts the caller's answer off visibly.

        :param backup: engine that keeps a copy of the run's memory, None for no copy
        """
        # A caller that leaves before the first piece never starts the iterator.
        self._exchange.cleanup.callback(self._end, decode, begun)
        return self._pieces(decode, begun, backup)

    def _pieces(
        self,
        decode: entities.Upstream,
        begun: upstream_client.OpenResponse,
        backup: entities.Upstream | None,
    ) -> Iterator[bytes]:
        try:
            yield from self._whole_events(begun, backup is not None)
            return
        except (connections.UpstreamConnectionError, sockets.WaitAbortedError) as error:
            self._note(decode, error)
            if (
                backup is None
                or upstream_client.failure_of(error) is upstream_client.Failure.CALLER_GONE
            ):
                raise
            begun.connection.close()
            continued = self._continue(backup)
            if continued is None:
                raise
        yield from self._whole_events(continued, False)

    def _whole_events(self, begun: upstream_client.OpenResponse, can_move: bool) -> Iterator[bytes]:
        """Yield whole events, and at the end of the stream whatever follows the last one.

        :param can_move: whether another engine can go on, so that silence need not be waited out
        """
        if can_move:
            begun.connection.watch(self._stream_watch())
        for piece in begun.answer.pieces():
            whole = self._splitter.feed(piece)
            if whole:
                begun.connection.progress()
                yield whole
        rest = self._splitter.rest()
        if rest:
            yield rest

    def _stream_watch(self) -> sockets.StreamWaitLimit:
        return sockets.StreamWaitLimit(
            self._instance.clock,
            self._exchange.deadline_s,
            self._exchange.inbound.is_gone,
            SILENT_STREAM_S,
        )

    def _continue(self, backup: entities.Upstream) -> upstream_client.OpenResponse | None:
        """Go on with the run at the engine that keeps a copy of its memory."""
        service, request = self._exchange.service, self._exchange.inbound.id
        if service is None or not self._instance.may_repeat(request, service.name):
            return None
        self._splitter.drop_rest()
        left_s = self._exchange.deadline_s - self._instance.clock.now_s()
        kv_source = self._adapter.backup_kv_source(backup, self._exchange.inbound.id)
        last_id = self._splitter.last_id
        send = protocol_adapter.UpstreamRequest(
            backup, left_s, kv_source=kv_source, last_event_id=last_id
        )
        outcome = "continued"
        begun = None
        try:
            begun = self._caller.begin(self._exchange, send)
        except upstream_client.CallError as error:
            outcome = error.failure.value
        if begun is not None and begun.answer.status >= upstream_client.FIRST_FAILURE_STATUS:
            begun.connection.close()
            outcome, begun = f"status {begun.answer.status}", None
        if begun is not None:
            self._exchange.cleanup.callback(self._end, backup, begun)
        eliot.log_message(
            message_type="stream_moved",
            request=self._exchange.inbound.id,
            upstream=backup.id,
            after_event=last_id,
            outcome=outcome,
        )
        return begun

    def _note(self, decode: entities.Upstream, error: Exception) -> None:
        failure = upstream_client.failure_of(error)
        if failure is upstream_client.Failure.SILENT:
            self._instance.selector.record(decode, health.Outcome.SILENT)
        elif failure is not upstream_client.Failure.CALLER_GONE:
            self._instance.selector.record(decode, health.Outcome.BROKEN)
            self._caller.look_for_crash(self._exchange, decode)
        eliot.log_message(
            message_type="stream_broken",
            request=self._exchange.inbound.id,
            upstream=decode.id,
            failure=failure.value,
            after_event=self._splitter.last_id,
            detail=repr(error),
        )

    def _end(self, decode: entities.Upstream, begun: upstream_client.OpenResponse) -> None:
        if begun.answer.is_complete:
            self._instance.connection_pool.release(begun.connection, begun.answer)
            self._instance.selector.record(decode, health.Outcome.ANSWERED)
        else:
            begun.connection.close()
