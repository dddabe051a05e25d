"""Routing decisions as pure functions: from state and messages to new state and effects."""
