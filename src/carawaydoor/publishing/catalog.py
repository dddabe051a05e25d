"""A whole configuration set: objects by name, and the check of their references."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable, Iterator, Mapping

import expression

from carawaydoor.coordination import budgets, token_bucket
from carawaydoor.publishing import config_objects


@dataclasses.dataclass(frozen=True, slots=True)
class SourceLocation:
    """Where an object was written."""

    file: str
    line: int


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """One fault of a configuration set."""

    origin: SourceLocation
    field: str
    problem: str

    def __str__(self) -> str:
        place = f"{self.origin.file}:{self.origin.line}"
        return f"{place}: {self.field}: {self.problem}"


@dataclasses.dataclass(frozen=True, slots=True)
class LocatedObject:
    """An object with its origin."""

    item: config_objects.AnyObject
    origin: SourceLocation


@dataclasses.dataclass(frozen=True, slots=True)
class Catalog:
    """Configuration objects by name, one mapping a kind."""

    failure_domain_by_name: Mapping[str, config_objects.FailureDomain]
    workspace_by_name: Mapping[str, config_objects.Workspace]
    key_by_digest: Mapping[str, config_objects.Key]
    model_by_name: Mapping[str, config_objects.Model]
    pool_by_name: Mapping[str, config_objects.Pool]
    service_by_name: Mapping[str, config_objects.Service]
    routes: tuple[config_objects.Route, ...]

    @property
    def budget_split(self) -> budgets.BudgetSplit:
        """The limits of all workspaces and how they are split over failure domains."""
        limits = {
            each.name: token_bucket.Limit(each.rate_tokens_per_s, each.burst_tokens)
            for each in self.workspace_by_name.values()
        }
        standing = {each.name: each.standing_share for each in self.failure_domain_by_name.values()}
        return budgets.BudgetSplit(limits, standing)


EMPTY = Catalog({}, {}, {}, {}, {}, {}, ())


def build(declared: Iterable[LocatedObject]) -> expression.Result[Catalog, tuple[Fault, ...]]:
    """Return the catalog of a set of objects, or every fault in it."""
    items = list(declared)
    faults = tuple(_faults(items))
    if faults:
        return expression.Error(faults)
    return expression.Ok(build_unchecked(each.item for each in items))


def build_unchecked(items: Iterable[config_objects.AnyObject]) -> Catalog:
    """Return the catalog of objects that have been checked."""
    every = list(items)
    return Catalog(
        {each.name: each for each in every if isinstance(each, config_objects.FailureDomain)},
        {each.name: each for each in every if isinstance(each, config_objects.Workspace)},
        {each.sha256: each for each in every if isinstance(each, config_objects.Key)},
        {each.name: each for each in every if isinstance(each, config_objects.Model)},
        {each.name: each for each in every if isinstance(each, config_objects.Pool)},
        {each.name: each for each in every if isinstance(each, config_objects.Service)},
        tuple(
            sorted(
                (each for each in every if isinstance(each, config_objects.Route)),
                key=lambda each: (-len(each.path), each.name),
            )
        ),
    )


def _faults(declared: list[LocatedObject]) -> Iterator[Fault]:
    names: dict[tuple[str, str], SourceLocation] = {}
    for each in declared:
        name = (each.item.kind, each.item.name)
        if name in names:
            first = names[name]
            yield Fault(
                each.origin,
                "name",
                f"{name[0]} {name[1]!r} is already at {first.file}:{first.line}",
            )
        names.setdefault(name, each.origin)
    for each in declared:
        yield from _reference_faults(each, names)
    yield from _key_faults(declared)
    yield from _route_faults(declared)
    yield from _share_faults(declared)


def _reference_faults(
    declared: LocatedObject, names: Mapping[tuple[str, str], SourceLocation]
) -> Iterator[Fault]:
    for field, kind, name in _references(declared.item):
        if (kind, name) not in names:
            yield Fault(declared.origin, field, f"{kind} {name!r} does not exist")


def _references(item: config_objects.AnyObject) -> Iterator[tuple[str, str, str]]:
    match item:
        case config_objects.Key():
            yield "workspace", "workspace", item.workspace
        case config_objects.Pool():
            yield "model", "model", item.model
        case config_objects.Route():
            if item.pool is not None:
                yield "pool", "pool", item.pool
            if item.service is not None:
                yield "service", "service", item.service
            for each in item.workspaces:
                yield "workspaces", "workspace", each
        case _:
            return


def _key_faults(declared: list[LocatedObject]) -> Iterator[Fault]:
    owner_by_digest: dict[str, str] = {}
    for each in declared:
        if not isinstance(each.item, config_objects.Key):
            continue
        if each.item.sha256 in owner_by_digest:
            other = owner_by_digest[each.item.sha256]
            yield Fault(each.origin, "sha256", f"key {other!r} has the same digest")
        owner_by_digest.setdefault(each.item.sha256, each.item.name)


def _route_faults(declared: list[LocatedObject]) -> Iterator[Fault]:
    taken: dict[tuple[str, str], str] = {}
    for each in declared:
        route = each.item
        if not isinstance(route, config_objects.Route):
            continue
        if (route.pool is None) == (route.service is None):
            yield Fault(each.origin, "pool", "a route needs either a pool or a service")
        if route.open_to_all and route.workspaces:
            yield Fault(each.origin, "workspaces", "a route open to all names no workspaces")
        if route.open_to_all and (route.pool is not None or not route.idempotent):
            yield Fault(
                each.origin, "open_to_all", "only idempotent plain services can be open to all"
            )
        if route.pool is not None and not route.idempotent:
            yield Fault(each.origin, "idempotent", "a route to a pool is always idempotent")
        for method in route.methods:
            other = taken.setdefault((route.path, method), route.name)
            if other != route.name and route.service is not None:
                yield Fault(each.origin, "path", f"{method} {route.path} also belongs to {other!r}")


def _share_faults(declared: list[LocatedObject]) -> Iterator[Fault]:
    domains = [each for each in declared if isinstance(each.item, config_objects.FailureDomain)]
    if not domains:
        yield Fault(SourceLocation("", 0), "failure_domain", "the set names no failure domain")
        return
    standing = sum(
        each.item.standing_share
        for each in domains
        if isinstance(each.item, config_objects.FailureDomain)
    )
    if standing >= 1.0:
        yield Fault(
            domains[-1].origin,
            "standing_share",
            f"standing shares add up to {standing:.2f}, which leaves nothing pooled",
        )
