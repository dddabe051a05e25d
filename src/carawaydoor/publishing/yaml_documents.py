"""Reads YAML files of settings and configuration objects; faults name file, line and field."""

from __future__ import annotations

import dataclasses
import pathlib
from collections.abc import Iterator

import expression
import pydantic
import yaml

from carawaydoor.publishing import catalog, config_objects


@dataclasses.dataclass(frozen=True, slots=True)
class Document:
    """One YAML document with the line of each top-level field."""

    value: object
    location: catalog.SourceLocation
    line_by_field: dict[str, int]


def read(path: pathlib.Path) -> expression.Result[list[Document], catalog.Fault]:
    """Return the documents of a YAML file, or why it could not be read."""
    try:
        text = path.read_text(encoding="utf-8")
        nodes = list(yaml.compose_all(text, Loader=yaml.SafeLoader))
        values = list(yaml.safe_load_all(text))
    except (OSError, UnicodeDecodeError) as error:
        return expression.Error(
            catalog.Fault(catalog.SourceLocation(str(path), 0), "file", str(error))
        )
    except yaml.MarkedYAMLError as error:
        line = error.problem_mark.line + 1 if error.problem_mark else 0
        location = catalog.SourceLocation(str(path), line)
        return expression.Error(catalog.Fault(location, "syntax", error.problem or "invalid YAML"))
    pairs = zip(nodes, values, strict=True)
    return expression.Ok(
        [_document(path, node, value) for node, value in pairs if node is not None]
    )


def read_objects(
    directory: pathlib.Path,
) -> expression.Result[list[catalog.LocatedObject], tuple[catalog.Fault, ...]]:
    """Return the configuration objects of all YAML files below a directory, or every fault."""
    located: list[catalog.LocatedObject] = []
    faults: list[catalog.Fault] = []
    paths = sorted(directory.rglob("*.yaml"))
    if not paths:
        location = catalog.SourceLocation(str(directory), 0)
        faults.append(catalog.Fault(location, "directory", "no YAML file found"))
    for path in paths:
        result = read(path)
        if result.is_error():
            faults.append(result.error)
            continue
        for document in result.ok:
            try:
                item = config_objects.OBJECT_ADAPTER.validate_python(document.value)
            except pydantic.ValidationError as error:
                faults.extend(validation_faults(document, error))
            else:
                located.append(catalog.LocatedObject(item, document.location))
    if faults:
        return expression.Error(tuple(faults))
    return expression.Ok(located)


def validation_faults(
    document: Document, error: pydantic.ValidationError
) -> Iterator[catalog.Fault]:
    """Yield a fault for each error that pydantic found in a document."""
    for each in error.errors():
        field_path = [str(part) for part in each["loc"]]
        top_field = next((name for name in field_path if name in document.line_by_field), None)
        line = document.line_by_field.get(top_field or "", document.location.line)
        location = catalog.SourceLocation(document.location.file, line)
        yield catalog.Fault(location, ".".join(field_path) or "document", each["msg"])


def _document(path: pathlib.Path, node: yaml.Node, value: object) -> Document:
    line_by_field: dict[str, int] = {}
    if isinstance(node, yaml.MappingNode):
        for key, _ in node.value:
            line_by_field[str(key.value)] = key.start_mark.line + 1
    return Document(
        value, catalog.SourceLocation(str(path), node.start_mark.line + 1), line_by_field
    )
