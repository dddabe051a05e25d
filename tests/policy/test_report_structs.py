"""The structs declared in Python are those of the Thrift file."""

from __future__ import annotations

import pathlib

import pytest
import thriftpy2

from carawaydoor.fleet import report_structs

FILE = pathlib.Path(report_structs.__file__).with_name("report.thrift")
NAMES = [
    "Work",
    "Contact",
    "Strike",
    "Crash",
    "Limit",
    "Failure",
    "Demand",
    "Capacity",
    "Report",
    "WorkReport",
    "Origin",
    "OriginReport",
    "Datagram",
]


def described(struct):
    """Return a struct's fields, with the names of contained structs in place of their classes."""

    def plain(part):
        if isinstance(part, tuple):
            return tuple(plain(each) for each in part)
        return part.__name__ if isinstance(part, type) else part

    return {number: plain(field) for number, field in struct.thrift_spec.items()}


@pytest.mark.parametrize("name", NAMES)
def test_declared_struct_matches_the_thrift_file(name):
    parsed = thriftpy2.load(str(FILE), module_name="parsed_report_thrift")
    assert described(getattr(report_structs, name)) == described(getattr(parsed, name))


def test_thrift_file_has_no_other_struct():
    parsed = thriftpy2.load(str(FILE), module_name="parsed_report_thrift")
    assert sorted(each.__name__ for each in parsed.__thrift_meta__["structs"]) == sorted(NAMES)
