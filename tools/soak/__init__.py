"""Randomized soak test: instances run as processes while faults are injected around them."""
