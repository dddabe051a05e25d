"""A fleet of instances that place generations of several ranks, without threads or messages.

Instances know the memory in use of engines and the demand at peers by late reports. An engine that is
full says so when it is asked to hold memory.
"""

from __future__ import annotations

import dataclasses
import heapq
import itertools
import random

from carawaydoor.policy import capacity_wait, urgency
from carawaydoor.serving import demand_counter, generation_queue, urgency_state

SERVICE = "planner"
# Of the reference load, by rank.
TARGETS_S = (0.82, 1.02, 2.02)
TICK_S = 0.01
KV_TOKENS = 44_907
GENERATION_S = 2.5
PREFILL_S = 0.15
TIMEOUT_S = 14.0
WORK_LAG_TICKS = 10
REPORT_INTERVAL_S = 0.25
REPORT_FAN_OUT = 12
MAX_REPORT_LAG_S = 1.0
REPORT_LOSS = 0.05
MAX_FILL = 0.96
FULL_FOR_S = 0.2


@dataclasses.dataclass
class Request:
    """A request of a caller, which may come twice."""

    rank: int
    tokens: int
    first_s: float
    arrival: capacity_wait.Arrival
    terms: capacity_wait.WaitTerms
    claim: capacity_wait.Claim
    has_returned: bool = False
    was_short: bool = False


class Instance:
    """The knowledge and the queue of one instance."""

    def __init__(self, number, engines):
        self.number = number
        self.counter = demand_counter.DemandCounter()
        self.waiting = []
        self.report_by_peer = {}
        self.own_unseen = [[] for _ in range(engines)]
        self.full_until_s = [0.0] * engines
        self.viewed_s = -1.0
        self.next_try_s = 0.0


@dataclasses.dataclass
class Result:
    """Requests by rank: those that came, that were served at all, and in time."""

    came: list
    served: list
    on_time: list

    @property
    def served_shares(self):
        """The part of each rank that was served."""
        return [s / c if c else 1.0 for s, c in zip(self.served, self.came, strict=True)]

    @property
    def on_time_shares(self):
        """The part of each rank that was served in time."""
        return [s / c if c else 1.0 for s, c in zip(self.on_time, self.came, strict=True)]

    @property
    def served_share(self):
        """The part of all requests that was served."""
        return sum(self.served) / sum(self.came)


