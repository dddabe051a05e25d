"""Names in the platform's protocol: HTTP headers, paths and store keys."""

from __future__ import annotations

import enum
from typing import Final


class Header(enum.StrEnum):
    """HTTP headers of requests and responses."""

    REQUEST_ID = "Carawaydoor-Request-Id"
    # Remaining time, not an absolute deadline.
    TIME_LEFT_MS = "Carawaydoor-Deadline-Milliseconds"
    KEY = "Api-Key"
    WORKSPACE = "Carawaydoor-Tenant"
    MODEL = "Carawaydoor-Model"
    # Prompt tokens and maximum output tokens, separated by a comma.
    TOKENS = "Carawaydoor-Token-Counts"
    PROMPT_PARTS = "Carawaydoor-Prompt-Prefix"
    OUTPUT_ESTIMATE = "Carawaydoor-Length-Hint"
    EXPECT_INCARNATION = "Carawaydoor-Expect-Instance"
    EXPECT_VERSION = "Carawaydoor-Expect-Version"
    PRIORITY = "Carawaydoor-Request-Priority"
    STAGE = "Carawaydoor-Stage"
    KV_SOURCE = "Carawaydoor-Kv-Source"
    KV_BACKUP = "Carawaydoor-Kv-Backup"
    KV_FETCH = "Kv-Fetch"
    PIN = "Carawaydoor-Pin-Milliseconds"
    HOLD = "Carawaydoor-Hold"
    # Between instances only: the one that got the request from its caller.
    FORWARDED_BY = "Carawaydoor-Forwarded-By"
    # Between instances only: attempts of a request that other instances may have made or may make.
    ATTEMPTS_ELSEWHERE = "Carawaydoor-Attempts-Elsewhere"
    # Between instances only: position of the configuration by which the first one judged a request.
    CONFIGURATION_POSITION = "Carawaydoor-Configuration-Position"
    LAST_EVENT_ID = "Last-Event-Id"
    # Id of the caller's attempt that brought the first event of a stream that it takes up again.
    RESUMES = "Resumes"
    # Set by every upstream; responses of the router itself lack it.
    STAMP = "Carawaydoor-Server-Stamp"
    NOT_RUN = "Carawaydoor-Not-Run"
    RETRY_AFTER = "Retry-After"
    # Number of restores of the store; every response of the store has it.
    STORE_ERA = "Store-Era"
    # "1" in every response of an upstream that is about to stop.
    LEAVING = "Server-Leaving"
    # Requests a second that an upstream takes from all instances together, in each response for as
    # long as the limit holds.
    LIMIT = "Server-Limit"
    # Milliseconds for which an upstream is still cold.
    COLD_MS = "Carawaydoor-Cold-Milliseconds"


# Never forwarded from callers: the router consumes them or sets them itself.
ROUTER_HEADERS: Final = frozenset(
    each.value.lower()
    for each in (
        Header.KEY,
        Header.WORKSPACE,
        Header.TIME_LEFT_MS,
        Header.EXPECT_INCARNATION,
        Header.EXPECT_VERSION,
        Header.PRIORITY,
        Header.STAGE,
        Header.KV_SOURCE,
        Header.KV_BACKUP,
        Header.KV_FETCH,
        Header.PIN,
        Header.HOLD,
        Header.FORWARDED_BY,
        Header.ATTEMPTS_ELSEWHERE,
        Header.CONFIGURATION_POSITION,
    )
)
# What upstreams say of themselves to the router; not forwarded to callers.
UPSTREAM_NOTICE_PREFIX: Final = "server-"
UPSTREAM_NOTICE_HEADERS: Final = frozenset(
    {Header.LEAVING.lower(), Header.LIMIT.lower(), Header.COLD_MS.lower()}
)
HOP_BY_HOP_HEADERS: Final = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "trailers",
        "transfer-encoding",
        "upgrade",
    }
)

READINESS_PATH: Final = "/carawaydoor/readiness"
REPORT_PATH: Final = "/carawaydoor/report"
ORDER_PATH: Final = "/carawaydoor/order"
HANDLE_PATH: Final = "/carawaydoor/kv-handle/"
HOLD_PATH: Final = "/carawaydoor/hold-take"
HOLD_RELEASE_PATH: Final = "/carawaydoor/hold-drop/"
STORE_RANGE_PATH: Final = "/carawaydoor/kv-range"
STORE_WATCH_PATH: Final = "/carawaydoor/kv-watch"
CONFIGURATION_KEY: Final = "op/config"
SERVERS_PREFIX: Final = "servers/"
# Followed by the name of a failure domain; the key alone says that it is evacuated.
EVACUATION_PREFIX: Final = "op/evacuate/"
SETTINGS_VARIABLE: Final = "CARAWAYDOOR_SETTINGS"
