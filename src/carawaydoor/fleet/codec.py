"""Encodes and decodes reports with Thrift's binary protocol, preceded by a checksum.

The Thrift library trusts length fields: a corrupted one can keep it busy for minutes. Content is
therefore decoded only if its checksum matches. This protects against corruption, not against an
attacker: the network between instances is private.
"""

from __future__ import annotations

import math
import struct
import zlib
from collections.abc import Iterable, Mapping
from typing import Any, Final

import eliot
from thriftpy2.protocol.cybin import cybin
from thriftpy2.transport.memory import cymemory

from carawaydoor.fleet import report_structs, reports
from carawaydoor.policy import load, peer_evidence, strikes, urgency

AnyReport = reports.Report | reports.WorkReport | reports.OriginReport

_CHECKSUM: Final = struct.Struct("!I")
# First byte of compressed content; the first one of a Thrift struct is the type of its first field.
_ZLIB_MARK: Final = b"\x78"
# Higher levels take three times as long for 1% less.
_COMPRESSION_LEVEL: Final = 1
# Several times what fits into a datagram uncompressed.
_MAX_DECOMPRESSED_BYTES: Final = 262_144


class CodecError(Exception):
    """The bytes are not a valid report."""


def encode(report: AnyReport, compresses: bool = False) -> bytes:
    """Encode a report.

    :param compresses: whether to compress it; builds before compression can't read the result
    """
    match report:
        case reports.Report():
            message = report_structs.Datagram(report=_report_struct(report))
        case reports.WorkReport():
            message = report_structs.Datagram(work=_work_report_struct(report))
        case reports.OriginReport():
            message = report_structs.Datagram(origins=_origin_report_struct(report))
    transport = cymemory.TCyMemoryBuffer()
    message.write(cybin.TCyBinaryProtocol(transport))
    content = bytes(transport.getvalue())
    if compresses:
        content = zlib.compress(content, _COMPRESSION_LEVEL)
    return _CHECKSUM.pack(zlib.crc32(content)) + content


def _origin_report_struct(report: reports.OriginReport) -> Any:
    return report_structs.OriginReport(
        instance=report.instance,
        origins=[
            report_structs.Origin(
                key=each.key, service_name=each.service, version=each.version, age_s=each.age_s
            )
            for each in report.origins
        ],
    )


def _work_report_struct(report: reports.WorkReport) -> Any:
    return report_structs.WorkReport(
        instance=report.instance,
        incarnation=report.incarnation,
        sequence=report.sequence,
        work_by_upstream=_work_structs_by_upstream(report.work_by_upstream),
        used_by_workspace=dict(report.used_by_workspace),
        requests_by_service=dict(report.requests_by_service),
        repeats_by_service=dict(report.repeats_by_service),
        source_revision=report.source_revision,
        limits=_limit_structs(report.limits),
        failures=_failure_structs(report.failures),
    )


def _failure_structs(failures: Iterable[peer_evidence.Failure]) -> list[Any]:
    return [
        report_structs.Failure(
            upstream=each.upstream, born_ms=each.born_ms, age_s=each.age_s, for_s=each.for_s
        )
        for each in failures
    ]


def _capacity_structs(capacities: Iterable[reports.SharedCapacity]) -> list[Any]:
    return [
        report_structs.Capacity(
            upstream=each.upstream,
            born_ms=each.born_ms,
            kind=each.kind,
            number=each.number,
            load=each.load,
            unit_s=each.unit_s,
            weight=each.weight,
            age_s=each.age_s,
        )
        for each in capacities
    ]


def _limit_structs(limits: Iterable[reports.SharedLimit]) -> list[Any]:
    return [
        report_structs.Limit(
            upstream=each.upstream,
            born_ms=each.born_ms,
            per_s=each.limit_per_s,
            age_s=each.age_s,
        )
        for each in limits
    ]


def _work_structs_by_upstream(work_by_upstream: Mapping[str, load.Work]) -> dict[str, Any]:
    return {
        key: report_structs.Work(requests=work.requests, tokens=work.tokens)
        for key, work in work_by_upstream.items()
    }


