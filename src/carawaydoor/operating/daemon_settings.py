"""Reads and validates the YAML settings file of ``carawaydoord``."""

from __future__ import annotations

import dataclasses
import pathlib

import expression
import pydantic

from carawaydoor.publishing import catalog, yaml_documents


class SettingsModel(pydantic.BaseModel):
    """Schema of the settings file."""

    model_config = pydantic.ConfigDict(extra="forbid", strict=True)

    instance: str = pydantic.Field(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")
    failure_domain: str = pydantic.Field(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")
    host: str = "127.0.0.1"
    caller_port: int = pydantic.Field(ge=1, le=65535)
    peer_port: int = pydantic.Field(ge=1, le=65535)
    operator_port: int = pydantic.Field(ge=1, le=65535)
    platform_host: str
    platform_port: int = pydantic.Field(ge=1, le=65535)
    seeds: tuple[str, ...] = pydantic.Field(default=(), strict=False)
    threads: int = pydantic.Field(default=64, ge=4, le=1024)
    max_model_requests: int = pydantic.Field(default=40, ge=1, le=1000)
    max_body_bytes: int = pydantic.Field(default=1_000_000, ge=1024)
    max_header_bytes: int = pydantic.Field(default=32_768, ge=1024)
    memory_mb: int = pydantic.Field(default=300, ge=1)
    header_timeout_s: float = pydantic.Field(default=10.0, gt=0.0, strict=False)
    drain_grace_s: float = pydantic.Field(default=1.0, ge=0.0, strict=False)
    withdrawal_grace_s: float = pydantic.Field(default=3.0, ge=0.0, strict=False)
    log_file: str | None = None
    trace_file: str | None = None

    @pydantic.model_validator(mode="after")
    def _leave_threads_for_plain_requests(self) -> SettingsModel:
        if self.max_model_requests >= self.threads:
            raise ValueError("max_model_requests must be lower than threads")
        return self


@dataclasses.dataclass(frozen=True, slots=True)
class Options:
    """Validated settings of one instance.

    :ivar seeds: peer addresses (``host:port``) to fetch the view from while the platform is down
    :ivar threads: number of threads that serve callers
    :ivar max_model_requests: limit of concurrent model requests; the remaining threads stay free
        for requests to plain services
    :ivar memory_mb: limit of the memory of the process in MB
    :ivar header_timeout_s: time in seconds from the first byte of a request's head to its end
    :ivar drain_grace_s: time in seconds after the start of a drain in which new requests are still
        accepted
    :ivar withdrawal_grace_s: time in seconds after the withdrawal of a key until a request that
        uses it is cancelled
    """

    instance: str
    failure_domain: str
    host: str
    caller_port: int
    peer_port: int
    operator_port: int
    platform_host: str
    platform_port: int
    seeds: tuple[str, ...]
    threads: int
    max_model_requests: int
    max_body_bytes: int
    max_header_bytes: int
    memory_mb: int
    header_timeout_s: float
    drain_grace_s: float
    withdrawal_grace_s: float
    log_file: str | None
    trace_file: str | None


def read(path: pathlib.Path) -> expression.Result[Options, tuple[catalog.Fault, ...]]:
    """Read a settings file.

    :param path: YAML file with one document
    :return: the options, or all faults in the file
    """
    result = yaml_documents.read(path)
    if result.is_error():
        return expression.Error((result.error,))
    if len(result.ok) != 1:
        origin = catalog.SourceLocation(str(path), 1)
        return expression.Error(
            (catalog.Fault(origin, "document", "the file must hold exactly one YAML document"),)
        )
    document = result.ok[0]
    try:
        model = SettingsModel.model_validate(document.value)
    except pydantic.ValidationError as error:
        return expression.Error(tuple(yaml_documents.validation_faults(document, error)))
    return expression.Ok(Options(**model.model_dump()))
