"""Messages are decoded as they were encoded, and invalid frames raise an error."""

from __future__ import annotations

import dataclasses
import socket
import struct

import pytest

from carawaydoor.coordination import messages
from carawaydoor.links import wire

# Without the types that occur only as fields of other messages.
MESSAGE_TYPES = tuple(
    each
    for each in vars(messages).values()
    if isinstance(each, type)
    and issubclass(each, messages.Message)
    and each not in (messages.Message, messages.HeldLease, messages.PoolLoad)
    and each not in (messages.KeyRecord, messages.RevisionPart)
)
LEASE = messages.HeldLease("l1", "pool", "fd-a", "acme", "e1")
VALUE_BY_TYPE: dict[str, object] = {
    "str": "gärten",
    "int": 7,
    "float": 2.5,
    "bool": True,
    "bytes": b"\x00\xff\xfe",
    "tuple[str, ...]": ("a", "b"),
    "tuple[HeldLease, ...]": (LEASE,),
    "tuple[PoolLoad, ...]": (messages.PoolLoad("pool", 3, 1),),
    "tuple[KeyRecord, ...]": (messages.KeyRecord("w", "k", "o", 1.5, 201, "t", b"\xff"),),
    "tuple[RevisionPart, ...]": (messages.RevisionPart("d", b"\xff\x00"),),
}


@pytest.fixture
def channels() -> tuple[wire.Channel, wire.Channel]:
    """The two ends of a connection."""
    one, other = socket.socketpair()
    return wire.Channel(one), wire.Channel(other)


@pytest.mark.parametrize(
    "message_type", MESSAGE_TYPES, ids=lambda message_type: message_type.__name__
)
def test_message_round_trip(
    message_type: type[messages.Message], channels: tuple[wire.Channel, wire.Channel]
) -> None:
    """A message of each type is received as it was sent."""
    values = {each.name: VALUE_BY_TYPE[str(each.type)] for each in dataclasses.fields(message_type)}
    frame = wire.Frame(5, message_type(**values))
    channels[0].write(frame)
    assert channels[1].read() == frame


def test_read_from_closed_connection_fails(channels: tuple[wire.Channel, wire.Channel]) -> None:
    """Reading from a closed connection raises ``WireError``."""
    channels[0].close()
    with pytest.raises(wire.WireError):
        channels[1].read()


@pytest.mark.parametrize(
    "content", [b"GET / HTTP/1.1\r\n\r\n", struct.pack("!i", 4) + b"junk", b"\x00"]
)
def test_invalid_frame_is_refused(content: bytes) -> None:
    """Bytes that are not a frame raise ``WireError``."""
    one, other = socket.socketpair()
    one.sendall(content)
    one.close()
    with pytest.raises(wire.WireError):
        wire.Channel(other).read()
