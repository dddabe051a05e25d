"""What instances tell each other: membership, usage and load, over datagrams."""
