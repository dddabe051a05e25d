"""Counters and histograms that cost little to update, exported by OpenTelemetry for Prometheus.

OpenTelemetry takes longer to load than an instance to become ready, and one update of its counters
takes as long as decoding a report. So values are kept here, and it is loaded when they are first
asked for.
"""

from __future__ import annotations

import collections
import functools
import threading
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import TYPE_CHECKING, Any, Final

if TYPE_CHECKING:
    from opentelemetry import metrics as api_metrics

# The exporter is loaded by then at the latest, so that the samples kept for it take little memory.
MAX_KEPT_SAMPLES: Final = 5000

LabelValues = tuple[tuple[str, str], ...]


class Counter:
    """A counter with labels."""

    def __init__(self, name: str, description: str) -> None:
        self.name: Final = name
        self.description: Final = description
        self._value_by_labels: dict[LabelValues, int] = collections.defaultdict(int)
        self._lock = threading.Lock()

    def add(self, amount: int, labels: Mapping[str, str]) -> None:
        """Add an amount to the value with these labels."""
        key = tuple(labels.items())
        with self._lock:
            self._value_by_labels[key] += amount

    def values(self) -> list[tuple[dict[str, str], int]]:
        """Return the labels and the value of each."""
        with self._lock:
            return [(dict(labels), value) for labels, value in self._value_by_labels.items()]


class Gauge:
    """Values with labels that are read when metrics are rendered.

    :ivar observe: returns the labels and the value of each
    """

    def __init__(self, name: str, description: str) -> None:
        self.name: Final = name
        self.description: Final = description
        self.observe: Callable[[], Iterable[tuple[Mapping[str, str], float]]] = tuple


class Histogram:
    """A histogram with labels; its samples are kept until the exporter is loaded."""

    def __init__(self, exporter: MetricsExporter, name: str, unit: str, description: str) -> None:
        self.name: Final = name
        self.unit: Final = unit
        self.description: Final = description
        self._exporter = exporter
        self._kept_samples: list[tuple[float, Mapping[str, str]]] = []
        self._instrument: api_metrics.Histogram | None = None
        self._lock = threading.Lock()

    def record(self, value: float, labels: Mapping[str, str]) -> None:
        """Add a sample."""
        with self._lock:
            if self._instrument is not None:
                self._instrument.record(value, labels)
                return
            self._kept_samples.append((value, labels))
            is_full = len(self._kept_samples) == MAX_KEPT_SAMPLES
        if is_full:
            # In a thread of its own, since this one serves a request.
            threading.Thread(target=self._exporter.load, name="metrics-loader", daemon=True).start()

    def attach(self, instrument: api_metrics.Histogram) -> None:
        """Hand over the kept samples and all later ones to an instrument of OpenTelemetry."""
        with self._lock:
            for value, labels in self._kept_samples:
                instrument.record(value, labels)
            self._kept_samples.clear()
            self._instrument = instrument


class MetricsExporter:
    """Creates the instruments of an instance and renders them for Prometheus."""

    def __init__(self, instance: str, latency_bounds_s: Sequence[float]) -> None:
        self._instance = instance
        self._latency_bounds_s = latency_bounds_s
        self._counters: list[Counter] = []
        self._histograms: list[Histogram] = []
        self._gauges: list[Gauge] = []
        self._registry: Any = None
        self._lock = threading.Lock()

    def create_counter(self, name: str, description: str) -> Counter:
        """Create a counter."""
        counter = Counter(name, description)
        self._counters.append(counter)
        return counter

    def create_gauge(self, name: str, description: str) -> Gauge:
        """Create a gauge."""
        gauge = Gauge(name, description)
        self._gauges.append(gauge)
        return gauge

    def create_histogram(self, name: str, unit: str, description: str) -> Histogram:
        """Create a histogram."""
        histogram = Histogram(self, name, unit, description)
        self._histograms.append(histogram)
        return histogram

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        import prometheus_client

        self.load()
        return prometheus_client.generate_latest(self._registry)

    def load(self) -> None:
        """Load OpenTelemetry and attach all instruments, unless that is done."""
        with self._lock:
            if self._registry is None:
                self._registry = self._create_registry()

    def _create_registry(self) -> Any:
        import prometheus_client
        from opentelemetry import metrics as api_metrics
        from opentelemetry.exporter import prometheus
        from opentelemetry.sdk import metrics as sdk_metrics
        from opentelemetry.sdk import resources
        from opentelemetry.sdk.metrics import view as metric_views

        def observe(
            counter: Counter, _: api_metrics.CallbackOptions
        ) -> Iterable[api_metrics.Observation]:
            return [api_metrics.Observation(value, labels) for labels, value in counter.values()]

        def observe_gauge(
            gauge: Gauge, _: api_metrics.CallbackOptions
        ) -> Iterable[api_metrics.Observation]:
            return [
                api_metrics.Observation(value, dict(labels)) for labels, value in gauge.observe()
            ]

        registry = prometheus_client.CollectorRegistry()
        reader = prometheus.PrometheusMetricReader(registry=registry)
        aggregation = metric_views.ExplicitBucketHistogramAggregation(self._latency_bounds_s)
        provider = sdk_metrics.MeterProvider(
            metric_readers=[reader],
            resource=resources.Resource.create({"service.instance.id": self._instance}),
            views=[metric_views.View(instrument_name="*_seconds", aggregation=aggregation)],
        )
        meter = provider.get_meter("carawaydoor")
        for counter in self._counters:
            meter.create_observable_counter(
                counter.name,
                callbacks=[functools.partial(observe, counter)],
                description=counter.description,
            )
        for gauge in self._gauges:
            meter.create_observable_gauge(
                gauge.name,
                callbacks=[functools.partial(observe_gauge, gauge)],
                description=gauge.description,
            )
        for each in self._histograms:
            each.attach(meter.create_histogram(each.name, each.unit, each.description))
        return registry
