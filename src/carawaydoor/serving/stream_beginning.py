"""At which software version a new stream begins, by the list of upstreams alone.

Whether this instance reaches an upstream must not matter: one that infers later where the stream began
can't find that out again.
"""

from __future__ import annotations

from typing import Final

from carawaydoor.policy import entities
from carawaydoor.serving import http_exchange, instance_state, refusals

# The caller's next attempt has another id, which may rank another version first.
RETRY_AFTER_S: Final = 0.25


def choose_version(
    instance: instance_state.InstanceState, exchange: http_exchange.HttpExchange
) -> None:
    """Set the version at which a new stream has to begin, again after a change of the list."""
    route, service = exchange.route, exchange.service
    if (
        route is None
        or service is None
        or route.kind is not entities.RouteKind.RESUMABLE_STREAM
        or exchange.inbound.resumed_after
    ):
        return
    directory = instance.evacuation.remaining()
    if exchange.ranked_directory is directory:
        return
    exchange.ranked_directory = directory
    exchange.begin_version = instance.selector.begin_version(
        service, exchange.stream_key, exchange.allowed_regions
    )


def unreachable_refusal(
    instance: instance_state.InstanceState, exchange: http_exchange.HttpExchange
) -> refusals.Refusal | None:
    """Return the refusal of a new stream that can use no upstream of its version, else None."""
    version, service = exchange.begin_version, exchange.service
    if version is None or service is None:
        return None
    if instance.selector.serves_version(
        service.name, version, exchange.unreachable_upstreams, exchange.allowed_regions
    ):
        return None
    detail = f"no upstream of {service.name} with version {version!r} can be used"
    return refusals.Refusal(refusals.Reason.NO_UPSTREAM, detail, RETRY_AFTER_S)
