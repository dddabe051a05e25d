"""The checks of configuration and slots fail where the fault that they are meant for is planted."""

from __future__ import annotations

import json
from collections.abc import Callable

import expression
import hypothesis
import pytest
from hypothesis import stateful

from carawaydoor.coordination import pool_owner, pool_scheduler
from carawaydoor.publishing import catalog, configuration, objects
from carawaydoor.publishing import revision as revisions
from tests import faults, planted_faults, test_configuration, test_slots


def believe_lower_revisions(patch: pytest.MonkeyPatch) -> None:
    """An instance takes whatever revision it is offered, also a lower one."""
    patch.setattr(configuration, "number", lambda _: 0)


def force_before_all_has_arrived(patch: pytest.MonkeyPatch) -> None:
    """A revision comes in force with the parts that are there."""

    def load_what_is_there(
        revision: revisions.Revision,
    ) -> expression.Result[catalog.Catalog, revisions.RevisionFault]:
        parts = map(json.loads, revision.part_by_digest.values())
        items = [objects.ADAPTER.validate_python(each) for part in parts for each in part]
        return expression.Ok(catalog.assemble(items))

    patch.setattr(configuration, "missing", lambda _: ())
    patch.setattr(revisions, "load", load_what_is_there)


@pytest.mark.parametrize(
    "plant",
    [believe_lower_revisions, force_before_all_has_arrived],
    ids=lambda each: each.__name__,
)
def test_configuration_check_finds(
    plant: planted_faults.Plant, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The arrival of documents in any order breaks the promise under each planted fault."""
    plant(monkeypatch)
    settings = hypothesis.settings(
        faults.SETTINGS, phases=[hypothesis.Phase.generate], report_multiple_bugs=False
    )
    with pytest.raises(AssertionError):
        stateful.run_state_machine_as_test(test_configuration.Arrival, settings=settings)


def forget_silent_holders(patch: pytest.MonkeyPatch) -> None:
    """A lease ends when its holder was not heard for a moment."""
    patch.setattr(pool_scheduler, "SILENT_HOLDER_LEASE_S", 1.5)


def open_without_reports(patch: pytest.MonkeyPatch) -> None:
    """A new scheduler grants slots before it knows those in use."""
    patch.setattr(pool_owner, "_all_reported", lambda *_: True)
    patch.setattr(pool_scheduler, "renew_leases", lambda state, *_: state)


SLOT_CASES: tuple[tuple[planted_faults.Plant, Callable[[], None]], ...] = (
    (forget_silent_holders, test_slots.test_slots_of_a_paused_holder_stay_taken),
    (open_without_reports, test_slots.test_new_home_learns_the_slots_in_use),
)


@pytest.mark.parametrize(("plant", "check"), SLOT_CASES, ids=lambda each: each.__name__)
def test_slots_check_finds(
    plant: planted_faults.Plant, check: Callable[[], None], monkeypatch: pytest.MonkeyPatch
) -> None:
    """An engine is overbooked under each planted fault."""
    plant(monkeypatch)
    with pytest.raises(AssertionError, match="runs 3 of 2"):
        check()
