"""The structs of ``report.thrift``, declared here so that no instance parses that file at its start.

A test compares these declarations with the file.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, Final

from thriftpy2 import thrift

_STRING: Final = thrift.TType.STRING
_BOOL: Final = thrift.TType.BOOL
_DOUBLE: Final = thrift.TType.DOUBLE
_I32: Final = thrift.TType.I32
_I64: Final = thrift.TType.I64


def _declare(
    name: str, *fields: tuple[Any, ...], further: Mapping[int, tuple[Any, ...]] | None = None
) -> Any:
    """Return a struct class; the fields have the ids 1, 2, and so on.

    :param fields: type code, name and, for a container or struct, the type of its content
    :param further: fields whose ids don't follow, by id
    """
    field_by_id = {**dict(enumerate(fields, start=1)), **(further or {})}
    spec = {
        number: (code, field, *content, False)
        for number, (code, field, *content) in field_by_id.items()
    }
    defaults = [(field, None) for _, field, *_ in field_by_id.values()]
    attributes = {"thrift_spec": spec, "default_spec": defaults, "__module__": __name__}
    return thrift.TPayloadMeta(name, (thrift.TPayload,), attributes)


def _map(field: str, content: tuple[Any, ...]) -> tuple[Any, ...]:
    return thrift.TType.MAP, field, content


def _amounts(field: str) -> tuple[Any, ...]:
    return _map(field, (_STRING, _DOUBLE))


Work: Final = _declare("Work", (_I32, "requests"), (_I32, "tokens"))
Contact: Final = _declare("Contact", (_STRING, "instance"), (_STRING, "host"))
Strike: Final = _declare("Strike", (_STRING, "fingerprint"), (_STRING, "id"), (_DOUBLE, "age_s"))
Crash: Final = _declare(
    "Crash",
    (_STRING, "engine"),
    (_STRING, "request"),
    (thrift.TType.LIST, "parts", _STRING),
    (_DOUBLE, "age_s"),
)
Limit: Final = _declare(
    "Limit", (_STRING, "upstream"), (_I64, "born_ms"), (_DOUBLE, "per_s"), (_DOUBLE, "age_s")
)
Failure: Final = _declare(
    "Failure", (_STRING, "upstream"), (_I64, "born_ms"), (_DOUBLE, "age_s"), (_DOUBLE, "for_s")
)
Demand: Final = _declare(
    "Demand",
    (_STRING, "service_name"),
    (_I32, "priority"),
    (_DOUBLE, "arrived_per_s"),
    (_DOUBLE, "short_per_s"),
    (_DOUBLE, "refused_per_s"),
    (_DOUBLE, "waiting_tokens"),
)
Capacity: Final = _declare(
    "Capacity",
    (_STRING, "upstream"),
    (_I64, "born_ms"),
    (_I32, "kind"),
    (_I32, "number"),
    (_DOUBLE, "load"),
    (_DOUBLE, "unit_s"),
    (_DOUBLE, "weight"),
    (_DOUBLE, "age_s"),
)
_WORK_BY_UPSTREAM: Final = _map("work_by_upstream", (_STRING, (thrift.TType.STRUCT, Work)))
Report: Final = _declare(
    "Report",
    (_STRING, "instance"),
    (_STRING, "host"),
    (_STRING, "domain"),
    (_I64, "incarnation"),
    (_I64, "sequence"),
    (_DOUBLE, "sent_s"),
    (_BOOL, "leaving"),
    (_I64, "revision"),
    (_DOUBLE, "proof_age_s"),
    _WORK_BY_UPSTREAM,
    _amounts("used_by_workspace"),
    _amounts("echo_by_instance"),
    (thrift.TType.LIST, "contacts", (thrift.TType.STRUCT, Contact)),
    (thrift.TType.LIST, "strikes", (thrift.TType.STRUCT, Strike)),
    _amounts("set_aside_s_by_upstream"),
    (_DOUBLE, "source_steady_s"),
    _amounts("requests_by_service"),
    _amounts("repeats_by_service"),
    (_I64, "source_revision"),
    (thrift.TType.LIST, "crashes", (thrift.TType.STRUCT, Crash)),
    _amounts("sound_age_s_by_part"),
    (_I64, "configuration_version"),
    (thrift.TType.LIST, "limits", (thrift.TType.STRUCT, Limit)),
    _amounts("turned_away_s_by_upstream"),
    _map("leaving_born_ms_by_upstream", (_STRING, _I64)),
    (thrift.TType.LIST, "failures", (thrift.TType.STRUCT, Failure)),
    (thrift.TType.LIST, "cut_off_services", _STRING),
    _amounts("sound_age_s_by_request"),
    (_BOOL, "ranks_streams"),
    (_BOOL, "bounds_attempts"),
    (thrift.TType.LIST, "capacities", (thrift.TType.STRUCT, Capacity)),
    further={
        32: (thrift.TType.LIST, "demands", (thrift.TType.STRUCT, Demand)),
        34: (_BOOL, "reads_compressed"),
        35: (_DOUBLE, "link_mbps"),
        36: (_BOOL, "ranks_by_age"),
        37: (_DOUBLE, "list_age_s"),
        38: (_BOOL, "ranks_by_list"),
    },
)
WorkReport: Final = _declare(
    "WorkReport",
    (_STRING, "instance"),
    (_I64, "incarnation"),
    (_I64, "sequence"),
    _WORK_BY_UPSTREAM,
    _amounts("used_by_workspace"),
    _amounts("requests_by_service"),
    _amounts("repeats_by_service"),
    (_I64, "source_revision"),
    (thrift.TType.LIST, "limits", (thrift.TType.STRUCT, Limit)),
    (thrift.TType.LIST, "failures", (thrift.TType.STRUCT, Failure)),
)
Origin: Final = _declare(
    "Origin", (_STRING, "key"), (_STRING, "service_name"), (_STRING, "version"), (_DOUBLE, "age_s")
)
OriginReport: Final = _declare(
    "OriginReport",
    (_STRING, "instance"),
    (thrift.TType.LIST, "origins", (thrift.TType.STRUCT, Origin)),
)
Datagram: Final = _declare(
    "Datagram",
    (thrift.TType.STRUCT, "report", Report),
    (thrift.TType.STRUCT, "work", WorkReport),
    (thrift.TType.STRUCT, "origins", OriginReport),
)
