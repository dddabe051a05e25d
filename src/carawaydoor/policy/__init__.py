"""Routing decisions without I/O: pure functions from state and messages to new state and effects."""
