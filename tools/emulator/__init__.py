"""Emulator of engines and callers under the product's own decisions, in simulated time."""
