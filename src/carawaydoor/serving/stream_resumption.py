"""The filter that finds out at which software version a caller's stream may go on."""

from __future__ import annotations

from typing import Final

import eliot
import expression

from carawaydoor.policy import entities, stream_versions
from carawaydoor.serving import (
    http_exchange,
    instance_state,
    origin_inference,
    refusals,
    request_filters,
    stream_beginning,
)

# By then an instance that has just started knows its peers.
UNKNOWN_RETRY_AFTER_S: Final = 0.5
# An instance that the source serves knows what its peers do within this time.
MAX_CURRENT_WAIT_S: Final = 0.5


class ResumptionFilter(request_filters.Filter):
    """Sets the version at which a stream begins or goes on, and the service if a caller takes it up.

    Events of two versions don't fit together. A stream whose version is unknown is refused: a caller
    that gets no answer can begin anew, one that got a wrong one doesn't know.
    """

    def __init__(self, instance: instance_state.InstanceState) -> None:
        super().__init__(instance)
        self._inference = origin_inference.OriginInference(instance)

    def apply(self, exchange: http_exchange.HttpExchange) -> request_filters.FilterResult:
        """Pass a new stream, and one that can go on at the version that began it."""
        route, inbound = exchange.route, exchange.inbound
        if route is None or not route.kind.is_stream:
            return expression.Ok(exchange)
        if route.kind is entities.RouteKind.RESUMABLE_STREAM:
            outdated = self._outdated_refusal(exchange, route)
            if outdated is not None:
                return expression.Error(outdated)
        if not inbound.resumed_after:
            exchange.stream_key = stream_versions.stream_key(exchange.workspace_name, inbound.id)
            stream_beginning.choose_version(self._instance, exchange)
            return expression.Ok(exchange)
        exchange.stream_key = stream_versions.stream_key(exchange.workspace_name, inbound.resumes)
        result = self._find_origin(exchange, route)
        if result.is_error():
            return expression.Error(result.error)
        origin = result.ok
        service = self._instance.configuration.service_by_name.get(origin.service)
        if service is None or origin.service not in {each.service for each in route.shares}:
            return _refuse(
                refusals.Reason.STREAM_LOST, f"the route no longer leads to {origin.service}"
            )
        exchange.service, exchange.required_version = service, origin.version
        if not self._instance.selector.serves_version(
            service.name, origin.version, regions=exchange.allowed_regions
        ):
            stage = entities.stage_of_streams(service)
            not_eligible = self._instance.eligibility.refusal(exchange, stage)
            if not_eligible is not None:
                return expression.Error(not_eligible)
            return _refuse(
                refusals.Reason.STREAM_LOST,
                f"no upstream of {service.name} has version {origin.version!r}",
            )
        return expression.Ok(exchange)

    def _outdated_refusal(
        self, exchange: http_exchange.HttpExchange, route: entities.Route
    ) -> refusals.Refusal | None:
        """Return the refusal of a stream if the list of upstreams is too old for it, else None."""
        source = self._instance.source
        if not exchange.inbound.resumed_after:
            max_age_s = self._instance.max_list_age_s(route)
            is_current = source.list_age_s() <= max_age_s
        else:
            is_current = source.wait_until_current(MAX_CURRENT_WAIT_S)
        if is_current:
            return None
        return refusals.Refusal(
            refusals.Reason.UPSTREAMS_STALE,
            f"the list of upstreams is {source.list_age_s():.1f} s old",
            request_filters.NOT_READY_RETRY_AFTER_S,
        )

    def _find_origin(
        self, exchange: http_exchange.HttpExchange, route: entities.Route
    ) -> expression.Result[stream_versions.Origin, refusals.Refusal]:
        inbound = exchange.inbound
        origin = self._instance.streams.known(exchange.stream_key) if inbound.resumes else None
        source, is_complete = "own", True
        if origin is None and inbound.resumes:
            answer = self._instance.streams.ask_peers(exchange.stream_key)
            origin, source, is_complete = answer.origin, "peer", answer.is_complete
        if origin is None:
            answer = self._inference.infer(exchange, route)
            origin, source = answer.origin, "inferred"
            is_complete = is_complete and answer.is_complete
        eliot.log_message(
            message_type="stream_taken_up",
            request=inbound.id,
            resumes=inbound.resumes,
            after_event=inbound.last_event_id,
            service=origin.service if origin else "",
            version=origin.version if origin else "",
            source=source if origin else "",
            list_age_s=round(self._instance.source.list_age_s(), 3),
        )
        if origin is None:
            return expression.Error(
                refusals.Refusal(
                    refusals.Reason.STREAM_LOST,
                    "no instance remembers which version began the stream",
                    None if is_complete else UNKNOWN_RETRY_AFTER_S,
                )
            )
        return expression.Ok(origin)


def _refuse(reason: refusals.Reason, detail: str) -> request_filters.FilterResult:
    return expression.Error(refusals.Refusal(reason, detail))
