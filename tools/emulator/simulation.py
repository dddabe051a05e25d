"""Discrete-event simulation of instances, engines and callers that counts the outcomes."""

from __future__ import annotations

import dataclasses
import functools
import heapq
import itertools
import random
from collections.abc import Callable
from typing import Final

from carawaydoor.fleet import gossip
from carawaydoor.policy import capacity_wait, entities, fleet_retry_budget, health, load, placement
from tools.emulator import emulated_fleet, engines, policies, traffic

SERVICE_NAME: Final = "planner"
# For requests that wait for capacity.
PLACEMENT_RETRY_INTERVAL_S: Final = 0.05
PREEMPTION_CHECK_INTERVAL_S: Final = 0.1

RETRY_BUDGET_RATIO: Final = 0.2
RETRY_BUDGET_SLACK_PER_ENGINE: Final = 5.0
RETRY_BUDGET_WINDOW_S: Final = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class Deployment:
    """Size of the emulated deployment.

    :ivar kv_tokens: KV cache capacity of each decode engine
    :ivar slots: maximum number of concurrent generations of each decode engine
    :ivar link_bytes_per_s: rate at which a KV cache is transferred to a decode engine
    :ivar failure_at_s: simulated time at which some decode engines fail for good, None for never
    :ivar failed_share: share of the decode engines that fails
    """

    instances: int = 7
    prefill_engines: int = 3
    decode_engines: int = 5
    kv_tokens: int = 60_000
    slots: int = 128
    link_bytes_per_s: float = 60e9
    failure_at_s: float | None = None
    failed_share: float = 0.33


@dataclasses.dataclass(slots=True)
class Result:
    """Counts over all requests of a simulation.

    :ivar refused: requests refused at their last attempt
    :ivar failed: requests accepted but not answered before the deadline
    :ivar offered_worth: total worth of all requests
    :ivar earned_worth: total worth of the answers
    :ivar read_in_vain: prompt tokens whose prefill was wasted
    :ivar rejections: generations rejected by decode engines
    """

    requests: int = 0
    on_time: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0
    offered_worth: float = 0.0
    earned_worth: float = 0.0
    read_in_vain: int = 0
    rejections: int = 0

    @property
    def goodput(self) -> float:
        """Earned worth as a fraction of the offered worth."""
        return self.earned_worth / self.offered_worth if self.offered_worth else 1.0


@dataclasses.dataclass(slots=True)
class _Attempt:
    request: traffic.Request
    instance: emulated_fleet.Instance
    prompt: entities.Prompt
    arrival: capacity_wait.Arrival
    terms: capacity_wait.WaitTerms
    number: int


