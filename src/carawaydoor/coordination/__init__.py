"""Coordination of the instances that serve the project's own interface.

Each budget share, each pool in a failure domain and each partition of idempotency keys has at
most one owner among the instances at any time.
"""
