"""Messages arrive as they were sent, and a broken connection is noticed."""

from __future__ import annotations

import dataclasses
import socket
import struct

import pytest

from carawaydoor.coordination import messages
from carawaydoor.links import wire

EVERY = tuple(
    each
    for each in vars(messages).values()
    if isinstance(each, type)
    and issubclass(each, messages.Message)
    and each not in (messages.Message, messages.HeldLease, messages.PoolLoad)
    and each not in (messages.KeyRecord, messages.RevisionPart)
)
LEASE = messages.HeldLease("l1", "pool", "fd-a", "acme", "e1")
VALUES: dict[str, object] = {
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
    """Both ends of a connection."""
    one, other = socket.socketpair()
    return wire.Channel(one), wire.Channel(other)


@pytest.mark.parametrize("kind", EVERY, ids=lambda kind: kind.__name__)
def test_message_arrives(
    kind: type[messages.Message], channels: tuple[wire.Channel, wire.Channel]
) -> None:
    """A message of each type arrives as it was sent."""
    values = {each.name: VALUES[str(each.type)] for each in dataclasses.fields(kind)}
    frame = wire.Frame(5, kind(**values))
    channels[0].write(frame)
    assert channels[1].read() == frame


def test_closed_connection_is_noticed(channels: tuple[wire.Channel, wire.Channel]) -> None:
    """Reading from a connection that was closed raises the error of this module."""
    channels[0].close()
    with pytest.raises(wire.WireError):
        channels[1].read()


@pytest.mark.parametrize(
    "junk", [b"GET / HTTP/1.1\r\n\r\n", struct.pack("!i", 4) + b"junk", b"\x00"]
)
def test_junk_is_noticed(junk: bytes) -> None:
    """What is not a frame raises the error of this module."""
    one, other = socket.socketpair()
    one.sendall(junk)
    one.close()
    with pytest.raises(wire.WireError):
        wire.Channel(other).read()
