"""Creates the responses to requests that were not received."""

from __future__ import annotations

import json
import uuid
from collections.abc import Mapping
from typing import Final

from carawaydoor.interface import errors, problem_document
from carawaydoor.operating import metrics_exporter
from carawaydoor.serving import request_limits

REQUEST_ID_HEADER: Final = "X-Request-Id"
_BUSY: Final = errors.Refusal(
    errors.Kind.INSTANCE_BUSY,
    "this instance holds too many unfinished requests",
    retry_after_s=request_limits.RETRY_AFTER_S,
)


class RefusalFormatter(request_limits.RefusalFormatter):
    """Creates problem documents like those of the application."""

    def __init__(
        self, max_header_bytes: int, max_body_bytes: int, counter: metrics_exporter.Counter
    ) -> None:
        self._refusal_by_limit = {
            request_limits.Limit.HEAD_SIZE: errors.Refusal(
                errors.Kind.HEADERS_TOO_LARGE, f"the headers exceed {max_header_bytes} bytes"
            ),
            request_limits.Limit.BODY_SIZE: errors.Refusal(
                errors.Kind.BODY_TOO_LARGE, f"the body exceeds {max_body_bytes} bytes"
            ),
            request_limits.Limit.BODY_FRAMING: errors.Refusal(
                errors.Kind.BODY_TOO_LARGE, "the framing of the chunks exceeds its limit"
            ),
        }
        self._counter = counter

    def format(
        self, limit: request_limits.Limit, headers: Mapping[str, str]
    ) -> request_limits.RefusalResponse:
        """Return the response to a request, and count it with the other refusals."""
        refusal = self._refusal_by_limit.get(limit, _BUSY)
        self._counter.add(1, {"kind": refusal.kind.value})
        request_id = uuid.uuid4().hex
        content = json.dumps(problem_document.create_document(refusal, request_id)).encode()
        response_headers = [
            ("Content-Type", problem_document.CONTENT_TYPE),
            (REQUEST_ID_HEADER, request_id),
        ]
        if refusal.retry_after_s is not None:
            response_headers.append(("Retry-After", problem_document.retry_after(refusal)))
        return request_limits.RefusalResponse(
            f"{refusal.status} {request_limits.STATUS_BY_LIMIT[limit].phrase}",
            tuple(response_headers),
            content,
        )
