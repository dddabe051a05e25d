"""An upstream that has just started gets few requests, whatever the entries and responses say twice.

Guards against crashes of cold upstreams: the limits that upstreams name hold over 4 s, and 25 instances that
share 18 requests a second may save up 50 for one second, where 32 are allowed.
"""

from __future__ import annotations

import dataclasses
import math
import random

import pytest

from carawaydoor.policy import cold_upstreams, entities, upstream_limits
from tests.policy import builders

UPSTREAM = ("u", 1)
SERVICE = dataclasses.replace(builders.PLAIN_SERVICE, cold_start_s=3.0, cold_per_s=18.0)
SHARING = cold_upstreams.ColdSharing(1.5, 5.0)
BOUND = 1.5 * 18.0 + 5.0
RISEN_S = cold_upstreams.RISE_S


def entry(remaining_s=0.0, revision=1, born_ms=1):
    listed = builders.upstream("u", born_ms=born_ms)
    return dataclasses.replace(listed, cold_remaining_s=remaining_s, entry_revision=revision)


def listed(*entries_at, is_first_list=False):
    """Return the state after entries were read at some times."""
    state = cold_upstreams.ColdUpstreams()
    for number, (now_s, each) in enumerate(entries_at):
        is_first = is_first_list and number == 0
        state = cold_upstreams.record_listed(state, now_s, [each], is_first)
    return state


def limit(state, now_s, service=SERVICE, born_ms=1):
    period = state.period_by_incarnation.get(("u", born_ms))
    return None if period is None else cold_upstreams.limit_per_s(period, service, now_s)


def test_new_incarnation_is_cold_even_if_its_entry_does_not_say_so():
    state = listed((100.0, entry()))
    assert [limit(state, 100.0 + s) for s in (0.0, 2.99)] == [18.0, 18.0]


def test_limit_rises_before_it_is_removed():
    state = listed((100.0, entry()))
    rising = [limit(state, 103.0 + s) for s in (0.0, 1.0, 2.0, RISEN_S)]
    assert rising == [36.0, 72.0, 144.0, None]


def test_upstream_of_the_first_list_is_cold_only_if_its_entry_says_so():
    assert limit(listed((100.0, entry()), is_first_list=True), 100.0) is None
    state = listed((100.0, entry(2.0)), is_first_list=True)
    assert [limit(state, 100.0 + s) for s in (0.0, 1.99, 2.0)] == [18.0, 18.0, 36.0]


def test_entry_that_is_read_again_is_no_new_statement():
    """A snapshot after an outage shows entries that were read long before."""
    state = listed((100.0, entry(2.0)), (110.0, entry(2.0)), is_first_list=True)
    assert limit(state, 110.0) is None


def test_upstream_that_becomes_cold_again_is_noticed():
    state = listed((100.0, entry(2.0)), (110.0, entry(2.0, 2)), is_first_list=True)
    assert limit(state, 111.9) == 18.0
    state = cold_upstreams.record_stated(state, 130.0, entry(), 1.0)
    assert limit(state, 130.9) == 18.0


def test_latest_end_counts():
    """An older entry may arrive after a response that is newer."""
    state = cold_upstreams.record_stated(listed((100.0, entry())), 102.0, entry(), 3.0)
    state = cold_upstreams.record_listed(state, 102.5, [entry(0.5, 2)], False)
    state = cold_upstreams.record_stated(state, 103.0, entry(), 0.1)
    assert limit(state, 104.9) == 18.0


def test_incarnation_that_reappears_is_not_new_but_the_next_one_is():
    """Entries expire in an outage of the store, and are written again after it."""
    state = cold_upstreams.without_past(listed((100.0, entry())), 120.0, {"bookings": SERVICE})
    assert state.period_by_incarnation == {}
    state = cold_upstreams.record_listed(state, 130.0, [entry(revision=9)], False)
    assert limit(state, 130.0) is None
    state = cold_upstreams.record_listed(state, 140.0, [entry(born_ms=2)], False)
    assert limit(state, 140.0, born_ms=2) == 18.0


@pytest.mark.parametrize(
    "service", [builders.PLAIN_SERVICE, dataclasses.replace(SERVICE, cold_per_s=0.0)]
)
def test_service_without_a_rate_has_no_cold_limit(service):
    assert limit(listed((100.0, entry(3.0))), 100.0, service) is None


def test_service_that_is_never_cold_at_its_start_obeys_what_is_stated():
    service = dataclasses.replace(SERVICE, cold_start_s=0.0)
    assert limit(listed((100.0, entry())), 100.0, service) is None
    assert limit(listed((100.0, entry(1.0))), 100.0, service) == 18.0


def test_configuration_may_be_read_after_the_list():
    state = cold_upstreams.without_past(listed((100.0, entry())), 101.0, {})
    assert limit(state, 102.0) == 18.0


@pytest.mark.parametrize("text", ["", "soon", "-1", "nan", "inf", "-inf", "1e300", "9" * 400])
def test_unusable_time_is_reported(text):
    with pytest.raises(cold_upstreams.ColdTimeError):
        cold_upstreams.parse_remaining_s(text)


