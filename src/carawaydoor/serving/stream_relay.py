"""Relays a stream to its caller and continues it at another upstream if the first one fails."""

from __future__ import annotations

import contextlib
from collections.abc import Generator, Iterator
from typing import Final

from carawaydoor.policy import (
    crash_suspects,
    drain,
    entities,
    health,
    stream_sequence,
    stream_versions,
)
from carawaydoor.serving import (
    connections,
    continuation_targets,
    event_reader,
    event_splitter,
    http_exchange,
    instance_state,
    protocol_adapter,
    sockets,
    stall_watch,
    stream_source,
    stream_speed,
    upstream_client,
)

# Interval between attempts to continue a broken stream while every upstream rejects it.
CONTINUATION_RETRY_INTERVAL_S: Final = 0.15
# Callers abandon a stream after a pause of two seconds.
MAX_CONTINUATION_TIME_S: Final = 1.5


class StreamRelay:
    """Relays one stream.

    :ivar response: response whose head the caller gets, None if it was wrong and no other is there
    """

    def __init__(
        self,
        instance: instance_state.InstanceState,
        client: upstream_client.UpstreamClient,
        adapter: protocol_adapter.ProtocolAdapter,
        exchange: http_exchange.HttpExchange,
        targets: continuation_targets.ContinuationTargets,
    ) -> None:
        self._instance = instance
        self._client = client
        self._adapter = adapter
        self._exchange = exchange
        self._targets = targets
        self._splitter = event_splitter.EventSplitter(instance.connection_pool.budget.reserve())
        exchange.cleanup.callback(self._splitter.close)
        self._sequence = stream_sequence.EventSequence(exchange.inbound.resumed_after)
        self._recorder = stream_source.StreamRecorder(instance, client, exchange, self._sequence)
        self._is_response_begun = False
        self.response: connections.UpstreamResponse | None = None
        self._used: set[str] = set()
        self._backup: entities.Upstream | None = None
        self._continuation: stream_source.StreamSource | None = None
        # Limits the offer of a stream that its upstream may still write.
        self._offer_limit: sockets.OfferWaitLimit | None = None

    def relay(
        self,
        upstream: entities.Upstream,
        opened: upstream_client.OpenResponse,
        backup: entities.Upstream | None = None,
    ) -> Iterator[bytes]:
        """Return the chunks of a stream; after an error the caller sees a truncated response.

        The first chunk is awaited here, since the caller can still get a refusal before it.

        :param backup: engine that keeps a copy of the KV cache, None for no copy
        :raises CallError: if the stream breaks off before its first event and does not go on
        """
        self._backup, self.response = backup, opened.response
        chunks = self._chunks(self._register(upstream, opened))
        try:
            first = next(chunks, b"")
        except (connections.UpstreamConnectionError, sockets.WaitAbortedError) as error:
            failure = upstream_client.classify_error(error)
            raise upstream_client.CallError(failure, str(error)) from error
        self._is_response_begun = True
        return event_splitter.with_first(first, chunks)

    def _register(
        self,
        upstream: entities.Upstream,
        opened: upstream_client.OpenResponse,
        is_continuation: bool = False,
    ) -> stream_source.StreamSource:
        self._used.add(upstream.id)
        log = stream_sequence.SequenceLog()
        source = stream_source.StreamSource(
            upstream,
            opened,
            stream_speed.StreamSpeed(self._instance, upstream, opened),
            log,
            event_reader.EventReader(self._splitter, self._sequence, log),
            is_continuation,
        )
        self._exchange.cleanup.callback(self._close, source)
        return source

    def _chunks(self, first: stream_source.StreamSource) -> Generator[bytes]:
        source = first
        while True:
            try:
                yield from self._content(source)
                return
            except (connections.UpstreamConnectionError, sockets.WaitAbortedError) as error:
                source.has_failed = True
                self._recorder.record_broken(source, error)
                # Two upstreams must not work on the stream at the same time.
                source.opened.connection.close()
                is_wrong = isinstance(error, event_reader.WrongContinuationError)
                if not (is_wrong or source.head.is_stream):
                    raise
                if is_wrong and not self._is_response_begun:
                    self.response = None
                continuation = self._continuation or self._continue_broken(error)
                if continuation is None:
                    raise
                self._continuation = None
                if self.response is None:
                    self.response = continuation.opened.response
                source = continuation

    def _content(self, source: stream_source.StreamSource) -> Iterator[bytes]:
        """Yield the content of a response; one that is not a stream of events is relayed whole.

        :raises WrongContinuationError: if it is not the rest of the stream that it was asked for
        """
        if not source.is_continuation:
            source.reader.check_head(source.head)
        if source.head.is_stream:
            yield from self._events(source)
            return
        body = source.opened.response.read_held()
        self._exchange.cleanup.callback(body.close)
        self._recorder.record_ended(source, 0)
        yield from body

    def _events(self, source: stream_source.StreamSource) -> Iterator[bytes]:
        """Yield complete events.

        :raises WrongContinuationError: if an event can't follow, or there is none of the rest
        :raises StreamEndedEarlyError: if the stream ended inside an event, or if its only framing
            is the end of the connection and it has no event
        """
        response = source.opened.response
        if self._may_continue():
            source.opened.connection.set_wait_limit(self._silence_limit(source))
        for chunk in response.chunks():
            expected_rest, after_event = source.reader.expects_rest, self._sequence.last_id
            batch = source.reader.read(chunk)
            if expected_rest and not source.reader.expects_rest and source.is_continuation:
                self._recorder.record_continued(source, after_event)
            if batch.content:
                self._record_begun(source)
                self._record_event(source)
                source.opened.connection.record_progress()
                yield batch.content
            if batch.defect is not None:
                raise event_reader.WrongContinuationError(batch.defect)
        incomplete_bytes = len(self._splitter.take_remainder())
        self._recorder.record_ended(source, incomplete_bytes)
        source.reader.check_end(response.framing, incomplete_bytes)
        if response.framing is not connections.Framing.CONNECTION_END:
            self._recorder.record_sound(source)
            return
        if not source.is_sound:
            self._client.crash_checks.check_survival_later(
                self._exchange, source.upstream, self._exchange.shared_parts
            )

    def _record_begun(self, source: stream_source.StreamSource) -> None:
        """Bind the stream to the version of the upstream whose event the caller gets first."""
        if self._exchange.required_version is not None:
            return
        self._exchange.required_version = source.upstream.version
        route = self._exchange.route
        if route is not None and route.kind is entities.RouteKind.RESUMABLE_STREAM:
            self._instance.streams.record_begun(self._exchange.stream_key, source.upstream)

    def _record_event(self, source: stream_source.StreamSource) -> None:
        now_s = self._instance.clock.now_s()
        source.speed.record(now_s, self._splitter.events)
        if source.first_event_s is None:
            source.first_event_s = now_s
        if source.running_s(now_s) >= crash_suspects.CRASH_ONSET_S:
            self._recorder.record_sound(source)

    def _may_continue(self) -> bool:
        route, service = self._exchange.route, self._exchange.service
        draining_for_s = self._instance.draining_for_s(self._instance.clock.now_s())
        grace_s = self._instance.options.bounds.grace_s
        if not self._sequence.can_go_on or self._is_suspended() or self._is_version_doubtful():
            return False
        if not drain.may_continue_stream(draining_for_s, grace_s):
            return False
        if service is not None and self._instance.reach.is_cut_off(service.name):
            # The caller can take the stream up by a peer.
            return False
        backup = self._instance.eligibility.with_copy(self._exchange, self._backup)
        return backup is not None or (route is not None and self._may_rerun(route))

    def _is_version_doubtful(self) -> bool:
        """Return whether the upstream had restarted when the stream began, unknown at that time."""
        origin = self._instance.streams.known(self._exchange.stream_key)
        return origin is not None and origin.version == stream_versions.UNKNOWN_VERSION

    def _is_suspended(self) -> bool:
        suspended_s = self._instance.crash_guard.suspended_for_s(
            self._exchange.fingerprint, self._exchange.shared_parts
        )
        return suspended_s > 0.0

    def _may_rerun(self, route: entities.Route) -> bool:
        """Return whether one more upstream may run the request from the last event on."""
        is_resumable = route.kind is entities.RouteKind.RESUMABLE_STREAM
        if not is_resumable or len(self._used) >= route.max_attempts:
            return False
        version, service = self._exchange.placement_version, self._exchange.service
        regions = self._exchange.allowed_regions
        return (
            version is None
            or service is None
            or self._instance.selector.serves_version(service.name, version, self._used, regions)
        )

    def _silence_limit(self, source: stream_source.StreamSource) -> sockets.StreamWaitLimit:
        watch = stall_watch.StallWatch(
            self._client,
            self._exchange,
            source.upstream,
            lambda timeout_s: self._offer_silent(source, timeout_s),
        )
        return sockets.StreamWaitLimit(
            self._instance.clock, self._exchange.deadline_s, self._exchange.inbound.is_gone, watch
        )

    def _offer_silent(self, source: stream_source.StreamSource, timeout_s: float) -> bool:
        """Offer a silent stream to another upstream; return whether that has accepted it.

        The stream is kept until then, since its upstream may only be slow, and it goes on there if
        an event arrives meanwhile.
        """
        if (
            not self._may_continue()
            or not self._instance.source.is_list_current()
            or source.opened.connection.has_bytes()
        ):
            return False
        clock = self._instance.clock
        deadline_s = min(self._exchange.deadline_s, clock.now_s() + timeout_s)
        self._offer_limit = sockets.OfferWaitLimit(
            clock, deadline_s, self._exchange.inbound.is_gone, source.opened.connection.has_bytes
        )
        try:
            self._continuation = self._continue_once()
        finally:
            self._offer_limit = None
        return self._continuation is not None

    def _continue_broken(self, error: Exception) -> stream_source.StreamSource | None:
        """Continue a stream whose upstream has failed; None if none accepts it in time."""
        match upstream_client.classify_error(error):
            case upstream_client.Failure.CALLER_GONE | upstream_client.Failure.SILENT:
                # The caller's deadline has passed in the second case.
                return None
        clock = self._instance.clock
        give_up_s = min(self._exchange.deadline_s, clock.now_s() + MAX_CONTINUATION_TIME_S)
        while self._may_continue() and not self._exchange.inbound.is_gone():
            # In an outdated list, another incarnation may have taken the id of a server.
            if self._instance.source.is_list_current():
                continuation = self._continue_once()
                if continuation is not None:
                    return continuation
            if clock.now_s() + CONTINUATION_RETRY_INTERVAL_S >= give_up_s:
                break
            self._instance.selector.wait_for_release(CONTINUATION_RETRY_INTERVAL_S)
        return None

    def _continue_once(self) -> stream_source.StreamSource | None:
        """Offer the stream to the engine with the copy of its KV cache, then to another one."""
        backup = self._instance.eligibility.with_copy(self._exchange, self._backup)
        if backup is not None and not stream_versions.matches(
            backup, self._exchange.placement_version
        ):
            # Made for an engine that failed before its first event.
            self._backup = backup = None
        if backup is not None and self._exchange.permits.hold(backup):
            kv_source = self._adapter.backup_kv_source(backup, self._exchange.inbound.id)
            continuation = self._continue_at(backup, kv_source)
            if continuation is not None:
                # The copy is used up.
                self._backup = None
                return continuation
            self._exchange.permits.give_back(backup)
        return self._continue_without_copy()

    def _continue_without_copy(self) -> stream_source.StreamSource | None:
        """Have another upstream run the request again and go on after the last event."""
        route, service = self._exchange.route, self._exchange.service
        if route is None or service is None or not self._may_rerun(route):
            return None
        target = self._targets.reserve(self._exchange, frozenset(self._used))
        if target is None:
            return None
        reservation = contextlib.ExitStack()
        reservation.callback(self._instance.selector.release, target.upstream.id, target.work)
        continuation = self._continue_at(target.upstream, "")
        if continuation is None:
            reservation.close()
            self._exchange.permits.give_back(target.upstream)
            return None
        self._exchange.cleanup.push(reservation)
        # The copy lacks what this upstream writes.
        self._backup = None
        return continuation

    def _continue_at(
        self, upstream: entities.Upstream, kv_source: str
    ) -> stream_source.StreamSource | None:
        """Continue the stream at an upstream after the last complete event; None if that fails."""
        service, request_id = self._exchange.service, self._exchange.inbound.id
        if service is None or not self._instance.may_retry(request_id, service.name):
            return None
        left_s = self._exchange.deadline_s - self._instance.clock.now_s()
        request = protocol_adapter.UpstreamRequest(
            upstream,
            left_s,
            kv_source=kv_source,
            last_event_id=self._sequence.last_id,
            goes_on_from_copy=bool(kv_source),
        )
        outcome, head, opened = "continued", None, None
        try:
            opened = self._client.send(self._exchange, request, wait_limit=self._offer_limit)
        except upstream_client.CallError as error:
            outcome = error.failure.value
            if not error.failure.did_not_run:
                self._exclude(upstream)
        if opened is not None:
            head = event_splitter.head_of(opened.response)
            defect = self._head_defect(head)
            if defect is not None:
                opened.connection.close()
                outcome, opened = f"wrong {defect.value}", None
                self._exclude(upstream)
                self._recorder.record_wrong_head(upstream, head)
        self._recorder.record_moved(request, outcome, head)
        if opened is None:
            return None
        opened.connection.set_wait_limit(
            sockets.CallerWaitLimit(
                self._instance.clock, self._exchange.deadline_s, self._exchange.inbound.is_gone
            )
        )
        self._splitter.discard_incomplete()
        return self._register(upstream, opened, is_continuation=True)

    def _head_defect(self, head: stream_sequence.Head) -> stream_sequence.Defect | None:
        begun = None if self.response is None else event_splitter.head_of(self.response)
        return stream_sequence.head_defect(head, begun)

    def _exclude(self, upstream: entities.Upstream) -> None:
        """Don't send the stream to an upstream again that may have begun to work on it."""
        self._used.add(upstream.id)
        if self._backup is not None and self._backup.id == upstream.id:
            self._backup = None

    def _close(self, source: stream_source.StreamSource) -> None:
        opened = source.opened
        if opened.response.is_complete and not source.has_failed:
            self._instance.connection_pool.release(opened.connection, opened.response)
            self._instance.selector.record_outcome(source.upstream, health.Outcome.ANSWERED)
        else:
            opened.connection.close()
