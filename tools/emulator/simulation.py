"""Runs instances, engines and callers in simulated time and counts what callers got."""

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
# Time in seconds between two looks for room of a request that waits.
LOOK_S: Final = 0.05
# Time in seconds between two checks whether an engine's runs still fit.
CHECK_S: Final = 0.1
# Retry budget of a deployment: ratio, slack for each engine, window in seconds.
RETRY_RATIO: Final = 0.2
RETRY_SLACK_PER_ENGINE: Final = 5.0
RETRY_WINDOW_S: Final = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class Deployment:
    """What requests run on.

    :ivar lost_s: when a part of the generating engines is lost for good, None for never
    """

    instances: int = 7
    readers: int = 3
    generators: int = 5
    memory_tokens: int = 60_000
    slots: int = 128
    link_bytes_per_s: float = 60e9
    lost_s: float | None = None
    lost_share: float = 0.33


@dataclasses.dataclass(slots=True)
class Result:
    """What callers got.

    :ivar offered: worth of all requests
    :ivar earned: worth of what was answered
    :ivar read_in_vain: prompt tokens that were read for nothing
    """

    requests: int = 0
    on_time: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0
    offered: float = 0.0
    earned: float = 0.0
    read_in_vain: int = 0
    rejections: int = 0

    @property
    def goodput(self) -> float:
        """Part of the offered worth that was earned."""
        return self.earned / self.offered if self.offered else 1.0


@dataclasses.dataclass(slots=True)
class _Attempt:
    request: traffic.Request
    instance: emulated_fleet.Instance
    prompt: entities.Prompt
    arrival: capacity_wait.Arrival
    terms: capacity_wait.WaitTerms
    number: int


