"""Coordination of the instances of the project's own interface.

Token budgets, decode slots and idempotency keys have one owner at a time among the instances."""
