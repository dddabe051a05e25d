"""The lists of allowed regions in the configuration document."""

from __future__ import annotations

from typing import Annotated

import eliot
import pydantic

from carawaydoor.platform import field_types


def _read(value: object) -> list[str] | None:
    """Return the names in a list; one that can't be read must not lift the restriction."""
    if value is None:
        return None
    items = value if isinstance(value, list) else []
    regions = [
        each
        for each in items
        if isinstance(each, str) and 0 < len(each) <= field_types.MAX_NAME_LENGTH
    ]
    if not regions or len(regions) < len(items):
        eliot.log_message(
            message_type="allowed_regions_malformed",
            is_list=isinstance(value, list),
            ignored=len(items) - len(regions),
            allowed=len(regions),
        )
    return regions


AllowedRegions = Annotated[list[str] | None, pydantic.BeforeValidator(_read)]


def decode(regions: list[str] | None) -> frozenset[str] | None:
    """Return the regions of a list, None for no restriction."""
    return None if regions is None else frozenset(regions)
