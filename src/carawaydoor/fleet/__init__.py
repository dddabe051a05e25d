"""Gossip between instances over UDP: membership, usage and load."""
