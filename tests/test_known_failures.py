"""Only the tests that KNOWN-RED.txt names may fail."""

from __future__ import annotations

from tests import known_failures

TEXT = """\
Known faults.

- known to fail: tests/test_a.py::test_one
  seed 3: a response was truncated. Issue 9.
- known to fail: tests/test_a.py::test_two[case-1] with a note
- tests/test_a.py::test_three failed once. Issue 9.
"""


def test_listed_tests_are_recognized_by_id_and_by_case() -> None:
    listed = known_failures.parse(TEXT)
    assert known_failures.is_listed("tests/test_a.py::test_one[any]", listed)
    assert known_failures.is_listed("tests/test_a.py::test_two[case-1]", listed)


def test_other_cases_and_tests_that_failed_once_are_not_excused() -> None:
    listed = known_failures.parse(TEXT)
    assert not known_failures.is_listed("tests/test_a.py::test_two[case-2]", listed)
    assert not known_failures.is_listed("tests/test_a.py::test_three", listed)
