"""Counters and latency histograms of an instance on the platform, by OpenTelemetry."""

from __future__ import annotations

from typing import Final

import prometheus_client
from opentelemetry.exporter import prometheus
from opentelemetry.sdk import metrics as sdk_metrics
from opentelemetry.sdk import resources
from opentelemetry.sdk.metrics import view as metric_views

# Bounds in seconds around the targets of the users: 0.2 and 0.4 for calls, 0.9 for first events.
LATENCY_BOUNDS_S: Final = (0.02, 0.05, 0.1, 0.2, 0.4, 0.9, 1.5, 4.0, 14.0)


class Telemetry:
    """The instruments of one instance."""

    def __init__(self, instance: str) -> None:
        self._registry = prometheus_client.CollectorRegistry()
        reader = prometheus.PrometheusMetricReader(registry=self._registry)
        aggregation = metric_views.ExplicitBucketHistogramAggregation(LATENCY_BOUNDS_S)
        provider = sdk_metrics.MeterProvider(
            metric_readers=[reader],
            resource=resources.Resource.create({"service.instance.id": instance}),
            views=[metric_views.View(instrument_name="*_seconds", aggregation=aggregation)],
        )
        meter = provider.get_meter("carawaydoor")
        self.requests: Final = meter.create_counter(
            "carawaydoor_requests", description="Requests that ended, by route and status."
        )
        self.refusals: Final = meter.create_counter(
            "carawaydoor_refusals", description="Answers of the router's own, by reason."
        )
        self.calls: Final = meter.create_counter(
            "carawaydoor_upstream_calls", description="Calls to upstreams, by service and outcome."
        )
        self.store_calls: Final = meter.create_counter(
            "carawaydoor_store_calls", description="Calls to the store, by outcome."
        )
        self.datagrams: Final = meter.create_counter(
            "carawaydoor_peer_datagrams", description="Datagrams between instances, by direction."
        )
        self.answer_seconds: Final = meter.create_histogram(
            "carawaydoor_answer_seconds", unit="s", description="Time to the end of an answer."
        )
        self.first_byte_seconds: Final = meter.create_histogram(
            "carawaydoor_first_byte_seconds", unit="s", description="Time to the first byte."
        )

    def render(self) -> bytes:
        """Return all metrics in the text format that a scraper reads."""
        return prometheus_client.generate_latest(self._registry)
