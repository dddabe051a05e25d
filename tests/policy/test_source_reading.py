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
