"""Joins the message of a chat completion from its streamed parts."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any, Final

from carawaydoor.interface import stream_checks

# Engines may repeat these in every part.
_UNJOINED_MEMBERS: Final = frozenset({"role", "id", "type"})
_INDEX: Final = "index"


def join(deltas: Iterable[stream_checks.Delta]) -> dict[str, Any]:
    """Return the message with the texts and the tool calls of all parts."""
    message: dict[str, Any] = {"role": "assistant", "content": ""}
    texts_by_name: dict[str, list[str]] = {}
    for each in deltas:
        for name, value in each.model_dump().items():
            if isinstance(value, str) and name not in _UNJOINED_MEMBERS:
                texts_by_name.setdefault(name, []).append(value)
            else:
                _add_members(message, {name: value})
    message.update({name: "".join(texts) for name, texts in texts_by_name.items()})
    for name, value in message.items():
        if isinstance(value, list):
            message[name] = [_without_index(each) for each in value]
    return message


def _add_members(joined: dict[str, Any], part: dict[str, Any]) -> None:
    for name, value in part.items():
        earlier = joined.get(name)
        if value is None or (earlier is not None and name in _UNJOINED_MEMBERS):
            continue
        if isinstance(value, dict):
            if not isinstance(earlier, dict):
                earlier = joined[name] = {}
            _add_members(earlier, value)
        elif isinstance(value, list):
            if not isinstance(earlier, list):
                earlier = joined[name] = []
            _add_items(earlier, value)
        elif isinstance(value, str) and isinstance(earlier, str):
            joined[name] = earlier + value
        else:
            joined[name] = value


def _add_items(joined: list[Any], items: list[Any]) -> None:
    """Add the items of a list; those with an index continue the earlier one with the same."""
    for item in items:
        if not isinstance(item, dict) or _INDEX not in item:
            joined.append(item)
            continue
        matching = (each for each in joined if isinstance(each, dict))
        earlier = next((each for each in matching if each.get(_INDEX) == item[_INDEX]), None)
        if earlier is None:
            earlier = {}
            joined.append(earlier)
        _add_members(earlier, item)


def _without_index(item: Any) -> Any:
    if not isinstance(item, dict):
        return item
    return {name: value for name, value in item.items() if name != _INDEX}