class Fleet:
    """Plays a load given as requests a second by rank and time."""

    def __init__(
        self, instances, engines, seed=1, *, reserves=True, peers=True, callers_return=True
    ):
        self.random = random.Random(seed)
        self.engines = engines
        self.ranks = len(TARGETS_S)
        self.priorities = tuple(range(self.ranks))
        self.reserves = reserves
        self.hears_peers = peers
        self.callers_return = callers_return
        self.instances = [Instance(number, engines) for number in range(instances)]
        self.used = [0] * engines
        self.history = [list(self.used)]
        self.now_s = 0.0
        self.events = []
        self.numbers = itertools.count()
        self.result = Result([0] * self.ranks, [0] * self.ranks, [0] * self.ranks)
        self.fill_samples = []
        self.reserve_samples = []

    def capacity_per_s(self, tokens=5900):
        """Return the requests a second that all engines serve."""
        return self.engines * int(KV_TOKENS * MAX_FILL / tokens) / GENERATION_S

    def at(self, delay_s, action, *values):
        """Do something later."""
        heapq.heappush(self.events, (self.now_s + delay_s, next(self.numbers), action, values))

    def run(self, rates, for_s):
        """Play until all is done; ``rates(now_s)`` returns requests a second by rank."""
        for each in self.instances:
            self.at(self.random.random() * REPORT_INTERVAL_S, self.report, each)
        while self.now_s < for_s:
            for rank, rate in enumerate(rates(self.now_s)):
                for _ in range(self.poisson(rate * TICK_S)):
                    self.arrive(rank)
            while self.events and self.events[0][0] <= self.now_s:
                _, _, action, values = heapq.heappop(self.events)
                action(*values)
            for each in self.instances:
                if each.waiting and each.next_try_s <= self.now_s:
                    self.serve(each)
            self.history.append(list(self.used))
            self.history = self.history[-WORK_LAG_TICKS - 1 :]
            self.fill_samples.append(sum(self.used) / (self.engines * KV_TOKENS))
            self.now_s += TICK_S
        return self.result

    def poisson(self, mean):
        count, left = 0, self.random.expovariate(1.0)
        while left < mean:
            count += 1
            left += self.random.expovariate(1.0)
        return count

    def arrive(self, rank, first=None):
        instance = self.random.choice(self.instances)
        if first is None:
            self.result.came[rank] += 1
            tokens = min(11_500, max(1200, int(self.random.lognormvariate(8.6, 0.35))))
        else:
            tokens = first.tokens
        first_s = self.now_s if first is None else first.first_s
        arrival = capacity_wait.Arrival(
            self.now_s,
            first_s,
            first_s + TIMEOUT_S,
            TARGETS_S[rank],
            capacity_wait.return_share(rank, self.ranks),
        )
        terms = capacity_wait.wait_terms(arrival, PREFILL_S, rank < self.ranks - 1)
        view = self.view(instance)
        promoted = self.reserves and self.random.random() < view.promoted[rank]
        claim = capacity_wait.Claim(
            SERVICE,
            rank,
            0 if promoted else rank,
            terms.is_late,
            self.now_s,
            next(self.numbers),
            tokens,
            None,
        )
        request = Request(rank, tokens, first_s, arrival, terms, claim, first is not None)
        instance.counter.record(claim, demand_counter.Event.ARRIVED, self.now_s)
        instance.waiting.append(request)
        self.serve(instance)

    def view(self, instance):
        if self.now_s - instance.viewed_s >= urgency_state.MAX_VIEW_AGE_S:
            instance.viewed_s = self.now_s
            own = instance.counter.demands([each.claim for each in instance.waiting], self.now_s)
            recent = (
                [
                    demands
                    for at_s, demands in instance.report_by_peer.values()
                    if at_s >= self.now_s - 2.5
                ]
                if self.hears_peers
                else []
            )
            factor = max(1.0, (len(self.instances) - 1) / max(1, len(recent)))
            peers = urgency.total((each for demands in recent for each in demands), factor)
            instance.elsewhere = urgency.by_rank(SERVICE, self.priorities, peers)
            instance.fleet = urgency.by_rank(SERVICE, self.priorities, (*peers, *own))
            instance.reserve = urgency.reserve_shares(instance.fleet, self.engines * KV_TOKENS)
            instance.promoted = urgency.promoted_shares(instance.fleet)
            instance.freed_per_s = sum(self.history[0]) / GENERATION_S
            self.reserve_samples.append((self.now_s, instance.reserve, instance.promoted))
        return instance

    def reserve_share(self, instance, request):
        late = capacity_wait.LATE_KV_RESERVE_SHARE if request.claim.is_late else 0.0
        rank = request.claim.rank
        if not self.reserves:
            return late if rank == self.ranks - 1 else 0.0
        return urgency.reserve_of(instance.reserve, rank, late)

    def serve(self, instance):
        """Let the waiting requests try in their order until one finds no room."""
        instance.next_try_s = self.now_s + generation_queue.RETRY_INTERVAL_S
        instance.waiting.sort(key=lambda each: each.claim.order)
        self.view(instance)
        while instance.waiting and self.place(instance, instance.waiting[0]):
            instance.waiting.pop(0)
        claims = [each.claim for each in instance.waiting]
        for each in list(instance.waiting):
            if not each.was_short:
                each.was_short = True
                instance.counter.record(each.claim, demand_counter.Event.SHORT, self.now_s)
            rank = each.claim.rank
            ahead = sum(d.waiting_tokens for d in instance.elsewhere[: rank + 1])
            ahead -= instance.elsewhere[rank].waiting_tokens / 2
            prospect_s = capacity_wait.prospect_s(
                instance.freed_per_s,
                sum(d.kept_per_s for d in instance.fleet[:rank]),
                ahead + capacity_wait.tokens_ahead(each.claim, claims),
                each.tokens,
            )
            if self.now_s + prospect_s >= each.terms.until_s:
                instance.waiting.remove(each)
                instance.counter.record(each.claim, demand_counter.Event.REFUSED, self.now_s)
                if self.callers_return and not each.has_returned:
                    after_s = capacity_wait.retry_after_s(each.arrival, self.now_s)
                    self.at(after_s, self.arrive, each.rank, each)

    def place(self, instance, request):
        limit = KV_TOKENS * (MAX_FILL - self.reserve_share(instance, request)) - request.tokens
        seen = self.history[0]
        while True:
            best, best_used = -1, limit
            offset = self.random.randrange(self.engines)
            for number in range(self.engines):
                engine = (number + offset) % self.engines
                if instance.full_until_s[engine] > self.now_s:
                    continue
                used = seen[engine]
                if instance.own_unseen[engine]:
                    unseen = [
                        x
                        for x in instance.own_unseen[engine]
                        if x[0] > self.now_s - WORK_LAG_TICKS * TICK_S
                    ]
                    instance.own_unseen[engine] = unseen
                    used += sum(x[1] for x in unseen)
                if used < best_used:
                    best, best_used = engine, used
            if best < 0:
                return False
            if self.used[best] + request.tokens > KV_TOKENS * MAX_FILL:
                instance.full_until_s[best] = self.now_s + FULL_FOR_S
                continue
            self.used[best] += request.tokens
            instance.own_unseen[best].append((self.now_s, request.tokens))
            self.at(
                self.random.gammavariate(6.0, GENERATION_S / 6.0),
                self.end,
                instance,
                best,
                request.tokens,
            )
            self.result.served[request.rank] += 1
            started_s = self.now_s + PREFILL_S + capacity_wait.FIRST_STEP_S
            self.result.on_time[request.rank] += (
                started_s - request.first_s <= TARGETS_S[request.rank]
            )
            return True

    def end(self, instance, engine, tokens):
        self.used[engine] -= tokens
        if instance.waiting:
            self.serve(instance)

    def report(self, instance):
        self.at(REPORT_INTERVAL_S, self.report, instance)
        demands = urgency.to_report(
            instance.counter.demands([each.claim for each in instance.waiting], self.now_s)
        )
        others = [each for each in self.instances if each is not instance]
        for each in self.random.sample(others, min(REPORT_FAN_OUT, len(others))):
            if self.random.random() >= REPORT_LOSS:
                lag_s = self.random.uniform(0.1, MAX_REPORT_LAG_S)
                self.at(lag_s, self.hear, each, instance.number, demands)

    def hear(self, instance, peer, demands):
        instance.report_by_peer[peer] = self.now_s, demands
