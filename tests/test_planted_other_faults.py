"""The checks of configuration and slots detect faults that are planted in the code."""

from __future__ import annotations

import json
from collections.abc import Callable

import expression
import hypothesis
import pytest
from hypothesis import stateful

from carawaydoor.coordination import pool_owner, pool_scheduler
from carawaydoor.publishing import catalog, config_objects, configuration_state, revisions
from tests import faults, planted_faults, test_configuration, test_slots


def accept_lower_revisions(patch: pytest.MonkeyPatch) -> None:
    """An instance accepts any offered revision, even a lower one."""
    patch.setattr(configuration_state, "revision_number", lambda _: 0)


def activate_incomplete_revisions(patch: pytest.MonkeyPatch) -> None:
    """A revision comes into force before all of its parts have arrived."""

    def load_available_parts(
        revision: revisions.Revision,
    ) -> expression.Result[catalog.Catalog, revisions.RevisionFault]:
        parts = map(json.loads, revision.part_by_digest.values())
        items = [
            config_objects.OBJECT_ADAPTER.validate_python(each) for part in parts for each in part
        ]
        return expression.Ok(catalog.build_unchecked(items))

    patch.setattr(configuration_state, "missing_part_digests", lambda _: ())
    patch.setattr(revisions, "load", load_available_parts)


@pytest.mark.parametrize(
    "plant_fault",
    [accept_lower_revisions, activate_incomplete_revisions],
    ids=lambda each: each.__name__,
)
def test_configuration_check_finds(
    plant_fault: planted_faults.PlantFault, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Documents arriving in any order break the invariants with each planted fault."""
    plant_fault(monkeypatch)
    settings = hypothesis.settings(
        faults.SETTINGS, phases=[hypothesis.Phase.generate], report_multiple_bugs=False
    )
    with pytest.raises(AssertionError):
        stateful.run_state_machine_as_test(test_configuration.Arrival, settings=settings)


def expire_leases_of_silent_holders(patch: pytest.MonkeyPatch) -> None:
    """A lease ends when its holder was silent for a short time."""
    patch.setattr(pool_scheduler, "SILENT_HOLDER_LEASE_S", 1.5)


def grant_before_leases_are_known(patch: pytest.MonkeyPatch) -> None:
    """A new scheduler grants slots before it knows the current leases."""
    patch.setattr(pool_owner, "_all_reported", lambda *_: True)
    patch.setattr(pool_scheduler, "renew_leases", lambda state, *_: state)


SLOT_CASES: tuple[tuple[planted_faults.PlantFault, Callable[[], None]], ...] = (
    (expire_leases_of_silent_holders, test_slots.test_slots_of_a_paused_holder_stay_taken),
    (grant_before_leases_are_known, test_slots.test_new_owner_learns_the_slots_in_use),
)


@pytest.mark.parametrize(("plant_fault", "check"), SLOT_CASES, ids=lambda each: each.__name__)
def test_slots_check_finds(
    plant_fault: planted_faults.PlantFault,
    check: Callable[[], None],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """An engine is overbooked with each planted fault."""
    plant_fault(monkeypatch)
    with pytest.raises(AssertionError, match="runs 3 of 2"):
        check()
