"""Refusals as callers see them: RFC 9457 problem documents."""

from __future__ import annotations

import json
import math
from typing import Any, Final

from carawaydoor.interface import errors, request_exchange

CONTENT_TYPE: Final = "application/problem+json"
TYPE_PREFIX: Final = "urn:carawaydoor:problem:"


def document(refusal: errors.Refusal, request_id: str) -> dict[str, Any]:
    """Return the members of the problem document of a refusal."""
    members: dict[str, Any] = {
        "type": f"{TYPE_PREFIX}{refusal.kind.value}",
        "title": refusal.kind.value.replace("-", " "),
        "status": refusal.status,
        "detail": refusal.detail,
        "request_id": request_id,
        "ran": refusal.ran.value,
    }
    if refusal.retry_after_s is not None:
        members["retry_after_s"] = round(refusal.retry_after_s, 3)
    return members


def response(
    refusal: errors.Refusal, request_id: str, headers: tuple[tuple[str, str], ...] = ()
) -> request_exchange.Response:
    """Return the whole response that carries a refusal."""
    body = json.dumps(document(refusal, request_id)).encode()
    every = [("Content-Type", CONTENT_TYPE), ("Content-Length", str(len(body))), *headers]
    if refusal.retry_after_s is not None:
        every.append(("Retry-After", str(max(1, math.ceil(refusal.retry_after_s)))))
    return request_exchange.Response(refusal.status, tuple(every), iter([body]))


def event(refusal: errors.Refusal, request_id: str) -> bytes:
    """Return the last event of a stream that can't be finished."""
    return b"data: " + json.dumps({"error": document(refusal, request_id)}).encode() + b"\n\n"
