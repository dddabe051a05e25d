"""A few instances of each failure domain read the source, and nobody depends on a dead one."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from carawaydoor.policy import source_reading


def candidates(count, connected=None):
    names = [f"i{n}" for n in range(count)]
    return [
        source_reading.Candidate(each, connected is None or each in connected) for each in names
    ]


@pytest.mark.parametrize("count", [1, 2, 8])
def test_every_instance_of_a_small_domain_reads(count):
    assert len(source_reading.readers(candidates(count))) == count


@pytest.mark.parametrize("count", [9, 33, 200])
def test_number_of_readers_does_not_grow_with_the_domain(count):
    assert len(source_reading.readers(candidates(count))) == source_reading.READERS_PER_DOMAIN


@given(st.permutations(candidates(33)))
def test_every_instance_that_hears_the_same_peers_names_the_same_readers(shuffled):
    assert source_reading.readers(shuffled) == source_reading.readers(candidates(33))


def test_instances_that_reach_the_source_go_first():
    assert set(source_reading.readers(candidates(33, {"i4", "i7", "i9"}))) == {"i4", "i7", "i9"}


def test_lost_reader_is_replaced_while_the_others_stay():
    before = source_reading.readers(candidates(33))
    remaining = [
        each for each in candidates(33, connected=set(before)) if each.instance != before[0]
    ]
    after = source_reading.readers(remaining)
    assert set(before[1:]) < set(after)
    assert len(after) == source_reading.READERS_PER_DOMAIN


@pytest.mark.parametrize("stable_window_s, drain_s", [(3.0, 2.0), (4.0, 3.0), (5.0, 4.0)])
def test_instance_reads_itself_before_a_leaving_upstream_must_be_known(stable_window_s, drain_s):
    timing = source_reading.timing(stable_window_s)
    assert timing.reader_watch_s < timing.proof_request_age_s < timing.self_reading_age_s
    assert timing.self_reading_age_s < drain_s


def linked(mbps_by_name):
    return [source_reading.Candidate(each, True, mbps) for each, mbps in mbps_by_name.items()]


# Regression: which instances read the source followed from their names alone, so that all copies of a
# configuration for a failure domain could cross one slow link.
def test_instances_with_the_fastest_links_read_the_source():
    mbps_by_name = {f"i{n}": 200.0 if n in (5, 11) else 10.0 for n in range(20)}
    assert {"i5", "i11"} < set(source_reading.readers(linked(mbps_by_name)))


# Regression: all followers asked the same reader first.
@pytest.mark.parametrize(
    "mbps_by_name",
    [
        {"a": 10.0, "b": 10.0, "c": 10.0},
        {"a": 0.0, "b": 0.0, "c": 0.0},
        {"a": 200.0, "b": 200.0, "c": 10.0},
        {"a": 200.0, "b": 0.0, "c": 10.0},
    ],
)
def test_followers_are_spread_over_the_readers_in_proportion_to_their_links(mbps_by_name):
    count = 3000
    readers = linked(mbps_by_name)
    orders = [source_reading.order_for(f"f{n}", readers) for n in range(count)]
    assert all(sorted(each) == sorted(mbps_by_name) for each in orders)
    known_mbps = [each for each in mbps_by_name.values() if each]
    weight_by_name = {
        name: mbps or min(known_mbps, default=1.0) for name, mbps in mbps_by_name.items()
    }
    for name, weight in weight_by_name.items():
        share = sum(each[0] == name for each in orders) / count
        assert share == pytest.approx(weight / sum(weight_by_name.values()), abs=0.05)
