"""Upstreams that are cold get few requests from all instances together."""

from __future__ import annotations

import dataclasses
import heapq
import itertools
import json
import random

import pytest

from carawaydoor.fleet import codec
from carawaydoor.operating import clocks, configuration_source, platform_options
from carawaydoor.platform import names, platform_settings, store_documents, store_source
from carawaydoor.policy import entities, upstream_directory
from carawaydoor.serving import upstream_limiter
from tests.platform_side import router_harness, stored_documents
from tests.platform_side.fake_upstream import Behaviour
from tests.policy import builders

COLD = names.Header.COLD_MS.value
LIMIT = names.Header.LIMIT.value
BOUND = 1.5 * 18.0 + 5.0
REPORT_INTERVAL_S = 0.25


def configure(harness, start_s=3.0, per_s=18.0, revision=2):
    """Apply a configuration in which all services have the same times and rates of cold upstreams."""
    services = [
        dataclasses.replace(each, cold_start_s=start_s, cold_per_s=per_s)
        for each in (builders.MODEL_SERVICE, builders.PLAIN_SERVICE)
    ]
    configuration = dataclasses.replace(
        harness.instance.configuration,
        revision=revision,
        version=revision,
        service_by_name={each.name: each for each in services},
    )
    harness.instance.adopt(configuration)
    harness.instance.confirm_revision(revision, harness.clock.now_s())


def write_entry(instance, before, remaining_s=0.0, revision=2, **changes):
    """Apply an entry of a server as if it was read from the store."""
    entry = dataclasses.replace(
        before, cold_remaining_s=remaining_s, entry_revision=revision, **changes
    )
    instance.update_directory(upstream_directory.Changes({entry.id: entry}, revision))
    return entry


@pytest.fixture
def logged(monkeypatch):
    lines = []
    monkeypatch.setattr("eliot.log_message", lambda **fields: lines.append(fields))
    return lambda kind: [each for each in lines if each["message_type"] == kind]


@pytest.fixture
def harness():
    """Provide an instance alone in its fleet, which has the whole limit, and its list of upstreams."""
    with router_harness.running(clocks.ManualClock()) as running:
        configure(running)
        running.add_upstream("first")
        running.clock.advance(2.0)
        running.instance.expire()
        yield running


def limit_per_s(harness, name):
    upstream = harness.instance.directory.upstream_by_id[name]
    return harness.instance.upstream_limiter.limit_per_s(upstream)


def test_upstream_that_starts_is_cold_and_one_that_was_there_is_not(harness, logged):
    harness.add_upstream("a")
    assert [limit_per_s(harness, each) for each in ("first", "a")] == [None, 18.0]
    limits = []
    for _ in range(31):
        harness.clock.advance(0.2)
        harness.instance.expire()
        limits.append(limit_per_s(harness, "a"))
    assert list(dict.fromkeys(limits)) == [18.0, 36.0, 72.0, 144.0, None]
    (line,) = logged("upstream_cold")
    assert (line["upstream"], line["source"], line["remaining_s"]) == ("a", "start", 3.0)
    assert len(logged("upstream_cold_over")) == 1


def test_entries_of_a_cold_upstream_are_no_changes(harness, logged):
    """Each has another remaining time; nothing else may follow from it."""
    harness.add_upstream("a")
    upstream = harness.instance.directory.upstream_by_id["a"]
    harness.instance.selector.record_no_memory(upstream)
    before = harness.instance.selector.health
    lines = len(logged("upstream_joined")), len(logged("upstream_cold"))
    for revision in range(3, 9):
        harness.clock.advance(0.3)
        write_entry(harness.instance, upstream, 3.0 - 0.3 * revision + 0.6, revision)
    assert (len(logged("upstream_joined")), len(logged("upstream_cold"))) == lines == (1, 1)
    assert harness.instance.selector.health == before
    assert limit_per_s(harness, "a") == 18.0


def test_upstream_that_becomes_cold_again_is_limited_again(harness, logged):
    write_entry(harness.instance, harness.instance.directory.upstream_by_id["first"], 3.0)
    assert limit_per_s(harness, "first") == 18.0
    (line,) = logged("upstream_cold")
    assert line["source"] == "entry"


def test_wall_clock_does_not_matter(harness):
    harness.add_upstream("a")
    for jump_s in (-3600.0, 7200.0):
        harness.clock._wall_s += jump_s
        harness.instance.expire()
        assert limit_per_s(harness, "a") == 18.0


@pytest.mark.parametrize("behaviour", [Behaviour.ANSWER, Behaviour.REJECT])
def test_response_states_that_an_upstream_is_cold(harness, logged, behaviour):
    harness.upstreams["first"].notice_headers = {COLD: "2500"}
    harness.upstreams["first"].behaviours = [behaviour]
    for _ in range(3):
        response = harness.call("/safe/x").read()
    assert COLD.lower() not in response.headers
    assert limit_per_s(harness, "first") == 18.0
    assert [each["source"] for each in logged("upstream_cold")] == ["response"]


