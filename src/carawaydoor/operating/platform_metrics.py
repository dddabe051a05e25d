"""OpenTelemetry metrics of a ``platformd`` instance."""

from __future__ import annotations

from typing import Final

from carawaydoor.operating import metrics_exporter

# Include the users' latency targets: 0.2 and 0.4 s for calls, 0.9 s for the first event of a
# stream.
LATENCY_BOUNDS_S: Final = (0.02, 0.05, 0.1, 0.2, 0.4, 0.9, 1.5, 4.0, 14.0)


class Metrics:
    """Counters and histograms of one instance."""

    def __init__(self, instance: str) -> None:
        self._exporter = metrics_exporter.MetricsExporter(instance, LATENCY_BOUNDS_S)
        exporter = self._exporter
        self.requests: Final = exporter.create_counter(
            "carawaydoor_requests", "Requests that ended, by route and status."
        )
        self.refusals: Final = exporter.create_counter(
            "carawaydoor_refusals", "Answers of the router's own, by reason."
        )
        self.request_limits: Final = exporter.create_counter(
            "carawaydoor_request_limits",
            "Requests not received and connections closed, by the limit that took effect.",
        )
        self.upstream_calls: Final = exporter.create_counter(
            "carawaydoor_upstream_calls", "Calls to upstreams, by service and outcome."
        )
        self.limited_requests: Final = exporter.create_counter(
            "carawaydoor_limited_requests",
            "Requests sent to upstreams that name a limit or are cold, by upstream.",
        )
        self.memory_holds: Final = exporter.create_counter(
            "carawaydoor_memory_holds",
            "Engines asked to hold memory for a generation, by service and outcome.",
        )
        self.ranked_generations: Final = exporter.create_counter(
            "carawaydoor_ranked_generations",
            "Generations of services whose requests differ in priority, by service, rank and outcome.",
        )
        self.room_wait_seconds: Final = exporter.create_histogram(
            "carawaydoor_room_wait_seconds",
            "s",
            "Time until a generation had room or was refused, by service, rank and outcome.",
        )
        self.stream_ends: Final = exporter.create_counter(
            "carawaydoor_stream_ends",
            "Streams whose upstream ended them, by framing and whether inside an event.",
        )
        self.stream_continuations: Final = exporter.create_counter(
            "carawaydoor_stream_continuations",
            "Streams offered to another upstream after they had begun, by outcome.",
        )
        self.store_calls: Final = exporter.create_counter(
            "carawaydoor_store_calls", "Calls to the store, by outcome."
        )
        self.configuration_bytes: Final = exporter.create_counter(
            "carawaydoor_configuration_bytes",
            "Bytes of the responses with configurations, by way: read, watch or peer.",
        )
        self.configuration_delay_seconds: Final = exporter.create_histogram(
            "carawaydoor_configuration_delay_seconds",
            "s",
            "Time between the first report of a peer that knew more of the source and a "
            "configuration, by way.",
        )
        self.relayed_bytes: Final = exporter.create_counter(
            "carawaydoor_relayed_bytes", "Bytes of the source passed on to other instances."
        )
        self.peer_datagrams: Final = exporter.create_counter(
            "carawaydoor_peer_datagrams", "Datagrams between instances, by direction."
        )
        self.cold_periods: Final = exporter.create_counter(
            "carawaydoor_cold_periods", "Upstreams found cold, by service and source."
        )
        self.evacuations: Final = exporter.create_counter(
            "carawaydoor_evacuations",
            "Changes of evacuated failure domains, by change: given, kept or taken_back.",
        )
        self.learned_times: Final = exporter.create_gauge(
            "carawaydoor_learned_seconds_per_unit",
            "Seconds for a unit of work that are assumed of an upstream, by kind of work.",
        )
        self.learned_concurrency: Final = exporter.create_gauge(
            "carawaydoor_learned_concurrency",
            "Requests beyond which an upstream finishes no more work, by kind of work.",
        )
        self.learned_weight: Final = exporter.create_gauge(
            "carawaydoor_learned_weight",
            "Observations that an upstream's estimate is based on, by kind of work.",
        )
        self.answer_seconds: Final = exporter.create_histogram(
            "carawaydoor_answer_seconds", "s", "Time to the end of an answer."
        )
        self.first_byte_seconds: Final = exporter.create_histogram(
            "carawaydoor_first_byte_seconds", "s", "Time to the first byte."
        )

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return self._exporter.render()
