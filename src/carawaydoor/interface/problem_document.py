"""Converts refusals to RFC 9457 problem documents, which callers receive."""

from __future__ import annotations

import json
import math
from typing import Any, Final

from carawaydoor.interface import errors, request_exchange

CONTENT_TYPE: Final = "application/problem+json"
TYPE_PREFIX: Final = "urn:carawaydoor:problem:"


def create_document(refusal: errors.Refusal, request_id: str) -> dict[str, Any]:
    """Return the problem document of a refusal."""
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


def create_response(
    refusal: errors.Refusal, request_id: str, headers: tuple[tuple[str, str], ...] = ()
) -> request_exchange.Response:
    """Return the HTTP response for a refusal."""
    body = json.dumps(create_document(refusal, request_id)).encode()
    all_headers = [("Content-Type", CONTENT_TYPE), ("Content-Length", str(len(body))), *headers]
    if refusal.retry_after_s is not None:
        all_headers.append(("Retry-After", retry_after(refusal)))
    return request_exchange.Response(refusal.status, tuple(all_headers), iter([body]))


def retry_after(refusal: errors.Refusal) -> str:
    """Return the value of the header that says after how many seconds a retry may succeed."""
    return str(max(1, math.ceil(refusal.retry_after_s or 0.0)))


def create_event(refusal: errors.Refusal, request_id: str) -> bytes:
    """Return the server-sent event that ends a failed stream."""
    return (
        b"data: " + json.dumps({"error": create_document(refusal, request_id)}).encode() + b"\n\n"
    )
