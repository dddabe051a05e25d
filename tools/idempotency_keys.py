"""Idempotency keys as callers make them."""

from __future__ import annotations

import random
import uuid


def uuid7(wall_s: float, chance: random.Random) -> str:
    """Return a UUID of version 7 (RFC 9562) made at the given wall time in seconds."""
    milliseconds = int(wall_s * 1000) & ((1 << 48) - 1)
    value = milliseconds << 80 | 0x7 << 76 | chance.getrandbits(12) << 64
    return str(uuid.UUID(int=value | 0b10 << 62 | chance.getrandbits(62)))
