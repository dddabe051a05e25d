"""Revisions come in force whole and in rising order, whatever order their documents arrive in."""

from __future__ import annotations

import functools

from hypothesis import stateful
from hypothesis import strategies as st

from carawaydoor.publishing import config_objects, configuration_state, revisions
from tests import faults

WORKSPACES = 200
NUMBERS = st.integers(1, 6)
AUTHORS = st.sampled_from(["anna", "bo"])


@functools.cache
def published(number: int, author: str) -> revisions.Revision:
    """Return the revision that an operator publishes under a number."""
    items: list[config_objects.AnyObject] = [
        config_objects.FailureDomain(kind="failure_domain", name="fd", standing_share=0.1),
        *(
            config_objects.Workspace(
                kind="workspace", name=f"w{each}", rate_tokens_per_s=number, burst_tokens=100.0
            )
            for each in range(WORKSPACES)
        ),
        config_objects.Key(
            kind="key",
            name="k",
            workspace="w1",
            sha256="0" * 64,
            withdrawn=number % 2 == 0,
        ),
        config_objects.Workspace(
            kind="workspace", name=author, rate_tokens_per_s=1.0, burst_tokens=1.0
        ),
    ]
    return revisions.build(number, items)


class Arrival(stateful.RuleBasedStateMachine):
    """Manifests and parts arrive late, doubled, out of order, damaged, from two operators."""

    def __init__(self) -> None:
        super().__init__()
        self.state = configuration_state.EMPTY
        self.highest = 0
        self.in_force: bytes = b""

    @stateful.rule(number=NUMBERS, author=AUTHORS)
    def offer(self, number: int, author: str) -> None:
        """A manifest arrives."""
        revision = published(number, author)
        before = configuration_state.revision_number(self.state)
        self.state, outcome = configuration_state.offer_manifest(
            self.state, revision.manifest_bytes
        )
        if number < before:
            assert outcome is configuration_state.Outcome.OLDER

    @stateful.rule(number=NUMBERS, author=AUTHORS, some=st.integers(0, 9), damaged=st.booleans())
    def arrive(self, number: int, author: str, some: int, damaged: bool) -> None:
        """Some parts arrive, perhaps damaged."""
        parts = dict(list(published(number, author).part_by_digest.items())[some % 3 :])
        if damaged:
            parts = {key: content + b" " for key, content in parts.items()}
        self.state, _ = configuration_state.add_parts(self.state, parts)

    @stateful.rule()
    def complete(self) -> None:
        """All parts of the pending revision arrive."""
        for number in range(1, 7):
            for author in ("anna", "bo"):
                parts = published(number, author).part_by_digest
                self.state, _ = configuration_state.add_parts(self.state, parts)

    @stateful.invariant()
    def whole_and_never_back(self) -> None:
        """What is in force is one whole revision, and its number never falls."""
        number = configuration_state.revision_number(self.state)
        assert number >= self.highest
        if number == self.highest and number > 0:
            assert self.state.current is not None
            assert self.state.current.manifest_bytes == self.in_force
        self.highest = number
        if self.state.current is None:
            return
        self.in_force = self.state.current.manifest_bytes
        loaded = revisions.load(self.state.current)
        assert loaded.is_ok()
        rates = [
            each.rate_tokens_per_s
            for name, each in self.state.catalog.workspace_by_name.items()
            if name.startswith("w")
        ]
        assert rates == [float(number)] * WORKSPACES

    @stateful.invariant()
    def withdrawal_does_not_wait_for_parts(self) -> None:
        """A key that the newest manifest withdraws is withdrawn, also while parts are missing."""
        if self.state.pending is not None and self.state.pending.manifest.withdrawn:
            assert "0" * 64 in configuration_state.withdrawn_key_digests(self.state)


TestArrival = Arrival.TestCase
TestArrival.settings = faults.SETTINGS


def test_same_number_with_another_content_is_a_conflict() -> None:
    """Of two operators' revisions under one number only the first comes in force."""
    state = configuration_state.EMPTY
    for author, expected in (
        ("anna", configuration_state.Outcome.IN_FORCE),
        ("bo", configuration_state.Outcome.CONFLICT),
    ):
        revision = published(3, author)
        state, outcome = configuration_state.offer_manifest(state, revision.manifest_bytes)
        if outcome is configuration_state.Outcome.PENDING:
            state, outcome = configuration_state.add_parts(state, revision.part_by_digest)
        assert outcome is expected
    assert "anna" in state.catalog.workspace_by_name


def test_one_change_touches_one_part() -> None:
    """Two revisions that differ in one object share all parts but one."""
    one, other = published(1, "anna"), published(1, "bo")
    differing = set(one.part_by_digest) ^ set(other.part_by_digest)
    assert len(one.part_by_digest) > 2
    assert len(differing) <= 4
