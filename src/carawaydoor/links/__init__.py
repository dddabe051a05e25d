"""Connections between instances for the project's own interface."""
