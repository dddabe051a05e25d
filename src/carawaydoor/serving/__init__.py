"""The way of a request: filters, connections to upstreams, and the relay of answers."""
