"""Records the steps of a decision core as lines of JSON, to be replayed later.

A trace contains no credentials, bodies or secrets: bodies are left out, issued idempotency keys
are signed again with the public ``REPLAY_SECRET``, so that a replay can verify them, and API keys
of workspaces are not recorded.
"""

from __future__ import annotations

import abc
import dataclasses
import enum
import json
import pathlib
from collections.abc import Mapping, Sequence
from typing import Any, Final, TextIO

import pydantic

from carawaydoor.coordination import (
    budgets,
    cluster_view,
    core_events,
    idempotency,
    messages,
    ownership,
    token_bucket,
)
from carawaydoor.interface import errors
from carawaydoor.publishing import catalog, config_objects

REPLAY_SECRET: Final = b"replay"
FORGED_MAC: Final = "0" * 24
TYPE_KEY: Final = "@"
ITEMS_KEY: Final = "@items"
BYTES_KEY: Final = "@bytes"
VALUE_KEY: Final = "@value"

_MODULES: Final = (
    token_bucket,
    budgets,
    catalog,
    errors,
    core_events,
    ownership,
    messages,
    config_objects,
    cluster_view,
)
_CLASS_BY_NAME: Final[dict[str, type[Any]]] = {
    name: each
    for module in _MODULES
    for name, each in vars(module).items()
    if isinstance(each, type)
}


@dataclasses.dataclass(frozen=True, slots=True)
class Origin:
    """First line of a trace: the instance that has just started."""

    instance: str
    incarnation: str
    failure_domain: str
    lease_s: float
    takeover_s: float
    started_s: float


class Recorder(abc.ABC):
    """Receives the steps of a decision core."""

    @abc.abstractmethod
    def record(
        self,
        now_s: float,
        wall_s: float,
        event: core_events.Event,
        effects: Sequence[core_events.Effect],
    ) -> None:
        """Record one step."""

    def close(self) -> None:  # noqa: B027
        """Finish the recording."""


class NullRecorder(Recorder):
    """Discards all steps."""

    def record(
        self,
        now_s: float,
        wall_s: float,
        event: core_events.Event,
        effects: Sequence[core_events.Effect],
    ) -> None:
        """Discard the step."""


class FileRecorder(Recorder):
    """Writes each step to a file as a line of JSON."""

    def __init__(self, out: TextIO, membership: ownership.Membership, secret: bytes) -> None:
        self._out = out
        self._secret = secret
        origin = Origin(
            membership.instance,
            membership.incarnation,
            membership.failure_domain,
            membership.timing.lease_s,
            membership.timing.takeover_s,
            membership.started_s,
        )
        self._write(dataclasses.asdict(origin))

    def record(
        self,
        now_s: float,
        wall_s: float,
        event: core_events.Event,
        effects: Sequence[core_events.Effect],
    ) -> None:
        """Write the step without confidential data."""
        self._write(
            {
                "now_s": now_s,
                "wall_s": wall_s,
                "event": encode(redact(event, self._secret)),
                "effects": [encode(redact(each, self._secret)) for each in effects],
            }
        )

    def close(self) -> None:
        """Close the file."""
        self._out.close()

    def _write(self, document: Mapping[str, Any]) -> None:
        self._out.write(json.dumps(document) + "\n")


def open_recorder(path: str | None, membership: ownership.Membership, secret: bytes) -> Recorder:
    """Return the recorder that the settings ask for.

    :param path: file to write to, None if nothing is to be recorded
    """
    if path is None:
        return NullRecorder()
    return FileRecorder(pathlib.Path(path).open("w", encoding="utf-8"), membership, secret)


def redact(value: Any, secret: bytes) -> Any:
    """Return an event or effect without bodies, credentials and signatures."""
    match value:
        case messages.RunOnce():
            key = _replace_signature(value, secret)
            return dataclasses.replace(value, key=key, body=b"")
        case messages.RunOnceAnswered():
            return dataclasses.replace(value, body=b"")
        case messages.KeyRecord():
            return dataclasses.replace(value, body=b"")
        case core_events.CatalogInForce():
            without_keys = dataclasses.replace(value.catalog, key_by_digest={})
            return dataclasses.replace(value, catalog=without_keys)
        case tuple():
            return tuple(redact(each, secret) for each in value)
        case core_events.Event() | core_events.Effect() | messages.HandOverKeys():
            changed = {
                field.name: redact(getattr(value, field.name), secret)
                for field in dataclasses.fields(value)
            }
            return dataclasses.replace(value, **changed)
        case _:
            return value


def encode(value: Any) -> Any:
    """Convert a value of the decision core to JSON types."""
    if isinstance(value, pydantic.BaseModel):
        return {TYPE_KEY: type(value).__name__, VALUE_KEY: value.model_dump(mode="json")}
    if dataclasses.is_dataclass(value):
        fields = {
            each.name: encode(getattr(value, each.name))
            for each in dataclasses.fields(value)
            if each.init
        }
        return {TYPE_KEY: type(value).__name__, **fields}
    if isinstance(value, enum.Enum):
        return {TYPE_KEY: type(value).__name__, VALUE_KEY: value.value}
    if isinstance(value, Mapping):
        return {ITEMS_KEY: [[key, encode(each)] for key, each in value.items()]}
    if isinstance(value, tuple | list):
        return [encode(each) for each in value]
    if isinstance(value, bytes):
        return {BYTES_KEY: value.hex()}
    return value


def decode(value: Any) -> Any:
    """Convert the result of :func:`encode` back.

    :raises KeyError: if a type does not belong to the decision core
    """
    if isinstance(value, list):
        return tuple(decode(each) for each in value)
    if not isinstance(value, dict):
        return value
    if BYTES_KEY in value:
        return bytes.fromhex(value[BYTES_KEY])
    if ITEMS_KEY in value:
        return {key: decode(each) for key, each in value[ITEMS_KEY]}
    target_type = _CLASS_BY_NAME[value[TYPE_KEY]]
    if issubclass(target_type, pydantic.BaseModel):
        return target_type.model_validate(value[VALUE_KEY])
    if issubclass(target_type, enum.Enum):
        return target_type(value[VALUE_KEY])
    return target_type(**{key: decode(each) for key, each in value.items() if key != TYPE_KEY})


def _replace_signature(message: messages.RunOnce, secret: bytes) -> str:
    issued = idempotency.parse_issued(message.key)
    if issued is None:
        return message.key
    if not idempotency.is_genuine(issued, message.workspace, secret):
        parts = dataclasses.replace(issued, mac=FORGED_MAC)
        return ".".join((idempotency.ISSUED_PREFIX, *dataclasses.astuple(parts)))
    return idempotency.issue(
        issued.instance, issued.incarnation, issued.nonce, message.workspace, REPLAY_SECRET
    )