def _report_struct(report: reports.Report) -> Any:
    return report_structs.Report(
        instance=report.contact.instance,
        host=report.contact.host,
        domain=report.domain,
        incarnation=report.incarnation,
        sequence=report.sequence,
        sent_s=report.sent_s,
        leaving=report.is_leaving,
        revision=report.revision,
        proof_age_s=report.proof_age_s,
        work_by_upstream=_work_structs_by_upstream(report.work_by_upstream),
        used_by_workspace=dict(report.used_by_workspace),
        echo_by_instance=dict(report.echo_by_instance),
        contacts=[
            report_structs.Contact(instance=c.instance, host=c.host) for c in report.contacts
        ],
        strikes=[
            report_structs.Strike(fingerprint=s.fingerprint, id=s.strike.id, age_s=s.strike.at_s)
            for s in report.strikes
        ],
        set_aside_s_by_upstream=dict(report.set_aside_s_by_upstream),
        source_steady_s=report.source_steady_s,
        requests_by_service=dict(report.requests_by_service),
        repeats_by_service=dict(report.repeats_by_service),
        source_revision=report.source_revision,
        crashes=[
            report_structs.Crash(
                engine=c.engine, request=c.request, parts=list(c.parts), age_s=c.age_s
            )
            for c in report.crashes
        ],
        sound_age_s_by_part=dict(report.sound_age_s_by_part),
        configuration_version=report.configuration_version,
        limits=_limit_structs(report.limits),
        turned_away_s_by_upstream=dict(report.turned_away_s_by_upstream),
        leaving_born_ms_by_upstream=dict(report.leaving_born_ms_by_upstream),
        failures=_failure_structs(report.failures),
        cut_off_services=list(report.cut_off_services),
        sound_age_s_by_request=dict(report.sound_age_s_by_request),
        # Earlier releases would infer versions by weights that they don't know.
        ranks_streams=False,
        ranks_by_age=report.ranks_by_age,
        bounds_attempts=report.bounds_attempts,
        reads_compressed=report.reads_compressed,
        demands=_demand_structs(report.demands),
        capacities=_capacity_structs(report.capacities),
        link_mbps=report.link_mbps,
        list_age_s=report.list_age_s,
        ranks_by_list=report.ranks_by_list,
    )


def _demand_structs(demands: Iterable[urgency.Demand] | None) -> list[Any] | None:
    if demands is None:
        return None
    return [
        report_structs.Demand(
            service_name=each.service,
            priority=each.priority,
            arrived_per_s=each.arrived_per_s,
            short_per_s=each.short_per_s,
            refused_per_s=each.refused_per_s,
            waiting_tokens=each.waiting_tokens,
        )
        for each in demands
    ]


def decode(content: bytes) -> AnyReport:
    """Decode a report.

    :raises CodecError: if the content is corrupted or not a report
    """
    body = content[_CHECKSUM.size :]
    if len(content) < _CHECKSUM.size or _CHECKSUM.unpack_from(content)[0] != zlib.crc32(body):
        raise CodecError("the checksum does not match the content")
    datagram: Any = report_structs.Datagram()
    try:
        if body.startswith(_ZLIB_MARK):
            body = zlib.decompressobj().decompress(body, _MAX_DECOMPRESSED_BYTES)
        datagram.read(cybin.TCyBinaryProtocol(cymemory.TCyMemoryBuffer(body)))
        if datagram.work is not None:
            return _decode_work_report(datagram.work)
        if datagram.origins is not None:
            return _decode_origin_report(datagram.origins)
        return _decode_report(datagram.report)
    except Exception as error:
        # Malformed content makes the library raise exceptions of many types.
        raise CodecError(repr(error)) from error


def _decode_origin_report(message: Any) -> reports.OriginReport:
    return reports.OriginReport(
        _required_text(message.instance),
        tuple(
            reports.SharedOrigin(
                _required_text(each.key),
                _required_text(each.service_name),
                str(each.version or ""),
                float(each.age_s),
            )
            for each in message.origins or ()
        ),
    )


def _decode_work_report(message: Any) -> reports.WorkReport:
    return reports.WorkReport(
        _required_text(message.instance),
        int(message.incarnation),
        int(message.sequence),
        _work_by_upstream(message.work_by_upstream),
        message.used_by_workspace or {},
        message.requests_by_service or {},
        message.repeats_by_service or {},
        int(message.source_revision or 0),
        _limits(message.limits),
        _failures(message.failures),
    )


def _failures(structs: Iterable[Any] | None) -> tuple[peer_evidence.Failure, ...]:
    return tuple(
        peer_evidence.Failure(
            _required_text(each.upstream), int(each.born_ms), float(each.age_s), float(each.for_s)
        )
        for each in structs or ()
    )


