"""Demonstration, benchmark and capacity programs of the repository."""
