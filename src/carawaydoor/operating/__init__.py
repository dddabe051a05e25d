"""Running an instance: its options, logs, metrics and start and stop."""
