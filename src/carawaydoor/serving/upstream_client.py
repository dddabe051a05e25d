"""Sends requests to upstreams, checks the responses and records how each call ended."""

from __future__ import annotations

import dataclasses
import enum
from typing import Final

import eliot

from carawaydoor.policy import entities, health, upstream_directory
from carawaydoor.serving import (
    connections,
    crash_checks,
    event_splitter,
    http_exchange,
    instance_state,
    protocol_adapter,
    response_budget,
    retry_delay,
    sockets,
    upstream_eligibility,
)

MIN_FAILURE_STATUS = 500
# An engine drops an unused KV cache by itself at about this age.
KV_RELEASE_TIMEOUT_S = 0.5
MAX_LOGGED_UNKNOWN_HEADERS = 16


class Failure(enum.Enum):
    """Why a call gave no response for the caller."""

    NOT_SENT = "not_sent"
    TURNED_AWAY = "turned_away"
    LIMITED = "limited"
    REJECTED = "rejected"
    MISDIRECTED = "misdirected"
    BROKEN = "broken"
    MALFORMED = "malformed"
    SILENT = "silent"
    ABANDONED = "abandoned"
    CALLER_GONE = "caller_gone"
    EVACUATED = "evacuated"
    NOT_ALLOWED = "not_allowed"
    LEFT = "left"

    @property
    def did_not_run(self) -> bool:
        """Whether the upstream has certainly not run the request."""
        return self.was_not_sent or self in (Failure.REJECTED, Failure.MISDIRECTED)

    @property
    def was_not_sent(self) -> bool:
        """Whether no byte of the request was sent."""
        return self in (
            Failure.NOT_SENT,
            Failure.TURNED_AWAY,
            Failure.LIMITED,
            Failure.EVACUATED,
            Failure.NOT_ALLOWED,
            Failure.LEFT,
        )


_OUTCOME_BY_FAILURE = {
    Failure.NOT_SENT: health.Outcome.UNREACHABLE,
    Failure.REJECTED: health.Outcome.FULL,
    Failure.MISDIRECTED: health.Outcome.OTHER_INCARNATION,
    Failure.BROKEN: health.Outcome.BROKEN,
    Failure.MALFORMED: health.Outcome.BROKEN,
    Failure.SILENT: health.Outcome.SILENT,
}

_FAILURE_BY_OBSTACLE = {
    upstream_eligibility.Obstacle.EVACUATED: Failure.EVACUATED,
    upstream_eligibility.Obstacle.REGION: Failure.NOT_ALLOWED,
    upstream_eligibility.Obstacle.LEAVING: Failure.LEFT,
    upstream_eligibility.Obstacle.GONE: Failure.LEFT,
    upstream_eligibility.Obstacle.REPLACED: Failure.LEFT,
}


class CallError(Exception):
    """A call gave no response for the caller."""

    def __init__(self, failure: Failure, detail: str) -> None:
        super().__init__(f"{failure.value}: {detail}")
        self.failure = failure
        self.detail = detail


@dataclasses.dataclass(frozen=True, slots=True)
class OpenResponse:
    """A genuine response whose body has not been read yet, with its connection."""

    connection: connections.Connection
    response: connections.UpstreamResponse