@pytest.mark.parametrize("text", ["soon", "-1", "nan", "inf", "1e300"])
def test_unusable_time_in_a_response_is_logged_and_ignored(harness, logged, text):
    harness.upstreams["first"].notice_headers = {COLD: text}
    assert harness.call("/safe/x").read().status == 200
    assert limit_per_s(harness, "first") is None
    assert [each["upstream"] for each in logged("cold_time_malformed")] == ["first"]


@pytest.mark.parametrize("behaviour", [Behaviour.MISDIRECT, Behaviour.OTHER_REQUEST_ID])
def test_time_in_a_response_to_another_request_is_ignored(harness, behaviour):
    harness.upstreams["first"].notice_headers = {COLD: "2500"}
    harness.upstreams["first"].behaviours = [behaviour]
    harness.call("/unsafe/x", method="POST").read()
    assert limit_per_s(harness, "first") is None


@pytest.mark.parametrize("named, lower", [("2.5", 2.5), ("100", 18.0)])
def test_lower_of_a_named_limit_and_the_cold_one_holds(harness, named, lower):
    harness.add_upstream("a")
    upstream = harness.instance.directory.upstream_by_id["a"]
    limiter = harness.instance.upstream_limiter
    limiter.record_text(upstream, named, harness.clock.now_s())
    assert limiter.limit_per_s(upstream) == lower
    sent = 0
    for _ in range(200):
        harness.clock.advance(0.01)
        sent += limiter.take(upstream)
    assert lower * 1.5 <= sent <= lower * 2.0 + 2.0
    harness.clock.advance(10.0)
    harness.instance.expire()
    assert limiter.limit_per_s(upstream) == float(named), "the end of the cold time ends no other"


def test_service_that_is_cold_as_a_whole_refuses_what_is_too_much(harness):
    harness.instance.update_directory(upstream_directory.Changes({"first": None}, 3))
    upstream = harness.add_upstream("a")
    responses = []
    for _ in range(60):
        harness.clock.advance(0.02)
        responses.append(harness.call("/safe/x").read())
    refused = [each for each in responses if each.status == 503]
    assert 10 <= len(upstream.received) <= BOUND
    assert len(refused) + len(upstream.received) == 60
    assert b"upstream-limited" in refused[0].body
    delays_s = [float(each.headers["retry-after"]) for each in refused]
    assert max(delays_s) <= 6.0 * 1.25, "no longer than the limit lasts"


def test_cold_engine_gets_no_copies_holds_and_orders():
    """They are left out where a limit is named, by the same question to the limiter."""
    with router_harness.running(clocks.ManualClock()) as running:
        configure(running)
        running.add_upstream("d", entities.Stage.DECODE)
        running.clock.advance(2.0)
        running.instance.expire()
        running.add_upstream("e", entities.Stage.DECODE)
        decode = running.instance.directory.upstream_by_id["d"]
        service = running.instance.configuration.service_by_name["planner"]
        prompt = entities.Prompt(5000, 2000, 2000)
        reserve = running.instance.selector.reserve_backup
        assert reserve(service, prompt, decode) is None
        running.clock.advance(10.0)
        running.instance.expire()
        assert reserve(service, prompt, decode).id == "e"


@pytest.mark.parametrize("value", [-1, "soon", None, [], True, 10**30])
def test_odd_times_and_rates_affect_nothing_else(value):
    server = {**stored_documents.CASES["server"], "coldRemainingMs": value}
    upstream = store_documents.decode_server("i-1", json.dumps(server).encode(), 5)
    assert (upstream.cold_remaining_s, upstream.slots, upstream.entry_revision) == (0.0, 128, 5)
    document = json.loads(json.dumps(stored_documents.CASES["configuration"]))
    document["services"][0] |= {"coldStartS": value, "coldPerS": value}
    document["services"][1] |= {"coldStartS": 3.0, "coldPerS": 18}
    decoded = store_documents.decode_configuration(json.dumps(document).encode(), 3)
    rules = {
        each.name: (each.cold_start_s, each.cold_per_s) for each in decoded.service_by_name.values()
    }
    assert rules == {"planner": (0.0, 0.0), "bookings": (3.0, 18.0)}


@pytest.mark.parametrize(
    "lines, expected", [("", (1.5, 5.0)), ("coldOvershoot = 1.2\ncoldSlack = 3", (1.2, 3.0))]
)
def test_settings_state_the_bound(tmp_path, lines, expected):
    path = tmp_path / "settings.toml"
    text = stored_documents.CASES["settings_text"]
    path.write_text(text.replace("[bounds]", f"[bounds]\n{lines}"))
    bounds = platform_settings.read(path).ok.bounds
    assert (bounds.cold_overshoot, bounds.cold_slack) == expected


