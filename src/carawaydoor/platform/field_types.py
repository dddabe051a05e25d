"""Types of fields in documents of the platform, with the ranges that the rest relies on."""

from __future__ import annotations

import re
from typing import Annotated, Final

import pydantic

# Instances tell each other such numbers in fields of 64 bits.
MAX_COUNT: Final = 2**63 - 1
# Many times what any server takes; sums over all servers stay small as well.
MAX_SLOTS: Final = 1_000_000
MAX_NAME_LENGTH: Final = 1000
MAX_PORT: Final = 65_535
# A time in milliseconds that no deadline or pause reaches.
MAX_MS: Final = 1e9
_MAX_HOST_LENGTH: Final = 253
_HOST_LABEL: Final = re.compile(r"[A-Za-z0-9_](?:[A-Za-z0-9_-]{0,61}[A-Za-z0-9_])?")

Count = Annotated[int, pydantic.Field(ge=0, le=MAX_COUNT)]
Slots = Annotated[int, pydantic.Field(ge=0, le=MAX_SLOTS)]
Name = Annotated[str, pydantic.Field(max_length=MAX_NAME_LENGTH)]
Milliseconds = Annotated[float, pydantic.Field(ge=0.0, le=MAX_MS, allow_inf_nan=False)]
NonNegative = Annotated[float, pydantic.Field(ge=0.0, le=1e15, allow_inf_nan=False)]


def parse_address(text: str) -> tuple[str, int]:
    """Return the host and the port of an address.

    :raises ValueError: if it is not HOST:PORT, or nothing can listen there
    """
    host, _, port = text.rpartition(":")
    is_host = len(host) <= _MAX_HOST_LENGTH and all(
        _HOST_LABEL.fullmatch(each) for each in host.split(".")
    )
    is_port = port.isascii() and port.isdecimal() and len(port) <= len(str(MAX_PORT))
    if not is_host or not is_port or not 0 < int(port) <= MAX_PORT:
        raise ValueError(f"address {text[:100]!r} is not HOST:PORT")
    return host, int(port)
