"""Connections between instances, and the wire format of their messages."""