class UpstreamClient:
    """Makes the upstream calls of one instance."""

    def __init__(
        self, instance: instance_state.InstanceState, adapter: protocol_adapter.ProtocolAdapter
    ) -> None:
        self._instance = instance
        self._adapter = adapter
        self.crash_checks: Final = crash_checks.CrashChecker(instance)
        # Covers reports and stage orders as well.
        instance.connection_pool.on_request = instance.upstream_limiter.record_sent
        instance.connection_pool.on_response = self._apply_notice
        self._logged_unknown_headers: set[str] = set()

    def _apply_notice(
        self, upstream: entities.Upstream, response: connections.UpstreamResponse
    ) -> None:
        notice = self._adapter.decode_notice(
            response.status, response.header_by_name, response.request_id, response.is_first
        )
        if notice is None:
            return
        if notice.is_leaving:
            self._instance.update_directory(
                upstream_directory.SaidLeaving(upstream.id, upstream.born_ms)
            )
        if notice.retry_after:
            self._apply_retry_after(upstream, notice)
        self._instance.upstream_limiter.record_text(upstream, notice.limit, response.requested_s)
        self._instance.cold_limits.record_text(upstream, notice.cold_ms)
        self._log_unknown_headers(upstream, notice.unknown_headers)

    def _log_unknown_headers(self, upstream: entities.Upstream, names: tuple[str, ...]) -> None:
        """Log notices that this version can't obey, once for each name."""
        for name in names:
            if (
                name in self._logged_unknown_headers
                or len(self._logged_unknown_headers) >= MAX_LOGGED_UNKNOWN_HEADERS
            ):
                continue
            self._logged_unknown_headers.add(name)
            eliot.log_message(
                message_type="upstream_notice_unknown", upstream=upstream.id, header=name[:64]
            )

    def _apply_retry_after(
        self, upstream: entities.Upstream, notice: protocol_adapter.UpstreamNotice
    ) -> None:
        try:
            delay_s = retry_delay.parse(
                notice.retry_after, notice.date, self._instance.clock.wall_s()
            )
        except retry_delay.RetryDelayError as error:
            self._instance.selector.turned_away.report_malformed(upstream, str(error))
            return
        self._instance.selector.turned_away.record(upstream, delay_s)

    def connect(
        self,
        exchange: http_exchange.HttpExchange,
        upstream: entities.Upstream,
        has_copy: bool = False,
    ) -> connections.Connection:
        """Return a connection to an upstream.

        :param has_copy: whether it holds the only copy of the KV cache of a stream that broke off
        :raises CallError: if none can be established, or the upstream must get no request
        """
        self._check_eligible(exchange, upstream, has_copy)
        try:
            return self._instance.connection_pool.acquire(upstream, request_id=exchange.inbound.id)
        except connections.NotSentError as error:
            exchange.unreachable_upstreams.add(upstream.id)
            raise self._call_error(exchange, upstream, Failure.NOT_SENT, error) from error

    def _check_eligible(
        self,
        exchange: http_exchange.HttpExchange,
        upstream: entities.Upstream,
        has_copy: bool = False,
    ) -> None:
        """Raise an error if an upstream that was chosen earlier must get no request now.

        :param has_copy: whether it holds the only copy of the KV cache of a stream that broke off
        :raises CallError: if its failure domain was evacuated, its region is not allowed any more, it
            leaves, is gone or was replaced, or has asked for no requests
        """
        obstacle = self._instance.eligibility.obstacle_now(exchange, upstream, has_copy)
        if obstacle is not None:
            detail = f"failure domain {upstream.domain}: {obstacle.value}"
            raise self._call_error(exchange, upstream, _FAILURE_BY_OBSTACLE[obstacle], detail)
        if self._instance.selector.turned_away.remaining_s(upstream) > 0.0:
            detail = "it wants no requests for a while"
            raise self._call_error(exchange, upstream, Failure.TURNED_AWAY, detail)

    def send(
        self,
        exchange: http_exchange.HttpExchange,
        request: protocol_adapter.UpstreamRequest,
        attempt_deadline_s: float | None = None,
        connection: connections.Connection | None = None,
        wait_limit: sockets.WaitLimit | None = None,
    ) -> OpenResponse:
        """Send a request and return the response once its headers have arrived.

        :param attempt_deadline_s: time in seconds at which to give up, None for the deadline of
            the request
        :param connection: connection to use, None for one from the pool
        :param wait_limit: limit on each wait, None for the deadline and the caller's disconnect
        :raises CallError: if no genuine response arrives
        """
        deadline_s = exchange.deadline_s if attempt_deadline_s is None else attempt_deadline_s
        if wait_limit is None:
            wait_limit = sockets.CallerWaitLimit(
                self._instance.clock, deadline_s, exchange.inbound.is_gone
            )
        upstream, has_copy = request.upstream, request.goes_on_from_copy
        is_open = connection is None or connection.is_reusable()
        if connection is None:
            connection = self.connect(exchange, upstream, has_copy)
        try:
            # Much may have changed while a prompt was prefilled, or the connection was made.
            self._check_eligible(exchange, upstream, has_copy)
            if not is_open:
                detail = "the connection was closed before the request was sent"
                raise self._call_error(exchange, upstream, Failure.NOT_SENT, detail)
        except CallError:
            connection.close()
            raise
        encoded = self._adapter.encode_request(
            exchange, self._with_usable_backup(exchange, request)
        )
        if not exchange.permits.use(request.upstream):
            connection.close()
            detail = "its limit leaves no request for this instance now"
            raise self._call_error(exchange, request.upstream, Failure.LIMITED, detail)
        try:
            response = connection.send(encoded, wait_limit)
        except (connections.UpstreamConnectionError, sockets.WaitAbortedError) as error:
            connection.close()
            # A prefill writes no output, so it is not the prompt that ends its engine.
            suspect_parts = () if request.prefill_only else exchange.shared_parts
            raise self._call_error(
                exchange, request.upstream, classify_error(error), error, suspect_parts
            ) from error
        check = self._adapter.check_response(
            exchange, response.status, response.header_by_name, response.is_first
        )
        if check.did_not_run:
            self._discard_body(connection, response)
            is_misdirected = check.is_other_incarnation
            failure = Failure.MISDIRECTED if is_misdirected else Failure.REJECTED
            detail = f"status {response.status}"
            raise self._call_error(exchange, request.upstream, failure, detail)
        # The response to a prefill has no stamp, but a late one to an earlier request may arrive.
        if check.is_of_other_request or not (check.is_genuine or request.prefill_only):
            connection.close()
            detail = f"status {response.status}, but not as a response to this request"
            raise self._call_error(exchange, request.upstream, Failure.MALFORMED, detail)
        return OpenResponse(connection, response)

    def _with_usable_backup(
        self, exchange: http_exchange.HttpExchange, request: protocol_adapter.UpstreamRequest
    ) -> protocol_adapter.UpstreamRequest:
        """Return a request without the engine for its copy if that must get none any more."""
        backup = request.backup
        if backup is None or self._instance.eligibility.obstacle_now(exchange, backup) is None:
            return request
        return dataclasses.replace(request, backup=None)

    def read_body(
        self,
        exchange: http_exchange.HttpExchange,
        upstream: entities.Upstream,
        opened: OpenResponse,
    ) -> response_budget.HeldBody:
        """Return the whole body of a response and release its connection to the pool.

        :raises CallError: if the body is incomplete, or too large
        """
        try:
            body = opened.response.read_held()
        except (connections.UpstreamConnectionError, sockets.WaitAbortedError) as error:
            opened.connection.close()
            raise self._call_error(exchange, upstream, classify_error(error), error) from error
        exchange.cleanup.callback(body.close)
        is_stream = event_splitter.head_of(opened.response).is_declared_stream
        if is_stream and event_splitter.ends_inside_event(body.end):
            opened.connection.close()
            detail = "the stream ended inside an event"
            raise self._call_error(exchange, upstream, Failure.BROKEN, detail)
        self._instance.connection_pool.release(opened.connection, opened.response)
        failed = opened.response.status >= MIN_FAILURE_STATUS
        self._instance.selector.record_outcome(
            upstream, health.Outcome.FAILED if failed else health.Outcome.ANSWERED
        )
        return body

    def responds(self, upstream: entities.Upstream, timeout_s: float) -> bool:
        """Return whether an upstream responds to a request beside those that it runs.

        Plain upstreams, and engines that want no requests, are only asked for a connection.

        :param timeout_s: longest wait in seconds
        """
        deadline_s = self._instance.clock.now_s() + timeout_s
        try:
            connection = self._instance.connection_pool.acquire(
                upstream, new_only=True, connect_timeout_s=timeout_s
            )
        except connections.NotSentError:
            # The caller of this function logs the outcome.
            return False
        try:
            if upstream.stage is entities.Stage.NONE or self._wants_no_requests(upstream):
                return True
            wait_limit = sockets.CallerWaitLimit(self._instance.clock, deadline_s, lambda: False)
            request = self._adapter.encode_report_request(upstream)
            connection.send(request, wait_limit).read()
        except (connections.UpstreamConnectionError, sockets.WaitAbortedError):
            return False
        finally:
            connection.close()
        return True

    def _wants_no_requests(self, upstream: entities.Upstream) -> bool:
        return (
            self._instance.evacuation.is_evacuated(upstream)
            or self._instance.selector.turned_away.remaining_s(upstream) > 0.0
            or self._instance.upstream_limiter.limit_per_s(upstream) is not None
        )

    def release_kv(
        self, exchange: http_exchange.HttpExchange, upstream: entities.Upstream, kv_source: str
    ) -> None:
        """Release the KV cache of a prompt that no engine will fetch.

        A failure is only logged, since the engine soon drops the cache by itself. For the same
        reason, nothing is sent to an engine that is evacuated, rejects requests or names a limit.
        """
        if self._wants_no_requests(upstream):
            return
        now_s = self._instance.clock.now_s()
        wait_limit = sockets.CallerWaitLimit(
            self._instance.clock, now_s + KV_RELEASE_TIMEOUT_S, lambda: False
        )
        outcome = "released"
        try:
            connection = self._instance.connection_pool.acquire(upstream)
            try:
                response = connection.send(
                    self._adapter.encode_release(upstream, kv_source), wait_limit
                )
                response.read()
            except (connections.UpstreamConnectionError, sockets.WaitAbortedError):
                connection.close()
                raise
            self._instance.connection_pool.release(connection, response)
        except (connections.UpstreamConnectionError, sockets.WaitAbortedError) as error:
            outcome = repr(error)
        eliot.log_message(
            message_type="prompt_released",
            request=exchange.inbound.id,
            upstream=upstream.id,
            outcome=outcome,
        )

    def _discard_body(
        self, connection: connections.Connection, response: connections.UpstreamResponse
    ) -> None:
        try:
            response.read()
        except (connections.UpstreamConnectionError, sockets.WaitAbortedError):
            # A rejection needs no body, but without its end the connection cannot be reused.
            connection.close()
            return
        self._instance.connection_pool.release(connection, response)

    def _call_error(
        self,
        exchange: http_exchange.HttpExchange,
        upstream: entities.Upstream,
        failure: Failure,
        detail: object,
        suspect_parts: tuple[str, ...] = (),
    ) -> CallError:
        """Record a failure and return the error to raise."""
        outcome = _OUTCOME_BY_FAILURE.get(failure)
        if outcome is not None:
            self._instance.selector.record_outcome(upstream, outcome)
        if failure is Failure.BROKEN:
            self.crash_checks.check_later(exchange, upstream, suspect_parts)
        eliot.log_message(
            message_type="upstream_call_failed",
            request=exchange.inbound.id,
            upstream=upstream.id,
            failure=failure.value,
            detail=str(detail),
            attempt=exchange.attempts,
            left_s=round(exchange.deadline_s - self._instance.clock.now_s(), 3),
        )
        return CallError(failure, str(detail))


def classify_error(error: Exception) -> Failure:
    """Return the failure of a call for an error of its connection or of a wait."""
    match error:
        case sockets.CallerDisconnectedError():
            return Failure.CALLER_GONE
        case sockets.OfferEndedError():
            return Failure.ABANDONED
        case sockets.DeadlineExceededError() | sockets.StreamStalledError():
            return Failure.SILENT
        case connections.EvacuatedError():
            return Failure.EVACUATED
        case connections.NotSentError():
            return Failure.NOT_SENT
        case connections.MalformedResponseError() | sockets.TooManyBytesError():
            return Failure.MALFORMED
        case _:
            return Failure.BROKEN
