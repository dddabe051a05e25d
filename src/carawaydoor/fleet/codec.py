"""Reports as bytes, by thrift's binary protocol."""

from __future__ import annotations

import pathlib
from typing import Any, Final

import thriftpy2
from thriftpy2.protocol.cybin import cybin
from thriftpy2.transport.memory import cymemory

from carawaydoor.fleet import membership
from carawaydoor.policy import load, strikes

_IDL: Final = pathlib.Path(__file__).with_name("report.thrift")
_wire: Final = thriftpy2.load(str(_IDL), module_name="carawaydoor_report_thrift")


class CodecError(Exception):
    """Bytes that are no report."""


def encode(report: membership.Report) -> bytes:
    """Return the bytes of a report."""
    transport = cymemory.TCyMemoryBuffer()
    message = _wire.Report(
        instance=report.contact.instance,
        host=report.contact.host,
        domain=report.domain,
        incarnation=report.incarnation,
        sequence=report.sequence,
        sent_s=report.sent_s,
        leaving=report.is_leaving,
        revision=report.revision,
        proof_age_s=report.proof_age_s,
        work_by_upstream={
            key: _wire.Work(requests=work.requests, tokens=work.tokens)
            for key, work in report.work_by_upstream.items()
        },
        used_by_workspace=dict(report.used_by_workspace),
        echo_by_instance=dict(report.echo_by_instance),
        contacts=[_wire.Contact(instance=c.instance, host=c.host) for c in report.contacts],
        strikes=[
            _wire.Strike(fingerprint=s.fingerprint, id=s.strike.id, age_s=s.strike.at_s)
            for s in report.strikes
        ],
        set_aside_s_by_upstream=dict(report.set_aside_s_by_upstream),
    )
    message.write(cybin.TCyBinaryProtocol(transport))
    return bytes(transport.getvalue())


def decode(content: bytes) -> membership.Report:
    """Return the report in some bytes.

    :raises CodecError: where there is none
    """
    message: Any = _wire.Report()
    try:
        message.read(cybin.TCyBinaryProtocol(cymemory.TCyMemoryBuffer(content)))
        return membership.Report(
            contact=membership.Contact(_text(message.instance), _text(message.host)),
            domain=_text(message.domain),
            incarnation=int(message.incarnation),
            sequence=int(message.sequence),
            sent_s=float(message.sent_s),
            is_leaving=bool(message.leaving),
            revision=int(message.revision),
            proof_age_s=float(message.proof_age_s),
            work_by_upstream={
                key: load.Work(work.requests, work.tokens)
                for key, work in message.work_by_upstream.items()
            },
            used_by_workspace=message.used_by_workspace,
            echo_by_instance=message.echo_by_instance,
            contacts=tuple(
                membership.Contact(_text(c.instance), _text(c.host)) for c in message.contacts
            ),
            strikes=tuple(
                membership.SharedStrike(s.fingerprint, strikes.Strike(s.id, s.age_s))
                for s in message.strikes
            ),
            set_aside_s_by_upstream=message.set_aside_s_by_upstream,
        )
    except Exception as error:
        # The library raises whatever the malformed bytes lead it into.
        raise CodecError(repr(error)) from error


def _text(value: object) -> str:
    if not isinstance(value, str) or not value:
        raise CodecError("a name is missing")
    return value
