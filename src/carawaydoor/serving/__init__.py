"""The path of a request: filters, upstream connections and the relay of responses."""
