"""Randomized soak: real instances as processes, with faults from outside them."""
