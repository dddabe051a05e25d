"""Stand-ins for the systems that carawaydoor talks to, used by tests and demonstrations only."""
