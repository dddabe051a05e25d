"""Decodes what engines say of themselves and of the prompts that they have prefilled."""

from __future__ import annotations

from typing import Annotated, Literal

import pydantic

from carawaydoor.platform import field_types
from carawaydoor.policy import entities
from carawaydoor.serving import protocol_adapter


class _Report(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="ignore")

    stage: Literal["", "prefill", "decode"]
    busy: bool
    # Counts accepted orders here, but heartbeats in the store's server entries.
    sequenceNumber: field_types.Count  # noqa: N815
    kvUsed: field_types.Count  # noqa: N815


class _PrefilledPrompt(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="ignore", strict=True)

    handle: Annotated[str, pydantic.Field(pattern=r"^[!-~]{1,1000}$")]
    tokens: field_types.Count


class _Hold(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="ignore", strict=True)

    hold: Annotated[str, pydantic.Field(pattern=r"^[!-.0-~]{1,200}$")]


def decode_hold(content: bytes) -> str:
    """Decode the id of the memory that an engine holds.

    :raises pydantic.ValidationError: if it is malformed
    """
    return _Hold.model_validate_json(content).hold


def decode_report(content: bytes) -> protocol_adapter.EngineReport:
    """Decode the status report of an engine.

    :raises pydantic.ValidationError: if it is malformed
    """
    report = _Report.model_validate_json(content)
    return protocol_adapter.EngineReport(
        entities.Stage(report.stage), report.busy, report.sequenceNumber, report.kvUsed
    )


def decode_prefilled(
    upstream: entities.Upstream, content: bytes
) -> protocol_adapter.PrefilledPrompt:
    """Decode the response to a prefill request.

    :raises pydantic.ValidationError: if it is malformed
    """
    prefilled = _PrefilledPrompt.model_validate_json(content)
    return protocol_adapter.PrefilledPrompt(
        f"{upstream.address}/{prefilled.handle}", prefilled.tokens
    )
