"""Positions order by era and then by revision."""

from __future__ import annotations

import hypothesis
from hypothesis import strategies as st

from carawaydoor.policy import source_position, stage_balance

ERAS = st.integers(0, 1000)
REVISIONS = st.integers(0, 2**source_position.REVISION_BITS - 1)


@hypothesis.given(st.tuples(ERAS, REVISIONS), st.tuples(ERAS, REVISIONS))
def test_positions_order_like_pairs(first, second):
    positions = [source_position.create(*each) for each in (first, second)]
    assert (positions[0] < positions[1]) == (first < second)


@hypothesis.given(ERAS, REVISIONS)
def test_parts_of_a_position(era, revision):
    position = source_position.create(era, revision)
    assert (source_position.era_of(position), source_position.revision_of(position)) == (
        era,
        revision,
    )


def test_position_of_a_store_without_eras_is_its_revision():
    assert source_position.create(0, 411) == 411


def test_fencing_epochs_rise_over_a_restore():
    """Revisions go back with a restore, and an engine rejects an epoch below one it has seen."""
    before = stage_balance.fencing_epoch(source_position.create(1, 900), "a")
    assert stage_balance.fencing_epoch(source_position.create(2, 30), "b") > before
