"""Relays a stream to its caller and resumes it at a backup engine if the first one fails."""

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

# Longer than any pause of a stream that meets its targets, and well below the time after which
# callers abandon a stream.
STREAM_STALL_TIMEOUT_S: Final = 1.2


class StreamRelay:
    """Relays one stream."""

    def __init__(
        self,
        instance: instance_state.InstanceState,
        client: upstream_client.UpstreamClient,
        adapter: protocol_adapter.ProtocolAdapter,
        exchange: http_exchange.HttpExchange,
    ) -> None:
        self._instance = instance
        self._client = client
        self._adapter = adapter
        self._exchange = exchange
        self._splitter = event_splitter.EventSplitter(exchange.inbound.last_event_id)

    def relay(
        self,
        decode: entities.Upstream,
        opened: upstream_client.OpenResponse,
        backup: entities.Upstream | None,
    ) -> Iterator[bytes]:
        """Return the chunks of a stream; after an error the caller sees a truncated response.

        :param backup: engine that keeps a copy of the KV cache, None for no copy
        """
        # Registered here, since the iterator never runs if the caller disconnects before the first
        # chunk.
        self._exchange.cleanup.callback(self._close, decode, opened)
        return self._chunks(decode, opened, backup)

    def _chunks(
        self,
        decode: entities.Upstream,
        opened: upstream_client.OpenResponse,
        backup: entities.Upstream | None,
    ) -> Iterator[bytes]:
        try:
            yield from self._complete_events(opened, backup is not None)
            return
        except (connections.UpstreamConnectionError, sockets.WaitAbortedError) as error:
            self._record_break(decode, error)
            if (
                backup is None
                or upstream_client.classify_error(error) is upstream_client.Failure.CALLER_GONE
            ):
                raise
            opened.connection.close()
            resumed = self._resume_at_backup(backup)
            if resumed is None:
                raise
        yield from self._complete_events(resumed, False)

    def _complete_events(
        self, opened: upstream_client.OpenResponse, has_backup: bool
    ) -> Iterator[bytes]:
        """Yield complete events, and at the end of the stream the bytes after the last one.

        :param has_backup: whether the stream can be resumed, so that a stall ends the wait
        """
        if has_backup:
            opened.connection.set_wait_limit(self._stall_limit())
        for chunk in opened.response.chunks():
            complete = self._splitter.feed(chunk)
            if complete:
                opened.connection.record_progress()
                yield complete
        remainder = self._splitter.take_remainder()
        if remainder:
            yield remainder

    def _stall_limit(self) -> sockets.StreamWaitLimit:
        return sockets.StreamWaitLimit(
            self._instance.clock,
            self._exchange.deadline_s,
            self._exchange.inbound.is_gone,
            STREAM_STALL_TIMEOUT_S,
        )

    def _resume_at_backup(self, backup: entities.Upstream) -> upstream_client.OpenResponse | None:
        """Resume the stream at the engine with the copy of the KV cache; None if that fails."""
        service, request_id = self._exchange.service, self._exchange.inbound.id
        if service is None or not self._instance.may_retry(request_id, service.name):
            return None
        self._splitter.discard_incomplete()
        left_s = self._exchange.deadline_s - self._instance.clock.now_s()
        kv_source = self._adapter.backup_kv_source(backup, self._exchange.inbound.id)
        last_id = self._splitter.last_id
        request = protocol_adapter.UpstreamRequest(
            backup, left_s, kv_source=kv_source, last_event_id=last_id
        )
        outcome = "continued"
        opened = None
        try:
            opened = self._client.send(self._exchange, request)
        except upstream_client.CallError as error:
            outcome = error.failure.value
        if opened is not None and opened.response.status >= upstream_client.MIN_FAILURE_STATUS:
            opened.connection.close()
            outcome, opened = f"status {opened.response.status}", None
        if opened is not None:
            self._exchange.cleanup.callback(self._close, backup, opened)
        eliot.log_message(
            message_type="stream_moved",
            request=self._exchange.inbound.id,
            upstream=backup.id,
            after_event=last_id,
            outcome=outcome,
        )
        return opened

    def _record_break(self, decode: entities.Upstream, error: Exception) -> None:
        failure = upstream_client.classify_error(error)
        if failure is upstream_client.Failure.SILENT:
            self._instance.selector.record_outcome(decode, health.Outcome.SILENT)
        elif failure is not upstream_client.Failure.CALLER_GONE:
            self._instance.selector.record_outcome(decode, health.Outcome.BROKEN)
            self._client.check_for_crash(self._exchange, decode)
        eliot.log_message(
            message_type="stream_broken",
            request=self._exchange.inbound.id,
            upstream=decode.id,
            failure=failure.value,
            after_event=self._splitter.last_id,
            detail=repr(error),
        )

    def _close(self, decode: entities.Upstream, opened: upstream_client.OpenResponse) -> None:
        if opened.response.is_complete:
            self._instance.connection_pool.release(opened.connection, opened.response)
            self._instance.selector.record_outcome(decode, health.Outcome.ANSWERED)
        else:
            opened.connection.close()
