"""Finds out where a stream began that no instance remembers."""

from __future__ import annotations

from collections.abc import Collection
from typing import Final

import eliot

from carawaydoor.fleet import gossip
from carawaydoor.operating import configuration_source
from carawaydoor.policy import entities, evacuation, stream_ranking, stream_versions
from carawaydoor.serving import http_exchange, instance_state, stream_origins

MAX_LOGGED_UPSTREAMS: Final = 8


class OriginInference:
    """Ranks the upstreams that there were when a stream began.

    Needs a list that is younger than the request which takes the stream up: an instance that was cut
    off or suspended may not know the upstream at which the stream began.
    """

    def __init__(self, instance: instance_state.InstanceState) -> None:
        self._instance = instance

    def infer(
        self, exchange: http_exchange.HttpExchange, route: entities.Route
    ) -> stream_origins.Answer:
        """Return the only place where the stream can have begun, if there is only one.

        The answer is incomplete if more may be known soon.
        """
        if self._instance.source.list_age_s() > stream_ranking.MAX_LIST_AGE_S:
            # Upstreams may have come and gone meanwhile.
            return stream_origins.Answer(None, False)
        try:
            origins = self._possible_origins(exchange, route)
        except configuration_source.SourceError as error:
            eliot.log_message(
                message_type="origin_not_inferred", request=exchange.inbound.id, detail=str(error)
            )
            return stream_origins.Answer(None, False)
        is_certain = origins is not None and len(origins) == 1
        return stream_origins.Answer(next(iter(origins or ())) if is_certain else None, True)

    def _possible_origins(
        self, exchange: http_exchange.HttpExchange, route: entities.Route
    ) -> frozenset[stream_versions.Origin] | None:
        instance = self._instance
        current = instance.lists.current(exchange.received_s)
        window = self._window(exchange, route)
        log = instance.changes_beside(current)
        past = (
            None
            if log.known_since_s <= window.listed_since_s
            else instance.lists.past(log.known_since_s)
        )
        can_rank = self._can_rank(exchange, route, window) and not (
            past is not None and self._may_have_been_limited(current, past)
        )
        key = exchange.stream_key if can_rank else ""
        origins = set()
        for name in {each.service for each in route.shares}:
            service = instance.configuration.service_by_name.get(name)
            stage = entities.stage_of_streams(service)
            candidates = stream_ranking.candidates(name, stage, current, log, past, window)
            if candidates is None:
                return None
            if not candidates:
                continue
            inference = stream_ranking.infer(key, candidates, window)
            self._log(exchange, name, bool(key), candidates, inference)
            if inference.version is None:
                return None
            origins.add(stream_versions.Origin(name, inference.version))
        return frozenset(origins)

    def _log(
        self,
        exchange: http_exchange.HttpExchange,
        service: str,
        is_ranked: bool,
        candidates: Collection[stream_ranking.Candidate],
        inference: stream_ranking.Inference,
    ) -> None:
        shown = set(inference.possible[:MAX_LOGGED_UPSTREAMS])
        eliot.log_message(
            message_type="origin_inferred",
            request=exchange.inbound.id,
            service=service,
            version=inference.version or "",
            by_rank=is_ranked,
            upstreams=len(candidates),
            certain=sum(each.is_certain for each in candidates),
            possible=len(inference.possible),
            possible_versions={
                each.id: None if each.versions is None else sorted(each.versions)
                for each in candidates
                if each.id in shown
            },
        )

    def _can_rank(
        self,
        exchange: http_exchange.HttpExchange,
        route: entities.Route,
        window: stream_ranking.Window,
    ) -> bool:
        """Return whether the rank of the stream decided where it began.

        Instances of an earlier release place streams without it. Upstreams that were evacuated, or
        that the request was not allowed to use, were not ranked.
        """
        return (
            bool(exchange.inbound.resumes)
            and route.kind is entities.RouteKind.RESUMABLE_STREAM
            and len({each.service for each in route.shares}) == 1
            and gossip.all_rank_streams(self._instance.membership)
            and not self._instance.is_without_peers()
            and exchange.allowed_regions is None
            and not evacuation.was_active_since(
                self._instance.evacuation.current, window.listed_since_s
            )
            and self._instance.eligibility.lists_changed_s < window.listed_since_s
        )

    def _may_have_been_limited(
        self, current: stream_ranking.UpstreamList, past: stream_ranking.PastChanges
    ) -> bool:
        """Return whether upstreams may have been left out at a time that this instance has not seen."""
        unchanged_since = max(past.after, current.configuration_created)
        has_changed = self._instance.configuration.revision > unchanged_since
        return past.has_evacuations or (has_changed and self._instance.eligibility.has_lists)

    def _window(
        self, exchange: http_exchange.HttpExchange, route: entities.Route
    ) -> stream_ranking.Window:
        clock = self._instance.clock
        left_s = exchange.deadline_s - exchange.received_s
        longest_s = self._instance.longest_timeout_s(route)
        since_s = stream_versions.earliest_begin_s(exchange.received_s, longest_s, left_s)
        wall_s = clock.wall_s()
        list_age_s = self._instance.max_list_age_s(route)
        return stream_ranking.Window(
            since_s, wall_s - (clock.now_s() - since_s), wall_s, list_age_s
        )
