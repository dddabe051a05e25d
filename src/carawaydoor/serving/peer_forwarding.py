"""Passes requests on to a peer while this instance reaches no upstream of their service.

A peer serves it like a caller's, apart from what this instance has already done: the charge to the
usage cap and the count for the retry budget. A read without a response goes to a second peer in time.
"""

from __future__ import annotations

import random
from collections.abc import Iterator
from typing import Final

import eliot
import expression
import pydantic

from carawaydoor.fleet import gossip
from carawaydoor.policy import entities
from carawaydoor.serving import (
    connections,
    http_exchange,
    instance_state,
    peer_stream,
    plain_handler,
    protocol_adapter,
    refusals,
    request_filters,
    sockets,
    upstream_client,
)

# Peers that are asked one after the other, if they can't be connected to or are cut off as well.
MAX_PEERS: Final = 3
# Peers are near, so a longer wait means that this one has failed.
CONNECT_TIMEOUT_S: Final = 0.2
# A suspended peer counts as silent sooner; one that still reports may stay unable to respond.
NO_RESPONSE_MEMORY_S: Final = 5.0
# Refusals of a peer that another one may not share.
_REASONS_TO_ASK_ANOTHER: Final = frozenset(
    {
        refusals.Reason.CUT_OFF.value,
        refusals.Reason.CONFIGURATION_BEHIND.value,
        refusals.Reason.UPSTREAMS_STALE.value,
    }
)
# Of the responses that instances give themselves.
_MIN_REFUSAL_STATUS: Final = 400


class _Problem(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="ignore", strict=True)

    type: str


