"""An upstream that a stream comes from, and the record of what happens to it."""

from __future__ import annotations

import dataclasses
from typing import Final

import eliot

from carawaydoor.policy import crash_suspects, entities, health, stream_sequence
from carawaydoor.serving import (
    event_reader,
    event_splitter,
    http_exchange,
    instance_state,
    protocol_adapter,
    stream_speed,
    upstream_client,
)

MAX_LOGGED_TYPE_CHARACTERS: Final = 80
_MIN_REFUSAL_STATUS: Final = 400
_DEFECTS_AT_THE_END: Final = frozenset(
    {stream_sequence.Defect.NO_EVENT, stream_sequence.Defect.WITHOUT_ID}
)


@dataclasses.dataclass(slots=True)
class StreamSource:
    """The upstream that a stream comes from, with its response.

    :ivar speed: observes how fast the upstream writes
    :ivar log: how its events follow each other
    :ivar reader: reads its events
    :ivar is_continuation: whether the upstream was asked after a break in the same response
    :ivar has_failed: whether the upstream broke the stream off
    :ivar first_event_s: time in seconds of the upstream's first event, None before it
    :ivar is_sound: whether the upstream has gone on for so long that the prompt is not what ends it
    """

    upstream: entities.Upstream
    opened: upstream_client.OpenResponse
    speed: stream_speed.StreamSpeed
    log: stream_sequence.SequenceLog
    reader: event_reader.EventReader
    is_continuation: bool
    has_failed: bool = False
    first_event_s: float | None = None
    is_sound: bool = False

    @property
    def head(self) -> stream_sequence.Head:
        """What the head of the response says of its body."""
        return event_splitter.head_of(self.opened.response)

    def running_s(self, now_s: float) -> float:
        """Return for how many seconds the upstream has been writing the stream."""
        return 0.0 if self.first_event_s is None else now_s - self.first_event_s


class StreamRecorder:
    """Records what happens to one stream in logs, metrics and the health of its upstreams."""

    def __init__(
        self,
        instance: instance_state.InstanceState,
        client: upstream_client.UpstreamClient,
        exchange: http_exchange.HttpExchange,
        sequence: stream_sequence.EventSequence,
    ) -> None:
        self._instance = instance
        self._client = client
        self._exchange = exchange
        self._sequence = sequence

    def record_continued(self, source: StreamSource, after_event: str) -> None:
        """Record the first events of an upstream after a break."""
        eliot.log_message(
            message_type="stream_continued",
            request=self._exchange.inbound.id,
            upstream=source.upstream.id,
            after_event=after_event,
            first_event=source.log.first_id,
        )

    def record_ended(self, source: StreamSource, incomplete_bytes: int) -> None:
        """Record that an upstream has ended its stream."""
        framing = source.opened.response.framing.value
        ended_inside_event = str(incomplete_bytes > 0).lower()
        self._instance.metrics.stream_ends.add(
            1, {"framing": framing, "inside_event": ended_inside_event}
        )
        eliot.log_message(
            message_type="stream_ended",
            request=self._exchange.inbound.id,
            upstream=source.upstream.id,
            status=source.opened.response.status,
            framing=framing,
            last_event=self._sequence.last_id,
            incomplete_bytes=incomplete_bytes,
            content_type=source.head.content_type[:MAX_LOGGED_TYPE_CHARACTERS],
            is_continuation=source.is_continuation,
            first_event=source.log.first_id,
            events=_counts(source.log),
        )

    def record_sound(self, source: StreamSource) -> None:
        """Record that the prompt does not end its upstreams."""
        if not source.is_sound and source.first_event_s is not None:
            source.is_sound = True
            exchange = self._exchange
            self._instance.crash_guard.record_sound(exchange.fingerprint, exchange.shared_parts)

    def record_broken(self, source: StreamSource, error: Exception) -> None:
        """Record that the stream of an upstream broke off, or that its response is not the rest."""
        upstream, failure = source.upstream, upstream_client.classify_error(error)
        running_s = source.running_s(self._instance.clock.now_s())
        match error:
            case event_reader.WrongContinuationError():
                self._record_wrong(source.upstream, error.defect)
            case _ if failure is upstream_client.Failure.SILENT:
                self._instance.selector.record_outcome(upstream, health.Outcome.SILENT)
            case _ if failure is not upstream_client.Failure.CALLER_GONE:
                self._instance.selector.record_outcome(upstream, health.Outcome.BROKEN)
                if running_s < crash_suspects.CRASH_ONSET_S:
                    self._client.crash_checks.check_at_onset(self._exchange, upstream)
                else:
                    self._client.crash_checks.check_later(self._exchange, upstream)
        eliot.log_message(
            message_type="stream_broken",
            request=self._exchange.inbound.id,
            upstream=upstream.id,
            version=upstream.version,
            failure=failure.value,
            after_event=self._sequence.last_id,
            framing=source.opened.response.framing.value,
            first_event=source.log.first_id,
            events=_counts(source.log),
            running_s=round(running_s, 3),
            detail=repr(error),
        )

    def record_wrong_head(self, upstream: entities.Upstream, head: stream_sequence.Head) -> None:
        """Record that the head of an upstream's response is not that of the rest of a stream."""
        if not _MIN_REFUSAL_STATUS <= head.status < upstream_client.MIN_FAILURE_STATUS:
            self._record_wrong(upstream, stream_sequence.Defect.STATUS)

    def _record_wrong(self, upstream: entities.Upstream, defect: stream_sequence.Defect) -> None:
        """Count a wrong continuation as a failure of its upstream unless that may be right.

        What a caller names may be wrong, and a stream may have lost only its end.
        """
        if not self._sequence.is_empty and defect not in _DEFECTS_AT_THE_END:
            self._instance.selector.record_outcome(upstream, health.Outcome.FAILED)

    def record_moved(
        self,
        request: protocol_adapter.UpstreamRequest,
        outcome: str,
        head: stream_sequence.Head | None,
    ) -> None:
        """Record that the rest of a stream was asked for at another upstream.

        :param head: of its response, None for no response
        """
        eliot.log_message(
            message_type="stream_moved",
            request=self._exchange.inbound.id,
            upstream=request.upstream.id,
            version=request.upstream.version,
            has_copy=bool(request.kv_source),
            after_event=request.last_event_id,
            left_s=round(request.time_left_s, 3),
            outcome=outcome,
            status=head.status if head else None,
            content_type=head.content_type[:MAX_LOGGED_TYPE_CHARACTERS] if head else "",
        )
        self._instance.metrics.stream_continuations.add(1, {"outcome": outcome})


def _counts(log: stream_sequence.SequenceLog) -> dict[str, int]:
    """Return how many events followed in which way, without the ways that did not occur."""
    return {step.value: count for step, count in log.count_by_step.items() if count}
