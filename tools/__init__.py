"""Demonstration, benchmark, capacity and soak test programs."""
