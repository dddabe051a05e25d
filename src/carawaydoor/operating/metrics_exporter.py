"""Exports OpenTelemetry metrics in the Prometheus text format."""

from __future__ import annotations

from collections.abc import Sequence

import prometheus_client
from opentelemetry import metrics as api_metrics
from opentelemetry.exporter import prometheus
from opentelemetry.sdk import metrics as sdk_metrics
from opentelemetry.sdk import resources
from opentelemetry.sdk.metrics import view as metric_views


class MetricsExporter:
    """Creates the OpenTelemetry meter of an instance and renders its metrics for Prometheus."""

    def __init__(self, instance: str, latency_bounds_s: Sequence[float]) -> None:
        self._registry = prometheus_client.CollectorRegistry()
        reader = prometheus.PrometheusMetricReader(registry=self._registry)
        aggregation = metric_views.ExplicitBucketHistogramAggregation(latency_bounds_s)
        provider = sdk_metrics.MeterProvider(
            metric_readers=[reader],
            resource=resources.Resource.create({"service.instance.id": instance}),
            views=[metric_views.View(instrument_name="*_seconds", aggregation=aggregation)],
        )
        self.meter: api_metrics.Meter = provider.get_meter("carawaydoor")

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self._registry)
