"""The objects of a configuration set, and the checks that need the whole set."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable, Iterator, Mapping

import expression

from carawaydoor.coordination import budgets, token_bucket
from carawaydoor.publishing import config_objects


@dataclasses.dataclass(frozen=True, slots=True)
class SourceLocation:
    """File and line at which an object is written."""

    file: str
    line: int


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """A fault in a configuration set, printed as ``file:line: field: problem``."""

    location: SourceLocation
    field: str
    problem: str

    def __str__(self) -> str:
        position = f"{self.location.file}:{self.location.line}"
        return f"{position}: {self.field}: {self.problem}"


@dataclasses.dataclass(frozen=True, slots=True)
class LocatedObject:
    """A configuration object and where it is written."""

    item: config_objects.AnyObject
    location: SourceLocation


@dataclasses.dataclass(frozen=True, slots=True)
class Catalog:
    """The objects of a configuration set by kind and name, keys by the digest of their secret.

    :ivar routes: routes, those with the longest paths first
    """

    failure_domain_by_name: Mapping[str, config_objects.FailureDomain]
    workspace_by_name: Mapping[str, config_objects.Workspace]
    key_by_digest: Mapping[str, config_objects.Key]
    model_by_name: Mapping[str, config_objects.Model]
    pool_by_name: Mapping[str, config_objects.Pool]
    service_by_name: Mapping[str, config_objects.Service]
    routes: tuple[config_objects.Route, ...]

    @property
    def budget_split(self) -> budgets.BudgetSplit:
        """The limits of all workspaces and the standing share of each failure domain."""
        limits = {
            each.name: token_bucket.Limit(each.rate_tokens_per_s, each.burst_tokens)
            for each in self.workspace_by_name.values()
        }
        fractions = {
            each.name: each.standing_share for each in self.failure_domain_by_name.values()
        }
        return budgets.BudgetSplit(limits, fractions)


EMPTY = Catalog({}, {}, {}, {}, {}, {}, ())


def build(
    located_objects: Iterable[LocatedObject],
) -> expression.Result[Catalog, tuple[Fault, ...]]:
    """Check a set of objects and return its catalog, or every fault in it."""
    located = list(located_objects)
    faults = tuple(_faults(located))
    if faults:
        return expression.Error(faults)
    return expression.Ok(build_unchecked(each.item for each in located))


def build_unchecked(items: Iterable[config_objects.AnyObject]) -> Catalog:
    """Return the catalog of objects that have already been checked."""
    objects = list(items)
    return Catalog(
        {each.name: each for each in objects if isinstance(each, config_objects.FailureDomain)},
        {each.name: each for each in objects if isinstance(each, config_objects.Workspace)},
        {each.sha256: each for each in objects if isinstance(each, config_objects.Key)},
        {each.name: each for each in objects if isinstance(each, config_objects.Model)},
        {each.name: each for each in objects if isinstance(each, config_objects.Pool)},
        {each.name: each for each in objects if isinstance(each, config_objects.Service)},
        tuple(
            sorted(
                (each for each in objects if isinstance(each, config_objects.Route)),
                key=lambda each: (-len(each.path), each.name),
            )
        ),
    )


def _faults(located: list[LocatedObject]) -> Iterator[Fault]:
    location_by_id: dict[tuple[str, str], SourceLocation] = {}
    for each in located:
        object_id = (each.item.kind, each.item.name)
        if object_id in location_by_id:
            first = location_by_id[object_id]
            yield Fault(
                each.location,
                "name",
                f"{object_id[0]} {object_id[1]!r} is already defined at {first.file}:{first.line}",
            )
        location_by_id.setdefault(object_id, each.location)
    for each in located:
        yield from _reference_faults(each, location_by_id)
    yield from _key_faults(located)
    yield from _route_faults(located)
    yield from _share_faults(located)


def _reference_faults(
    located_object: LocatedObject, location_by_id: Mapping[tuple[str, str], SourceLocation]
) -> Iterator[Fault]:
    for field, kind, name in _references(located_object.item):
        if (kind, name) not in location_by_id:
            yield Fault(located_object.location, field, f"{kind} {name!r} does not exist")


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


def _key_faults(located: list[LocatedObject]) -> Iterator[Fault]:
    key_name_by_digest: dict[str, str] = {}
    for each in located:
        if not isinstance(each.item, config_objects.Key):
            continue
        if each.item.sha256 in key_name_by_digest:
            other = key_name_by_digest[each.item.sha256]
            yield Fault(each.location, "sha256", f"key {other!r} has the same digest")
        key_name_by_digest.setdefault(each.item.sha256, each.item.name)


def _route_faults(located: list[LocatedObject]) -> Iterator[Fault]:
    route_name_by_endpoint: dict[tuple[str, str], str] = {}
    for each in located:
        route = each.item
        if not isinstance(route, config_objects.Route):
            continue
        if (route.pool is None) == (route.service is None):
            yield Fault(each.location, "pool", "a route needs either a pool or a service")
        if route.open_to_all and route.workspaces:
            yield Fault(each.location, "workspaces", "a route open to all must not list workspaces")
        if route.open_to_all and (route.pool is not None or not route.idempotent):
            yield Fault(
                each.location,
                "open_to_all",
                "only an idempotent route to a service can be open to all",
            )
        if route.pool is not None and not route.idempotent:
            yield Fault(each.location, "idempotent", "a route to a pool must be idempotent")
        for method in route.methods:
            other = route_name_by_endpoint.setdefault((route.path, method), route.name)
            if other != route.name and route.service is not None:
                yield Fault(
                    each.location, "path", f"{method} {route.path} also belongs to route {other!r}"
                )


def _share_faults(located: list[LocatedObject]) -> Iterator[Fault]:
    domains = [each for each in located if isinstance(each.item, config_objects.FailureDomain)]
    if not domains:
        yield Fault(SourceLocation("", 0), "failure_domain", "the set has no failure domain")
        return
    total = sum(
        each.item.standing_share
        for each in domains
        if isinstance(each.item, config_objects.FailureDomain)
    )
    if total >= 1.0:
        yield Fault(
            domains[-1].location,
            "standing_share",
            f"standing shares add up to {total:.2f}, which leaves no pooled share",
        )
