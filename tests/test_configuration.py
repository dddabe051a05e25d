"""Revisions come into force complete and in rising order, however their documents arrive."""

from __future__ import annotations

import functools

from hypothesis import stateful
from hypothesis import strategies as st

from carawaydoor.publishing import config_objects, configuration_state, revisions
from tests import faults

WORKSPACE_COUNT = 200
REVISION_NUMBERS = st.integers(1, 6)
AUTHORS = st.sampled_from(["anna", "bo"])


@functools.cache
def published_revision(number: int, author: str) -> revisions.Revision:
    """Return the revision that an author publishes with a number."""
    items: list[config_objects.AnyObject] = [
        config_objects.FailureDomain(kind="failure_domain", name="fd", standing_share=0.1),
        *(
            config_objects.Workspace(
                kind="workspace", name=f"w{each}", rate_tokens_per_s=number, burst_tokens=100.0
            )
            for each in range(WORKSPACE_COUNT)
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
    """Manifests and parts of two authors arrive late, repeated, out of order or damaged."""

    def __init__(self) -> None:
        super().__init__()
        self.state = configuration_state.EMPTY
        self.highest_number = 0
        self.manifest_in_force: bytes = b""

    @stateful.rule(number=REVISION_NUMBERS, author=AUTHORS)
    def offer(self, number: int, author: str) -> None:
        """A manifest arrives."""
        revision = published_revision(number, author)
        before = configuration_state.revision_number(self.state)
        self.state, outcome = configuration_state.offer_manifest(
            self.state, revision.manifest_bytes
        )
        if number < before:
            assert outcome is configuration_state.Outcome.OLDER

    @stateful.rule(
        number=REVISION_NUMBERS, author=AUTHORS, some=st.integers(0, 9), damaged=st.booleans()
    )
    def arrive(self, number: int, author: str, some: int, damaged: bool) -> None:
        """Some parts of a revision arrive, intact or damaged."""
        parts = dict(list(published_revision(number, author).part_by_digest.items())[some % 3 :])
        if damaged:
            parts = {key: content + b" " for key, content in parts.items()}
        self.state, _ = configuration_state.add_parts(self.state, parts)

    @stateful.rule()
    def complete(self) -> None:
        """All parts of the pending revision arrive."""
        for number in range(1, 7):
            for author in ("anna", "bo"):
                parts = published_revision(number, author).part_by_digest
                self.state, _ = configuration_state.add_parts(self.state, parts)

    @stateful.invariant()
    def whole_and_never_back(self) -> None:
        """The objects in force are those of one revision, and its number never falls."""
        number = configuration_state.revision_number(self.state)
        assert number >= self.highest_number
        if number == self.highest_number and number > 0:
            assert self.state.current is not None
            assert self.state.current.manifest_bytes == self.manifest_in_force
        self.highest_number = number
        if self.state.current is None:
            return
        self.manifest_in_force = self.state.current.manifest_bytes
        loaded = revisions.load(self.state.current)
        assert loaded.is_ok()
        rates = [
            each.rate_tokens_per_s
            for name, each in self.state.catalog.workspace_by_name.items()
            if name.startswith("w")
        ]
        assert rates == [float(number)] * WORKSPACE_COUNT

    @stateful.invariant()
    def withdrawal_does_not_wait_for_parts(self) -> None:
        """A key that the newest manifest withdraws is refused even while parts are missing."""
        if self.state.pending is not None and self.state.pending.manifest.withdrawn:
            assert "0" * 64 in configuration_state.withdrawn_key_digests(self.state)


TestArrival = Arrival.TestCase
TestArrival.settings = faults.SETTINGS


def test_second_revision_with_the_same_number_is_a_conflict() -> None:
    """Of two authors' revisions with the same number only the first comes into force."""
    state = configuration_state.EMPTY
    for author, expected in (
        ("anna", configuration_state.Outcome.IN_FORCE),
        ("bo", configuration_state.Outcome.CONFLICT),
    ):
        revision = published_revision(3, author)
        state, outcome = configuration_state.offer_manifest(state, revision.manifest_bytes)
        if outcome is configuration_state.Outcome.PENDING:
            state, outcome = configuration_state.add_parts(state, revision.part_by_digest)
        assert outcome is expected
    assert "anna" in state.catalog.workspace_by_name


def test_replaced_object_changes_at_most_two_parts() -> None:
    """If one object is replaced by another, at most two parts change."""
    one, other = published_revision(1, "anna"), published_revision(1, "bo")
    differing = set(one.part_by_digest) ^ set(other.part_by_digest)
    assert len(one.part_by_digest) > 2
    assert len(differing) <= 4