def test_instance_that_reads_through_a_peer_counts_from_when_it_learned(harness):
    """What a peer passes on are the entries themselves, later than it has read them."""
    document = {**stored_documents.CASES["server"], "service": "bookings", "coldRemainingMs": 2000}
    item = configuration_source.SourceItem(
        f"{names.SERVERS_PREFIX}z", json.dumps(document).encode(), 7
    )
    source = store_source.StoreSource(platform_options.Address("127.0.0.1", 1))
    for wait_s, expected in ((0.0, 18.0), (1.9, 18.0), (5.0, None)):
        harness.clock.advance(wait_s)
        update = source.take_over(configuration_source.SourceChanges((item,), 7))
        changes = upstream_directory.Changes(update.upstream_by_id, 7)
        configure(harness, start_s=0.0, revision=3)
        harness.instance.update_directory(changes)
        harness.instance.expire()
        assert limit_per_s(harness, "z") == expected


class LateFleet:
    """Instances on one paused clock whose reports arrive 0.1 to 1 s late, without connections."""

    def __init__(self, size, draws):
        self.clock = clocks.ManualClock()
        self.random = draws
        self.on_the_way = []
        self.numbers = itertools.count()
        self.members = [self.started(number) for number in range(size)]
        self.down_until_s = {}
        self.sent_s = []

    def started(self, number):
        member = router_harness.RouterHarness(
            self.clock,
            f"m-{number}",
            peer_host=f"127.0.1.{number + 1}",
            seeds=(
                platform_options.Address("127.0.1.1", 1),
                platform_options.Address("127.0.1.2", 1),
            ),
        )
        configure(member, start_s=60.0)
        return member

    def report(self):
        number_by_host = {each.instance.options.peer_host: n for n, each in enumerate(self.members)}
        for number, member in enumerate(self.members):
            if number in self.down_until_s:
                continue
            member.instance.expire()
            report, hosts, _ = member.instance.compose_report()
            content = codec.encode(report)
            for host in hosts:
                due_s = self.clock.now_s() + self.random.uniform(0.1, 1.0)
                arrival = due_s, next(self.numbers), number_by_host[host], content
                heapq.heappush(self.on_the_way, arrival)

    def deliver(self):
        while self.on_the_way and self.on_the_way[0][0] <= self.clock.now_s():
            _, _, number, content = heapq.heappop(self.on_the_way)
            if number not in self.down_until_s:
                self.members[number].instance.handle_report(codec.decode(content))

    def call(self, member):
        instance = member.instance
        permits = upstream_limiter.RequestPermits(instance.upstream_limiter)
        upstream = instance.selector.reserve_plain("bookings", frozenset(), permits)
        if upstream is not None and permits.use(upstream):
            self.sent_s.append(self.clock.now_s())

    def kill(self, number):
        self.down_until_s[number] = self.clock.now_s() + self.random.uniform(0.2, 2.0)

    def start_due(self, entry):
        for number, until_s in tuple(self.down_until_s.items()):
            if until_s <= self.clock.now_s():
                del self.down_until_s[number]
                self.members[number] = self.started(number)
                snapshot = upstream_directory.Snapshot({entry.id: entry}, 9)
                self.members[number].instance.update_directory(snapshot)

    def run(self, seconds, entry, calls_per_s):
        for _ in range(round(seconds / 0.025)):
            self.clock.advance(0.025)
            self.start_due(entry)
            if round(self.clock.now_s() / 0.025) % round(REPORT_INTERVAL_S / 0.025) == 0:
                self.report()
            self.deliver()
            for number, member in enumerate(self.members):
                if number not in self.down_until_s and self.random.random() < calls_per_s * 0.025:
                    self.call(member)


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("calls_per_s", [8.0, 40.0])
def test_fleet_keeps_the_bound_with_late_reports_and_restarts(seed, calls_per_s):
    """Guards against the sum of what restarted and surviving instances have saved up."""
    draws = random.Random(seed)
    fleet = LateFleet(20, draws)
    entry = builders.upstream("u")
    for each in fleet.members:
        each.instance.update_directory(upstream_directory.Snapshot({}, 8))
    fleet.run(5.0, entry, 0.0)
    started_s = fleet.clock.now_s()
    for each in fleet.members:
        write_entry(each.instance, entry, 60.0, 9)
    cold_entry = dataclasses.replace(entry, cold_remaining_s=60.0, entry_revision=9)
    fleet.run(2.0, cold_entry, 0.0)
    fleet.run(6.0, cold_entry, calls_per_s)
    used = len(fleet.sent_s) / (18.0 * 6.0)
    for number in draws.sample(range(20), 10):
        fleet.kill(number)
    fleet.run(12.0, cold_entry, calls_per_s)
    used_after = sum(each > started_s + 14.0 for each in fleet.sent_s) / (18.0 * 6.0)
    most = max(sum(start <= each < start + 1.0 for each in fleet.sent_s) for start in fleet.sent_s)
    assert most <= BOUND
    assert min(used, used_after) >= 0.7