class Simulation:
    """One run of a deployment under a policy."""

    def __init__(
        self,
        deployment: Deployment,
        load_: traffic.Traffic,
        policy: policies.Policy,
        seed: int,
    ) -> None:
        self.result = Result()
        self.now_s = 0.0
        self.generator_by_id = {
            name: engines.Generator(name, deployment.memory_tokens, deployment.slots)
            for name in _names("decode", deployment.generators)
        }
        self._deployment = deployment
        self._traffic = load_
        self._policy = policy
        self._draw = random.Random(seed)
        self._seed = seed
        self._counter = itertools.count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._reader_by_id = {
            name: engines.Reader(name) for name in _names("prefill", deployment.readers)
        }
        self._service = entities.Service(
            SERVICE_NAME,
            0,
            entities.EngineSpec(
                deployment.slots,
                deployment.memory_tokens,
                18_432,
                deployment.link_bytes_per_s,
                True,
                0.5,
            ),
        )
        self._upstreams = tuple(
            _upstream(name, stage, deployment.slots)
            for stage, names in (
                (entities.Stage.PREFILL, self._reader_by_id),
                (entities.Stage.DECODE, self.generator_by_id),
            )
            for name in names
        )
        slack = RETRY_SLACK_PER_ENGINE * deployment.generators
        rules = fleet_retry_budget.BudgetRules(RETRY_RATIO, slack, RETRY_WINDOW_S)
        self._fleet = emulated_fleet.EmulatedFleet(deployment.instances, rules, policy.tells_work)

    def run(self) -> Result:
        """Play all requests to their ends."""
        for request in traffic.requests(self._traffic, self._seed):
            self._at(request.sent_s, functools.partial(self._arrive, request, 0))
        for instance in self._fleet.instances:
            first_s = self._draw.uniform(0.0, gossip.round_interval_s(instance.members))
            self._at(first_s, functools.partial(self._report, instance))
        self._at(CHECK_S, self._check)
        if self._deployment.lost_s is not None:
            self._at(self._deployment.lost_s, self._lose)
        end_s = self._traffic.duration_s + 2 * self._traffic.patience_s
        while self._events and self._events[0][0] <= end_s:
            self.now_s, _, action = heapq.heappop(self._events)
            action()
        return self.result

    def _at(self, at_s: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at_s, next(self._counter), action))

    def _report(self, sender: emulated_fleet.Instance) -> None:
        interval_s = self._fleet.report(sender, self.now_s)
        self._at(self.now_s + interval_s, functools.partial(self._report, sender))

    def _view(self, instance: emulated_fleet.Instance) -> placement.PlacementContext:
        return self._fleet.view(instance, self.now_s, self._upstreams, self._draw.getrandbits(32))

    def _arrive(self, request: traffic.Request, number: int) -> None:
        if number == 0:
            self.result.requests += 1
            self.result.offered += request.worth
        prompt = self._policy.counted(
            entities.Prompt(request.prompt_tokens, request.estimate_tokens, request.estimate_tokens)
        )
        deadline_s = request.sent_s + self._traffic.patience_s
        arrival = capacity_wait.Arrival(
            self.now_s, request.sent_s, deadline_s, self._traffic.target_s
        )
        terms = self._policy.terms(arrival, placement.decode_engine_prefill_s(prompt))
        instance = self._draw.choice(self._fleet.instances)
        instance.repeats = fleet_retry_budget.record_request(
            instance.repeats, self.now_s, SERVICE_NAME
        )
        self._place(_Attempt(request, instance, prompt, arrival, terms, number))

    def _place(self, attempt: _Attempt) -> None:
        chosen = self._policy.choose(
            self._view(attempt.instance), self._service, attempt.prompt, attempt.terms.reserve_share
        )
        if chosen is None:
            if self.now_s + LOOK_S >= attempt.terms.until_s:
                self._refuse(attempt)
            else:
                self._at(self.now_s + LOOK_S, functools.partial(self._place, attempt))
            return
        memory = load.Work(1, attempt.prompt.mean_kv_tokens)
        self._begin(attempt.instance, chosen.decode.id, memory)
        if chosen.prefill is None:
            read_s = attempt.prompt.tokens / engines.READ_TOKENS_PER_S / engines.DIRECT_READ_SHARE
            self._generate(attempt, chosen.decode, frozenset(), read_s)
            return
        work = load.Work(1, attempt.prompt.tokens)
        self._begin(attempt.instance, chosen.prefill.id, work)
        self._fleet.tell_work(attempt.instance, self.now_s)
        done_s = self._reader_by_id[chosen.prefill.id].read(self.now_s, attempt.prompt.tokens)
        self._at(
            done_s, functools.partial(self._has_read, attempt, chosen.prefill, chosen.decode, work)
        )

    def _has_read(
        self,
        attempt: _Attempt,
        prefill: entities.Upstream,
        decode: entities.Upstream,
        work: load.Work,
    ) -> None:
        self._end(attempt.instance, prefill.id, work)
        engine = self._service.engine_spec
        assert engine is not None
        transfer_s = attempt.prompt.tokens * engine.kv_token_bytes / engine.link_bytes_per_s
        self._at(
            self.now_s + transfer_s,
            functools.partial(self._generate, attempt, decode, frozenset(), 0.0),
        )

    def _generate(
        self, attempt: _Attempt, decode: entities.Upstream, tried: frozenset[str], read_s: float
    ) -> None:
        request, instance = attempt.request, attempt.instance
        memory = load.Work(1, attempt.prompt.mean_kv_tokens)
        began_s = self.now_s + read_s + engines.FIRST_EVENT_S
        run = engines.Run(request.number, request.prompt_tokens, request.output_tokens, began_s)
        if self.generator_by_id[decode.id].admit(self.now_s, run):
            self._copy(attempt, decode, run)
            self._at(run.ends_s, functools.partial(self._finish, attempt, decode, run))
            return
        self.result.rejections += 1
        self._end(instance, decode.id, memory)
        instance.health = health.record_outcome(
            instance.health, self.now_s, decode.id, self._outcome(decode)
        )
        excluded = tried | {decode.id}
        another = None
        if self._policy.moves_prompts:
            instance.repeats, allowed = fleet_retry_budget.take(
                instance.repeats, self.now_s, SERVICE_NAME
            )
            if allowed:
                another = placement.choose_decode(
                    self._view(instance), self._service, attempt.prompt, excluded
                )
        if another is None:
            self.result.read_in_vain += request.prompt_tokens
            self._refuse(attempt)
            return
        self._begin(instance, another.id, memory)
        self._generate(attempt, another, excluded, read_s)

    def _outcome(self, decode: entities.Upstream) -> health.Outcome:
        if self.generator_by_id[decode.id].is_lost:
            return health.Outcome.UNREACHABLE
        return health.Outcome.FULL

    def _copy(self, attempt: _Attempt, decode: entities.Upstream, run: engines.Run) -> None:
        if not self._policy.keeps_copies:
            return
        backup = placement.choose_backup(
            self._view(attempt.instance), self._service, attempt.prompt, decode
        )
        if backup is None:
            return
        self._begin(attempt.instance, backup.id, load.Work(0, attempt.prompt.mean_kv_tokens))
        self.generator_by_id[backup.id].copy_by_request[run.request] = run
        end = functools.partial(
            self._end,
            attempt.instance,
            backup.id,
            load.Work(0, attempt.prompt.mean_kv_tokens),
        )
        self._at(run.ends_s, functools.partial(self._end_copy, backup.id, run, end))

    def _end_copy(self, backup: str, run: engines.Run, end: Callable[[], None]) -> None:
        self.generator_by_id[backup].copy_by_request.pop(run.request, None)
        end()

    def _finish(self, attempt: _Attempt, decode: entities.Upstream, run: engines.Run) -> None:
        self._end(attempt.instance, decode.id, load.Work(1, attempt.prompt.mean_kv_tokens))
        generator = self.generator_by_id[decode.id]
        continued = any(
            each.run_by_request.get(run.request) is run for each in self.generator_by_id.values()
        )
        if not continued:
            self.result.failed += 1
            self.result.read_in_vain += run.prompt_tokens
            return
        for each in self.generator_by_id.values():
            each.run_by_request.pop(run.request, None)
        generator.end(run.request)
        first_s = run.began_s - attempt.request.sent_s
        if self.now_s > attempt.arrival.deadline_s:
            self.result.failed += 1
        elif first_s <= self._traffic.target_s:
            self.result.on_time += 1
            self.result.earned += attempt.request.worth
        else:
            self.result.late += 1
            self.result.earned += attempt.request.worth * self._traffic.late_share

    def _refuse(self, attempt: _Attempt) -> None:
        after_s = capacity_wait.retry_after_s(attempt.arrival, self.now_s)
        at_s = self.now_s + after_s
        if attempt.number >= self._traffic.retries or at_s >= attempt.arrival.deadline_s:
            self.result.refused += 1
            return
        self._at(at_s, functools.partial(self._arrive, attempt.request, attempt.number + 1))

    def _check(self) -> None:
        for generator in self.generator_by_id.values():
            for run in generator.preempt(self.now_s):
                # What was read and made for it is lost; its caller is not answered.
                self.result.read_in_vain += run.prompt_tokens
        self._at(self.now_s + CHECK_S, self._check)

    def _lose(self) -> None:
        count = int(len(self.generator_by_id) * self._deployment.lost_share)
        for generator in list(self.generator_by_id.values())[:count]:
            generator.is_lost = True
            lost = list(generator.run_by_request.values())
            generator.run_by_request.clear()
            generator.copy_by_request.clear()
            for run in lost:
                self._continue(run)

    def _continue(self, run: engines.Run) -> None:
        for generator in self.generator_by_id.values():
            if run.request in generator.copy_by_request:
                generator.copy_by_request.pop(run.request)
                generator.run_by_request[run.request] = run
                return

    def _begin(self, instance: emulated_fleet.Instance, upstream: str, work: load.Work) -> None:
        instance.own = load.step(instance.own, load.Started(upstream, work))

    def _end(self, instance: emulated_fleet.Instance, upstream: str, work: load.Work) -> None:
        instance.own = load.step(instance.own, load.Ended(upstream, work))

    def is_idle(self) -> bool:
        """Return whether nothing is held at any engine or counted by any instance."""
        held = any(
            each.run_by_request or each.copy_by_request for each in self.generator_by_id.values()
        )
        return not held and not any(each.own.own_by_id for each in self._fleet.instances)


def _names(prefix: str, count: int) -> list[str]:
    return [f"{prefix}-{number}" for number in range(count)]


def _upstream(name: str, stage: entities.Stage, slots: int) -> entities.Upstream:
    return entities.Upstream(name, SERVICE_NAME, "127.0.0.1", 1, "a", slots, stage, False, 1)