class PeerForwarder:
    """Passes requests on to peers, and their responses back."""

    def __init__(
        self, instance: instance_state.InstanceState, adapter: protocol_adapter.ProtocolAdapter
    ) -> None:
        self._instance = instance
        self._adapter = adapter
        self._pool = connections.ConnectionPool(instance.clock, instance.connection_pool.budget)
        self._random = random.Random()
        self._no_response_s_by_peer: dict[str, float] = {}

    def forward(self, exchange: http_exchange.HttpExchange) -> request_filters.HandlerResult | None:
        """Have a peer serve a request that this instance has sent to no upstream.

        :return: None if no peer took it; then it was sent nowhere
        """
        service = exchange.service
        assert service is not None
        candidates = self._candidates(exchange, service.name)
        elsewhere = 0
        failed: request_filters.HandlerResult | None = None
        for number, peer in enumerate(candidates, start=1):
            if not self._instance.eligibility.allows_peer(exchange, peer.domain):
                # The configuration has changed since.
                continue
            may_repeat = number < len(candidates) and self._may_repeat(exchange, elsewhere)
            # One attempt is left for the next peer.
            kept = 1 if may_repeat else 0
            deadline_s = self._attempt_deadline_s(exchange, may_repeat)
            try:
                result = self._send(exchange, peer, deadline_s, elsewhere + kept)
            except connections.NotSentError as error:
                self._log(exchange, peer, repr(error))
                continue
            except sockets.DeadlineExceededError as error:
                self._log(exchange, peer, repr(error))
                self._no_response_s_by_peer[peer.id] = self._instance.clock.now_s()
                failed = _failed(error, peer)
                request_id = exchange.inbound.id
                if not (may_repeat and self._instance.may_retry(request_id, service.name)):
                    return failed
                elsewhere = exchange.max_attempts - kept
                continue
            except (connections.UpstreamConnectionError, sockets.WaitAbortedError) as error:
                # The peer may have sent the request to an upstream.
                self._log(exchange, peer, repr(error))
                return _failed(error, peer)
            if result is not None:
                return result
        return failed

    def _may_repeat(self, exchange: http_exchange.HttpExchange, elsewhere: int) -> bool:
        """Return whether the route allows an attempt after all that the next peer may make.

        :param elsewhere: attempts that former peers may have made
        """
        route = exchange.route
        return (
            route is not None
            and not route.kind.forbids_rerun
            and route.max_attempts - elsewhere > 1
            and gossip.all_bound_attempts(self._instance.membership)
        )

    def _attempt_deadline_s(self, exchange: http_exchange.HttpExchange, may_repeat: bool) -> float:
        """Return when to give up a peer, which may be suspended; another one can serve the rest."""
        now_s = self._instance.clock.now_s()
        share = plain_handler.ATTEMPT_TIMEOUT_SHARE if may_repeat else 1.0
        return now_s + (exchange.deadline_s - now_s) * share

    def _candidates(
        self, exchange: http_exchange.HttpExchange, service: str
    ) -> list[entities.Upstream]:
        """Return the peers to ask, those of this failure domain first, else in random order.

        Only those that may get the body of the request are asked. Those that left a request without a response lately come last.
        """
        now_s = self._instance.clock.now_s()
        reaching = gossip.peers_reaching(self._instance.membership, now_s, service)
        peers = gossip.recently_heard(reaching, now_s)
        options = self._instance.options
        hops = [
            entities.Upstream(
                each.contact.instance,
                "",
                each.contact.host,
                options.first_port,
                each.report.domain,
                1,
                entities.Stage.NONE,
                False,
                each.report.incarnation,
            )
            for each in peers
            if each.report is not None
            and self._instance.eligibility.allows_peer(exchange, each.report.domain)
        ]
        self._random.shuffle(hops)
        unresponsive = self._unresponsive_since(now_s - NO_RESPONSE_MEMORY_S)
        hops.sort(key=lambda each: (each.id in unresponsive, each.domain != options.domain))
        return hops[:MAX_PEERS]

    def _unresponsive_since(self, since_s: float) -> frozenset[str]:
        """Return the peers that left a request without a response, and forget older cases."""
        for peer, failed_s in tuple(self._no_response_s_by_peer.items()):
            if failed_s < since_s:
                self._no_response_s_by_peer.pop(peer, None)
        return frozenset(self._no_response_s_by_peer)

    def _send(
        self,
        exchange: http_exchange.HttpExchange,
        peer: entities.Upstream,
        deadline_s: float,
        attempts_elsewhere: int,
    ) -> request_filters.HandlerResult | None:
        """Return what a peer responds, None if it reaches no upstream either or is behind.

        :param attempts_elsewhere: attempts that other peers may have made or may make

        :raises NotSentError: if the peer can't be connected to
        :raises UpstreamConnectionError: if the connection fails after that
        :raises WaitAbortedError: if the deadline passes or the caller disconnects
        """
        connection = self._pool.acquire(peer, new_only=True, connect_timeout_s=CONNECT_TIMEOUT_S)
        exchange.cleanup.callback(connection.close)
        clock = self._instance.clock
        wait_limit = sockets.CallerWaitLimit(clock, deadline_s, exchange.inbound.is_gone)
        encoded = self._adapter.encode_forwarded(
            exchange,
            exchange.deadline_s - clock.now_s(),
            self._instance.options.instance,
            attempts_elsewhere,
        )
        try:
            response = connection.send(encoded, wait_limit)
        except sockets.WaitAbortedError:
            # Has the peer stop its work, if it still does any.
            connection.close()
            raise
        self._no_response_s_by_peer.pop(peer.id, None)
        connection.set_wait_limit(
            sockets.CallerWaitLimit(clock, exchange.deadline_s, exchange.inbound.is_gone)
        )
        check = self._adapter.check_response(
            exchange, response.status, response.header_by_name, response.is_first
        )
        if check.is_of_other_request:
            raise connections.MalformedResponseError("the response is to another request")
        if not check.is_genuine and response.status < _MIN_REFUSAL_STATUS:
            raise connections.MalformedResponseError("neither an upstream nor a peer responded")
        events: Iterator[bytes] | None = None
        if check.is_genuine and exchange.route is not None and exchange.route.kind.is_stream:
            budget = self._instance.connection_pool.budget
            stream = peer_stream.PeerStream(exchange, peer.id, response, budget)
            try:
                events = stream.relay()
            except (connections.UpstreamConnectionError, sockets.WaitAbortedError) as error:
                # The peer has sent the request to an upstream, so no other one is asked.
                connection.close()
                return _failed(error, peer)
        content = b"" if check.is_genuine else response.read()
        if not check.is_genuine and response.status == refusals.Status.UNAVAILABLE:
            reason = _reason(content)
            self._log(exchange, peer, f"refused: {reason}")
            if reason in _REASONS_TO_ASK_ANOTHER:
                return None
        else:
            self._log(exchange, peer, f"status {response.status}")
        is_refused = not check.is_genuine and response.status in (
            refusals.Status.UNAVAILABLE,
            refusals.Status.TOO_MANY_REQUESTS,
        )
        if is_refused and exchange.admitted_amount > 0.0:
            self._instance.refund(exchange.workspace_name, exchange.admitted_amount)
        length: int | None = None
        if events is not None:
            chunks = events
        elif not check.is_genuine:
            chunks, length = iter([content]), len(content)
        elif response.framing is connections.Framing.LENGTH:
            body = response.read_held()
            exchange.cleanup.callback(body.close)
            chunks, length = body, body.length
        else:
            chunks = response.chunks()
        return expression.Ok(
            http_exchange.Response(
                response.status, response.reason, response.headers, chunks, length, peer.id
            )
        )

    def _log(
        self, exchange: http_exchange.HttpExchange, peer: entities.Upstream, outcome: str
    ) -> None:
        eliot.log_message(
            message_type="request_forwarded",
            request=exchange.inbound.id,
            service=exchange.service.name if exchange.service else "",
            peer=peer.id,
            outcome=outcome,
            left_s=round(exchange.deadline_s - self._instance.clock.now_s(), 3),
        )


def _failed(error: Exception, peer: entities.Upstream) -> request_filters.HandlerResult:
    """Return the refusal of a request that the peer may have sent to an upstream."""
    call_error = upstream_client.CallError(upstream_client.classify_error(error), str(error))
    return expression.Error(plain_handler.refusal_for(call_error, peer))


def _reason(content: bytes) -> str:
    """Return why a peer refused a request, empty if it does not say."""
    try:
        return _Problem.model_validate_json(content).type
    except pydantic.ValidationError as error:
        eliot.log_message(message_type="refusal_of_peer_malformed", detail=repr(error))
        return ""