def test_many_servers_do_not_make_the_memory_grow():
    state = cold_upstreams.ColdUpstreams()
    servers = [builders.upstream(f"u-{n}") for n in range(cold_upstreams.MAX_REMEMBERED + 5)]
    state = cold_upstreams.record_listed(state, 1.0, servers, True)
    assert len(state.seen_by_id) == cold_upstreams.MAX_REMEMBERED
    assert "u-0" not in state.seen_by_id


@pytest.mark.parametrize("size", [1, 2, 7, 20, 25, 89, 710])
@pytest.mark.parametrize("overshoot, slack", [(1.5, 5.0), (1.0, 5.0), (1.0, 0.0), (3.0, 0.0)])
@pytest.mark.parametrize("limit_per_s", [1.0, 2.3, 18.0, 36.0, 144.0])
def test_all_permits_of_a_second_stay_within_the_bound(size, overshoot, slack, limit_per_s):
    """Each of the sharing instances sends what it has saved up, and then whatever comes up."""
    sharing = cold_upstreams.ColdSharing(overshoot, slack)
    fleet = upstream_limits.Fleet((), 1.0, True, tuple(f"i-{n}" for n in range(size)))
    count = sharing.instance_count(limit_per_s, fleet)
    share_per_s = sharing.usable_per_s(limit_per_s, fleet) / count
    saved = sharing.max_saved(share_per_s)
    in_second = math.ceil(share_per_s + saved - 1.0 - 1e-9)
    bound = limit_per_s * overshoot + slack
    assert count * in_second <= bound
    assert count * saved <= bound


class SlicedFleet:
    """Instances of which each sends whenever it has a permit, as callers wait at all of them."""

    def __init__(self, size):
        self.names = tuple(sorted(f"i-{number}" for number in range(size)))
        self.sent_s = []
        self.states = {name: upstream_limits.create(name, SHARING) for name in self.names}
        self.set_fleets(0.0, [self.names])
        statement = upstream_limits.Statement(*UPSTREAM, 18.0, 0.0)
        for name, state in self.states.items():
            self.states[name] = upstream_limits.record(state, 0.0, statement)

    def set_fleets(self, now_s, sides):
        """Divide the instances into sides that know each other but do not reach each other."""
        for side in sides:
            fleet = upstream_limits.Fleet(side, len(side) / len(self.names), True, self.names)
            for name in side:
                self.states[name] = upstream_limits.with_fleet(self.states[name], now_s, fleet)

    def run(self, from_s, until_s, step_s=0.01):
        for step in range(round((until_s - from_s) / step_s)):
            now_s = from_s + step * step_s
            for name in self.names:
                state, is_taken = upstream_limits.take(self.states[name], now_s, UPSTREAM)
                self.states[name] = state
                self.sent_s += [now_s] * is_taken


def most_in_a_second(sent_s):
    return max(sum(start <= each < start + 1.0 for each in sent_s) for start in sent_s)


@pytest.mark.parametrize("size", [8, 20, 89])
@pytest.mark.parametrize("side_size", [1, 7])
def test_divided_fleet_keeps_the_bound_after_a_pause(size, side_size):
    """With shares of the reachable instances, each side of one would have a whole permit."""
    fleet = SlicedFleet(size)
    names = list(fleet.names)
    random.Random(1).shuffle(names)
    sides = [tuple(sorted(names[n : n + side_size])) for n in range(0, size, side_size)]
    fleet.run(2.0, 6.0)
    fleet.set_fleets(6.0, sides)
    fleet.run(8.0, 12.0)
    assert most_in_a_second(fleet.sent_s) <= BOUND
    assert len(fleet.sent_s) >= 0.9 * 18.0 * 8.0


def test_instance_that_loses_its_share_loses_its_permits():
    state = SlicedFleet(8).states["i-0"]
    state = upstream_limits.with_fleet(
        state, 2.0, upstream_limits.Fleet(("i-0",), 1.0, False, ("i-0",))
    )
    assert upstream_limits.take(state, 10.0, UPSTREAM)[1] is False


def test_permits_of_a_higher_limit_are_lost_with_the_share():
    """An upstream may become cold again while its limit rises and 64 instances share it."""
    states = SlicedFleet(89).states
    for at_s, limit_per_s in ((2.0, 144.0), (5.0, 18.0)):
        statement = upstream_limits.Statement(*UPSTREAM, limit_per_s, at_s)
        states = {
            key: upstream_limits.record(each, at_s, statement) for key, each in states.items()
        }
    taken = sum(upstream_limits.take(each, 5.0, UPSTREAM)[1] for each in states.values())
    assert 18 <= taken <= BOUND


def test_instance_alone_takes_a_part():
    """It may be cut off from a fleet that it never heard of."""
    fleet = upstream_limits.Fleet(("i-0",), 1.0 / 8.0, True, ("i-0",))
    assert SHARING.usable_per_s(18.0, fleet) == pytest.approx(18.0 / 8.0)


def test_changed_remaining_time_is_not_a_changed_upstream():
    assert entry(2.0, 1) == entry(1.0, 2)
    assert entities.Upstream.__hash__(entry(2.0, 1)) == hash(entry(1.0, 2))
