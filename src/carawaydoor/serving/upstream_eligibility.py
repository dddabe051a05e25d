"""Which upstreams a request may be sent to at all, apart from their load and health."""

from __future__ import annotations

import enum
from collections.abc import Callable, Mapping
from typing import Final

import eliot

from carawaydoor.operating import clocks, platform_options
from carawaydoor.policy import (
    allowed_regions,
    capacity_wait,
    entities,
    evacuation,
    stream_versions,
    upstream_directory,
)
from carawaydoor.serving import evacuation_state, http_exchange, refusals


class Obstacle(enum.Enum):
    """Why a request must not be sent to an upstream."""

    EVACUATED = "evacuated"
    REGION = "region"
    LEAVING = "leaving"
    GONE = "gone"
    REPLACED = "replaced"


# Part of the time in which a leaving upstream may still be used that is left for what is under way and
# for the delay with which this instance learned that it leaves.
LAST_USE_MARGIN_S: Final = 1.0
_OBSTACLE_BY_DEPARTURE: Final = {
    upstream_directory.Departure.LEAVING: Obstacle.LEAVING,
    upstream_directory.Departure.GONE: Obstacle.GONE,
    upstream_directory.Departure.REPLACED: Obstacle.REPLACED,
}


class UpstreamEligibility:
    """Applies evacuations and allowed regions to single requests.

    :param directory: returns the known upstreams, with those of evacuated failure domains
    :ivar lists_changed_s: when a configuration with other lists of regions was adopted
    """

    def __init__(
        self,
        clock: clocks.Clock,
        evacuations: evacuation_state.EvacuationState,
        directory: Callable[[], upstream_directory.Directory],
        configuration: Callable[[], entities.Configuration],
        options: Callable[[], platform_options.Options],
    ) -> None:
        self._clock: Final = clock
        self._evacuations: Final = evacuations
        self._directory: Final = directory
        self._configuration: Final = configuration
        self._options: Final = options
        self.lists_changed_s = float("-inf")
        self._lists: Mapping[tuple[str, ...], allowed_regions.Regions] | None = None

    @property
    def has_lists(self) -> bool:
        """Whether the configuration in force has lists of regions."""
        return bool(self._lists)

    def regions(self, exchange: http_exchange.HttpExchange) -> allowed_regions.Regions:
        """Return the regions that the configuration in force now allows a request."""
        inbound, route, workspace = exchange.inbound, exchange.route, exchange.workspace
        if route is None:
            return None
        configuration = self._configuration()
        if configuration.revision == exchange.revision:
            return allowed_regions.combine(
                route.allowed_regions, workspace.allowed_regions if workspace else None
            )
        return allowed_regions.current(
            configuration,
            inbound.host,
            inbound.path,
            inbound.key,
            route,
            workspace,
        )

    def obstacle(
        self, exchange: http_exchange.HttpExchange, upstream: entities.Upstream
    ) -> Obstacle | None:
        """Return why nothing of a request may be where an upstream is, None if it may be."""
        if self._evacuations.is_evacuated(upstream):
            return Obstacle.EVACUATED
        region_by_domain = self._options().region_by_domain
        if not allowed_regions.allows(exchange.allowed_regions, region_by_domain, upstream.domain):
            return Obstacle.REGION
        return None

    @property
    def last_use_s(self) -> float:
        """Seconds after an upstream began to leave in which it may get requests that end soon."""
        return self._options().bounds.drain_s - LAST_USE_MARGIN_S

    def obstacle_now(
        self,
        exchange: http_exchange.HttpExchange,
        upstream: entities.Upstream,
        has_copy: bool = False,
    ) -> Obstacle | None:
        """Return why an upstream that was chosen earlier must not get a request, None if it may.

        Generations outlast an engine that leaves, so it gets none, unless they could go on nowhere else.
        Another incarnation under its id may be of another software version and has no copy of a KV
        cache.

        :param has_copy: whether it holds the only copy of the KV cache of a stream that broke off
        """
        obstacle = self.obstacle(exchange, upstream)
        if obstacle is not None:
            return obstacle
        may_be_leaving = has_copy or upstream.stage is entities.Stage.NONE
        departure = upstream_directory.departure(
            self._directory(),
            self._clock.now_s(),
            upstream,
            self.last_use_s if may_be_leaving else 0.0,
        )
        return None if departure is None else _OBSTACLE_BY_DEPARTURE[departure]

    def with_copy(
        self, exchange: http_exchange.HttpExchange, backup: entities.Upstream | None
    ) -> entities.Upstream | None:
        """Return the engine with the copy of a KV cache if a stream may go on there, else None."""
        if backup is None or self.obstacle_now(exchange, backup, has_copy=True) is not None:
            return None
        return backup

    def allows_peer(self, exchange: http_exchange.HttpExchange, domain: str) -> bool:
        """Return whether the body of a request may go to an instance of a failure domain."""
        options = self._options()
        return domain == options.domain or allowed_regions.allows_peer(
            exchange.allowed_regions, options.region_by_domain, options.region, domain
        )

    def refusal(
        self, exchange: http_exchange.HttpExchange, stage: entities.Stage
    ) -> refusals.Refusal | None:
        """Return the refusal of a request that no upstream of its service may get, else None.

        :param stage: stage of the upstreams that the request needs
        """
        service, version = exchange.service, exchange.placement_version
        regions, evacuations = exchange.allowed_regions, self._evacuations.current
        if service is None or (regions is None and not evacuations.by_domain):
            return None
        staying = [
            each
            for each in self._directory().upstream_by_id.values()
            if each.service == service.name
            and each.stage is stage
            and not each.is_leaving
            and stream_versions.matches(each, version)
        ]
        if not staying:
            return None
        allowed = allowed_regions.allowed(regions, self._options().region_by_domain, staying)
        if not allowed:
            detail = f"no upstream of service {service.name} is in an allowed region"
            return self._refuse(refusals.Reason.REGION_NOT_ALLOWED, detail, exchange)
        if not evacuation.remaining(evacuations, allowed):
            detail = f"all upstreams of service {service.name} are in evacuated failure domains"
            return self._refuse(refusals.Reason.EVACUATED, detail, exchange)
        return None

    def record_configuration(self, configuration: entities.Configuration) -> None:
        """Record whether a new configuration changes lists, and log names that are no regions."""
        lists = allowed_regions.lists(configuration)
        if self._lists not in (None, lists):
            self.lists_changed_s = self._clock.now_s()
        self._lists = lists
        unknown = allowed_regions.unknown(configuration, self._options().region_by_domain.values())
        if unknown:
            eliot.log_message(
                message_type="allowed_regions_unknown",
                version=configuration.version,
                count=len(unknown),
                regions=[each[:200] for each in sorted(unknown)[:16]],
            )

    def _refuse(
        self, reason: refusals.Reason, detail: str, exchange: http_exchange.HttpExchange
    ) -> refusals.Refusal:
        left_s = exchange.deadline_s - self._clock.now_s()
        retry_after_s = min(evacuation.RETRY_AFTER_S, left_s * capacity_wait.MAX_RETRY_AFTER_SHARE)
        return refusals.Refusal(reason, detail, max(0.0, retry_after_s))
