"""Chooses the upstreams at which a stream that broke off may go on."""

from __future__ import annotations

import abc
import dataclasses
from typing import Final

from carawaydoor.policy import entities, load
from carawaydoor.serving import http_exchange, upstream_selection

ONE_REQUEST: Final = load.Work(1)


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """An upstream and the work that was added to its load."""

    upstream: entities.Upstream
    work: load.Work


class ContinuationTargets(abc.ABC):
    """The upstreams of the service of one stream."""

    @abc.abstractmethod
    def reserve(
        self, exchange: http_exchange.HttpExchange, excluded: frozenset[str]
    ) -> Target | None:
        """Choose an upstream, add the stream to its load and hold a permit; None if there is none."""


class DecodeTargets(ContinuationTargets):
    """Decode engines with room for the prompt and the rest of its output."""

    def __init__(
        self,
        selector: upstream_selection.UpstreamSelector,
        service: entities.Service,
        prompt: entities.Prompt,
    ) -> None:
        self._selector = selector
        self._service = service
        self._prompt = prompt

    def reserve(
        self, exchange: http_exchange.HttpExchange, excluded: frozenset[str]
    ) -> Target | None:
        """Choose a decode engine, which has to prefill the prompt again."""
        engine = self._selector.reserve_decode(
            self._service,
            self._prompt,
            excluded,
            exchange.permits,
            exchange.placement_version,
            exchange.allowed_regions,
        )
        if engine is None:
            return None
        return Target(engine, load.Work(1, self._prompt.mean_kv_tokens))


class PlainTargets(ContinuationTargets):
    """Upstreams of a plain service."""

    def __init__(
        self, selector: upstream_selection.UpstreamSelector, service: entities.Service
    ) -> None:
        self._selector = selector
        self._service = service

    def reserve(
        self, exchange: http_exchange.HttpExchange, excluded: frozenset[str]
    ) -> Target | None:
        """Choose an upstream, which has to run the request again from the last event on."""
        upstream = self._selector.reserve_plain(
            self._service.name,
            excluded,
            exchange.permits,
            exchange.placement_version,
            exchange.allowed_regions,
        )
        return None if upstream is None else Target(upstream, ONE_REQUEST)
