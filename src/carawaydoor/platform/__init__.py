"""Adapter for the users' platform: translates names, formats and calls, and makes no decisions."""
