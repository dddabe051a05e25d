"""Process support for an instance: settings, logs, metrics, threads and operator endpoints."""
