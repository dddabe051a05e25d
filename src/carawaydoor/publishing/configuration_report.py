"""Checks a configuration of either form, and compares it with the version in force."""

from __future__ import annotations

import dataclasses
import pathlib
from collections.abc import Iterator

import pydantic

from carawaydoor.platform import configuration_check, configuration_comparison, store_documents
from carawaydoor.publishing import (
    catalog,
    config_objects,
    configuration_differences,
    findings,
    yaml_documents,
)


class UnreadableError(Exception):
    """A configuration can't be read at all."""


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """The result of a check.

    :ivar found: what is wrong
    :ivar entries: number of entries that were read
    """

    found: tuple[findings.Finding, ...]
    differences: tuple[findings.Difference, ...]
    entries: int


def create(
    source: pathlib.Path, in_force: pathlib.Path | None, memory_bytes: int, window_s: float
) -> Report:
    """Check a configuration: a file with the store item, or a directory of YAML files.

    :param in_force: the version in force in the same form, None to compare with nothing
    :param memory_bytes: memory of the smallest machine
    :param window_s: window in seconds in which usage is counted
    :raises UnreadableError: if one of them can't be read
    """
    if in_force is not None and in_force.is_dir() != source.is_dir():
        raise UnreadableError(f"{in_force}: expected the same form as {source}")
    if source.is_dir():
        return _check_directory(source, in_force)
    return _check_store_item(source, in_force, memory_bytes, window_s)


def _check_store_item(
    source: pathlib.Path, in_force: pathlib.Path | None, memory_bytes: int, window_s: float
) -> Report:
    before = None
    if in_force is not None:
        try:
            before = store_documents.parse_configuration(_read(in_force))
        except pydantic.ValidationError as error:
            raise UnreadableError(f"{in_force}: not a valid configuration") from error
    try:
        document = store_documents.parse_configuration(_read(source))
    except pydantic.ValidationError as error:
        first = error.errors(include_url=False, include_input=False)[0]
        if first["type"] == "json_invalid":
            raise UnreadableError(f"{source}: {first['msg']}") from error
        return Report(tuple(configuration_check.find_errors(error, str(source))), (), 0)
    found = configuration_check.check(document, str(source), memory_bytes, window_s)
    differences = configuration_comparison.compare(before, document) if before else ()
    entries = len(document.routes) + len(document.services) + len(document.tenants or [])
    return Report(found, differences, entries)


def _read(path: pathlib.Path) -> bytes:
    try:
        return path.read_bytes()
    except OSError as error:
        raise UnreadableError(f"{path}: {error.strerror}") from error


def _check_directory(source: pathlib.Path, in_force: pathlib.Path | None) -> Report:
    read = yaml_documents.read_objects(source)
    if read.is_error():
        return Report(tuple(_convert(each) for each in read.error), (), 0)
    checked = catalog.build(read.ok)
    if checked.is_error():
        return Report(tuple(_convert(each) for each in checked.error), (), len(read.ok))
    differences: tuple[findings.Difference, ...] = ()
    if in_force is not None:
        before = yaml_documents.read_objects(in_force)
        if before.is_error():
            raise UnreadableError(str(before.error[0]))
        differences = configuration_differences.compare_objects(
            [each.item for each in before.ok], [each.item for each in read.ok]
        )
    return Report(tuple(_check_objects(read.ok)), differences, len(read.ok))


def _convert(fault: catalog.Fault) -> findings.Finding:
    file = f"{fault.location.file}:{fault.location.line}"
    return findings.Finding(findings.FindingKind.INVALID, file, fault.field, fault.problem)


def _check_objects(located: list[catalog.LocatedObject]) -> Iterator[findings.Finding]:
    items = [each.item for each in located]
    named = {
        *(("model", each.model) for each in items if isinstance(each, config_objects.Pool)),
        *(("pool", each.pool) for each in items if isinstance(each, config_objects.Route)),
        *(("service", each.service) for each in items if isinstance(each, config_objects.Route)),
        *(
            ("workspace", each.workspace)
            for each in items
            if isinstance(each, config_objects.Key) and not each.withdrawn
        ),
    }
    for each in located:
        item = each.item
        file = f"{each.location.file}:{each.location.line}"
        if isinstance(
            item,
            config_objects.Model
            | config_objects.Pool
            | config_objects.Service
            | config_objects.Workspace,
        ):
            if (item.kind, item.name) not in named:
                problem = f"nothing refers to {item.kind} {item.name!r}"
                if item.kind == "workspace":
                    problem = f"workspace {item.name!r} has no key that is not withdrawn"
                yield findings.Finding(findings.FindingKind.NEVER_USED, file, "name", problem)
        elif isinstance(item, config_objects.Route) and item.first_token_s > item.deadline_s:
            problem = f"beyond the deadline of {item.deadline_s:g} s"
            yield findings.Finding(
                findings.FindingKind.CONTRADICTION, file, "first_token_s", problem
            )
