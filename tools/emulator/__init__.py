"""Emulates engines and callers in simulated time under the router's real policies."""
