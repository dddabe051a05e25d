"""A seeded model of instances that learn the speeds of upstreams, without network.

Instances know of each other's load and estimates by reports that are late and may be lost. The
observers are those of the product, and so are the choices.
"""

from __future__ import annotations

import collections
import heapq
import itertools
import random
import statistics

from carawaydoor.fleet import gossip
from carawaydoor.operating import clocks, platform_metrics
from carawaydoor.policy import entities, learned_capacity, load, placement
from carawaydoor.serving import capacity_observer
from tests.policy import builders

PREFILL_TOKENS_PER_S = 40_000.0
# A share of the upstreams is slower by a factor, and which ones changes each period.
NOISE_SHARE, NOISE_FACTOR, NOISE_PERIOD_S = 0.15, 2.5, 0.6
CALL_S = 0.03
SLOTS = 6
# Delay of a report, from the shortest to the longest.
REPORT_DELAY_S = (0.1, 1.0)
WORK_REPORT_DELAY_S = (0.1, 0.3)
PREFILL, CALL = learned_capacity.Kind.PREFILL_TOKEN, learned_capacity.Kind.CALL


class Model:
    """Requests at one stage of one service; ``took_s`` has the time of each by upstream.

    :param speeds: speed of each upstream, 1.0 for the usual one
    :param knees: concurrency of each plain upstream, beyond which it finishes no more work
    :param lost: returns whether reports from one instance to another are lost
    """

    def __init__(
        self,
        kind,
        speeds,
        *,
        instances=20,
        per_s=40.0,
        learns=True,
        noise=True,
        seed=1,
        knees=None,
        lost=lambda sender, receiver: False,
    ):
        self.kind, self.instances, self.per_s, self.lost = kind, instances, per_s, lost
        self.rng, self.noise_rng = random.Random(seed), random.Random(seed + 1)
        self.clock = clocks.ManualClock(0.0)
        stage = entities.Stage.PREFILL if kind is PREFILL else entities.Stage.NONE
        self.upstreams = [
            builders.upstream(f"u{n}", "planner", stage, slots=SLOTS) for n in range(len(speeds))
        ]
        self.decode = builders.decode("d")
        self.speed_by_id = {
            each.id: speed for each, speed in zip(self.upstreams, speeds, strict=True)
        }
        self.knee_by_id = {
            each.id: (knees or itertools.repeat(SLOTS))[n] if knees else SLOTS
            for n, each in enumerate(self.upstreams)
        }
        self.observers = [
            capacity_observer.CapacityObserver(self.clock, platform_metrics.Metrics("m"), learns)
            for _ in range(instances)
        ]
        self.noisy, self.has_noise = frozenset(), noise
        self.own = [collections.defaultdict(load.Work) for _ in range(instances)]
        self.told = [collections.defaultdict(load.Work) for _ in range(instances)]
        self.told_total = collections.defaultdict(load.Work)
        self.free_s = collections.defaultdict(lambda: [0.0] * SLOTS)
        self.running = collections.Counter()
        self.took_s, self.most_running = [], collections.Counter()
        self.events, self.numbers, self.rounds = [], itertools.count(), itertools.count()

    def at(self, delay_s, action, *args):
        heapq.heappush(
            self.events, (self.clock.now_s() + delay_s, next(self.numbers), action, args)
        )

    def run(self, duration_s):
        """Go on for some seconds; return the times of the requests that ended meanwhile."""
        if not self.events:
            self.at(0.0, self._arrive)
            self.at(0.0, self._change_noise)
            for instance in range(self.instances):
                self.at(self.rng.uniform(0.0, gossip.ROUND_INTERVAL_S), self._report, instance)
        begun, end_s = len(self.took_s), self.clock.now_s() + duration_s
        while self.events[0][0] <= end_s:
            at_s, _, action, args = heapq.heappop(self.events)
            self.clock.advance(max(0.0, at_s - self.clock.now_s()))
            action(*args)
        self.clock.advance(max(0.0, end_s - self.clock.now_s()))
        return self.took_s[begun:]

    def restart(self, number, speed):
        """Restart an upstream at another speed."""
        old = self.upstreams[number]
        new = builders.upstream(old.id, old.service, old.stage, slots=SLOTS, born_ms=2)
        self.upstreams[number], self.speed_by_id[old.id] = new, speed
        for each in self.observers:
            each.remove(old)

    def ratios(self, instance=0):
        """Return the assumed time for a unit of work at each upstream over the median."""
        known = self.observers[instance].capacities("planner")
        return [known.ratio(each, self.kind) for each in self.upstreams]

    def context(self, instance):
        peers = {
            key: _difference(each, self.told[instance][key])
            for key, each in self.told_total.items()
        }
        return placement.PlacementContext(
            self.clock.now_s(),
            "a",
            (*self.upstreams, self.decode),
            load.Load(dict(self.own[instance]), peers),
            {},
            staleness_s=0.1,
            seed=self.rng.getrandbits(32),
            generations_per_s=self.per_s,
            capacities=self.observers[instance].capacities("planner"),
        )

    def _change_noise(self):
        if self.has_noise:
            count = len(self.upstreams)
            self.noisy = frozenset(
                each.id for each in self.upstreams if self.noise_rng.random() < NOISE_SHARE
            )
            assert len(self.noisy) <= count
        self.at(NOISE_PERIOD_S, self._change_noise)

    def _arrive(self):
        self.at(self.rng.expovariate(self.per_s), self._arrive)
        instance = self.rng.randrange(self.instances)
        context = self.context(instance)
        prompt = entities.Prompt(round(self.rng.triangular(1000, 11_000, 3600)), 800, 800)
        if self.kind is PREFILL:
            chosen = placement.choose_generation(context, builders.MODEL_SERVICE, prompt).prefill
            amount, unit_s = prompt.tokens, 1.0 / PREFILL_TOKENS_PER_S
        else:
            chosen = placement.choose_plain(context, "planner")
            amount, unit_s = 1, CALL_S * self.rng.uniform(0.67, 1.33)
        key = chosen.id
        slow = NOISE_FACTOR if key in self.noisy else 1.0
        seconds = amount * unit_s * slow / self.speed_by_id[key]
        self.running[key] += 1
        self.most_running[key] = max(self.most_running[key], self.running[key])
        if self.kind is PREFILL:
            self.free_s[key][0] = max(self.clock.now_s(), self.free_s[key][0]) + seconds
            took_s = self.free_s[key][0] - self.clock.now_s()
        else:
            # Beyond its concurrency, an upstream divides its speed among the requests.
            seconds *= max(1.0, min(SLOTS, self.running[key]) / self.knee_by_id[key])
            slots = self.free_s[key]
            first = min(range(SLOTS), key=slots.__getitem__)
            slots[first] = max(self.clock.now_s(), slots[first]) + seconds
            took_s = slots[first] - self.clock.now_s()
        work = load.Work(1, amount)
        self._add(instance, key, work)
        known = context.upstream_load.at(key)
        call = None
        if self.kind is PREFILL:
            call = self.observers[instance].begin_prefill(chosen, prompt.tokens, known)
        self.at(took_s, self._end, instance, chosen, work, known, took_s, call)

    def _add(self, instance, key, work):
        self.own[instance][key] = self.own[instance][key].plus(work)
        self.at(self.rng.uniform(*WORK_REPORT_DELAY_S), self._tell, instance, key, work)

    def _tell(self, instance, key, work):
        self.told[instance][key] = self.told[instance][key].plus(work)
        self.told_total[key] = self.told_total[key].plus(work)

    def _end(self, instance, upstream, work, known, took_s, call):
        self.running[upstream.id] -= 1
        self._add(instance, upstream.id, _negative(work))
        self.took_s.append(took_s)
        observer = self.observers[instance]
        if self.kind is PREFILL:
            observer.end_prefill(call, True)
        else:
            observer.observe(upstream, CALL, max(1, known.requests + 1), took_s)

    def _report(self, sender):
        self.at(gossip.ROUND_INTERVAL_S, self._report, sender)
        peers = [each for each in range(self.instances) if each != sender]
        first = next(self.rounds) // self.instances * gossip.FAN_OUT_PEERS % len(peers)
        receivers = (peers + peers)[first : first + min(len(peers), gossip.FAN_OUT_PEERS)]
        entries = self.observers[sender].share()
        for each in receivers:
            if not self.lost(sender, each):
                self.at(self.rng.uniform(*REPORT_DELAY_S), self._hear, sender, each, entries)

    def _hear(self, sender, receiver, entries):
        by_incarnation = {each.incarnation: each for each in self.upstreams}
        for each in entries:
            upstream = by_incarnation.get((each.upstream, each.born_ms))
            if upstream is not None:
                self.observers[receiver].record_shared(upstream, f"i{sender}", each)


def _difference(total, part):
    # The end of a request may be reported sooner than its start.
    return load.Work(max(0, total.requests - part.requests), max(0, total.tokens - part.tokens))


def _negative(work):
    return load.Work(-work.requests, -work.tokens)


def mean(values):
    return statistics.fmean(values)


def p95(values):
    return sorted(values)[int(0.95 * len(values))]
