"""Reserves the engines of a generation and connects to the one that decodes."""

from __future__ import annotations

import contextlib
import dataclasses
from typing import Final

import eliot

from carawaydoor.policy import capacity_wait, drain, entities, load, memory_hold, placement
from carawaydoor.serving import (
    connections,
    generation_queue,
    http_exchange,
    instance_state,
    memory_holds,
    protocol_adapter,
    stream_beginning,
    upstream_client,
)

# With these outcomes, the prompt is prefilled for the engine.
_PROCEED: Final = frozenset(
    {
        protocol_adapter.HoldOutcome.NOT_NEEDED,
        protocol_adapter.HoldOutcome.TAKEN,
        protocol_adapter.HoldOutcome.UNSUPPORTED,
    }
)


@dataclasses.dataclass(slots=True)
class PlacedGeneration:
    """A generation with reservations at its engines.

    :ivar decode_reservation: releases the load counted at the decode engine and at its backup
    :ivar prefill_reservation: releases the load counted at the prefill engine
    :ivar hold: memory that the decode engine holds for the generation, None for none
    """

    exchange: http_exchange.HttpExchange
    service: entities.Service
    prompt: entities.Prompt
    chosen: placement.GenerationPlacement
    decode: entities.Upstream
    connection: connections.Connection
    decode_reservation: contextlib.ExitStack
    prefill_reservation: contextlib.ExitStack
    hold: memory_holds.Hold | None = None


