"""An instance knows for how long its peers have known more of the source than itself."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from carawaydoor.policy import source_lag

STEPS = st.lists(st.tuples(st.sampled_from(["peer", "own"]), st.integers(1, 30)), max_size=60)


@given(STEPS)
def test_lag_is_that_of_a_position_that_is_missing(steps):
    """A model that remembers when each position was first reported."""
    state, own = source_lag.Lag(), 0
    heard_s_by_position: dict[int, float] = {}
    for now_s, (kind, position) in enumerate(steps):
        if kind == "peer":
            heard_s_by_position.setdefault(position, now_s)
            state = source_lag.record_peer(state, now_s, own, position)
        else:
            own = max(own, position)
            state = source_lag.record_own(state, own)
        missing_s = [heard for each, heard in heard_s_by_position.items() if each > own]
        behind_s = source_lag.behind_s(state, now_s)
        assert behind_s <= max((now_s - each for each in missing_s), default=0.0)
        if missing_s:
            newest = max(heard_s_by_position)
            assert behind_s >= now_s - heard_s_by_position[newest]
        else:
            assert state == source_lag.Lag()
