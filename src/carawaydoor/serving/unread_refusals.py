"""Creates the platform's responses to requests that were not received."""

from __future__ import annotations

import json
from collections.abc import Mapping
from typing import Final

from carawaydoor.operating import metrics_exporter
from carawaydoor.serving import protocol_adapter, refusals, request_limits

_REASON_BY_LIMIT: Final = {
    request_limits.Limit.HEAD_SIZE: refusals.Reason.HEAD_TOO_LARGE,
    request_limits.Limit.BODY_SIZE: refusals.Reason.BODY_TOO_LARGE,
    request_limits.Limit.BODY_FRAMING: refusals.Reason.BODY_TOO_LARGE,
}


class RefusalFormatter(request_limits.RefusalFormatter):
    """Creates problem documents like those of the application."""

    def __init__(
        self, adapter: protocol_adapter.ProtocolAdapter, counter: metrics_exporter.Counter
    ) -> None:
        self._adapter = adapter
        self._counter = counter

    def format(
        self, limit: request_limits.Limit, headers: Mapping[str, str]
    ) -> request_limits.RefusalResponse:
        """Return the response to a request, and count it with the other refusals."""
        reason = _REASON_BY_LIMIT.get(limit, refusals.Reason.NO_MEMORY)
        is_temporary = reason is refusals.Reason.NO_MEMORY
        refusal = refusals.Refusal(
            reason, limit.value, request_limits.RETRY_AFTER_S if is_temporary else None
        )
        self._counter.add(1, {"reason": reason.value})
        request_id = self._adapter.request_id(
            {f"HTTP_{name}": value for name, value in headers.items()}
        )
        problem = {"type": reason.value, "status": refusal.status, "id": request_id}
        return request_limits.RefusalResponse(
            f"{int(refusal.status)} {request_limits.STATUS_BY_LIMIT[limit].phrase}",
            tuple(self._adapter.refusal_headers(refusal, request_id)),
            json.dumps(problem).encode(),
        )
