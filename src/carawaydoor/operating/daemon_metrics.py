"""OpenTelemetry metrics of a ``carawaydoord`` instance."""

from __future__ import annotations

from typing import Final

from carawaydoor.operating import metrics_exporter

LATENCY_BOUNDS_S: Final = (
    0.002,
    0.005,
    0.01,
    0.02,
    0.05,
    0.077,
    0.1,
    0.2,
    0.5,
    1.1,
    2.0,
    5.0,
    20.0,
)


class Metrics:
    """Counters and histograms of one instance."""

    def __init__(self, instance: str) -> None:
        self._exporter = metrics_exporter.MetricsExporter(instance, LATENCY_BOUNDS_S)
        exporter = self._exporter
        self.requests: Final = exporter.create_counter(
            "carawaydoor_requests", "Requests that ended, by route and outcome."
        )
        self.refusals: Final = exporter.create_counter("carawaydoor_refusals", "Refusals, by kind.")
        self.request_limits: Final = exporter.create_counter(
            "carawaydoor_request_limits",
            "Requests not received and connections closed, by the limit that took effect.",
        )
        self.tokens: Final = exporter.create_counter(
            "carawaydoor_tokens", "Tokens used, by workspace."
        )
        self.prefills: Final = exporter.create_counter(
            "carawaydoor_prefills", "Prefills, by whether a decode used the result."
        )
        self.upstream_failures: Final = exporter.create_counter(
            "carawaydoor_upstream_failures", "Failed calls, by upstream and error."
        )
        self.retries: Final = exporter.create_counter(
            "carawaydoor_retries", "Second attempts, by outcome of the retry budget."
        )
        self.configuration_offers: Final = exporter.create_counter(
            "carawaydoor_configuration_offers", "Offered manifests, by outcome."
        )
        self.first_token_seconds: Final = exporter.create_histogram(
            "carawaydoor_first_token_seconds", "s", "Time to the first token."
        )
        self.token_gap_seconds: Final = exporter.create_histogram(
            "carawaydoor_token_gap_seconds", "s", "Time between two tokens."
        )
        self.plain_seconds: Final = exporter.create_histogram(
            "carawaydoor_plain_seconds", "s", "Time of a call to a plain service."
        )

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return self._exporter.render()