def _capacities(structs: Iterable[Any] | None) -> tuple[reports.SharedCapacity, ...]:
    return tuple(
        reports.SharedCapacity(
            each.upstream,
            each.born_ms,
            each.kind,
            each.number,
            each.load,
            each.unit_s,
            each.weight,
            each.age_s,
        )
        for each in structs or ()
        # A later build may leave out a field; such an entry says nothing.
        if None not in (each.upstream, each.born_ms, each.kind, each.number)
        and None not in (each.load, each.unit_s, each.weight, each.age_s)
    )


def _limits(structs: Iterable[Any] | None) -> tuple[reports.SharedLimit, ...]:
    return tuple(
        reports.SharedLimit(
            _required_text(each.upstream),
            int(each.born_ms),
            None if each.per_s is None else float(each.per_s),
            float(each.age_s),
        )
        for each in structs or ()
    )


def _work_by_upstream(structs: Mapping[str, Any]) -> dict[str, load.Work]:
    return {key: load.Work(work.requests, work.tokens) for key, work in structs.items()}


def _decode_report(message: Any) -> reports.Report:
    return reports.Report(
        contact=reports.Contact(_required_text(message.instance), _required_text(message.host)),
        domain=_required_text(message.domain),
        incarnation=int(message.incarnation),
        sequence=int(message.sequence),
        sent_s=float(message.sent_s),
        is_leaving=bool(message.leaving),
        revision=int(message.revision),
        proof_age_s=float(message.proof_age_s),
        work_by_upstream=_work_by_upstream(message.work_by_upstream),
        used_by_workspace=message.used_by_workspace,
        echo_by_instance=message.echo_by_instance,
        contacts=tuple(
            reports.Contact(_required_text(c.instance), _required_text(c.host))
            for c in message.contacts
        ),
        strikes=tuple(
            reports.SharedStrike(s.fingerprint, strikes.Strike(s.id, s.age_s))
            for s in message.strikes
        ),
        set_aside_s_by_upstream=message.set_aside_s_by_upstream,
        source_steady_s=float(message.source_steady_s),
        requests_by_service=message.requests_by_service or {},
        repeats_by_service=message.repeats_by_service or {},
        source_revision=int(message.source_revision or 0),
        crashes=tuple(
            reports.SharedCrash(c.engine, c.request, tuple(c.parts), c.age_s)
            for c in message.crashes or ()
        ),
        sound_age_s_by_part=message.sound_age_s_by_part or {},
        configuration_version=int(message.configuration_version or 0),
        limits=_limits(message.limits),
        turned_away_s_by_upstream=message.turned_away_s_by_upstream or {},
        leaving_born_ms_by_upstream=message.leaving_born_ms_by_upstream or {},
        failures=_failures(message.failures),
        cut_off_services=tuple(message.cut_off_services or ()),
        sound_age_s_by_request=message.sound_age_s_by_request or {},
        ranks_by_age=bool(message.ranks_by_age),
        bounds_attempts=bool(message.bounds_attempts),
        reads_compressed=bool(message.reads_compressed),
        demands=_demands(message),
        capacities=_capacities(message.capacities),
        link_mbps=_link_mbps(message.link_mbps),
        list_age_s=_list_age_s(message.list_age_s),
        ranks_by_list=bool(message.ranks_by_list),
    )


def _list_age_s(value: float | None) -> float | None:
    """Return an age, None for one that is unknown or can't be true."""
    if value is None or not math.isfinite(value) or value < 0.0:
        return None
    return float(value)


def _link_mbps(value: float | None) -> float:
    """Return a bandwidth, zero for one that is unknown or can't be true."""
    if value is None or not math.isfinite(value) or value < 0.0:
        return 0.0
    return float(value)


def _demands(message: Any) -> tuple[urgency.Demand, ...] | None:
    """Return the demands in a report without those that can't be true."""
    if message.demands is None:
        return None
    demands = tuple(
        urgency.Demand(
            each.service_name,
            each.priority,
            each.arrived_per_s,
            each.short_per_s,
            each.refused_per_s,
            each.waiting_tokens,
        )
        for each in message.demands
    )
    plausible = tuple(each for each in demands if urgency.is_plausible(each))
    if len(plausible) < len(demands):
        eliot.log_message(
            message_type="demand_malformed",
            peer=message.instance,
            ignored=len(demands) - len(plausible),
        )
    return plausible[: urgency.MAX_REPORTED]


def _required_text(value: object) -> str:
    if not isinstance(value, str) or not value:
        raise CodecError("a required name is missing or not a string")
    return value
