"""The way of a request of the project's own interface: filters and servers."""
