"""Decisions of the project's own interface: what has one home at a time, and who holds it."""
