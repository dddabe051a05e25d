"""Reads the settings file that the platform provides for each process."""

from __future__ import annotations

import ipaddress
import os
import pathlib
import tomllib
from typing import Annotated, Final

import eliot
import expression
import pydantic

from carawaydoor.operating import platform_options
from carawaydoor.platform import field_types, names

_MS_PER_S: Final = 1000.0
_BYTES_PER_MB: Final = 1_000_000

Positive = Annotated[float, pydantic.Field(gt=0.0, allow_inf_nan=False)]
NonNegative = Annotated[float, pydantic.Field(ge=0.0, allow_inf_nan=False)]
Port = Annotated[int, pydantic.Field(ge=1, le=65535)]


def _check_address(value: str) -> str:
    host, _, port = value.rpartition(":")
    ipaddress.IPv4Address(host)
    if not port.isdecimal() or not 0 < int(port) < 65536:
        raise ValueError("must be IPV4:PORT")
    return value


AddressText = Annotated[str, pydantic.AfterValidator(_check_address)]


def _read_region(value: object) -> str:
    """Return the name of a region, empty for anything else, which allows nothing."""
    if isinstance(value, str) and len(value) <= field_types.MAX_NAME_LENGTH:
        return value
    eliot.log_message(message_type="region_malformed", type=type(value).__name__)
    return ""


def _read_zones(value: object) -> dict[str, str]:
    """Return the regions of failure domains without those that are malformed."""
    items = value.items() if isinstance(value, dict) else ()
    region_by_domain = {str(domain): _read_region(region) for domain, region in items}
    return {domain: region for domain, region in region_by_domain.items() if region}


class _Model(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="ignore")


class _Listen(_Model):
    frontend: AddressText
    ready: AddressText


class _Limits(_Model):
    memoryMb: Positive  # noqa: N815
    fileDescriptors: int  # noqa: N815
    linkMbps: NonNegative = 0.0  # noqa: N815


class _Bounds(_Model):
    # Bounds that are not used yet are validated too, so that an operator learns of an invalid one
    # early.

    # Time without a disturbance after which targets have to be met, not a measurement window.
    stableWindowMs: Positive = 3000.0  # noqa: N815
    addressReuseS: NonNegative = 2.0  # noqa: N815
    drainMs: Positive = 2000.0  # noqa: N815
    graceS: Positive = 8.0  # noqa: N815
    configurationMs: Positive = 2000.0  # noqa: N815
    revocationMs: Positive = 5000.0  # noqa: N815
    retryBudgetRatio: NonNegative = 0.2  # noqa: N815
    budgetSlack: NonNegative = 0.0  # noqa: N815
    budgetWindowS: Positive = 10.0  # noqa: N815
    quotaWindowS: Positive = 8.0  # noqa: N815
    quotaOvershoot: NonNegative = 0.25  # noqa: N815
    coldOvershoot: NonNegative = 1.5  # noqa: N815
    coldSlack: NonNegative = 5.0  # noqa: N815
    evacuationMs: Positive = 5000.0  # noqa: N815
    maxStretchMs: NonNegative = 6000.0  # noqa: N815


class _Platform(_Model):
    address: AddressText
    historyS: NonNegative = 0.0  # noqa: N815


class _Settings(_Model):
    nodeName: str = pydantic.Field(min_length=1, max_length=200)  # noqa: N815
    ipAddress: pydantic.IPvAnyAddress  # noqa: N815
    zone: str
    # First and last port for traffic between instances.
    internalPortRange: tuple[Port, Port]  # noqa: N815
    # Peer addresses of some other instances, which may be down or replaced.
    seeds: list[AddressText] = []
    listen: _Listen
    limits: _Limits
    bounds: _Bounds = _Bounds()
    platform: _Platform
    # Region of this instance; without it, that of its failure domain.
    region: Annotated[str, pydantic.BeforeValidator(_read_region)] = ""
    # Region of each failure domain.
    zones: Annotated[dict[str, str], pydantic.BeforeValidator(_read_zones)] = {}
    # Switched off to compare.
    learnsCapacity: pydantic.StrictBool = True  # noqa: N815


def path_from_environment() -> pathlib.Path | None:
    """Return the path of the settings file, None if the environment variable is not set."""
    path = os.environ.get(names.SETTINGS_VARIABLE)
    return pathlib.Path(path) if path else None


def read(path: pathlib.Path) -> expression.Result[platform_options.Options, tuple[str, ...]]:
    """Read the options from a settings file, or return every fault in it with its field."""
    try:
        document = tomllib.loads(path.read_text(encoding="utf-8"))
        settings = _Settings.model_validate(document)
    except pydantic.ValidationError as error:
        faults = (
            f"{path}: {'.'.join(str(part) for part in each['loc'])}: {each['msg']}"
            for each in error.errors(include_url=False, include_input=False)
        )
        return expression.Error(tuple(faults))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        return expression.Error((f"{path}: {error}",))
    return expression.Ok(_convert_to_options(settings))


def _convert_to_options(settings: _Settings) -> platform_options.Options:
    bounds = settings.bounds
    return platform_options.Options(
        instance=settings.nodeName,
        domain=settings.zone,
        front=_parse_address(settings.listen.frontend),
        ready=_parse_address(settings.listen.ready),
        peer_host=str(settings.ipAddress),
        first_port=settings.internalPortRange[0],
        seeds=tuple(_parse_address(each) for each in settings.seeds),
        store=_parse_address(settings.platform.address),
        bounds=platform_options.Bounds(
            withdrawal_s=bounds.revocationMs / _MS_PER_S,
            grace_s=bounds.graceS,
            retry_ratio=bounds.retryBudgetRatio,
            retry_slack=bounds.budgetSlack,
            retry_window_s=bounds.budgetWindowS,
            stable_window_s=bounds.stableWindowMs / _MS_PER_S,
            cap_window_s=bounds.quotaWindowS,
            cap_overshoot=bounds.quotaOvershoot,
            drain_s=bounds.drainMs / _MS_PER_S,
            cold_overshoot=bounds.coldOvershoot,
            cold_slack=bounds.coldSlack,
            configuration_s=bounds.configurationMs / _MS_PER_S,
        ),
        max_descriptors=settings.limits.fileDescriptors,
        memory_bytes=int(settings.limits.memoryMb * _BYTES_PER_MB),
        store_history_s=settings.platform.historyS,
        region=settings.region or settings.zones.get(settings.zone, ""),
        region_by_domain=settings.zones,
        learns_capacity=settings.learnsCapacity,
        link_mbps=settings.limits.linkMbps,
    )


def _parse_address(text: str) -> platform_options.Address:
    host, _, port = text.rpartition(":")
    return platform_options.Address(host, int(port))