class GenerationPlacer:
    """Places the generations of one instance."""

    def __init__(
        self,
        instance: instance_state.InstanceState,
        client: upstream_client.UpstreamClient,
        holds: memory_holds.MemoryHolds,
    ) -> None:
        self._instance = instance
        self._client = client
        self._holds = holds

    def place(
        self,
        exchange: http_exchange.HttpExchange,
        service: entities.Service,
        prompt: entities.Prompt,
        arrival: capacity_wait.Arrival,
    ) -> PlacedGeneration | None:
        """Reserve engines with free capacity and connect to the one that decodes.

        The connection is made before the prefill, which would be wasted if the decode engine has
        failed.
        """
        capacities = self._instance.capacity.capacities(service.name)
        terms = capacity_wait.wait_terms(
            arrival,
            placement.decode_engine_prefill_s(prompt, capacities),
            self._instance.urgency.is_urgent(exchange),
        )
        with self._instance.urgency.turn(exchange, prompt, terms) as turn:
            return self._place_in_turn(exchange, service, prompt, arrival, terms, turn)

    def _place_in_turn(
        self,
        exchange: http_exchange.HttpExchange,
        service: entities.Service,
        prompt: entities.Prompt,
        arrival: capacity_wait.Arrival,
        terms: capacity_wait.WaitTerms,
        turn: generation_queue.Turn,
    ) -> PlacedGeneration | None:
        excluded: set[str] = set()
        while self.may_begin():
            stream_beginning.choose_version(self._instance, exchange)
            chosen = None
            if turn.is_next():
                chosen = self._instance.selector.reserve_generation(
                    service,
                    prompt,
                    frozenset(excluded),
                    turn.reserve_share(),
                    exchange.permits,
                    exchange.placement_version,
                    exchange.allowed_regions,
                )
            now_s = self._instance.clock.now_s()
            if chosen is not None:
                turn.record_room()
                placed = self._connect(exchange, service, prompt, chosen)
                if placed is None:
                    turn.record_room_lost()
                    excluded.add(chosen.decode.id)
                    if self._instance.reach.is_cut_off(service.name):
                        return None
                    continue
                outcome = self._take_hold(placed)
                if outcome in _PROCEED:
                    turn.record_placed()
                    self._log_placement(placed, arrival)
                    return placed
                turn.record_room_lost()
                if outcome is not protocol_adapter.HoldOutcome.REFUSED:
                    excluded.add(chosen.decode.id)
                if now_s < terms.until_s and not exchange.inbound.is_gone():
                    continue
            turn.record_no_room()
            if self._has_no_prospect(exchange, service, terms, turn, excluded):
                turn.record_refused()
                self._log_refusal(exchange, arrival, turn)
                return None
            self._instance.selector.wait_for_release(
                min(terms.until_s - now_s, turn.retry_interval_s)
            )
        return None

    def _has_no_prospect(
        self,
        exchange: http_exchange.HttpExchange,
        service: entities.Service,
        terms: capacity_wait.WaitTerms,
        turn: generation_queue.Turn,
        excluded: set[str],
    ) -> bool:
        """Return whether a generation without room has to be refused now."""
        regions = exchange.allowed_regions
        turned_away_s = self._instance.selector.turned_away_retry_s(
            service.name, entities.Stage.DECODE, regions
        )
        permit_s = self._instance.selector.next_permit_s(
            service.name, entities.Stage.DECODE, regions
        )
        now_s = self._instance.clock.now_s()
        earliest_s = now_s + max(permit_s, turned_away_s or 0.0, turn.prospect_s())
        return (
            earliest_s >= terms.until_s
            or exchange.inbound.is_gone()
            or self._is_version_unreachable(exchange, service, excluded)
            or self._instance.eligibility.refusal(exchange, entities.Stage.DECODE) is not None
        )

    def connect_other_decode(self, placed: PlacedGeneration, excluded: frozenset[str]) -> bool:
        """Reserve and connect to another decode engine; return whether one was found."""
        stream_beginning.choose_version(self._instance, placed.exchange)
        tried = set(excluded)
        while True:
            decode = self._instance.selector.reserve_decode(
                placed.service,
                placed.prompt,
                frozenset(tried),
                placed.exchange.permits,
                placed.exchange.placement_version,
                placed.exchange.allowed_regions,
            )
            if decode is None:
                return False
            decode_reservation = placed.exchange.cleanup.enter_context(contextlib.ExitStack())
            decode_work = load.Work(1, placed.prompt.mean_kv_tokens)
            decode_reservation.callback(self._instance.selector.release, decode.id, decode_work)
            try:
                placed.connection = self._client.connect(placed.exchange, decode)
            except upstream_client.CallError:
                # The client has logged the failure; the next engine is tried.
                decode_reservation.close()
                placed.exchange.permits.give_back(decode)
                tried.add(decode.id)
                if self._instance.reach.is_cut_off(placed.service.name):
                    return False
                continue
            placed.decode, placed.decode_reservation = decode, decode_reservation
            return True

    def _take_hold(self, placed: PlacedGeneration) -> protocol_adapter.HoldOutcome:
        """Have the decode engine hold memory if it may be full; free both engines if it refuses.

        Only requests of services with more than one priority have memory held: what is held is missing to
        the growth of generations that run, and the least urgent of these give way.
        """
        engine_spec, decode = placed.service.engine_spec, placed.decode
        if (
            engine_spec is None
            or placed.chosen.prefill is None
            or self._instance.urgency.priority_for_engines(placed.exchange) is None
            or not memory_hold.is_worthwhile(
                engine_spec,
                placed.prompt,
                self._instance.selector.load.at(decode.id),
                self._instance.selector.generations_per_s(placed.service.name),
            )
            or self._instance.upstream_limiter.limit_per_s(decode) is not None
        ):
            return protocol_adapter.HoldOutcome.NOT_NEEDED
        outcome, placed.hold = self._holds.take(
            placed.exchange,
            placed.connection,
            placed.prompt.mean_kv_tokens,
            memory_hold.ttl_s(engine_spec, placed.chosen.prefill_wait_s),
        )
        if outcome in _PROCEED and not placed.connection.is_reusable():
            outcome = self._reconnect(placed, outcome)
        if outcome not in _PROCEED:
            if outcome is not protocol_adapter.HoldOutcome.REFUSED:
                placed.connection.close()
            placed.prefill_reservation.close()
            placed.decode_reservation.close()
            placed.exchange.permits.close()
        if outcome is protocol_adapter.HoldOutcome.REFUSED:
            self._instance.selector.record_no_memory(decode)
        return outcome

    def _reconnect(
        self, placed: PlacedGeneration, outcome: protocol_adapter.HoldOutcome
    ) -> protocol_adapter.HoldOutcome:
        """Replace a connection that the engine has closed after its response."""
        try:
            placed.connection = self._client.connect(placed.exchange, placed.decode)
        except upstream_client.CallError:
            # The client has logged the failure; another engine is chosen.
            return protocol_adapter.HoldOutcome.FAILED
        return outcome

    def may_begin(self) -> bool:
        """Return whether a generation that has waited may still begin before a stop."""
        return drain.may_begin_stream(self._instance.draining_for_s(self._instance.clock.now_s()))

    def _is_version_unreachable(
        self,
        exchange: http_exchange.HttpExchange,
        service: entities.Service,
        unreachable: set[str],
    ) -> bool:
        """Return whether no engine of the version at which a stream has to begin can be used."""
        version = exchange.placement_version
        return version is not None and not self._instance.selector.serves_version(
            service.name, version, unreachable, exchange.allowed_regions
        )

    def _connect(
        self,
        exchange: http_exchange.HttpExchange,
        service: entities.Service,
        prompt: entities.Prompt,
        chosen: placement.GenerationPlacement,
    ) -> PlacedGeneration | None:
        """Connect to the decode engine; return None and free both engines if that fails."""
        decode_reservation = exchange.cleanup.enter_context(contextlib.ExitStack())
        decode_reservation.callback(self._instance.selector.on_generations_changed)
        decode_work = load.Work(1, prompt.mean_kv_tokens)
        decode_reservation.callback(self._instance.selector.release, chosen.decode.id, decode_work)
        prefill_reservation = contextlib.ExitStack()
        if chosen.prefill is not None:
            prefill_work = load.Work(1, prompt.tokens)
            prefill_reservation.callback(
                self._instance.selector.release, chosen.prefill.id, prefill_work
            )
        exchange.cleanup.push(prefill_reservation)
        try:
            connection = self._client.connect(exchange, chosen.decode)
        except upstream_client.CallError:
            # The client has logged the failure; another engine is chosen.
            prefill_reservation.close()
            decode_reservation.close()
            exchange.permits.close()
            return None
        return PlacedGeneration(
            exchange,
            service,
            prompt,
            chosen,
            chosen.decode,
            connection,
            decode_reservation,
            prefill_reservation,
        )

    def _log_placement(self, placed: PlacedGeneration, arrival: capacity_wait.Arrival) -> None:
        prefill = placed.chosen.prefill
        waited_s = self._instance.clock.now_s() - placed.exchange.received_s
        eliot.log_message(
            message_type="generation_placed",
            request=placed.exchange.inbound.id,
            prompt_tokens=placed.prompt.tokens,
            prompt_parts=placed.prompt.shared_parts,
            expected_output_tokens=placed.prompt.expected_output_tokens,
            decode=placed.decode.id,
            decode_version=placed.decode.version,
            prefill=prefill.id if prefill else None,
            prefill_version=prefill.version if prefill else None,
            resumes=placed.exchange.inbound.resumes,
            last_event=placed.exchange.inbound.last_event_id,
            expected_read_s=round(placed.chosen.prefill_wait_s, 3),
            waited_s=round(waited_s, 3),
            late_s=round(placed.exchange.received_s - arrival.first_sent_s, 3),
            load=self._instance.selector.describe_load(),
        )

    def _log_refusal(
        self,
        exchange: http_exchange.HttpExchange,
        arrival: capacity_wait.Arrival,
        turn: generation_queue.Turn,
    ) -> None:
        waited_s = self._instance.clock.now_s() - exchange.received_s
        eliot.log_message(
            message_type="generation_not_placed",
            request=exchange.inbound.id,
            waited_s=round(waited_s, 3),
            late_s=round(exchange.received_s - arrival.first_sent_s, 3),
            rank=turn.rank,
            reserve_share=round(turn.reserve_share(), 4),
            prospect_s=round(turn.prospect_s(), 3),
            load=self._instance.selector.describe_load(),
        )
