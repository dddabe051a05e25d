"""At which versions a stream may go on, and which instances remember it."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from carawaydoor.policy import stream_versions
from carawaydoor.policy.stream_versions import Origin
from tests.policy import builders

OLD = builders.upstream("old", "planner", version="v1")
NEW = builders.upstream("new", "planner", version="v2")


def test_id_of_two_streams_of_different_versions_stands_for_neither():
    merged = stream_versions.merge(Origin("planner", "v1"), Origin("planner", "v2"))
    assert not stream_versions.matches(OLD, merged.version)
    assert not stream_versions.matches(NEW, merged.version)
    assert stream_versions.merge(merged, Origin("planner", "v1")) == merged


def test_stream_without_events_may_begin_at_any_version():
    assert stream_versions.matches(OLD, None)
    assert not stream_versions.matches(OLD, stream_versions.UNKNOWN_VERSION)


@settings(derandomize=True, deadline=None)
@given(st.text(max_size=20), st.integers(1, 60), st.integers(1, 6))
def test_every_instance_names_the_same_few_homes_in_different_domains(key, size, domains):
    domain_by_instance = {f"m-{n}": f"d-{n % domains}" for n in range(size)}
    holders = stream_versions.holders(key, domain_by_instance)
    reversed_order = dict(reversed(domain_by_instance.items()))
    assert holders == stream_versions.holders(key, reversed_order)
    assert len(set(holders)) == len(holders)
    if size <= stream_versions.MAX_TOLD_PEERS:
        assert len(holders) == size
    else:
        assert len(holders) == stream_versions.HOLDERS_PER_STREAM
        expected = min(domains, stream_versions.HOLDERS_PER_STREAM)
        assert len({domain_by_instance[each] for each in holders}) == expected
