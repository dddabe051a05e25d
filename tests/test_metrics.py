"""Metrics keep their names and values, although OpenTelemetry is loaded only when they are read."""

from __future__ import annotations

import subprocess
import sys
import threading

from carawaydoor.operating import metrics_exporter, platform_metrics


def lines(metrics):
    return metrics.render().decode().splitlines()


def test_counters_and_histograms_are_rendered_with_what_was_recorded_before():
    metrics = platform_metrics.Metrics("m")
    metrics.requests.add(2, {"route": "r", "status": "200"})
    metrics.answer_seconds.record(0.3, {"route": "r"})
    assert any(
        each.startswith("carawaydoor_requests_total{") and each.endswith(" 2.0")
        for each in lines(metrics)
    )
    metrics.requests.add(1, {"route": "r", "status": "200"})
    metrics.answer_seconds.record(0.01, {"route": "r"})
    rendered = lines(metrics)
    assert any(
        each.startswith("carawaydoor_requests_total{") and each.endswith(" 3.0")
        for each in rendered
    )
    assert any(
        each.startswith("carawaydoor_answer_seconds_bucket{")
        and 'le="0.02"' in each
        and each.endswith(" 1.0")
        for each in rendered
    )
    assert any(
        each.startswith("carawaydoor_answer_seconds_count{") and each.endswith(" 2.0")
        for each in rendered
    )


def test_kept_samples_are_bounded():
    exporter = metrics_exporter.MetricsExporter("m", (0.1, 1.0))
    histogram = exporter.create_histogram("carawaydoor_x_seconds", "s", "Time.")
    for _ in range(metrics_exporter.MAX_KEPT_SAMPLES):
        histogram.record(0.5, {})
    for each in threading.enumerate():
        if each.name == "metrics-loader":
            each.join(10.0)
    histogram.record(0.5, {})
    expected = f" {metrics_exporter.MAX_KEPT_SAMPLES + 1}.0"
    rendered = exporter.render().decode().splitlines()
    assert any("seconds_count" in each and each.endswith(expected) for each in rendered)


def test_counter_loses_no_update_of_concurrent_threads():
    counter = metrics_exporter.Counter("carawaydoor_x", "Count.")
    threads = [
        threading.Thread(target=lambda: [counter.add(1, {"a": "b"}) for _ in range(2000)])
        for _ in range(8)
    ]
    for each in threads:
        each.start()
    for each in threads:
        each.join()
    assert counter.values() == [({"a": "b"}, 16_000)]


def test_instance_starts_without_loading_opentelemetry_or_parsing_thrift():
    """At 195 instances each 0.1 s of imports is 20 s of processor time."""
    program = (
        "import sys, carawaydoor.platformd; "
        "print([each for each in sys.modules if each.startswith(('opentelemetry', 'psutil'))])"
    )
    result = subprocess.run(
        [sys.executable, "-c", program], capture_output=True, text=True, check=True
    )
    assert result.stdout.strip() == "[]"