class Simulation:
    """Simulates one deployment under one policy."""

    def __init__(
        self,
        deployment: Deployment,
        offered_traffic: traffic.Traffic,
        policy: policies.Policy,
        seed: int,
    ) -> None:
        self.result = Result()
        self.now_s = 0.0
        self.decode_engine_by_id = {
            name: engines.DecodeEngine(name, deployment.kv_tokens, deployment.slots)
            for name in _engine_ids("decode", deployment.decode_engines)
        }
        self._deployment = deployment
        self._traffic = offered_traffic
        self._policy = policy
        self._rng = random.Random(seed)
        self._seed = seed
        self._event_numbers = itertools.count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._prefill_engine_by_id = {
            name: engines.PrefillEngine(name)
            for name in _engine_ids("prefill", deployment.prefill_engines)
        }
        self._service = entities.Service(
            SERVICE_NAME,
            0,
            entities.EngineSpec(
                deployment.slots,
                deployment.kv_tokens,
                18_432,
                deployment.link_bytes_per_s,
                True,
                0.5,
            ),
        )
        self._upstreams = tuple(
            _upstream(name, stage, deployment.slots)
            for stage, ids in (
                (entities.Stage.PREFILL, self._prefill_engine_by_id),
                (entities.Stage.DECODE, self.decode_engine_by_id),
            )
            for name in ids
        )
        slack = RETRY_BUDGET_SLACK_PER_ENGINE * deployment.decode_engines
        rules = fleet_retry_budget.BudgetRules(RETRY_BUDGET_RATIO, slack, RETRY_BUDGET_WINDOW_S)
        self._fleet = emulated_fleet.EmulatedFleet(
            deployment.instances, rules, policy.announces_work
        )

    def run(self) -> Result:
        """Process all events and return the result."""
        for request in traffic.generate_requests(self._traffic, self._seed):
            self._schedule(request.sent_s, functools.partial(self._receive_request, request, 0))
        for instance in self._fleet.instances:
            first_report_s = self._rng.uniform(0.0, gossip.ROUND_INTERVAL_S)
            self._schedule(first_report_s, functools.partial(self._send_reports, instance))
        self._schedule(PREEMPTION_CHECK_INTERVAL_S, self._preempt_generations)
        if self._deployment.failure_at_s is not None:
            self._schedule(self._deployment.failure_at_s, self._fail_engines)
        end_s = self._traffic.duration_s + 2 * self._traffic.caller_timeout_s
        while self._events and self._events[0][0] <= end_s:
            self.now_s, _, action = heapq.heappop(self._events)
            action()
        return self.result

    def _schedule(self, at_s: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at_s, next(self._event_numbers), action))

    def _send_reports(self, sender: emulated_fleet.Instance) -> None:
        interval_s = self._fleet.send_reports(sender, self.now_s)
        self._schedule(self.now_s + interval_s, functools.partial(self._send_reports, sender))

    def _placement_context(self, instance: emulated_fleet.Instance) -> placement.PlacementContext:
        return self._fleet.placement_context(
            instance, self.now_s, self._upstreams, self._rng.getrandbits(32)
        )

    def _receive_request(self, request: traffic.Request, number: int) -> None:
        if number == 0:
            self.result.requests += 1
            self.result.offered_worth += request.worth
        prompt = self._policy.with_estimated_sizes(
            entities.Prompt(
                request.prompt_tokens,
                request.estimated_output_tokens,
                request.estimated_output_tokens,
            )
        )
        deadline_s = request.sent_s + self._traffic.caller_timeout_s
        arrival = capacity_wait.Arrival(
            self.now_s, request.sent_s, deadline_s, self._traffic.first_event_target_s
        )
        terms = self._policy.wait_terms(arrival, placement.decode_engine_prefill_s(prompt))
        instance = self._rng.choice(self._fleet.instances)
        instance.retry_budget = fleet_retry_budget.record_request(
            instance.retry_budget, self.now_s, SERVICE_NAME
        )
        self._place(_Attempt(request, instance, prompt, arrival, terms, number))

    def _place(self, attempt: _Attempt) -> None:
        chosen = self._policy.choose(
            self._placement_context(attempt.instance),
            self._service,
            attempt.prompt,
            attempt.terms.reserve_share,
        )
        if chosen is None:
            if self.now_s + PLACEMENT_RETRY_INTERVAL_S >= attempt.terms.until_s:
                self._refuse(attempt)
            else:
                self._schedule(
                    self.now_s + PLACEMENT_RETRY_INTERVAL_S, functools.partial(self._place, attempt)
                )
            return
        decode_work = load.Work(1, attempt.prompt.mean_kv_tokens)
        self._add_work(attempt.instance, chosen.decode.id, decode_work)
        if chosen.prefill is None:
            prefill_s = (
                attempt.prompt.tokens
                / engines.PREFILL_TOKENS_PER_S
                / engines.DECODE_ENGINE_PREFILL_RATIO
            )
            self._start_decode(attempt, chosen.decode, frozenset(), prefill_s)
            return
        prefill_work = load.Work(1, attempt.prompt.tokens)
        self._add_work(attempt.instance, chosen.prefill.id, prefill_work)
        self._fleet.announce_work(attempt.instance, self.now_s)
        done_s = self._prefill_engine_by_id[chosen.prefill.id].prefill(
            self.now_s, attempt.prompt.tokens
        )
        self._schedule(
            done_s,
            functools.partial(
                self._finish_prefill, attempt, chosen.prefill, chosen.decode, prefill_work
            ),
        )

    def _finish_prefill(
        self,
        attempt: _Attempt,
        prefill: entities.Upstream,
        decode: entities.Upstream,
        prefill_work: load.Work,
    ) -> None:
        self._remove_work(attempt.instance, prefill.id, prefill_work)
        engine = self._service.engine_spec
        assert engine is not None
        transfer_s = attempt.prompt.tokens * engine.kv_token_bytes / engine.link_bytes_per_s
        self._schedule(
            self.now_s + transfer_s,
            functools.partial(self._start_decode, attempt, decode, frozenset(), 0.0),
        )

    def _start_decode(
        self, attempt: _Attempt, decode: entities.Upstream, tried: frozenset[str], prefill_s: float
    ) -> None:
        request, instance = attempt.request, attempt.instance
        decode_work = load.Work(1, attempt.prompt.mean_kv_tokens)
        started_s = self.now_s + prefill_s + engines.FIRST_EVENT_DELAY_S
        generation = engines.Generation(
            request.number, request.prompt_tokens, request.output_tokens, started_s
        )
        if self.decode_engine_by_id[decode.id].admit(self.now_s, generation):
            self._start_backup(attempt, decode, generation)
            self._schedule(
                generation.ends_s,
                functools.partial(self._finish_generation, attempt, decode, generation),
            )
            return
        self.result.rejections += 1
        self._remove_work(instance, decode.id, decode_work)
        instance.health = health.record_outcome(
            instance.health, self.now_s, decode.id, self._rejection_outcome(decode)
        )
        excluded = tried | {decode.id}
        alternative = None
        if self._policy.retries_rejected_prompts:
            instance.retry_budget, allowed = fleet_retry_budget.take(
                instance.retry_budget, self.now_s, SERVICE_NAME
            )
            if allowed:
                alternative = placement.choose_decode(
                    self._placement_context(instance), self._service, attempt.prompt, excluded
                )
        if alternative is None:
            self.result.read_in_vain += request.prompt_tokens
            self._refuse(attempt)
            return
        self._add_work(instance, alternative.id, decode_work)
        self._start_decode(attempt, alternative, excluded, prefill_s)

    def _rejection_outcome(self, decode: entities.Upstream) -> health.Outcome:
        if self.decode_engine_by_id[decode.id].has_failed:
            return health.Outcome.UNREACHABLE
        return health.Outcome.FULL

    def _start_backup(
        self, attempt: _Attempt, decode: entities.Upstream, generation: engines.Generation
    ) -> None:
        if not self._policy.keeps_backups:
            return
        backup = placement.choose_backup(
            self._placement_context(attempt.instance), self._service, attempt.prompt, decode
        )
        if backup is None:
            return
        self._add_work(attempt.instance, backup.id, load.Work(0, attempt.prompt.mean_kv_tokens))
        self.decode_engine_by_id[backup.id].backup_by_request[generation.request] = generation
        end = functools.partial(
            self._remove_work,
            attempt.instance,
            backup.id,
            load.Work(0, attempt.prompt.mean_kv_tokens),
        )
        self._schedule(
            generation.ends_s, functools.partial(self._end_backup, backup.id, generation, end)
        )

    def _end_backup(
        self, backup: str, generation: engines.Generation, end: Callable[[], None]
    ) -> None:
        self.decode_engine_by_id[backup].backup_by_request.pop(generation.request, None)
        end()

    def _finish_generation(
        self, attempt: _Attempt, decode: entities.Upstream, generation: engines.Generation
    ) -> None:
        self._remove_work(attempt.instance, decode.id, load.Work(1, attempt.prompt.mean_kv_tokens))
        self._fleet.announce_work(attempt.instance, self.now_s)
        decode_engine = self.decode_engine_by_id[decode.id]
        is_held = any(
            each.generation_by_request.get(generation.request) is generation
            for each in self.decode_engine_by_id.values()
        )
        if not is_held:
            self.result.failed += 1
            self.result.read_in_vain += generation.prompt_tokens
            return
        for each in self.decode_engine_by_id.values():
            each.generation_by_request.pop(generation.request, None)
        decode_engine.end(generation.request)
        first_event_s = generation.started_s - attempt.request.sent_s
        if self.now_s > attempt.arrival.deadline_s:
            self.result.failed += 1
        elif first_event_s <= self._traffic.first_event_target_s:
            self.result.on_time += 1
            self.result.earned_worth += attempt.request.worth
        else:
            self.result.late += 1
            self.result.earned_worth += attempt.request.worth * self._traffic.late_worth_share

    def _refuse(self, attempt: _Attempt) -> None:
        after_s = capacity_wait.retry_after_s(attempt.arrival, self.now_s)
        at_s = self.now_s + after_s
        if attempt.number >= self._traffic.max_retries or at_s >= attempt.arrival.deadline_s:
            self.result.refused += 1
            return
        self._schedule(
            at_s, functools.partial(self._receive_request, attempt.request, attempt.number + 1)
        )

    def _preempt_generations(self) -> None:
        for decode_engine in self.decode_engine_by_id.values():
            for generation in decode_engine.preempt(self.now_s):
                # A preempted generation is not restarted, so its prefill is wasted.
                self.result.read_in_vain += generation.prompt_tokens
        self._schedule(self.now_s + PREEMPTION_CHECK_INTERVAL_S, self._preempt_generations)

    def _fail_engines(self) -> None:
        count = int(len(self.decode_engine_by_id) * self._deployment.failed_share)
        for decode_engine in list(self.decode_engine_by_id.values())[:count]:
            decode_engine.has_failed = True
            lost = list(decode_engine.generation_by_request.values())
            decode_engine.generation_by_request.clear()
            decode_engine.backup_by_request.clear()
            for generation in lost:
                self._resume_from_backup(generation)

    def _resume_from_backup(self, generation: engines.Generation) -> None:
        for decode_engine in self.decode_engine_by_id.values():
            if generation.request in decode_engine.backup_by_request:
                decode_engine.backup_by_request.pop(generation.request)
                decode_engine.generation_by_request[generation.request] = generation
                return

    def _add_work(self, instance: emulated_fleet.Instance, upstream: str, work: load.Work) -> None:
        instance.own_load = load.step(instance.own_load, load.Started(upstream, work))

    def _remove_work(
        self, instance: emulated_fleet.Instance, upstream: str, work: load.Work
    ) -> None:
        instance.own_load = load.step(instance.own_load, load.Ended(upstream, work))

    def is_idle(self) -> bool:
        """Return whether no decode engine holds a generation and no instance counts work."""
        held = any(
            each.generation_by_request or each.backup_by_request
            for each in self.decode_engine_by_id.values()
        )
        return not held and not any(each.own_load.own_by_id for each in self._fleet.instances)


def _engine_ids(prefix: str, count: int) -> list[str]:
    return [f"{prefix}-{number}" for number in range(count)]


def _upstream(name: str, stage: entities.Stage, slots: int) -> entities.Upstream:
    return entities.Upstream(name, SERVICE_NAME, "127.0.0.1", 1, "a", slots, stage, False, 1)
