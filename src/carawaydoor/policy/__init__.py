"""Decisions without I/O: values and messages in, new values and effects out."""
