"""Reports as bytes: thrift's binary protocol behind a checksum.

The library reads damaged lengths as they stand, for minutes where they are large, so bytes are
decoded only where their checksum holds. It guards against damage, not against an attacker: the
network between instances is closed.
"""

from __future__ import annotations

import pathlib
import struct
import zlib
from collections.abc import Mapping
from typing import Any, Final

import thriftpy2
from thriftpy2.protocol.cybin import cybin
from thriftpy2.transport.memory import cymemory

from carawaydoor.fleet import gossip
from carawaydoor.policy import load, strikes

_IDL: Final = pathlib.Path(__file__).with_name("report.thrift")
_wire: Final = thriftpy2.load(str(_IDL), module_name="carawaydoor_report_thrift")
AnyReport = gossip.Report | gossip.WorkReport

_CHECKSUM: Final = struct.Struct("!I")


class CodecError(Exception):
    """Bytes that are no report."""


def encode(report: AnyReport) -> bytes:
    """Return the bytes of a report."""
    match report:
        case gossip.Report():
            message = _wire.Datagram(report=_report_struct(report))
        case gossip.WorkReport():
            message = _wire.Datagram(work=_work_struct(report))
    transport = cymemory.TCyMemoryBuffer()
    message.write(cybin.TCyBinaryProtocol(transport))
    content = bytes(transport.getvalue())
    return _CHECKSUM.pack(zlib.crc32(content)) + content


def _work_struct(report: gossip.WorkReport) -> Any:
    return _wire.WorkReport(
        instance=report.instance,
        incarnation=report.incarnation,
        sequence=report.sequence,
        work_by_upstream=_work_structs(report.work_by_upstream),
    )


def _work_structs(work_by_upstream: Mapping[str, load.Work]) -> dict[str, Any]:
    return {
        key: _wire.Work(requests=work.requests, tokens=work.tokens)
        for key, work in work_by_upstream.items()
    }


def _report_struct(report: gossip.Report) -> Any:
    return _wire.Report(
        instance=report.contact.instance,
        host=report.contact.host,
        domain=report.domain,
        incarnation=report.incarnation,
        sequence=report.sequence,
        sent_s=report.sent_s,
        leaving=report.is_leaving,
        revision=report.revision,
        proof_age_s=report.proof_age_s,
        work_by_upstream=_work_structs(report.work_by_upstream),
        used_by_workspace=dict(report.used_by_workspace),
        echo_by_instance=dict(report.echo_by_instance),
        contacts=[_wire.Contact(instance=c.instance, host=c.host) for c in report.contacts],
        strikes=[
            _wire.Strike(fingerprint=s.fingerprint, id=s.strike.id, age_s=s.strike.at_s)
            for s in report.strikes
        ],
        set_aside_s_by_upstream=dict(report.set_aside_s_by_upstream),
        source_steady_s=report.source_steady_s,
        requests_by_service=dict(report.requests_by_service),
        repeats_by_service=dict(report.repeats_by_service),
    )


def decode(content: bytes) -> AnyReport:
    """Return the report in some bytes.

    :raises CodecError: where there is none
    """
    body = content[_CHECKSUM.size :]
    if len(content) < _CHECKSUM.size or _CHECKSUM.unpack_from(content)[0] != zlib.crc32(body):
        raise CodecError("the checksum does not match")
    datagram: Any = _wire.Datagram()
    try:
        datagram.read(cybin.TCyBinaryProtocol(cymemory.TCyMemoryBuffer(body)))
        if datagram.work is not None:
            return _work_report(datagram.work)
        return _report(datagram.report)
    except Exception as error:
        # The library raises whatever the malformed bytes lead it into.
        raise CodecError(repr(error)) from error


def _work_report(message: Any) -> gossip.WorkReport:
    return gossip.WorkReport(
        _text(message.instance),
        int(message.incarnation),
        int(message.sequence),
        _works(message.work_by_upstream),
    )


def _works(structs: Mapping[str, Any]) -> dict[str, load.Work]:
    return {key: load.Work(work.requests, work.tokens) for key, work in structs.items()}


def _report(message: Any) -> gossip.Report:
    return gossip.Report(
        contact=gossip.Contact(_text(message.instance), _text(message.host)),
        domain=_text(message.domain),
        incarnation=int(message.incarnation),
        sequence=int(message.sequence),
        sent_s=float(message.sent_s),
        is_leaving=bool(message.leaving),
        revision=int(message.revision),
        proof_age_s=float(message.proof_age_s),
        work_by_upstream=_works(message.work_by_upstream),
        used_by_workspace=message.used_by_workspace,
        echo_by_instance=message.echo_by_instance,
        contacts=tuple(gossip.Contact(_text(c.instance), _text(c.host)) for c in message.contacts),
        strikes=tuple(
            gossip.SharedStrike(s.fingerprint, strikes.Strike(s.id, s.age_s))
            for s in message.strikes
        ),
        set_aside_s_by_upstream=message.set_aside_s_by_upstream,
        source_steady_s=float(message.source_steady_s),
        requests_by_service=message.requests_by_service or {},
        repeats_by_service=message.repeats_by_service or {},
    )


def _text(value: object) -> str:
    if not isinstance(value, str) or not value:
        raise CodecError("a name is missing")
    return value
