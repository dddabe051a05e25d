"""Encodes the messages between instances as framed thrift structs."""

from __future__ import annotations

import dataclasses
import pathlib
import socket
from typing import Any, Final

import thriftpy2
from thriftpy2.protocol.cybin import cybin
from thriftpy2.thrift import TException
from thriftpy2.transport import socket as thrift_socket
from thriftpy2.transport.framed import cyframed

from carawaydoor.coordination import messages

MAX_FRAME_BYTES: Final = 32_000_000

_IDL: Final[Any] = thriftpy2.load(
    str(pathlib.Path(__file__).with_name("peer.thrift")), module_name="carawaydoor_peer_thrift"
)


class WireError(Exception):
    """The connection ended, or the received bytes are not a valid frame."""


@dataclasses.dataclass(frozen=True, slots=True)
class Frame:
    """One message on a connection.

    :ivar correlation_id: number that an answer repeats from its request, zero if no answer is
        expected
    """

    correlation_id: int
    message: messages.Message


class Channel:
    """Reads and writes frames on a connection; one thread may write while another one reads."""

    def __init__(self, connection: socket.socket) -> None:
        self._connection = connection
        transport = thrift_socket.TSocket(sock=connection)
        self._transport = cyframed.TCyFramedTransport(transport)
        self._protocol = cybin.TCyBinaryProtocol(self._transport)

    def write(self, frame: Frame) -> None:
        """Send one frame.

        :raises WireError: if the connection was lost
        """
        try:
            self._protocol.write_struct(to_thrift(frame))
            self._transport.flush()
        except (OSError, TException) as error:
            raise WireError(str(error)) from error

    def read(self) -> Frame:
        """Receive one frame.

        :raises WireError: if the connection ended or the frame can't be decoded
        """
        frame_struct = _IDL.Frame()
        try:
            self._protocol.read_struct(frame_struct)
        except (OSError, TException, EOFError, UnicodeDecodeError, ValueError) as error:
            raise WireError(str(error)) from error
        return Frame(frame_struct.correlation or 0, _decode_body(frame_struct.body))

    def close(self) -> None:
        """Close the connection; a thread that reads from it gets an error."""
        try:
            self._connection.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self._connection.close()


def to_thrift(frame: Frame) -> Any:
    """Return the thrift struct of a frame."""
    body = _IDL.Body()
    setattr(body, type(frame.message).__name__, _encode(frame.message))
    return _IDL.Frame(correlation=frame.correlation_id, body=body)


def _encode(message: messages.Message) -> Any:
    struct = getattr(_IDL, type(message).__name__)()
    for field in dataclasses.fields(message):
        setattr(struct, field.name, _encode_value(getattr(message, field.name)))
    return struct


def _encode_value(value: object) -> object:
    if isinstance(value, messages.Message):
        return _encode(value)
    if isinstance(value, tuple):
        return [_encode_value(each) for each in value]
    return value


def _decode_body(body: Any) -> messages.Message:
    fields = {} if body is None else vars(body)
    struct = next((each for each in fields.values() if each is not None), None)
    if struct is None:
        raise WireError("the frame has no message of a known type")
    return _decode(struct)


def _decode(struct: Any) -> messages.Message:
    message_type = getattr(messages, type(struct).__name__)
    values = {
        field.name: _decode_value(getattr(struct, field.name))
        for field in dataclasses.fields(message_type)
    }
    message: messages.Message = message_type(**values)
    return message


def _decode_value(value: object) -> object:
    if isinstance(value, list):
        return tuple(_decode_value(each) for each in value)
    if hasattr(value, "thrift_spec"):
        return _decode(value)
    return value
