"""Request path of the project's own interface: filters, and handlers that send the response."""
