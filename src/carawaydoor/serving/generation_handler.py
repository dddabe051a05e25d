"""Serves generations: one engine prefills the prompt, another one decodes."""

from __future__ import annotations

import http
from typing import Final

import eliot
import expression

from carawaydoor.policy import capacity_wait, entities, load
from carawaydoor.serving import (
    continuation_targets,
    generation_placement,
    http_exchange,
    instance_state,
    memory_holds,
    plain_handler,
    protocol_adapter,
    refusals,
    request_filters,
    stream_beginning,
    stream_relay,
    upstream_client,
)

# Time beyond the expected queueing and prefill after which the attempt is abandoned.
PREFILL_MARGIN_S: Final = 1.0
# Once as many engines have rejected a prefilled prompt, its KV cache has probably expired.
MAX_REJECTIONS_OF_KV_CACHE: Final = 2
# Assumed for a request without token counts.
DEFAULT_PROMPT: Final = entities.Prompt(1000, 100, 100)


class GenerationHandler(request_filters.RequestHandler):
    """Places a generation on engines, has its prompt prefilled and relays its events."""

    def __init__(
        self,
        instance: instance_state.InstanceState,
        client: upstream_client.UpstreamClient,
        adapter: protocol_adapter.ProtocolAdapter,
    ) -> None:
        super().__init__(instance)
        self._client = client
        self._adapter = adapter
        self._placer = generation_placement.GenerationPlacer(
            instance, client, memory_holds.MemoryHolds(instance, adapter)
        )

    def handle(self, exchange: http_exchange.HttpExchange) -> request_filters.HandlerResult:
        """Return the response as a stream."""
        busy = self._instance.stream_slots.reserve(exchange)
        if busy is not None:
            return expression.Error(busy)
        service = exchange.service
        assert service is not None
        prompt = exchange.inbound.prompt or DEFAULT_PROMPT
        arrival = self._describe_arrival(exchange)
        exchange.engine_priority = self._instance.urgency.priority_for_engines(exchange)
        placed = self._placer.place(exchange, service, prompt, arrival)
        if placed is None:
            if not self._placer.may_begin():
                return expression.Error(request_filters.leaving_refusal())
            return expression.Error(self._no_room_refusal(exchange, service, arrival))
        try:
            kv_source = self._prefill(placed)
        except upstream_client.CallError as error:
            placed.decode_reservation.close()
            return expression.Error(plain_handler.refusal_for(error, placed.decode))
        return self._start_decode(placed, kv_source)

    def _describe_arrival(self, exchange: http_exchange.HttpExchange) -> capacity_wait.Arrival:
        route, inbound = exchange.route, exchange.inbound
        assert route is not None
        first_sent_s = self._instance.first_sent_s(
            route.name, inbound.timeout_s, exchange.received_s
        )
        target_s = min(route.target_s, route.timeout_s)
        return capacity_wait.Arrival(
            exchange.received_s,
            first_sent_s,
            exchange.deadline_s,
            target_s,
            self._instance.urgency.return_share(exchange),
        )

    def _no_room_refusal(
        self,
        exchange: http_exchange.HttpExchange,
        service: entities.Service,
        arrival: capacity_wait.Arrival,
    ) -> refusals.Refusal:
        not_eligible = self._instance.eligibility.refusal(exchange, entities.Stage.DECODE)
        if not_eligible is not None:
            return not_eligible
        unreachable = stream_beginning.unreachable_refusal(self._instance, exchange)
        if unreachable is not None:
            return unreachable
        regions = exchange.allowed_regions
        turned_away_s = self._instance.selector.turned_away_retry_s(
            service.name, entities.Stage.DECODE, regions
        )
        if turned_away_s is not None:
            detail = f"all decode engines of service {service.name} turn requests away"
            return refusals.Refusal(refusals.Reason.TURNED_AWAY, detail, turned_away_s)
        limited_s = self._instance.selector.limited_retry_s(
            service.name, entities.Stage.DECODE, regions
        )
        if limited_s is not None:
            detail = f"the limits of the decode engines of service {service.name} leave none"
            return refusals.Refusal(refusals.Reason.LIMITED, detail, limited_s)
        retry_after_s = capacity_wait.retry_after_s(arrival, self._instance.clock.now_s())
        detail = f"no engine of service {service.name} has free capacity"
        return refusals.Refusal(refusals.Reason.NO_ROOM, detail, retry_after_s)

    def _prefill(self, placed: generation_placement.PlacedGeneration) -> str:
        """Have the prompt prefilled and return the location of its KV cache, empty without one.

        :raises CallError: if the caller has disconnected
        """
        prefill, exchange = placed.chosen.prefill, placed.exchange
        if prefill is None:
            return ""
        now_s = self._instance.clock.now_s()
        own = load.Work(-1, -placed.prompt.tokens)
        queued = self._instance.selector.load.at(prefill.id).plus(own)
        attempt_deadline_s = min(
            exchange.deadline_s, now_s + placed.chosen.prefill_wait_s + PREFILL_MARGIN_S
        )
        request = protocol_adapter.UpstreamRequest(
            prefill, exchange.deadline_s - now_s, prefill_only=True
        )
        call = self._instance.capacity.begin_prefill(prefill, placed.prompt.tokens, queued)
        is_done, prefilled = False, None
        try:
            opened = self._client.send(exchange, request, attempt_deadline_s)
            content = b"".join(self._client.read_body(exchange, prefill, opened))
            if opened.response.status == http.HTTPStatus.OK:
                prefilled = self._adapter.parse_prefill(prefill, content)
            is_done = prefilled is not None
        except upstream_client.CallError as error:
            if error.failure is upstream_client.Failure.CALLER_GONE:
                raise
            if error.failure is upstream_client.Failure.REJECTED:
                self._instance.record_rejected_prefill(placed.service.name)
            # The client has logged the failure; the decode engine can prefill the prompt itself.
            return ""
        finally:
            self._instance.capacity.end_prefill(call, is_done)
            placed.prefill_reservation.close()
        if prefilled is None:
            eliot.log_message(
                message_type="prompt_not_read",
                request=exchange.inbound.id,
                upstream=prefill.id,
                status=opened.response.status,
            )
            return ""
        return prefilled.kv_source

    def _start_decode(
        self, placed: generation_placement.PlacedGeneration, kv_source: str
    ) -> request_filters.HandlerResult:
        """Start the decoding, at another engine if the first one rejects the request."""
        exchange = placed.exchange
        excluded: set[str] = set()
        rejecting: set[str] = set()
        while True:
            suspended_s = self._instance.crash_guard.suspended_for_s(
                exchange.fingerprint, exchange.shared_parts
            )
            if suspended_s > 0.0:
                placed.connection.close()
                placed.decode_reservation.close()
                self._release_kv_later(placed, kv_source)
                return expression.Error(
                    refusals.Refusal(
                        refusals.Reason.SUSPENDED,
                        "engines crashed on this prompt while it was prefilled",
                        suspended_s,
                    )
                )
            backup = self._reserve_backup(placed)
            kv_source = self._usable_kv_source(placed, kv_source)
            try:
                opened = self._send_decode(placed, kv_source, backup)
            except upstream_client.CallError as error:
                placed.decode_reservation.close()
                excluded.add(placed.decode.id)
                if kv_source and error.failure is upstream_client.Failure.REJECTED:
                    rejecting.add(placed.decode.id)
                    if len(rejecting) >= MAX_REJECTIONS_OF_KV_CACHE:
                        self._give_up_kv_cache(placed, kv_source, rejecting)
                        kv_source, excluded = "", excluded - rejecting
                refusal = plain_handler.refusal_for(error, placed.decode)
                if error.failure.did_not_run:
                    refusal = self._no_room_refusal(
                        exchange, placed.service, self._describe_arrival(exchange)
                    )
                if not self._may_retry(placed, error) or not self._placer.connect_other_decode(
                    placed, frozenset(excluded)
                ):
                    self._release_kv_later(placed, kv_source)
                    return expression.Error(refusal)
                continue
            targets = continuation_targets.DecodeTargets(
                self._instance.selector, placed.service, placed.prompt
            )
            relay = stream_relay.StreamRelay(
                self._instance, self._client, self._adapter, exchange, targets
            )
            try:
                chunks = relay.relay(placed.decode, opened, backup)
            except upstream_client.CallError as error:
                return expression.Error(plain_handler.refusal_for(error, placed.decode))
            response = relay.response or opened.response
            return expression.Ok(
                http_exchange.Response(
                    response.status,
                    response.reason,
                    response.headers,
                    chunks,
                    None,
                    placed.decode.id,
                )
            )

    def _reserve_backup(
        self, placed: generation_placement.PlacedGeneration
    ) -> entities.Upstream | None:
        backup = self._instance.selector.reserve_backup(
            placed.service, placed.prompt, placed.decode, placed.exchange.allowed_regions
        )
        if backup is not None:
            backup_work = load.Work(0, placed.prompt.mean_kv_tokens)
            placed.decode_reservation.callback(
                self._instance.selector.release, backup.id, backup_work
            )
        return backup

    def _may_retry(
        self, placed: generation_placement.PlacedGeneration, error: upstream_client.CallError
    ) -> bool:
        """Return whether a generation that an engine did not run may be sent to another one."""
        if error.failure.was_not_sent:
            return True
        request = placed.exchange.inbound.id
        return error.failure.did_not_run and self._instance.may_retry(request, placed.service.name)

    def _send_decode(
        self,
        placed: generation_placement.PlacedGeneration,
        kv_source: str,
        backup: entities.Upstream | None,
    ) -> upstream_client.OpenResponse:
        exchange = placed.exchange
        exchange.attempts += 1
        left_s = exchange.deadline_s - self._instance.clock.now_s()
        request = protocol_adapter.UpstreamRequest(
            placed.decode,
            left_s,
            kv_source=kv_source,
            backup=backup,
            last_event_id=exchange.inbound.last_event_id,
            hold=self._use_hold(placed),
        )
        return self._client.send(exchange, request, connection=placed.connection)

    def _usable_kv_source(
        self, placed: generation_placement.PlacedGeneration, kv_source: str
    ) -> str:
        """Return the location of the KV cache, empty if its engine must not be asked for it."""
        prefill = placed.chosen.prefill
        if not kv_source or prefill is None:
            return kv_source
        obstacle = self._instance.eligibility.obstacle(placed.exchange, prefill)
        if obstacle is None:
            return kv_source
        eliot.log_message(
            message_type="kv_cache_not_used",
            request=placed.exchange.inbound.id,
            upstream=prefill.id,
            domain=prefill.domain,
            obstacle=obstacle.value,
        )
        self._release_kv_later(placed, kv_source)
        return ""

    def _use_hold(self, placed: generation_placement.PlacedGeneration) -> str:
        """Return the id of the memory held at the decode engine, which one offer uses up."""
        hold = placed.hold
        if hold is None or hold.is_used or hold.upstream.id != placed.decode.id:
            return ""
        hold.is_used = True
        return hold.id

    def _give_up_kv_cache(
        self, placed: generation_placement.PlacedGeneration, kv_source: str, rejecting: set[str]
    ) -> None:
        """Have the decode engine prefill the prompt; those that rejected it may have room."""
        self._release_kv_later(placed, kv_source)
        self._instance.selector.withdraw_rejections(rejecting)
        eliot.log_message(
            message_type="kv_cache_given_up",
            request=placed.exchange.inbound.id,
            kv_source=kv_source,
            rejected_by=sorted(rejecting),
        )

    def _release_kv_later(
        self, placed: generation_placement.PlacedGeneration, kv_source: str
    ) -> None:
        prefill = placed.chosen.prefill
        if kv_source and prefill is not None:
            placed.exchange.cleanup.callback(
                self._client.release_kv, placed.exchange, prefill, kv_source
            )
